"""State of a simulated database: role, log, rows and request keys."""

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
from jackdawpost_standin.limits import WriteLock
from jackdawpost_standin.log import decode_record
from jackdawpost_standin.log import encode_record
from jackdawpost_standin.log import Record
from jackdawpost_standin.log import ReplicatedLog
from jackdawpost_standin.log import Result
from jackdawpost_standin.notifier import Notifier
from jackdawpost_standin.rows import RowStore

LOG = logging.getLogger(__name__)

# Records applied before other tasks get a chance to run.
APPLY_BATCH_RECORDS = 64


class RoleError(JackdawpostError):
    """A seal, promotion or change of the primary is refused."""


class Database:
    """One database with its replication role, independent of connections.

    Parameters
    ----------
    name : str
        Name of this upstream.
    folder : DataFolder
        Persistent storage of log and role.
    """

    def __init__(self, name: str, folder: DataFolder) -> None:
        self.name = name
        self.metrics = Metrics()
        self.rows = RowStore()
        self.log = ReplicatedLog()
        # Log index of the record with each request key.
        self.request_keys: dict[str, int] = {}
        self.applied_index = 0
        self.leaving = False
        # Whether the log has been compared with that of the primary in the
        # current term and holds no diverged tail.
        self.confirmed = False
        self.write_lock = WriteLock()
        self.changed = Notifier()
        self.role_changed = Notifier()
        # Time to apply and last log index of each received batch.
        self.apply_schedule: deque[tuple[float, int]] = deque()
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
        """Position of the last record whose changes reads can see."""
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
        """Raise the term and refuse all lower terms from now on.

        A primary of a lower term steps down.

        Raises
        ------
        RoleError
            A higher term was accepted before.
        """
        self._check_term(term)
        if term > self.role.term:
            self._stop_leading()
            self.role.term = term
            self._clear_primary()
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
        self._check_term(term)
        if self.role.leads and self.role.term == term:
            return
        if self.role.term == term and self.role.primary:
            raise RoleError(
                f'database follows {self.role.primary!r} in term {term}: '
                'expected a higher term to promote it'
            )
        if term > self.role.term:
            self._stop_leading()
            self.role.term = term
            self._clear_primary()
            self._save_role()
        await self._apply_whole_log(term)
        if self.role.leads:
            return
        self.rows.start_leading()
        self.role.leads = True
        self.confirmed = True
        self._save_role()
        # The empty record opens the term in the log. Without it, a record of
        # a lower term that only the old primary holds could be the highest
        # of the group.
        self.append_committed([], None, Result())
        self.flush()
        LOG.info(
            'promoted', extra={'term': term, 'position': list(self.received)}
        )

    def follow(self, term: int, primary: str, host: str, port: int) -> None:
        """Become a follower that replicates from `primary` in `term`.

        Raises
        ------
        RoleError
            A higher term was accepted, or another primary in this one.
        """
        self._check_term(term)
        role = self.role
        if primary == self.name:
            raise RoleError(
                'primary to follow is this database: expected another one'
            )
        if term == role.term:
            if role.leads:
                raise RoleError(
                    f'database is the primary in term {term}: expected a '
                    'higher term to follow another one'
                )
            if role.primary not in ('', primary):
                raise RoleError(
                    f'database follows {role.primary!r} in term {term}: '
                    'expected a higher term to follow another primary'
                )
            if (role.primary, role.host, role.port) == (primary, host, port):
                return
        self._stop_leading()
        role.term = term
        role.primary, role.host, role.port = primary, host, port
        self.confirmed = False
        self._save_role()
        LOG.info('following', extra={'term': term, 'primary': primary})

    def wipe(self) -> None:
        """Erase all data and create a new identity."""
        self._stop_leading()
        self.log = ReplicatedLog()
        self.request_keys.clear()
        self.apply_schedule.clear()
        self.rows.clear()
        self.applied_index = 0
        self.confirmed = False
        self._folder.truncate(0)
        self.role = new_role()
        self._save_role()
        LOG.warning('disk wiped', extra={'data_id': self.role.data_id})

    def _check_term(self, term: int) -> None:
        if term < self.role.term:
            raise RoleError(
                f'term {term} is too low: expected {self.role.term} or higher'
            )

    def _stop_leading(self) -> None:
        if self.role.leads:
            LOG.info('stopped leading', extra={'term': self.role.term})
        self.role.leads = False
        self.write_lock.revoke()
        self.rows.stop_leading()

    def _clear_primary(self) -> None:
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
        """Append a transaction that this primary has committed to the log.

        Returns
        -------
        LogPosition
            Position of the new record. It is written by `flush`.
        """
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
        """Write new records to the data folder; called before answers."""
        self._folder.flush()

    def append_received(
        self, records: Sequence[bytes], apply_at_s: float
    ) -> None:
        """Append encoded records of the primary, to be applied later.

        Parameters
        ----------
        records : sequence of bytes
            Encoded records in log order.
        apply_at_s : float
            Time of ``trio.current_time()`` at which the records are applied.

        Raises
        ------
        StorageError
            A record is malformed or does not continue the log. The records
            before it are kept.
        """
        try:
            for encoded in records:
                self.log.append(decode_record(encoded).position, encoded)
                self._folder.append(encoded)
        finally:
            self._folder.flush()
            self.apply_schedule.append((apply_at_s, self.received.index))
            self.changed.notify()

    def discard_after(self, last_index: int) -> int:
        """Discard the records after `last_index`; return their number."""
        before = self.received
        removed = self.log.truncate(last_index)
        if not removed:
            return 0
        self._folder.truncate(last_index)
        self.apply_schedule = deque(
            (due_s, min(index, last_index))
            for due_s, index in self.apply_schedule
        )
        rebuilt = self.applied_index > last_index
        if rebuilt:
            self.request_keys.clear()
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
        """Apply one batch of records up to `last_index`.

        Returns
        -------
        bool
            True if all records up to `last_index` are applied.
        """
        last_index = min(last_index, self.received.index)
        batch_end = min(last_index, self.applied_index + APPLY_BATCH_RECORDS)
        if batch_end > self.applied_index:
            self._apply_through(batch_end)
            self.changed.notify()
        return self.applied_index >= last_index

    def _apply_through(self, last_index: int) -> None:
        while self.applied_index < last_index:
            batch_end = min(
                last_index, self.applied_index + APPLY_BATCH_RECORDS
            )
            self._apply(self.log.read(self.applied_index, batch_end))

    def _apply(self, records: Sequence[Record]) -> None:
        self.rows.apply(records)
        for record in records:
            if record.request_key is not None:
                self.request_keys[record.request_key] = record.position.index
        self.applied_index = records[-1].position.index

    async def _apply_whole_log(self, term: int) -> None:
        while not self.apply_batch(self.received.index):
            await trio.lowlevel.checkpoint()
            if self.role.term != term or self.role.primary:
                raise RoleError(
                    'promotion superseded by a higher term or by a primary to '
                    f'follow: the term is now {self.role.term}'
                )
        self.apply_schedule.clear()

    # Positions

    def check_position(self, after: LogPosition) -> RefusalCode | None:
        """Return None if a session position is applied, else a refusal code.

        The code is ``'behind'`` if the position may still be applied here,
        and ``'history_lost'`` if the log does not contain it.
        """
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
