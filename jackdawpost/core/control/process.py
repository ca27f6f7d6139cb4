"""State of a control process and the helpers that its handlers share."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import TYPE_CHECKING

from jackdawpost.core.consensus import process as consensus
from jackdawpost.core.control.admin import AdminLinks
from jackdawpost.core.control.commands import Command
from jackdawpost.core.control.commands import encode_command
from jackdawpost.core.control.failure_detector import FailureDetector
from jackdawpost.core.control.lease_ledger import LeaseLedger
from jackdawpost.core.control.permit_ledger import PermitLedger
from jackdawpost.core.control.promotion import PromotionDriver
from jackdawpost.core.control.state import ControlMachine
from jackdawpost.core.effects import Close
from jackdawpost.core.effects import Effect
from jackdawpost.core.events import Link
from jackdawpost.core.messages.control import Announce
from jackdawpost.core.messages.control import ProxyReport
from jackdawpost.core.messages.control import UpstreamReport
from jackdawpost.core.messages.registry import Registration
from jackdawpost.core.outbox import count
from jackdawpost.core.outbox import log
from jackdawpost.core.positions import LogPosition

if TYPE_CHECKING:
    from jackdawpost.settings.models import ControlSettings

MemberKey = tuple[str, str]
"""Name and identity of a member or newcomer."""


@dataclass(slots=True, kw_only=True, frozen=True)
class ControlConfig:
    """Settings of a control process that its decisions depend on.

    Parameters
    ----------
    peers : list of str
        Names of all control processes, this one included.
    lease_ms : float
        Validity of a lease.
    clock_margin : float
        Largest difference in clock rate, as a fraction.
    snapshot_entries : int
        Applied entries after which the log is compacted.
    member_expiry_ms : float
        Time after which a silent member is removed.
    refused_ms, silent_ms : float
        Time for which a primary must be reported refused or silent.
    max_statement_ms : float
        Longest run time of a statement.
    delegated : bool
        Upstreams register by requests, and promotions are ordered from
        outside.
    holder : str
        Name under which this process orders promotions.
    voter_target : int
        Voters that the control group should have; 0 keeps those of the
        settings. With it, processes are named by their IP addresses.
    seeds : tuple of str
        Addresses at which control processes may be found.
    upstream_expiry_ms : float
        Time after which a silent registered upstream is removed.
    """

    name: str
    peers: list[str]
    lease_ms: float = 1_500
    clock_margin: float = 0.02
    heartbeat_ms: float = 50
    election_min_ms: float = 300
    election_max_ms: float = 600
    first_election_min_ms: float = 0
    first_election_max_ms: float = 0
    snapshot_entries: int = 5_000
    member_expiry_ms: float = 30_000
    refused_ms: float = 200
    silent_ms: float = 800
    max_statement_ms: float = 10_000
    delegated: bool = False
    holder: str = ''
    voter_target: int = 0
    seeds: tuple[str, ...] = ()
    upstream_expiry_ms: float = 30_000


def config_from_settings(settings: ControlSettings) -> ControlConfig:
    """Return the part of the settings that the reducer needs."""
    return ControlConfig(
        name=settings.name,
        peers=[peer.name for peer in settings.peers],
        lease_ms=settings.lease_ms,
        clock_margin=settings.clock_margin,
        heartbeat_ms=settings.heartbeat_ms,
        election_min_ms=settings.election_min_ms,
        election_max_ms=settings.election_max_ms,
        snapshot_entries=settings.snapshot_entries,
        member_expiry_ms=settings.member_expiry_ms,
        refused_ms=settings.refused_ms,
        silent_ms=settings.silent_ms,
        max_statement_ms=settings.max_statement_ms,
    )


@dataclass(slots=True, kw_only=True)
class LinkState:
    """An accepted connection, or one to a peer.

    Parameters
    ----------
    peer : str
        Name that the transport vouches for; empty if it does not.
    last_contact_ms : float
        Time of the last message.
    is_refused : bool
        The connection broke the protocol; nothing more is taken from it.
    name, member_id : str
        Member or newcomer that the other end says it is, once it has.
    demands : dict of str to int
        Latest permit demand of a proxy for each upstream.
    """

    conn: int
    link: Link
    peer: str
    last_contact_ms: float
    is_refused: bool = False
    name: str = ''
    member_id: str = ''
    report: ProxyReport | None = None
    is_served: bool = False
    sent_version: int | None = None
    sent_ms: float = 0.0
    demands: dict[str, int] = field(default_factory=dict)
    approvals_requested: set[MemberKey] = field(default_factory=set)
    revoked: set[tuple[str, int]] = field(default_factory=set)


@dataclass(slots=True, kw_only=True)
class AnnouncedUpstream:
    """Latest announcement of one upstream identity."""

    announce: Announce
    conn: int
    last_contact_ms: float
    connected: bool = True


@dataclass(slots=True, kw_only=True)
class WaitingOperator:
    """Operator request whose answer depends on a log entry."""

    conn: int
    request_id: int


@dataclass(slots=True, kw_only=True)
class RegisteredUpstream:
    """Latest report of an upstream that registers itself."""

    report: Registration
    last_contact_ms: float


@dataclass(slots=True, kw_only=True)
class UpstreamObservation:
    """What one proxy last saw of an upstream."""

    report: UpstreamReport
    last_contact_ms: float


@dataclass(slots=True, kw_only=True)
class PromotionOrder:
    """Order of a promotion; `outcome` is empty until it is answered."""

    token: int
    sent_ms: float
    outcome: str = ''
    detail: str = ''


@dataclass(slots=True, kw_only=True)
class ReplicaPause:
    """Replicas stopped before a promotion.

    Parameters
    ----------
    token : int
        Token of the promotion.
    term : int
        Term that they are stopped with.
    positions : dict of str to LogPosition
        Last position received by each that has answered, the chosen one
        among them.
    """

    token: int
    term: int
    positions: dict[str, LogPosition] = field(default_factory=dict)
    attempts: int = 0
    next_request_ms: float = 0.0


@dataclass(slots=True, kw_only=True)
class LeaderState:
    """Services that only the leader runs, built anew at each election.

    Parameters
    ----------
    proposed : dict of str to int
        What has been proposed and not applied, with the log index.
    last_contact_ms : dict
        When each member or newcomer was last heard.
    answers : dict of int to list of WaitingOperator
        Operators to answer once the entry is applied.
    queries : dict
        Connection and query by token of the confirmation they wait for.
    removing : dict
        Members that get no more leases, with the operators to answer, until
        their lease has ended and the removal is proposed.
    removal_reasons : dict
        Why each of them is removed.
    versions_in_force : dict of str to int
        Published version in force on each proxy.
    announce_at_ms : dict
        Earliest time of another announcement of an identity.
    expiry_check_ms : float
        Next time to look for silent members.
    contact_floor_ms : float
        Members count as heard at this time: the election, or the end of a
        pause of this process in which it could hear nobody.
    last_tick_ms : float
        Time of the last tick.
    permit_due_ms : dict of str to float
        Next time to look at the permits of an upstream.
    group_due_ms : dict of str to float
        Next time to look at each group.
    group_upstreams : dict of str to list of str
        Joined upstreams of each group.
    dirty_groups : set of str
        Groups whose promotion has to be looked at.
    dirty_permits : set of str
        Upstreams whose permits have to be looked at.
    suspect_groups : set of str
        Groups with evidence against their primary.
    pending_requests : dict of int to list of int
        Requests to answer once the entry with this index is applied.
    pending_reads : dict of int to int
        Request by token of the confirmation that it waits for.
    registered : dict of str to RegisteredUpstream
        Latest reports of registered upstreams.
    upstream_observations : dict
        What proxies saw, by upstream and proxy.
    orders : dict of str to PromotionOrder
        Latest order of a promotion for each group.
    own_tokens : set of int
        Fencing tokens recorded in this leadership; only they are used.
    excluded_until_ms : dict of str to float
        Until when an upstream is not chosen for a promotion.
    without_primary_since_ms : dict of str to float
        Since when a group has no primary.
    replica_pauses : dict of str to ReplicaPause
        Replicas stopped for the promotion of each group.
    refused_since_ms : dict of str to float
        Since when most proxies find nobody at an upstream's address.
    electorate_ms : dict of str to float
        When each proxy was last a member.
    not_adopted_until_ms : dict of str to float
        Until when a replaced primary is not adopted again.
    """

    term: int
    elected_ms: float
    leases: LeaseLedger
    permits: PermitLedger
    detector: FailureDetector
    driver: PromotionDriver
    admin: AdminLinks
    proposed: dict[str, int] = field(default_factory=dict)
    last_contact_ms: dict[MemberKey, float] = field(default_factory=dict)
    answers: dict[int, list[WaitingOperator]] = field(default_factory=dict)
    queries: dict[int, tuple[int, Any]] = field(default_factory=dict)
    next_query_token: int = -1
    pending_promotions: dict[str, list[WaitingOperator]] = field(
        default_factory=dict
    )
    removing: dict[MemberKey, list[WaitingOperator]] = field(
        default_factory=dict
    )
    removal_reasons: dict[MemberKey, str] = field(default_factory=dict)
    versions_in_force: dict[str, int] = field(default_factory=dict)
    announce_at_ms: dict[MemberKey, float] = field(default_factory=dict)
    expiry_check_ms: float = 0.0
    contact_floor_ms: float = 0.0
    last_tick_ms: float = 0.0
    permit_due_ms: dict[str, float] = field(default_factory=dict)
    group_due_ms: dict[str, float] = field(default_factory=dict)
    group_upstreams: dict[str, list[str]] = field(default_factory=dict)
    dirty_groups: set[str] = field(default_factory=set)
    dirty_permits: set[str] = field(default_factory=set)
    suspect_groups: set[str] = field(default_factory=set)
    # Requests without a link, and promotions ordered from outside.
    pending_requests: dict[int, list[int]] = field(default_factory=dict)
    pending_reads: dict[int, int] = field(default_factory=dict)
    registered: dict[str, RegisteredUpstream] = field(default_factory=dict)
    next_sweep_ms: float = 0.0
    upstream_observations: dict[str, dict[str, UpstreamObservation]] = field(
        default_factory=dict
    )
    orders: dict[str, PromotionOrder] = field(default_factory=dict)
    own_tokens: set[int] = field(default_factory=set)
    excluded_until_ms: dict[str, float] = field(default_factory=dict)
    without_primary_since_ms: dict[str, float] = field(default_factory=dict)
    not_adopted_until_ms: dict[str, float] = field(default_factory=dict)
    electorate_ms: dict[str, float] = field(default_factory=dict)
    replica_pauses: dict[str, ReplicaPause] = field(default_factory=dict)
    refused_since_ms: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class ControlState:
    """Whole state of a control process.

    Parameters
    ----------
    queue : deque
        Consensus effects that have not been carried out; they keep their
        order, which the order of writes depends on.
    outbox : list of Effect
        Effects of the event in progress.
    """

    cfg: ControlConfig
    consensus: consensus.ConsensusState
    machine: ControlMachine
    now_ms: float
    links: dict[int, LinkState] = field(default_factory=dict)
    peers: dict[str, int] = field(default_factory=dict)
    proxies: dict[str, int] = field(default_factory=dict)
    upstreams: dict[MemberKey, AnnouncedUpstream] = field(default_factory=dict)
    leader: LeaderState | None = None
    notified_leader: str | None = None
    next_conn: int = -1
    timer_ms: float | None = None
    draining: bool = False
    drain_due_ms: float = 0.0
    leave_due_ms: float = 0.0
    stopped: bool = False
    storage_failed: bool = False
    applied_since_snapshot: int = 0
    # Processes of the control group, where these may change.
    leaving_peers: set[str] = field(default_factory=set)
    voters_due_ms: float = 0.0
    notify_group_due_ms: float = 0.0
    leader_seen_ms: float = 0.0
    notified_group: tuple[str, tuple[str, ...]] | None = None
    group_leader: str = ''
    group_voters: list[str] = field(default_factory=list)
    connected_peers: list[str] | None = None
    queue: deque[Any] = field(default_factory=deque)
    outbox: list[Effect] = field(default_factory=list)


def refuse(state: ControlState, link: LinkState, reason: str) -> None:
    """Log a message that breaks the protocol and close its connection."""
    link.is_refused = True
    log(
        state,
        'warning',
        'message_refused',
        conn=link.conn,
        link=link.link,
        peer=link.peer or link.name,
        reason=reason,
    )
    count(state, 'messages_refused')
    state.outbox.append(Close(conn=link.conn, reason=reason))


def propose(state: ControlState, key: str, command: Command) -> int | None:
    """Propose a command unless one with the same key is in the log.

    Parameters
    ----------
    key : str
        Names what the command is about; empty allows any number.

    Returns
    -------
    int or None
        Index of the log entry; None if nothing was proposed.
    """
    leader = state.leader
    if leader is None or (key and key in leader.proposed):
        return None
    index, effects = consensus.propose(
        state.consensus, state.now_ms, encode_command(command)
    )
    state.queue.extend(effects)
    if index is not None and key:
        leader.proposed[key] = index
    return index


def is_member(state: ControlState, name: str, member_id: str) -> bool:
    """Tell whether this identity has joined and not left."""
    member = state.machine.members.get(name)
    return member is not None and member.member_id == member_id


def member_state(state: ControlState, name: str, member_id: str) -> str:
    """Return the membership state of an identity as it is told."""
    member = state.machine.members.get(name)
    if member is None or member.member_id != member_id:
        return 'announced'
    return 'leaving' if member.leaving else 'joined'


def is_leaving(state: ControlState, name: str) -> bool:
    """Tell whether an upstream leaves or is drained by operators."""
    member = state.machine.members.get(name)
    settings = state.machine.objects.upstreams.get(name)
    drained = settings is not None and settings.drained
    return drained or (member is not None and member.leaving)
