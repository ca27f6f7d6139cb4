"""Tests of the removal of unneeded lines from traces."""

from __future__ import annotations

from bench.cut_trace import minimize_lines


def test_only_header_and_needed_lines_are_kept() -> None:
    # Guards against the removal of a line that the outcome depends on, and
    # against a search that ends before every line was tried.
    lines = ['header', *(str(number) for number in range(40))]

    def is_sufficient(candidate: list[str]) -> bool:
        return {'7', '21'} <= set(candidate)

    assert minimize_lines(lines, is_sufficient) == ['header', '7', '21']


def test_trace_that_needs_every_line_is_unchanged() -> None:
    lines = ['header', 'a', 'b', 'c']
    assert minimize_lines(lines, lambda candidate: candidate == lines) == lines
