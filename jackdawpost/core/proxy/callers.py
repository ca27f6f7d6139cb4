"""Connections of callers, and validation and admission of requests."""

from __future__ import annotations

import zlib

from jackdawpost.core.events import ConnOpened
from jackdawpost.core.events import FrameRejected
from jackdawpost.core.messages.caller import Answer
from jackdawpost.core.messages.caller import AnswerError
from jackdawpost.core.messages.caller import Begin
from jackdawpost.core.messages.caller import CallerRequest
from jackdawpost.core.messages.caller import Commit
from jackdawpost.core.messages.caller import GoingAway
from jackdawpost.core.messages.caller import MAX_DEADLINE_MS
from jackdawpost.core.messages.caller import Rollback
from jackdawpost.core.messages.caller import Statement
from jackdawpost.core.outbox import count
from jackdawpost.core.proxy.admission import FRESH_READ
from jackdawpost.core.proxy.admission import STALE_READ
from jackdawpost.core.proxy.admission import WRITE
from jackdawpost.core.proxy.answers import ERROR_MESSAGES
from jackdawpost.core.proxy.answers import finish_error
from jackdawpost.core.proxy.answers import report_holdings
from jackdawpost.core.proxy.state import Caller
from jackdawpost.core.proxy.state import close
from jackdawpost.core.proxy.state import Group
from jackdawpost.core.proxy.state import new_id
from jackdawpost.core.proxy.state import ProxyState
from jackdawpost.core.proxy.state import Request
from jackdawpost.core.proxy.state import schedule
from jackdawpost.core.proxy.state import send
from jackdawpost.core.proxy.state import SERVING_STATES
from jackdawpost.core.proxy.transactions import add_to_transaction
from jackdawpost.core.proxy.transactions import roll_back
from jackdawpost.core.published import RuleView
from jackdawpost.core.tokens import decode_token
from jackdawpost.core.tokens import EMPTY_TOKEN
from jackdawpost.core.tokens import has_room
from jackdawpost.core.tokens import SessionToken
from jackdawpost.errors import TokenError

# Sent with refusals for which no better estimate is known.
RETRY_AFTER_HINT_MS = 50
MAX_REQUEST_KEY_CHARS = 128


class _RequestRefused(Exception):
    """Refusal of a request, with the error code for the caller."""

    def __init__(
        self, code: str, message: str = '', retry_after_ms: int | None = None
    ) -> None:
        super().__init__(code)
        self.code = code
        self.message = message or ERROR_MESSAGES.get(code, code)
        self.retry_after_ms = retry_after_ms


def on_caller_opened(state: ProxyState, event: ConnOpened) -> None:
    """Accept a caller, or close its connection above the limit."""
    if len(state.callers) >= state.cfg.max_callers:
        count(state, 'callers_refused')
        close(state, event.conn, 'too many callers')
        return
    state.callers[event.conn] = Caller(event.conn)
    if state.drain_started_ms is not None:
        send(state, event.conn, GoingAway(serve_ms=remaining_serve_ms(state)))


def remaining_serve_ms(state: ProxyState) -> int:
    """Return the rest of the drain window, in milliseconds.

    New requests are still accepted in this window. Before the drain starts,
    its whole length is returned.
    """
    if state.drain_started_ms is None:
        return state.cfg.drain_serve_ms
    until_ms = state.drain_started_ms + state.cfg.drain_serve_ms
    return max(0, int(until_ms - state.now_ms))


def on_caller_closed(state: ProxyState, conn: int) -> None:
    """Remove a caller's requests and roll back its transactions.

    Statements that are running on an upstream complete there; their answers
    are discarded.
    """
    caller = state.callers.pop(conn)
    for req in caller.requests.values():
        if req.queued:
            state.groups[req.group].queue.remove(req)
        req.phase = 'over'
        state.requests.pop(req.serial, None)
    for txn in [t for t in caller.txns.values() if t.state == 'open']:
        roll_back(state, txn, 'caller disconnected')


