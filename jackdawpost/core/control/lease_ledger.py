"""Lease ledger: which proxies may hold write leases, as the leader knows.

A lease lets one proxy acknowledge writes of one group in one term. The
ledger is held in memory by the control leader and built anew after each
election, so it starts by assuming that every joined proxy holds every lease.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from jackdawpost.core.messages.control import GroupLease


@dataclass(slots=True, kw_only=True)
class PendingReport:
    """Report of a proxy that waits for the confirmation of leadership.

    Parameters
    ----------
    conn : int
        Connection that the grant is sent on.
    received_ms : float
        Time of receipt; the lease is counted from here.
    """

    proxy: str
    incarnation: str
    conn: int
    seq: int
    received_ms: float


@dataclass(slots=True, kw_only=True)
class LeaseLedger:
    """Leases that may be in force.

    Parameters
    ----------
    duration_ms : float
        Validity of a lease on the clock of the proxy.
    clock_margin : float
        Largest difference in clock rate, as a fraction.
    elected_ms : float
        Time of this process's election.
    assumed : set of str
        Proxies that may hold leases of an earlier leader.
    holds : dict
        Proxy, incarnation, group and term to the end of the lease.
    granted_until : dict of str to float
        Proxy to the end of its last grant, which its permits depend on too.
    released : dict
        Proxy and group to the highest term whose revocation the proxy has
        answered to this leader.
    revoked : dict of str to int
        Group to the highest term revoked by this leader.
    waiting, confirming : dict of str to PendingReport
        Latest report of each proxy that waits for the next confirmation, or
        for the one under way.
    confirming_token : int, optional
        Token of the confirmation under way.
    prune_due_ms : float
        Time to drop leases that have run out.
    """

    duration_ms: float
    clock_margin: float
    elected_ms: float
    assumed: set[str] = field(default_factory=set)
    holds: dict[tuple[str, str, str, int], float] = field(default_factory=dict)
    granted_until: dict[str, float] = field(default_factory=dict)
    released: dict[tuple[str, str], int] = field(default_factory=dict)
    revoked: dict[str, int] = field(default_factory=dict)
    waiting: dict[str, PendingReport] = field(default_factory=dict)
    confirming: dict[str, PendingReport] = field(default_factory=dict)
    confirming_token: int | None = None
    next_token: int = 1
    prune_due_ms: float = 0.0


def hold_ms(ledger: LeaseLedger) -> float:
    """Return for how long a lease may last on the leader's clock, in ms."""
    return ledger.duration_ms * (1 + ledger.clock_margin)


def assumed_until_ms(ledger: LeaseLedger) -> float:
    """Return when leases of earlier leaders have all run out."""
    return ledger.elected_ms + hold_ms(ledger)


def note_report(
    ledger: LeaseLedger,
    now_ms: float,
    proxy: str,
    incarnation: str,
    conn: int,
    seq: int,
) -> None:
    """Queue a report for the next confirmation of leadership.

    A newer report of the same proxy replaces an older one that waits.
    """
    ledger.waiting[proxy] = PendingReport(
        proxy=proxy,
        incarnation=incarnation,
        conn=conn,
        seq=seq,
        received_ms=now_ms,
    )


def start_confirmation(ledger: LeaseLedger) -> int | None:
    """Start one confirmation for all reports that wait.

    Returns
    -------
    int or None
        Token to confirm leadership with; None if nothing waits or a
        confirmation is under way. Reports that arrive in the meantime wait
        for the next one, as the heartbeat must be sent after their receipt.
    """
    if not ledger.waiting or ledger.confirming_token is not None:
        return None
    ledger.confirming = ledger.waiting
    ledger.waiting = {}
    ledger.confirming_token = ledger.next_token
    ledger.next_token += 1
    return ledger.confirming_token


def confirmed(ledger: LeaseLedger, token: int) -> list[PendingReport]:
    """Return the reports that may be answered; empty for a stale token."""
    if token != ledger.confirming_token:
        return []
    reports = list(ledger.confirming.values())
    ledger.confirming = {}
    ledger.confirming_token = None
    return reports


def record_grant(
    ledger: LeaseLedger, report: PendingReport, terms: dict[str, int]
) -> list[GroupLease]:
    """Record the leases granted in answer to a confirmed report.

    Parameters
    ----------
    terms : dict of str to int
        Groups that have a primary and no promotion under way, with terms.

    Returns
    -------
    list of GroupLease
        Leases to grant: `terms` without those that were revoked.
    """
    until_ms = report.received_ms + hold_ms(ledger)
    before_ms = ledger.granted_until.get(report.proxy, 0)
    ledger.granted_until[report.proxy] = max(until_ms, before_ms)
    leases = []
    for group, term in sorted(terms.items()):
        if term <= ledger.revoked.get(group, -1):
            continue
        key = (report.proxy, report.incarnation, group, term)
        ledger.holds[key] = max(until_ms, ledger.holds.get(key, 0))
        leases.append(GroupLease(group=group, term=term))
    return leases


def revoke(ledger: LeaseLedger, group: str, term: int) -> None:
    """Grant no more leases of `group` up to and including `term`."""
    ledger.revoked[group] = max(term, ledger.revoked.get(group, -1))


def note_revoked(
    ledger: LeaseLedger, proxy: str, incarnation: str, group: str, term: int
) -> None:
    """Note that a proxy has answered a revocation by this leader.

    The answer speaks for the process that sent it: a lease granted to an
    earlier process of the same proxy is still waited out.
    """
    if term > ledger.revoked.get(group, -1):
        return
    key = (proxy, group)
    ledger.released[key] = max(term, ledger.released.get(key, -1))
    for hold in list(ledger.holds):
        if hold[:3] == (proxy, incarnation, group) and hold[3] <= term:
            del ledger.holds[hold]


def holders(
    ledger: LeaseLedger, now_ms: float, group: str, term: int
) -> dict[str, float]:
    """Return the proxies that may hold a lease, with the latest ends.

    Parameters
    ----------
    term : int
        Leases of `group` up to and including this term are looked for.

    Returns
    -------
    dict of str to float
        Empty once no proxy can acknowledge a write of these terms.
    """
    found: dict[str, float] = {}
    if term == 0:
        return found
    assumed_ms = assumed_until_ms(ledger)
    if now_ms < assumed_ms:
        for proxy in ledger.assumed:
            if ledger.released.get((proxy, group), -1) < term:
                found[proxy] = assumed_ms
    for (proxy, _, held_group, held_term), until_ms in ledger.holds.items():
        if held_group == group and held_term <= term and now_ms < until_ms:
            found[proxy] = max(until_ms, found.get(proxy, 0))
    return found


def lease_end_ms(ledger: LeaseLedger, now_ms: float, proxy: str) -> float:
    """Return when the last grant to a proxy ends; `now_ms` if none."""
    ends = [ledger.granted_until.get(proxy, now_ms)]
    if proxy in ledger.assumed:
        ends.append(assumed_until_ms(ledger))
    return max([now_ms, *ends])


def forget_expired(ledger: LeaseLedger, now_ms: float) -> None:
    """Drop leases that have run out, now and then, to bound the size."""
    if now_ms < ledger.prune_due_ms:
        return
    ledger.prune_due_ms = now_ms + hold_ms(ledger)
    for key, until_ms in list(ledger.holds.items()):
        if until_ms <= now_ms:
            del ledger.holds[key]
    for proxy, until_ms in list(ledger.granted_until.items()):
        if until_ms <= now_ms:
            del ledger.granted_until[proxy]
