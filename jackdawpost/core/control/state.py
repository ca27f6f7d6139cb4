"""Replicated state of the control processes, as data classes.

Each control process applies the same log of commands to a `ControlMachine`.
The fields of these classes, except `Applied`, are written to snapshots.
"""

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
# A process that has missed 1,000 changes must still be sent a delta instead
# of the full state. One change set may remove several objects.
MAX_TOMBSTONES = 4_000


@dataclass(slots=True, kw_only=True)
class Member:
    """A proxy or upstream that has joined or wants to join.

    Parameters
    ----------
    member_id : str
        ``proxy_id`` of a proxy, ``data_id`` of an upstream.
    slots : int
        Statements that an upstream can run concurrently.
    connections : int
        Connections that an upstream accepts concurrently.
    leaving : bool
        The member is shutting down and is to get no new work.
    registered : bool
        The upstream registered itself by HTTP requests. It has no open
        connection on which it could be asked to approve newcomers, and its
        approval is not required.
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
    """Approval of a newcomer by one member.

    Parameters
    ----------
    member_id : str
        Identity of the approving member.
    checked : str
        What the member checked, as text for operators.
    version : int
        Published version that was in force on the member.
    """

    member_id: str
    checked: str
    version: int = 0


@dataclass(slots=True, kw_only=True)
class Newcomer:
    """An announced instance that has not been approved by every member.

    Parameters
    ----------
    approvals : dict of str to MemberApproval
        Approvals by name of the approving member.
    """

    member: Member
    approvals: dict[str, MemberApproval] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class Promotion:
    """A running promotion: the replacement of a group's primary.

    Parameters
    ----------
    step : {'started', 'chosen'}
        ``'started'`` while databases are sealed, ``'chosen'`` once the new
        primary has been chosen.
    from_term, to_term : int
        Term of the replaced primary and of the new one.
    accept_loss : bool
        An operator allows the loss of acknowledged writes.
    chosen : str, optional
        Upstream chosen as the new primary; None in step ``'started'``.
    data_id : str
        Data identity of the chosen upstream.
    position : LogPosition
        Last position that the chosen upstream had received.
    delegated : bool
        The deployment's platform carries the promotion out, and `to_term`
        is the fencing token of the order sent to it.
    holder : str
        Control process that is allowed to send the order.
    replaces_other : bool
        It replaces a promotion of which an order may have been sent.
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
    replaces_other: bool = False


@dataclass(slots=True, kw_only=True)
class FormerHolder:
    """Removed database of a group whose commits need copies.

    Parameters
    ----------
    limit : LogPosition, optional
        Position of the primary, read after the removal. The database holds no
        later commit. None until it has been recorded.
    """

    name: str
    member_id: str
    limit: LogPosition | None = None


@dataclass(slots=True, kw_only=True)
class GroupState:
    """Terms, primary and database set of a group.

    Parameters
    ----------
    term : int
        Term of the latest finished promotion; 0 before the first one.
    last_term : int
        Highest term ever used. Includes abandoned promotions, since
        upstreams may be sealed in their terms.
    primary : str, optional
        Upstream that is the primary in `term`.
    primary_id : str
        Data identity of the primary. A wiped database under the same name
        is not the primary.
    database_set : dict of str to str
        Data identity by name of the databases over which the quorum of a
        promotion is counted.
    superseded_term : int
        Term of the databases, not of the group, above which the upstream of
        the latest delegated promotion leads.
    former_holders : list of FormerHolder
        Removed databases that may hold a commit which no other database has,
        oldest first. Empty for a group without copies.
    final_position : LogPosition, optional
        End of the log of a demoted primary, while no upstream has led since.
        No commit after it was acknowledged.
    """

    term: int = 0
    last_term: int = 0
    superseded_term: int = 0
    primary: str | None = None
    primary_id: str = ''
    database_set: dict[str, str] = field(default_factory=dict)
    promotion: Promotion | None = None
    former_holders: list[FormerHolder] = field(default_factory=list)
    final_position: LogPosition | None = None


