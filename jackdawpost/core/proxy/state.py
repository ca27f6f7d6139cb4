"""State of a proxy and the small helpers that its modules share."""

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
from jackdawpost.core.messages.caller import CallerRequest
from jackdawpost.core.messages.upstream import Executed
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.positions import ZERO_POSITION
from jackdawpost.core.proxy.admission import AdmissionQueue
from jackdawpost.core.proxy.freshness import FreshnessTracker
from jackdawpost.core.proxy.lease_holder import LeaseHolder
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
# A draining proxy is called leaving and keeps its leases until it has ended.
SERVING_STATES = frozenset({'joined', 'leaving'})


@dataclass(slots=True, kw_only=True)
class ProxyConfig:
    """Settings of a proxy as its reducer needs them.

    Parameters
    ----------
    incarnation : str
        Identity of the process; new at each start.

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
        """Take over the settings of the process."""
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
    """One request of a caller, from its arrival to its answer.

    Parameters
    ----------
    serial : int
        Unique in the process.
    phase : str
        ``'queued'``, ``'delayed'``, ``'running'``, ``'durable'`` (run, its
        copies not yet confirmed), ``'txn'`` (behind another statement of
        its transaction) or ``'over'``.
    sent_term : int
        Highest term of an attempt that may have taken effect; -1 if none.
    term : int
        Term of the running attempt.
    exec_id : int
        Id of the running attempt on its connection.
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
    txn: Transaction | None = None
    result: Executed | None = None


@dataclass(slots=True, eq=False)
class Transaction:
    """An open transaction; owns one connection and one permit.

    Parameters
    ----------
    state : str
        ``'open'`` or ``'lost'``.
    running : Request, optional
        Statement that runs now.
    is_watched : bool
        A check for an idle transaction is on the agenda.
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
    """Connection of a caller."""

    conn: int
    requests: dict[int, Request] = field(default_factory=dict)
    txns: dict[int, Transaction] = field(default_factory=dict)


@dataclass(slots=True)
class UpstreamConn:
    """Statement connection to an upstream.

    Parameters
    ----------
    running : dict of int to Request
        Requests of the frame that runs, by attempt id.
    in_frame : bool
        A frame counts among the upstream's outstanding ones.
    condemned : bool
        A request was abandoned here; closed once the frame is over.
    turn_ms : float
        When the frame was sent, or its latest answer came.
    owns_permit : bool
        A permit is in use for this connection.
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
    deadline_ms: float = math.inf
    check_due_ms: float = math.inf


@dataclass(slots=True)
class Upstream:
    """An upstream in force and what is known of it.

    Parameters
    ----------
    evidence : str
        ``'up'``, ``'silent'``, ``'refused'``, or empty before the first
        finding.
    failures : int
        Monitor connections that failed since the last answer.
    paused_until_ms : float
        No statement is sent before this time.
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
    cool_down_until_ms: float = -math.inf
    recovered_ms: float = -math.inf
    was_down: bool = False
    permit_check_scheduled: bool = False


@dataclass(slots=True)
class Group:
    """A database group in force and its work.

    Parameters
    ----------
    service_ms : float
        Usual time of one statement on an upstream.
    hold_until_ms : float
        A new term counts as new until then: reads with an accepted age wait
        for its first reports, instead of all going to the new primary.
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
    """A newcomer under examination."""

    newcomer: str
    newcomer_id: str
    host: str
    port: int
    role: str
    attempts: int = 0
    conn: int = 0


@dataclass(slots=True)
class ProxyState:
    """Whole state of a proxy."""

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
    """Close a connection after what was sent on it."""
    state.open_frames.pop(conn, None)
    state.outbox.append(Close(conn=conn, reason=reason, abort=abort))


def schedule(
    state: ProxyState, due_ms: float, action: str, subject: Any = None
) -> None:
    """Run an action of the agenda at a time."""
    state.agenda_seq += 1
    heapq.heappush(state.agenda, (due_ms, state.agenda_seq, action, subject))


def schedule_dispatch(state: ProxyState, name: str, due_ms: float) -> None:
    """Look again at a group's queue at a time."""
    group = state.groups.get(name)
    if group is None or state.now_ms < group.dispatch_due_ms <= due_ms:
        return
    group.dispatch_due_ms = due_ms
    schedule(state, due_ms, 'dispatch', name)


def new_conn_id(state: ProxyState) -> int:
    """Return the id of a connection that is about to be opened."""
    state.last_conn_id -= 1
    return state.last_conn_id


def new_id(state: ProxyState) -> int:
    """Return a number that is unique in this process."""
    state.last_id += 1
    return state.last_id


def holds_lease(state: ProxyState, group: Group, term: int) -> bool:
    """Tell whether `term` is in force and this proxy has its lease."""
    return term == group.view.term and state.leases.is_valid(
        group.name, term, state.now_ms
    )
