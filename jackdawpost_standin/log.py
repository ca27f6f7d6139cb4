"""The replicated log: records of committed transactions."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import cbor2

from jackdawpost.core.positions import LogPosition
from jackdawpost.core.positions import TermEnd
from jackdawpost.core.positions import ZERO_POSITION
from jackdawpost.errors import StorageError


@dataclass(slots=True)
class Result:
    """Result set and row count of a statement."""

    columns: list[str] | None = None
    rows: list[list[Any]] | None = None
    row_count: int | None = None


@dataclass(slots=True)
class Record:
    """One committed transaction.

    Parameters
    ----------
    position : LogPosition
        Place in the log.
    statements : list of (str, list or None)
        Texts and parameters in the order in which they ran; empty for the
        record that opens a term.
    request_key : str, optional
        Key under which `result` is the stored answer.
    """

    position: LogPosition
    statements: list[tuple[str, list[Any] | None]]
    request_key: str | None = None
    result: Result = field(default_factory=Result)


def encode_record(record: Record) -> bytes:
    """Encode a record for the log file and for replication."""
    result = record.result
    return cbor2.dumps(
        [
            record.position.term,
            record.position.index,
            record.statements,
            record.request_key,
            [result.columns, result.rows, result.row_count],
        ]
    )


def decode_record(data: bytes) -> Record:
    """Decode a record.

    Raises
    ------
    StorageError
        The bytes are not a record.
    """
    try:
        term, index, statements, request_key, result = cbor2.loads(data)
        if type(term) is not int or type(index) is not int:
            raise StorageError(f'not a log position: {(term, index)!r:.120}')
        return Record(
            LogPosition(term, index),
            [(sql, params) for sql, params in statements],
            request_key,
            Result(*result),
        )
    except (ValueError, TypeError, cbor2.CBORError) as exc:
        raise StorageError(f'not a log record: {exc}') from exc


class ReplicatedLog:
    """Records in order, with the history of terms.

    Records are kept encoded: a million of them as objects would cost more
    memory and make the garbage collector stop the process.
    """

    def __init__(self) -> None:
        self.encoded: list[bytes] = []
        self.history: list[TermEnd] = []

    @property
    def last(self) -> LogPosition:
        """Position of the last record."""
        if not self.history:
            return ZERO_POSITION
        return LogPosition(*self.history[-1])

    def append(self, position: LogPosition, encoded: bytes) -> None:
        """Add the next record.

        Raises
        ------
        StorageError
            The record does not continue the log.
        """
        term, index = position
        last_term, last_index = self.last
        if index != last_index + 1 or term < last_term:
            raise StorageError(
                f'record {(term, index)} does not follow '
                f'{(last_term, last_index)}'
            )
        if term == last_term and self.history:
            self.history[-1] = TermEnd(term, index)
        else:
            self.history.append(TermEnd(term, index))
        self.encoded.append(encoded)

    def read(self, after_index: int, last_index: int) -> list[Record]:
        """Decode the records after one index up to another."""
        return [
            decode_record(data)
            for data in self.encoded[after_index:last_index]
        ]

    def truncate(self, last_index: int) -> int:
        """Remove all records after `last_index`; return their number."""
        removed = len(self.encoded) - last_index
        del self.encoded[last_index:]
        while self.history and self._start_of(-1) > last_index:
            self.history.pop()
        if self.history and self.history[-1].last_index > last_index:
            self.history[-1] = TermEnd(self.history[-1].term, last_index)
        return max(0, removed)

    def _start_of(self, place: int) -> int:
        place %= len(self.history)
        return self.history[place - 1].last_index + 1 if place else 1

    def common_index(self, other: Sequence[TermEnd]) -> int:
        """Return the last index that this log shares with another history.

        A term has one primary, so two logs that both hold a record of one
        term and index are equal up to it.
        """
        other_ends = {end.term: end.last_index for end in other}
        for place in range(len(self.history) - 1, -1, -1):
            end = self.history[place]
            if end.term in other_ends:
                return min(end.last_index, other_ends[end.term])
        return 0

    def position_at(self, index: int) -> LogPosition:
        """Return the position of the record at `index`."""
        if index == 0:
            return ZERO_POSITION
        ends = [end.last_index for end in self.history]
        return LogPosition(
            self.history[bisect_right(ends, index - 1)].term, index
        )
