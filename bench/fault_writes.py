"""Writes through one named proxy, recorded for the history checker."""

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

_NUMBERS = itertools.count()


class ProbeWriter:
    """A session on one proxy whose writes enter the history.

    Parameters
    ----------
    run : FaultRun
        Run whose history gets the records.
    proxy, group : str
        Names of the proxy and of the group written to.
    """

    def __init__(self, run: FaultRun, proxy: str, group: str) -> None:
        self.outcomes: list[str] = []
        self._run = run
        self._proxy = proxy
        self._group = group
        self._name = f'probe{next(_NUMBERS)}'
        self._seq = itertools.count(1)
        self._session: Session | None = None

    @asynccontextmanager
    async def connect(self) -> AsyncIterator[None]:
        """Open the session; it is closed on exit."""
        addresses = [
            address
            for address in self._run.cluster.proxy_addresses()
            if address.port == self._run.cluster.programs[self._proxy].port
        ]
        async with open_session(addresses) as session:
            self._session = session
            yield

    async def write(self) -> float:
        """Write one row and return the time it took, in milliseconds."""
        record = self._record(parts=1)
        with self._judge(record):
            await self._connected().write(
                route_of(self._group),
                INSERT,
                self._row(record, 0),
                request_key=record.request_key,
                deadline_ms=DEADLINE_MS,
            )
        return record.ended_ms - record.started_ms

    async def run_transaction(
        self,
        resume: trio.Event,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run a transaction of two rows, with a pause between them.

        Parameters
        ----------
        resume : trio.Event
            Ends the pause.
        task_status : trio.TaskStatus
            Told when the first row is written and the pause begins.
        """
        record = self._record(parts=2)
        with self._judge(record):
            async with self._connected().transaction(
                route_of(self._group),
                request_key=record.request_key,
                deadline_ms=DEADLINE_MS,
            ) as txn:
                await txn.execute(INSERT, self._row(record, 0))
                task_status.started()
                await resume.wait()
                await txn.execute(INSERT, self._row(record, 1))

    def _connected(self) -> Session:
        if self._session is None:
            raise RuntimeError('not connected: valid is within connect()')
        return self._session

    def _record(self, parts: int) -> WriteRecord:
        record = WriteRecord(
            group=self._group,
            session=self._name,
            seq=next(self._seq),
            request_key=new_request_key(),
            outcome='unknown',
            started_ms=now_ms(),
            ended_ms=0,
            parts=parts,
        )
        self._run.history.writes.append(record)
        return record

    def _row(self, record: WriteRecord, part: int) -> list[object]:
        key = record.request_key
        return [key, self._name, record.seq, part, record.parts]

    @contextmanager
    def _judge(self, record: WriteRecord) -> Iterator[None]:
        """Turn what the block raises into the outcome of a record."""
        try:
            yield
            record.outcome = 'done'
        except RequestNotRunError as exc:
            record.outcome, record.code = 'not_run', exc.code
        except OutcomeUnknownError as exc:
            record.code = exc.code
        record.ended_ms = now_ms()
        self.outcomes.append(f'{record.outcome}/{record.code}'.strip('/'))
