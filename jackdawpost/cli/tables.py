"""Formats tables of answers as text for the terminal."""

from __future__ import annotations

from typing import Any

from jackdawpost.core.messages.operator import Fault
from jackdawpost.core.messages.operator import Table

COLUMN_GAP = '  '
NO_VALUE = '-'


def format_table(table: Table) -> str:
    """Return a table as aligned text below its name and column names.

    Parameters
    ----------
    table : Table
        Table to format; its cells are plain values.

    Returns
    -------
    str
        Lines without trailing spaces; a single line if there are no rows.
    """
    if not table.rows:
        return f'{table.name}: none'
    lines = [[str(column) for column in table.columns]]
    lines.extend([format_cell(cell) for cell in row] for row in table.rows)
    widths = [
        max(len(line[index]) for line in lines)
        for index in range(len(table.columns))
    ]
    output = [f'{table.name}:']
    for line in lines:
        cells = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        output.append(COLUMN_GAP.join(cells).rstrip())
    return '\n'.join(output)


def build_fault_table(faults: list[Fault]) -> Table:
    """Return the faults of a change set as a table."""
    return Table(
        name='faults',
        columns=['object', 'field', 'fault'],
        rows=[[item.object, item.field, item.message] for item in faults],
    )


def format_cell(value: Any) -> str:
    """Return a value as text of one line without control characters."""
    if value is None or value == '':
        return NO_VALUE
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, list):
        return ', '.join(str(item) for item in value) or NO_VALUE
    # Members announce their own names. Control characters in them would
    # garble the terminal.
    return ''.join(c if c.isprintable() else '?' for c in str(value))
