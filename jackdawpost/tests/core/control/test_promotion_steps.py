"""Promotions interrupted at each step, and the database set of a group."""

from __future__ import annotations

import pytest

from jackdawpost.core.control.commands import AbandonPromotion
from jackdawpost.core.control.commands import ChoosePrimary
from jackdawpost.core.control.commands import FinishPromotion
from jackdawpost.core.control.commands import StartPromotion
from jackdawpost.core.control.machine import decode_snapshot
from jackdawpost.core.control.machine import encode_snapshot
from jackdawpost.core.control.state import promotion_quorum
from jackdawpost.core.positions import LogPosition
from jackdawpost.tests.core.control.machine_driver import build_group
from jackdawpost.tests.core.control.machine_driver import operation


def _start(from_term, to_term, accept_loss=False):
    return StartPromotion(
        group='orders',
        from_term=from_term,
        to_term=to_term,
        reason='silent',
        accept_loss=accept_loss,
    )


def _choose(to_term, upstream, data_id=None):
    return ChoosePrimary(
        group='orders',
        to_term=to_term,
        upstream=upstream,
        data_id=data_id or f'{upstream}-data',
        position=LogPosition(1, 9),
    )


def _finish(to_term):
    return FinishPromotion(group='orders', to_term=to_term)


def _abandon(to_term):
    return AbandonPromotion(group='orders', to_term=to_term, reason='late')


def _group_with_primary():
    driver = build_group()
    for command in (_start(0, 1), _choose(1, 'db-1'), _finish(1)):
        assert driver.run(command).answer is None
    return driver


def _published(driver):
    body = driver.machine.published['group/orders'].body
    return body['term'], body['primary']


def test_no_primary_is_published_while_a_promotion_runs():
    # Guards against proxies that write to a primary which is being replaced.
    driver = _group_with_primary()
    assert _published(driver) == (1, 'db-1')
    assert driver.run(_start(1, 2)).changed
    assert _published(driver) == (1, None)
    driver.run(_choose(2, 'db-2'))
    assert _published(driver) == (1, None)
    assert driver.run(_finish(2)).changed
    assert _published(driver) == (2, 'db-2')


STEPS = [_start(1, 2), _choose(2, 'db-2'), _finish(2)]


@pytest.mark.parametrize('done', [0, 1, 2, 3])
def test_commands_for_another_step_are_refused(done):
    # Guards against effects of a repeated command or one of a former leader,
    # and against a step that a snapshot does not contain.
    driver = _group_with_primary()
    for command in STEPS[:done]:
        assert driver.run(command).answer is None
    driver.machine = decode_snapshot(encode_snapshot(driver.machine))
    before = driver.state_without_index()
    refused_commands = [
        *STEPS[:done],
        *STEPS[done + 1 :],
        _start(0, 5),
        _choose(1, 'db-3'),
        _finish(1),
        _finish(3),
        _abandon(1),
        _abandon(3),
    ]
    if done:
        refused_commands.append(_start(1, 3))
    for command in refused_commands:
        applied = driver.run(command)
        assert applied.answer is not None and not applied.changed, command
        assert driver.state_without_index() == before, command
    for command in STEPS[done:]:
        assert driver.run(command).answer is None
    assert _published(driver) == (2, 'db-2')


def test_abandoned_term_is_never_used_again():
    # Guards against a second primary in a term in which upstreams are sealed.
    driver = _group_with_primary()
    driver.run(_start(1, 2))
    assert driver.run(_abandon(2)).changed
    assert _published(driver) == (1, 'db-1')
    assert driver.run(_start(1, 2)).answer.code == 'stale_term'
    assert driver.run(_start(1, 3)).answer is None


def test_abandoning_after_the_choice_leaves_no_primary():
    # Guards against publishing the old primary again although the chosen
    # upstream may already lead.
    driver = _group_with_primary()
    driver.run(_start(1, 2))
    driver.run(_choose(2, 'db-2'))
    driver.run(_abandon(2))
    assert _published(driver) == (1, None)
    for command in (_start(1, 3), _choose(3, 'db-3'), _finish(3)):
        assert driver.run(command).answer is None
    assert _published(driver) == (3, 'db-3')


@pytest.mark.parametrize(
    ('upstream', 'data_id', 'code'),
    [
        ('db-2', 'wiped', 'not_joined'),
        ('db-9', None, 'not_joined'),
        ('db-4', None, 'not_in_set'),
    ],
)
def test_only_a_database_of_the_set_can_be_chosen(upstream, data_id, code):
    # Guards against promoting a database that lacks acknowledged writes.
    driver = _group_with_primary()
    driver.join('db-4', 'db-4-data', 'orders')
    driver.run(_start(1, 2))
    assert driver.run(_choose(2, upstream, data_id)).answer.code == code


