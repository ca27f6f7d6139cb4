"""Sends single writes through a given proxy and records their outcomes."""

from __future__ import annotations

import itertools
from collections.abc import AsyncIterator
from collections.abc import Iterator
from contextlib import asynccontextmanager
from contextlib import contextmanager

import trio

from bench.fault_run import FaultRun
from bench.fault_run import now_ms
from bench.load import INSERT
from bench.load import route_of
from jackdawpost.client import new_request_key
from jackdawpost.client import Session
from jackdawpost.client.session import open_session
from jackdawpost.errors import OutcomeUnknownError
from jackdawpost.errors import RequestNotRunError
from jackdawpost.testing.history import WriteRecord

DEADLINE_MS = 3_000

_PROBE_NUMBERS = itertools.count()


class ProbeWriter:
    """A session on one proxy whose writes are added to the history.

    Parameters
    ----------
    run : FaultRun
        Run to whose history the writes are added.
    proxy, group : str
        Names of the proxy to connect to and of the group to write to.
    """

    def __init__(self, run: FaultRun, proxy: str, group: str) -> None:
        self.outcomes: list[str] = []
        self._run = run
        self._proxy = proxy
        self._group = group
        self._name = f'probe{next(_PROBE_NUMBERS)}'
        self._write_numbers = itertools.count(1)
        self._session: Session | None = None

    @asynccontextmanager
    async def connect(self) -> AsyncIterator[None]:
        """Open the session and close it on exit."""
        addresses = [
            address
            for address in self._run.cluster.proxy_addresses()
            if address.port == self._run.cluster.programs[self._proxy].port
        ]
        async with open_session(addresses) as session:
            self._session = session
            yield

    async def write(self) -> float:
        """Write one row and return the duration in milliseconds."""
        record = self._add_record(parts=1)
        with self._record_outcome(record):
            await self._get_session().write(
                route_of(self._group),
                INSERT,
                self._build_row(record, 0),
                request_key=record.request_key,
                deadline_ms=DEADLINE_MS,
            )
        return record.ended_ms - record.started_ms

    async def run_transaction(
        self,
        resume: trio.Event,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Write two rows in one transaction and wait between them.

        Parameters
        ----------
        resume : trio.Event
            Event to wait for after the first row.
        task_status : trio.TaskStatus
            Started once the first row is written.
        """
        record = self._add_record(parts=2)
        with self._record_outcome(record):
            async with self._get_session().transaction(
                route_of(self._group),
                request_key=record.request_key,
                deadline_ms=DEADLINE_MS,
            ) as txn:
                await txn.execute(INSERT, self._build_row(record, 0))
                task_status.started()
                await resume.wait()
                await txn.execute(INSERT, self._build_row(record, 1))

    def _get_session(self) -> Session:
        if self._session is None:
            raise RuntimeError(
                'the writer has no session: use it within connect()'
            )
        return self._session

    def _add_record(self, parts: int) -> WriteRecord:
        record = WriteRecord(
            group=self._group,
            session=self._name,
            seq=next(self._write_numbers),
            request_key=new_request_key(),
            outcome='unknown',
            started_ms=now_ms(),
            ended_ms=0,
            parts=parts,
        )
        self._run.history.writes.append(record)
        return record

    def _build_row(self, record: WriteRecord, part: int) -> list[object]:
        key = record.request_key
        return [key, self._name, record.seq, part, record.parts]

    @contextmanager
    def _record_outcome(self, record: WriteRecord) -> Iterator[None]:
        """Set the outcome of a record from the exception of the block."""
        try:
            yield
            record.outcome = 'done'
        except RequestNotRunError as exc:
            record.outcome, record.code = 'not_run', exc.code
        except OutcomeUnknownError as exc:
            record.code = exc.code
        record.ended_ms = now_ms()
        self.outcomes.append(f'{record.outcome}/{record.code}'.strip('/'))
