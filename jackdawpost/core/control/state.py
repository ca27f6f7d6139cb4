"""Data classes of the replicated control state."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Literal

from jackdawpost.core.messages.operator import Fault
from jackdawpost.core.objects.model import ObjectSet
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.positions import ZERO_POSITION

MAX_HISTORY = 1_000
MAX_CHANGE_ANSWERS = 10_000
# A process that missed 1,000 changes must still get a delta; one change set
# may remove several objects.
MAX_TOMBSTONES = 4_000


@dataclass(slots=True, kw_only=True)
class Member:
    """A joined or leaving proxy or upstream.

    Parameters
    ----------
    registered : bool
        An upstream that registers itself by requests. It keeps no link on
        which it could be asked to approve newcomers.
    """

    role: Literal['proxy', 'upstream']
    name: str
    member_id: str
    host: str
    port: int
    data_centre: str
    group: str = ''
    slots: int = 0
    connections: int = 0
    leaving: bool = False
    registered: bool = False


@dataclass(slots=True, kw_only=True)
class MemberApproval:
    """One member's approval of a newcomer."""

    member_id: str
    checked: str
    version: int = 0


@dataclass(slots=True, kw_only=True)
class Newcomer:
    """An announced instance that waits for approvals.

    Parameters
    ----------
    approvals : dict of str to MemberApproval
        Approvals by name of the approving member.
    """

    member: Member
    approvals: dict[str, MemberApproval] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class Promotion:
    """A running promotion.

    Parameters
    ----------
    chosen : str, optional
        Upstream that is going to lead; None in step ``'started'``.
    delegated : bool
        The promotion is ordered from outside the system, and `to_term` is
        the fencing token of the order.
    holder : str
        Control process that may give the order.
    """

    step: Literal['started', 'chosen']
    from_term: int
    to_term: int
    reason: str
    accept_loss: bool = False
    chosen: str | None = None
    data_id: str = ''
    position: LogPosition = ZERO_POSITION
    delegated: bool = False
    holder: str = ''


@dataclass(slots=True, kw_only=True)
class GroupState:
    """Terms, primary and database set of a group.

    Parameters
    ----------
    last_term : int
        Highest term ever used, including abandoned promotions: upstreams
        may be sealed in it.
    primary : str, optional
        Upstream that leads in `term`.
    primary_id : str
        Data identity of the primary; a wiped database under the same name
        is not the primary.
    database_set : dict of str to str
        Data identity by name of the databases that count for durability.
    """

    term: int = 0
    last_term: int = 0
    primary: str | None = None
    primary_id: str = ''
    database_set: dict[str, str] = field(default_factory=dict)
    promotion: Promotion | None = None


@dataclass(slots=True, kw_only=True)
class ChangeAnswer:
    """Accept or reject of a change set.

    Parameters
    ----------
    revision : int
        Revision after an accept, else the current one.
    faults : list of Fault
        Every reason of a reject.
    duplicate : bool
        This is the stored answer to the first request with this change id.
    """

    change_id: str
    accepted: bool
    revision: int
    faults: list[Fault] = field(default_factory=list)
    duplicate: bool = False


@dataclass(slots=True, kw_only=True)
class CommandRefused:
    """A command that was applied without effect.

    Parameters
    ----------
    code : str
        Stable reason: ``'unknown_group'``, ``'promotion_running'``,
        ``'no_promotion'``, ``'wrong_step'``, ``'stale_term'``,
        ``'not_joined'``, ``'unknown_member'``, ``'wrong_group'``,
        ``'not_in_set'``, ``'is_primary'``, ``'already_done'`` or
        ``'malformed'``.
    """

    code: str
    message: str


@dataclass(slots=True, kw_only=True)
class StoredAnswer:
    """Answer to a change set, kept for resends."""

    fingerprint: bytes
    answer: ChangeAnswer


@dataclass(slots=True, kw_only=True)
class HistoryEntry:
    """An accepted change set."""

    revision: int
    change_id: str
    operator: str
    summary: list[str]


@dataclass(slots=True, kw_only=True)
class PublishedEntry:
    """Body of a published object and the version that last changed it."""

    version: int
    body: dict[str, Any]


@dataclass(slots=True, kw_only=True)
class DeclaredConfig:
    """A configuration that operators declare as a whole.

    Parameters
    ----------
    version : int
        Version that the operators gave it.
    document : bytes
        The configuration as it was received.
    """

    version: int
    document: bytes


@dataclass(slots=True, kw_only=True)
class ControlMachine:
    """Replicated state of the control processes.

    Parameters
    ----------
    applied_index : int
        Log index of the last applied command.
    revision : int
        Number of accepted change sets.
    version : int
        Version of the published state; rises with each change of it.
    members : dict of str to Member
        Joined and leaving members by name.
    newcomers : dict of str to Newcomer
        Announced instances by name, in order of announcement.
    groups : dict of str to GroupState
        State of the groups that exist as objects.
    retired_groups : dict of str to GroupState
        State of deleted groups, so that a group created again under the
        same name continues its terms.
    answers : dict of str to StoredAnswer
        Latest answers by change id, oldest first.
    published : dict of str to PublishedEntry
        Published objects by ``TYPE/NAME``, least recently changed first.
    tombstones : dict of str to int
        Version of removal by ``TYPE/NAME``, oldest first.
    delta_floor : int
        Lowest version from which a delta can be given.
    declared : DeclaredConfig, optional
        Configuration that was last declared as a whole.
    departed : dict of str to str
        Latest identity under which a registered upstream has left, by name,
        oldest first; late reports of it are ignored.
    """

    applied_index: int = 0
    revision: int = 0
    version: int = 0
    objects: ObjectSet = field(default_factory=ObjectSet)
    members: dict[str, Member] = field(default_factory=dict)
    newcomers: dict[str, Newcomer] = field(default_factory=dict)
    groups: dict[str, GroupState] = field(default_factory=dict)
    retired_groups: dict[str, GroupState] = field(default_factory=dict)
    history: list[HistoryEntry] = field(default_factory=list)
    answers: dict[str, StoredAnswer] = field(default_factory=dict)
    published: dict[str, PublishedEntry] = field(default_factory=dict)
    tombstones: dict[str, int] = field(default_factory=dict)
    delta_floor: int = 0
    declared: DeclaredConfig | None = None
    departed: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class Applied:
    """Result of one command.

    Parameters
    ----------
    answer : ChangeAnswer or CommandRefused, optional
        Answer to a change set, or why a command had no effect.
    changed : bool
        The published state changed, so that proxies need an update.
    joined : list of str
        Members that joined by this command.
    """

    answer: ChangeAnswer | CommandRefused | None = None
    changed: bool = False
    joined: list[str] = field(default_factory=list)


def database_set_size(machine: ControlMachine, group: str) -> int:
    """Return the number of databases that count in a group.

    An operator's removal leaves a place to be filled: until a replacement is
    admitted, the group's setting keeps the number of answers that a promotion
    needs from falling.
    """
    setting = machine.objects.groups[group].databases
    return max(setting, len(machine.groups[group].database_set))


def promotion_quorum(machine: ControlMachine, group: str) -> int:
    """Return how many databases of the set a promotion must hear from.

    Each acknowledged write is on `write_copies` databases, so that any
    ``size - write_copies + 1`` of them include one that holds it.
    """
    write_copies = machine.objects.groups[group].write_copies
    return database_set_size(machine, group) - write_copies + 1
