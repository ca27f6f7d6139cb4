"""Commands of a promotion: start, choose, finish, abandon.

A command that does not match the current step is refused and changes
nothing. Repeated commands and commands of a former leader are therefore
harmless.
"""

from __future__ import annotations

from jackdawpost.core.control.commands import AbandonPromotion
from jackdawpost.core.control.commands import ChoosePrimary
from jackdawpost.core.control.commands import FinishPromotion
from jackdawpost.core.control.commands import StartPromotion
from jackdawpost.core.control.database_sets import is_joined_upstream
from jackdawpost.core.control.publication import publish_changes
from jackdawpost.core.control.state import Applied
from jackdawpost.core.control.state import CommandRefused
from jackdawpost.core.control.state import ControlMachine
from jackdawpost.core.control.state import GroupState
from jackdawpost.core.control.state import Promotion
from jackdawpost.core.positions import LogPosition


def start_promotion(
    machine: ControlMachine, command: StartPromotion
) -> Applied:
    """Start a promotion. The group has no published primary until it ends.

    A promotion that accepts loss replaces a running one that does not and
    has not chosen a primary yet, since that one may be waiting for
    databases that never answer.
    """
    group = machine.groups.get(command.group)
    if group is None:
        return _refuse(
            'unknown_group', f'group {command.group!r} does not exist'
        )
    if group.promotion is not None and not _may_replace(
        group.promotion, command
    ):
        return _refuse(
            'promotion_running',
            f'a promotion of group {command.group!r} to term '
            f'{group.promotion.to_term} is running',
        )
    if command.from_term != group.term:
        return _refuse(
            'stale_term',
            f'from_term {command.from_term}: expected the term of group '
            f'{command.group!r}, {group.term}',
        )
    if command.to_term <= group.last_term:
        return _refuse(
            'stale_term',
            f'to_term {command.to_term} is too low: expected more than '
            f'{group.last_term}, the highest term used',
        )
    group.last_term = command.to_term
    group.promotion = Promotion(
        step='started',
        from_term=command.from_term,
        to_term=command.to_term,
        reason=command.reason,
        accept_loss=command.accept_loss,
    )
    return _publish_group(machine, command.group)


def _may_replace(running: Promotion, command: StartPromotion) -> bool:
    return (
        command.accept_loss
        and not running.accept_loss
        and running.step == 'started'
    )


def choose_primary(machine: ControlMachine, command: ChoosePrimary) -> Applied:
    """Record the upstream chosen as the new primary."""
    result = _find_promotion(machine, command.group, command.to_term)
    if isinstance(result, Applied):
        return result
    group, promotion = result
    if promotion.step != 'started':
        return _refuse(
            'wrong_step',
            f'{promotion.chosen!r} is chosen already as the new primary',
        )
    name, data_id = command.upstream, command.data_id
    if not is_joined_upstream(machine, command.group, name, data_id):
        return _refuse_not_joined(command.group, name, data_id)
    in_set = group.database_set.get(name) == data_id
    if not in_set and not promotion.accept_loss:
        return _refuse(
            'not_in_set',
            f'{name!r} with data identity {data_id!r} is not in the database '
            f'set of {command.group!r}',
        )
    promotion.step = 'chosen'
    promotion.chosen = name
    promotion.data_id = data_id
    promotion.position = LogPosition(*command.position)
    return Applied()


def finish_promotion(
    machine: ControlMachine, command: FinishPromotion
) -> Applied:
    """Publish the chosen upstream as the primary in the new term."""
    result = _find_promotion(machine, command.group, command.to_term)
    if isinstance(result, Applied):
        return result
    group, promotion = result
    if promotion.step != 'chosen' or promotion.chosen is None:
        return _refuse(
            'wrong_step', 'no upstream is chosen yet as the new primary'
        )
    name, data_id = promotion.chosen, promotion.data_id
    if not is_joined_upstream(machine, command.group, name, data_id):
        return _refuse_not_joined(command.group, name, data_id)
    group.term = promotion.to_term
    group.primary = name
    group.primary_id = data_id
    group.database_set[name] = data_id
    group.promotion = None
    # The new primary holds every acknowledged commit.
    group.former_holders.clear()
    group.final_position = None
    return _publish_group(machine, command.group)


def abandon_promotion(
    machine: ControlMachine, command: AbandonPromotion
) -> Applied:
    """Abandon a running promotion.

    If no upstream has been chosen, the old primary is published again.
    Otherwise the group has no primary until the next promotion, since the
    chosen upstream may already lead. A delegated promotion changes the
    recorded primary only if an order may take effect unnoticed: otherwise the
    reports of the proxies show which upstream leads. The group enters a new
    term then, since the write leases of the old one have been revoked.
    """
    result = _find_promotion(machine, command.group, command.to_term)
    if isinstance(result, Applied):
        return result
    group, promotion = result
    is_chosen = promotion.step == 'chosen' and not promotion.delegated
    if is_chosen or command.may_lead:
        group.primary = None
        group.primary_id = ''
    if promotion.delegated:
        group.term = promotion.to_term
    group.promotion = None
    return _publish_group(machine, command.group)


def _find_promotion(
    machine: ControlMachine, group_name: str, to_term: int
) -> tuple[GroupState, Promotion] | Applied:
    group = machine.groups.get(group_name)
    if group is None:
        return _refuse('unknown_group', f'group {group_name!r} does not exist')
    if group.promotion is None:
        return _refuse(
            'no_promotion', f'no promotion of group {group_name!r} is running'
        )
    if group.promotion.to_term != to_term:
        return _refuse(
            'stale_term',
            f'to_term {to_term}: expected that of the running promotion of '
            f'group {group_name!r}, {group.promotion.to_term}',
        )
    return group, group.promotion


def _publish_group(machine: ControlMachine, name: str) -> Applied:
    return Applied(changed=publish_changes(machine, [f'group/{name}']))


def _refuse(code: str, message: str) -> Applied:
    return Applied(answer=CommandRefused(code=code, message=message))


def _refuse_not_joined(group: str, name: str, data_id: str) -> Applied:
    return _refuse(
        'not_joined',
        f'{name!r} with data identity {data_id!r} is not a joined upstream '
        f'of {group!r}',
    )
