"""Embeddable client: a session with read-your-writes over any proxy."""

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
MIN_ATTEMPT_MS = 50
RETRY_PAUSE_MS = 20
RETRIED_CODES = frozenset(
    {'overloaded', 'draining', 'control_unreachable', 'not_joined'}
)


@dataclass(slots=True)
class Result:
    """Rows of a read, or the effect of a write.

    Parameters
    ----------
    source : str, optional
        ``'primary'`` or ``'replica'``.
    age_ms : int, optional
        Upper bound on the age of the rows, in milliseconds.
    duplicate : bool
        The write had taken effect before under the same request key.
    """

    columns: list[str] = field(default_factory=list)
    rows: list[list[Any]] = field(default_factory=list)
    row_count: int | None = None
    source: str | None = None
    age_ms: int | None = None
    duplicate: bool = False


def new_request_key() -> str:
    """Return a key that identifies one write across resends."""
    return uuid.uuid4().hex


class Session:
    """A caller's session; use `open_session` to make one.

    Statements of one session may run at the same time. The session token
    makes each read see the session's earlier acknowledged writes, through
    whichever proxy it runs.

    Parameters
    ----------
    addresses : sequence of ProxyAddress
        Proxies, tried in turn when a connection is lost.
    nursery : trio.Nursery
        Runs the reader of the connection.
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
            raise ValueError('addresses is empty: valid is at least one')
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
        """Run a statement that changes nothing.

        Parameters
        ----------
        route : str
            Name of a routing rule.
        sql : str
            Statement text.
        params : sequence
            Positional parameters.
        key : str, optional
            Picks the group among those of the rule.
        max_age_ms : int, optional
            Accepted age of the rows in milliseconds; without it and
            without `allowance` the rows are current.
        allowance : str, optional
            Name of a staleness allowance.
        deadline_ms : int
            Time in which an answer is useful, in milliseconds.

        Returns
        -------
        Result
            The rows.

        Raises
        ------
        RequestNotRunError
            The read failed or could not run in time.
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
        return await self._run(message)

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
            Identifies the write across resends; made if not given. Pass
            the same key to ask again after `OutcomeUnknownError`.

        Raises
        ------
        RequestNotRunError
            The write did not take effect.
        OutcomeUnknownError
            The write may have taken effect; asking again with the same
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
        return await self._run(message)

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

        It commits when the block ends and rolls back when the block raises.
        """
        link = await self._connect(deadline_ms)
        begin = Begin(
            id=0,
            route=route,
            key=key,
            session=self.token,
            deadline_ms=deadline_ms,
        )
        answer = await self._ask(link, begin, deadline_ms)
        txn = Transaction(self, link, answer.txn or 0, deadline_ms)
        try:
            yield txn
        except BaseException:
            with trio.CancelScope(shield=True):
                await txn.rollback()
            raise
        await txn.commit(request_key or new_request_key())

    async def _run(self, message: Statement) -> Result:
        deadline_s = trio.current_time() + message.deadline_ms / MS_PER_SECOND
        may_have_run = False
        while True:
            try:
                link = await self._connect(_left_ms(deadline_s))
                left_ms = _left_ms(deadline_s)
                if left_ms < 1:
                    raise RequestNotRunError(
                        'not_run', 'deadline', 'no proxy in time'
                    )
                attempt = replace(
                    message, session=self.token, deadline_ms=int(left_ms)
                )
                answer = await self._ask(link, attempt, left_ms)
                return _build_result(answer)
            except OutcomeUnknownError:
                may_have_run = True
                last_chance = not _may_resend(message)
                if last_chance or _passed(deadline_s):
                    raise
            except RequestNotRunError as exc:
                if exc.code not in RETRIED_CODES or _passed(deadline_s):
                    if may_have_run:
                        raise _as_unknown(exc) from exc
                    raise
                await _pause(exc.retry_after_ms, deadline_s)

    async def _ask(
        self, link: ProxyLink, message: CallerRequest, wait_ms: float
    ) -> Answer:
        numbered = replace(message, id=link.take_id())
        try:
            answer = await link.request(numbered, wait_ms + MIN_ATTEMPT_MS)
        except AnswerLostError as exc:
            link.usable = False
            raise OutcomeUnknownError(
                'unknown', 'answer_lost', str(exc)
            ) from exc
        if answer.session is not None:
            self.token = answer.session
        _raise_for_error(answer)
        return answer

    async def _connect(self, left_ms: float) -> ProxyLink:
        deadline_s = trio.current_time() + left_ms / MS_PER_SECOND
        async with self._connecting:
            while self._link is None or not self._link.usable:
                address = self._addresses[self._next_address]
                try:
                    self._link = await self._nursery.start(
                        run_link, address, CONNECT_TIMEOUT_MS, self._tls
                    )
                except (LinkRefusedError, LinkTimeoutError) as exc:
                    self.move_on()
                    if _passed(deadline_s):
                        raise RequestNotRunError(
                            'not_run', 'no_proxy', str(exc)
                        ) from exc
                    await trio.sleep(RETRY_PAUSE_MS / MS_PER_SECOND)
                else:
                    self.move_on()
        return self._link

    def move_on(self) -> None:
        """Use the next proxy for the next connection."""
        self._next_address = (self._next_address + 1) % len(self._addresses)

    def roam(self) -> None:
        """Leave the current proxy; the next request uses another one."""
        self._link = None


class Transaction:
    """An open transaction; use `Session.transaction` to make one."""

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
        """Run one statement inside the transaction."""
        message = Statement(
            id=0,
            sql=sql,
            params=list(params),
            access='write' if write else 'read',
            txn=self._handle,
            deadline_ms=self._wait_ms,
        )
        return _build_result(await self._ask(message))

    async def commit(self, request_key: str) -> None:
        """Commit; `request_key` lets a repeated transaction be refused."""
        message = Commit(
            id=0,
            txn=self._handle,
            request_key=request_key,
            deadline_ms=self._wait_ms,
        )
        await self._ask(message)

    async def rollback(self) -> None:
        """Roll back; errors are ignored, since the proxy rolls back too."""
        message = Rollback(id=0, txn=self._handle, deadline_ms=self._wait_ms)
        try:
            await self._ask(message)
        except (RequestNotRunError, OutcomeUnknownError):
            return

    async def _ask(self, message: CallerRequest) -> Answer:
        return await self._session._ask(self._link, message, self._wait_ms)


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
        process whose certificate names no proxy is refused.

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
        # The nursery wraps what the caller's block raised; the readers of
        # the connections raise nothing.
        if len(group.exceptions) == 1:
            raise group.exceptions[0] from None
        raise


def _may_resend(message: Statement) -> bool:
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


def _as_unknown(exc: RequestNotRunError) -> OutcomeUnknownError:
    # An earlier attempt may have taken effect although this one did not.
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


def _left_ms(deadline_s: float) -> float:
    return (deadline_s - trio.current_time()) * MS_PER_SECOND


def _passed(deadline_s: float) -> bool:
    return _left_ms(deadline_s) < MIN_ATTEMPT_MS


async def _pause(retry_after_ms: int | None, deadline_s: float) -> None:
    pause_s = max(retry_after_ms or 0, RETRY_PAUSE_MS) / MS_PER_SECOND
    left_s = max(0.0, deadline_s - trio.current_time())
    await trio.sleep(min(pause_s, left_s))
