"""Conversion of operator requests to commands and of results to answers."""

from __future__ import annotations

import dataclasses

from jackdawpost.core.control.commands import ApplyChangeSet
from jackdawpost.core.control.commands import RemoveMember
from jackdawpost.core.control.commands import StartPromotion
from jackdawpost.core.control.membership import missing_approvals
from jackdawpost.core.control.state import ChangeAnswer
from jackdawpost.core.control.state import CommandRefused
from jackdawpost.core.control.state import ControlMachine
from jackdawpost.core.messages.operator import Action
from jackdawpost.core.messages.operator import AnswerStatus
from jackdawpost.core.messages.operator import Apply
from jackdawpost.core.messages.operator import Approve
from jackdawpost.core.messages.operator import Drain
from jackdawpost.core.messages.operator import Members
from jackdawpost.core.messages.operator import Operation
from jackdawpost.core.messages.operator import OperatorAnswer
from jackdawpost.core.messages.operator import PromoteGroup
from jackdawpost.core.messages.operator import Table
from jackdawpost.core.objects.change_sets import check_change_set
from jackdawpost.core.objects.change_sets import find_stored_answer

_DRAIN_ACTIONS: tuple[Action, ...] = ('create', 'amend')


def build_change(
    machine: ControlMachine, request: Apply
) -> ApplyChangeSet | OperatorAnswer:
    """Return the command for a change set, or the answer to a dry run."""
    command = ApplyChangeSet(
        change_id=request.change_id,
        base_revision=request.base_revision,
        operations=request.operations,
        operator=request.operator,
    )
    if request.dry_run:
        checked = check_change_set(machine, command)
        answer = answer_change(machine, request.id, checked)
        answer.message = 'dry run: the change set was checked but not applied'
        return answer
    return command


def build_drain(
    machine: ControlMachine, request: Drain
) -> ApplyChangeSet | OperatorAnswer:
    """Return the change set that drains an upstream, or an answer.

    A resent request gets the stored answer. The upstream's settings may have
    been created since, so the operation built now could differ from the
    first one and be rejected as another change with the same id.
    """
    member = machine.members.get(request.name)
    settings = machine.objects.upstreams.get(request.name)
    variants = [
        Operation(
            action=action,
            type='upstream',
            name=request.name,
            body={'drained': request.drained},
        )
        for action in _DRAIN_ACTIONS
    ]
    for variant in variants:
        stored = find_stored_answer(machine, request.change_id, [variant])
        if stored is not None and stored.duplicate:
            return answer_change(machine, request.id, stored)
    if settings is None and (member is None or member.role != 'upstream'):
        return answer_refusal(
            machine,
            request.id,
            f'{request.name!r} is not a joined upstream',
        )
    return ApplyChangeSet(
        change_id=request.change_id,
        base_revision=machine.revision,
        operations=variants[:1] if settings is None else variants[1:],
        operator=request.operator,
    )


def build_removal(
    machine: ControlMachine, request: Members
) -> RemoveMember | OperatorAnswer:
    """Return the command that removes a member, or a refusal."""
    if not request.member_id:
        return answer_refusal(
            machine,
            request.id,
            f'member_id is empty: expected the identity of {request.name!r}',
        )
    return RemoveMember(
        name=request.name, member_id=request.member_id, reason='operator'
    )


def build_promotion(
    machine: ControlMachine, request: PromoteGroup
) -> StartPromotion | OperatorAnswer:
    """Return the command that starts a promotion, or a refusal."""
    group = machine.groups.get(request.group)
    if group is None:
        return answer_refusal(
            machine, request.id, f'group {request.group!r} does not exist'
        )
    return StartPromotion(
        group=request.group,
        from_term=request.from_term,
        to_term=group.last_term + 1,
        reason=f'operator {request.operator}',
        accept_loss=request.accept_loss,
    )


def answer_approve(
    machine: ControlMachine, request: Approve
) -> OperatorAnswer:
    """Answer with the members whose approval is missing.

    The leader requests their approval again. An operator cannot approve in
    place of a member.
    """
    if request.name in machine.members:
        return _build_answer(
            machine, request.id, 'done', f'{request.name!r} has already joined'
        )
    if request.name not in machine.newcomers:
        return answer_refusal(
            machine,
            request.id,
            f'{request.name!r} is neither a member nor a newcomer',
        )
    answer = _build_answer(
        machine, request.id, 'done', 'missing approvals requested again'
    )
    answer.tables = [
        Table(
            name='missing',
            columns=['member'],
            rows=[[name] for name in missing_approvals(machine, request.name)],
        )
    ]
    return answer


def answer_change(
    machine: ControlMachine, request_id: int, change: ChangeAnswer
) -> OperatorAnswer:
    """Convert the result of a change set to a message."""
    status: AnswerStatus = 'accepted' if change.accepted else 'rejected'
    answer = _build_answer(machine, request_id, status, '')
    answer.revision = change.revision
    answer.faults = [dataclasses.replace(fault) for fault in change.faults]
    answer.duplicate = change.duplicate
    return answer


def answer_command(
    machine: ControlMachine, request_id: int, refused: CommandRefused | None
) -> OperatorAnswer:
    """Answer a removal or the start of a promotion."""
    if refused is None:
        return _build_answer(machine, request_id, 'done', '')
    return answer_refusal(
        machine, request_id, f'{refused.code}: {refused.message}'
    )


def answer_refusal(
    machine: ControlMachine, request_id: int, message: str
) -> OperatorAnswer:
    """Return the refusal of a request with its reason."""
    return _build_answer(machine, request_id, 'refused', message)


def _build_answer(
    machine: ControlMachine,
    request_id: int,
    status: AnswerStatus,
    message: str,
) -> OperatorAnswer:
    return OperatorAnswer(
        id=request_id,
        status=status,
        revision=machine.revision,
        version=machine.version,
        message=message,
    )
