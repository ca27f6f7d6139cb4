"""Replicated state machine of the control processes.

It is deterministic: the same commands applied in the same order produce
equal states and identical snapshots in every process.
"""

from __future__ import annotations

import copy
import functools
from collections.abc import Callable
from typing import Any

import cbor2
from pydantic import TypeAdapter
from pydantic import ValidationError

from jackdawpost.core.control.commands import Command
from jackdawpost.core.control.database_sets import admit_database
from jackdawpost.core.control.database_sets import limit_former_holder
from jackdawpost.core.control.database_sets import record_final_position
from jackdawpost.core.control.delegated_steps import adopt_primary
from jackdawpost.core.control.delegated_steps import delegate_promotion
from jackdawpost.core.control.membership import announce_member
from jackdawpost.core.control.membership import approve_member
from jackdawpost.core.control.membership import approve_members
from jackdawpost.core.control.membership import mark_leaving
from jackdawpost.core.control.membership import remove_member
from jackdawpost.core.control.promotion_steps import abandon_promotion
from jackdawpost.core.control.promotion_steps import choose_primary
from jackdawpost.core.control.promotion_steps import finish_promotion
from jackdawpost.core.control.promotion_steps import start_promotion
from jackdawpost.core.control.publication import update_since
from jackdawpost.core.control.state import Applied
from jackdawpost.core.control.state import ControlMachine
from jackdawpost.core.objects.change_sets import apply_change_set
from jackdawpost.core.objects.declared import declare_objects
from jackdawpost.errors import StorageError

__all__ = [
    'Applied',
    'ControlMachine',
    'apply_command',
    'decode_snapshot',
    'encode_snapshot',
    'new_machine',
    'update_since',
]

SNAPSHOT_FORMAT = 4
# Fields of the state of a group that each earlier format lacks.
_MISSING_GROUP_FIELDS: dict[int, dict[str, Any]] = {
    1: {'former_holders': [], 'final_position': None},
    2: {'final_position': None},
    3: {},
}

_APPLY_FUNCTIONS: dict[str, Callable[[ControlMachine, Any], Applied]] = {
    'apply_change_set': apply_change_set,
    'announce_member': announce_member,
    'approve_member': approve_member,
    'approve_members': approve_members,
    'remove_member': remove_member,
    'mark_leaving': mark_leaving,
    'start_promotion': start_promotion,
    'choose_primary': choose_primary,
    'finish_promotion': finish_promotion,
    'abandon_promotion': abandon_promotion,
    'admit_database': admit_database,
    'declare_objects': declare_objects,
    'adopt_primary': adopt_primary,
    'delegate_promotion': delegate_promotion,
    'limit_former_holder': limit_former_holder,
    'record_final_position': record_final_position,
}


@functools.cache
def _snapshot_adapter() -> TypeAdapter[ControlMachine]:
    return TypeAdapter(ControlMachine)


def new_machine() -> ControlMachine:
    """Return the initial state, before any command has been applied."""
    return ControlMachine()


def apply_command(
    machine: ControlMachine, index: int, command: Command
) -> Applied:
    """Apply one committed command to the state in place.

    Parameters
    ----------
    machine : ControlMachine
        State to change.
    index : int
        Log index of the command.
    command : Command
        Decoded command. It is neither modified nor retained.

    Returns
    -------
    Applied
        Answer to the command, whether the published state changed, and the
        newcomers that joined.
    """
    machine.applied_index = index
    return _APPLY_FUNCTIONS[command.kind](machine, command)


def encode_snapshot(machine: ControlMachine) -> bytes:
    """Encode the whole state. Equal states produce identical bytes."""
    # Canonical CBOR is not used because it would sort the mappings whose
    # order decides which answers and tombstones are dropped first.
    value = _snapshot_adapter().dump_python(machine)
    return cbor2.dumps([SNAPSHOT_FORMAT, value])


def decode_snapshot(data: bytes) -> ControlMachine:
    """Restore the state from a snapshot.

    Raises
    ------
    StorageError
        The bytes are not a snapshot in the supported format, or the
        snapshot was written by another release with other fields.
    """
    try:
        format_number, value = cbor2.loads(data)
        if format_number in _MISSING_GROUP_FIELDS:
            _add_group_fields(value, _MISSING_GROUP_FIELDS[format_number])
            _add_tenants(value)
            format_number = SNAPSHOT_FORMAT
            data = cbor2.dumps([SNAPSHOT_FORMAT, value])
        if format_number != SNAPSHOT_FORMAT:
            raise ValueError(
                f'format {format_number!r} is not supported; the accepted '
                f'formats are 1 to {SNAPSHOT_FORMAT}'
            )
        machine = _snapshot_adapter().validate_python(value)
    except (
        ValueError,
        TypeError,
        LookupError,
        AttributeError,
        cbor2.CBORError,
        ValidationError,
    ) as exc:
        raise StorageError(
            f'snapshot of {len(data)} bytes cannot be decoded: {exc}'
        ) from exc
    # Decoding ignores fields of a later release and fills in the defaults of
    # missing ones. The states of the processes would then diverge.
    if encode_snapshot(machine) != data:
        raise StorageError(
            f'snapshot of {len(data)} bytes has unknown or missing fields; '
            'it must have been written by a release with the same fields'
        )
    return machine


def _add_group_fields(value: Any, fields: dict[str, Any]) -> None:
    """Convert the value of a snapshot in an earlier format."""
    for groups in (value['groups'], value['retired_groups']):
        for group in groups.values():
            group.update(copy.deepcopy(fields))


def _add_tenants(value: Any) -> None:
    """Convert the value of a snapshot from before there were tenants."""
    objects = value['objects']
    objects['tenants'] = {}
    for endpoint in objects['endpoints'].values():
        endpoint['public'] = True
