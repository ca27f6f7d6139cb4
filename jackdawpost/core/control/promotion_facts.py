"""Inputs and state of the promotion driver.

`GroupFacts` is what the control leader knows about a group at present.
`GroupProgress` is what the leader remembers between two calls of the driver.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Literal

from jackdawpost.core.positions import LogPosition


@dataclass(slots=True, kw_only=True)
class Database:
    """A joined upstream as of its last announcement.

    Parameters
    ----------
    term : int
        Newest term that it knows.
    leads : bool
        It is the primary in `term`.
    received : LogPosition
        Last position that it has received.
    announce_conn : int
        Connection of the announcement. A new connection requires another
        follow request.
    last_contact_ms : float
        Time of the announcement.
    connected : bool
        The connection of the announcement is open.
    """

    name: str
    data_id: str
    host: str
    port: int
    term: int
    leads: bool
    received: LogPosition
    leaving: bool
    announce_conn: int
    last_contact_ms: float
    connected: bool = True


@dataclass(slots=True, kw_only=True)
class RunningPromotion:
    """Running promotion as committed to the log.

    Parameters
    ----------
    from_term, to_term : int
        Term of the replaced primary and of the new one.
    accept_loss : bool
        An operator allows the loss of acknowledged writes.
    upstream, data_id : str, optional
        Name and data identity of the chosen upstream; `upstream` is None
        until one is chosen.
    """

    from_term: int
    to_term: int
    accept_loss: bool = False
    upstream: str | None = None
    data_id: str | None = None


@dataclass(slots=True, kw_only=True)
class GroupFacts:
    """Present state of a group as known to the control leader.

    Parameters
    ----------
    size : int
        Number of databases configured for the group.
    quorum : int
        Number of databases that a promotion must seal: any `quorum`
        databases of the set include one that holds each acknowledged write.
    term : int
        Term of the latest finished promotion.
    last_term : int
        Highest term used by any promotion.
    primary : str, optional
        Primary in `term`.
    database_set : mapping of str to str
        Data identity by name of the databases in the database set.
    promotion : RunningPromotion, optional
        Running promotion.
    databases : mapping of str to Database
        Joined upstreams of the group that have announced themselves.
    lease_holders : mapping of str to float
        Proxies that may acknowledge writes in the replaced term, with the
        end of their leases.
    failure_reason : str
        Reason why the primary must be replaced; empty if there is none.
    """

    name: str
    size: int
    quorum: int
    term: int
    last_term: int
    primary: str | None
    database_set: Mapping[str, str]
    promotion: RunningPromotion | None
    databases: Mapping[str, Database]
    lease_holders: Mapping[str, float]
    failure_reason: str


@dataclass(slots=True, kw_only=True, frozen=True)
class AdminRequest:
    """Admin request to an upstream.

    Parameters
    ----------
    term : int
        Term in which the upstream is to be sealed, lead or follow.
    host, port : str, int
        Address of the upstream.
    primary, primary_host, primary_port : str, str, int
        Primary to follow and its address; only set for ``'follow'``.
    announce_conn : int
        Connection of the upstream's announcement; only set for
        ``'follow'``.
    """

    group: str
    upstream: str
    action: Literal['seal', 'promote', 'follow']
    term: int
    host: str
    port: int
    primary: str = ''
    primary_host: str = ''
    primary_port: int = 0
    announce_conn: int = 0


@dataclass(slots=True, kw_only=True)
class SealedDatabase:
    """Data identity and last received position of a sealed database."""

    data_id: str
    received: LogPosition


@dataclass(slots=True, kw_only=True)
class GroupProgress:
    """Progress of one group under the present leader.

    Parameters
    ----------
    highest_term : int
        Highest term reported or used so far. A new promotion gets a higher
        one.
    busy : bool
        A command of this group is in the log but has not been applied.
    restart_reason : str
        Reason to start another promotion; empty if there is none.
    retry_at_ms : float
        Earliest time of the next command after a refused one.
    accept_loss : bool
        An operator allows the loss of acknowledged writes.
    sealed_term : int
        Term of the promotion to which the fields from `sealed` to
        `outdated` belong.
    sealed : dict of str to SealedDatabase
        Databases that have been sealed, by name.
    enough_since_ms : float, optional
        Time since which all leases of the old term have ended and enough
        databases have been sealed to choose one.
    chosen_since_ms : float, optional
        Time at which the timeout of the chosen database started. A refused
        connection moves it to an earlier time.
    promoted : bool
        The chosen database leads.
    outdated : bool
        A database knows a newer term than that of the promotion.
    finished_ms : float, optional
        Time at which this leader last promoted a leaving database.
    followed : set of AdminRequest
        Follow requests that upstreams have accepted.
    joined_ms : dict
        Time at which this leader first saw a joined database outside the
        set, by name, data identity and term.
    targets : dict
        Position that such a database must reach to be admitted, by the same
        keys. It was reported by the primary after the time in `joined_ms`.
    """

    highest_term: int = 0
    busy: bool = False
    restart_reason: str = ''
    retry_at_ms: float = 0.0
    accept_loss: bool = False
    sealed_term: int = 0
    sealed: dict[str, SealedDatabase] = field(default_factory=dict)
    enough_since_ms: float | None = None
    chosen_since_ms: float | None = None
    promoted: bool = False
    outdated: bool = False
    finished_ms: float | None = None
    followed: set[AdminRequest] = field(default_factory=set)
    joined_ms: dict[tuple[str, str, int], float] = field(default_factory=dict)
    targets: dict[tuple[str, str, int], LogPosition] = field(
        default_factory=dict
    )


@dataclass(slots=True, kw_only=True)
class PromotionDriver:
    """Promotions of all groups.

    Parameters
    ----------
    refused_ms : float
        Timeout for a chosen database that refuses connections.
    silent_ms : float
        Timeout for a chosen database that does not answer.
    groups : dict of str to GroupProgress
        Progress by group.
    """

    refused_ms: float
    silent_ms: float
    groups: dict[str, GroupProgress] = field(default_factory=dict)


def progress_of(driver: PromotionDriver, group: str) -> GroupProgress:
    """Return the progress of a group; it is created if there is none."""
    return driver.groups.setdefault(group, GroupProgress())


def is_in_database_set(facts: GroupFacts, database: Database) -> bool:
    """Return whether a database is in the set with its data identity."""
    return facts.database_set.get(database.name) == database.data_id
