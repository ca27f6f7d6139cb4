"""Graceful shutdown of a proxy."""

from __future__ import annotations

from jackdawpost.core.effects import Stop
from jackdawpost.core.messages.caller import GoingAway
from jackdawpost.core.outbox import log
from jackdawpost.core.proxy.callers import remaining_serve_ms
from jackdawpost.core.proxy.conns import return_recalled_permits
from jackdawpost.core.proxy.control import send_report
from jackdawpost.core.proxy.state import ProxyState
from jackdawpost.core.proxy.state import schedule
from jackdawpost.core.proxy.state import send
from jackdawpost.core.proxy.transactions import roll_back


def on_drain_requested(state: ProxyState) -> None:
    """Start the drain, and notify all callers to use another proxy.

    New requests are accepted for another `drain_serve_ms` (the drain window).
    Transactions that are still open after `drain_limit_ms` are rolled back.
    """
    if state.drain_started_ms is not None:
        return
    state.drain_started_ms = state.now_ms
    log(state, 'info', 'draining', callers=len(state.callers))
    serve_ms = remaining_serve_ms(state)
    for conn in state.callers:
        send(state, conn, GoingAway(serve_ms=serve_ms))
    send_report(state)
    schedule(
        state, state.now_ms + state.cfg.drain_serve_ms, 'drain_window_end'
    )
    schedule(state, state.now_ms + state.cfg.drain_limit_ms, 'drain_limit')


def roll_back_all(state: ProxyState, subject: object) -> None:
    """Roll back transactions that are still open at the drain limit."""
    for txn in list(state.txns.values()):
        roll_back(state, txn, 'drain limit')


def stop_when_drained(state: ProxyState) -> None:
    """Stop after the drain window, once no request or transaction is left.

    Unused permits are returned first, if the control leader is known. A
    permit of a lost connection may still be in use.
    """
    if state.drain_started_ms is None or state.stopped:
        return
    if state.requests or state.txns or remaining_serve_ms(state):
        return
    state.stopped = True
    # Marks all permits for return; those not in use are returned at once.
    for name in state.permits.holdings():
        state.permits.recall(name, state.permits.account(name).held)
        return_recalled_permits(state, name)
    log(state, 'info', 'drained')
    state.outbox.append(Stop())
