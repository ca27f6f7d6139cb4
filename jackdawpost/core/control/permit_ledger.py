"""Slot permits that the control leader grants to proxies.

A permit allows a proxy to run one statement at a time on an upstream. The
permits granted for an upstream, including those of disconnected proxies
whose statements may still run, never exceed its slots. When permits are
scarce, the leader first recalls unused ones, then permits of the proxies that
hold the most.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Literal

# Minimum time for which a proxy keeps a permit that it can use. If it were
# shorter, the recalls of a permit would take longer than its use.
MIN_HOLD_MS = 20.0


@dataclass(slots=True, kw_only=True)
class PermitDecision:
    """Grant or recall that the leader has to send to a proxy."""

    proxy: str
    upstream: str
    action: Literal['grant', 'recall']
    count: int


@dataclass(slots=True, kw_only=True)
class ProxyPermits:
    """Permits of one proxy at one upstream.

    Parameters
    ----------
    held : int
        Permits granted, including a grant that is in flight.
    wanted : int
        Total number of permits that the proxy can use now.
    recalled : int
        Permits that have been recalled and not been returned yet.
    waiting_since_ms : float
        Time since which the proxy has wanted more permits than it holds. Each
        grant and return sets it again.
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
    """Permits of a disconnected process, possibly in use until `until_ms`."""

    proxy: str
    incarnation: str
    count: int
    until_ms: float


@dataclass(slots=True, kw_only=True)
class UpstreamPermits:
    """Permits of one upstream.

    Parameters
    ----------
    slots : int
        Total number of permits; 0 if the upstream does not serve.
    accounts : dict of str to ProxyPermits
        Permits of the connected proxies by name.
    lost : list of LostPermits
        Permits of disconnected proxies that may still be in use.
    """

    slots: int = 0
    accounts: dict[str, ProxyPermits] = field(default_factory=dict)
    lost: list[LostPermits] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class PermitLedger:
    """Permits of all upstreams.

    Parameters
    ----------
    ready_ms : float
        Time at which the leases of earlier leaders have expired.
    unreported : set of str
        Proxies that may hold permits granted by an earlier leader. No permit
        is granted until all of them have reported or `ready_ms` has passed.
    incarnations : dict of str to str
        Incarnation of each connected proxy, which identifies its process.
    """

    ready_ms: float
    unreported: set[str] = field(default_factory=set)
    upstreams: dict[str, UpstreamPermits] = field(default_factory=dict)
    incarnations: dict[str, str] = field(default_factory=dict)


def set_slots(ledger: PermitLedger, slots: Mapping[str, int]) -> None:
    """Set the slots of the serving upstreams; other upstreams get none."""
    for name, permits in ledger.upstreams.items():
        permits.slots = slots.get(name, 0)
    for name, count in slots.items():
        ledger.upstreams.setdefault(name, UpstreamPermits()).slots = count


def record_demand(
    ledger: PermitLedger, now_ms: float, proxy: str, upstream: str, wanted: int
) -> None:
    """Record the total number of permits that a proxy can use now."""
    if upstream not in ledger.upstreams:
        return
    account = _proxy_account(ledger, proxy, upstream)
    if wanted > account.held and account.wanted <= account.held:
        account.waiting_since_ms = now_ms
    account.wanted = max(0, wanted)


def record_return(
    ledger: PermitLedger, now_ms: float, proxy: str, upstream: str, count: int
) -> None:
    """Record returned permits; any beyond those held are ignored."""
    if upstream not in ledger.upstreams:
        return
    account = _proxy_account(ledger, proxy, upstream)
    returned = max(0, min(count, account.held))
    # A proxy that returns a permit queues behind the proxies that wait.
    account.waiting_since_ms = now_ms
    account.held -= returned
    account.recalled = max(0, account.recalled - returned)


def _proxy_account(
    ledger: PermitLedger, proxy: str, upstream: str
) -> ProxyPermits:
    accounts = ledger.upstreams[upstream].accounts
    return accounts.setdefault(proxy, ProxyPermits())


def record_holdings(
    ledger: PermitLedger,
    proxy: str,
    incarnation: str,
    holdings: Mapping[str, int],
) -> set[str]:
    """Record the permits that a proxy reports on a new connection.

    They replace the recorded permits of that process, since messages on the
    old connection may have been lost. Permits of an earlier process of the
    same proxy stay reserved until they expire.

    Parameters
    ----------
    holdings : mapping of str to int
        Permits that the proxy holds, by upstream.

    Returns
    -------
    set of str
        Upstreams at which permits may have become free.
    """
    changed = set(holdings)
    ledger.unreported.discard(proxy)
    ledger.incarnations[proxy] = incarnation
    for upstream in holdings:
        ledger.upstreams.setdefault(upstream, UpstreamPermits())
    for upstream, permits in ledger.upstreams.items():
        still_lost = [
            entry
            for entry in permits.lost
            if (entry.proxy, entry.incarnation) != (proxy, incarnation)
        ]
        account = permits.accounts.pop(proxy, None)
        if account is not None or len(still_lost) < len(permits.lost):
            changed.add(upstream)
        permits.lost = still_lost
        held = max(0, holdings.get(upstream, 0))
        if held:
            permits.accounts[proxy] = ProxyPermits(held=held, wanted=held)
    return changed