def on_caller_frame_rejected(
    state: ProxyState, caller: Caller, event: FrameRejected
) -> None:
    """Answer a frame that could not be decoded."""
    request_id = event.request_id
    if request_id in caller.requests:
        # The request with this id is still running; the caller would mistake
        # the refusal for its answer.
        request_id = 0
    _refuse(
        state, caller, request_id, _RequestRefused('malformed', event.detail)
    )


def on_caller_request(
    state: ProxyState,
    caller: Caller,
    message: CallerRequest,
    size_bytes: int = 0,
) -> None:
    """Validate and admit one request, or refuse it."""
    try:
        if message.id in caller.requests:
            raise _RequestRefused(
                'duplicate_id',
                f'id {message.id} is already in flight: expected an unused id',
            )
        if len(caller.requests) >= state.cfg.max_in_flight_per_caller:
            raise _RequestRefused(
                'overloaded',
                'too many requests in flight on this connection',
                RETRY_AFTER_HINT_MS,
            )
        if not 1 <= message.deadline_ms <= MAX_DEADLINE_MS:
            raise _RequestRefused(
                'malformed',
                f'deadline_ms {message.deadline_ms}: expected 1 to '
                f'{MAX_DEADLINE_MS}',
            )
        if isinstance(message, (Statement, Commit)):
            _check_request_key(message.request_key)
        if isinstance(message, Begin) or message.txn is None:
            _admit(state, caller, message)
        else:
            _admit_in_transaction(state, caller, message, message.txn)
    except _RequestRefused as refusal:
        _refuse(state, caller, message.id, refusal)
        return
    req = caller.requests.get(message.id)
    if req is not None:
        req.size_bytes = size_bytes
        caller.held_bytes += size_bytes
        report_holdings(state, caller)


def _check_request_key(key: str | None) -> None:
    if key is not None and not 1 <= len(key) <= MAX_REQUEST_KEY_CHARS:
        raise _RequestRefused(
            'malformed',
            f'request_key of {len(key)} characters: expected 1 to '
            f'{MAX_REQUEST_KEY_CHARS}',
        )


def _refuse(
    state: ProxyState,
    caller: Caller,
    request_id: int,
    refusal: _RequestRefused,
) -> None:
    count(state, f'rejected_{refusal.code}')
    error = AnswerError(
        code=refusal.code,
        message=refusal.message,
        retry_after_ms=refusal.retry_after_ms,
    )
    answer = Answer(id=request_id, outcome='not_run', error=error)
    send(state, caller.conn, answer)


def _admit_in_transaction(
    state: ProxyState,
    caller: Caller,
    message: Statement | Commit | Rollback,
    handle: int,
) -> None:
    # A handle is valid only on the connection on which it was opened; that of
    # another caller is refused like an unknown one.
    txn = caller.txns.get(handle)
    if txn is None:
        raise _RequestRefused(
            'unknown_transaction',
            f'transaction {handle} is not open on this connection',
        )
    if txn.state == 'lost':
        if not isinstance(message, Statement):
            del caller.txns[handle]
        raise _RequestRefused('transaction_lost')
    req = _new_request(state, caller, message, txn.group, WRITE)
    _register(state, caller, req)
    add_to_transaction(state, txn, req)


def _admit(state: ProxyState, caller: Caller, message: CallerRequest) -> None:
    if isinstance(message, (Commit, Rollback)):
        raise _RequestRefused('unknown_transaction')
    _check_serving(state)
    rule = state.published.rules.get(message.route)
    if rule is None or not rule.groups:
        raise _RequestRefused(
            'unknown_route', f'unknown route {message.route!r}'
        )
    group = _pick_group(state, rule, message.key)
    if message.deadline_ms > group.max_deadline_ms:
        raise _RequestRefused(
            'malformed',
            f'deadline_ms {message.deadline_ms}: expected at most '
            f'{group.max_deadline_ms} for group {group.name!r}',
        )
    token = _decode_session_token(message.session)
    max_age_ms = None
    priority = WRITE
    if isinstance(message, Statement) and message.access == 'read':
        max_age_ms = _accepted_age(state, rule, message)
        priority = STALE_READ if max_age_ms else FRESH_READ
    else:
        _check_write(state, rule, message, group, token)
    req = _new_request(state, caller, message, group.name, priority)
    req.token = token
    req.after = token.position(group.name)
    req.max_age_ms = max_age_ms
    group.retry_budget.record_request()
    _enqueue_new(state, group, req)


