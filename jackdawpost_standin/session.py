"""Statements of one connection: checks, transaction and answers."""

from __future__ import annotations

import time
from collections.abc import Sequence
from typing import Any
from typing import cast

import trio

from jackdawpost.core.messages.upstream import Execute
from jackdawpost.core.messages.upstream import Executed
from jackdawpost.core.messages.upstream import RefusalCode
from jackdawpost.core.messages.upstream import TxnBegin
from jackdawpost.core.messages.upstream import TxnCommit
from jackdawpost.core.messages.upstream import TxnRollback
from jackdawpost.core.positions import LogPosition
from jackdawpost.runtime.timers import MS_PER_SECOND
from jackdawpost_standin.database import Database
from jackdawpost_standin.faults import Faults
from jackdawpost_standin.limits import Limit
from jackdawpost_standin.log import Result
from jackdawpost_standin.rows import StatementError
from jackdawpost_standin.rows import StatementTimeoutError

Request = Execute | TxnBegin | TxnCommit | TxnRollback
Refusal = tuple[RefusalCode, str]

_LEAVING: Refusal = ('leaving', 'this database is leaving')


class Workload:
    """Statements of all connections of one database.

    Parameters
    ----------
    database : Database
        Where statements run.
    slots : Limit
        Slots for running statements.
    faults : Faults
        Switches that slow statements down.
    service_ms : float
        Time that a statement holds its slot, in milliseconds.
    """

    def __init__(
        self,
        database: Database,
        slots: Limit,
        faults: Faults,
        service_ms: float,
    ) -> None:
        self.database = database
        self.slots = slots
        self.faults = faults
        self.service_ms = service_ms
        self.refuses_new = False
        self.last_end_s = -float('inf')


