"""The pages against the code: examples run, lists are complete."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import jackdawpost
from jackdawpost import ProxyAddress
from jackdawpost.tests.runtime.helpers import daemons
from jackdawpost.tests.runtime.helpers import HOST
from jackdawpost.tests.runtime.helpers import serve_first_write
from jackdawpost.tests.runtime.helpers import start_system

ROOT = Path(__file__).parents[2]
LEVELS = ('warning', 'error')


def _read_examples():
    page = (ROOT / 'docs' / 'embedding.md').read_text()
    return re.findall(r'```python\n(.*?)```', page, re.DOTALL)


def test_public_names_exist_and_are_on_the_page():
    # Guards against an interface that is promised but missing, or missing
    # from the page.
    page = (ROOT / 'docs' / 'embedding.md').read_text()
    for name in set(jackdawpost.__all__) - {'__version__', 'JackdawpostError'}:
        assert hasattr(jackdawpost, name)
        assert f'`{name}`' in page, name


def test_the_consensus_example_runs(capsys):
    # Guards against an example that a changed interface has broken.
    exec(compile(_read_examples()[1], 'consensus', 'exec'), {})
    assert capsys.readouterr().out == "[b'stock: 40 handles']\n"


async def test_the_client_example_runs(tmp_path, capsys):
    # Guards against an example that a changed interface has broken.
    names = {'__name__': 'example'}
    exec(compile(_read_examples()[0], 'client', 'exec'), names)
    async with daemons() as nursery:
        port, _ = await start_system(nursery, tmp_path)
        await serve_first_write(port)
        names['PROXIES'][:] = [ProxyAddress(HOST, port)]
        await names['main']()
    assert capsys.readouterr().out == "['T-40']\n"


def _find_logged_events(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call):
            continue
        texts = [
            item.value
            for item in node.args
            if isinstance(item, ast.Constant) and isinstance(item.value, str)
        ]
        if ast.unparse(node.func).startswith('parser.'):
            continue  # usage errors of a program
        name = getattr(node.func, 'attr', getattr(node.func, 'id', ''))
        if name == 'log' and texts and texts[0] in LEVELS:
            yield texts[1]
        elif name in LEVELS and texts:
            yield texts[0]


def test_operators_page_has_every_warning_and_error():
    # Guards against a warning without advice, and against advice for an
    # event that no longer exists.
    page = (ROOT / 'docs' / 'operators.md').read_text()
    section = page.partition('## Log events')[2]
    listed = set(re.findall(r'^\| `([^`]+)` \|', section, re.MULTILINE))
    logged = {
        event
        for package in ('jackdawpost', 'jackdawpost_standin')
        for path in (ROOT / package).rglob('*.py')
        if 'tests' not in path.parts
        for event in _find_logged_events(path)
    }
    assert listed == logged
