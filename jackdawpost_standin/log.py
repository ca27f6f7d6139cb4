"""Replicated log: records of committed transactions, kept in memory."""

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
        Term and index in the log.
    statements : list of (str, list or None)
        Texts and parameters in execution order; empty for the record that
        opens a term and for a transaction without writes.
    request_key : str, optional
        Idempotency key of the transaction; `result` is the answer to a
        resend with the same key.
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
        The bytes are not an encoded record.
    """
    try:
        term, index, statements, request_key, result = cbor2.loads(data)
        if type(term) is not int or type(index) is not int:
            raise StorageError(
                f'log position {(term, index)!r:.120}: expected integers'
            )
        return Record(
            LogPosition(term, index),
            [(sql, params) for sql, params in statements],
            request_key,
            Result(*result),
        )
    except (ValueError, TypeError, cbor2.CBORError) as exc:
        raise StorageError(f'log record cannot be decoded: {exc}') from exc


class ReplicatedLog:
    """Encoded records in order, and the last index of each term.

    Records stay encoded. A million decoded records would need more memory,
    and the garbage collector would pause the process to traverse them.
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
        """Append the next record.

        Raises
        ------
        StorageError
            The record does not continue the log.
        """
        term, index = position
        last_term, last_index = self.last
        if index != last_index + 1 or term < last_term:
            raise StorageError(
                f'record at {(term, index)} does not follow the last record '
                f'{(last_term, last_index)}: expected the next index and the '
                'same or a higher term'
            )
        if term == last_term and self.history:
            self.history[-1] = TermEnd(term, index)
        else:
            self.history.append(TermEnd(term, index))
        self.encoded.append(encoded)

    def read(self, after_index: int, last_index: int) -> list[Record]:
        """Decode the records after `after_index` up to `last_index`."""
        return [
            decode_record(data)
            for data in self.encoded[after_index:last_index]
        ]

    def truncate(self, last_index: int) -> int:
        """Remove all records after `last_index`; return their number."""
        removed = len(self.encoded) - last_index
        del self.encoded[last_index:]
        while self.history and self._first_index_of(-1) > last_index:
            self.history.pop()
        if self.history and self.history[-1].last_index > last_index:
            self.history[-1] = TermEnd(self.history[-1].term, last_index)
        return max(0, removed)

    def _first_index_of(self, entry_index: int) -> int:
        entry_index %= len(self.history)
        return (
            self.history[entry_index - 1].last_index + 1 if entry_index else 1
        )

    def common_index(self, other: Sequence[TermEnd]) -> int:
        """Return the last index up to which this log equals another.

        A term has only one primary. Two logs that hold a record of the same
        term and index are therefore equal up to this index.

        Parameters
        ----------
        other : sequence of TermEnd
            Last index of each term in the other log.
        """
        other_ends = {end.term: end.last_index for end in other}
        for entry_index in range(len(self.history) - 1, -1, -1):
            end = self.history[entry_index]
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
