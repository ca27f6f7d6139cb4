"""Messages between an operator's program and a control process."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import ClassVar
from typing import Literal

from pydantic import ConfigDict
from pydantic import JsonValue

Action = Literal['create', 'amend', 'delete']
Topic = Literal['status', 'get', 'history', 'dump', 'members', 'diff']
AnswerStatus = Literal['accepted', 'rejected', 'done', 'refused']


@dataclass(slots=True, kw_only=True)
class Operation:
    """One operation of a change set.

    Parameters
    ----------
    action : {'create', 'amend', 'delete'}
        ``'amend'`` replaces only the fields in `body`; a null resets a
        field to its default.
    type : str
        ``'group'``, ``'upstream'``, ``'rule'``, ``'allowance'`` or
        ``'limit'``.
    body : dict
        Fields of the object; empty for ``'delete'``. Only JSON values:
        others, such as CBOR tags, may not survive the replicated log.
    """

    # Without this a misspelt "body" of a nested operation is ignored and an
    # amend without effect is accepted.
    __pydantic_config__: ClassVar[ConfigDict] = ConfigDict(extra='forbid')

    action: Action
    type: str
    name: str
    body: dict[str, JsonValue] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class Fault:
    """One reason why a change set is rejected.

    Parameters
    ----------
    object : str
        ``TYPE/NAME`` of the object, empty for the change set itself.
    field : str
        Field with the fault, empty for the whole object.
    """

    object: str
    field: str
    message: str


@dataclass(slots=True, kw_only=True)
class Table:
    """Plain data for people and programs: named columns and rows."""

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
        Only validate; nothing is recorded under `change_id`.
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
    """Ask for state.

    Parameters
    ----------
    what : {'status', 'get', 'history', 'dump', 'members', 'diff'}
        Topic of the query.
    type : str
        For ``'get'``: type of the objects, empty for all.
    name : str
        For ``'get'``: name of one object, empty for all of the type.
    operations : list of Operation
        For ``'diff'``: the change set to compare with the objects in force.
    """

    id: int
    what: Topic
    type: str = ''
    name: str = ''
    operations: list[Operation] = field(default_factory=list)
    kind: Literal['query'] = 'query'


@dataclass(slots=True, kw_only=True)
class Approve:
    """Ask the members whose approval is missing again.

    An operator cannot approve in a member's place.
    """

    id: int
    name: str
    operator: str
    kind: Literal['approve'] = 'approve'


@dataclass(slots=True, kw_only=True)
class Drain:
    """Set or clear ``drained`` of an upstream, as a change set.

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
        Term that the operator saw; a resend after the promotion is refused
        because the term has moved on.
    accept_loss : bool
        Promote even if too few databases answer to be sure that every
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
    """Remove a member and, for an upstream, its place in the database set.

    Parameters
    ----------
    member_id : str
        Identity that the operator saw under `name`, so that a resend does
        not remove a successor of the same name.
    """

    id: int
    action: Literal['remove']
    name: str
    member_id: str
    operator: str
    kind: Literal['members'] = 'members'


@dataclass(slots=True, kw_only=True)
class OperatorAnswer:
    """Answer to any operator message.

    Parameters
    ----------
    status : {'accepted', 'rejected', 'done', 'refused'}
        The first two answer a change set, the others everything else.
    revision : int
        Current revision; after an accept the new one.
    version : int
        Current published version.
    faults : list of Fault
        Every reason of a reject.
    duplicate : bool
        This is the stored answer to an earlier request.
    message : str
        Explanation for people.
    tables : list of Table
        Results of queries.
    data : dict, optional
        Whole state, for ``'dump'``.
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


OperatorRequest = Apply | Query | Approve | Drain | PromoteGroup | Members
