"""Execution of the statements and the transaction of one connection."""

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
from jackdawpost_standin.faults import FaultInjector
from jackdawpost_standin.limits import Limit
from jackdawpost_standin.log import Result
from jackdawpost_standin.rows import StatementError
from jackdawpost_standin.rows import StatementTimeoutError

Request = Execute | TxnBegin | TxnCommit | TxnRollback
Refusal = tuple[RefusalCode, str]

_LEAVING: Refusal = (
    'leaving',
    'this database is leaving its group: use another one',
)


class ExecutionContext:
    """State that the sessions of one database share.

    Parameters
    ----------
    database : Database
        Database that runs the statements.
    slots : Limit
        Limit of statements that run at the same time.
    faults : FaultInjector
        Provides the injected delay of statements.
    service_ms : float
        Simulated execution time of a statement, in milliseconds.

    Attributes
    ----------
    refuses_new : bool
        Whether new statements and transactions are refused, because the
        database is leaving.
    last_finished_s : float
        Time of ``trio.current_time()`` at which the last frame finished.
    """

    def __init__(
        self,
        database: Database,
        slots: Limit,
        faults: FaultInjector,
        service_ms: float,
    ) -> None:
        self.database = database
        self.slots = slots
        self.faults = faults
        self.service_ms = service_ms
        self.refuses_new = False
        self.last_finished_s = -float('inf')


