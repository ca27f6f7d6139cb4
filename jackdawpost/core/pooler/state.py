"""State of the session pooler, and helpers shared by its modules."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Literal
from typing import TYPE_CHECKING

from jackdawpost.core.effects import CancelTimer
from jackdawpost.core.effects import Close
from jackdawpost.core.effects import Effect
from jackdawpost.core.effects import SetTimer
from jackdawpost.core.leases.holder import LeaseHolder
from jackdawpost.core.messages.control import Approval
from jackdawpost.core.messages.control import Evidence
from jackdawpost.core.messages.control import UpstreamAction
from jackdawpost.core.messages.control import UpstreamReport
from jackdawpost.core.messages.session import Request
from jackdawpost.core.messages.session import SessionState
from jackdawpost.core.messages.session import StartSession
from jackdawpost.core.messages.session import UpstreamStatus
from jackdawpost.core.pooler.failing_upstreams import ReadEvidence
from jackdawpost.core.pooler.fair_queue import FairTag
from jackdawpost.core.pooler.observed_load import ObservedLoad
from jackdawpost.core.pooler.overtaking import QueuePosition
from jackdawpost.core.pooler.samples import PositionSamples
from jackdawpost.core.pooler.statement_queue import LaneKey
from jackdawpost.core.pooler.statement_queue import StatementQueue
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.published import EndpointView
from jackdawpost.core.published import PublishedState
from jackdawpost.core.published import UpstreamView
from jackdawpost.core.rates.stock import RateStock
from jackdawpost.core.retry import RetryBudget

if TYPE_CHECKING:
    from jackdawpost.core.pooler.leases import Revocation

# Concurrent statements per upstream, until the upstream refuses one.
INITIAL_CONCURRENCY_LIMIT = 16.0
# Connections per upstream, if no endpoint of its group declares a limit.
DEFAULT_MAX_CONNECTIONS = 20
# Time that the published primary has to prove itself after the start. It is
# enough to open a connection in another region.
EXPECTED_PRIMARY_MS = 400.0
# Reads that may be repeated on another upstream, as a share of all reads.
REPEATED_READ_SHARE = 0.1
# Earlier than every event; finite, so that it can be dumped as JSON.
LONG_AGO_MS = -1e15
# Assumed until an upstream has answered a statement.
INITIAL_LATENCY_MS = 20.0


@dataclass(slots=True, kw_only=True, frozen=True)
class PoolerConfig:
    """Settings of a session pooler.

    Parameters
    ----------
    member_id : str
        Identity of this pooler, which survives restarts.
    regions : dict of str to str
        Region of each data centre.
    seeds : tuple of str
        Addresses of the control processes to connect to first.
    decode_status : callable
        Parses the row that an upstream returns for a status request; raises
        `ProtocolError` if the row is malformed.
    probe_interval_ms, probe_timeout_ms : float
        Interval between probes of an upstream, and the time without an
        answer after which the upstream is reported as silent.
    drain_notice_ms : float
        Time that the load balancer needs to take a draining process out of
        rotation. Idle sessions are closed after this time, not earlier.
    drain_txn_ms : float
        Time from the drain request after which open transactions are
        aborted.
    drain_limit_ms : float
        Time from the drain request after which the process exits.
    leaving_work_ms : float
        Time for which a leaving primary still receives statements while no
        successor has been promoted.
    needs_leases : bool
        Whether answers of a primary count only under a write lease, since a
        replaced primary does not refuse by itself.
    rate_window_ms, rate_overage, rate_slack : float
        Rate limits of tenants, see `jackdawpost.core.rates.limits`.
    max_tenant_sessions : int
        Sessions that a tenant may have open at this pooler.
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
    needs_leases: bool = False
    rate_window_ms: float = 5_000
    rate_overage: float = 0.1
    rate_slack: float = 20
    max_tenant_sessions: int = 8_192


@dataclass(slots=True, kw_only=True)
class Transaction:
    """Open transaction of a session.

    The upstream connection is acquired by the first statement, not by the
    begin. A caller that pauses between the two occupies no connection.

    Parameters
    ----------
    conn : int
        Upstream connection; 0 before the first statement and after the
        connection was lost.
    has_written : bool
        Whether a write of the transaction has been sent.
    """

    endpoint: EndpointView
    read_only: bool
    conn: int = 0
    last_activity_ms: float = 0.0
    has_written: bool = False


