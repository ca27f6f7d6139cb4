"""Commands of the replicated control log and their encoding."""

from __future__ import annotations

import dataclasses
import functools
from dataclasses import dataclass
from typing import Any
from typing import Literal

import cbor2
from pydantic import TypeAdapter
from pydantic import ValidationError

from jackdawpost.core.messages.operator import Operation
from jackdawpost.core.positions import LogPosition
from jackdawpost.errors import ProtocolError

Role = Literal['proxy', 'upstream']
RemovalReason = Literal['left', 'expired', 'operator']


@dataclass(slots=True, kw_only=True)
class ApplyChangeSet:
    """Apply a change set of an operator."""

    change_id: str
    base_revision: int
    operations: list[Operation]
    operator: str
    kind: Literal['apply_change_set'] = 'apply_change_set'


@dataclass(slots=True, kw_only=True)
class AnnounceMember:
    """A newcomer, or a known member whose address or figures changed.

    Parameters
    ----------
    member_id : str
        ``proxy_id`` of a proxy, ``data_id`` of an upstream.
    group, slots, connections : str, int, int
        Only for upstreams.
    registered : bool
        See `Member`.
    """

    role: Role
    name: str
    member_id: str
    host: str
    port: int
    data_centre: str
    group: str = ''
    slots: int = 0
    connections: int = 0
    registered: bool = False
    kind: Literal['announce_member'] = 'announce_member'


@dataclass(slots=True, kw_only=True)
class ApproveMember:
    """A member approves one newcomer identity."""

    member: str
    member_id: str
    newcomer: str
    newcomer_id: str
    checked: str
    version: int = 0
    kind: Literal['approve_member'] = 'approve_member'


@dataclass(slots=True, kw_only=True)
class RemoveMember:
    """A member or newcomer goes.

    Parameters
    ----------
    reason : {'left', 'expired', 'operator'}
        Only ``'operator'`` also gives up an upstream's place in the
        database set of its group.
    """

    name: str
    member_id: str
    reason: RemovalReason
    kind: Literal['remove_member'] = 'remove_member'


@dataclass(slots=True, kw_only=True)
class MarkLeaving:
    """A member starts to leave, or stays after all."""

    name: str
    member_id: str
    leaving: bool
    kind: Literal['mark_leaving'] = 'mark_leaving'


@dataclass(slots=True, kw_only=True)
class StartPromotion:
    """Begin to replace the primary of a group.

    Parameters
    ----------
    from_term : int
        Current term of the group.
    to_term : int
        Term of the new primary; higher than any term used before, including
        those of abandoned promotions.
    """

    group: str
    from_term: int
    to_term: int
    reason: str
    accept_loss: bool = False
    kind: Literal['start_promotion'] = 'start_promotion'


@dataclass(slots=True, kw_only=True)
class ChoosePrimary:
    """Record the upstream that is going to lead in `to_term`."""

    group: str
    to_term: int
    upstream: str
    data_id: str
    position: LogPosition
    kind: Literal['choose_primary'] = 'choose_primary'


@dataclass(slots=True, kw_only=True)
class FinishPromotion:
    """The chosen upstream leads; publish it."""

    group: str
    to_term: int
    kind: Literal['finish_promotion'] = 'finish_promotion'


@dataclass(slots=True, kw_only=True)
class AbandonPromotion:
    """Give up a promotion; its term is never used again."""

    group: str
    to_term: int
    reason: str
    kind: Literal['abandon_promotion'] = 'abandon_promotion'


@dataclass(slots=True, kw_only=True)
class AdmitDatabase:
    """A joined upstream has caught up and counts in its group's set."""

    group: str
    name: str
    data_id: str
    kind: Literal['admit_database'] = 'admit_database'


@dataclass(slots=True, kw_only=True)
class DeclareObject:
    """One object of a declared configuration."""

    type: str
    name: str
    body: dict[str, Any]


@dataclass(slots=True, kw_only=True)
class DeclareObjects:
    """Replace the operators' objects by a whole new set.

    Parameters
    ----------
    version : int
        Version that the operators gave it; the highest one is in force.
    document : bytes
        The configuration as it was received.
    """

    version: int
    document: bytes
    objects: list[DeclareObject]
    kind: Literal['declare_objects'] = 'declare_objects'


@dataclass(slots=True, kw_only=True)
class AdoptPrimary:
    """An upstream has proved that it leads already."""

    group: str
    upstream: str
    data_id: str
    kind: Literal['adopt_primary'] = 'adopt_primary'


@dataclass(slots=True, kw_only=True)
class DelegatePromotion:
    """Decide on a promotion that is ordered from outside.

    Parameters
    ----------
    token : int
        Fencing token of the order, higher than any used before.
    holder : str
        Control process that may give the order.
    """

    group: str
    token: int
    holder: str
    upstream: str
    data_id: str
    reason: str
    kind: Literal['delegate_promotion'] = 'delegate_promotion'


Command = (
    ApplyChangeSet
    | AnnounceMember
    | ApproveMember
    | RemoveMember
    | MarkLeaving
    | StartPromotion
    | ChoosePrimary
    | FinishPromotion
    | AbandonPromotion
    | AdmitDatabase
    | DeclareObjects
    | AdoptPrimary
    | DelegatePromotion
)

COMMAND_TYPES: dict[str, type[Any]] = {
    'apply_change_set': ApplyChangeSet,
    'announce_member': AnnounceMember,
    'approve_member': ApproveMember,
    'remove_member': RemoveMember,
    'mark_leaving': MarkLeaving,
    'start_promotion': StartPromotion,
    'choose_primary': ChoosePrimary,
    'finish_promotion': FinishPromotion,
    'abandon_promotion': AbandonPromotion,
    'admit_database': AdmitDatabase,
    'declare_objects': DeclareObjects,
    'adopt_primary': AdoptPrimary,
    'delegate_promotion': DelegatePromotion,
}


@functools.cache
def _adapter(kind: str) -> TypeAdapter[Any]:
    return TypeAdapter(COMMAND_TYPES[kind])


def encode_command(command: Command) -> bytes:
    """Encode a command as a log entry."""
    return cbor2.dumps(dataclasses.asdict(command))


def decode_command(data: bytes) -> Command:
    """Decode a log entry.

    Raises
    ------
    ProtocolError
        The entry is no valid command.
    """
    try:
        value = cbor2.loads(data)
        kind = value['kind']
        return _adapter(kind).validate_python(value)
    except (
        ValueError,
        TypeError,
        LookupError,
        cbor2.CBORError,
        ValidationError,
    ) as exc:
        raise ProtocolError(
            f'log entry of {len(data)} bytes is no command: {exc}; valid '
            f'kinds are {", ".join(COMMAND_TYPES)}'
        ) from exc
