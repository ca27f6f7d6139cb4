"""Log positions of primaries for poolers that have no connection to them.

A replica may serve a read of a bounded age if it has applied a position that
the primary had at a known time. Poolers ask the primary for it, but where an
upstream accepts fewer connections than there are poolers, most of them cannot.
The leader then asks one watcher of each primary in turn, and passes the answer
on with the grants. A position answers all reports that arrived before the
watcher was asked: it includes every commit acknowledged before they were sent.
"""

from __future__ import annotations

from dataclasses import dataclass

from jackdawpost.core.connection_shares import is_scarce
from jackdawpost.core.control import failure_detector
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import GroupPositions
from jackdawpost.core.control.process import LeaderState
from jackdawpost.core.control.process import LinkState
from jackdawpost.core.messages.control import PositionAnswer
from jackdawpost.core.messages.control import PositionRequest
from jackdawpost.core.messages.control import ReadPosition
from jackdawpost.core.messages.control import UpstreamAction
from jackdawpost.core.outbox import count
from jackdawpost.core.outbox import send

# With the interval of reports (500 ms) and the round trips, a position is at
# most 1.2 s old when the next one replaces it.
REQUEST_INTERVAL_MS = 200.0
# Interval at which poolers without an observation of a suspected primary are
# asked to check it.
CHECK_INTERVAL_MS = 300.0
# Reports per link whose arrival is remembered.
MAX_ARRIVALS = 4


@dataclass(slots=True, frozen=True)
class _ScarceGroup:
    name: str
    primary: str


def request_positions(state: ControlState, leader: LeaderState) -> None:
    """Ask for the positions of the primaries with too few connections."""
    if not state.cfg.delegated or state.now_ms < leader.positions_due_ms:
        return
    leader.positions_due_ms = state.now_ms + REQUEST_INTERVAL_MS
    scarce_groups = _find_scarce_groups(state)
    for group in scarce_groups:
        positions = leader.positions.setdefault(group.name, GroupPositions())
        _check_suspected(state, leader, positions, group.primary)
        link = _choose_watcher(state, positions, group.primary)
        if link is None:
            continue
        positions.number += 1
        positions.requested_ms[positions.number] = state.now_ms
        while len(positions.requested_ms) > MAX_ARRIVALS:
            del positions.requested_ms[next(iter(positions.requested_ms))]
        request = PositionRequest(group=group.name, number=positions.number)
        send(state, link.conn, request)
        count(state, 'position_requests')
    names = {group.name for group in scarce_groups}
    for name in [n for n in leader.positions if n not in names]:
        del leader.positions[name]


def _find_scarce_groups(state: ControlState) -> list[_ScarceGroup]:
    proxies = sum(
        member.role == 'proxy' for member in state.machine.members.values()
    )
    limits = {
        endpoint.group: endpoint.max_connections
        for endpoint in state.machine.objects.endpoints.values()
        if endpoint.max_connections
    }
    return [
        _ScarceGroup(name, group.primary)
        for name, group in state.machine.groups.items()
        if group.primary is not None
        and name in limits
        and is_scarce(limits[name], proxies)
    ]


def _choose_watcher(
    state: ControlState, positions: GroupPositions, primary: str
) -> LinkState | None:
    """Return the next pooler that has reported the primary as up.

    One in the data centre of the primary is preferred.
    """
    links = [
        link
        for link in map(state.links.__getitem__, state.proxies.values())
        if link.is_served
        and link.report is not None
        and link.report.evidence.get(primary) == 'up'
    ]
    if not links:
        return None
    member = state.machine.members.get(primary)
    data_centre = member.data_centre if member is not None else ''
    near = [
        link
        for link in links
        if link.report is not None and link.report.data_centre == data_centre
    ]
    candidates = sorted(near or links, key=lambda link: link.name)
    return candidates[positions.number % len(candidates)]


def _check_suspected(
    state: ControlState,
    leader: LeaderState,
    positions: GroupPositions,
    primary: str,
) -> None:
    """Ask the poolers that do not watch a suspected primary to check it.

    A promotion needs the majority of all poolers, but only the watchers and
    those that use the primary notice its failure by themselves.
    """
    if state.now_ms < positions.check_due_ms:
        return
    if not failure_detector.is_suspected(
        leader.detector, state.now_ms, primary
    ):
        return
    positions.check_due_ms = state.now_ms + CHECK_INTERVAL_MS
    action = UpstreamAction(upstream=primary, action='status', term=0, token=0)
    for conn in state.proxies.values():
        link = state.links[conn]
        if link.is_served and link.report is not None:
            if primary not in link.report.evidence:
                send(state, conn, action)


def record_position_answer(
    leader: LeaderState, message: PositionAnswer
) -> None:
    """Record a position unless a later request has been answered."""
    positions = leader.positions.get(message.group)
    if positions is None:
        return
    requested_ms = positions.requested_ms.get(message.number)
    if requested_ms is None or requested_ms <= positions.valid_ms:
        return
    positions.valid_ms = requested_ms
    positions.position = message.position


def note_arrival(state: ControlState, link: LinkState, seq: int) -> None:
    """Remember when a report of a pooler arrived."""
    link.arrivals_ms[seq] = state.now_ms
    while len(link.arrivals_ms) > MAX_ARRIVALS:
        del link.arrivals_ms[next(iter(link.arrivals_ms))]


def read_positions(leader: LeaderState, link: LinkState) -> list[ReadPosition]:
    """Return the positions to send with a grant, each with its report."""
    found = []
    for name, positions in leader.positions.items():
        if positions.position is None:
            continue
        seqs = [
            seq
            for seq, arrived_ms in link.arrivals_ms.items()
            if arrived_ms <= positions.valid_ms
        ]
        if seqs:
            found.append(
                ReadPosition(
                    group=name, seq=max(seqs), position=positions.position
                )
            )
    return found
