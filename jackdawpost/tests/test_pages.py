"""Tests that the documentation matches the code."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import jackdawpost
from jackdawpost import ProxyAddress
from jackdawpost.tests.runtime.helpers import daemons
from jackdawpost.tests.runtime.helpers import HOST
from jackdawpost.tests.runtime.helpers import start_system
from jackdawpost.tests.runtime.helpers import wait_for_first_write

ROOT = Path(__file__).parents[2]
DOCUMENTED_LEVELS = ('warning', 'error')


def _read_examples():
    page = (ROOT / 'docs' / 'embedding.md').read_text()
    return re.findall(r'```python\n(.*?)```', page, re.DOTALL)


def test_public_names_exist_and_are_documented():
    # Guards against a documented name that does not exist, and against a
    # public name without documentation.
    page = (ROOT / 'docs' / 'embedding.md').read_text()
    for name in set(jackdawpost.__all__) - {'__version__', 'JackdawpostError'}:
        assert hasattr(jackdawpost, name)
        assert f'`{name}`' in page, name


def test_consensus_example_runs(capsys):
    # Guards against an example that a changed interface has broken.
    exec(compile(_read_examples()[1], 'consensus', 'exec'), {})
    assert capsys.readouterr().out == "[b'stock: 40 handles']\n"


async def test_client_example_runs(tmp_path, capsys):
    # Guards against an example that a changed interface has broken.
    namespace = {'__name__': 'example'}
    exec(compile(_read_examples()[0], 'client', 'exec'), namespace)
    async with daemons() as nursery:
        port, _ = await start_system(nursery, tmp_path)
        await wait_for_first_write(port)
        namespace['PROXIES'][:] = [ProxyAddress(HOST, port)]
        await namespace['main']()
    assert capsys.readouterr().out == "['T-40']\n"


def _find_logged_events(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call):
            continue
        string_args = [
            item.value
            for item in node.args
            if isinstance(item, ast.Constant) and isinstance(item.value, str)
        ]
        if ast.unparse(node.func).startswith('parser.'):
            continue  # parser.error() reports wrong usage, not a log event
        name = getattr(node.func, 'attr', getattr(node.func, 'id', ''))
        if (
            name == 'log'
            and string_args
            and string_args[0] in DOCUMENTED_LEVELS
        ):
            yield string_args[1]
        elif name in DOCUMENTED_LEVELS and string_args:
            yield string_args[0]


def test_operators_page_lists_every_warning_and_error():
    # Guards against a warning or error that the page does not explain, and
    # against an explanation of an event that no longer exists.
    page = (ROOT / 'docs' / 'operators.md').read_text()
    section = page.partition('## Log events')[2]
    documented = set(re.findall(r'^\| `([^`]+)` \|', section, re.MULTILINE))
    logged = {
        event
        for package in ('jackdawpost', 'jackdawpost_standin')
        for path in (ROOT / package).rglob('*.py')
        if 'tests' not in path.parts
        for event in _find_logged_events(path)
    }
    assert documented == logged
