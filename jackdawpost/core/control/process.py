"""State of a control process and helper functions shared by its handlers."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import TYPE_CHECKING

from jackdawpost.core.consensus import process as consensus
from jackdawpost.core.control.admin import AdminLinks
from jackdawpost.core.control.commands import ApproveMember
from jackdawpost.core.control.commands import Command
from jackdawpost.core.control.commands import encode_command
from jackdawpost.core.control.failure_detector import FailureDetector
from jackdawpost.core.control.permit_ledger import PermitLedger
from jackdawpost.core.control.promotion import PromotionDriver
from jackdawpost.core.control.publication import UpdateCache
from jackdawpost.core.control.state import ControlMachine
from jackdawpost.core.effects import Close
from jackdawpost.core.effects import Effect
from jackdawpost.core.events import Link
from jackdawpost.core.leases.ledger import LeaseLedger
from jackdawpost.core.messages.control import Announce
from jackdawpost.core.messages.control import ProxyReport
from jackdawpost.core.messages.control import UpstreamReport
from jackdawpost.core.messages.registry import Registration
from jackdawpost.core.outbox import count
from jackdawpost.core.outbox import log
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.rates.ledger import RateLedger
from jackdawpost.errors import CommandError

if TYPE_CHECKING:
    from jackdawpost.settings.models import ControlSettings

MemberKey = tuple[str, str]
"""Name and identity (`member_id`) of a member or newcomer."""


@dataclass(slots=True, kw_only=True, frozen=True)
class ControlConfig:
    """Settings of a control process that the reducer reads.

    Parameters
    ----------
    peers : list of str
        Names of all control processes, including this one.
    lease_ms : float
        Validity of a write lease.
    report_ttl_ms : float
        Time for which the latest report of a proxy counts; 0 for as long as
        a lease.
    clock_margin : float
        Largest difference in clock rate between two machines, as a
        fraction.
    snapshot_entries : int
        Number of applied log entries after which the log is compacted.
    member_expiry_ms : float
        Time after which a silent member is removed.
    refused_ms, silent_ms : float
        Time for which proxies must report a primary as refusing
        connections, or as silent, before it counts as failed.
    max_statement_ms : float
        Longest run time of a statement.
    delegated : bool
        Whether upstreams register by HTTP requests and promotions are
        carried out by the deployment's platform on order of the leader.
    write_leases : bool
        Whether proxies hold write leases although promotions are delegated,
        since the platform does not fence replaced primaries.
    holder : str
        Name that this process uses when it orders promotions.
    voter_target : int
        Number of voters that the control group should have; 0 keeps the
        voters of the settings. If it is set, processes are named by their
        IP addresses.
    seeds : tuple of str
        Addresses at which other control processes may be found.
    upstream_expiry_ms : float
        Time after which a silent registered upstream is removed.
    upstream_silence_ms : float
        Time without a report of a registered upstream after which another
        one may take its name or its address.
    rate_window_ms, rate_overage, rate_slack : float
        Rate limits of tenants, see `jackdawpost.core.rates.limits`.
    """

    name: str
    peers: list[str]
    lease_ms: float = 1_500
    report_ttl_ms: float = 0
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
    write_leases: bool = False
    holder: str = ''
    voter_target: int = 0
    seeds: tuple[str, ...] = ()
    upstream_expiry_ms: float = 30_000
    upstream_silence_ms: float = 1_500
    rate_window_ms: float = 5_000
    rate_overage: float = 0.1
    rate_slack: float = 20


def config_from_settings(settings: ControlSettings) -> ControlConfig:
    """Return the settings that the reducer reads."""
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
    """Connection accepted by this process, or connection to a peer.

    Parameters
    ----------
    link : str
        Kind of the link: ``'peer'``, ``'proxy'``, ``'announce'`` or
        ``'operator'``.
    peer : str
        Name authenticated by the transport; empty without authentication.
    last_contact_ms : float
        Time of the last message.
    is_refused : bool
        Whether the connection violated the protocol; its further messages
        are ignored.
    name, member_id : str
        Member or newcomer that the remote end declared itself to be; empty
        before its first report or announcement.
    report : ProxyReport, optional
        Latest report of a proxy, with all later changes applied.
    is_served : bool
        Whether this leader handles the reports, permits and leases of the
        proxy.
    sent_version : int, optional
        Published version last sent to the proxy; None before the first one.
    sent_ms : float
        Time at which it was sent.
    demands : dict of str to int
        Latest permit demand of a proxy for each upstream.
    approvals_requested : set
        Newcomers whose approval has been requested on this link.
    revoked : set
        Group and term of the lease revocations sent on this link.
    arrivals_ms : dict of int to float
        Time of arrival of the latest reports of a proxy, by number.
    told_leaving : set
        Leaving upstreams whose time has been sent on this link.
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
    arrivals_ms: dict[int, float] = field(default_factory=dict)
    told_leaving: set[MemberKey] = field(default_factory=set)