@dataclass(slots=True, kw_only=True)
class Session:
    """Session of a caller, which lasts as long as the caller's connection.

    Parameters
    ----------
    tenant : str
        Tenant of the caller; empty on a public endpoint.
    key : str
        Digest of the key that the caller sent; empty if it sent none.
    key_until_ms : float
        Time from which an open transaction is aborted, since the key has
        been removed.
    values : dict of str to str
        Session values that the caller set.
    prepared : dict of str to str
        Prepared statements by name, each ``READ SHAPE`` or ``WRITE SHAPE``.
    epoch : int
        Incremented by each change of session values or prepared statements.
    position : LogPosition, optional
        Log position of the session's latest commit.
    backlog : deque of Request
        Pipelined requests that wait for the one in progress.
    backlog_bytes, running_bytes, value_bytes, reported_bytes : int
        Length of the texts of the backlog and of the request in progress,
        size of the session's values, and what was reported last that they
        hold.
    task : StatementTask, optional
        Statement in progress.
    abort_reason : str
        Why the pooler has rolled back the open transaction, for the answer
        to the next request; empty if it has not.
    """

    conn: int
    database: str
    tenant: str = ''
    key: str = ''
    key_until_ms: float = math.inf
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, str] = field(default_factory=dict)
    epoch: int = 0
    state: SessionState = 'idle'
    position: LogPosition | None = None
    backlog: deque[Request] = field(default_factory=deque)
    backlog_bytes: int = 0
    running_bytes: int = 0
    value_bytes: int = 0
    reported_bytes: int = 0
    task: StatementTask | None = None
    txn: Transaction | None = None
    abort_reason: str = ''


@dataclass(slots=True, kw_only=True, frozen=True)
class FailedAttempt:
    """Attempt of a read that failed or stayed unanswered.

    Parameters
    ----------
    is_answered : bool
        True if the upstream answered with an error.
    """

    upstream: str
    sent_ms: float
    is_answered: bool


@dataclass(slots=True, kw_only=True)
class StatementTask:
    """Statement of a caller that has to run on an upstream.

    Parameters
    ----------
    session : Session, optional
        None after the caller has disconnected.
    deadline_ms : float
        Time at which the statement times out.
    target : {'primary', 'any'}
        Upstreams that may run the statement. ``'any'`` is for reads that
        accept a replica.
    in_txn : bool
        True if the statement belongs to a transaction of the caller.
    phase : str
        ``'waiting'``: queued, nothing has been sent; ``'beginning'``: the
        begin of a transaction has been sent; ``'running'``: the statement
        has been sent.
    not_before_ms : float
        Earliest time of the next attempt (back-off after a refusal).
    excluded_upstreams : set of str
        Upstreams on which the statement is not tried again.
    required_position : LogPosition, optional
        Log position that the upstream must have applied to run the read.
    failed_attempts : list of FailedAttempt
        Earlier attempts of the read that failed or stayed unanswered.
    error : Answer, optional
        Error with which an upstream failed the read, which is being repeated.
        It is reported if the repetition gets no answer.
    refusal_code : str
        Error code of the latest refusal by an upstream.
    may_have_run : bool
        True if an earlier attempt was sent and its answer was lost.
    attempt_due_ms : float, optional
        Time at which the running attempt is given up; None if it is not.
    tenant : str
        Tenant whose rate limit the operation counts in; empty if in none.
    token_ms : float, optional
        Time at which it took a token granted by control; None without one.
    tag : FairTag, optional
        Place in virtual time, from the first time that it is queued.
    lane : LaneKey, optional
        Lane of the queue; None while the statement is not queued.
    position : QueuePosition, optional
        Where it has joined the queue; None unless queued for the first time.
    """

    number: int
    session: Session | None
    req: Request
    endpoint: EndpointView
    arrived_ms: float
    deadline_ms: float
    target: Literal['primary', 'any']
    is_write: bool
    in_txn: bool = False
    phase: Literal['waiting', 'beginning', 'running'] = 'waiting'
    attempts: int = 0
    not_before_ms: float = 0.0
    conn: int = 0
    sent_ms: float = 0.0
    excluded_upstreams: set[str] = field(default_factory=set)
    required_position: LogPosition | None = None
    failed_attempts: list[FailedAttempt] = field(default_factory=list)
    error: Answer | None = None
    refusal_code: str = ''
    may_have_run: bool = False
    attempt_due_ms: float | None = None
    tenant: str = ''
    token_ms: float | None = None
    tag: FairTag | None = None
    lane: LaneKey | None = None
    position: QueuePosition | None = None


