"""Messages to and from a control process: upstreams and proxies."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Literal

from jackdawpost.core.positions import LogPosition

# 'stalled': it answers probes, but gets no statement done.
Evidence = Literal['up', 'silent', 'refused', 'stalled']


@dataclass(slots=True, kw_only=True)
class Announce:
    """State of an upstream, sent on connect, on a change and regularly.

    Parameters
    ----------
    data_id : str
        Identity of the upstream's data; new after a wipe.
    slots : int
        Statements that may run at the same time.
    connections : int
        Connections that may be open at the same time.
    """

    name: str
    group: str
    data_id: str
    host: str
    port: int
    data_centre: str
    slots: int
    connections: int
    term: int
    leads: bool
    received: LogPosition
    leaving: bool = False
    kind: Literal['announce'] = 'announce'


@dataclass(slots=True, kw_only=True)
class ApprovalRequest:
    """Ask a member to approve a newcomer."""

    newcomer: str
    newcomer_id: str
    host: str
    port: int
    role: Literal['proxy', 'upstream']
    group: str = ''
    kind: Literal['approval_request'] = 'approval_request'


@dataclass(slots=True, kw_only=True)
class Approval:
    """A member's approval of one newcomer.

    Parameters
    ----------
    member_id : str
        Identity of the approving member.
    newcomer_id : str
        Identity of the newcomer: ``proxy_id`` or ``data_id``.
    checked : str
        What the member checked, for people.
    version : int
        Published version that the member had in force.
    """

    member: str
    member_id: str
    newcomer: str
    newcomer_id: str
    checked: str
    version: int = 0
    kind: Literal['approval'] = 'approval'


@dataclass(slots=True, kw_only=True)
class AnnounceAck:
    """Membership state of the announcing upstream."""

    state: str
    leader: str | None = None
    kind: Literal['announce_ack'] = 'announce_ack'


@dataclass(slots=True, kw_only=True)
class UpstreamReport:
    """What a proxy last saw of one upstream.

    Parameters
    ----------
    leads : bool
        The upstream proved that it leads.
    term : int
        Newest term that it knows.
    received : LogPosition
        Last position that it has received.
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
        Identity of the proxy, kept over a restart.
    incarnation : str
        Identity of the proxy's process; new at each start.
    seq : int
        Rising number of the report within the incarnation.
    version : int
        Published version in force.
    holdings : dict of str to int
        Permits held for each upstream.
    evidence : dict of str to str
        Reachability of each watched upstream.
    upstreams : dict of str to UpstreamReport
        What session poolers see of the upstreams.
    """

    proxy: str
    proxy_id: str
    incarnation: str
    seq: int
    host: str
    port: int
    data_centre: str
    version: int
    draining: bool = False
    holdings: dict[str, int] = field(default_factory=dict)
    evidence: dict[str, Evidence] = field(default_factory=dict)
    upstreams: dict[str, UpstreamReport] | None = None
    kind: Literal['proxy_report'] = 'proxy_report'


@dataclass(slots=True, kw_only=True)
class NotLeader:
    """The control process does not lead; `leader` names the one known."""

    leader: str | None = None
    kind: Literal['not_leader'] = 'not_leader'


@dataclass(slots=True, kw_only=True)
class GroupLease:
    """Right to acknowledge writes of one group in one term."""

    group: str
    term: int


@dataclass(slots=True, kw_only=True)
class LeaseGrant:
    """Answer to the report numbered `seq`.

    Parameters
    ----------
    leases : list of GroupLease
        Groups whose writes the proxy may acknowledge.
    duration_ms : int
        Validity in milliseconds, counted from when the report was sent.
    version : int
        Published version at the leader; a proxy whose own is lower must
        not count the grant as a confirmation of its configuration.
    member_state : str
        Membership state of the proxy.
    peers : list of str, optional
        Addresses of the control processes, where they may change.
    """

    seq: int
    leases: list[GroupLease]
    duration_ms: int
    version: int
    member_state: str = 'joined'
    peers: list[str] | None = None
    kind: Literal['lease_grant'] = 'lease_grant'


@dataclass(slots=True, kw_only=True)
class LeaseRevoke:
    """Withdraw the leases of a group up to and including `term`."""

    group: str
    term: int
    kind: Literal['lease_revoke'] = 'lease_revoke'


@dataclass(slots=True, kw_only=True)
class LeaseRevoked:
    """The proxy no longer acknowledges writes of the group in `term`."""

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
        ``'limit'`` or ``'member'``.
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
    """Change of the published state.

    Parameters
    ----------
    from_version : int
        Version that the update applies to; ignored when `full`.
    version : int
        Version after the update.
    full : bool
        The update holds the whole state.
    """

    from_version: int
    version: int
    upserts: list[PublishedObject] = field(default_factory=list)
    removals: list[ObjectKey] = field(default_factory=list)
    full: bool = False
    kind: Literal['state_update'] = 'state_update'


@dataclass(slots=True, kw_only=True)
class PermitDemand:
    """Permits that the proxy could use for an upstream in total now."""

    upstream: str
    wanted: int
    kind: Literal['permit_demand'] = 'permit_demand'


@dataclass(slots=True, kw_only=True)
class PermitGrant:
    """Lend `count` more permits for an upstream."""

    upstream: str
    count: int
    kind: Literal['permit_grant'] = 'permit_grant'


@dataclass(slots=True, kw_only=True)
class PermitRecall:
    """Ask for `count` permits back as soon as they are unused."""

    upstream: str
    count: int
    kind: Literal['permit_recall'] = 'permit_recall'


@dataclass(slots=True, kw_only=True)
class PermitReturn:
    """Give back `count` permits."""

    upstream: str
    count: int
    kind: Literal['permit_return'] = 'permit_return'


@dataclass(slots=True, kw_only=True)
class UpstreamAction:
    """Pass a request of the control leader on to an upstream.

    Parameters
    ----------
    action : {'pause', 'resume', 'status'}
        Stop receiving, go on receiving, or only tell the position.
    term : int
        Term to stop with, above every one that the upstream knows.
    token : int
        Token of the promotion that it is for.
    """

    upstream: str
    action: Literal['pause', 'resume', 'status']
    term: int
    token: int
    kind: Literal['ask_upstream'] = 'ask_upstream'


@dataclass(slots=True, kw_only=True)
class UpstreamActionAnswer:
    """An upstream's answer to an `UpstreamAction`.

    Parameters
    ----------
    received : LogPosition
        Last position that it has received.
    """

    upstream: str
    action: Literal['pause', 'resume', 'status']
    token: int
    received: LogPosition
    kind: Literal['upstream_told'] = 'upstream_told'


ToControlFromUpstream = Announce | Approval
ToUpstreamFromControl = AnnounceAck | ApprovalRequest
ToControlFromProxy = (
    ProxyReport
    | LeaseRevoked
    | PermitDemand
    | PermitReturn
    | Approval
    | UpstreamActionAnswer
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
)
