#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python files and use
# the packages that the build of the deploy file has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo 'run the build of deploy/system.toml first'; exit 1; }
PYTHONPATH="$PWD:$PWD/target/deps" python3 -m compileall -q \
    jackdawpost jackdawpost_standin review
PYTHONPATH="$PWD:$PWD/target/deps" python3 -c 'import review.stand'
