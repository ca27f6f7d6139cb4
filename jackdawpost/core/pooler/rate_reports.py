"""Reports of the tokens of tenants to the control leader.

Nothing is sent while no published tenant has a rate.
"""

from __future__ import annotations

from jackdawpost.core.messages.control import RateReport
from jackdawpost.core.outbox import send
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.rates.stock import build_report
from jackdawpost.core.rates.stock import reset_link


def build_rate_report(state: PoolerState, conn: int) -> list[RateReport]:
    """Return the report to send on a connection; empty if there is none.

    While the leader is unknown, the latest link to it is kept: it may have
    been silent only, and what was reported there still holds.
    """
    stock = state.rates
    is_leader = conn != 0 and conn == state.leader_conn
    if not stock.tenants or not is_leader or conn != stock.link:
        return []
    reserved: dict[str, int] = {}
    for task in state.tasks.values():
        is_unsent = task.token_ms is not None and not task.attempts
        if is_unsent and (task.token_ms or 0.0) > stock.discarded_ms:
            reserved[task.tenant] = reserved.get(task.tenant, 0) + 1
    for tenant in stock.tenants.values():
        for operation in list(tenant.waiting):
            if operation.task not in state.tasks:
                tenant.waiting.remove(operation)
    state.rate_report_due_ms = None
    return [build_report(stock, state.now_ms, reserved)]


def send_rate_report(state: PoolerState) -> None:
    """Send a report now, if there is a leader to send it to."""
    report = build_rate_report(state, state.rates.link)
    if report:
        send(state, state.rates.link, *report)


def change_rate_link(state: PoolerState) -> None:
    """Report on a new connection to the leader, starting anew."""
    reset_link(state.rates, state.leader_conn)
    send_rate_report(state)
