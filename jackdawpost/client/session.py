"""Session of a caller, with read-your-writes through any proxy.

After a lost connection or a temporary error, reads are resent until their
deadline. So are writes outside transactions, because their request key
prevents a second execution.
"""

from __future__ import annotations

import ssl
import uuid
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any

import trio

from jackdawpost.client.link import AnswerLostError
from jackdawpost.client.link import ProxyAddress
from jackdawpost.client.link import ProxyLink
from jackdawpost.client.link import run_link
from jackdawpost.core.messages.caller import Answer
from jackdawpost.core.messages.caller import Begin
from jackdawpost.core.messages.caller import CallerRequest
from jackdawpost.core.messages.caller import Commit
from jackdawpost.core.messages.caller import DEFAULT_DEADLINE_MS
from jackdawpost.core.messages.caller import Rollback
from jackdawpost.core.messages.caller import Statement
from jackdawpost.errors import OutcomeUnknownError
from jackdawpost.errors import RequestNotRunError
from jackdawpost.wire.link import LinkRefusedError
from jackdawpost.wire.link import LinkTimeoutError

MS_PER_SECOND = 1_000
CONNECT_TIMEOUT_MS = 1_000
# Minimum remaining time for another attempt. The client also waits this much
# longer than the deadline for an answer, because it may arrive shortly after.
MIN_ATTEMPT_MS = 50
RETRY_DELAY_MS = 20
RETRYABLE_CODES = frozenset(
    {'overloaded', 'draining', 'control_unreachable', 'not_joined'}
)


@dataclass(slots=True)
class Result:
    """Result of a statement: rows of a read, or the effect of a write.

    Parameters
    ----------
    source : str, optional
        ``'primary'`` or ``'replica'``.
    age_ms : int, optional
        Upper bound on the age of the rows, in milliseconds.
    duplicate : bool
        True if the write had already taken effect under the same request
        key.
    """

    columns: list[str] = field(default_factory=list)
    rows: list[list[Any]] = field(default_factory=list)
    row_count: int | None = None
    source: str | None = None
    age_ms: int | None = None
    duplicate: bool = False


def new_request_key() -> str:
    """Return a new key that identifies one write across resends."""
    return uuid.uuid4().hex


