"""Permit ledger: slot permits of upstreams that are lent to proxies.

The permits lent for an upstream, together with those of lost proxies that
may still be in use, never exceed its slots.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Literal

MIN_HOLD_MS = 20.0  # shorter turns spend more time on recalls than on work


@dataclass(slots=True, kw_only=True)
class PermitDecision:
    """Message that the leader owes to a proxy."""

    proxy: str
    upstream: str
    action: Literal['grant', 'recall']
    count: int


@dataclass(slots=True, kw_only=True)
class ProxyPermits:
    """A proxy's account at one upstream.

    Parameters
    ----------
    held : int
        Permits lent, including a grant that is still on its way.
    wanted : int
        Permits that the proxy could use now in total.
    recalled : int
        Permits asked back and not yet returned.
    waiting_since_ms : float
        Time since which the proxy wants more than it holds.
    granted_ms : float
        Time of the last grant.
    """

    held: int = 0
    wanted: int = 0
    recalled: int = 0
    waiting_since_ms: float = 0.0
    granted_ms: float = -MIN_HOLD_MS


@dataclass(slots=True, kw_only=True)
class LostPermits:
    """Permits of a lost process that may be in use until `until_ms`."""

    proxy: str
    incarnation: str
    count: int
    until_ms: float


@dataclass(slots=True, kw_only=True)
class UpstreamPermits:
    """Permits of one upstream."""

    slots: int = 0
    accounts: dict[str, ProxyPermits] = field(default_factory=dict)
    lost: list[LostPermits] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class PermitLedger:
    """Permits of all upstreams.

    Parameters
    ----------
    unreported : set of str
        Proxies that may hold permits of an earlier leader; nothing is lent
        before each has reported or `ready_ms` has passed.
    ready_ms : float
        Time at which leases of an earlier leader have run out.
    incarnations : dict of str to str
        Connected proxies and their processes.
    """

    ready_ms: float
    unreported: set[str] = field(default_factory=set)
    upstreams: dict[str, UpstreamPermits] = field(default_factory=dict)
    incarnations: dict[str, str] = field(default_factory=dict)


def set_slots(ledger: PermitLedger, slots: Mapping[str, int]) -> None:
    """Take the slots of all upstreams that serve; others lend nothing."""
    for name, permits in ledger.upstreams.items():
        permits.slots = slots.get(name, 0)
    for name, count in slots.items():
        ledger.upstreams.setdefault(name, UpstreamPermits()).slots = count


def record_demand(
    ledger: PermitLedger, now_ms: float, proxy: str, upstream: str, wanted: int
) -> None:
    """Take the number of permits that a proxy could use now in total."""
    if upstream not in ledger.upstreams:
        return
    account = _account(ledger, proxy, upstream)
    if wanted > account.held and account.wanted <= account.held:
        account.waiting_since_ms = now_ms
    account.wanted = max(0, wanted)


def record_return(
    ledger: PermitLedger, now_ms: float, proxy: str, upstream: str, count: int
) -> None:
    """Take permits back; more than were lent are ignored."""
    if upstream not in ledger.upstreams:
        return
    account = _account(ledger, proxy, upstream)
    returned = max(0, min(count, account.held))
    # Who gives a permit back queues behind those that wait already.
    account.waiting_since_ms = now_ms
    account.held -= returned
    account.recalled = max(0, account.recalled - returned)


def _account(ledger: PermitLedger, proxy: str, upstream: str) -> ProxyPermits:
    accounts = ledger.upstreams[upstream].accounts
    return accounts.setdefault(proxy, ProxyPermits())


def record_holdings(
    ledger: PermitLedger,
    proxy: str,
    incarnation: str,
    holdings: Mapping[str, int],
) -> set[str]:
    """Take the holdings that a proxy reports first on a new connection.

    They replace what the ledger knew of that process, since messages on the
    old connection may be lost. Permits of an earlier process of the same
    proxy stay lost.

    Returns
    -------
    set of str
        Upstreams whose permits may have become free.
    """
    changed = set(holdings)
    ledger.unreported.discard(proxy)
    ledger.incarnations[proxy] = incarnation
    for upstream in holdings:
        ledger.upstreams.setdefault(upstream, UpstreamPermits())
    for upstream, permits in ledger.upstreams.items():
        kept = [
            entry
            for entry in permits.lost
            if (entry.proxy, entry.incarnation) != (proxy, incarnation)
        ]
        known = permits.accounts.pop(proxy, None)
        if known is not None or len(kept) < len(permits.lost):
            changed.add(upstream)
        permits.lost = kept
        held = max(0, holdings.get(upstream, 0))
        if held:
            permits.accounts[proxy] = ProxyPermits(held=held, wanted=held)
    return changed


def record_lost(ledger: PermitLedger, proxy: str, until_ms: float) -> None:
    """Keep the permits of a disconnected proxy until they are unusable.

    Parameters
    ----------
    until_ms : float
        End of the proxy's lease plus the longest statement time.
    """
    incarnation = ledger.incarnations.pop(proxy, '')
    for permits in ledger.upstreams.values():
        account = permits.accounts.pop(proxy, None)
        if account is None or not account.held:
            continue
        entry = LostPermits(
            proxy=proxy,
            incarnation=incarnation,
            count=account.held,
            until_ms=until_ms,
        )
        permits.lost.append(entry)


def granted_count(permits: UpstreamPermits) -> int:
    """Return the permits that may be in use."""
    held = sum(account.held for account in permits.accounts.values())
    return held + sum(entry.count for entry in permits.lost)


def decide_permits(
    ledger: PermitLedger,
    now_ms: float,
    upstreams: Collection[str] | None = None,
) -> list[PermitDecision]:
    """Lend free permits and recall others, as far as possible now.

    Parameters
    ----------
    upstreams : collection of str, optional
        Upstreams to look at; all if left out.
    """
    if not is_granting(ledger, now_ms):
        return []
    names = ledger.upstreams if upstreams is None else upstreams
    decisions = []
    for name in sorted(names):
        permits = ledger.upstreams.get(name, UpstreamPermits())
        permits.lost = [e for e in permits.lost if now_ms < e.until_ms]
        decisions += _lend(permits, now_ms, name)
        decisions += _recall(permits, now_ms, name)
    return decisions


def is_granting(ledger: PermitLedger, now_ms: float) -> bool:
    """Tell whether the holdings of all proxies are known or run out."""
    return not ledger.unreported or now_ms >= ledger.ready_ms


def _waiting(permits: UpstreamPermits) -> list[tuple[str, ProxyPermits]]:
    """Return who wants more: those with the fewest first, then by time.

    Proxies that owe a permit come last. Were they first, a proxy would get
    the permit back that was recalled for another one; were they left out,
    a permit stuck on a silent connection would keep its holder from free
    ones.
    """
    waiting = [
        (proxy, account)
        for proxy, account in permits.accounts.items()
        if account.wanted > account.held
    ]
    return sorted(
        waiting,
        key=lambda w: (
            w[1].recalled > 0,
            w[1].held,
            w[1].waiting_since_ms,
            w[0],
        ),
    )


def _lend(
    permits: UpstreamPermits, now_ms: float, upstream: str
) -> list[PermitDecision]:
    granted: dict[str, int] = {}
    free = permits.slots - granted_count(permits)
    while free > 0 and (waiting := _waiting(permits)):
        proxy, account = waiting[0]
        account.held += 1
        account.recalled = max(0, account.recalled - 1)
        account.granted_ms = now_ms
        account.waiting_since_ms = now_ms
        granted[proxy] = granted.get(proxy, 0) + 1
        free -= 1
    return [
        PermitDecision(
            proxy=proxy, upstream=upstream, action='grant', count=count
        )
        for proxy, count in granted.items()
    ]


def _recall(
    permits: UpstreamPermits, now_ms: float, upstream: str
) -> list[PermitDecision]:
    recalls: dict[str, int] = {}
    coming = sum(account.recalled for account in permits.accounts.values())
    waiting = [w for w in _waiting(permits) if not w[1].recalled]
    for _, account in waiting[coming:]:
        proxy = _donor(permits, now_ms, account.held)
        if proxy is None:
            break
        permits.accounts[proxy].recalled += 1
        recalls[proxy] = recalls.get(proxy, 0) + 1
    return [
        PermitDecision(
            proxy=proxy, upstream=upstream, action='recall', count=count
        )
        for proxy, count in recalls.items()
    ]


def _donor(
    permits: UpstreamPermits, now_ms: float, waiter_held: int
) -> str | None:
    """Return who gives up a permit for a waiter that holds `waiter_held`.

    A holder that keeps fewer than the waiter would get is no donor, except
    that a waiter with none takes turns with holders of one.
    """
    best: tuple[int, int, float, str] | None = None
    floor = 1 if waiter_held == 0 else waiter_held + 2
    for proxy, account in permits.accounts.items():
        left = account.held - account.recalled
        spare = left - account.wanted
        if left < 1 or (spare <= 0 and left < floor):
            continue
        if spare <= 0 and now_ms < account.granted_ms + MIN_HOLD_MS:
            continue
        rank = (max(0, spare), left, -account.granted_ms, proxy)
        if best is None or rank > best:
            best = rank
    return best[3] if best else None


def next_permit_due_ms(
    ledger: PermitLedger, now_ms: float, upstream: str
) -> float | None:
    """Return when more may be decided for an upstream without an input."""
    permits = ledger.upstreams[upstream]
    if not any(
        account.wanted > account.held for account in permits.accounts.values()
    ):
        return None
    if not is_granting(ledger, now_ms):
        return ledger.ready_ms
    dues = [entry.until_ms for entry in permits.lost]
    dues += [
        account.granted_ms + MIN_HOLD_MS
        for account in permits.accounts.values()
        if account.held > account.recalled
    ]
    return min((due for due in dues if due > now_ms), default=None)