def reserve_permits(ledger: PermitLedger, proxy: str, until_ms: float) -> None:
    """Reserve the permits of a disconnected proxy until they expire.

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
    """Return the number of permits that may be in use."""
    held = sum(account.held for account in permits.accounts.values())
    return held + sum(entry.count for entry in permits.lost)


def decide_permits(
    ledger: PermitLedger,
    now_ms: float,
    upstreams: Collection[str] | None = None,
) -> list[PermitDecision]:
    """Grant free permits and recall permits for proxies that wait.

    Parameters
    ----------
    upstreams : collection of str, optional
        Upstreams to consider; all by default.
    """
    if not is_granting(ledger, now_ms):
        return []
    names = ledger.upstreams if upstreams is None else upstreams
    decisions = []
    for name in sorted(names):
        permits = ledger.upstreams.get(name, UpstreamPermits())
        permits.lost = [e for e in permits.lost if now_ms < e.until_ms]
        decisions += _grant_free_permits(permits, now_ms, name)
        decisions += _recall_permits(permits, now_ms, name)
    return decisions


def is_granting(ledger: PermitLedger, now_ms: float) -> bool:
    """Return whether permits of earlier leaders are all known or expired."""
    return not ledger.unreported or now_ms >= ledger.ready_ms


def _waiting_proxies(
    permits: UpstreamPermits,
) -> list[tuple[str, ProxyPermits]]:
    """Return the proxies that want more permits, in order of priority.

    Proxies with fewer permits come first, then those that have waited
    longer. Proxies with an outstanding recall come last. If they came first,
    a proxy would be granted the permit that was recalled for another one. If
    they were left out, a proxy with a permit stuck on an unresponsive
    connection would not be granted free permits.
    """
    waiting = [
        (proxy, account)
        for proxy, account in permits.accounts.items()
        if account.wanted > account.held
    ]
    return sorted(
        waiting,
        key=lambda item: (
            item[1].recalled > 0,
            item[1].held,
            item[1].waiting_since_ms,
            item[0],
        ),
    )


def _grant_free_permits(
    permits: UpstreamPermits, now_ms: float, upstream: str
) -> list[PermitDecision]:
    granted: dict[str, int] = {}
    free = permits.slots - granted_count(permits)
    while free > 0 and (waiting := _waiting_proxies(permits)):
        proxy, account = waiting[0]
        account.held += 1
        # The proxy cancels a pending recall, too, when it gets the grant.
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


def _recall_permits(
    permits: UpstreamPermits, now_ms: float, upstream: str
) -> list[PermitDecision]:
    """Recall a permit for each waiting proxy that no pending recall serves."""
    recalls: dict[str, int] = {}
    pending_recalls = sum(
        account.recalled for account in permits.accounts.values()
    )
    waiting = [
        item for item in _waiting_proxies(permits) if not item[1].recalled
    ]
    for _, account in waiting[pending_recalls:]:
        proxy = _choose_recall_target(permits, now_ms, account.held)
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


def _choose_recall_target(
    permits: UpstreamPermits, now_ms: float, requester_held: int
) -> str | None:
    """Return the proxy from which to recall a permit for another proxy.

    A proxy with unused permits is preferred. Otherwise the proxy must keep at
    least as many permits as the requester has after the transfer. The
    exception is a requester without permits, which also gets the only permit
    of a proxy, so that both use it in turn.

    Parameters
    ----------
    requester_held : int
        Permits that the waiting proxy holds.
    """
    best: tuple[int, int, float, str] | None = None
    min_remaining = 1 if requester_held == 0 else requester_held + 2
    for proxy, account in permits.accounts.items():
        remaining = account.held - account.recalled
        idle = remaining - account.wanted
        if remaining < 1 or (idle <= 0 and remaining < min_remaining):
            continue
        if idle <= 0 and now_ms < account.granted_ms + MIN_HOLD_MS:
            continue
        rank = (max(0, idle), remaining, -account.granted_ms, proxy)
        if best is None or rank > best:
            best = rank
    return best[3] if best else None


def next_permit_due_ms(
    ledger: PermitLedger, now_ms: float, upstream: str
) -> float | None:
    """Return when a grant or recall may be due without further input.

    Returns
    -------
    float or None
        None if no proxy waits for permits of the upstream, or only a message
        from a proxy can free one.
    """
    permits = ledger.upstreams[upstream]
    if not any(
        account.wanted > account.held for account in permits.accounts.values()
    ):
        return None
    if not is_granting(ledger, now_ms):
        return ledger.ready_ms
    due_times_ms = [entry.until_ms for entry in permits.lost]
    due_times_ms += [
        account.granted_ms + MIN_HOLD_MS
        for account in permits.accounts.values()
        if account.held > account.recalled
    ]
    return min((due for due in due_times_ms if due > now_ms), default=None)