@dataclass(slots=True, kw_only=True)
class ChangeAnswer:
    """Answer to a change set: accepted or rejected.

    Parameters
    ----------
    revision : int
        Revision created by an accepted change set, else the current one.
    faults : list of Fault
        All reasons for a rejection.
    duplicate : bool
        This is the stored answer to an earlier request with the same
        change id.
    """

    change_id: str
    accepted: bool
    revision: int
    faults: list[Fault] = field(default_factory=list)
    duplicate: bool = False


@dataclass(slots=True, kw_only=True)
class CommandRefused:
    """Result of a command that was refused and changed nothing.

    Parameters
    ----------
    code : str
        Machine-readable reason: ``'unknown_group'``, ``'promotion_running'``,
        ``'no_promotion'``, ``'wrong_step'``, ``'stale_term'``,
        ``'not_joined'``, ``'unknown_member'``, ``'wrong_group'``,
        ``'not_in_set'``, ``'is_primary'``, ``'already_done'`` or
        ``'malformed'``.
    """

    code: str
    message: str


@dataclass(slots=True, kw_only=True)
class StoredAnswer:
    """Answer to a change set, kept for repeated requests.

    Parameters
    ----------
    fingerprint : bytes
        Digest of the operations, which detects the reuse of a change id
        for other operations.
    """

    fingerprint: bytes
    answer: ChangeAnswer


@dataclass(slots=True, kw_only=True)
class HistoryEntry:
    """An accepted change set in the history that operators can list."""

    revision: int
    change_id: str
    operator: str
    summary: list[str]


@dataclass(slots=True, kw_only=True)
class PublishedEntry:
    """Body of a published object and the version of its last change."""

    version: int
    body: dict[str, Any]


@dataclass(slots=True, kw_only=True)
class DeclaredConfig:
    """A complete configuration declared by operators.

    Parameters
    ----------
    version : int
        Version number assigned by the operators.
    document : bytes
        Configuration document as received. It contains the keys of tenants,
        so it is stored and returned to operators, but never dumped.
    """

    version: int
    document: bytes

    def describe(self) -> dict[str, Any]:
        """Return the version and the size of the document, for dumps."""
        return {'version': self.version, 'document_bytes': len(self.document)}


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
        Version of the published state, incremented by each change to it.
    objects : ObjectSet
        Configuration objects that the operators have created.
    members : dict of str to Member
        Joined and leaving members by name.
    newcomers : dict of str to Newcomer
        Announced instances by name, in order of announcement.
    groups : dict of str to GroupState
        State of the groups that exist as objects.
    retired_groups : dict of str to GroupState
        State of deleted groups. A group created again under the same name
        continues with the next term.
    history : list of HistoryEntry
        Latest accepted change sets, oldest first.
    answers : dict of str to StoredAnswer
        Latest answers by change id, oldest first.
    published : dict of str to PublishedEntry
        Published objects by ``TYPE/NAME``, least recently changed first.
    tombstones : dict of str to int
        Version of removal by ``TYPE/NAME``, oldest first.
    delta_floor : int
        Lowest version from which a delta can be built. Older tombstones
        have been dropped.
    declared : DeclaredConfig, optional
        Latest complete configuration declared by operators.
    departed : dict of str to str
        Latest identity under which a registered upstream has left, by name,
        oldest first. Late reports from that identity are ignored.
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
    """Result of applying one command.

    Parameters
    ----------
    answer : ChangeAnswer or CommandRefused, optional
        Answer to a change set, or the refusal of any other command.
    changed : bool
        The published state changed, and proxies need an update.
    joined : list of str
        Newcomers that became members by this command.
    """

    answer: ChangeAnswer | CommandRefused | None = None
    changed: bool = False
    joined: list[str] = field(default_factory=list)


def database_set_size(machine: ControlMachine, group: str) -> int:
    """Return the size of a group's database set for quorum calculations.

    It is at least the number of databases configured for the group. When an
    operator removes a database, the quorum of a promotion therefore does not
    shrink until a replacement is admitted.
    """
    setting = machine.objects.groups[group].databases
    return max(setting, len(machine.groups[group].database_set))


def promotion_quorum(machine: ControlMachine, group: str) -> int:
    """Return how many databases of the set a promotion must have sealed.

    Each acknowledged write is stored on `write_copies` databases of the set,
    hence any ``size - write_copies + 1`` of them include one that holds it.
    """
    write_copies = machine.objects.groups[group].write_copies
    return database_set_size(machine, group) - write_copies + 1
