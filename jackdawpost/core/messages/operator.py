"""Messages between an operator's client and a control process."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import ClassVar
from typing import Literal

from pydantic import ConfigDict
from pydantic import JsonValue

from jackdawpost.core.keys import digest_body_keys

Action = Literal['create', 'amend', 'delete']
Topic = Literal['status', 'get', 'history', 'dump', 'members', 'diff']
AnswerStatus = Literal['accepted', 'rejected', 'done', 'refused']


@dataclass(slots=True, kw_only=True)
class Operation:
    """One operation of a change set.

    Parameters
    ----------
    action : {'create', 'amend', 'delete'}
        ``'amend'`` replaces only the fields in `body`; a null value resets
        a field to its default.
    type : str
        ``'group'``, ``'upstream'``, ``'rule'``, ``'allowance'``,
        ``'limit'``, ``'endpoint'`` or ``'tenant'``.
    body : dict
        Fields of the object; empty for ``'delete'``. Only JSON values are
        accepted, because others, such as CBOR tags, may be lost or changed
        in the replicated log. The keys of a tenant are replaced by their
        digests.
    """

    # Rejects a misspelt "body" in a nested operation. It would be ignored
    # otherwise, and an amend without effect would be accepted.
    __pydantic_config__: ClassVar[ConfigDict] = ConfigDict(extra='forbid')

    action: Action
    type: str
    name: str
    body: dict[str, JsonValue] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.body = digest_body_keys(self.body)


@dataclass(slots=True, kw_only=True)
class Fault:
    """One reason for rejecting a change set.

    Parameters
    ----------
    object : str
        ``TYPE/NAME`` of the object; empty for the change set itself.
    field : str
        Field with the fault; empty for the whole object.
    message : str
        Human-readable explanation.
    """

    object: str
    field: str
    message: str


@dataclass(slots=True, kw_only=True)
class Table:
    """Query result with named columns, to be printed or parsed."""

    name: str
    columns: list[str]
    rows: list[list[Any]]


@dataclass(slots=True, kw_only=True)
class Apply:
    """Apply a change set.

    Parameters
    ----------
    change_id : str
        Identifies the change set across resends.
    base_revision : int
        Revision that the change set was written against.
    dry_run : bool
        Only validate; no answer is stored under `change_id`.
    """

    id: int
    change_id: str
    base_revision: int
    operations: list[Operation]
    operator: str
    dry_run: bool = False
    kind: Literal['apply'] = 'apply'


@dataclass(slots=True, kw_only=True)
class Query:
    """Query the state of the control process.

    Parameters
    ----------
    what : {'status', 'get', 'history', 'dump', 'members', 'diff'}
        Topic of the query.
    type : str
        For ``'get'``: type of the objects, empty for all.
    name : str
        For ``'get'``: name of one object, empty for all of the type.
    operations : list of Operation
        For ``'diff'``: change set to compare with the active objects.
    """

    id: int
    what: Topic
    type: str = ''
    name: str = ''
    operations: list[Operation] = field(default_factory=list)
    kind: Literal['query'] = 'query'


@dataclass(slots=True, kw_only=True)
class Check:
    """Check a configuration without applying it.

    The answer lists its faults, its findings, and the differences from the
    configuration in force.

    Parameters
    ----------
    operations : list of Operation
        Change set, or the objects of a complete configuration.
    complete : bool
        The operations create a complete configuration, which replaces all
        objects.
    version : int, optional
        Version of a complete configuration.
    proxies : int
        Number of proxies of the deployment; 0 for the joined ones.
    slots : int
        Slots of all databases of a group, the same for each group; 0 for
        those of the joined ones.
    """

    id: int
    operations: list[Operation]
    complete: bool = False
    version: int | None = None
    proxies: int = 0
    slots: int = 0
    kind: Literal['check'] = 'check'


@dataclass(slots=True, kw_only=True)
class Approve:
    """Request the missing approvals of a newcomer from the members again.

    An operator cannot approve on behalf of a member.
    """

    id: int
    name: str
    operator: str
    kind: Literal['approve'] = 'approve'


@dataclass(slots=True, kw_only=True)
class Drain:
    """Set or clear ``drained`` of an upstream by a change set.

    Parameters
    ----------
    change_id : str
        Identifies the change set across resends.
    """

    id: int
    change_id: str
    name: str
    operator: str
    drained: bool = True
    kind: Literal['drain'] = 'drain'


@dataclass(slots=True, kw_only=True)
class PromoteGroup:
    """Replace the primary of a group.

    Parameters
    ----------
    from_term : int
        Current term that the operator saw. A resend after the promotion is
        refused, because the term has changed.
    accept_loss : bool
        Promote even if too few databases answer to guarantee that every
        acknowledged write survives.
    """

    id: int
    group: str
    from_term: int
    operator: str
    accept_loss: bool = False
    kind: Literal['promote'] = 'promote'


@dataclass(slots=True, kw_only=True)
class Members:
    """Remove a member and, for an upstream, its entry in the database set.

    Parameters
    ----------
    member_id : str
        Identity that the operator saw under `name`. It prevents a resend
        from removing a later member of the same name.
    """

    id: int
    action: Literal['remove']
    name: str
    member_id: str
    operator: str
    kind: Literal['members'] = 'members'


@dataclass(slots=True, kw_only=True)
class OperatorAnswer:
    """Answer to an `OperatorRequest`.

    Parameters
    ----------
    status : {'accepted', 'rejected', 'done', 'refused'}
        The first two answer a change set, the others any other request.
    revision : int
        Current revision; the new one if a change set was accepted.
    version : int
        Current version of the published state.
    faults : list of Fault
        All reasons for a rejection.
    duplicate : bool
        The answer is the stored one of an earlier request.
    message : str
        Human-readable explanation.
    tables : list of Table
        Results of a query.
    data : dict, optional
        Complete state, for ``'dump'``.
    """

    id: int
    status: AnswerStatus
    revision: int = 0
    version: int = 0
    faults: list[Fault] = field(default_factory=list)
    duplicate: bool = False
    message: str = ''
    tables: list[Table] = field(default_factory=list)
    data: dict[str, Any] | None = None
    kind: Literal['operator_answer'] = 'operator_answer'


OperatorRequest = (
    Apply | Query | Check | Approve | Drain | PromoteGroup | Members
)
