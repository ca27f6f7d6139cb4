"""Commands of promotions that the deployment's platform carries out.

The control processes decide when to promote which upstream and send the
platform an order with a fencing token. The platform makes the upstream the
primary and fences the old primary.
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
    """Record the primary that the platform has set without an order.

    A running promotion continues, since the platform may still carry out
    its order. Without one, the group enters a new term, so that write leases
    on the earlier primary do not hold for this one.
    """
    refusal = _check_upstream(machine, command)
    if refusal is not None:
        return Applied(answer=refusal)
    group = machine.groups[command.group]
    group.primary = command.upstream
    group.primary_id = command.data_id
    group.final_position = None
    if group.promotion is None:
        group.last_term += 1
        group.term = group.last_term
    return _publish_group(machine, command.group)


def delegate_promotion(
    machine: ControlMachine, command: DelegatePromotion
) -> Applied:
    """Record a promotion and the fencing token of its order.

    It replaces a running promotion, whose order is fenced off by the higher
    token.
    """
    refusal = _check_upstream(machine, command)
    if refusal is not None:
        return Applied(answer=refusal)
    group = machine.groups[command.group]
    if command.token <= group.last_term:
        return Applied(
            answer=CommandRefused(
                code='stale_term',
                message=f'token {command.token} is too low: expected more '
                f'than {group.last_term}, the highest term or token used',
            )
        )
    group.last_term = command.token
    group.superseded_term = max(group.superseded_term, command.superseded_term)
    group.promotion = Promotion(
        step='chosen',
        from_term=group.term,
        to_term=command.token,
        reason=command.reason,
        chosen=command.upstream,
        data_id=command.data_id,
        delegated=True,
        holder=command.holder,
        replaces_other=group.promotion is not None,
    )
    return _publish_group(machine, command.group)


def _check_upstream(
    machine: ControlMachine, command: AdoptPrimary | DelegatePromotion
) -> CommandRefused | None:
    if command.group not in machine.groups:
        return CommandRefused(
            code='unknown_group',
            message=f'group {command.group!r} does not exist',
        )
    if not is_joined_upstream(
        machine, command.group, command.upstream, command.data_id
    ):
        return CommandRefused(
            code='not_joined',
            message=f'{command.upstream!r} with data identity '
            f'{command.data_id!r} is not a joined upstream of '
            f'{command.group!r}',
        )
    return None


def _publish_group(machine: ControlMachine, name: str) -> Applied:
    keys = [object_key('group', name)]
    return Applied(changed=publish_changes(machine, keys))
