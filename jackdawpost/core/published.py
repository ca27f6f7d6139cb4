"""Published state: the proxies' copy of the active configuration.

The control leader publishes the active objects with the current terms,
primaries and members under increasing versions. Proxies receive `StateUpdate`
messages and apply them to their copy, which holds one view for each object.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from jackdawpost.core.messages.control import StateUpdate


@dataclass(slots=True, kw_only=True)
class GroupView:
    """Database group: its settings, current term and primary.

    Parameters
    ----------
    databases : int
        Number of databases that the group should have.
    write_copies : int
        Databases that must hold a write before it is acknowledged.
    replica_wait_ms : int
        Time that a read may wait on a replica, in milliseconds.
    term : int
        Current term; 0 before the first primary.
    primary : str, optional
        Upstream that is the primary in `term`; None if there is no primary.
    database_set : dict of str to str
        Data identity by name of the databases that count for durability.
        Only these confirm a write: a promotion counts its quorum over them
        and can succeed without asking any other one.
    """

    name: str
    databases: int
    write_copies: int
    replica_wait_ms: int
    term: int = 0
    primary: str | None = None
    database_set: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class UpstreamView:
    """Joined upstream: its address, capacity and identity."""

    name: str
    group: str
    data_id: str
    host: str
    port: int
    data_centre: str
    slots: int
    connections: int
    leaving: bool = False


@dataclass(slots=True, kw_only=True)
class RuleView:
    """Routing rule: the groups behind a route and its allowance."""

    name: str
    groups: list[str]
    allowance: str | None = None
    read_only: bool = False


@dataclass(slots=True, kw_only=True)
class AllowanceView:
    """Staleness allowance whose fallbacks are resolved to a maximum age."""

    name: str
    max_age_ms: int


@dataclass(slots=True, kw_only=True)
class LimitView:
    """Limits of one group.

    Parameters
    ----------
    queue_length : int
        Maximum number of queued requests in each proxy.
    max_deadline_ms : int
        Longest deadline that a request may specify, in milliseconds.
    retry_ratio : float
        Retries allowed per request, from 0 to 1.
    """

    name: str
    group: str
    queue_length: int
    max_deadline_ms: int
    retry_ratio: float


@dataclass(slots=True, kw_only=True)
class EndpointView:
    """Endpoint of the session pooler: a database that callers connect to.

    The other fields are those of `EndpointObject`.

    Parameters
    ----------
    max_age_ms : int
        Maximum age of rows read, in milliseconds; 0 with consistency
        ``'primary'``.
    """

    name: str
    database: str
    group: str
    consistency: str
    max_age_ms: int
    timeout_ms: int
    objective_ms: int
    priority: int
    idle_txn_ms: int
    max_connections: int
    public: bool = True


@dataclass(slots=True, kw_only=True)
class TenantView:
    """Tenant; the fields are those of `TenantObject`."""

    name: str
    keys: list[str]
    rate_per_s: float | None = None
    burst: float = 0.0
    weight: int = 1


@dataclass(slots=True, kw_only=True)
class MemberView:
    """Member of the system: a joined proxy or upstream."""

    name: str
    member_id: str
    role: str
    host: str
    port: int
    state: str


View = (
    GroupView
    | UpstreamView
    | RuleView
    | AllowanceView
    | LimitView
    | EndpointView
    | TenantView
    | MemberView
)

VIEW_TYPES: Mapping[str, type[Any]] = {
    'group': GroupView,
    'upstream': UpstreamView,
    'rule': RuleView,
    'allowance': AllowanceView,
    'limit': LimitView,
    'endpoint': EndpointView,
    'tenant': TenantView,
    'member': MemberView,
}


@dataclass(slots=True)
class PublishedState:
    """Copy of the published objects at one version."""

    version: int = 0
    groups: dict[str, GroupView] = field(default_factory=dict)
    upstreams: dict[str, UpstreamView] = field(default_factory=dict)
    rules: dict[str, RuleView] = field(default_factory=dict)
    allowances: dict[str, AllowanceView] = field(default_factory=dict)
    limits: dict[str, LimitView] = field(default_factory=dict)
    endpoints: dict[str, EndpointView] = field(default_factory=dict)
    tenants: dict[str, TenantView] = field(default_factory=dict)
    members: dict[str, MemberView] = field(default_factory=dict)

    def table(self, object_type: str) -> dict[str, Any]:
        """Return the mutable table of one type, keyed by object name."""
        tables: dict[str, dict[str, Any]] = {
            'group': self.groups,
            'upstream': self.upstreams,
            'rule': self.rules,
            'allowance': self.allowances,
            'limit': self.limits,
            'endpoint': self.endpoints,
            'tenant': self.tenants,
            'member': self.members,
        }
        return tables[object_type]


def apply_update(state: PublishedState, update: StateUpdate) -> bool:
    """Apply an update to the published state in place.

    Parameters
    ----------
    state : PublishedState
        State to change.
    update : StateUpdate
        Update received from the control leader.

    Returns
    -------
    bool
        False if the update starts at a later version than that of the state.
        The state is then unchanged and a full update is needed. An update to
        an earlier version is ignored and gives True.
    """
    if not update.full and update.from_version > state.version:
        return False
    if update.version < state.version:
        return True
    if update.full:
        for object_type in VIEW_TYPES:
            state.table(object_type).clear()
    for key in update.removals:
        state.table(key.type).pop(key.name, None)
    for item in update.upserts:
        view = VIEW_TYPES[item.type](**item.body)
        state.table(item.type)[item.name] = view
    state.version = update.version
    return True