RequestKind = Literal[
    'open',
    'replay',
    'begin',
    'statement',
    'rollback',
    'status',
    'probe_begin',
    'probe_rollback',
    'control_action',
]


@dataclass(slots=True, kw_only=True)
class UpstreamRequest:
    """Request that was sent on an upstream connection and is unanswered.

    Parameters
    ----------
    task : StatementTask, optional
        Statement of a caller that the request belongs to.
    control_action : UpstreamAction, optional
        Request of a control process that is forwarded.
    control_conn : int
        Control connection on which to return the answer.
    lease_term : int, optional
        Term of the lease under which the request was sent, see
        `jackdawpost.core.pooler.leases.lease_term`.
    """

    kind: RequestKind
    sent_ms: float
    task: StatementTask | None = None
    control_action: UpstreamAction | None = None
    control_conn: int = 0
    lease_term: int | None = None


@dataclass(slots=True, kw_only=True)
class Answer:
    """Answer to one upstream request, collected from several messages.

    Parameters
    ----------
    signature : str
        Signature of the database; empty if the request failed.
    code, text : str
        Error code and message; empty if the request succeeded.
    """

    rows: list[str] = field(default_factory=list)
    signature: str = ''
    code: str = ''
    text: str = ''
    state: SessionState = 'idle'
    position: LogPosition | None = None


@dataclass(slots=True, kw_only=True)
class UpstreamConn:
    """Connection to an upstream.

    Parameters
    ----------
    purpose : {'statements', 'monitor', 'check'}
        ``'statements'``: statements of callers; ``'monitor'``: probes;
        ``'check'``: check of a newcomer before it is approved.
    tenant : str
        Tenant whose statements the connection may carry; empty for those on
        public endpoints and for probes.
    used_ms : float
        Time at which a statement of a caller was last sent.
    refusal_code : str
        Error code with which the upstream refused the connection.
    replayed_session : int
        Session whose values and prepared statements were replayed on the
        connection; 0 if none.
    replayed_epoch : int
        Epoch of that session at the time of the replay.
    txn_session : int
        Session whose open transaction occupies the connection; 0 if none.
    pending_requests : deque of UpstreamRequest
        Unanswered requests in the order in which they were sent.
    answer : Answer
        Answer to the first pending request, as far as it has arrived.
    """

    conn: int
    upstream: str
    purpose: Literal['statements', 'monitor', 'check']
    tenant: str = ''
    used_ms: float = 0.0
    opened: bool = False
    refusal_code: str = ''
    replayed_session: int = 0
    replayed_epoch: int = 0
    txn_session: int = 0
    pending_requests: deque[UpstreamRequest] = field(default_factory=deque)
    answer: Answer = field(default_factory=Answer)

    @property
    def is_idle(self) -> bool:
        """True if a statement can be sent on the connection now."""
        return (
            self.opened and not self.pending_requests and not self.txn_session
        )


