"""Apply operators' change sets to the configuration objects.

A change set is a list of create, amend and delete operations. It is applied
only if the resulting configuration is valid as a whole. The answer is stored
under the change id, and a resent change set gets the stored answer.
"""

from __future__ import annotations

import dataclasses
import hashlib

import cbor2

from jackdawpost.core.control.commands import ApplyChangeSet
from jackdawpost.core.control.database_sets import add_to_new_groups
from jackdawpost.core.control.publication import publish_changes
from jackdawpost.core.control.state import Applied
from jackdawpost.core.control.state import ChangeAnswer
from jackdawpost.core.control.state import ControlMachine
from jackdawpost.core.control.state import GroupState
from jackdawpost.core.control.state import HistoryEntry
from jackdawpost.core.control.state import MAX_CHANGE_ANSWERS
from jackdawpost.core.control.state import MAX_HISTORY
from jackdawpost.core.control.state import StoredAnswer
from jackdawpost.core.messages.operator import Fault
from jackdawpost.core.messages.operator import Operation
from jackdawpost.core.objects.checks import Candidate
from jackdawpost.core.objects.checks import check_objects
from jackdawpost.core.objects.model import is_valid_name
from jackdawpost.core.objects.model import NAME_FORMAT
from jackdawpost.core.objects.model import object_body
from jackdawpost.core.objects.model import object_key
from jackdawpost.core.objects.model import OBJECT_TYPES
from jackdawpost.core.objects.model import parse_object

MAX_OPERATIONS = 1_000
MAX_ID_CHARS = 128
# 1,000 history entries of 1,000 lines each would not fit in one frame.
MAX_SUMMARY_LINES = 50

# The texts of faults and history entries, including those built in `checks`
# and `model`, are stored in the replicated state. They must not differ between
# releases that run side by side.


def apply_change_set(
    machine: ControlMachine, command: ApplyChangeSet
) -> Applied:
    """Apply a change set, or return the stored answer if it is a resend."""
    stored = find_stored_answer(machine, command.change_id, command.operations)
    if stored is not None:
        return Applied(answer=stored)
    fingerprint = _fingerprint(command.operations)
    candidate, faults = _validate(machine, command)
    if faults:
        answer = ChangeAnswer(
            change_id=command.change_id,
            accepted=False,
            revision=machine.revision,
            faults=faults,
        )
        _store_answer(machine, fingerprint, answer)
        return Applied(answer=answer)
    changed = _activate_objects(machine, command, candidate)
    answer = ChangeAnswer(
        change_id=command.change_id, accepted=True, revision=machine.revision
    )
    _store_answer(machine, fingerprint, answer)
    return Applied(answer=answer, changed=changed)


def check_change_set(
    machine: ControlMachine, command: ApplyChangeSet
) -> ChangeAnswer:
    """Validate a change set without applying it or storing an answer."""
    _, faults = _validate(machine, command)
    return ChangeAnswer(
        change_id=command.change_id,
        accepted=not faults,
        revision=machine.revision,
        faults=faults,
    )


def find_stored_answer(
    machine: ControlMachine, change_id: str, operations: list[Operation]
) -> ChangeAnswer | None:
    """Return the answer stored under a change id, or None.

    The base revision is not compared: if the first attempt was accepted, it
    raised the current revision, and a resend may name the new one.

    Returns
    -------
    ChangeAnswer, optional
        The stored answer marked as duplicate, or a rejection if the id was
        used for other operations.
    """
    stored = machine.answers.get(change_id)
    if stored is None:
        return None
    if stored.fingerprint == _fingerprint(operations):
        return dataclasses.replace(stored.answer, duplicate=True)
    outcome = 'accepted' if stored.answer.accepted else 'rejected'
    message = (
        f'{change_id!r}: used before for other operations, {outcome} '
        f'at revision {stored.answer.revision}; valid is a new id'
    )
    return ChangeAnswer(
        change_id=change_id,
        accepted=False,
        revision=machine.revision,
        faults=[Fault(object='', field='change_id', message=message)],
    )


def apply_operations(
    machine: ControlMachine, operations: list[Operation]
) -> tuple[Candidate, list[Fault]]:
    """Apply operations to a copy of the objects and check the whole result.

    Parameters
    ----------
    machine : ControlMachine
        State to read; it is not changed.
    operations : list of Operation
        Operations of one change set.

    Returns
    -------
    tuple
        The resulting objects and all faults. The objects may be activated
        only if there are no faults.
    """
    candidate = Candidate(objects=machine.objects.copy())
    faults = []
    if not 1 <= len(operations) <= MAX_OPERATIONS:
        message = f'{len(operations)}: valid are 1 to {MAX_OPERATIONS}'
        faults.append(Fault(object='', field='operations', message=message))
    for operation in operations[:MAX_OPERATIONS]:
        faults.extend(_apply_operation(candidate, operation))
    faults.extend(check_objects(machine, candidate))
    return candidate, faults


