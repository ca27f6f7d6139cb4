#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
export PYTHONPATH="$PWD:$PWD/target/deps"
exec timeout -k 2 118 python3 "$here/case.py"