class Session:
    """Session on a connection for statements; its requests run in order.

    Parameters
    ----------
    context : ExecutionContext
        State that all sessions share.
    """

    def __init__(self, context: ExecutionContext) -> None:
        self._context = context
        self._db = context.database
        self._holds_slot = False
        self._running = False
        self._in_txn = False
        self._statements: list[tuple[str, list[Any] | None]] = []

    # Frames

    def try_run_immediately(
        self, requests: Sequence[Request]
    ) -> list[Executed] | None:
        """Run a whole frame if no request in it has to wait.

        Returns
        -------
        list of Executed or None
            The answers, or None if a request may have to wait. In this case
            nothing was run.
        """
        context = self._context
        if context.service_ms or context.faults.state.slow_ms or self._in_txn:
            return None
        if not all(map(self._can_run_immediately, requests)):
            return None
        if not context.slots.try_acquire():
            return [self._build_no_slot_answer(req) for req in requests]
        try:
            now_s = time.monotonic()
            answers = [
                self._execute(cast(Execute, req), now_s) for req in requests
            ]
            self._db.flush()
            return answers
        finally:
            context.slots.release()
            context.last_finished_s = trio.current_time()

    def _can_run_immediately(self, req: Request) -> bool:
        if type(req) is not Execute or req.in_txn:
            return False
        if req.access == 'write' and not self._db.write_lock.is_free:
            return False
        if not req.wait_ms:
            return True
        refusal = self._check_execute(req)
        return refusal is None or refusal[0] != 'behind'

    def acquire_slot(self) -> bool:
        """Acquire a slot for a frame unless the open transaction holds one."""
        if not self._holds_slot:
            self._holds_slot = self._context.slots.try_acquire()
        self._running = self._holds_slot
        return self._holds_slot

    def end_frame(self) -> None:
        """Release the slot of a frame unless a transaction is open."""
        self._running = False
        self._context.last_finished_s = trio.current_time()
        if self._holds_slot and not self._in_txn:
            self._holds_slot = False
            self._context.slots.release()

    async def run(self, req: Request) -> Executed:
        """Run one request; the session must hold a slot."""
        if type(req) is Execute:
            answer = await self._run_execute(req)
        elif type(req) is TxnBegin:
            answer = await self._run_begin(req)
        elif type(req) is TxnCommit:
            answer = self._run_commit(req)
        else:
            self._end_txn()
            answer = self._build_done(req.id, Result(), None)
        self._db.flush()
        return answer

    def refuse_no_slot(self, requests: Sequence[Request]) -> list[Executed]:
        """Return the answers to a frame for which no slot is free."""
        return [self._build_no_slot_answer(req) for req in requests]

    def close(self) -> None:
        """Roll back and release the slot; the connection has ended."""
        self._end_txn()
        if self._holds_slot:
            self._holds_slot = False
            self._context.slots.release()

    def on_txn_revoked(self) -> None:
        """Drop the transaction; the database is no longer the primary."""
        self._in_txn = False
        self._statements = []
        # A running frame keeps the slot; `end_frame` releases it.
        if self._holds_slot and not self._running:
            self._holds_slot = False
            self._context.slots.release()

    # Single statements and statements in a transaction

    async def _run_execute(self, req: Execute) -> Executed:
        deadline_s = trio.current_time() + req.timeout_ms / MS_PER_SECOND
        refusal: Refusal | None
        if req.in_txn:
            refusal = self._check_txn(req.term)
        elif self._in_txn:
            refusal = (
                'malformed',
                'a transaction is open on this connection: expected a '
                'statement with in_txn',
            )
        else:
            refusal = await self._wait_for_position(req)
        if refusal is not None:
            return self._build_refusal(req.id, *refusal)
        if not await self._wait_service_time(deadline_s):
            return self._build_refusal(
                req.id, 'timeout', 'statement exceeded its timeout_ms'
            )
        if req.in_txn:
            return self._execute_in_txn(req, time.monotonic())
        if req.access == 'read':
            return self._execute(req, time.monotonic())
        if not await self._db.write_lock.acquire(self, deadline_s):
            return self._build_refusal(
                req.id,
                'timeout',
                'write lock not acquired: another transaction held it',
            )
        try:
            return self._execute(req, time.monotonic())
        finally:
            self._db.write_lock.release(self)

    async def _wait_service_time(self, deadline_s: float) -> bool:
        context = self._context
        service_ms = context.service_ms + context.faults.state.slow_ms
        if service_ms <= 0:
            return True
        end_s = trio.current_time() + service_ms / MS_PER_SECOND
        await trio.sleep_until(min(end_s, deadline_s))
        return end_s <= deadline_s

    async def _wait_for_position(self, req: Execute) -> Refusal | None:
        deadline_s = trio.current_time() + req.wait_ms / MS_PER_SECOND
        while True:
            refusal = self._check_execute(req)
            if refusal is None or refusal[0] != 'behind':
                return refusal
            if trio.current_time() >= deadline_s:
                return refusal
            await self._db.changed.wait_for_change_until(deadline_s)

    def _execute(self, req: Execute, now_s: float) -> Executed:
        refusal = self._check_execute(req)
        if refusal is not None:
            return self._build_refusal(req.id, *refusal)
        deadline = now_s + req.timeout_ms / MS_PER_SECOND
        try:
            if req.access == 'read':
                result = self._db.rows.read(req.sql, req.params, deadline)
                return self._build_done(req.id, result, self._db.applied)
            return self._write(req, deadline)
        except StatementTimeoutError as exc:
            return self._build_refusal(req.id, 'timeout', str(exc))
        except StatementError as exc:
            return self._build_refusal(req.id, 'statement_failed', str(exc))

    def _write(self, req: Execute, deadline: float) -> Executed:
        if req.request_key is not None:
            answer = self._find_stored_answer(req.id, req.request_key)
            if answer is not None:
                return answer
        result = self._db.rows.write(req.sql, req.params, deadline)
        position = self._db.append_committed(
            [(req.sql, req.params)], req.request_key, result
        )
        return self._build_done(req.id, result, position)

    def _find_stored_answer(self, req_id: int, key: str) -> Executed | None:
        if not _is_encodable(key):
            return self._build_refusal(
                req_id,
                'malformed',
                'request_key has a lone surrogate: expected valid Unicode',
            )
        index = self._db.request_keys.get(key)
        if index is None:
            return None
        record = self._db.log.read(index - 1, index)[0]
        self._db.metrics.count('duplicates')
        answer = self._build_done(req_id, record.result, record.position)
        answer.duplicate = True
        return answer

    # Transactions

    async def _run_begin(self, req: TxnBegin) -> Executed:
        deadline_s = trio.current_time() + req.timeout_ms / MS_PER_SECOND
        if self._in_txn:
            return self._build_refusal(
                req.id,
                'malformed',
                'a transaction is open already: expected txn_commit or '
                'txn_rollback first',
            )
        refusal = self._check_begin(req)
        if refusal is not None:
            return self._build_refusal(req.id, *refusal)
        if not await self._db.write_lock.acquire(self, deadline_s):
            return self._build_refusal(
                req.id,
                'timeout',
                'write lock not acquired: another transaction held it',
            )
        refusal = self._check_begin(req)
        if refusal is not None:
            self._db.write_lock.release(self)
            return self._build_refusal(req.id, *refusal)
        self._db.rows.begin()
        self._in_txn = True
        self._statements = []
        return self._build_done(req.id, Result(), self._db.applied)

    def _execute_in_txn(self, req: Execute, now_s: float) -> Executed:
        refusal = self._check_txn(req.term)
        if refusal is not None:
            return self._build_refusal(req.id, *refusal)
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
                return self._build_refusal(req.id, 'timeout', message)
            return self._build_refusal(req.id, 'statement_failed', message)
        return self._build_done(req.id, result, None)

    def _run_commit(self, req: TxnCommit) -> Executed:
        refusal = self._check_primary(req.term)
        if refusal is not None:
            self._end_txn()
            return self._build_refusal(req.id, *refusal)
        if req.request_key is not None:
            answer = self._find_stored_answer(req.id, req.request_key)
            if answer is not None:
                self._end_txn()
                return answer
        if not self._in_txn:
            return self._build_refusal(
                req.id,
                'malformed',
                'no transaction is open: expected txn_begin first',
            )
        self._db.rows.commit()
        position = self._db.applied
        if self._statements or req.request_key is not None:
            position = self._db.append_committed(
                self._statements, req.request_key, Result()
            )
        self._end_txn()
        return self._build_done(req.id, Result(), position)

    def _end_txn(self) -> None:
        if not self._in_txn:
            return
        self._in_txn = False
        self._statements = []
        self._db.rows.rollback()
        self._db.write_lock.release(self)

    # Checks

    def _check_execute(self, req: Execute) -> Refusal | None:
        if self._context.refuses_new:
            return _LEAVING
        if req.must_lead or req.access == 'write':
            refusal = self._check_primary(req.term)
        else:
            refusal = self._check_replica(req.term)
        if refusal is not None:
            return refusal
        return self._check_positions(req.after, req.fresh_after)

    def _check_begin(self, req: TxnBegin) -> Refusal | None:
        if self._context.refuses_new:
            return _LEAVING
        refusal = self._check_primary(req.term)
        if refusal is not None:
            return refusal
        return self._check_positions(req.after, None)

    def _check_txn(self, term: int) -> Refusal | None:
        refusal = self._check_primary(term)
        if refusal is None and not self._in_txn:
            return (
                'malformed',
                'no transaction is open: expected txn_begin first',
            )
        return refusal

    def _check_primary(self, term: int) -> Refusal | None:
        role = self._db.role
        if term != role.term:
            return (
                'stale_term',
                f'request has term {term}: expected {role.term}',
            )
        if not role.leads:
            return (
                'not_primary',
                'this database is not the primary of its group',
            )
        return None

    def _check_replica(self, term: int) -> Refusal | None:
        role = self._db.role
        if term != role.term:
            return (
                'stale_term',
                f'request has term {term}: expected {role.term}',
            )
        if not self._db.confirmed:
            # The log may end with records that the primary does not have.
            return (
                'behind',
                'log was not compared with that of the primary yet',
            )
        return None

    def _check_positions(
        self, after: LogPosition | None, fresh_after: LogPosition | None
    ) -> Refusal | None:
        if after is not None:
            code = self._db.check_position(after)
            if code is not None:
                applied = tuple(self._db.applied)
                return code, (
                    f'session position {tuple(after)} is not applied here: '
                    f'applied up to {applied}'
                )
        if fresh_after is not None and self._db.applied < fresh_after:
            applied = tuple(self._db.applied)
            return (
                'behind',
                f'fresh_after {tuple(fresh_after)} is not applied here: '
                f'applied up to {applied}',
            )
        return None

    # Answers

    def _build_done(
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

    def _build_refusal(
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

    def _build_no_slot_answer(self, req: Request) -> Executed:
        return self._build_refusal(
            req.id,
            'no_slot',
            f'all {self._context.slots.size} slots are in use: retry later',
        )


def _is_encodable(text: str) -> bool:
    """Return whether UTF-8 can encode a text; JSON allows lone surrogates."""
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
