"""Write leases of proxies: grants, revocation, and their end before an order.

Each report of a proxy renews its leases. The grant waits for a confirmation of
leadership, so that a deposed leader grants none.
"""

from __future__ import annotations

import math

from jackdawpost.core.consensus import process as consensus
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import LeaderState
from jackdawpost.core.control.process import LinkState
from jackdawpost.core.control.sampling import read_positions
from jackdawpost.core.control.upstream_actions import needs_replica_copies
from jackdawpost.core.control.voters import known_peers
from jackdawpost.core.leases import ledger as lease_ledger
from jackdawpost.core.messages.control import LeaseGrant
from jackdawpost.core.messages.control import LeaseRevoke
from jackdawpost.core.messages.control import LeavingUpstream
from jackdawpost.core.outbox import send


def start_confirmation(state: ControlState, leader: LeaderState) -> None:
    """Request a leadership confirmation if reports wait for leases."""
    token = lease_ledger.start_confirmation(leader.leases)
    if token is not None:
        leader.confirming_since_ms = state.now_ms
        state.consensus_effects.extend(
            consensus.confirm_leadership(state.consensus, state.now_ms, token)
        )


def grant_leases(state: ControlState, leader: LeaderState, token: int) -> None:
    """Answer the reports that waited for this leadership confirmation."""
    leader.confirmed_ms = leader.confirming_since_ms
    terms = _grantable_terms(state, leader)
    peers = known_peers(state) if state.cfg.voter_target else None
    for report in lease_ledger.confirmed(leader.leases, token):
        link = state.links.get(report.conn)
        if link is None or not link.is_served:
            continue
        if (link.name, link.member_id) in leader.removing:
            continue
        leases = lease_ledger.record_grant(leader.leases, report, terms)
        grant = LeaseGrant(
            seq=report.seq,
            leases=leases,
            duration_ms=int(state.cfg.lease_ms),
            version=state.machine.version,
            # 'joined' for a leaving proxy too: it still finishes the requests
            # that it has in flight.
            member_state='joined',
            peers=peers,
            positions=read_positions(leader, link) or None,
            leaving=_untold_leaving(state, leader, link) or None,
        )
        send(state, link.conn, grant)
    start_confirmation(state, leader)


def _untold_leaving(
    state: ControlState, leader: LeaderState, link: LinkState
) -> list[LeavingUpstream]:
    """Return the leaving upstreams that a proxy has not been told of."""
    untold = []
    for key, since_ms in leader.leaving_since_ms.items():
        if since_ms is None or key in link.told_leaving:
            continue
        link.told_leaving.add(key)
        age_ms = math.ceil(state.now_ms - since_ms)
        untold.append(
            LeavingUpstream(upstream=key[0], data_id=key[1], age_ms=age_ms)
        )
    return untold


def _grantable_terms(
    state: ControlState, leader: LeaderState
) -> dict[str, int]:
    """Return the terms, by group, for which leases may be granted now."""
    if state.cfg.delegated and not state.cfg.write_leases:
        return {}
    terms = {}
    for name, group in state.machine.groups.items():
        if group.promotion is not None or group.primary is None:
            continue
        superseded_term = leader.superseded_terms.get(name, 0)
        if lease_ledger.holders(
            leader.leases, state.now_ms, name, superseded_term
        ):
            continue
        leader.superseded_terms.pop(name, None)
        terms[name] = group.term
    return terms


def revoke_leases(
    state: ControlState, leader: LeaderState, group: str, term: int
) -> None:
    """Revoke the leases of a group, once on each connection."""
    lease_ledger.revoke(leader.leases, group, term)
    for conn in state.proxies.values():
        link = state.links[conn]
        if link.is_served and (group, term) not in link.revoked:
            link.revoked.add((group, term))
            send(state, conn, LeaseRevoke(group=group, term=term))


def revoke_superseded_leases(
    state: ControlState, leader: LeaderState, group: str
) -> None:
    """Revoke the leases on the primary before an adopted one.

    The adopted primary leads already, without an order of this leader.
    Leases on it are granted once those on the earlier one have ended. A new
    leader does not know of this; it grants at once.
    """
    term = state.machine.groups[group].term - 1
    if not state.cfg.write_leases or not lease_ledger.holders(
        leader.leases, state.now_ms, group, term
    ):
        return
    leader.superseded_terms[group] = term
    revoke_leases(state, leader, group, term)


def end_leases(state: ControlState, leader: LeaderState, name: str) -> bool:
    """Revoke the leases on the old primary; return whether all have ended.

    Leases of proxies that do not answer are waited out.
    """
    if not state.cfg.write_leases:
        return True
    term = state.machine.groups[name].term
    revoke_leases(state, leader, name, term)
    ends_ms = lease_ledger.holders(leader.leases, state.now_ms, name, term)
    if not ends_ms:
        leader.group_due_ms.pop(name, None)
        return True
    leader.group_due_ms[name] = max(ends_ms.values())
    return False


def is_leadership_recent(
    state: ControlState, leader: LeaderState, group: str
) -> bool:
    """Return whether a quorum has confirmed this leader recently.

    A platform that does not check fencing tokens would carry out the order
    of a deposed leader. One that does may carry it out before it has seen the
    token of the next leader, which counts on the commits of its own primary in
    a group with copies. No other process can be elected within the election
    timeout after a confirmation.
    """
    if not state.cfg.write_leases and not needs_replica_copies(state, group):
        return True
    return state.now_ms < leader.confirmed_ms + state.cfg.election_min_ms
