"""Databases that may hold an acknowledged commit of a group with copies.

A promotion counts the answers that it needs over these databases. Leaving out
one that holds a commit would let a database be promoted without it. A replica
that does not run, or has been removed, is left out only if the databases that
answered are known to have received all that it may hold.
"""

from __future__ import annotations

from jackdawpost.core.control import failure_detector
from jackdawpost.core.control.commands import LimitFormerHolder
from jackdawpost.core.control.process import AbsentReplica
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import LeaderState
from jackdawpost.core.control.process import MemberKey
from jackdawpost.core.control.process import propose
from jackdawpost.core.control.process import ReplicaPause
from jackdawpost.core.control.state import Member
from jackdawpost.core.control.upstream_actions import needs_replica_copies
from jackdawpost.core.control.upstream_actions import REQUEST_INTERVAL_MS
from jackdawpost.core.control.upstream_actions import send_action
from jackdawpost.core.messages.control import UpstreamActionAnswer
from jackdawpost.core.outbox import log
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.positions import ZERO_POSITION

# A database that departs sends its departure shortly before it ends.
DEPARTURE_MS = 500.0


def find_commit_holders(
    state: ControlState,
    leader: LeaderState,
    group: str,
    upstreams: dict[str, Member],
    pause: ReplicaPause,
) -> set[MemberKey]:
    """Return the databases of which one may be needed to find each commit.

    Newcomers are included: the primary counts a replica that has received a
    commit, and does not wait for the approvals that make it a member. Removed
    databases are included, also those whose name is used by a new incarnation.
    Absent ones are left out if a database that answered has received all that
    they may hold, as are all without an answer if it has received up to the
    end of the log of a demoted primary.

    Parameters
    ----------
    upstreams : dict of str to Member
        Joined upstreams of the group by name.
    pause : ReplicaPause
        Answers received so far.

    Returns
    -------
    set of tuple
        Names and identities.
    """
    newcomers = [item.member for item in state.machine.newcomers.values()]
    holders = {
        (member.name, member.member_id)
        for member in (*upstreams.values(), *newcomers)
        if member.group == group
    }
    limits = {
        key: absence.limit
        for key, absence in leader.absent_replicas.items()
        if absence.group == group
    }
    for former in state.machine.groups[group].former_holders:
        key = (former.name, former.member_id)
        holders.add(key)
        limits[key] = former.limit or limits.get(key)
    received = max(pause.positions.values(), default=ZERO_POSITION)
    final = state.machine.groups[group].final_position
    if final is not None and final <= received:
        return holders & pause.positions.keys()
    return {
        key
        for key in holders
        if (limit := limits.get(key)) is None or limit > received
    }


def is_known_to_run(leader: LeaderState, member: Member) -> bool:
    """Return whether answers under a name come from a member's incarnation.

    Answers of a database do not tell its incarnation, but its reports do.
    After it has refused connections, or before its first report to this
    leader, another incarnation may run that has not been reported yet.
    """
    registered = leader.registered.get(member.name)
    if registered is None:
        return not member.registered
    if str(registered.report.started_ms) != member.member_id:
        return False
    refused_ms = leader.refused_ms.get(member.name)
    return refused_ms is None or registered.last_contact_ms > refused_ms


def track_absent_replicas(
    state: ControlState,
    leader: LeaderState,
    group: str,
    upstreams: dict[str, Member],
) -> None:
    """Request the primary's position after a replica has become absent.

    A time does not show what an absent replica holds: the other replicas may
    have received nothing since. The primary's position does. If the primary
    does not answer, no limit is known and a promotion waits for the replica.
    """
    if not needs_replica_copies(state, group):
        return
    for name in upstreams:
        if failure_detector.is_refused_by_any(
            leader.detector, state.now_ms, name
        ):
            leader.refused_ms[name] = state.now_ms
    absences = leader.absent_replicas
    formers = state.machine.groups[group].former_holders
    due_ms = dict.fromkeys(
        _refusing_replicas(state, leader, group, upstreams), state.now_ms
    )
    for former in formers:
        if former.limit is None:
            key = (former.name, former.member_id)
            due_ms[key] = state.now_ms + DEPARTURE_MS
    for key, absence in list(absences.items()):
        if absence.group == group and key not in due_ms:
            del absences[key]
    for key, request_ms in due_ms.items():
        if key not in absences:
            absences[key] = AbsentReplica(
                token=leader.next_absence_token,
                term=0,
                group=group,
                next_request_ms=request_ms,
            )
            leader.next_absence_token -= 1
        _request_limit(state, absences[key])
    _propose_limits(state, leader, group)


def _refusing_replicas(
    state: ControlState,
    leader: LeaderState,
    group: str,
    upstreams: dict[str, Member],
) -> list[MemberKey]:
    recorded = state.machine.groups[group]
    primary = (recorded.primary, recorded.primary_id)
    return [
        (name, member.member_id)
        for name, member in upstreams.items()
        if (name, member.member_id) != primary
        and failure_detector.is_refused(leader.detector, state.now_ms, name)
    ]


def _request_limit(state: ControlState, absence: AbsentReplica) -> None:
    primary = state.machine.groups[absence.group].primary
    if absence.limit is not None or primary is None:
        return
    if state.now_ms >= absence.next_request_ms:
        absence.next_request_ms = state.now_ms + REQUEST_INTERVAL_MS
        send_action(state, absence, primary, 'status')


def _propose_limits(
    state: ControlState, leader: LeaderState, group: str
) -> None:
    """Propose to record the limits of removed databases.

    A later leader can't ask a primary that has failed meanwhile.
    """
    for former in state.machine.groups[group].former_holders:
        absence = leader.absent_replicas.get((former.name, former.member_id))
        if former.limit is not None or absence is None:
            continue
        if absence.limit is not None:
            command = LimitFormerHolder(
                group=group,
                name=former.name,
                member_id=former.member_id,
                limit=absence.limit,
            )
            key = f'limit/{group}/{former.name}/{former.member_id}'
            propose(state, key, command)


def record_primary_position(
    state: ControlState, leader: LeaderState, message: UpstreamActionAnswer
) -> None:
    """Record the limit of what an absent replica holds.

    Only an upstream that leads knows the position of the last commit.
    """
    if message.action != 'status' or not message.leads:
        return
    for (name, _), absence in leader.absent_replicas.items():
        if absence.token != message.token or absence.limit is not None:
            continue
        absence.limit = LogPosition(*message.received)
        log(
            state,
            'info',
            'replica_absent',
            upstream=name,
            primary=message.upstream,
            limit=list(absence.limit),
        )
