"""Writes the settings reference from the models.

``python -m jackdawpost.settings.reference > docs/settings.md``
"""

from __future__ import annotations

import sys
from typing import Any

from pydantic import BaseModel

from jackdawpost.settings.models import ControlSettings
from jackdawpost.settings.models import CtlSettings
from jackdawpost.settings.models import ProxySettings

PROGRAMS: tuple[tuple[str, type[BaseModel]], ...] = (
    ('jackdawpost-proxy', ProxySettings),
    ('jackdawpost-control', ControlSettings),
    ('jackdawpost-ctl', CtlSettings),
)
INTRODUCTION = """# Settings

Settings files are JSON with comments. Unknown keys are refused. This page is
written by `python -m jackdawpost.settings.reference` and CI checks that it is
current. Keys that end in `_ms` are milliseconds.
"""
LIMITS = {
    'minimum': 'at least {}',
    'maximum': 'at most {}',
    'minLength': 'at least {} characters',
    'minItems': 'at least {} items',
    'maxItems': 'at most {} items',
    'pattern': 'matches `{}`',
}


def render_reference() -> str:
    """Return the whole page as Markdown."""
    sections = [INTRODUCTION]
    definitions: dict[str, Any] = {}
    for program, model in PROGRAMS:
        schema = model.model_json_schema()
        definitions |= schema.get('$defs', {})
        sections.append(f'## {program}\n\n{_render_table(schema)}')
    for name, schema in sorted(definitions.items()):
        sections.append(f'## {name}\n\n{_render_table(schema)}')
    return '\n'.join(sections)


def _render_table(schema: dict[str, Any]) -> str:
    required = set(schema.get('required', ()))
    lines = [
        '| key | type | default | valid | meaning |',
        '|---|---|---|---|---|',
    ]
    for key, field in schema['properties'].items():
        default = 'required' if key in required else f'`{_default(field)}`'
        cells = (
            f'`{key}`',
            _describe_type(field),
            default,
            _describe_limits(field),
            field.get('description', ''),
        )
        lines.append('| ' + ' | '.join(cells) + ' |')
    return '\n'.join(lines) + '\n'


def _default(field: dict[str, Any]) -> Any:
    value = field.get('default')
    return 'null' if value is None else value


def _describe_type(field: dict[str, Any]) -> str:
    if '$ref' in field:
        return str(field['$ref']).rsplit('/', 1)[-1]
    if 'anyOf' in field:
        return ' or '.join(_describe_type(item) for item in field['anyOf'])
    if 'enum' in field:
        return 'one of ' + ', '.join(f'`{item}`' for item in field['enum'])
    if field.get('type') == 'array':
        return f'array of {_describe_type(field["items"])}'
    return str(field.get('type', 'any'))


def _describe_limits(field: dict[str, Any]) -> str:
    parts = [
        text.format(field[name])
        for name, text in LIMITS.items()
        if name in field
    ]
    return ', '.join(parts).replace('|', '\\|')


if __name__ == '__main__':
    sys.stdout.write(render_reference())
