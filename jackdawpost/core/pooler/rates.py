"""Rate limits of tenants: admission of operations, and grants of control.

An operation is a standalone statement or the first statement that a
transaction sends to an upstream. It takes one token before it is queued.
"""

from __future__ import annotations

from typing import Any

from jackdawpost.core.messages.control import RateGrant
from jackdawpost.core.outbox import count
from jackdawpost.core.pooler.answers import fail_statement
from jackdawpost.core.pooler.placement import submit
from jackdawpost.core.pooler.rate_reports import send_rate_report
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import schedule
from jackdawpost.core.pooler.state import StatementTask
from jackdawpost.core.rates.limits import derive_limits
from jackdawpost.core.rates.limits import RateSettings
from jackdawpost.core.rates.stock import add_waiting
from jackdawpost.core.rates.stock import apply_grant
from jackdawpost.core.rates.stock import may_wait
from jackdawpost.core.rates.stock import note_operation
from jackdawpost.core.rates.stock import note_requested_report
from jackdawpost.core.rates.stock import report_due_ms
from jackdawpost.core.rates.stock import retry_after_ms
from jackdawpost.core.rates.stock import set_limits
from jackdawpost.core.rates.stock import take_token
from jackdawpost.core.rates.stock import TenantStock
from jackdawpost.core.rates.stock import WAITING_REPORT_INTERVAL_MS

# Tenants that the state page lists one by one; the others are added up.
MAX_LISTED_TENANTS = 20
# Refused callers return within this share of the time to the next token,
# after it has passed, and not all at once.
RETRY_JITTER = 1.0


def update_rates(state: PoolerState) -> None:
    """Adopt the published rates, and the proxies that share them."""
    cfg = state.cfg
    settings = RateSettings(
        window_ms=cfg.rate_window_ms,
        overage=cfg.rate_overage,
        slack=cfg.rate_slack,
    )
    limits = derive_limits(state.published.tenants, settings)
    had_limits = bool(state.rates.tenants)
    if not limits and not had_limits:
        return
    proxies = sorted(state.proxies_last_seen_ms)
    position = proxies.index(cfg.name) if cfg.name in proxies else 0
    released = set_limits(
        state.rates, state.now_ms, limits, len(proxies), position
    )
    for operation in released:
        task = state.tasks.get(operation.task)
        if task is not None:
            submit(state, task)


def admit_operation(
    state: PoolerState, task: StatementTask, tenant: str
) -> None:
    """Queue an operation with a token, let it wait for one, or refuse it."""
    stock = state.rates.tenants.get(tenant)
    if stock is None:
        submit(state, task)
        return
    task.tenant = tenant
    note_operation(state.rates, tenant, state.now_ms)
    if not stock.waiting and _try_submit(state, task):
        _request_report(state, tenant)
        return
    state.tasks[task.number] = task
    if not may_wait(state.rates, tenant, state.now_ms):
        _refuse(state, stock, task)
        return
    stock.waited += 1
    count(state, 'rate_waited')
    due_ms = add_waiting(
        state.rates,
        tenant,
        task.number,
        task.endpoint.objective_ms,
        state.now_ms,
    )
    _request_report(state, tenant)
    _set_timer(state, due_ms)


def _try_submit(state: PoolerState, task: StatementTask) -> bool:
    source = take_token(state.rates, task.tenant, state.now_ms)
    if source == 'none':
        return False
    if source == 'granted':
        task.token_ms = state.now_ms
    submit(state, task)
    return True


def _refuse(
    state: PoolerState, stock: TenantStock, task: StatementTask
) -> None:
    stock.refused += 1
    count(state, 'rate_refused')
    wait_ms = retry_after_ms(state.rates, task.tenant, state.now_ms)
    wait_ms *= 1 + RETRY_JITTER * state.rng.random()
    fail_statement(
        state,
        task,
        'overloaded',
        f'rate limit of tenant {task.tenant!r} reached, '
        f'retry after {wait_ms:.0f} ms',
    )