@dataclass(slots=True, kw_only=True)
class Pool:
    """Connection pool and observed state of one upstream.

    The state dump writes some fields under other names, see `dump_pooler`.

    Parameters
    ----------
    conns : set of int
        Statement connections, open or opening.
    monitor : int
        Monitor connection, which was opened for probes; 0 if none.
    reachability : str
        Observed reachability: the result of the latest probe, or
        ``'stalled'`` during the cool-down after a stall; empty before the
        first probe.
    leads : bool
        True if the upstream has proved that it is the primary; False after
        it refused to lead or its reachability is no longer ``'up'``.
    term : int
        Latest term that the upstream reported.
    applied, received : LogPosition, optional
        Latest log positions that the upstream reported.
    applied_ms : float
        Time at which the upstream reported `applied`.
    latency_ms : float
        Moving average of the latency of statements.
    load : ObservedLoad
        Moving averages of the waits on the upstream, for the choice of
        upstreams for reads.
    failures : int
        Consecutive failures to open a connection, for the back-off.
    retry_at_ms : float
        Earliest time at which another connection may be opened after a
        failure.
    concurrency_limit : float
        Maximum number of concurrent statements on the upstream.
    limit_lowered_ms : float
        Time at which a refusal last lowered `concurrency_limit`.
    change_credit_ms : float
        Slot time that may be spent on connections for other tenants, see
        `jackdawpost.core.pooler.tenant_changes`.
    leaving_since_ms : float, optional
        Earliest time at which the upstream may have begun to leave; None if
        it is not leaving.
    probe_conn : int
        Connection on which the latest probe was sent.
    probe_due_ms : float
        Time at which the next probe is considered.
    suspected : bool
        True if a connection has ended, or none was idle for a request of
        control, since the upstream last answered a probe.
    last_contact_ms : float
        Time of the latest answer to a probe or a statement.
    last_success_ms : float
        Time at which the upstream last completed a statement successfully.
    failed_sent_ms : deque of float
        Send times of the accepted statements that have failed or been lost
        since the last success.
    failed_sessions : deque of int
        Session of each of them; 0 for a lost one.
    stalls : int
        Number of stalls detected since the last success.
    stalled_until_ms : float
        End of the cool-down of a stalled upstream, in which it receives no
        statements.
    evidence : ReadEvidence
        Outcomes of reads, on which an ejection is based.
    """

    view: UpstreamView
    conns: set[int] = field(default_factory=set)
    monitor: int = 0
    reachability: Evidence | Literal[''] = ''
    leads: bool = False
    term: int = 0
    applied: LogPosition | None = None
    applied_ms: float = 0.0
    received: LogPosition | None = None
    latency_ms: float = INITIAL_LATENCY_MS
    load: ObservedLoad = field(default_factory=ObservedLoad)
    failures: int = 0
    retry_at_ms: float = 0.0
    concurrency_limit: float = INITIAL_CONCURRENCY_LIMIT
    limit_lowered_ms: float = 0.0
    change_credit_ms: float = 0.0
    leaving_since_ms: float | None = None
    probe_conn: int = 0
    probe_due_ms: float = 0.0
    probe_sent_ms: float = 0.0
    suspected: bool = False
    last_contact_ms: float = 0.0
    last_success_ms: float = 0.0
    failed_sent_ms: deque[float] = field(default_factory=deque)
    failed_sessions: deque[int] = field(default_factory=deque)
    stalls: int = 0
    stalled_until_ms: float = 0.0
    evidence: ReadEvidence = field(default_factory=ReadEvidence)

    @property
    def highest_position(self) -> LogPosition | None:
        """Highest log position that the upstream has reported."""
        known = [p for p in (self.applied, self.received) if p is not None]
        return max(known, default=None)


@dataclass(slots=True, kw_only=True)
class PositionDemand:
    """Request of control for the log position of a primary.

    Parameters
    ----------
    control_conn : int
        Control connection on which to answer.
    arrived_ms : float
        Time of arrival; only a probe sent after it may answer.
    """

    number: int
    control_conn: int
    arrived_ms: float


