"""Cutting traces to the lines that still show the point."""

from __future__ import annotations

from bench.cut_trace import cut_lines


def test_only_the_header_and_the_needed_lines_stay() -> None:
    # Guards against cutting away what the outcome depends on, and against
    # stopping before every line has been tried.
    lines = ['header', *(str(number) for number in range(40))]

    def holds(shorter: list[str]) -> bool:
        return {'7', '21'} <= set(shorter)

    assert cut_lines(lines, holds) == ['header', '7', '21']


def test_nothing_is_cut_from_a_trace_that_needs_all() -> None:
    lines = ['header', 'a', 'b', 'c']
    assert cut_lines(lines, lambda shorter: shorter == lines) == lines
