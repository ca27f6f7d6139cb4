"""Facts about a group and progress of its promotion under one leader."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Literal

from jackdawpost.core.positions import LogPosition


@dataclass(slots=True, kw_only=True)
class Database:
    """A joined upstream as it last announced itself.

    Parameters
    ----------
    session : int
        Announcing connection; a new one calls for a new `follow`.
    last_contact_ms : float
        Time of the announcement.
    connected : bool
        The announcing connection is open.
    """

    name: str
    data_id: str
    host: str
    port: int
    term: int
    leads: bool
    received: LogPosition
    leaving: bool
    session: int
    last_contact_ms: float
    connected: bool = True


@dataclass(slots=True, kw_only=True)
class RunningPromotion:
    """Promotion under way as committed; `upstream` is the choice."""

    from_term: int
    to_term: int
    accept_loss: bool = False
    upstream: str | None = None
    data_id: str | None = None


@dataclass(slots=True, kw_only=True)
class GroupFacts:
    """What the leader knows about a group now.

    Parameters
    ----------
    size : int
        Databases that the group should have.
    needed : int
        Databases of the set that must be heard, so that at least one of
        them holds each acknowledged write.
    databases : dict of str to Database
        Joined upstreams of the group that have announced themselves.
    lease_holders : dict of str to float
        Proxies that may acknowledge writes of the replaced term.
    failed : str
        Why the primary must be replaced, empty if it need not be.
    """

    name: str
    size: int
    needed: int
    term: int
    last_term: int
    primary: str | None
    database_set: Mapping[str, str]
    promotion: RunningPromotion | None
    databases: Mapping[str, Database]
    lease_holders: Mapping[str, float]
    failed: str


@dataclass(slots=True, kw_only=True, frozen=True)
class AdminRequest:
    """Admin request that an upstream has to answer."""

    group: str
    upstream: str
    action: Literal['seal', 'promote', 'follow']
    term: int
    host: str
    port: int
    primary: str = ''
    primary_host: str = ''
    primary_port: int = 0
    session: int = 0


@dataclass(slots=True, kw_only=True)
class SealedDatabase:
    """What a sealed database holds."""

    data_id: str
    received: LogPosition


@dataclass(slots=True, kw_only=True)
class GroupProgress:
    """Progress of one group under this leader.

    Parameters
    ----------
    highest_term : int
        Highest term seen anywhere; a new promotion starts above it.
    busy : bool
        A command of this group is in the log and not yet applied.
    restart : str
        Reason to start another promotion, empty if there is none.
    retry_at_ms : float
        Earliest time of the next command after a refused one.
    sealed_term : int
        Promotion that `sealed` and the following fields belong to.
    enough_since_ms : float, optional
        Time since which enough databases have been heard.
    chosen_since_ms : float, optional
        Time since which the chosen database has been asked to lead.
    outdated : bool
        A database knows a term above that of the promotion.
    finished_ms : float, optional
        Time at which this leader last promoted a database that leaves.
    joined_ms : dict
        Name, data and term of a database outside the set to the time at
        which this leader first saw it joined.
    targets : dict
        The same keys to the position that the database must reach to be
        admitted: one of the primary that was heard after that time.
    """

    highest_term: int = 0
    busy: bool = False
    restart: str = ''
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
    refused_ms, silent_ms : float
        Time after which a chosen database that refuses connections or does
        not answer is given up.
    """

    refused_ms: float
    silent_ms: float
    groups: dict[str, GroupProgress] = field(default_factory=dict)


def progress_of(driver: PromotionDriver, group: str) -> GroupProgress:
    """Return the progress of a group, creating it if need be."""
    return driver.groups.setdefault(group, GroupProgress())


def is_counted(facts: GroupFacts, database: Database) -> bool:
    """Tell whether a database holds the data of the group's set."""
    return facts.database_set.get(database.name) == database.data_id