@dataclass(slots=True, kw_only=True)
class PoolGroup:
    """Queue and observed state of one database group.

    Parameters
    ----------
    primary : str, optional
        Upstream that last proved that it is the primary; None after that
        upstream refused to lead, became unreachable, stalled or was removed.
    search_from_ms : float
        Time from which the primary is searched among all upstreams; before
        that, only the published one is asked.
    samples : PositionSamples
        Log positions of the primary at known times.
    waiting : StatementQueue
        Statements queued until an upstream connection is available.
    max_connections : int
        Connection limit of each of its upstreams for all callers together.
    min_age_ms : float, optional
        Shortest staleness that an endpoint of the group accepts; None if no
        endpoint accepts any.
    last_answer_ms : float
        Time of the latest answer to a statement.
    mean_answer_interval_ms : float
        Moving average of the time between two answers; an interval without
        queued statements counts as 0.
    had_backlog : bool
        True if statements were queued at the latest answer.
    position_request : PositionDemand, optional
        Request of control for the position of the primary.
    read_order_key : tuple, optional
        Time, upstreams and numbers of busy connections for which `read_order`
        was drawn.
    read_order : list of str
        Upstreams in the order in which to try them for reads.
    ejections_end_ms : float
        Time at which all ejections and slow starts have ended.
    repeated_reads : RetryBudget
        Reads that may still be repeated on another upstream.
    """

    name: str
    primary: str | None = None
    search_from_ms: float = 0.0
    samples: PositionSamples = field(default_factory=PositionSamples)
    waiting: StatementQueue = field(default_factory=StatementQueue)
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    min_age_ms: float | None = None
    last_answer_ms: float = 0.0
    mean_answer_interval_ms: float = 0.0
    had_backlog: bool = False
    position_request: PositionDemand | None = None
    read_order_key: tuple[float, tuple[str, ...], tuple[int, ...]] | None = (
        None
    )
    read_order: list[str] = field(default_factory=list)
    ejections_end_ms: float = 0.0
    repeated_reads: RetryBudget = field(
        default_factory=lambda: RetryBudget(REPEATED_READ_SHARE, 0)
    )


@dataclass(slots=True, kw_only=True)
class Newcomer:
    """Newcomer that this pooler checks; always an upstream.

    A new proxy is checked without a connection, so nothing is kept of it.

    Parameters
    ----------
    control_conn : int
        Control connection on which to send the approval.
    conn : int
        Connection of the running attempt; 0 if none.
    attempts : int
        Connection attempts made so far.
    """

    name: str
    member_id: str
    group: str
    host: str
    port: int
    control_conn: int = 0
    conn: int = 0
    attempts: int = 0


@dataclass(slots=True, kw_only=True)
class ReportedUpstream:
    """What was last reported of an upstream to the control leader."""

    reachability: Evidence
    report: UpstreamReport | None