def test_accepted_loss_allows_a_database_outside_the_set():
    # Guards against a group without a primary after all databases of its set
    # have been lost.
    driver = _group_with_primary()
    driver.join('db-4', 'db-4-data', 'orders')
    driver.run(_start(1, 2, accept_loss=True))
    assert driver.run(_choose(2, 'db-4')).answer is None
    driver.run(_finish(2))
    assert driver.machine.groups['orders'].database_set['db-4'] == 'db-4-data'


def test_accepted_loss_replaces_a_promotion_that_waits_for_databases():
    # Guards against a waiting promotion that blocks the operator, and against
    # two promotions that choose a primary for the same term.
    driver = _group_with_primary()
    driver.run(_start(1, 2))
    assert driver.run(_start(1, 3, accept_loss=True)).answer is None
    assert _published(driver) == (1, None)
    assert driver.run(_choose(2, 'db-2')).answer.code == 'stale_term'
    second = driver.run(_start(1, 4, accept_loss=True))
    assert second.answer.code == 'promotion_running'
    for command in (_choose(3, 'db-3'), _finish(3)):
        assert driver.run(command).answer is None
    driver.run(_start(3, 4))
    driver.run(_choose(4, 'db-2'))
    after_choice = driver.run(_start(3, 5, accept_loss=True))
    assert after_choice.answer.code == 'promotion_running'


def test_expired_chosen_upstream_is_not_published():
    # Guards against publishing an unreachable primary.
    driver = _group_with_primary()
    driver.run(_start(1, 2))
    driver.run(_choose(2, 'db-2'))
    driver.remove('db-2', 'db-2-data', 'expired')
    assert driver.run(_finish(2)).answer.code == 'not_joined'
    assert driver.run(_abandon(2)).answer is None


def test_only_removal_by_an_operator_shrinks_the_set():
    # Guards against a smaller quorum after an expiry: a promotion could then
    # lose acknowledged writes.
    driver = _group_with_primary()
    driver.remove('db-3', 'db-3-data', 'expired')
    group = driver.machine.groups['orders']
    assert sorted(group.database_set) == ['db-1', 'db-2', 'db-3']
    assert driver.remove('db-3', 'db-3-data', 'operator').answer is None
    assert sorted(group.database_set) == ['db-1', 'db-2']
    assert promotion_quorum(driver.machine, 'orders') == 2


def test_operator_cannot_remove_the_primary_or_the_chosen_database():
    # Guards against removing the only copy that is known to hold all
    # acknowledged writes.
    driver = _group_with_primary()
    applied = driver.remove('db-1', 'db-1-data', 'operator')
    assert applied.answer.code == 'is_primary'
    driver.run(_start(1, 2))
    driver.run(_choose(2, 'db-2'))
    applied = driver.remove('db-2', 'db-2-data', 'operator')
    assert applied.answer.code == 'promotion_running'


def test_wiped_database_is_in_the_set_only_after_admission():
    # Guards against counting a wiped database as a copy of the writes that
    # its old data held.
    driver = _group_with_primary()
    driver.remove('db-2', 'db-2-data', 'expired')
    driver.join('db-2', 'wiped', 'orders')
    group = driver.machine.groups['orders']
    assert group.database_set['db-2'] == 'db-2-data'
    assert driver.admit('orders', 'db-2', 'db-2-data').answer is not None
    assert driver.admit('orders', 'db-2', 'wiped').answer is None
    assert group.database_set['db-2'] == 'wiped'
    assert driver.admit('orders', 'db-2', 'wiped').answer is not None


def test_wiped_primary_is_not_published_under_its_old_name():
    # Guards against reads and writes on a wiped primary.
    driver = _group_with_primary()
    driver.remove('db-1', 'db-1-data', 'expired')
    assert _published(driver) == (1, None)
    driver.join('db-1', 'wiped', 'orders')
    assert _published(driver) == (1, None)
    driver.remove('db-1', 'wiped', 'expired')
    driver.join('db-1', 'db-1-data', 'orders')
    assert _published(driver) == (1, 'db-1')


def test_no_admission_during_a_promotion():
    # Guards against a database set that grows between sealing and choice.
    driver = _group_with_primary()
    driver.join('db-4', 'db-4-data', 'orders')
    driver.run(_start(1, 2))
    applied = driver.admit('orders', 'db-4', 'db-4-data')
    assert applied.answer.code == 'promotion_running'


def test_group_with_a_running_promotion_is_not_deleted():
    # Guards against deleting a group that the leader is working on.
    driver = build_group(databases=())
    driver.run(_start(0, 1))
    answer = driver.change('a', operation('delete', 'group', 'orders'))
    assert answer.faults[0].message == 'a promotion is running'