def _check_serving(state: ProxyState) -> None:
    if state.drain_started_ms is not None and not remaining_serve_ms(state):
        raise _RequestRefused('draining')
    if state.member_state and state.member_state not in SERVING_STATES:
        raise _RequestRefused('not_joined', retry_after_ms=RETRY_AFTER_HINT_MS)
    if state.now_ms >= state.leases.config_until_ms:
        raise _RequestRefused(
            'control_unreachable', retry_after_ms=RETRY_AFTER_HINT_MS
        )


def _pick_group(state: ProxyState, rule: RuleView, key: str | None) -> Group:
    """Return the group that a rule assigns to a key, or its first group."""
    group_index = 0
    if key is not None:
        group_index = zlib.crc32(key.encode()) % len(rule.groups)
    group = state.groups.get(rule.groups[group_index])
    if group is None:
        raise _RequestRefused(
            'unknown_route',
            f'group {rule.groups[group_index]!r} is not known to this proxy',
        )
    return group


def _decode_session_token(text: str | None) -> SessionToken:
    if text is None:
        return EMPTY_TOKEN
    try:
        return decode_token(text)
    except TokenError as exc:
        raise _RequestRefused('invalid_token', str(exc)) from exc


def _accepted_age(
    state: ProxyState, rule: RuleView, message: Statement
) -> int | None:
    """Return the age of data that a read accepts, in milliseconds.

    It is given by the read itself or by an allowance, which is a published
    age with a name. None or 0 requires a fresh read.
    """
    if message.max_age_ms is not None:
        if message.allowance is not None:
            raise _RequestRefused(
                'malformed', 'expected at most one of max_age_ms and allowance'
            )
        if message.max_age_ms < 0:
            raise _RequestRefused(
                'malformed',
                f'max_age_ms {message.max_age_ms}: expected at least 0',
            )
        return message.max_age_ms
    name = message.allowance or rule.allowance
    if name is None:
        return None
    allowance = state.published.allowances.get(name)
    if allowance is None:
        raise _RequestRefused(
            'unknown_allowance', f'unknown allowance {name!r}'
        )
    return allowance.max_age_ms


def _check_write(
    state: ProxyState,
    rule: RuleView,
    message: Statement | Begin,
    group: Group,
    token: SessionToken,
) -> None:
    if rule.read_only:
        raise _RequestRefused(
            'read_only_route', f'route {rule.name!r} does not accept writes'
        )
    if isinstance(message, Statement):
        if not message.idempotent and message.request_key is None:
            raise _RequestRefused(
                'request_key_missing',
                'a write that is not idempotent needs a request_key',
            )
    if not has_room(token, group.name, state.groups):
        raise _RequestRefused(
            'invalid_token',
            f'the session token is full; no room for group {group.name!r}',
        )


def _new_request(
    state: ProxyState,
    caller: Caller,
    message: CallerRequest,
    group: str,
    priority: int,
) -> Request:
    return Request(
        new_id(state),
        caller.conn,
        message,
        group,
        priority,
        state.now_ms + message.deadline_ms,
        state.now_ms,
    )


def _register(state: ProxyState, caller: Caller, req: Request) -> None:
    caller.requests[req.message.id] = req
    state.requests[req.serial] = req
    schedule(state, req.due_ms, 'request', req.serial)


def _enqueue_new(state: ProxyState, group: Group, req: Request) -> None:
    queue = group.queue
    retry_after_ms = queue.retry_delay_ms(req, state.now_ms)
    if retry_after_ms is not None:
        displaced = None
        if len(queue) >= queue.limit:
            displaced = queue.evict_lower_priority(req.priority)
        if displaced is None:
            raise _RequestRefused(
                'overloaded',
                f'group {group.name!r} has too many requests waiting',
                retry_after_ms,
            )
        finish_error(
            state,
            displaced,
            'not_run',
            'overloaded',
            f'group {group.name!r} has too many requests waiting',
            retry_after_ms,
        )
    _register(state, state.callers[req.caller], req)
    queue.push(req)
    state.groups_to_dispatch.add(group.name)