def _request_report(state: PoolerState, tenant: str) -> None:
    """Report before the regular time if the tenant needs tokens."""
    due_ms = report_due_ms(state.rates, tenant)
    if due_ms is None:
        return
    if due_ms <= state.now_ms:
        _send_requested_report(state)
        return
    if state.rate_report_due_ms is None or due_ms < state.rate_report_due_ms:
        state.rate_report_due_ms = due_ms
    _set_timer(state, due_ms)


def _send_requested_report(state: PoolerState) -> None:
    note_requested_report(state.rates, state.now_ms)
    send_rate_report(state)


def _set_timer(state: PoolerState, due_ms: float) -> None:
    if state.rate_timer_ms is None or due_ms < state.rate_timer_ms:
        state.rate_timer_ms = due_ms
        schedule(state, 'rates', due_ms)


def on_rates_due(state: PoolerState) -> None:
    """Serve or refuse waiting operations, and send a report that is due."""
    state.rate_timer_ms = None
    for name in list(state.rates.tenants):
        _serve_waiting(state, name, is_refused=False)
    _report_if_due(state)


def _report_if_due(state: PoolerState) -> None:
    """Report while operations wait, and set the timer for the next time."""
    waiting = [t for t in state.rates.tenants.values() if t.waiting]
    if waiting:
        next_ms = state.rates.waiting_report_ms + WAITING_REPORT_INTERVAL_MS
        if next_ms <= state.now_ms:
            _send_requested_report(state)
            next_ms = state.now_ms + WAITING_REPORT_INTERVAL_MS
        _set_timer(state, next_ms)
        _set_timer(state, min(t.waiting[0].due_ms for t in waiting))
        return
    due_ms = state.rate_report_due_ms
    if due_ms is None:
        return
    if due_ms <= state.now_ms:
        _send_requested_report(state)
    else:
        _set_timer(state, due_ms)


def on_rate_grant(state: PoolerState, conn: int, grant: RateGrant) -> None:
    """Add granted tokens, and serve the operations that wait for them."""
    stock = state.rates
    if conn != stock.link:
        return
    before = stock.granted
    reports_at_once = apply_grant(stock, state.now_ms, grant)
    if stock.granted > before:
        count(state, 'rate_tokens_granted', stock.granted - before)
    refused = set(grant.refused or ())
    for name in list(stock.tenants):
        _serve_waiting(state, name, name in refused)
    if reports_at_once:
        send_rate_report(state)


def _serve_waiting(state: PoolerState, name: str, is_refused: bool) -> None:
    """Submit the waiting operations that get a token.

    Parameters
    ----------
    is_refused : bool
        Whether the others are refused even if their time is not up.
    """
    stock = state.rates.tenants[name]
    while stock.waiting:
        operation = stock.waiting[0]
        task = state.tasks.get(operation.task)
        is_due = is_refused or state.now_ms >= operation.due_ms
        if task is not None and not _try_submit(state, task):
            if not is_due:
                return
            _refuse(state, stock, task)
        # Answering may have removed it already, with the end of its session.
        if stock.waiting and stock.waiting[0] is operation:
            stock.waiting.popleft()


def dump_rates(state: PoolerState) -> dict[str, Any]:
    """Return the most limited tenants, and the sum of the others."""
    tenants = sorted(
        state.rates.tenants.items(),
        key=lambda item: (item[1].refused, item[1].waited),
        reverse=True,
    )
    listed = tenants[:MAX_LISTED_TENANTS]
    others = tenants[MAX_LISTED_TENANTS:]
    return {
        'link': state.control_conns.get(state.rates.link),
        'tokens_granted': state.rates.granted,
        'tenants': {
            name: {
                'tokens': stock.tokens,
                'waiting': len(stock.waiting),
                'waited': stock.waited,
                'refused': stock.refused,
            }
            for name, stock in listed
        },
        'others': {
            'tokens': sum(stock.tokens for _, stock in others),
            'waited': sum(stock.waited for _, stock in others),
            'refused': sum(stock.refused for _, stock in others),
        },
    }
