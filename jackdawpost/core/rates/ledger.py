"""Token buckets of all tenants, kept by the control leader in memory.

The leader counts as outstanding what a pooler has reported to hold and what
has been granted to it since. A token counts until the pooler reports that it
is spent, or until the pooler has discarded it for lack of an answer. Level and
outstanding tokens together never exceed the depth of the bucket.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from jackdawpost.core.messages.control import RateGrant
from jackdawpost.core.messages.control import RateReport
from jackdawpost.core.rates.limits import FALLBACK_AFTER_MS
from jackdawpost.core.rates.limits import MS_PER_SECOND
from jackdawpost.core.rates.limits import RateLimit
from jackdawpost.core.rates.limits import TOKEN_VALIDITY_MS

# Share of the depth that is granted ahead of operations. The rest is left for
# operations that wait at poolers without a token.
STOCK_SHARE = 0.75
# Share of the level that one report may get for its waiting operations.
WAITING_SHARE = 0.25
# Share of the depth that known tokens and the level may always reach at a new
# leader while unreported stocks may exist. With stocks up to the depth, all
# tokens then stay within the allowance, of which the depth is 0.8.
UNREPORTED_SHARE = 0.25
# A bucket without a token for this time belongs to a tenant at its limit. A
# shorter shortage is one of distribution, which waiting operations survive.
EMPTY_AFTER_MS = 200.0
# Levels are updated at most in this interval, since the silence of all members
# is considered each time.
REFILL_INTERVAL_MS = 5.0


@dataclass(slots=True, kw_only=True)
class SentGrant:
    """Grant that its receiver has not confirmed."""

    number: int
    seq: int
    sent_ms: float
    tokens: dict[str, int]


@dataclass(slots=True, kw_only=True)
class PoolerAccount:
    """Tokens of one pooler.

    Parameters
    ----------
    conn : int
        Link on which it reports.
    reported_ms : float
        Time of its latest report.
    stock, wanted, waiting : dict of str to int
        Contents of its reports, by tenant.
    outstanding : dict of str to int
        Reported stock and unconfirmed grants, by tenant.
    grants : list of SentGrant
        Unconfirmed grants, oldest first.
    last_number : int
        Number of the latest grant on the link.
    """

    conn: int
    reported_ms: float
    seq: int = 0
    stock: dict[str, int] = field(default_factory=dict)
    wanted: dict[str, int] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)
    outstanding: dict[str, int] = field(default_factory=dict)
    grants: list[SentGrant] = field(default_factory=list)
    last_number: int = 0


@dataclass(slots=True, kw_only=True)
class Bucket:
    """Token bucket of one tenant.

    Parameters
    ----------
    level : float
        Tokens that can be granted.
    outstanding, wanted : int
        Sums over all poolers.
    inherited : int
        Tokens of earlier leaders in the first reports of the members.
    empty_since_ms : float, optional
        Time since which waiting operations have found no token.
    """

    limit: RateLimit
    level: float = 0.0
    outstanding: int = 0
    wanted: int = 0
    inherited: int = 0
    empty_since_ms: float | None = None


@dataclass(slots=True, kw_only=True)
class RateLedger:
    """Buckets of all tenants and accounts of all poolers.

    Parameters
    ----------
    elected_ms : float
        Time at which this leader was elected.
    members : dict of str to float
        Time at which the latest grant that a member has confirmed was sent.
        A member that may work without control reduces the refill from
        `FALLBACK_AFTER_MS` after this time.
    unreported : set of str
        Members that have not reported to this leader. They may hold tokens
        of an earlier one.
    refilled_ms : float
        Time up to which the buckets have been refilled.
    """

    elected_ms: float
    refilled_ms: float
    buckets: dict[str, Bucket] = field(default_factory=dict)
    accounts: dict[str, PoolerAccount] = field(default_factory=dict)
    members: dict[str, float] = field(default_factory=dict)
    unreported: set[str] = field(default_factory=set)


def new_ledger(
    now_ms: float, members: Iterable[str], holders: Iterable[str]
) -> RateLedger:
    """Return the ledger of a leader that has just been elected.

    All members count as without control, which they may have been since the
    loss of the earlier leader.

    Parameters
    ----------
    members : iterable of str
        Poolers that may admit operations on their own.
    holders : iterable of str
        Poolers that may hold tokens of the earlier leader.
    """
    return RateLedger(
        elected_ms=now_ms,
        refilled_ms=now_ms,
        members=dict.fromkeys(members, -math.inf),
        unreported=set(holders),
    )


def set_members(
    ledger: RateLedger, now_ms: float, members: Iterable[str]
) -> None:
    """Replace the set of members, including recently removed ones."""
    refill(ledger, now_ms)
    known = ledger.members
    ledger.members = {name: known.get(name, now_ms) for name in members}
    ledger.unreported &= ledger.members.keys()


def set_limits(
    ledger: RateLedger, now_ms: float, limits: Mapping[str, RateLimit]
) -> None:
    """Replace the limits; a lower one reduces the level proportionally."""
    refill(ledger, now_ms)
    for name in ledger.buckets.keys() - limits.keys():
        del ledger.buckets[name]
    for name, limit in limits.items():
        bucket = ledger.buckets.get(name)
        if bucket is None:
            ledger.buckets[name] = _new_bucket(ledger, name, limit)
            continue
        bucket.level *= min(1.0, limit.depth / bucket.limit.depth)
        bucket.limit = limit
        _cap_level(ledger, now_ms, bucket)


def _new_bucket(ledger: RateLedger, name: str, limit: RateLimit) -> Bucket:
    accounts = ledger.accounts.values()
    return Bucket(
        limit=limit,
        level=UNREPORTED_SHARE * limit.depth,
        outstanding=sum(a.outstanding.get(name, 0) for a in accounts),
        wanted=sum(a.wanted.get(name, 0) for a in accounts),
    )


def refill(ledger: RateLedger, now_ms: float) -> None:
    """Add the tokens of the time since the latest refill.

    The share of each member that may admit operations on its own is left to
    it. Tokens of poolers that have discarded them no longer count.
    """
    elapsed_ms = now_ms - ledger.refilled_ms
    if elapsed_ms <= 0:
        return
    expired = [
        name
        for name, account in ledger.accounts.items()
        if now_ms >= account.reported_ms + TOKEN_VALIDITY_MS
    ]
    for name in expired:
        _drop_account(ledger, name)
    silent_ms = sum(
        min(elapsed_ms, now_ms - FALLBACK_AFTER_MS - contact_ms)
        for contact_ms in ledger.members.values()
        if now_ms > contact_ms + FALLBACK_AFTER_MS
    )
    served_ms = elapsed_ms - silent_ms / max(1, len(ledger.members))
    ledger.refilled_ms = now_ms
    for bucket in ledger.buckets.values():
        bucket.level += bucket.limit.rate_per_s * served_ms / MS_PER_SECOND
        _cap_level(ledger, now_ms, bucket)


def _cap_level(ledger: RateLedger, now_ms: float, bucket: Bucket) -> None:
    """Keep level and outstanding tokens within the depth."""
    room = max(0.0, bucket.limit.depth - bucket.outstanding)
    is_new = now_ms < ledger.elected_ms + TOKEN_VALIDITY_MS
    if is_new and ledger.unreported:
        # Stocks that have not been reported make up the rest of the depth.
        known = max(bucket.inherited, UNREPORTED_SHARE * bucket.limit.depth)
        room = max(0.0, min(room, known - bucket.outstanding))
    bucket.level = min(bucket.level, room)


def _drop_account(ledger: RateLedger, pooler: str) -> None:
    account = ledger.accounts.pop(pooler)
    for tenant, tokens in account.outstanding.items():
        if tenant in ledger.buckets:
            ledger.buckets[tenant].outstanding -= tokens
    for tenant, tokens in account.wanted.items():
        if tenant in ledger.buckets:
            ledger.buckets[tenant].wanted -= tokens


def record_report(
    ledger: RateLedger,
    now_ms: float,
    pooler: str,
    conn: int,
    report: RateReport,
) -> bool:
    """Record the report of a pooler.

    Returns
    -------
    bool
        False if the report states changes to one that this leader does not
        have. The pooler must then be told to state everything.
    """
    contact_ms = ledger.members.get(pooler, now_ms)
    is_silent = now_ms > contact_ms + FALLBACK_AFTER_MS
    if is_silent or now_ms >= ledger.refilled_ms + REFILL_INTERVAL_MS:
        refill(ledger, now_ms)
    account = ledger.accounts.get(pooler)
    if account is None or account.conn != conn:
        if report.applied:
            return False
        if account is not None:
            _drop_account(ledger, pooler)
        account = PoolerAccount(conn=conn, reported_ms=now_ms)
        ledger.accounts[pooler] = account
    elif not report.applied:
        # States everything, and crossed the first grants on the link.
        account.stock = {}
        report = dataclasses.replace(
            report,
            wanted={
                **dict.fromkeys(account.wanted, 0),
                **(report.wanted or {}),
            },
        )
    _confirm_grants(ledger, pooler, account, report.applied)
    account.reported_ms = now_ms
    account.seq = report.seq
    _update_entries(ledger, account, report)
    if pooler in ledger.unreported:
        ledger.unreported.discard(pooler)
        for tenant, tokens in account.outstanding.items():
            if tenant in ledger.buckets:
                ledger.buckets[tenant].inherited += tokens
    for tenant in account.outstanding:
        if tenant in ledger.buckets:
            _cap_level(ledger, now_ms, ledger.buckets[tenant])
    return True


def _confirm_grants(
    ledger: RateLedger, pooler: str, account: PoolerAccount, applied: int
) -> None:
    for grant in account.grants:
        if grant.number <= applied and pooler in ledger.members:
            ledger.members[pooler] = max(ledger.members[pooler], grant.sent_ms)
        if grant.number <= applied:
            for tenant, tokens in grant.tokens.items():
                account.stock[tenant] = account.stock.get(tenant, 0) + tokens
    account.grants = [g for g in account.grants if g.number > applied]


def _update_entries(
    ledger: RateLedger, account: PoolerAccount, report: RateReport
) -> None:
    account.stock.update(report.stock or {})
    account.waiting = dict(report.waiting or {})
    for tenant, wanted in (report.wanted or {}).items():
        change = wanted - account.wanted.get(tenant, 0)
        account.wanted[tenant] = wanted
        if tenant in ledger.buckets:
            ledger.buckets[tenant].wanted += change
    held = {name: tokens for name, tokens in account.stock.items() if tokens}
    account.stock = dict(held)
    account.wanted = {n: w for n, w in account.wanted.items() if w}
    for grant in account.grants:
        for tenant, tokens in grant.tokens.items():
            held[tenant] = held.get(tenant, 0) + tokens
    for tenant in held.keys() | account.outstanding.keys():
        change = held.get(tenant, 0) - account.outstanding.get(tenant, 0)
        if change and tenant in ledger.buckets:
            ledger.buckets[tenant].outstanding += change
    account.outstanding = held


def build_grant(
    ledger: RateLedger, now_ms: float, pooler: str
) -> RateGrant | None:
    """Return the answer to the latest report of a pooler.

    None if its tokens have expired since.
    """
    account = ledger.accounts.get(pooler)
    if account is None:
        return None
    tokens: dict[str, int] = {}
    refused: list[str] = []
    for tenant in account.wanted.keys() | account.waiting.keys():
        bucket = ledger.buckets.get(tenant)
        if bucket is None:
            continue
        amount = _choose_amount(bucket, account, tenant)
        if amount:
            tokens[tenant] = amount
            bucket.level -= amount
            bucket.outstanding += amount
            account.outstanding[tenant] = (
                account.outstanding.get(tenant, 0) + amount
            )
        if _is_refused(bucket, now_ms, account.waiting.get(tenant, 0), amount):
            refused.append(tenant)
    account.last_number += 1
    account.grants.append(
        SentGrant(
            number=account.last_number,
            seq=account.seq,
            sent_ms=now_ms,
            tokens=tokens,
        )
    )
    return RateGrant(
        number=account.last_number,
        seq=account.seq,
        tokens=dict(tokens) or None,
        refused=sorted(refused) or None,
    )


def _choose_amount(bucket: Bucket, account: PoolerAccount, tenant: str) -> int:
    """Return the number of tokens to grant.

    Poolers share `STOCK_SHARE` of the depth in proportion to what they want.
    Waiting operations may use what remains.
    """
    wanted = account.wanted.get(tenant, 0)
    shared = bucket.limit.depth * STOCK_SHARE
    share = min(1.0, shared / bucket.wanted) if bucket.wanted > 0 else 1.0
    free = math.floor(bucket.level - (bucket.limit.depth - shared))
    held = account.outstanding.get(tenant, 0)
    waiting = account.waiting.get(tenant, 0)
    missing = max(min(1, wanted), math.floor(wanted * share)) + waiting - held
    amount = max(0, min(missing, free))
    if waiting and amount < waiting:
        most = max(1, math.floor(bucket.level * WAITING_SHARE))
        amount = max(amount, min(waiting, most))
    return min(amount, math.floor(bucket.level))


def _is_refused(
    bucket: Bucket, now_ms: float, waiting: int, granted: int
) -> bool:
    """Return whether the waiting operations find the bucket empty."""
    if bucket.level >= 1 or 0 < waiting <= granted:
        bucket.empty_since_ms = None
        return False
    if not waiting:
        return False
    if bucket.empty_since_ms is None:
        bucket.empty_since_ms = now_ms
    return now_ms >= bucket.empty_since_ms + EMPTY_AFTER_MS
