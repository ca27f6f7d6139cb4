"""Replicated steps of promotions that are ordered from outside.

The deployment's platform makes an upstream primary and fences the old one by
itself; the system decides when and whom, and orders it under a fencing token.
"""

from __future__ import annotations

from jackdawpost.core.control.commands import AdoptPrimary
from jackdawpost.core.control.commands import DelegatePromotion
from jackdawpost.core.control.database_sets import is_joined_upstream
from jackdawpost.core.control.publication import publish_changes
from jackdawpost.core.control.state import Applied
from jackdawpost.core.control.state import CommandRefused
from jackdawpost.core.control.state import ControlMachine
from jackdawpost.core.control.state import Promotion
from jackdawpost.core.objects.model import object_key


def adopt_primary(machine: ControlMachine, command: AdoptPrimary) -> Applied:
    """Record which upstream leads without a promotion of ours.

    A promotion under way stays: its order may still be carried out.
    """
    refusal = _refuse_unknown(machine, command)
    if refusal is not None:
        return Applied(answer=refusal)
    group = machine.groups[command.group]
    group.primary = command.upstream
    group.primary_id = command.data_id
    return _publish(machine, command.group)


def delegate_promotion(
    machine: ControlMachine, command: DelegatePromotion
) -> Applied:
    """Record a promotion and the token that it is ordered under.

    It replaces one under way: the higher token fences the order of that one.
    """
    refusal = _refuse_unknown(machine, command)
    if refusal is not None:
        return Applied(answer=refusal)
    group = machine.groups[command.group]
    if command.token <= group.last_term:
        return Applied(
            answer=CommandRefused(
                code='stale_term',
                message=f'token {command.token}: valid is above '
                f'{group.last_term}, the highest used so far',
            )
        )
    group.last_term = command.token
    group.promotion = Promotion(
        step='chosen',
        from_term=group.term,
        to_term=command.token,
        reason=command.reason,
        chosen=command.upstream,
        data_id=command.data_id,
        delegated=True,
        holder=command.holder,
    )
    return _publish(machine, command.group)


def _refuse_unknown(
    machine: ControlMachine, command: AdoptPrimary | DelegatePromotion
) -> CommandRefused | None:
    if command.group not in machine.groups:
        return CommandRefused(
            code='unknown_group', message=f'no group {command.group!r}'
        )
    if not is_joined_upstream(
        machine, command.group, command.upstream, command.data_id
    ):
        return CommandRefused(
            code='not_joined',
            message=f'{command.upstream!r} with identity '
            f'{command.data_id!r} is no joined upstream of '
            f'{command.group!r}',
        )
    return None


def _publish(machine: ControlMachine, name: str) -> Applied:
    keys = [object_key('group', name)]
    return Applied(changed=publish_changes(machine, keys))