@dataclass(slots=True, kw_only=True)
class AnnouncedUpstream:
    """Latest announcement of an upstream under one data identity.

    Parameters
    ----------
    conn : int
        Connection on which the announcement arrived.
    connected : bool
        Whether the connection is open and announcements still arrive on it.
    """

    announce: Announce
    conn: int
    last_contact_ms: float
    connected: bool = True


@dataclass(slots=True, kw_only=True)
class WaitingOperator:
    """Operator request that is answered once a log entry is applied."""

    conn: int
    request_id: int


@dataclass(slots=True, kw_only=True)
class RegisteredUpstream:
    """Latest report of an upstream that registers by HTTP requests."""

    report: Registration
    last_contact_ms: float


@dataclass(slots=True, kw_only=True)
class PromotionOrder:
    """Order of a promotion that was sent to the deployment's platform.

    Parameters
    ----------
    token : int
        Fencing token of the order.
    outcome : str
        Outcome of the order; empty until it is answered.
    detail : str
        Explanation of the outcome.
    may_take_effect : bool
        Whether an earlier order under the token was not refused, so that it
        may have been carried out.
    """

    token: int
    sent_ms: float
    outcome: str = ''
    detail: str = ''
    may_take_effect: bool = False


@dataclass(slots=True, kw_only=True)
class ForwardedRequests:
    """Requests to upstreams of a group before a promotion.

    Parameters
    ----------
    token : int
        Fencing token of the promotion; negative for requests outside of one.
    term : int
        Term sent with the requests.
    since_ms : float
        Time of the first request.
    attempts : int
        Number of requests sent; each goes through the next proxy.
    next_request_ms : float
        Earliest time of the next round of requests.
    is_confirmed : bool
        Whether the upstream has answered as the promotion needs it.
    """

    token: int
    term: int
    since_ms: float = 0.0
    attempts: int = 0
    next_request_ms: float = 0.0
    is_confirmed: bool = False


@dataclass(slots=True, kw_only=True)
class ReplicaPause(ForwardedRequests):
    """Pause of a group's replicas before a promotion.

    Parameters
    ----------
    positions : dict of tuple to LogPosition
        Last position received by each replica that has answered, by name and
        identity, including the chosen upstream.
    to_resume : set of tuple
        Replicas to tell to resume after the promotion, by name and identity.
    logged_missing : list of str, optional
        Databases without an answer, as last logged.
    """

    positions: dict[MemberKey, LogPosition] = field(default_factory=dict)
    to_resume: set[MemberKey] = field(default_factory=set)
    logged_missing: list[str] | None = None


@dataclass(slots=True, kw_only=True)
class PrimaryDemotion(ForwardedRequests):
    """Demotion of the primary of a group with copies before its replacement.

    Parameters
    ----------
    is_overdue : bool
        Whether the answers are not waited for any longer.
    requested : set of tuple
        Upstreams, by name and identity, that have been asked.
    demoted : dict of tuple to LogPosition
        Those that have answered that they do not lead, and the end of their
        log.
    recorded : set of tuple
        Those of them at the time at which the end of the log was recorded.
    status_term : int
        Term of the first request to the chosen upstream after that.
    """

    is_overdue: bool = False
    requested: set[MemberKey] = field(default_factory=set)
    demoted: dict[MemberKey, LogPosition] = field(default_factory=dict)
    recorded: set[MemberKey] = field(default_factory=set)
    status_term: int = 0


@dataclass(slots=True, kw_only=True)
class AbsentReplica(ForwardedRequests):
    """Replica that does not run, and the request that limits what it holds.

    Parameters
    ----------
    group : str
        Group of the replica.
    limit : LogPosition, optional
        Position of the primary, requested after the replica was seen to be
        absent. The replica holds no later commit. None until the primary has
        answered.
    """

    group: str
    limit: LogPosition | None = None


@dataclass(slots=True, kw_only=True)
class GroupPositions:
    """Requests for the log position of a primary, and the latest answer.

    Parameters
    ----------
    number : int
        Number of the latest request.
    requested_ms : dict of int to float
        Time of the latest requests.
    valid_ms : float
        Time of the request that `position` answers.
    check_due_ms : float
        Earliest time at which poolers are asked again to check the primary.
    """

    number: int = 0
    requested_ms: dict[int, float] = field(default_factory=dict)
    valid_ms: float = -1.0
    position: LogPosition | None = None
    check_due_ms: float = 0.0


