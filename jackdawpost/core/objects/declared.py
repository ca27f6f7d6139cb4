"""Apply complete configurations that operators declare under a version.

A declared configuration replaces all objects, unlike a change set, which
changes some of them.
"""

from __future__ import annotations

from jackdawpost.core.control.commands import DeclareObject
from jackdawpost.core.control.commands import DeclareObjects
from jackdawpost.core.control.publication import all_keys
from jackdawpost.core.control.publication import publish_changes
from jackdawpost.core.control.state import Applied
from jackdawpost.core.control.state import ChangeAnswer
from jackdawpost.core.control.state import ControlMachine
from jackdawpost.core.control.state import DeclaredConfig
from jackdawpost.core.control.state import HistoryEntry
from jackdawpost.core.control.state import MAX_HISTORY
from jackdawpost.core.messages.operator import Fault
from jackdawpost.core.objects.change_sets import reconcile_group_states
from jackdawpost.core.objects.checks import Candidate
from jackdawpost.core.objects.checks import check_objects
from jackdawpost.core.objects.model import object_key
from jackdawpost.core.objects.model import OBJECT_TYPES
from jackdawpost.core.objects.model import ObjectSet
from jackdawpost.core.objects.model import parse_object


def declare_objects(
    machine: ControlMachine, command: DeclareObjects
) -> Applied:
    """Activate a declared configuration if its version is the highest.

    A valid configuration whose version is not higher than the active one is
    accepted without effect and answered as a duplicate: it is a resend, or a
    higher version has been declared in the meantime. A configuration that
    changes nothing in the published state is answered as a duplicate, too.
    """
    candidate, faults = check_declared(machine, command.objects)
    change_id = f'declared-{command.version}'
    if faults:
        answer = ChangeAnswer(
            change_id=change_id,
            accepted=False,
            revision=machine.revision,
            faults=faults,
        )
        return Applied(answer=answer)
    changed = False
    declared = machine.declared
    if declared is None or command.version > declared.version:
        changed = _activate_objects(machine, command, candidate, change_id)
    answer = ChangeAnswer(
        change_id=change_id,
        accepted=True,
        revision=machine.revision,
        duplicate=not changed,
    )
    return Applied(answer=answer, changed=changed)


def check_declared(
    machine: ControlMachine, objects: list[DeclareObject]
) -> tuple[Candidate, list[Fault]]:
    """Validate a declared configuration as a whole.

    Returns
    -------
    tuple
        The resulting objects and all faults. The objects may be activated
        only if there are no faults.
    """
    candidate = Candidate(objects=ObjectSet())
    faults: list[Fault] = []
    for declared in objects:
        faults.extend(_add_object(candidate, declared))
    faults.extend(check_objects(machine, candidate))
    return candidate, faults


def _add_object(candidate: Candidate, declared: DeclareObject) -> list[Fault]:
    key = object_key(declared.type[:80], declared.name[:80])
    if declared.type not in OBJECT_TYPES:
        message = f'{declared.type!r:.80}: valid are {", ".join(OBJECT_TYPES)}'
        return [Fault(object=key, field='type', message=message)]
    table = candidate.objects.table(declared.type)
    if declared.name in table:
        return [Fault(object=key, field='name', message='is used twice')]
    item, faults = parse_object(declared.type, declared.name, declared.body)
    candidate.touched.add(key)
    if faults:
        candidate.broken.add(key)
    if item is not None:
        table[declared.name] = item
    return faults


def _activate_objects(
    machine: ControlMachine,
    command: DeclareObjects,
    candidate: Candidate,
    change_id: str,
) -> bool:
    """Replace all objects; return whether the published state changed."""
    before = all_keys(machine)
    machine.objects = candidate.objects
    machine.revision += 1
    machine.declared = DeclaredConfig(
        version=command.version, document=command.document
    )
    reconcile_group_states(machine)
    machine.history.append(
        HistoryEntry(
            revision=machine.revision,
            change_id=change_id,
            operator='declared',
            summary=[f'version {command.version}'],
        )
    )
    del machine.history[:-MAX_HISTORY]
    return publish_changes(machine, before | all_keys(machine))