@dataclass(slots=True, kw_only=True)
class PoolerState:
    """State of a session pooler.

    Parameters
    ----------
    unidentified : set of int
        Caller connections that have not sent `StartSession` yet.
    tenant_sessions : Counter of str
        Number of open sessions by tenant.
    closing : set of int
        Connections of callers that are being closed. A message that crosses
        the end of its session gets no answer: it would be out of turn.
    tenant_by_key : dict of str to str
        Tenant of each published key, by its digest.
    watched_upstreams : set of str
        Upstreams with fewer connections than poolers that this one watches.
    reports_sent_ms : dict of int to float
        Send time of the latest reports, by number.
    waiting_sessions : dict of int to StartSession
        Sessions that arrived before the first configuration, by caller
        connection.
    proxies_last_seen_ms : dict of str to float
        Time at which each proxy was last in the published state.
    next_conn : int
        Id of the next upstream connection; ids are negative and decrease.
    control_conns : dict of int to str
        Control process of each connection to control.
    connected_peers : set of str
        Control processes to stay connected to.
    leader_conn : int
        Connection to the control leader; 0 while it is unknown.
    confirmed_ms : float
        Send time of the latest report whose answer shows that no later
        version than the one in force was published then.
    leaving_ms : dict of tuple to float
        Earliest time, by name and data identity, at which upstreams may have
        begun to leave that are not shown as leaving yet.
    last_grant_seq, last_grant_ms : int, float
        Sequence number and arrival time of the leader's latest answer to a
        report.
    reported : dict of str to ReportedUpstream
        What the latest reports have stated, by upstream.
    reported_conn : int
        Connection on which `reported` was stated in full; 0 if there is none.
    full_report_due_ms : float
        Time of the next full report.
    probe_phase_ms : float
        Offset of the times of regular probes, which differs between poolers.
    unsent_approvals : dict of int to list of Approval
        Approvals by the control connection on which the event sends them.
    unanswered_report_ms : float, optional
        Send time of the first report since the leader's latest answer.
    leases : LeaseHolder
        Write leases granted by the control leader.
    revocations : dict of str to Revocation
        Revocations, by group, that wait for answers.
    rates : RateStock
        Tokens of tenants with a rate limit, and operations that wait for one.
    rate_report_due_ms : float, optional
        Time of the next report of tokens, if it is before the regular one.
    rate_timer_ms : float, optional
        Time at which the timer of the rate limits fires; None if it is not
        set.
    drain_started_ms : float, optional
        Time of the drain request.
    dirty : set of str
        What to process before the event ends: ``group/NAME``,
        ``session/CONN`` or ``unreachable/UPSTREAM``.
    """

    cfg: PoolerConfig
    rng: random.Random
    now_ms: float
    published: PublishedState = field(default_factory=PublishedState)
    endpoints: dict[str, EndpointView] = field(default_factory=dict)
    sessions: dict[int, Session] = field(default_factory=dict)
    unidentified: set[int] = field(default_factory=set)
    tenant_sessions: Counter[str] = field(default_factory=Counter)
    closing: set[int] = field(default_factory=set)
    tenant_by_key: dict[str, str] = field(default_factory=dict)
    watched_upstreams: set[str] = field(default_factory=set)
    reports_sent_ms: dict[int, float] = field(default_factory=dict)
    waiting_sessions: dict[int, StartSession] = field(default_factory=dict)
    tasks: dict[int, StatementTask] = field(default_factory=dict)
    conns: dict[int, UpstreamConn] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    proxies_last_seen_ms: dict[str, float] = field(default_factory=dict)
    groups: dict[str, PoolGroup] = field(default_factory=dict)
    newcomers: dict[str, Newcomer] = field(default_factory=dict)
    next_conn: int = -1
    next_task: int = 1
    # Links to control processes.
    control_conns: dict[int, str] = field(default_factory=dict)
    connected_peers: set[str] = field(default_factory=set)
    leader_conn: int = 0
    member_state: str = 'announced'
    report_seq: int = 0
    confirmed_ms: float = LONG_AGO_MS
    leaving_ms: dict[tuple[str, str], float] = field(default_factory=dict)
    last_grant_seq: int = 0
    last_grant_ms: float = 0.0
    unsent_approvals: dict[int, list[Approval]] = field(default_factory=dict)
    unanswered_report_ms: float | None = None
    reported: dict[str, ReportedUpstream] = field(default_factory=dict)
    reported_conn: int = 0
    full_report_due_ms: float = 0.0
    probe_phase_ms: float = 0.0
    leases: LeaseHolder = field(default_factory=LeaseHolder)
    revocations: dict[str, Revocation] = field(default_factory=dict)
    rates: RateStock = field(default_factory=RateStock)
    rate_report_due_ms: float | None = None
    rate_timer_ms: float | None = None
    # Shutdown.
    drain_started_ms: float | None = None
    stopped: bool = False
    dirty: set[str] = field(default_factory=set)
    outbox: list[Effect] = field(default_factory=list)


def close(state: PoolerState, conn: int, reason: str, abort: bool) -> None:
    """Close a connection; what still arrives from a caller is ignored."""
    is_accepted = conn > 0
    if is_accepted:
        state.closing.add(conn)
    state.outbox.append(Close(conn=conn, reason=reason, abort=abort))


def schedule(state: PoolerState, key: str, due_ms: float) -> None:
    """Set a timer, replacing a timer with the same key."""
    state.outbox.append(SetTimer(key=key, due_ms=due_ms))


def cancel(state: PoolerState, key: str) -> None:
    """Cancel a timer, if it is set."""
    state.outbox.append(CancelTimer(key=key))


def schedule_probe(state: PoolerState, pool: Pool, due_ms: float) -> None:
    """Set the time at which the next probe of an upstream is considered."""
    pool.probe_due_ms = due_ms
    schedule(state, f'probe/{pool.view.name}', due_ms)


def get_group(state: PoolerState, name: str) -> PoolGroup:
    """Return the state of a group, creating it if needed."""
    group = state.groups.get(name)
    if group is None:
        search_from_ms = state.now_ms + EXPECTED_PRIMARY_MS
        group = PoolGroup(name=name, search_from_ms=search_from_ms)
        state.groups[name] = group
    return group