@dataclass(slots=True, kw_only=True)
class LeaderState:
    """State of the services that only the leader runs.

    It is created when the process wins an election and dropped when its
    leadership ends.

    Parameters
    ----------
    proposed : dict of str to int
        Proposals in the log that have not been applied: key to log index.
    last_contact_ms : dict
        Time of the last contact with each member or newcomer.
    pending_operators : dict of int to list of WaitingOperator
        Operators to answer once the entry with this index is applied.
    pending_queries : dict
        Connection and query by token of the leadership confirmation that
        the query waits for.
    next_query_token : int
        Next token for the confirmation of a query or read. These tokens are
        negative, those of the lease ledger positive.
    pending_promotions : dict of str to list of WaitingOperator
        Operators to answer once the promotion of the group has started.
    removing : dict
        Members that get no more leases, with the operators to answer. The
        removal is proposed once the last lease has expired.
    removal_reasons : dict
        Reason for each of these removals.
    versions_in_force : dict of str to int
        Published version in force on each proxy.
    next_announce_ms : dict
        Earliest time at which the announcement of an identity is proposed
        again.
    expiry_check_ms : float
        Time of the next check for silent members.
    contact_floor_ms : float
        Lower bound of every last contact: the time of the election, or of
        the end of a suspension in which this process could receive nothing.
    last_tick_ms : float
        Time of the last tick.
    permit_due_ms : dict of str to float
        Time at which the permits of an upstream must be reconsidered.
    group_due_ms : dict of str to float
        Time at which the promotion of a group must be reconsidered.
    group_upstreams : dict of str to list of str
        Joined upstreams of each group.
    dirty_groups : set of str
        Groups whose promotion must be reconsidered.
    dirty_permits : set of str
        Upstreams whose permits must be reconsidered.
    suspect_groups : set of str
        Groups with an upstream that a proxy has reported as not up. A group
        is removed once no live proxy reports its primary so.
    pending_requests : dict of int to list of int
        Requests to answer once the entry with this index is applied.
    pending_reads : dict of int to int
        Request by token of the leadership confirmation that it waits for.
    registered : dict of str to RegisteredUpstream
        Latest reports of registered upstreams.
    held : dict of str to RegisteredUpstream
        Latest reports by name, oldest first, that count once their group is
        declared and no other upstream reports under their name or address.
    next_sweep_ms : float
        Time of the next sweep over the registered upstreams.
    next_group_sweep_ms : float
        Time at which all groups are reconsidered, also the unchanged ones.
    leaving_since_ms : dict of tuple to float, optional
        Time at which the departure of each leaving upstream was recorded;
        None if that was before the election.
    waiting_approvals : list of ApproveMember
        Approvals to propose once the running proposal of others is applied.
    upstream_observations : dict
        Latest roles and positions reported, by upstream and proxy.
    reported_ms : dict of str to float
        Time of the latest report of each proxy, which also confirms what has
        not changed since its earlier ones.
    orders : dict of str to PromotionOrder
        Latest promotion order of each group.
    unanswered_order_ms : dict of str to float
        Time at which the latest order of each group was sent, while it has no
        outcome.
    own_tokens : set of int
        Fencing tokens recorded during this leadership; no others are used.
    excluded_until_ms : dict of str to float
        Time until which an upstream is not a candidate for promotion.
    without_primary_since_ms : dict of str to float
        Time since which a group has had no primary.
    replica_pauses : dict of str to ReplicaPause
        Pause of the replicas for the promotion of each group.
    demotions : dict of str to ForwardedRequests
        Demotion of the chosen upstream for the promotion of each group.
    primary_demotions : dict of str to PrimaryDemotion
        Demotion of the primary that the promotion of each group replaces.
    refused_ms : dict of str to float
        Time at which a proxy last saw an upstream of a group with copies
        refuse connections.
    next_absence_token : int
        Token of the next request about an absent replica. Tokens of
        promotions are positive.
    absent_replicas : dict of tuple to AbsentReplica
        Replicas, by name and identity, that have been removed or to which most
        proxies see connections refused.
    electorate_ms : dict of str to float
        Time at which each proxy was last a member.
    electorate_due_ms : float
        Time at which `electorate_ms` is updated.
    not_adopted_until_ms : dict of str to float
        Time until which a replaced primary is not adopted again.
    superseded_terms : dict of str to int
        Term, by group, whose leases must end before leases of the adopted
        primary are granted.
    confirming_since_ms, confirmed_ms : float
        Start of the running confirmation of leadership, and of the latest
        one that has succeeded.
    positions : dict of str to GroupPositions
        Positions of the primaries that accept too few connections, by group.
    positions_due_ms : float
        Time of the next requests for them.
    rates : RateLedger
        Token buckets of tenants with a rate limit.
    rates_version : int
        Published version whose rates the ledger has; -1 for none.
    rate_members_due_ms : float
        Time at which the proxies that share the rates are counted again.
    waiting_rate_links : set of int
        Connections whose report of tokens waits for a confirmation.
    rate_confirmation : tuple, optional
        Token and start of the confirmation that these reports wait for.
    """

    term: int
    elected_ms: float
    leases: LeaseLedger
    permits: PermitLedger
    detector: FailureDetector
    driver: PromotionDriver
    admin: AdminLinks
    rates: RateLedger
    proposed: dict[str, int] = field(default_factory=dict)
    last_contact_ms: dict[MemberKey, float] = field(default_factory=dict)
    pending_operators: dict[int, list[WaitingOperator]] = field(
        default_factory=dict
    )
    pending_queries: dict[int, tuple[int, Any]] = field(default_factory=dict)
    next_query_token: int = -1
    pending_promotions: dict[str, list[WaitingOperator]] = field(
        default_factory=dict
    )
    removing: dict[MemberKey, list[WaitingOperator]] = field(
        default_factory=dict
    )
    removal_reasons: dict[MemberKey, str] = field(default_factory=dict)
    versions_in_force: dict[str, int] = field(default_factory=dict)
    next_announce_ms: dict[MemberKey, float] = field(default_factory=dict)
    expiry_check_ms: float = 0.0
    contact_floor_ms: float = 0.0
    last_tick_ms: float = 0.0
    permit_due_ms: dict[str, float] = field(default_factory=dict)
    group_due_ms: dict[str, float] = field(default_factory=dict)
    group_upstreams: dict[str, list[str]] = field(default_factory=dict)
    dirty_groups: set[str] = field(default_factory=set)
    dirty_permits: set[str] = field(default_factory=set)
    suspect_groups: set[str] = field(default_factory=set)
    # Used by HTTP requests and by delegated promotions.
    pending_requests: dict[int, list[int]] = field(default_factory=dict)
    pending_reads: dict[int, int] = field(default_factory=dict)
    registered: dict[str, RegisteredUpstream] = field(default_factory=dict)
    held: dict[str, RegisteredUpstream] = field(default_factory=dict)
    next_sweep_ms: float = 0.0
    next_group_sweep_ms: float = 0.0
    leaving_since_ms: dict[MemberKey, float | None] = field(
        default_factory=dict
    )
    waiting_approvals: list[ApproveMember] = field(default_factory=list)
    upstream_observations: dict[str, dict[str, UpstreamReport]] = field(
        default_factory=dict
    )
    reported_ms: dict[str, float] = field(default_factory=dict)
    orders: dict[str, PromotionOrder] = field(default_factory=dict)
    unanswered_order_ms: dict[str, float] = field(default_factory=dict)
    own_tokens: set[int] = field(default_factory=set)
    excluded_until_ms: dict[str, float] = field(default_factory=dict)
    without_primary_since_ms: dict[str, float] = field(default_factory=dict)
    not_adopted_until_ms: dict[str, float] = field(default_factory=dict)
    electorate_ms: dict[str, float] = field(default_factory=dict)
    electorate_due_ms: float = 0.0
    replica_pauses: dict[str, ReplicaPause] = field(default_factory=dict)
    demotions: dict[str, ForwardedRequests] = field(default_factory=dict)
    primary_demotions: dict[str, PrimaryDemotion] = field(default_factory=dict)
    refused_ms: dict[str, float] = field(default_factory=dict)
    next_absence_token: int = -1
    absent_replicas: dict[MemberKey, AbsentReplica] = field(
        default_factory=dict
    )
    superseded_terms: dict[str, int] = field(default_factory=dict)
    confirming_since_ms: float = 0.0
    confirmed_ms: float = 0.0
    positions: dict[str, GroupPositions] = field(default_factory=dict)
    positions_due_ms: float = 0.0
    rates_version: int = -1
    rate_members_due_ms: float = 0.0
    waiting_rate_links: set[int] = field(default_factory=set)
    rate_confirmation: tuple[int, float] | None = None


