"""Log positions of a database group and the history of its terms."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple


class LogPosition(NamedTuple):
    """Position of a record in the replicated log of a database group.

    Parameters
    ----------
    term : int
        Term of the primary that wrote the record; 0 if there is no record.
    index : int
        Index of the record in the log, starting at 1; 0 if there is no
        record.
    """

    term: int
    index: int  # type: ignore[assignment]


ZERO_POSITION = LogPosition(0, 0)


class TermEnd(NamedTuple):
    """Index of the last record of one term in a log."""

    term: int
    last_index: int


def history_contains(
    history: Sequence[TermEnd], position: LogPosition
) -> bool:
    """Return whether the history of a log includes a position.

    Parameters
    ----------
    history : sequence of TermEnd
        One entry for each term with records in the log, in ascending order.
    position : LogPosition
        Position to check.

    Returns
    -------
    bool
        True if the record at `position` is part of the history, or if the
        position stands for no record.
    """
    if position.index == 0:
        return True
    first_index = 1
    for end in history:
        if end.term == position.term:
            return first_index <= position.index <= end.last_index
        first_index = end.last_index + 1
    return False
