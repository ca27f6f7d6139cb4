"""Deadline check, batch size and message of queued requests to be sent."""

from __future__ import annotations

from jackdawpost.core.messages.caller import Statement
from jackdawpost.core.messages.upstream import Execute
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.positions import ZERO_POSITION
from jackdawpost.core.proxy.answers import finish_error
from jackdawpost.core.proxy.conns import attempt_timeout_ms
from jackdawpost.core.proxy.conns import MAX_BATCH_STATEMENTS
from jackdawpost.core.proxy.state import Group
from jackdawpost.core.proxy.state import new_id
from jackdawpost.core.proxy.state import ProxyState
from jackdawpost.core.proxy.state import Request


def refuse_if_too_late(state: ProxyState, group: Group, req: Request) -> bool:
    """Refuse a request that has too little time left to run.

    Under overload it would occupy a slot for an answer that comes too late,
    and its connection would be closed. A request that has waited for less
    time than it has left is always tried: otherwise a service time that is
    estimated too high would never be corrected.
    """
    remaining_ms = req.due_ms - state.now_ms
    if (
        remaining_ms > group.mean_service_ms
        or remaining_ms > state.now_ms - req.arrived_ms
    ):
        return False
    group.queue.remove(req)
    finish_error(state, req, 'not_run', 'deadline')
    return True


def batch_size(waiting: int, free: int) -> int:
    """Return how many of the waiting statements to send in one frame.

    Parameters
    ----------
    waiting : int
        Queued statements.
    free : int
        Frames that can be sent now.
    """
    return min(MAX_BATCH_STATEMENTS, -(-waiting // max(1, free)))


def build_execute(
    state: ProxyState,
    group: Group,
    req: Request,
    must_lead: bool,
    fresh_after: LogPosition | None = None,
) -> Execute:
    """Build the message of a new attempt; set `exec_id` and `term` of `req`.

    Parameters
    ----------
    must_lead : bool
        The upstream must be the primary.
    fresh_after : LogPosition, optional
        Position that a replica must have applied for the accepted age.
    """
    message = req.message
    assert isinstance(message, Statement)
    req.exec_id = new_id(state)
    req.term = group.view.term
    return Execute(
        id=req.exec_id,
        sql=message.sql,
        access=message.access,
        term=req.term,
        must_lead=must_lead,
        timeout_ms=attempt_timeout_ms(state, req),
        params=message.params,
        after=req.after,
        fresh_after=None if fresh_after == ZERO_POSITION else fresh_after,
        wait_ms=0 if must_lead else group.view.replica_wait_ms,
        request_key=message.request_key,
    )
