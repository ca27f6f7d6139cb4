"""State of a proxy, and helpers that the modules of the proxy share.

The reducer changes this state and performs no input or output itself: it
appends effects (send, connect, close, set a timer) to `ProxyState.outbox`.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import Any
from typing import TYPE_CHECKING

from jackdawpost.core.effects import Close
from jackdawpost.core.effects import Effect
from jackdawpost.core.effects import Send
from jackdawpost.core.leases.holder import LeaseHolder
from jackdawpost.core.messages.caller import CallerRequest
from jackdawpost.core.messages.upstream import Executed
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.positions import ZERO_POSITION
from jackdawpost.core.proxy.admission import AdmissionQueue
from jackdawpost.core.proxy.freshness import FreshnessTracker
from jackdawpost.core.proxy.permit_holder import PermitHolder
from jackdawpost.core.published import GroupView
from jackdawpost.core.published import PublishedState
from jackdawpost.core.published import UpstreamView
from jackdawpost.core.retry import RetryBudget
from jackdawpost.core.tokens import EMPTY_TOKEN
from jackdawpost.core.tokens import SessionToken

if TYPE_CHECKING:
    from jackdawpost.settings.models import ProxySettings

TIMER_KEY = 'proxy'
MAX_FRAME_MESSAGES = 64
# Control reports a draining proxy as 'leaving'; it keeps its leases until it
# has stopped.
SERVING_STATES = frozenset({'joined', 'leaving'})


@dataclass(slots=True, kw_only=True)
class ProxyConfig:
    """Settings that the reducer of a proxy uses.

    Parameters
    ----------
    incarnation : str
        Identity of the process, new at each start.

    Notes
    -----
    The other fields are those of ``ProxySettings``.
    """

    name: str
    proxy_id: str
    incarnation: str
    host: str
    port: int
    data_centre: str
    replica_choice: str = 'two_choices'
    probe_interval_ms: int = 100
    probe_timeout_ms: int = 300
    report_interval_ms: int = 400
    upstream_open_timeout_ms: int = 1_000
    drain_serve_ms: int = 1_000
    drain_limit_ms: int = 30_000
    max_callers: int = 10_000
    max_in_flight_per_caller: int = 64
    idle_txn_ms: int = 10_000
    max_statement_ms: int = 10_000

    @classmethod
    def from_settings(
        cls, settings: ProxySettings, incarnation: str
    ) -> ProxyConfig:
        """Build the configuration from the settings of the process."""
        shared = {
            name: getattr(settings, name)
            for name in cls.__dataclass_fields__
            if hasattr(settings, name)
        }
        return cls(
            **shared,
            incarnation=incarnation,
            host=settings.listen.host,
            port=settings.listen.port,
        )


@dataclass(slots=True, eq=False)
class Request:
    """Request of a caller, from its arrival to its answer.

    Parameters
    ----------
    serial : int
        Number of the request, unique in the process.
    caller : int
        Connection of the caller.
    priority : int
        `WRITE`, `FRESH_READ` or `STALE_READ`.
    due_ms : float
        Deadline.
    after : LogPosition, optional
        Position of the session token that the upstream must have applied.
    max_age_ms : int, optional
        Age of the data that the caller accepts.
    queued : bool
        Set by `AdmissionQueue` while the request is in it.
    phase : str
        ``'queued'``, ``'delayed'`` (waits for a retry), ``'running'``,
        ``'durable'`` (executed, replication not yet confirmed), ``'txn'``
        (waits for another statement of its transaction) or ``'over'``.
    uncertain_term : int
        Highest term of an attempt that may have taken effect; -1 if none.
    term : int
        Term of the running attempt.
    exec_id : int
        Id of the running attempt on its connection.
    upstream_conn : int
        Connection of the running attempt.
    excluded_upstreams : set of str, optional
        Replicas that refused this read.
    result : Executed, optional
        Result of a write that waits for replication.
    size_bytes : int
        Its part of the frame in which it was received.
    """

    serial: int
    caller: int
    message: CallerRequest
    group: str
    priority: int
    due_ms: float
    arrived_ms: float
    token: SessionToken = EMPTY_TOKEN
    after: LogPosition | None = None
    max_age_ms: int | None = None
    queued: bool = False
    phase: str = 'queued'
    uncertain_term: int = -1
    term: int = -1
    attempts: int = 0
    exec_id: int = 0
    upstream_conn: int = 0
    excluded_upstreams: set[str] | None = None
    size_bytes: int = 0
    txn: Transaction | None = None
    result: Executed | None = None


@dataclass(slots=True, eq=False)
class Transaction:
    """Open transaction; holds one connection and one permit.

    Parameters
    ----------
    handle : int
        Id by which the caller refers to the transaction.
    state : str
        ``'open'`` or ``'lost'`` (rolled back by the upstream).
    running : Request, optional
        Statement that is running.
    pending : list of Request
        Statements that wait for the running one.
    idle_due_ms : float
        Time at which an idle transaction is rolled back.
    idle_check_scheduled : bool
        The agenda has a check for the idle timeout.
    """

    handle: int
    caller: int
    group: str
    term: int
    conn: int
    token: SessionToken
    state: str = 'open'
    running: Request | None = None
    pending: list[Request] = field(default_factory=list)
    idle_due_ms: float = math.inf
    idle_check_scheduled: bool = False


@dataclass(slots=True)
class Caller:
    """Connection of a caller.

    Parameters
    ----------
    requests : dict of int to Request
        Unanswered requests, by the id that the caller gave them.
    txns : dict of int to Transaction
        Open and lost transactions, by handle.
    held_bytes, reported_bytes : int
        Bytes of the frames of the unanswered requests, and the number at the
        last report.
    """

    conn: int
    requests: dict[int, Request] = field(default_factory=dict)
    txns: dict[int, Transaction] = field(default_factory=dict)
    held_bytes: int = 0
    reported_bytes: int = 0


@dataclass(slots=True)
class UpstreamConn:
    """Statement connection to an upstream.

    Parameters
    ----------
    opened : bool
        The connection is established.
    running : dict of int to Request
        Unanswered requests of the current frame, by attempt id.
    txn : Transaction, optional
        Transaction that has the connection to itself.
    close_after_frame : bool
        A request was abandoned here; the connection is closed once the
        other requests of the frame are answered.
    frame_outstanding : bool
        The frame is counted in `Upstream.outstanding`.
    holds_permit : bool
        A permit is in use for this connection.
    last_activity_ms : float
        When the frame was sent, or when its latest answer arrived.
    answer_due_ms : float
        Time by which the next answer must arrive.
    check_due_ms : float
        Time of the scheduled check of that deadline.
    """

    conn: int
    upstream: str
    opened: bool = False
    running: dict[int, Request] = field(default_factory=dict)
    txn: Transaction | None = None
    close_after_frame: bool = False
    frame_outstanding: bool = False
    holds_permit: bool = False
    last_activity_ms: float = 0.0
    answer_due_ms: float = math.inf
    check_due_ms: float = math.inf


@dataclass(slots=True)
class Upstream:
    """Upstream of the published state, with its observed condition.

    Parameters
    ----------
    view : UpstreamView
        Published description of the upstream.
    evidence : str
        Observed reachability: ``'up'``, ``'silent'``, ``'refused'``, or
        empty before the first observation.
    reported_leaving : bool
        The upstream itself reports that it leaves.
    leaving : bool
        The upstream accepts no new statements.
    term, leads, received, applied
        Latest report of the upstream.
    lag_ms : float
        Estimated replication lag.
    outstanding : int
        Frames sent and not completely answered.
    monitor : int
        Monitor connection; 0 if none.
    failures : int
        Monitor connections that failed since the last answer.
    probes : dict of int to float
        Send times of unanswered probes, by probe id.
    conns : set of int
        Statement connections, open or opening.
    idle : list of int
        Open statement connections without a frame.
    opening : int
        Number of statement connections that are opening.
    open_failures : int
        Consecutive failures to open a statement connection.
    next_open_ms : float
        Back-off: no connection is opened before this time.
    cooldown_until_ms : float
        End of a cool-down, in which no statement is sent.
    recovered_ms : float
        When the upstream became reachable again; starts its slow start.
    was_down : bool
        The latest observation was not ``'up'``.
    permit_check_scheduled : bool
        The agenda has a check for idle permits.
    """

    name: str
    view: UpstreamView
    evidence: str = ''
    reported_leaving: bool = False
    leaving: bool = False
    term: int = -1
    leads: bool = False
    received: LogPosition = ZERO_POSITION
    applied: LogPosition = ZERO_POSITION
    lag_ms: float = math.inf
    outstanding: int = 0
    monitor: int = 0
    monitor_open: bool = False
    failures: int = 0
    probes: dict[int, float] = field(default_factory=dict)
    conns: set[int] = field(default_factory=set)
    idle: list[int] = field(default_factory=list)
    opening: int = 0
    open_failures: int = 0
    next_open_ms: float = -math.inf
    cooldown_until_ms: float = -math.inf
    recovered_ms: float = -math.inf
    was_down: bool = False
    permit_check_scheduled: bool = False


@dataclass(slots=True)
class Group:
    """Database group of the published state, with its requests.

    Parameters
    ----------
    view : GroupView
        Published description of the group.
    queue : AdmissionQueue of Request
        Requests that wait to be sent.
    retry_budget : RetryBudget
        Limits retries to a share of the requests.
    freshness : FreshnessTracker
        Bounds the age of the data on replicas.
    unconfirmed_writes : list of (LogPosition, int, Request)
        Heap, by position, of executed writes whose replication is not yet
        confirmed.
    round_robin_count : int
        Counter for the round-robin choice of a replica.
    mean_service_ms : float
        Moving average of the time of one statement on an upstream.
    dispatch_due_ms : float
        Time of the next scheduled dispatch of the queue.
    new_term_grace_until_ms : float
        End of the grace period of a new term, in which reads with an
        accepted age wait for its first reports. Without it they would all
        go to the new primary.
    """

    name: str
    view: GroupView
    queue: AdmissionQueue[Request]
    retry_budget: RetryBudget
    freshness: FreshnessTracker
    upstreams: list[Upstream] = field(default_factory=list)
    max_deadline_ms: int = 60_000
    unconfirmed_writes: list[tuple[LogPosition, int, Request]] = field(
        default_factory=list
    )
    round_robin_count: int = 0
    mean_service_ms: float = 0.0
    dispatch_due_ms: float = math.inf
    new_term_grace_until_ms: float = -math.inf


@dataclass(slots=True)
class Approval:
    """Newcomer that this proxy checks: an upstream or a proxy.

    Parameters
    ----------
    attempts : int
        Connection attempts made so far.
    conn : int
        Connection of the running attempt; 0 if none.
    """

    newcomer: str
    newcomer_id: str
    host: str
    port: int
    role: str
    attempts: int = 0
    conn: int = 0


@dataclass(slots=True)
class ProxyState:
    """Whole state of a proxy.

    Parameters
    ----------
    published : PublishedState
        Groups, upstreams, rules and members, as published by control.
    conns : dict of int to UpstreamConn
        Statement connections.
    monitor_conns : dict of int to str
        Upstream of each monitor connection.
    control_conns : dict of int to str
        Control process of each connection to control.
    leader_conn : int
        Connection to the control leader; 0 while it is unknown.
    member_state : str
        Membership state of this proxy, from the control leader.
    approvals : dict of str to Approval
        Newcomers being checked, by id.
    approval_conns : dict of int to str
        Newcomer id of each connection opened to check one.
    agenda : list of (float, int, str, Any)
        Heap of scheduled actions: due time, sequence number, action,
        subject.
    timer_due_ms : float
        Due time of the process's timer.
    groups_to_dispatch : set of str
        Groups whose queues are examined at the end of the event.
    last_conn_id, last_id : int
        Ids issued last.
    drain_started_ms : float, optional
        Time of the drain request.
    proxy_count : int
        Number of proxies in the published state, at least 1.
    outbox : list of Effect
        Effects of the current event.
    open_frames : dict of int to Send
        Frame of the current event for each connection; further messages
        are added to it.
    """

    cfg: ProxyConfig
    rng: Random
    now_ms: float
    published: PublishedState = field(default_factory=PublishedState)
    callers: dict[int, Caller] = field(default_factory=dict)
    groups: dict[str, Group] = field(default_factory=dict)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    conns: dict[int, UpstreamConn] = field(default_factory=dict)
    monitor_conns: dict[int, str] = field(default_factory=dict)
    control_conns: dict[int, str] = field(default_factory=dict)
    leader_conn: int = 0
    member_state: str = ''
    validity_due_ms: float = math.inf
    report_due_ms: float = -math.inf
    report_seq: int = 0
    leases: LeaseHolder = field(default_factory=LeaseHolder)
    permits: PermitHolder = field(default_factory=PermitHolder)
    approvals: dict[str, Approval] = field(default_factory=dict)
    approval_conns: dict[int, str] = field(default_factory=dict)
    requests: dict[int, Request] = field(default_factory=dict)
    txns: dict[int, Transaction] = field(default_factory=dict)
    agenda: list[tuple[float, int, str, Any]] = field(default_factory=list)
    agenda_seq: int = 0
    timer_due_ms: float = math.inf
    groups_to_dispatch: set[str] = field(default_factory=set)
    last_conn_id: int = 0
    last_id: int = 0
    drain_started_ms: float | None = None
    stopped: bool = False
    proxy_count: int = 1
    outbox: list[Effect] = field(default_factory=list)
    open_frames: dict[int, Send] = field(default_factory=dict)


def send(state: ProxyState, conn: int, message: Any) -> None:
    """Send a message, in one frame with others of the same event."""
    earlier = state.open_frames.get(conn)
    if earlier is not None and len(earlier.messages) < MAX_FRAME_MESSAGES:
        earlier.messages.append(message)
        return
    effect = Send(conn=conn, messages=[message])
    state.open_frames[conn] = effect
    state.outbox.append(effect)


def close(
    state: ProxyState, conn: int, reason: str, abort: bool = False
) -> None:
    """Close a connection after sending queued data; at once if `abort`."""
    state.open_frames.pop(conn, None)
    state.outbox.append(Close(conn=conn, reason=reason, abort=abort))


def schedule(
    state: ProxyState, due_ms: float, action: str, subject: Any = None
) -> None:
    """Schedule an action for a time.

    Parameters
    ----------
    action : str
        Key of the action in the table of the reducer.
    subject : object
        Argument of the action.
    """
    state.agenda_seq += 1
    heapq.heappush(state.agenda, (due_ms, state.agenda_seq, action, subject))


def schedule_dispatch(state: ProxyState, name: str, due_ms: float) -> None:
    """Schedule a dispatch of a group's queue, unless one comes earlier."""
    group = state.groups.get(name)
    if group is None or state.now_ms < group.dispatch_due_ms <= due_ms:
        return
    group.dispatch_due_ms = due_ms
    schedule(state, due_ms, 'dispatch', name)


def new_conn_id(state: ProxyState) -> int:
    """Return an unused id for a connection to be opened."""
    state.last_conn_id -= 1
    return state.last_conn_id


def new_id(state: ProxyState) -> int:
    """Return an id that is unique in this process."""
    state.last_id += 1
    return state.last_id


def holds_lease(state: ProxyState, group: Group, term: int) -> bool:
    """Return whether `term` is current and this proxy holds its lease."""
    return term == group.view.term and state.leases.is_valid(
        group.name, term, state.now_ms
    )
