"""Tokens of tenants that a pooler holds, and operations that wait for one.

While a leader of control answers, operations use tokens that it has granted.
Without control, a pooler admits its own share of the rate. It discards the
granted tokens before the leader ceases to count them.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Literal

from jackdawpost.core.messages.control import RateGrant
from jackdawpost.core.messages.control import RateReport
from jackdawpost.core.rates.limits import CLOCK_MARGIN
from jackdawpost.core.rates.limits import FALLBACK_AFTER_MS
from jackdawpost.core.rates.limits import MS_PER_SECOND
from jackdawpost.core.rates.limits import RateLimit
from jackdawpost.core.rates.limits import TOKEN_VALIDITY_MS

STOCK_VALIDITY_MS = TOKEN_VALIDITY_MS * (1 - CLOCK_MARGIN)
# Starts later than the leader leaves the share of this pooler to it.
FALLBACK_DELAY_MS = FALLBACK_AFTER_MS * (1 + CLOCK_MARGIN)
# Tokens wanted: the demand of this time and one more.
WANTED_DEMAND_S = 1.5
# No more than one token is wanted after this time without an operation.
IDLE_AFTER_MS = 5_000.0
# One token is kept for this time. It lets a rare operation run without an
# exchange with control, also while there is no leader. A discarded token is
# lost, so a shorter time would use up the rate of a small tenant.
LAST_TOKEN_MS = 60_000.0
# Time constant of the moving average of the demand.
DEMAND_MEMORY_S = 3.0
# Below this demand the next operation comes after the next regular report,
# which asks for another token.
RARE_DEMAND_PER_S = 0.4
# Stock above this multiple of the wanted tokens is discarded, so that other
# poolers get it.
MAX_STOCK_RATIO = 2
# Smallest reported change of the wanted tokens, as a share; at least 2.
MIN_WANTED_CHANGE = 0.25
# Covers the election of another leader of control. With a leader, an operation
# waits for one exchange, since the leader says when the bucket is empty.
MAX_WAIT_MS = 700.0
# Share of the objective of an operation for which it may wait.
MAX_WAIT_SHARE = 0.5
MAX_WAITING = 64
# After a grant that refuses a tenant, operations without a token are refused
# immediately for this time: about one exchange with control.
REFUSAL_MS = 50.0
MIN_RETRY_MS = 50.0
# Interval of reports while operations wait, and after the last token of a
# tenant has been used.
WAITING_REPORT_INTERVAL_MS = 50.0
EMPTY_REPORT_INTERVAL_MS = 400.0


@dataclass(slots=True, kw_only=True)
class WaitingOperation:
    """Operation that waits for a token, identified by its task number."""

    task: int
    due_ms: float


@dataclass(slots=True, kw_only=True)
class TenantStock:
    """Tokens and demand of one tenant at this pooler.

    Parameters
    ----------
    tokens : int
        Tokens that no operation has taken.
    demand_per_s : float
        Moving average of the operations per second, as of `demand_ms`.
    refused_until_ms : float
        Time until which operations without a token do not wait.
    fallback_level : float
        Level of the own bucket, as of `fallback_ms`. It rises to 1, at which
        an operation may use it.
    fallback_full_ms : float
        Time at which it reached 1.
    waited, refused : int
        Operations that have waited for a token, and that were refused.
    """

    limit: RateLimit
    tokens: int = 0
    demand_per_s: float = 0.0
    demand_ms: float = 0.0
    operation_ms: float = -math.inf
    refused_until_ms: float = -math.inf
    waiting: deque[WaitingOperation] = field(default_factory=deque)
    fallback_level: float = 0.0
    fallback_ms: float = 0.0
    fallback_full_ms: float = 0.0
    waited: int = 0
    refused: int = 0


@dataclass(slots=True, kw_only=True)
class RateStock:
    """Tokens of all tenants with a rate, and the state of the link.

    Parameters
    ----------
    link : int
        Connection to the leader that last answered; 0 after it has closed.
    seq, first_seq : int
        Number of the latest report, and of the first one on the link.
    applied : int
        Number of the last grant applied on the link.
    report_times_ms : dict of int to float
        Send times of the reports on the link without a later answer.
    waiting_report_ms, refill_report_ms : float
        Times of the latest reports before the regular one: for a waiting
        operation, and after the last token of a tenant.
    answered_ms : float
        Time of the latest answer of a leader, or of the first limits.
    valid_until_ms : float
        Time at which the tokens are discarded.
    discarded_ms : float
        Time at which tokens were last discarded for lack of an answer.
    reported_stock, reported_wanted : dict of str to int
        Values last reported on the link, by tenant.
    proxies, position : int
        Number of proxies that share the rates, and the position of this one
        among them.
    granted : int
        Tokens received.
    """

    tenants: dict[str, TenantStock] = field(default_factory=dict)
    link: int = 0
    seq: int = 0
    first_seq: int = 0
    applied: int = 0
    report_times_ms: dict[int, float] = field(default_factory=dict)
    waiting_report_ms: float = -math.inf
    refill_report_ms: float = -math.inf
    answered_ms: float = 0.0
    valid_until_ms: float = -math.inf
    discarded_ms: float = -math.inf
    reported_stock: dict[str, int] = field(default_factory=dict)
    reported_wanted: dict[str, int] = field(default_factory=dict)
    proxies: int = 1
    position: int = 0
    granted: int = 0


def set_limits(
    stock: RateStock,
    now_ms: float,
    limits: Mapping[str, RateLimit],
    proxies: int,
    position: int,
) -> list[WaitingOperation]:
    """Replace the limits; a lower one reduces the tokens proportionally.

    Returns
    -------
    list of WaitingOperation
        Operations that need no token any more.
    """
    if not stock.tenants:
        stock.answered_ms = max(stock.answered_ms, now_ms)
    for tenant in stock.tenants.values():
        _advance_fallback(stock, tenant, now_ms)
    stock.proxies = max(1, proxies)
    stock.position = position
    released: list[WaitingOperation] = []
    for name in stock.tenants.keys() - limits.keys():
        released += stock.tenants.pop(name).waiting
    for name, limit in limits.items():
        if name not in stock.tenants:
            tenant = TenantStock(limit=limit, demand_ms=now_ms)
            _empty_fallback(stock, tenant, now_ms)
            stock.tenants[name] = tenant
            continue
        tenant = stock.tenants[name]
        if limit.depth < tenant.limit.depth:
            share = limit.depth / tenant.limit.depth
            tenant.tokens = math.floor(tenant.tokens * share)
        tenant.limit = limit
    return released


def reset_link(stock: RateStock, link: int) -> None:
    """Start on another link, or anew at a leader that asks for it."""
    stock.link = link
    stock.first_seq = stock.seq + 1
    stock.applied = 0
    stock.report_times_ms.clear()


def discard_expired(stock: RateStock, now_ms: float) -> None:
    """Discard the tokens that the leader is about to forget."""
    if now_ms < stock.valid_until_ms or stock.valid_until_ms == -math.inf:
        return
    stock.valid_until_ms = -math.inf
    stock.discarded_ms = now_ms
    for tenant in stock.tenants.values():
        tenant.tokens = 0


def has_control(stock: RateStock, now_ms: float) -> bool:
    """Return whether a leader has answered recently."""
    return now_ms < stock.answered_ms + FALLBACK_DELAY_MS


def note_operation(stock: RateStock, name: str, now_ms: float) -> None:
    """Count an operation in the demand of its tenant."""
    tenant = stock.tenants[name]
    tenant.demand_per_s = _demand_per_s(tenant, now_ms) + 1 / DEMAND_MEMORY_S
    tenant.demand_ms = now_ms
    tenant.operation_ms = now_ms


def _demand_per_s(tenant: TenantStock, now_ms: float) -> float:
    elapsed_s = (now_ms - tenant.demand_ms) / MS_PER_SECOND
    return tenant.demand_per_s * math.exp(-elapsed_s / DEMAND_MEMORY_S)


def take_token(
    stock: RateStock, name: str, now_ms: float
) -> Literal['granted', 'own', 'none']:
    """Take a granted token, or one of the own share without control."""
    discard_expired(stock, now_ms)
    tenant = stock.tenants[name]
    if tenant.tokens:
        tenant.tokens -= 1
        return 'granted'
    _advance_fallback(stock, tenant, now_ms)
    if tenant.fallback_level < 1:
        return 'none'
    tenant.fallback_level -= 1
    return 'own'


def return_token(
    stock: RateStock, name: str, taken_ms: float, now_ms: float
) -> None:
    """Return the granted token of an operation that was not sent."""
    discard_expired(stock, now_ms)
    tenant = stock.tenants.get(name)
    if tenant is not None and taken_ms > stock.discarded_ms:
        tenant.tokens += 1


def may_wait(stock: RateStock, name: str, now_ms: float) -> bool:
    """Return whether an operation without a token may wait for one."""
    tenant = stock.tenants[name]
    return (
        len(tenant.waiting) < MAX_WAITING and now_ms >= tenant.refused_until_ms
    )


def add_waiting(
    stock: RateStock, name: str, task: int, objective_ms: float, now_ms: float
) -> float:
    """Let an operation wait; return the time at which it is refused."""
    wait_ms = min(MAX_WAIT_MS, objective_ms * MAX_WAIT_SHARE)
    operation = WaitingOperation(task=task, due_ms=now_ms + wait_ms)
    stock.tenants[name].waiting.append(operation)
    return operation.due_ms


def retry_after_ms(stock: RateStock, name: str, now_ms: float) -> float:
    """Return the expected time to the next token, without jitter."""
    tenant = stock.tenants[name]
    interval_ms = MS_PER_SECOND / tenant.limit.rate_per_s
    if not has_control(stock, now_ms):
        interval_ms *= stock.proxies * (1 - tenant.fallback_level)
    return max(MIN_RETRY_MS, interval_ms)


def _empty_fallback(
    stock: RateStock, tenant: TenantStock, from_ms: float
) -> None:
    # Positions spread the first tokens of poolers that lose control together.
    tenant.fallback_level = -stock.position / stock.proxies
    tenant.fallback_ms = from_ms


def _advance_fallback(
    stock: RateStock, tenant: TenantStock, now_ms: float
) -> None:
    """Let the own bucket rise by this pooler's share of the rate.

    An unused token is dropped as soon as those of all poolers together could
    exceed the reserve for poolers without control.
    """
    start_ms = stock.answered_ms + FALLBACK_DELAY_MS
    if now_ms <= start_ms:
        _empty_fallback(stock, tenant, now_ms)
        return
    if tenant.fallback_ms < start_ms:
        _empty_fallback(stock, tenant, start_ms)
    limit = tenant.limit
    per_ms = limit.rate_per_s / stock.proxies / MS_PER_SECOND
    if tenant.fallback_level < 1:
        missing_ms = (1 - tenant.fallback_level) / per_ms
        tenant.fallback_full_ms = tenant.fallback_ms + missing_ms
        tenant.fallback_level += (now_ms - tenant.fallback_ms) * per_ms
    tenant.fallback_level = min(1.0, tenant.fallback_level)
    tenant.fallback_ms = now_ms
    if tenant.fallback_level < 1 or stock.proxies <= limit.fallback_reserve:
        return
    retention_ms = limit.fallback_reserve / limit.rate_per_s * MS_PER_SECOND
    period_ms = retention_ms + 1 / per_ms
    unused_ms = (now_ms - tenant.fallback_full_ms) % period_ms
    if unused_ms >= retention_ms:
        tenant.fallback_level = (unused_ms - retention_ms) * per_ms
    else:
        tenant.fallback_full_ms = now_ms - unused_ms


def _is_idle(tenant: TenantStock, now_ms: float) -> bool:
    return now_ms >= tenant.operation_ms + IDLE_AFTER_MS


def wanted_tokens(stock: RateStock, tenant: TenantStock, now_ms: float) -> int:
    """Return the number of tokens that the pooler would like to hold."""
    if now_ms >= tenant.operation_ms + LAST_TOKEN_MS:
        return 0
    if _is_idle(tenant, now_ms):
        return 1
    demand_per_s = _demand_per_s(tenant, now_ms)
    wanted = math.ceil(demand_per_s * WANTED_DEMAND_S) + 1
    return min(wanted, math.ceil(tenant.limit.depth))


def build_report(
    stock: RateStock, now_ms: float, reserved: Mapping[str, int]
) -> RateReport:
    """Return the next report on the link; surplus tokens are discarded.

    Parameters
    ----------
    reserved : mapping of str to int
        Granted tokens taken by operations that no upstream has received, by
        tenant. They still count as held.
    """
    discard_expired(stock, now_ms)
    stock.seq += 1
    held: dict[str, int] = {}
    wanted: dict[str, int] = {}
    waiting: dict[str, int] = {}
    for name, tenant in stock.tenants.items():
        wants = wanted_tokens(stock, tenant, now_ms)
        tenant.tokens = min(tenant.tokens, wants * MAX_STOCK_RATIO)
        if wants:
            wants += reserved.get(name, 0)
        holds = tenant.tokens + reserved.get(name, 0)
        if not stock.applied or holds != stock.reported_stock.get(name, 0):
            held[name] = stock.reported_stock[name] = holds
        if not stock.applied or _has_changed(
            stock.reported_wanted.get(name, 0), wants
        ):
            wanted[name] = stock.reported_wanted[name] = wants
        if tenant.waiting:
            waiting[name] = len(tenant.waiting)
    if not stock.applied:
        held = {name: tokens for name, tokens in held.items() if tokens}
        wanted = {name: tokens for name, tokens in wanted.items() if tokens}
    stock.report_times_ms[stock.seq] = now_ms
    return RateReport(
        seq=stock.seq,
        applied=stock.applied,
        stock=held or None,
        wanted=wanted or None,
        waiting=waiting or None,
    )


def note_requested_report(stock: RateStock, now_ms: float) -> None:
    """Note that the next report is sent before the regular time."""
    if any(tenant.waiting for tenant in stock.tenants.values()):
        stock.waiting_report_ms = now_ms
    else:
        stock.refill_report_ms = now_ms


def _has_changed(reported: int, wanted: int) -> bool:
    """Return whether the wanted tokens are worth reporting again.

    The demand of a busy tenant varies by one token in almost every report.
    """
    if not reported or not wanted:
        return reported != wanted
    return abs(wanted - reported) > max(1, reported * MIN_WANTED_CHANGE)


def apply_grant(stock: RateStock, now_ms: float, grant: RateGrant) -> bool:
    """Add granted tokens.

    Returns
    -------
    bool
        Whether to report at once. The leader learns by the first report after
        a grant that this pooler receives its grants, and it may ask for a
        full one.
    """
    sent_ms = stock.report_times_ms.get(grant.seq)
    if sent_ms is None or grant.seq < stock.first_seq:
        return False
    if not grant.number:
        reset_link(stock, stock.link)
        return True
    was_first = not stock.applied
    stock.applied = grant.number
    stock.report_times_ms = {
        seq: at_ms
        for seq, at_ms in stock.report_times_ms.items()
        if seq >= grant.seq
    }
    discard_expired(stock, now_ms)
    for name, tokens in (grant.tokens or {}).items():
        # What the leader takes for the stock from now on.
        reported = stock.reported_stock.get(name, 0)
        stock.reported_stock[name] = reported + tokens
    until_ms = sent_ms + STOCK_VALIDITY_MS
    if now_ms >= until_ms:
        return was_first
    stock.answered_ms = now_ms
    stock.valid_until_ms = max(stock.valid_until_ms, until_ms)
    for name, tokens in (grant.tokens or {}).items():
        tenant_stock = stock.tenants.get(name)
        if tenant_stock is not None:
            tenant_stock.tokens += tokens
            stock.granted += tokens
    for name in grant.refused or ():
        if name in stock.tenants:
            stock.tenants[name].refused_until_ms = now_ms + REFUSAL_MS
    return was_first


def report_due_ms(stock: RateStock, name: str) -> float | None:
    """Return when to report after an operation has tried to take a token.

    None if the next regular report is early enough.
    """
    tenant = stock.tenants[name]
    if tenant.waiting:
        return stock.waiting_report_ms + WAITING_REPORT_INTERVAL_MS
    if tenant.tokens or tenant.demand_per_s < RARE_DEMAND_PER_S:
        return None
    return stock.refill_report_ms + EMPTY_REPORT_INTERVAL_MS
