"""Positions in a replicated log and the history of terms."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple


class LogPosition(NamedTuple):
    """Place of one record in the log of a database group.

    Parameters
    ----------
    term : int
        Term of the primary that wrote the record; 0 before the first one.
    index : int
        Index of the record in the log, counted from 1; 0 means no record.
    """

    term: int
    index: int  # type: ignore[assignment]


ZERO_POSITION = LogPosition(0, 0)


class TermEnd(NamedTuple):
    """Last index that a log holds of one term."""

    term: int
    last_index: int


def history_contains(
    history: Sequence[TermEnd], position: LogPosition
) -> bool:
    """Tell whether a log's history includes a position.

    Parameters
    ----------
    history : sequence of TermEnd
        One entry for each term with records in the log, in rising order.
    position : LogPosition
        Position to look for.

    Returns
    -------
    bool
        True if the record at `position` is part of this history.
    """
    if position.index == 0:
        return True
    first_index = 1
    for end in history:
        if end.term == position.term:
            return first_index <= position.index <= end.last_index
        first_index = end.last_index + 1
    return False
