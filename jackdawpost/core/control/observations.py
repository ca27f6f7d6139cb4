"""Roles, positions and failures of upstreams as the proxies report them."""

from __future__ import annotations

from jackdawpost.core.control import failure_detector
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import is_leaving
from jackdawpost.core.control.process import LeaderState
from jackdawpost.core.control.process import MemberKey
from jackdawpost.core.control.state import GroupState
from jackdawpost.core.control.state import Member
from jackdawpost.core.messages.control import ProxyReport
from jackdawpost.core.messages.control import ReportChange
from jackdawpost.core.messages.control import UpstreamReport
from jackdawpost.core.objects.model import object_key
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.positions import ZERO_POSITION

# Time-to-live of the observations of proxies: three report intervals.
OBSERVATION_TTL_MS = 1_500.0


def record_observations(
    state: ControlState,
    leader: LeaderState,
    report: ProxyReport,
    change: ReportChange | None,
) -> None:
    """Record the roles and positions of upstreams that a proxy reports.

    Parameters
    ----------
    change : ReportChange, optional
        What differs from the previous report; None to record all of `report`.
    """
    proxy = report.proxy
    leader.reported_ms[proxy] = state.now_ms
    if change is None:
        upstreams = report.upstreams or {}
        gone = [
            name
            for name, by_proxy in leader.upstream_observations.items()
            if proxy in by_proxy and name not in upstreams
        ]
    else:
        upstreams = change.upstreams or {}
        gone = change.gone
    for name in gone:
        leader.upstream_observations.get(name, {}).pop(proxy, None)
    for name, upstream in upstreams.items():
        by_proxy = leader.upstream_observations.setdefault(name, {})
        previous = by_proxy.get(proxy)
        by_proxy[proxy] = upstream
        if previous is None or previous.leads != upstream.leads:
            member = state.machine.members.get(name)
            if member is not None:
                leader.dirty_groups.add(member.group)


def fresh_observations(
    state: ControlState, leader: LeaderState, name: str
) -> list[UpstreamReport]:
    oldest_ms = state.now_ms - OBSERVATION_TTL_MS
    reported_ms = leader.reported_ms
    return [
        observation
        for proxy, observation in leader.upstream_observations.get(
            name, {}
        ).items()
        if reported_ms.get(proxy, 0) > oldest_ms
    ]


def find_leading_upstream(
    state: ControlState,
    leader: LeaderState,
    group: GroupState,
    upstreams: dict[str, Member],
) -> tuple[int, str] | None:
    """Return the term and name of the upstream seen to lead, if any.

    Of several that are seen to lead, the one in the highest term does.
    """
    leading: tuple[int, str] | None = None
    for upstream in upstreams:
        if state.now_ms < leader.not_adopted_until_ms.get(upstream, 0):
            continue
        for observation in fresh_observations(state, leader, upstream):
            if observation.leads and not is_superseded(
                state, group, observation
            ):
                found = (observation.term, upstream)
                leading = max(leading or found, found)
    return leading


def is_superseded(
    state: ControlState, group: GroupState, observation: UpstreamReport
) -> bool:
    """Return whether an upstream leads in a term that has ended.

    Without fencing, a replaced primary that is cut off from the new one goes
    on to lead.
    """
    return state.cfg.write_leases and observation.term <= group.superseded_term


def leads_in_new_term(
    state: ControlState, leader: LeaderState, group: GroupState, upstream: str
) -> bool:
    """Return whether an unanswered order has been carried out.

    Repeating it would be unsafe without fencing: the repeated order could be
    carried out after that of the next promotion.
    """
    return state.cfg.write_leases and any(
        observation.leads and not is_superseded(state, group, observation)
        for observation in fresh_observations(state, leader, upstream)
    )


def highest_term(
    state: ControlState, leader: LeaderState, upstreams: dict[str, Member]
) -> int:
    """Return the highest term that the proxies report of the upstreams."""
    terms = [
        observation.term
        for upstream in upstreams
        for observation in fresh_observations(state, leader, upstream)
    ]
    return max(terms, default=0)


def received_position(
    state: ControlState, leader: LeaderState, name: str
) -> LogPosition:
    positions = [
        observation.received
        for observation in fresh_observations(state, leader, name)
    ]
    return max(positions, default=ZERO_POSITION)


def _sightings(
    state: ControlState, leader: LeaderState, upstream: str
) -> list[UpstreamReport]:
    """Return the recent observations of an upstream's present incarnation.

    A proxy that does not have the present incarnation in force may have seen
    an earlier one.
    """
    published = state.machine.published.get(object_key('upstream', upstream))
    if published is None:
        return []
    oldest_ms = state.now_ms - OBSERVATION_TTL_MS
    by_proxy = leader.upstream_observations.get(upstream, {})
    return [
        observation
        for proxy, observation in by_proxy.items()
        if leader.reported_ms.get(proxy, 0) > oldest_ms
        and leader.versions_in_force.get(proxy, 0) >= published.version
    ]


def is_seen_leading(
    state: ControlState, leader: LeaderState, group: GroupState, upstream: str
) -> bool:
    """Return whether a proxy has seen an upstream lead in the newest term."""
    return any(
        observation.leads and not is_superseded(state, group, observation)
        for observation in _sightings(state, leader, upstream)
    )


def has_stopped_leading(
    state: ControlState, leader: LeaderState, upstream: str
) -> bool:
    """Return whether proxies see an upstream, but none sees it lead."""
    sightings = _sightings(state, leader, upstream)
    return bool(sightings) and not any(s.leads for s in sightings)


def find_possible_primaries(
    state: ControlState,
    leader: LeaderState,
    group: str,
    upstreams: dict[str, Member],
    chosen: str | None,
) -> set[MemberKey]:
    """Return the upstreams other than the chosen one that may lead.

    An incarnation that reports itself as leading is included before it has
    joined: proxies reach it at the address of the earlier one.
    """
    recorded = state.machine.groups[group]
    found = {
        (report.name, str(report.started_ms))
        for report in (known.report for known in leader.registered.values())
        if report.group == group and report.leads
    }
    for name, member in upstreams.items():
        identity = (name, member.member_id)
        if identity == (recorded.primary, recorded.primary_id) or (
            is_seen_leading(state, leader, recorded, name)
        ):
            found.add(identity)
    return {identity for identity in found if identity[0] != chosen}


def find_returned_primary(
    state: ControlState,
    leader: LeaderState,
    group: GroupState,
    upstreams: dict[str, Member],
) -> str | None:
    """Return a new incarnation of the primary that leads again.

    It has every commit, so no other upstream needs to be promoted. It is one
    that would be adopted: a proxy that was suspended may report a primary that
    has been replaced.
    """
    leading = find_leading_upstream(state, leader, group, upstreams)
    if leading is None:
        return None
    term, name = leading
    identity = (name, upstreams[name].member_id)
    if identity == (group.primary, group.primary_id):
        return None
    if is_leaving(state, name) or term < highest_term(
        state, leader, upstreams
    ):
        return None
    is_seen = is_seen_leading(state, leader, group, name)
    return name if is_seen else None


def has_failed(state: ControlState, leader: LeaderState, name: str) -> bool:
    failed_ms = failure_detector.failed_at_ms(
        leader.detector,
        state.now_ms,
        name,
        electorate=len(leader.electorate_ms),
    )
    return failed_ms is not None and failed_ms <= state.now_ms
