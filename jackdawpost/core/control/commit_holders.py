"""Databases that may hold an acknowledged commit of a group with copies.

A promotion counts the answers that it needs over these databases. Leaving out
one that holds a commit would let a database be promoted without it. A replica
that does not run is left out only if the databases that answered are known to
have received all that it may hold.
"""

from __future__ import annotations

from jackdawpost.core.control import failure_detector
from jackdawpost.core.control.process import AbsentReplica
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import LeaderState
from jackdawpost.core.control.process import MemberKey
from jackdawpost.core.control.process import ReplicaPause
from jackdawpost.core.control.state import Member
from jackdawpost.core.control.upstream_actions import needs_replica_copies
from jackdawpost.core.control.upstream_actions import REQUEST_INTERVAL_MS
from jackdawpost.core.control.upstream_actions import send_action
from jackdawpost.core.messages.control import UpstreamActionAnswer
from jackdawpost.core.outbox import log
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.positions import ZERO_POSITION


def find_commit_holders(
    state: ControlState,
    leader: LeaderState,
    group: str,
    upstreams: dict[str, Member],
    pause: ReplicaPause,
) -> set[MemberKey]:
    """Return the databases of which one may be needed to find each commit.

    Newcomers are included: the primary counts a replica that has received a
    commit, and does not wait for the approvals that make it a member. Absent
    replicas are left out if a database that answered has received all that
    they may hold.

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
    covered = max(pause.positions.values(), default=ZERO_POSITION)
    return {
        (member.name, member.member_id)
        for member in (*upstreams.values(), *newcomers)
        if member.group == group and not _is_covered(leader, member, covered)
    }


def _is_covered(
    leader: LeaderState, member: Member, position: LogPosition
) -> bool:
    absence = leader.absent_replicas.get((member.name, member.member_id))
    if absence is None or absence.limit is None:
        return False
    return absence.limit <= position


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
    primary = state.machine.groups[group].primary
    for name, member in upstreams.items():
        key = (name, member.member_id)
        if name == primary or not failure_detector.is_refused(
            leader.detector, state.now_ms, name
        ):
            leader.absent_replicas.pop(key, None)
            continue
        absence = leader.absent_replicas.get(key)
        if absence is None:
            absence = AbsentReplica(token=leader.next_absence_token, term=0)
            leader.next_absence_token -= 1
            leader.absent_replicas[key] = absence
        if absence.limit is not None or primary is None:
            continue
        if state.now_ms >= absence.next_request_ms:
            absence.next_request_ms = state.now_ms + REQUEST_INTERVAL_MS
            send_action(state, absence, primary, 'status')


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