class Session:
    """Session of a caller; use `open_session` to create one.

    Statements of a session may run concurrently. The session token ensures
    that each read sees the earlier acknowledged writes of the session,
    whichever proxy serves it.

    Parameters
    ----------
    addresses : sequence of ProxyAddress
        Proxies, tried in turn when a connection is lost.
    nursery : trio.Nursery
        Runs the task that receives answers.
    tls : ssl.SSLContext, optional
        Context from `build_caller_context`.
    """

    def __init__(
        self,
        addresses: Sequence[ProxyAddress],
        nursery: trio.Nursery,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        if not addresses:
            raise ValueError(
                'addresses is empty, expected at least one ProxyAddress'
            )
        self.token: str | None = None
        self._addresses = list(addresses)
        self._next_address = 0
        self._nursery = nursery
        self._tls = tls
        self._link: ProxyLink | None = None
        self._connecting = trio.Lock()

    async def read(
        self,
        route: str,
        sql: str,
        params: Sequence[Any] = (),
        *,
        key: str | None = None,
        max_age_ms: int | None = None,
        allowance: str | None = None,
        deadline_ms: int = DEFAULT_DEADLINE_MS,
    ) -> Result:
        """Run a statement that does not change data.

        Parameters
        ----------
        route : str
            Name of a routing rule.
        sql : str
            Statement text.
        params : sequence
            Positional parameters.
        key : str, optional
            Routing key that selects one of the groups of the rule.
        max_age_ms : int, optional
            Accepted age of the rows, in milliseconds. Rows are current if
            neither this nor `allowance` is given.
        allowance : str, optional
            Name of a staleness allowance of the configuration, in place of
            `max_age_ms`.
        deadline_ms : int
            Time limit for the answer, in milliseconds.

        Returns
        -------
        Result
            Rows of the read.

        Raises
        ------
        RequestNotRunError
            The read failed or could not run before the deadline.
        OutcomeUnknownError
            No answer arrived.
        """
        message = Statement(
            id=0,
            route=route,
            sql=sql,
            params=list(params),
            access='read',
            key=key,
            max_age_ms=max_age_ms,
            allowance=allowance,
            deadline_ms=deadline_ms,
        )
        return await self._run_statement(message)

    async def write(
        self,
        route: str,
        sql: str,
        params: Sequence[Any] = (),
        *,
        key: str | None = None,
        request_key: str | None = None,
        deadline_ms: int = DEFAULT_DEADLINE_MS,
    ) -> Result:
        """Run a statement that changes data, at most once.

        Parameters
        ----------
        request_key : str, optional
            Identifies the write across resends; a new key if not given.
            Pass the same key to retry after `OutcomeUnknownError`.

        Raises
        ------
        RequestNotRunError
            The write did not take effect.
        OutcomeUnknownError
            The write may have taken effect. Retrying with the same
            `request_key` is safe.

        See Also
        --------
        read : The other parameters.
        """
        message = Statement(
            id=0,
            route=route,
            sql=sql,
            params=list(params),
            access='write',
            key=key,
            request_key=request_key or new_request_key(),
            deadline_ms=deadline_ms,
        )
        return await self._run_statement(message)

    @asynccontextmanager
    async def transaction(
        self,
        route: str,
        *,
        key: str | None = None,
        request_key: str | None = None,
        deadline_ms: int = DEFAULT_DEADLINE_MS,
    ) -> AsyncIterator[Transaction]:
        """Run statements in one transaction on the primary.

        The transaction commits when the block ends and rolls back when the
        block raises an exception.

        Parameters
        ----------
        request_key : str, optional
            Identifies the transaction if it is repeated; a new key if not
            given.

        See Also
        --------
        read : The other parameters.
        """
        link = await self._connect(deadline_ms)
        begin = Begin(
            id=0,
            route=route,
            key=key,
            session=self.token,
            deadline_ms=deadline_ms,
        )
        answer = await self._send_request(link, begin, deadline_ms)
        txn = Transaction(self, link, answer.txn or 0, deadline_ms)
        try:
            yield txn
        except BaseException:
            with trio.CancelScope(shield=True):
                await txn.rollback()
            raise
        await txn.commit(request_key or new_request_key())

    async def _run_statement(self, message: Statement) -> Result:
        deadline_s = trio.current_time() + message.deadline_ms / MS_PER_SECOND
        may_have_run = False
        while True:
            try:
                link = await self._connect(_remaining_ms(deadline_s))
                remaining_ms = _remaining_ms(deadline_s)
                if remaining_ms < 1:
                    raise RequestNotRunError(
                        'not_run',
                        'deadline',
                        'no connection to a proxy before the deadline',
                    )
                attempt = replace(
                    message, session=self.token, deadline_ms=int(remaining_ms)
                )
                answer = await self._send_request(link, attempt, remaining_ms)
                return _build_result(answer)
            except OutcomeUnknownError:
                may_have_run = True
                is_final = not _is_safe_to_resend(message)
                if is_final or _is_too_late_to_retry(deadline_s):
                    raise
            except RequestNotRunError as exc:
                if exc.code not in RETRYABLE_CODES or _is_too_late_to_retry(
                    deadline_s
                ):
                    if may_have_run:
                        raise _to_outcome_unknown(exc) from exc
                    raise
                await _wait_before_retry(exc.retry_after_ms, deadline_s)

    async def _send_request(
        self, link: ProxyLink, message: CallerRequest, wait_ms: float
    ) -> Answer:
        request = replace(message, id=link.allocate_request_id())
        try:
            answer = await link.request(request, wait_ms + MIN_ATTEMPT_MS)
        except AnswerLostError as exc:
            link.usable = False
            raise OutcomeUnknownError(
                'unknown', 'answer_lost', str(exc)
            ) from exc
        if answer.session is not None:
            self.token = answer.session
        _raise_for_error(answer)
        return answer

    async def _connect(self, remaining_ms: float) -> ProxyLink:
        deadline_s = trio.current_time() + remaining_ms / MS_PER_SECOND
        async with self._connecting:
            while self._link is None or not self._link.usable:
                address = self._addresses[self._next_address]
                try:
                    self._link = await self._nursery.start(
                        run_link, address, CONNECT_TIMEOUT_MS, self._tls
                    )
                except (LinkRefusedError, LinkTimeoutError) as exc:
                    self.move_on()
                    if _is_too_late_to_retry(deadline_s):
                        raise RequestNotRunError(
                            'not_run', 'no_proxy', str(exc)
                        ) from exc
                    await trio.sleep(RETRY_DELAY_MS / MS_PER_SECOND)
                else:
                    self.move_on()
        return self._link

    def move_on(self) -> None:
        """Select the next proxy for the next connection."""
        self._next_address = (self._next_address + 1) % len(self._addresses)

    def roam(self) -> None:
        """Leave the current proxy; the next request connects to another."""
        self._link = None


class Transaction:
    """Open transaction; use `Session.transaction` to create one."""

    def __init__(
        self, session: Session, link: ProxyLink, handle: int, wait_ms: int
    ) -> None:
        self._session = session
        self._link = link
        self._handle = handle
        self._wait_ms = wait_ms

    async def execute(
        self, sql: str, params: Sequence[Any] = (), *, write: bool = True
    ) -> Result:
        """Run a statement in the transaction."""
        message = Statement(
            id=0,
            sql=sql,
            params=list(params),
            access='write' if write else 'read',
            txn=self._handle,
            deadline_ms=self._wait_ms,
        )
        return _build_result(await self._send_request(message))

    async def commit(self, request_key: str) -> None:
        """Commit, at most once under the same `request_key`.

        If a transaction was committed under the key before, this one is
        rolled back and the call succeeds.
        """
        message = Commit(
            id=0,
            txn=self._handle,
            request_key=request_key,
            deadline_ms=self._wait_ms,
        )
        await self._send_request(message)

    async def rollback(self) -> None:
        """Roll back; errors are ignored, as the proxy rolls back too."""
        message = Rollback(id=0, txn=self._handle, deadline_ms=self._wait_ms)
        try:
            await self._send_request(message)
        except (RequestNotRunError, OutcomeUnknownError):
            return

    async def _send_request(self, message: CallerRequest) -> Answer:
        return await self._session._send_request(
            self._link, message, self._wait_ms
        )


@asynccontextmanager
async def open_session(
    addresses: Sequence[ProxyAddress],
    *,
    tls: ssl.SSLContext | None = None,
) -> AsyncIterator[Session]:
    """Open a session over one or more proxies.

    Parameters
    ----------
    addresses : sequence of ProxyAddress
        Proxies, tried in turn.
    tls : ssl.SSLContext, optional
        Context from `build_caller_context`, if the proxies use TLS. A
        server whose certificate is not that of a proxy is refused.

    Yields
    ------
    Session
        The session; its connection is closed on exit.
    """
    try:
        async with trio.open_nursery() as nursery:
            yield Session(addresses, nursery, tls)
            nursery.cancel_scope.cancel()
    except BaseExceptionGroup as group:
        # The nursery wraps an exception of the caller's block in a group.
        # The tasks that receive answers raise none.
        if len(group.exceptions) == 1:
            raise group.exceptions[0] from None
        raise


def _is_safe_to_resend(message: Statement) -> bool:
    return message.access == 'read' or message.request_key is not None


def _raise_for_error(answer: Answer) -> None:
    if answer.outcome == 'done':
        return
    code = answer.error.code if answer.error else 'unspecified'
    text = answer.error.message if answer.error else ''
    retry_after = answer.error.retry_after_ms if answer.error else None
    error_type: Callable[..., Exception] = (
        RequestNotRunError
        if answer.outcome == 'not_run'
        else OutcomeUnknownError
    )
    raise error_type(answer.outcome, code, text, retry_after)


def _to_outcome_unknown(exc: RequestNotRunError) -> OutcomeUnknownError:
    # This attempt was not run, but an earlier one may have taken effect.
    return OutcomeUnknownError('unknown', exc.code, str(exc))


def _build_result(answer: Answer) -> Result:
    return Result(
        columns=answer.columns or [],
        rows=answer.rows or [],
        row_count=answer.row_count,
        source=answer.source,
        age_ms=answer.age_ms,
        duplicate=answer.duplicate,
    )


def _remaining_ms(deadline_s: float) -> float:
    return (deadline_s - trio.current_time()) * MS_PER_SECOND


def _is_too_late_to_retry(deadline_s: float) -> bool:
    return _remaining_ms(deadline_s) < MIN_ATTEMPT_MS


async def _wait_before_retry(
    retry_after_ms: int | None, deadline_s: float
) -> None:
    delay_s = max(retry_after_ms or 0, RETRY_DELAY_MS) / MS_PER_SECOND
    remaining_s = max(0.0, deadline_s - trio.current_time())
    await trio.sleep(min(delay_s, remaining_s))
