"""State of a session pooler and the helpers that its parts share."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Literal

from jackdawpost.core.effects import Close
from jackdawpost.core.effects import Effect
from jackdawpost.core.effects import SetTimer
from jackdawpost.core.messages.control import Evidence
from jackdawpost.core.messages.control import UpstreamAction
from jackdawpost.core.messages.session import Request
from jackdawpost.core.messages.session import SessionState
from jackdawpost.core.messages.session import UpstreamStatus
from jackdawpost.core.pooler.samples import PositionSamples
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.published import EndpointView
from jackdawpost.core.published import PublishedState
from jackdawpost.core.published import UpstreamView

INITIAL_LIMIT = 16.0  # statements at a time, until an upstream refuses one
INITIAL_LATENCY_MS = 20.0  # until an upstream has answered a statement


@dataclass(slots=True, kw_only=True, frozen=True)
class PoolerConfig:
    """Settings of a pooler that its decisions depend on.

    Parameters
    ----------
    member_id : str
        Identity of this pooler, kept over restarts.
    regions : dict of str to str
        Region of each data centre.
    seeds : tuple of str
        Addresses of control processes to start from.
    decode_status : callable
        Reads the row with which an upstream answers a status request;
        raises `ProtocolError` if it cannot.
    probe_interval_ms, probe_timeout_ms : float
        Pause between probes of an upstream, and time without an answer
        after which it counts as silent.
    drain_notice_ms : float
        Time in which the balancer takes a draining process out of rotation;
        idle sessions are closed only then.
    drain_txn_ms : float
        Time that open transactions have from the request to stop.
    drain_limit_ms : float
        Time from the request to stop after which the process ends.
    leaving_work_ms : float
        Time for which a leaving primary without a successor gets work.
    """

    name: str
    member_id: str
    incarnation: str
    host: str
    port: int
    data_centre: str
    region: str
    regions: dict[str, str]
    seeds: tuple[str, ...]
    decode_status: Callable[[str], UpstreamStatus]
    report_interval_ms: float = 500
    probe_interval_ms: float = 200
    probe_timeout_ms: float = 450
    open_timeout_ms: float = 1_000
    drain_notice_ms: float = 2_300
    drain_txn_ms: float = 3_000
    drain_limit_ms: float = 5_000
    leaving_work_ms: float = 5_000


@dataclass(slots=True, kw_only=True)
class Transaction:
    """Open transaction of a session.

    The upstream connection is taken with the first statement, not with the
    begin, so that a caller that pauses in between holds none.

    Parameters
    ----------
    conn : int
        Upstream connection; 0 before the first statement and after a loss.
    """

    endpoint: EndpointView
    read_only: bool
    conn: int = 0
    active_ms: float = 0.0


@dataclass(slots=True, kw_only=True)
class Session:
    """A caller's connection.

    Parameters
    ----------
    values : dict of str to str
        Session values that the caller set.
    prepared : dict of str to str
        ``READ SHAPE`` or ``WRITE SHAPE`` by name of prepared statement.
    epoch : int
        Rises with every change of values or prepared statements.
    position : LogPosition, optional
        Position of the latest commit of this session.
    backlog : deque of Request
        Requests behind the one in progress.
    """

    conn: int
    database: str
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, str] = field(default_factory=dict)
    epoch: int = 0
    state: SessionState = 'idle'
    position: LogPosition | None = None
    backlog: deque[Request] = field(default_factory=deque)
    work: Work | None = None
    txn: Transaction | None = None


@dataclass(slots=True, kw_only=True)
class Work:
    """A statement of a caller that an upstream has to run.

    Parameters
    ----------
    session : Session, optional
        None once the caller has gone.
    due_ms : float
        End of the time that the statement has.
    place : {'primary', 'any'}
        Where it may run; ``'any'`` is for reads of a bounded age.
    in_txn : bool
        Part of a transaction.
    phase : str
        ``'waiting'``: nothing is sent; ``'beginning'``: a transaction is
        being begun for it; ``'running'``: it was sent.
    excluded : set of str
        Upstreams that cannot serve it.
    after : LogPosition, optional
        Position demanded from the upstream that it was sent to.
    refusal : str
        Code of the latest refusal by an upstream.
    may_have_run : bool
        An earlier attempt was sent and its answer lost.
    """

    number: int
    session: Session | None
    req: Request
    endpoint: EndpointView
    arrived_ms: float
    due_ms: float
    place: Literal['primary', 'any']
    is_write: bool
    in_txn: bool = False
    phase: Literal['waiting', 'beginning', 'running'] = 'waiting'
    attempts: int = 0
    not_before_ms: float = 0.0
    conn: int = 0
    sent_ms: float = 0.0
    excluded: set[str] = field(default_factory=set)
    after: LogPosition | None = None
    refusal: str = ''
    may_have_run: bool = False


StepKind = Literal[
    'open',
    'replay',
    'begin',
    'statement',
    'rollback',
    'status',
    'probe_begin',
    'probe_rollback',
    'told',
]


@dataclass(slots=True, kw_only=True)
class Step:
    """A request on an upstream connection whose answer is outstanding.

    Parameters
    ----------
    asked : UpstreamAction, optional
        Request of control that it passes on.
    asker : int
        Control connection to answer.
    """

    kind: StepKind
    sent_ms: float
    work: Work | None = None
    asked: UpstreamAction | None = None
    asker: int = 0


@dataclass(slots=True, kw_only=True)
class Answer:
    """Collected answer to one step.

    Parameters
    ----------
    signature : str
        Signature of a success; empty after a failure.
    code, text : str
        Failure; empty after a success.
    """

    rows: list[str] = field(default_factory=list)
    signature: str = ''
    code: str = ''
    text: str = ''
    state: SessionState = 'idle'
    position: LogPosition | None = None


@dataclass(slots=True, kw_only=True)
class UpstreamConn:
    """A connection to an upstream.

    Parameters
    ----------
    refusal : str
        Code with which the upstream refused the connection.
    session : int
        Session whose values are on the connection; 0 for none.
    epoch : int
        Epoch of that session when they were replayed.
    owner : int
        Session whose transaction holds the connection; 0 for none.
    """

    conn: int
    upstream: str
    purpose: Literal['statements', 'monitor', 'check']
    opened: bool = False
    refusal: str = ''
    session: int = 0
    epoch: int = 0
    owner: int = 0
    steps: deque[Step] = field(default_factory=deque)
    answer: Answer = field(default_factory=Answer)

    @property
    def is_idle(self) -> bool:
        """Whether a statement may be sent now."""
        return self.opened and not self.steps and not self.owner


@dataclass(slots=True, kw_only=True)
class Pool:
    """Connections to one upstream and what is known of it.

    Parameters
    ----------
    reach : str
        Reachability; empty before the first probe.
    leads : bool
        The latest probe proved that it leads.
    term : int
        Term that it reported.
    applied, received : LogPosition, optional
        Positions that it reported.
    applied_ms : float
        When it reported `applied`.
    latency_ms : float
        Moving average of the time that its statements take.
    retry_at_ms : float
        Earliest time to open another connection after a failure.
    limit : float
        Statements that may run there at a time.
    shed_ms : float
        When a refusal last lowered the limit.
    leaving_ms : float, optional
        When this process learned that it leaves.
    probe_conn : int
        Connection that the latest probe was sent on.
    doubted : bool
        A connection has ended since the upstream last answered a probe.
    served_ms : float
        When it last ran a statement to its end.
    unserved : deque of float
        When accepted statements were sent that failed or were lost since.
    stalls : int
        How often it was found to run nothing since it last served.
    stalled_until_ms : float
        Time up to which it gets no statements because it ran none.
    """

    view: UpstreamView
    conns: set[int] = field(default_factory=set)
    monitor: int = 0
    reach: Evidence | Literal[''] = ''
    leads: bool = False
    term: int = 0
    applied: LogPosition | None = None
    applied_ms: float = 0.0
    received: LogPosition | None = None
    latency_ms: float = INITIAL_LATENCY_MS
    failures: int = 0
    retry_at_ms: float = 0.0
    limit: float = INITIAL_LIMIT
    shed_ms: float = 0.0
    leaving_ms: float | None = None
    probe_conn: int = 0
    probe_sent_ms: float = 0.0
    doubted: bool = False
    heard_ms: float = 0.0
    served_ms: float = 0.0
    unserved: deque[float] = field(default_factory=deque)
    stalls: int = 0
    stalled_until_ms: float = 0.0

    @property
    def best_position(self) -> LogPosition | None:
        """Highest position that the upstream is known to hold."""
        known = [p for p in (self.applied, self.received) if p is not None]
        return max(known, default=None)


@dataclass(slots=True, kw_only=True)
class PoolGroup:
    """What is known of one database group.

    Parameters
    ----------
    primary : str, optional
        Upstream that last proved that it leads; None once it refused.
    waiting : list of Work
        Statements that no upstream connection has been found for.
    answered_ms, gap_ms : float
        Time of the latest answer, and mean time between two answers while
        statements wait.
    had_backlog : bool
        Statements waited at the latest answer.
    """

    name: str
    primary: str | None = None
    samples: PositionSamples = field(default_factory=PositionSamples)
    waiting: list[Work] = field(default_factory=list)
    answered_ms: float = 0.0
    gap_ms: float = 0.0
    had_backlog: bool = False


@dataclass(slots=True, kw_only=True)
class Newcomer:
    """Upstream that control asks this pooler to approve.

    Parameters
    ----------
    asker : int
        Control connection that asked.
    conn : int
        Connection to the newcomer; 0 between attempts.
    """

    name: str
    member_id: str
    group: str
    host: str
    port: int
    asker: int = 0
    conn: int = 0
    attempts: int = 0


@dataclass(slots=True, kw_only=True)
class PoolerState:
    """Whole state of a session pooler."""

    cfg: PoolerConfig
    rng: random.Random
    now_ms: float
    published: PublishedState = field(default_factory=PublishedState)
    endpoints: dict[str, EndpointView] = field(default_factory=dict)
    sessions: dict[int, Session] = field(default_factory=dict)
    strangers: set[int] = field(default_factory=set)
    held: dict[int, str] = field(default_factory=dict)
    works: dict[int, Work] = field(default_factory=dict)
    conns: dict[int, UpstreamConn] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    proxies_seen_ms: dict[str, float] = field(default_factory=dict)
    groups: dict[str, PoolGroup] = field(default_factory=dict)
    newcomers: dict[str, Newcomer] = field(default_factory=dict)
    next_conn: int = -1
    next_work: int = 1
    # Links to control processes.
    controls: dict[int, str] = field(default_factory=dict)
    followed: set[str] = field(default_factory=set)
    leader: int = 0
    member_state: str = 'announced'
    report_seq: int = 0
    granted_seq: int = 0
    granted_ms: float = 0.0
    asked_ms: float | None = None
    # Stop.
    drain_ms: float | None = None
    stopped: bool = False
    # What to look at again: group/NAME, session/CONN or silent/UPSTREAM.
    dirty: set[str] = field(default_factory=set)
    outbox: list[Effect] = field(default_factory=list)


def close(state: PoolerState, conn: int, reason: str, abort: bool) -> None:
    """Close a connection."""
    state.outbox.append(Close(conn=conn, reason=reason, abort=abort))


def schedule(state: PoolerState, key: str, due_ms: float) -> None:
    """Set a timer; replaces the one with the same key."""
    state.outbox.append(SetTimer(key=key, due_ms=due_ms))


def group_of(state: PoolerState, name: str) -> PoolGroup:
    """Return what is known of a group."""
    group = state.groups.get(name)
    if group is None:
        group = PoolGroup(name=name)
        state.groups[name] = group
    return group
