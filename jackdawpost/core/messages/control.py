"""Messages between a control process and the upstreams and proxies."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Annotated
from typing import Any
from typing import Literal

from pydantic import Field

from jackdawpost.core.positions import LogPosition

# Reachability of an upstream. 'silent': probes or connection attempts time
# out; 'refused': connections are refused or lost; 'stalled': the upstream
# answers probes but completes no statements.
Evidence = Literal['up', 'silent', 'refused', 'stalled']

ShortText = Annotated[str, Field(max_length=255)]
"""Name, identity or address of a member, which commands of the log repeat."""


@dataclass(slots=True, kw_only=True)
class Announce:
    """State of an upstream, sent on connection, on change and periodically.

    Parameters
    ----------
    data_id : str
        Identity of the upstream's data; a wiped upstream has a new one.
    slots : int
        Maximum number of concurrent statements.
    connections : int
        Maximum number of open connections.
    term : int
        Newest term known to the upstream.
    leads : bool
        The upstream is the primary in `term`.
    received : LogPosition
        Last position received.
    leaving : bool
        The upstream is shutting down.
    """

    name: ShortText
    group: ShortText
    data_id: ShortText
    host: ShortText
    port: int
    data_centre: ShortText
    slots: int
    connections: int
    term: int
    leads: bool
    received: LogPosition
    leaving: bool = False
    kind: Literal['announce'] = 'announce'


@dataclass(slots=True, kw_only=True)
class ApprovalRequest:
    """Ask a member to approve a newcomer: a proxy or an upstream."""

    newcomer: str
    newcomer_id: str
    host: str
    port: int
    role: Literal['proxy', 'upstream']
    group: str = ''
    kind: Literal['approval_request'] = 'approval_request'


@dataclass(slots=True, kw_only=True)
class Approval:
    """Approval of a newcomer by a member.

    Parameters
    ----------
    member_id : str
        Identity of the approving member.
    newcomer_id : str
        Identity of the newcomer: ``proxy_id`` or ``data_id``.
    checked : str
        Human-readable description of what the member checked.
    version : int
        Version of the published state that the member had applied.
    """

    member: ShortText
    member_id: ShortText
    newcomer: ShortText
    newcomer_id: ShortText
    checked: ShortText
    version: int = 0
    kind: Literal['approval'] = 'approval'


@dataclass(slots=True, kw_only=True)
class AnnounceAck:
    """Answer to `Announce`.

    Parameters
    ----------
    state : str
        Membership state of the upstream: ``'announced'``, ``'joined'`` or
        ``'leaving'``.
    leader : str, optional
        Name of the control leader, if known.
    """

    state: str
    leader: str | None = None
    kind: Literal['announce_ack'] = 'announce_ack'


@dataclass(slots=True, kw_only=True)
class UpstreamReport:
    """Last state of an upstream as observed by a proxy.

    Parameters
    ----------
    leads : bool
        The upstream has shown that it is the primary.
    term : int
        Newest term known to the upstream.
    received : LogPosition
        Last position that the upstream has received.
    """

    leads: bool
    term: int
    received: LogPosition


@dataclass(slots=True, kw_only=True)
class ProxyReport:
    """State of a proxy; renews its leases and permits.

    Parameters
    ----------
    proxy_id : str
        Identity of the proxy, kept across restarts.
    incarnation : str
        Identity of the proxy's process; new at each start.
    seq : int
        Number of the report, increasing within the incarnation.
    version : int
        Version of the published state that the proxy has applied.
    holdings : dict of str to int
        Number of permits held for each upstream.
    evidence : dict of str to str
        Reachability of each monitored upstream.
    upstreams : dict of str to UpstreamReport
        States of the upstreams, reported by session poolers only.
    """

    proxy: ShortText
    proxy_id: ShortText
    incarnation: ShortText
    seq: int
    host: ShortText
    port: int
    data_centre: ShortText
    version: int
    draining: bool = False
    holdings: dict[str, int] = field(default_factory=dict)
    evidence: dict[str, Evidence] = field(default_factory=dict)
    upstreams: dict[str, UpstreamReport] | None = None
    kind: Literal['proxy_report'] = 'proxy_report'


@dataclass(slots=True, kw_only=True)
class ReportChange:
    """Report that states only what differs from the previous one.

    It follows another report of the same proxy on the same connection. The
    identity of the proxy is that of its last `ProxyReport` there.

    Parameters
    ----------
    seq, version, draining :
        See `ProxyReport`.
    evidence, upstreams : dict
        Entries of `ProxyReport` that are new or have changed.
    gone : list of str
        Upstreams that are no longer monitored.
    """

    seq: int
    version: int
    draining: bool = False
    evidence: dict[str, Evidence] = field(default_factory=dict)
    upstreams: dict[str, UpstreamReport] | None = None
    gone: list[str] = field(default_factory=list)
    kind: Literal['report_change'] = 'report_change'


@dataclass(slots=True, kw_only=True)
class NotLeader:
    """The sender is not the leader; `leader` names the leader if known."""

    leader: str | None = None
    kind: Literal['not_leader'] = 'not_leader'


@dataclass(slots=True, kw_only=True)
class GroupLease:
    """Right to acknowledge writes of one group in one term."""

    group: str
    term: int


@dataclass(slots=True, kw_only=True)
class ReadPosition:
    """Log position of a primary at a known time.

    Parameters
    ----------
    seq : int
        Report of the receiving pooler. Every commit that was acknowledged
        before this report was sent is at or before the position.
    """

    group: str
    seq: int
    position: LogPosition


@dataclass(slots=True, kw_only=True)
class PositionRequest:
    """Ask a pooler for the log position of the primary of a group."""

    group: str
    number: int
    kind: Literal['position_request'] = 'position_request'


@dataclass(slots=True, kw_only=True)
class PositionAnswer:
    """Log position that the primary had after a request arrived.

    The primary proved that it leads.
    """

    group: str
    number: int
    position: LogPosition
    kind: Literal['position_answer'] = 'position_answer'


@dataclass(slots=True, kw_only=True)
class LeavingUpstream:
    """Time since which an upstream has been leaving.

    Parameters
    ----------
    age_ms : int
        Milliseconds from the record of its departure to this message.
    """

    upstream: str
    data_id: str
    age_ms: int


@dataclass(slots=True, kw_only=True)
class LeaseGrant:
    """Answer to the `ProxyReport` numbered `seq`.

    Parameters
    ----------
    leases : list of GroupLease
        Groups whose writes the proxy may acknowledge.
    duration_ms : int
        Validity in milliseconds, counted from the time at which the report
        was sent.
    version : int
        Version of the published state at the leader. A proxy with a lower
        version must not treat the grant as confirmation of its configuration.
    member_state : str
        Membership state of the proxy: ``'announced'``, ``'joined'`` or
        ``'leaving'``.
    peers : list of str, optional
        Addresses of the control processes; None if they are fixed by the
        settings.
    positions : list of ReadPosition
        Positions of primaries that accept too few connections for all
        poolers to ask them.
    leaving : list of LeavingUpstream
        Leaving upstreams that the proxy has not been told of on this link.
        Those are left out that were leaving before the leader was elected.
    """

    seq: int
    leases: list[GroupLease]
    duration_ms: int
    version: int
    member_state: str = 'joined'
    peers: list[str] | None = None
    positions: list[ReadPosition] | None = None
    leaving: list[LeavingUpstream] | None = None
    kind: Literal['lease_grant'] = 'lease_grant'


@dataclass(slots=True, kw_only=True)
class LeaseRevoke:
    """Revoke the leases of a group up to and including `term`."""

    group: str
    term: int
    kind: Literal['lease_revoke'] = 'lease_revoke'


@dataclass(slots=True, kw_only=True)
class LeaseRevoked:
    """Confirm that the proxy acknowledges no writes of the group in `term`."""

    group: str
    term: int
    kind: Literal['lease_revoked'] = 'lease_revoked'


@dataclass(slots=True, kw_only=True)
class PublishedObject:
    """One object of the published state.

    Parameters
    ----------
    type : str
        ``'group'``, ``'upstream'``, ``'rule'``, ``'allowance'``,
        ``'limit'``, ``'endpoint'`` or ``'member'``.
    body : dict
        Fields of the object; see ``jackdawpost.core.published``.
    """

    type: str
    name: str
    body: dict[str, Any]


@dataclass(slots=True, kw_only=True)
class ObjectKey:
    """Type and name of a published object."""

    type: str
    name: str


@dataclass(slots=True, kw_only=True)
class StateUpdate:
    """Change to the published state.

    Parameters
    ----------
    from_version : int
        Version that the update applies to; ignored when `full`.
    version : int
        Version after the update.
    full : bool
        The update contains the whole state.
    """

    from_version: int
    version: int
    upserts: list[PublishedObject] = field(default_factory=list)
    removals: list[ObjectKey] = field(default_factory=list)
    full: bool = False
    kind: Literal['state_update'] = 'state_update'


@dataclass(slots=True, kw_only=True)
class PermitDemand:
    """Total number of permits for an upstream that the proxy could use now.

    A permit is the right to use one statement slot of the upstream.
    """

    upstream: str
    wanted: int
    kind: Literal['permit_demand'] = 'permit_demand'


@dataclass(slots=True, kw_only=True)
class PermitGrant:
    """Grant `count` more permits for an upstream."""

    upstream: str
    count: int
    kind: Literal['permit_grant'] = 'permit_grant'


@dataclass(slots=True, kw_only=True)
class PermitRecall:
    """Request the return of `count` permits as soon as they are unused."""

    upstream: str
    count: int
    kind: Literal['permit_recall'] = 'permit_recall'


@dataclass(slots=True, kw_only=True)
class PermitReturn:
    """Return `count` permits for an upstream."""

    upstream: str
    count: int
    kind: Literal['permit_return'] = 'permit_return'


@dataclass(slots=True, kw_only=True)
class UpstreamAction:
    """Request of the control leader that a proxy forwards to an upstream.

    Parameters
    ----------
    action : {'pause', 'resume', 'status', 'demote'}
        Pause replication, resume replication, only report the position, or
        stop leading in a lower term.
    term : int
        Term of a pause or demotion, higher than any term known to the
        upstream.
    token : int
        Token of the promotion that the request belongs to.
    """

    upstream: str
    action: Literal['pause', 'resume', 'status', 'demote']
    term: int
    token: int
    kind: Literal['ask_upstream'] = 'ask_upstream'


@dataclass(slots=True, kw_only=True)
class UpstreamActionAnswer:
    """Answer of an upstream to an `UpstreamAction`.

    Parameters
    ----------
    received : LogPosition
        Last position that the upstream has received.
    leads : bool
        Whether the upstream still considers itself the primary.
    term : int
        Newest term known to the upstream, which ignores a pause of that term
        or a lower one.
    requested_term : int
        Term of the request that this answers.
    """

    upstream: str
    action: Literal['pause', 'resume', 'status', 'demote']
    token: int
    received: LogPosition
    leads: bool = False
    term: int = 0
    requested_term: int = 0
    kind: Literal['upstream_told'] = 'upstream_told'


@dataclass(slots=True, kw_only=True)
class RateReport:
    """Tokens of tenants with a rate limit that a pooler holds and wants.

    While `applied` is 0 a report states everything. A later one on the same
    link states the wanted tokens that have changed, and the stock that is not
    what the previous report and the grants up to `applied` add up to.

    Parameters
    ----------
    seq : int
        Number of the report, increasing within the incarnation.
    applied : int
        Number of the last `RateGrant` applied on this link; 0 for none.
    stock : dict of str to int, optional
        Tokens held, by tenant, including those of operations that have not
        been sent to an upstream yet.
    wanted : dict of str to int, optional
        Tokens that the pooler would like to hold, by tenant.
    waiting : dict of str to int, optional
        Operations that wait for a token, by tenant; always in full.
    """

    seq: int
    applied: int
    stock: dict[str, int] | None = None
    wanted: dict[str, int] | None = None
    waiting: dict[str, int] | None = None
    kind: Literal['rate_report'] = 'rate_report'


@dataclass(slots=True, kw_only=True)
class RateGrant:
    """Answer to a `RateReport`.

    Parameters
    ----------
    number : int
        Number of the grant, increasing on the link; 0 asks the pooler to
        state everything.
    seq : int
        Number of the report that it answers.
    tokens : dict of str to int, optional
        Tokens added, by tenant.
    refused : list of str, optional
        Tenants whose bucket is empty.
    """

    number: int
    seq: int
    tokens: dict[str, int] | None = None
    refused: list[str] | None = None
    kind: Literal['rate_grant'] = 'rate_grant'


ToControlFromUpstream = Announce | Approval
ToUpstreamFromControl = AnnounceAck | ApprovalRequest
ToControlFromProxy = (
    ProxyReport
    | ReportChange
    | LeaseRevoked
    | PermitDemand
    | PermitReturn
    | Approval
    | UpstreamActionAnswer
    | RateReport
)
ToProxyFromControl = (
    NotLeader
    | LeaseGrant
    | LeaseRevoke
    | StateUpdate
    | PermitGrant
    | PermitRecall
    | ApprovalRequest
    | UpstreamAction
    | RateGrant
)
