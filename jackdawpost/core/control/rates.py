"""Rate limits of tenants at the control leader: reports and grants.

Tokens are granted only while a quorum has confirmed this leader within the
election timeout, so that no other leader grants at the same time. A report
that arrives later waits for the next confirmation.
"""

from __future__ import annotations

from jackdawpost.core.consensus import process as consensus
from jackdawpost.core.control.commands import Command
from jackdawpost.core.control.commands import RemoveMember
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import LeaderState
from jackdawpost.core.control.process import LinkState
from jackdawpost.core.messages.control import RateGrant
from jackdawpost.core.messages.control import RateReport
from jackdawpost.core.outbox import count
from jackdawpost.core.outbox import send
from jackdawpost.core.rates.ledger import build_grant
from jackdawpost.core.rates.ledger import new_ledger
from jackdawpost.core.rates.ledger import RateLedger
from jackdawpost.core.rates.ledger import record_report
from jackdawpost.core.rates.ledger import set_limits
from jackdawpost.core.rates.ledger import set_members
from jackdawpost.core.rates.limits import derive_limits
from jackdawpost.core.rates.limits import RateSettings
from jackdawpost.core.rates.limits import TOKEN_VALIDITY_MS

# A removed proxy may only be partitioned from control, and admit its share of
# the rates. It counts for as long as its peers count it.
REMOVED_PROXY_RETENTION_MS = 60_000.0
# Interval at which the proxies are counted if the published state is the same.
MEMBERS_INTERVAL_MS = 1_000.0


def note_removed_proxy(state: ControlState, command: Command) -> None:
    """Remember a removed proxy, on every process that may lead later."""
    if isinstance(command, RemoveMember):
        state.removed_ms[command.name] = state.now_ms
        for name, removed_ms in list(state.removed_ms.items()):
            if state.now_ms >= removed_ms + REMOVED_PROXY_RETENTION_MS:
                del state.removed_ms[name]


def _known_proxies(state: ControlState, retention_ms: float) -> set[str]:
    """Return the proxies that are members, or were until recently."""
    removed = {
        name
        for name, removed_ms in state.removed_ms.items()
        if state.now_ms < removed_ms + retention_ms
        and name not in state.machine.members
    }
    return removed | {
        name
        for name, member in state.machine.members.items()
        if member.role == 'proxy'
    }


def new_rate_ledger(state: ControlState) -> RateLedger:
    """Return the ledger of this leader at its election."""
    return new_ledger(
        state.now_ms,
        _known_proxies(state, REMOVED_PROXY_RETENTION_MS),
        _known_proxies(state, TOKEN_VALIDITY_MS),
    )


def handle_rate_report(
    state: ControlState,
    leader: LeaderState,
    link: LinkState,
    message: RateReport,
) -> None:
    """Record the report of a pooler and answer it, now or when confirmed."""
    _update_ledger(state, leader)
    if not leader.rates.buckets:
        return
    is_known = record_report(
        leader.rates, state.now_ms, link.name, link.conn, message
    )
    if not is_known:
        send(state, link.conn, RateGrant(number=0, seq=message.seq))
        return
    if state.now_ms < leader.confirmed_ms + state.cfg.election_min_ms:
        _send_grant(state, leader, link)
        return
    leader.waiting_rate_links.add(link.conn)
    if leader.rate_confirmation is None:
        token = leader.next_query_token
        leader.next_query_token -= 1
        leader.rate_confirmation = (token, state.now_ms)
        state.consensus_effects.extend(
            consensus.confirm_leadership(state.consensus, state.now_ms, token)
        )


def _update_ledger(state: ControlState, leader: LeaderState) -> None:
    """Adopt the rates and the proxies of the published state."""
    version = state.machine.version
    if leader.rates_version != version:
        settings = RateSettings(
            window_ms=state.cfg.rate_window_ms,
            overage=state.cfg.rate_overage,
            slack=state.cfg.rate_slack,
        )
        limits = derive_limits(state.machine.objects.tenants, settings)
        set_limits(leader.rates, state.now_ms, limits)
    elif state.now_ms < leader.rate_members_due_ms:
        return
    leader.rates_version = version
    leader.rate_members_due_ms = state.now_ms + MEMBERS_INTERVAL_MS
    proxies = _known_proxies(state, REMOVED_PROXY_RETENTION_MS)
    set_members(leader.rates, state.now_ms, proxies)


def on_rates_confirmed(
    state: ControlState, leader: LeaderState, token: int
) -> bool:
    """Answer the reports that waited for a confirmation of leadership.

    Returns
    -------
    bool
        Whether the confirmation was requested for them.
    """
    confirmation = leader.rate_confirmation
    if confirmation is None or confirmation[0] != token:
        return False
    leader.rate_confirmation = None
    leader.confirmed_ms = max(leader.confirmed_ms, confirmation[1])
    conns, leader.waiting_rate_links = leader.waiting_rate_links, set()
    for conn in sorted(conns):
        link = state.links.get(conn)
        if link is not None and link.is_served:
            _send_grant(state, leader, link)
    return True


def _send_grant(
    state: ControlState, leader: LeaderState, link: LinkState
) -> None:
    account = leader.rates.accounts.get(link.name)
    if account is None or account.conn != link.conn:
        return
    grant = build_grant(leader.rates, state.now_ms, link.name)
    if grant is None:
        return
    if grant.tokens:
        count(state, 'rate_tokens_granted', sum(grant.tokens.values()))
    send(state, link.conn, grant)