@dataclass(slots=True, kw_only=True)
class ControlState:
    """State of a control process.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state, as applied by this process.
    links : dict of int to LinkState
        Open links by connection.
    peers, proxies : dict of str to int
        Connection of each peer and of each proxy.
    upstreams : dict of tuple to AnnouncedUpstream
        Latest announcements by name and data identity.
    leader : LeaderState, optional
        State of the leader services; None on a process that does not lead.
    notified_leader : str, optional
        Leader last named to connected proxies and upstreams.
    next_conn : int
        Id of the next admin connection; ids are negative and decrease.
    timer_ms : float, optional
        Time at which the timer fires; None if it is not set.
    transfer_deadline_ms : float
        Time until which a draining leader waits for the transfer of its
        leadership.
    replacement_deadline_ms : float
        Time until which a draining process waits to be replaced as a voter.
    applied_since_snapshot : int
        Entries applied since the last compaction of the log.
    leaving_peers : set of str
        Control processes that have announced their stop.
    voters_due_ms : float
        Earliest time of the next change of the voter set.
    notify_group_due_ms : float
        Time at which the leader sends the control group to its peers again.
    last_leader_ms : float
        Time at which a leader was last known.
    notified_group : tuple, optional
        Leader and voters last sent to the peers.
    group_leader, group_voters : str, list of str
        Leader and voters as received from another control process; used by
        a process that is not a voter.
    connected_peers : list of str, optional
        Peers to which this process opens links; None before the first time.
    consensus_effects : deque
        Consensus effects that have not been carried out, in the order in
        which the writes must happen.
    updates : UpdateCache
        Updates of the published state that were sent to proxies.
    removed_ms : dict of str to float
        Time at which this process applied the latest removals of members.
    outbox : list of Effect
        Effects of the event being handled.
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
    transfer_deadline_ms: float = 0.0
    replacement_deadline_ms: float = 0.0
    stopped: bool = False
    storage_failed: bool = False
    applied_since_snapshot: int = 0
    # Used only if the voters of the control group may change.
    leaving_peers: set[str] = field(default_factory=set)
    voters_due_ms: float = 0.0
    notify_group_due_ms: float = 0.0
    last_leader_ms: float = 0.0
    notified_group: tuple[str, tuple[str, ...]] | None = None
    group_leader: str = ''
    group_voters: list[str] = field(default_factory=list)
    connected_peers: list[str] | None = None
    consensus_effects: deque[Any] = field(default_factory=deque)
    updates: UpdateCache = field(default_factory=UpdateCache)
    removed_ms: dict[str, float] = field(default_factory=dict)
    outbox: list[Effect] = field(default_factory=list)


def refuse(state: ControlState, link: LinkState, reason: str) -> None:
    """Log a protocol violation and close the connection."""
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
    """Propose a command unless a proposal with the same key is pending.

    A command that the log cannot hold is logged and not proposed. Its texts
    may come from anyone, so it must not end the process.

    Parameters
    ----------
    key : str
        Subject of the command; with an empty key any number of proposals
        may be pending.

    Returns
    -------
    int or None
        Index of the log entry; None if nothing was proposed.
    """
    try:
        return submit(state, key, command)
    except CommandError as exc:
        count(state, 'commands_unrecordable')
        log(state, 'warning', 'command_unrecordable', detail=str(exc))
        return None


def submit(state: ControlState, key: str, command: Command) -> int | None:
    """Propose a command for a sender who is told why it cannot be recorded.

    Parameters and returned value are those of `propose`.

    Raises
    ------
    CommandError
        The command is too long for the log, or contains a text that is not
        valid UTF-8.
    """
    leader = state.leader
    if leader is None or (key and key in leader.proposed):
        return None
    try:
        index, effects = consensus.propose(
            state.consensus, state.now_ms, encode_command(command)
        )
    except ValueError as exc:
        raise CommandError(f'{command.kind}: {exc}') from exc
    state.consensus_effects.extend(effects)
    if index is not None and key:
        leader.proposed[key] = index
    return index


def is_member(state: ControlState, name: str, member_id: str) -> bool:
    """Return whether this identity has joined and has not been removed."""
    member = state.machine.members.get(name)
    return member is not None and member.member_id == member_id


def member_state(state: ControlState, name: str, member_id: str) -> str:
    """Return the membership state reported to an identity."""
    member = state.machine.members.get(name)
    if member is None or member.member_id != member_id:
        return 'announced'
    return 'leaving' if member.leaving else 'joined'


def is_leaving(state: ControlState, name: str) -> bool:
    """Return whether an upstream is leaving or drained by operators."""
    member = state.machine.members.get(name)
    settings = state.machine.objects.upstreams.get(name)
    drained = settings is not None and settings.drained
    return drained or (member is not None and member.leaving)