def _validate(
    machine: ControlMachine, command: ApplyChangeSet
) -> tuple[Candidate, list[Fault]]:
    if command.base_revision != machine.revision:
        fault = _build_stale_base_fault(machine, command.base_revision)
        return Candidate(objects=machine.objects), [fault]
    faults = _check_text_lengths(command)
    candidate, more_faults = apply_operations(machine, command.operations)
    return candidate, faults + more_faults


def _build_stale_base_fault(machine: ControlMachine, base: int) -> Fault:
    message = f'{base}: the current revision is {machine.revision}'
    if base < machine.revision and machine.history:
        conflicting = next(
            (e for e in machine.history if e.revision == base + 1),
            machine.history[-1],
        )
        message += (
            f'; change {conflicting.change_id!r} of {conflicting.operator!r} '
            f'made revision {conflicting.revision}'
        )
    return Fault(object='', field='base_revision', message=message)


def _check_text_lengths(command: ApplyChangeSet) -> list[Fault]:
    faults = []
    for field in ('change_id', 'operator'):
        value = getattr(command, field)
        if not 1 <= len(value) <= MAX_ID_CHARS:
            message = f'{len(value)} characters: valid are 1 to {MAX_ID_CHARS}'
            faults.append(Fault(object='', field=field, message=message))
    return faults


def _apply_operation(
    candidate: Candidate, operation: Operation
) -> list[Fault]:
    # Faults are stored with the answer, so names in them are truncated.
    key = object_key(operation.type[:80], operation.name[:80])
    if operation.type not in OBJECT_TYPES:
        message = (
            f'{operation.type!r:.80}: valid are {", ".join(OBJECT_TYPES)}'
        )
        return [Fault(object=key, field='type', message=message)]
    if not is_valid_name(operation.name):
        message = f'{operation.name!r:.80}: valid are {NAME_FORMAT}'
        return [Fault(object=key, field='name', message=message)]
    if key in candidate.touched:
        message = 'named by more than one operation'
        return [Fault(object=key, field='', message=message)]
    candidate.touched.add(key)
    return _change_object(candidate, operation, key)


def _change_object(
    candidate: Candidate, operation: Operation, key: str
) -> list[Fault]:
    table = candidate.objects.table(operation.type)
    current = table.get(operation.name)
    if operation.action == 'create' and current is not None:
        return [Fault(object=key, field='', message='exists already')]
    if operation.action != 'create' and current is None:
        return [Fault(object=key, field='', message='does not exist')]
    if operation.action == 'delete':
        del table[operation.name]
        candidate.deleted.add(key)
        if operation.body:
            message = 'valid is an empty body for delete'
            return [Fault(object=key, field='body', message=message)]
        return []
    body = {} if current is None else object_body(current)
    body.update(operation.body)
    # A null value resets a field to its default.
    body = {name: value for name, value in body.items() if value is not None}
    item, faults = parse_object(operation.type, operation.name, body)
    if faults:
        candidate.broken.add(key)
    if item is None:
        table.pop(operation.name, None)
    else:
        table[operation.name] = item
    return faults


def _activate_objects(
    machine: ControlMachine, command: ApplyChangeSet, candidate: Candidate
) -> bool:
    machine.objects = candidate.objects
    machine.revision += 1
    reconcile_group_states(machine)
    machine.history.append(
        HistoryEntry(
            revision=machine.revision,
            change_id=command.change_id,
            operator=command.operator,
            summary=_summarize(command.operations),
        )
    )
    del machine.history[:-MAX_HISTORY]
    # A change to an allowance also changes those that fall back on it.
    allowances = [
        object_key('allowance', name) for name in machine.objects.allowances
    ]
    return publish_changes(machine, [*candidate.touched, *allowances])


def _summarize(operations: list[Operation]) -> list[str]:
    lines = [
        f'{item.action} {object_key(item.type, item.name)}'
        for item in operations[:MAX_SUMMARY_LINES]
    ]
    if len(operations) > MAX_SUMMARY_LINES:
        lines.append(f'{len(operations) - MAX_SUMMARY_LINES} more')
    return lines


def reconcile_group_states(machine: ControlMachine) -> None:
    """Create, retire or restore group states to match the group objects.

    The state of a deleted group is retained and restored if a group of the
    same name is created again.
    """
    configured = machine.objects.groups
    for name in [name for name in machine.groups if name not in configured]:
        machine.retired_groups[name] = machine.groups.pop(name)
    created = sorted(name for name in configured if name not in machine.groups)
    for name in created:
        machine.groups[name] = machine.retired_groups.pop(name, GroupState())
    if created:
        for name in sorted(machine.members):
            add_to_new_groups(machine, machine.members[name])


def _store_answer(
    machine: ControlMachine, fingerprint: bytes, answer: ChangeAnswer
) -> None:
    if not 1 <= len(answer.change_id) <= MAX_ID_CHARS:
        return
    machine.answers[answer.change_id] = StoredAnswer(
        fingerprint=fingerprint, answer=answer
    )
    while len(machine.answers) > MAX_CHANGE_ANSWERS:
        del machine.answers[next(iter(machine.answers))]


def _fingerprint(operations: list[Operation]) -> bytes:
    plain = [dataclasses.asdict(operation) for operation in operations]
    return hashlib.sha256(cbor2.dumps(plain, canonical=True)).digest()
