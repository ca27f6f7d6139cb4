"""Commands of the replicated control log and their CBOR encoding.

The fields of these classes are stored in the log.
"""

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
    """Apply an operator's change set to the configuration objects.

    Parameters
    ----------
    change_id : str
        Identifier by which repeated requests are recognized.
    base_revision : int
        Revision that the operator's changes are based on.
    """

    change_id: str
    base_revision: int
    operations: list[Operation]
    operator: str
    kind: Literal['apply_change_set'] = 'apply_change_set'


@dataclass(slots=True, kw_only=True)
class AnnounceMember:
    """Announce a newcomer, or a new address or capacity of a member.

    Parameters
    ----------
    member_id : str
        ``proxy_id`` of a proxy, ``data_id`` of an upstream.
    group, slots, connections : str, int, int
        Only set for upstreams.
    registered : bool
        The upstream registered itself by HTTP requests; see `Member`.
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
    """Record that a member approves one identity of a newcomer.

    Parameters
    ----------
    member, member_id : str
        Name and identity of the approving member.
    checked : str
        What the member checked, as text for operators.
    version : int
        Published version that was in force on the member.
    """

    member: str
    member_id: str
    newcomer: str
    newcomer_id: str
    checked: str
    version: int = 0
    kind: Literal['approve_member'] = 'approve_member'


@dataclass(slots=True, kw_only=True)
class ApproveMembers:
    """Record approvals of several members or newcomers in one entry."""

    approvals: list[ApproveMember]
    kind: Literal['approve_members'] = 'approve_members'


@dataclass(slots=True, kw_only=True)
class RemoveMember:
    """Remove a member or newcomer.

    Parameters
    ----------
    reason : {'left', 'expired', 'operator'}
        Only ``'operator'`` also removes an upstream from the database set
        of its group.
    """

    name: str
    member_id: str
    reason: RemovalReason
    kind: Literal['remove_member'] = 'remove_member'


@dataclass(slots=True, kw_only=True)
class MarkLeaving:
    """Set or clear the leaving state of a member."""

    name: str
    member_id: str
    leaving: bool
    kind: Literal['mark_leaving'] = 'mark_leaving'


@dataclass(slots=True, kw_only=True)
class StartPromotion:
    """Start to replace the primary of a group.

    Parameters
    ----------
    from_term : int
        Current term of the group.
    to_term : int
        Term of the new primary. It must be higher than every term used
        before, including those of abandoned promotions.
    accept_loss : bool
        An operator allows the loss of acknowledged writes.
    """

    group: str
    from_term: int
    to_term: int
    reason: str
    accept_loss: bool = False
    kind: Literal['start_promotion'] = 'start_promotion'


@dataclass(slots=True, kw_only=True)
class ChoosePrimary:
    """Record the upstream chosen as the primary of `to_term`.

    Parameters
    ----------
    position : LogPosition
        Last position that the upstream had received when it was sealed.
    """

    group: str
    to_term: int
    upstream: str
    data_id: str
    position: LogPosition
    kind: Literal['choose_primary'] = 'choose_primary'


@dataclass(slots=True, kw_only=True)
class FinishPromotion:
    """Publish the chosen upstream, which now leads, as the primary."""

    group: str
    to_term: int
    kind: Literal['finish_promotion'] = 'finish_promotion'


@dataclass(slots=True, kw_only=True)
class AbandonPromotion:
    """Abandon a promotion. Its term is never used again.

    Parameters
    ----------
    may_lead : bool
        An order may have been carried out, or may still be, and nothing
        fences the old primary. It is not the primary any more then.
    """

    group: str
    to_term: int
    reason: str
    may_lead: bool = False
    kind: Literal['abandon_promotion'] = 'abandon_promotion'


@dataclass(slots=True, kw_only=True)
class AdmitDatabase:
    """Add an upstream to the set of its group after it has caught up."""

    group: str
    name: str
    data_id: str
    kind: Literal['admit_database'] = 'admit_database'


@dataclass(slots=True, kw_only=True)
class LimitFormerHolder:
    """Record the position above which a removed database holds nothing."""

    group: str
    name: str
    member_id: str
    limit: LogPosition
    kind: Literal['limit_former_holder'] = 'limit_former_holder'


@dataclass(slots=True, kw_only=True)
class RecordFinalPosition:
    """Record where the log of a group ends after its primary was demoted."""

    group: str
    position: LogPosition
    kind: Literal['record_final_position'] = 'record_final_position'


@dataclass(slots=True, kw_only=True)
class DeclareObject:
    """One object of a complete declared configuration."""

    type: str
    name: str
    body: dict[str, Any]


@dataclass(slots=True, kw_only=True)
class DeclareObjects:
    """Replace all configuration objects by a declared configuration.

    Parameters
    ----------
    version : int
        Version number assigned by the operators. The configuration with the
        highest version is in force.
    document : bytes
        Configuration document as received.
    """

    version: int
    document: bytes
    objects: list[DeclareObject]
    kind: Literal['declare_objects'] = 'declare_objects'


@dataclass(slots=True, kw_only=True)
class AdoptPrimary:
    """Record as the primary an upstream that has shown that it leads."""

    group: str
    upstream: str
    data_id: str
    kind: Literal['adopt_primary'] = 'adopt_primary'


@dataclass(slots=True, kw_only=True)
class DelegatePromotion:
    """Start a promotion that the deployment's platform carries out.

    Parameters
    ----------
    token : int
        Fencing token of the order to the platform. It must be higher than
        every term or token used before.
    holder : str
        Control process that is allowed to send the order.
    upstream, data_id : str
        Name and data identity of the upstream to promote.
    superseded_term : int
        Highest term of the databases that is known. The new primary leads in
        a higher one.
    """

    group: str
    token: int
    holder: str
    upstream: str
    data_id: str
    reason: str
    superseded_term: int = 0
    kind: Literal['delegate_promotion'] = 'delegate_promotion'


Command = (
    ApplyChangeSet
    | AnnounceMember
    | ApproveMember
    | ApproveMembers
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
    | LimitFormerHolder
    | RecordFinalPosition
)

COMMAND_TYPES: dict[str, type[Any]] = {
    'apply_change_set': ApplyChangeSet,
    'announce_member': AnnounceMember,
    'approve_member': ApproveMember,
    'approve_members': ApproveMembers,
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
    'limit_former_holder': LimitFormerHolder,
    'record_final_position': RecordFinalPosition,
}


@functools.cache
def _command_adapter(kind: str) -> TypeAdapter[Any]:
    return TypeAdapter(COMMAND_TYPES[kind])


def encode_command(command: Command) -> bytes:
    """Encode a command as a log entry."""
    return cbor2.dumps(dataclasses.asdict(command))


def decode_command(data: bytes) -> Command:
    """Decode a log entry.

    Raises
    ------
    ProtocolError
        The log entry is not a valid command.
    """
    try:
        value = cbor2.loads(data)
        kind = value['kind']
        return _command_adapter(kind).validate_python(value)
    except (
        ValueError,
        TypeError,
        LookupError,
        cbor2.CBORError,
        ValidationError,
    ) as exc:
        raise ProtocolError(
            f'log entry of {len(data)} bytes is not a valid command: {exc}; '
            f'accepted kinds are {", ".join(COMMAND_TYPES)}'
        ) from exc