class Session:
    """One statements connection; its requests run in order.

    Parameters
    ----------
    work : Workload
        Shared state of all sessions.
    """

    def __init__(self, work: Workload) -> None:
        self._work = work
        self._db = work.database
        self._holds_slot = False
        self._running = False
        self._in_txn = False
        self._statements: list[tuple[str, list[Any] | None]] = []

    # Frames

    def run_now(self, requests: Sequence[Request]) -> list[Executed] | None:
        """Run a whole frame without waiting, if that is possible.

        Returns
        -------
        list of Executed or None
            The answers; None if a request may have to wait, in which case
            nothing was run.
        """
        work = self._work
        if work.service_ms or work.faults.state.slow_ms or self._in_txn:
            return None
        if not all(map(self._needs_no_wait, requests)):
            return None
        if not work.slots.take():
            return [self._refuse_slot(req) for req in requests]
        try:
            now_s = time.monotonic()
            answers = [
                self._execute(cast(Execute, req), now_s) for req in requests
            ]
            self._db.flush()
            return answers
        finally:
            work.slots.release()
            work.last_end_s = trio.current_time()

    def _needs_no_wait(self, req: Request) -> bool:
        if type(req) is not Execute or req.in_txn:
            return False
        if req.access == 'write' and not self._db.turn.free:
            return False
        if not req.wait_ms:
            return True
        refusal = self._check(req)
        return refusal is None or refusal[0] != 'behind'

    def take_slot(self) -> bool:
        """Take a slot for a frame, unless the transaction has one."""
        if not self._holds_slot:
            self._holds_slot = self._work.slots.take()
        self._running = self._holds_slot
        return self._holds_slot

    def end_frame(self) -> None:
        """Release the slot, unless the transaction keeps it."""
        self._running = False
        self._work.last_end_s = trio.current_time()
        if self._holds_slot and not self._in_txn:
            self._holds_slot = False
            self._work.slots.release()

    async def run(self, req: Request) -> Executed:
        """Run one request; the caller has taken a slot."""
        if type(req) is Execute:
            answer = await self._run_execute(req)
        elif type(req) is TxnBegin:
            answer = await self._run_begin(req)
        elif type(req) is TxnCommit:
            answer = self._run_commit(req)
        else:
            self._end_txn()
            answer = self._done(req.id, Result(), None)
        self._db.flush()
        return answer

    def refuse_slot(self, requests: Sequence[Request]) -> list[Executed]:
        """Return the answers to a frame that finds no slot."""
        return [self._refuse_slot(req) for req in requests]

    def close(self) -> None:
        """Roll back and release everything; the connection has ended."""
        self._end_txn()
        if self._holds_slot:
            self._holds_slot = False
            self._work.slots.release()

    def lose_txn(self) -> None:
        """Forget the transaction; the database has stopped leading."""
        self._in_txn = False
        self._statements = []
        # The slot stays with the frame that runs, and ends with it.
        if self._holds_slot and not self._running:
            self._holds_slot = False
            self._work.slots.release()

    # Single statements and statements in a transaction

    async def _run_execute(self, req: Execute) -> Executed:
        deadline_s = trio.current_time() + req.timeout_ms / MS_PER_SECOND
        refusal: Refusal | None
        if req.in_txn:
            refusal = self._check_txn(req.term)
        elif self._in_txn:
            refusal = 'malformed', 'a transaction is open on this connection'
        else:
            refusal = await self._wait_ready(req)
        if refusal is not None:
            return self._refuse(req.id, *refusal)
        if not await self._serve_time(deadline_s):
            return self._refuse(req.id, 'timeout', 'ran out of time')
        if req.in_txn:
            return self._execute_in_txn(req, time.monotonic())
        if req.access == 'read':
            return self._execute(req, time.monotonic())
        if not await self._db.turn.acquire(self, deadline_s):
            return self._refuse(
                req.id, 'timeout', 'waited for a transaction to end'
            )
        try:
            return self._execute(req, time.monotonic())
        finally:
            self._db.turn.release(self)

    async def _serve_time(self, deadline_s: float) -> bool:
        work = self._work
        service_ms = work.service_ms + work.faults.state.slow_ms
        if service_ms <= 0:
            return True
        end_s = trio.current_time() + service_ms / MS_PER_SECOND
        await trio.sleep_until(min(end_s, deadline_s))
        return end_s <= deadline_s

    async def _wait_ready(self, req: Execute) -> Refusal | None:
        deadline_s = trio.current_time() + req.wait_ms / MS_PER_SECOND
        while True:
            refusal = self._check(req)
            if refusal is None or refusal[0] != 'behind':
                return refusal
            if trio.current_time() >= deadline_s:
                return refusal
            await self._db.changed.wait_until(deadline_s)

    def _execute(self, req: Execute, now_s: float) -> Executed:
        refusal = self._check(req)
        if refusal is not None:
            return self._refuse(req.id, *refusal)
        deadline = now_s + req.timeout_ms / MS_PER_SECOND
        try:
            if req.access == 'read':
                result = self._db.rows.read(req.sql, req.params, deadline)
                return self._done(req.id, result, self._db.applied)
            return self._write(req, deadline)
        except StatementTimeoutError as exc:
            return self._refuse(req.id, 'timeout', str(exc))
        except StatementError as exc:
            return self._refuse(req.id, 'statement_failed', str(exc))

    def _write(self, req: Execute, deadline: float) -> Executed:
        if req.request_key is not None:
            answer = self._answer_from_key(req.id, req.request_key)
            if answer is not None:
                return answer
        result = self._db.rows.write(req.sql, req.params, deadline)
        position = self._db.append_committed(
            [(req.sql, req.params)], req.request_key, result
        )
        return self._done(req.id, result, position)

    def _answer_from_key(self, req_id: int, key: str) -> Executed | None:
        if not _is_encodable(key):
            return self._refuse(req_id, 'malformed', 'key is not Unicode')
        index = self._db.keys.get(key)
        if index is None:
            return None
        record = self._db.log.read(index - 1, index)[0]
        self._db.metrics.count('duplicates')
        answer = self._done(req_id, record.result, record.position)
        answer.duplicate = True
        return answer

    # Transactions

    async def _run_begin(self, req: TxnBegin) -> Executed:
        deadline_s = trio.current_time() + req.timeout_ms / MS_PER_SECOND
        if self._in_txn:
            return self._refuse(req.id, 'malformed', 'transaction is open')
        refusal = self._check_begin(req)
        if refusal is not None:
            return self._refuse(req.id, *refusal)
        if not await self._db.turn.acquire(self, deadline_s):
            return self._refuse(
                req.id, 'timeout', 'waited for a transaction to end'
            )
        refusal = self._check_begin(req)
        if refusal is not None:
            self._db.turn.release(self)
            return self._refuse(req.id, *refusal)
        self._db.rows.begin()
        self._in_txn = True
        self._statements = []
        return self._done(req.id, Result(), self._db.applied)

    def _execute_in_txn(self, req: Execute, now_s: float) -> Executed:
        refusal = self._check_txn(req.term)
        if refusal is not None:
            return self._refuse(req.id, *refusal)
        deadline = now_s + req.timeout_ms / MS_PER_SECOND
        rows = self._db.rows
        try:
            if req.access == 'read':
                result = rows.read_in_txn(req.sql, req.params, deadline)
            else:
                result = rows.write(req.sql, req.params, deadline)
                self._statements.append((req.sql, req.params))
        except StatementError as exc:
            message = str(exc)
            if not rows.in_transaction:
                self._end_txn()
                message = f'{message}; the transaction was rolled back'
            if isinstance(exc, StatementTimeoutError):
                return self._refuse(req.id, 'timeout', message)
            return self._refuse(req.id, 'statement_failed', message)
        return self._done(req.id, result, None)

    def _run_commit(self, req: TxnCommit) -> Executed:
        refusal = self._check_leader(req.term)
        if refusal is not None:
            self._end_txn()
            return self._refuse(req.id, *refusal)
        if req.request_key is not None:
            answer = self._answer_from_key(req.id, req.request_key)
            if answer is not None:
                self._end_txn()
                return answer
        if not self._in_txn:
            return self._refuse(req.id, 'malformed', 'no transaction is open')
        self._db.rows.commit()
        position = self._db.applied
        if self._statements or req.request_key is not None:
            position = self._db.append_committed(
                self._statements, req.request_key, Result()
            )
        self._end_txn()
        return self._done(req.id, Result(), position)

    def _end_txn(self) -> None:
        if not self._in_txn:
            return
        self._in_txn = False
        self._statements = []
        self._db.rows.rollback()
        self._db.turn.release(self)

    # Checks

    def _check(self, req: Execute) -> Refusal | None:
        if self._work.refuses_new:
            return _LEAVING
        if req.must_lead or req.access == 'write':
            refusal = self._check_leader(req.term)
        else:
            refusal = self._check_replica(req.term)
        if refusal is not None:
            return refusal
        return self._check_positions(req.after, req.fresh_after)

    def _check_begin(self, req: TxnBegin) -> Refusal | None:
        if self._work.refuses_new:
            return _LEAVING
        refusal = self._check_leader(req.term)
        if refusal is not None:
            return refusal
        return self._check_positions(req.after, None)

    def _check_txn(self, term: int) -> Refusal | None:
        refusal = self._check_leader(term)
        if refusal is None and not self._in_txn:
            return 'malformed', 'no transaction is open'
        return refusal

    def _check_leader(self, term: int) -> Refusal | None:
        role = self._db.role
        if term != role.term:
            return 'stale_term', f'term {term}: valid is {role.term}'
        if not role.leads:
            return 'not_primary', 'this database does not lead'
        return None

    def _check_replica(self, term: int) -> Refusal | None:
        role = self._db.role
        if term != role.term:
            return 'stale_term', f'term {term}: valid is {role.term}'
        if not self._db.confirmed:
            # The log may still hold a tail that the primary does not have.
            return 'behind', 'not yet compared with the primary'
        return None

    def _check_positions(
        self, after: LogPosition | None, fresh_after: LogPosition | None
    ) -> Refusal | None:
        if after is not None:
            code = self._db.locate(after)
            if code is not None:
                applied = tuple(self._db.applied)
                return code, f'after {tuple(after)}, applied {applied}'
        if fresh_after is not None and self._db.applied < fresh_after:
            applied = tuple(self._db.applied)
            return (
                'behind',
                f'fresh after {tuple(fresh_after)}, applied {applied}',
            )
        return None

    # Answers

    def _done(
        self, req_id: int, result: Result, position: LogPosition | None
    ) -> Executed:
        return Executed(
            id=req_id,
            status='done',
            columns=result.columns,
            rows=result.rows,
            row_count=result.row_count,
            position=position,
            term=self._db.role.term,
        )

    def _refuse(
        self, req_id: int, code: RefusalCode, message: str
    ) -> Executed:
        self._db.metrics.count(f'refused_{code}')
        return Executed(
            id=req_id,
            status='not_run',
            code=code,
            message=message,
            term=self._db.role.term,
        )

    def _refuse_slot(self, req: Request) -> Executed:
        return self._refuse(
            req.id, 'no_slot', f'all {self._work.slots.size} slots in use'
        )


def _is_encodable(text: str) -> bool:
    """Tell whether a text from JSON has no half of a surrogate pair."""
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
