"""The database: role, log, rows and request keys."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Sequence
from typing import Any

import trio

from jackdawpost.core.messages.upstream import Progress
from jackdawpost.core.messages.upstream import RefusalCode
from jackdawpost.core.positions import history_contains
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.positions import TermEnd
from jackdawpost.errors import JackdawpostError
from jackdawpost.runtime.metrics import Metrics
from jackdawpost_standin.disk import DataFolder
from jackdawpost_standin.disk import new_role
from jackdawpost_standin.limits import WriteTurn
from jackdawpost_standin.log import decode_record
from jackdawpost_standin.log import encode_record
from jackdawpost_standin.log import Record
from jackdawpost_standin.log import ReplicatedLog
from jackdawpost_standin.log import Result
from jackdawpost_standin.notifier import Notifier
from jackdawpost_standin.rows import RowStore

LOG = logging.getLogger(__name__)

# Records applied between two chances for other tasks to run.
APPLY_BATCH = 64


class RoleError(JackdawpostError):
    """A seal, promotion or follow is refused."""


class Database:
    """State of one database, without any connection.

    Parameters
    ----------
    name : str
        Name of this upstream.
    folder : DataFolder
        Where log and role survive a restart.
    """

    def __init__(self, name: str, folder: DataFolder) -> None:
        self.name = name
        self.metrics = Metrics()
        self.rows = RowStore()
        self.log = ReplicatedLog()
        self.keys: dict[str, int] = {}
        self.applied_index = 0
        self.leaving = False
        # The log is known to match the primary's in the current term.
        self.confirmed = False
        self.turn = WriteTurn()
        self.changed = Notifier()
        self.role_changed = Notifier()
        self.apply_due: deque[tuple[float, int]] = deque()
        self._folder = folder
        self.role, records = folder.load()
        for encoded in records:
            self.log.append(decode_record(encoded).position, encoded)
        self._apply_through(len(records))

    @property
    def received(self) -> LogPosition:
        """Position of the last record in the log."""
        return self.log.last

    @property
    def applied(self) -> LogPosition:
        """Position of the last record whose rows are visible."""
        return self.log.position_at(self.applied_index)

    def progress(self) -> Progress:
        """Return term and positions for a monitor connection."""
        return Progress(
            term=self.role.term,
            leads=self.role.leads,
            received=self.received,
            applied=self.applied,
            leaving=self.leaving,
        )

    # Role

    def seal(self, term: int) -> None:
        """Refuse lower terms from now on.

        Raises
        ------
        RoleError
            A higher term was accepted before.
        """
        self._refuse_lower(term)
        if term > self.role.term:
            self._stop_leading()
            self.role.term = term
            self._forget_primary()
        if term > self.role.sealed_term:
            self.role.sealed_term = term
            self._save_role()

    async def promote(self, term: int) -> None:
        """Become the primary in `term`.

        Raises
        ------
        RoleError
            A higher term was accepted, or another primary in this one.
        """
        self._refuse_lower(term)
        if self.role.leads and self.role.term == term:
            return
        if self.role.term == term and self.role.primary:
            raise RoleError(f'follows {self.role.primary!r} in term {term}')
        if term > self.role.term:
            self._stop_leading()
            self.role.term = term
            self._forget_primary()
            self._save_role()
        await self._apply_all(term)
        if self.role.leads:
            return
        self.rows.start_leading()
        self.role.leads = True
        self.confirmed = True
        self._save_role()
        # Opens the term in the log, so that a record of a lower term that
        # only the old primary holds can no longer be the highest one.
        self.append_committed([], None, Result())
        self.flush()
        LOG.info(
            'promoted', extra={'term': term, 'position': list(self.received)}
        )

    def follow(self, term: int, primary: str, host: str, port: int) -> None:
        """Follow `primary` in `term`.

        Raises
        ------
        RoleError
            A higher term was accepted, or another primary in this one.
        """
        self._refuse_lower(term)
        role = self.role
        if primary == self.name:
            raise RoleError('cannot follow itself')
        if term == role.term:
            if role.leads:
                raise RoleError(f'leads in term {term}')
            if role.primary not in ('', primary):
                raise RoleError(f'follows {role.primary!r} in term {term}')
            if (role.primary, role.host, role.port) == (primary, host, port):
                return
        self._stop_leading()
        role.term = term
        role.primary, role.host, role.port = primary, host, port
        self.confirmed = False
        self._save_role()
        LOG.info('following', extra={'term': term, 'primary': primary})

    def wipe(self) -> None:
        """Lose all data and take a new identity."""
        self._stop_leading()
        self.log = ReplicatedLog()
        self.keys.clear()
        self.apply_due.clear()
        self.rows.clear()
        self.applied_index = 0
        self.confirmed = False
        self._folder.truncate(0)
        self.role = new_role()
        self._save_role()
        LOG.warning('disk wiped', extra={'data_id': self.role.data_id})

    def _refuse_lower(self, term: int) -> None:
        if term < self.role.term:
            raise RoleError(
                f'term {term}: valid are {self.role.term} and higher'
            )

    def _stop_leading(self) -> None:
        if self.role.leads:
            LOG.info('stopped leading', extra={'term': self.role.term})
        self.role.leads = False
        self.turn.revoke()
        self.rows.stop_leading()

    def _forget_primary(self) -> None:
        self.role.primary, self.role.host, self.role.port = '', '', 0
        self.confirmed = False

    def _save_role(self) -> None:
        self._folder.save_role(self.role)
        self.role_changed.notify()
        self.changed.notify()

    # Log

    def append_committed(
        self,
        statements: list[tuple[str, list[Any] | None]],
        request_key: str | None,
        result: Result,
    ) -> LogPosition:
        """Log a transaction that the primary has just committed."""
        position = LogPosition(self.role.term, self.log.last.index + 1)
        stored = result if request_key is not None else Result()
        record = Record(position, statements, request_key, stored)
        encoded = encode_record(record)
        self.log.append(position, encoded)
        self._folder.append(encoded)
        self._apply([record])
        self.changed.notify()
        return position

    def flush(self) -> None:
        """Write new records to the folder; called before answering."""
        self._folder.flush()

    def accept_records(
        self, records: Sequence[bytes], apply_at_s: float
    ) -> None:
        """Add encoded records of the primary, to be applied later.

        Raises
        ------
        StorageError
            A record is malformed or does not continue the log; those
            before it are kept.
        """
        try:
            for encoded in records:
                self.log.append(decode_record(encoded).position, encoded)
                self._folder.append(encoded)
        finally:
            self._folder.flush()
            self.apply_due.append((apply_at_s, self.received.index))
            self.changed.notify()

    def discard_after(self, last_index: int) -> int:
        """Discard the records after `last_index`; return their number."""
        before = self.received
        removed = self.log.truncate(last_index)
        if not removed:
            return 0
        self._folder.truncate(last_index)
        self.apply_due = deque(
            (due_s, min(index, last_index)) for due_s, index in self.apply_due
        )
        rebuilt = self.applied_index > last_index
        if rebuilt:
            self.keys.clear()
            self.applied_index = 0
            self.rows.clear()
            self._apply_through(last_index)
        self.metrics.count('discarded_records', removed)
        self.metrics.count('discarded_tails')
        LOG.warning(
            'discarded diverged tail',
            extra={
                'records': removed,
                'received': list(before),
                'kept': list(self.received),
                'rows_rebuilt': rebuilt,
            },
        )
        self.changed.notify()
        return removed

    def apply_batch(self, last_index: int) -> bool:
        """Apply some records up to `last_index`; return whether all are."""
        last_index = min(last_index, self.received.index)
        batch_end = min(last_index, self.applied_index + APPLY_BATCH)
        if batch_end > self.applied_index:
            self._apply_through(batch_end)
            self.changed.notify()
        return self.applied_index >= last_index

    def _apply_through(self, last_index: int) -> None:
        while self.applied_index < last_index:
            batch_end = min(last_index, self.applied_index + APPLY_BATCH)
            self._apply(self.log.read(self.applied_index, batch_end))

    def _apply(self, records: Sequence[Record]) -> None:
        self.rows.apply(records)
        for record in records:
            if record.request_key is not None:
                self.keys[record.request_key] = record.position.index
        self.applied_index = records[-1].position.index

    async def _apply_all(self, term: int) -> None:
        while not self.apply_batch(self.received.index):
            await trio.lowlevel.checkpoint()
            if self.role.term != term or self.role.primary:
                raise RoleError(f'superseded in term {self.role.term}')
        self.apply_due.clear()

    # Positions

    def locate(self, after: LogPosition) -> RefusalCode | None:
        """Return None if a session position is applied, else a code."""
        if history_contains(self.log.history, after):
            if after.index <= self.applied_index:
                return None
            return 'behind'
        if not self.role.leads and after > self.received:
            return 'behind'
        return 'history_lost'

    def history(self) -> list[TermEnd]:
        """Return the last index of each term in the log."""
        return list(self.log.history)
