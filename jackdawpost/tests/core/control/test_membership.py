"""Approvals that a join needs, and identities that share a name."""

from __future__ import annotations

import pytest

from jackdawpost.core.control.commands import ApproveMember
from jackdawpost.core.control.commands import MarkLeaving
from jackdawpost.core.control.machine import decode_snapshot
from jackdawpost.core.control.machine import encode_snapshot
from jackdawpost.core.control.membership import missing_approvals
from jackdawpost.tests.core.control.machine_driver import build_group
from jackdawpost.tests.core.control.machine_driver import create
from jackdawpost.tests.core.control.machine_driver import MachineDriver


def _driver_with_two_members():
    driver = MachineDriver()
    driver.join('proxy-1', 'p1')
    driver.join('proxy-2', 'p2')
    return driver


def test_first_member_needs_no_approval_and_the_second_does():
    # Guards against a deployment that can never start, and against one that
    # any instance can join.
    driver = MachineDriver()
    assert driver.announce('proxy-1', 'p1').joined == ['proxy-1']
    assert driver.announce('proxy-2', 'p2').joined == []
    assert driver.approve('proxy-1', 'proxy-2').joined == ['proxy-2']


def test_newcomer_needs_the_approval_of_every_member():
    # Guards against a join that only a majority of the members approves.
    driver = _driver_with_two_members()
    driver.announce('proxy-3', 'p3')
    driver.approve('proxy-1', 'proxy-3')
    driver.approve('proxy-1', 'proxy-3')
    assert missing_approvals(driver.machine, 'proxy-3') == ['proxy-2']
    assert 'member/proxy-3' not in driver.machine.published
    assert driver.approve('proxy-2', 'proxy-3').joined == ['proxy-3']


@pytest.mark.parametrize(
    'fields',
    [
        {'member_id': 'old'},
        {'newcomer_id': 'old'},
        {'member': 'proxy-3', 'member_id': 'p3'},
        {'member': 'unknown'},
    ],
)
def test_approval_of_or_by_another_identity_is_refused(fields):
    # Guards against counting approvals of, or by, a former instance.
    driver = _driver_with_two_members()
    driver.announce('proxy-3', 'p3')
    driver.approve('proxy-1', 'proxy-3')
    before = driver.state_without_index()
    command = {
        'member': 'proxy-2',
        'member_id': 'p2',
        'newcomer': 'proxy-3',
        'newcomer_id': 'p3',
        'checked': '',
        **fields,
    }
    applied = driver.run(ApproveMember(**command))
    assert applied.answer.code == 'unknown_member'
    assert driver.state_without_index() == before


@pytest.mark.parametrize('reason', ['left', 'expired', 'operator'])
def test_removal_of_the_last_missing_member_joins_the_newcomer(reason):
    # Guards against a newcomer that waits forever for a dead member.
    driver = _driver_with_two_members()
    driver.announce('proxy-3', 'p3')
    driver.approve('proxy-1', 'proxy-3')
    applied = driver.remove('proxy-2', 'p2', reason)
    assert applied.joined == ['proxy-3']
    assert sorted(driver.machine.members) == ['proxy-1', 'proxy-3']


def test_approval_by_a_removed_member_is_discarded():
    # Guards against counting an approval from before the member lost its
    # state.
    driver = _driver_with_two_members()
    driver.announce('proxy-3', 'p3')
    driver.approve('proxy-2', 'proxy-3')
    driver.remove('proxy-2', 'p2', 'expired')
    driver.announce('proxy-2', 'p2')
    driver.approve('proxy-1', 'proxy-2')
    assert driver.approve('proxy-1', 'proxy-3').joined == []
    assert missing_approvals(driver.machine, 'proxy-3') == ['proxy-2']


def test_pending_newcomers_need_the_one_that_joined_before_them():
    # Guards against two newcomers that join at the same time without an
    # approval by the other one, also when one removal enables both joins.
    driver = _driver_with_two_members()
    for name in ('proxy-3', 'proxy-4'):
        driver.announce(name, f'id-{name}')
        driver.approve('proxy-1', name)
    assert driver.remove('proxy-2', 'p2', 'expired').joined == ['proxy-3']
    assert missing_approvals(driver.machine, 'proxy-4') == ['proxy-3']
    assert driver.approve('proxy-3', 'proxy-4').joined == ['proxy-4']


def test_restart_with_the_same_identity_stays_a_member():
    # Guards against withholding work from a member whose address changed.
    driver = _driver_with_two_members()
    applied = driver.announce('proxy-2', 'p2', host='127.0.0.2')
    assert applied.changed and not driver.machine.newcomers
    body = driver.machine.published['member/proxy-2'].body
    assert body['host'] == '127.0.0.2'


def test_same_name_with_another_identity_waits_for_the_removal():
    # Guards against an unapproved instance that takes over the name and
    # address of a member.
    driver = _driver_with_two_members()
    driver.announce('proxy-2', 'other', host='127.0.0.9')
    driver.approve('proxy-1', 'proxy-2')
    body = driver.machine.published['member/proxy-2'].body
    assert (body['member_id'], body['host']) == ('p2', '127.0.0.1')
    assert driver.remove('proxy-2', 'p2', 'operator').joined == ['proxy-2']
    assert driver.machine.members['proxy-2'].member_id == 'other'


def test_late_removal_of_an_old_identity_keeps_the_new_one():
    # Guards against a repeated removal that removes the replacement.
    driver = _driver_with_two_members()
    driver.remove('proxy-2', 'p2', 'expired')
    driver.join('proxy-2', 'new')
    applied = driver.remove('proxy-2', 'p2', 'expired')
    assert applied.answer.code == 'unknown_member'
    assert driver.machine.members['proxy-2'].member_id == 'new'


def test_leaving_is_published_and_still_needs_to_approve():
    # Guards against new work for a leaving member, and against a join without
    # the approval of a member that has not left yet.
    driver = _driver_with_two_members()
    mark_leaving = MarkLeaving(name='proxy-2', member_id='p2', leaving=True)
    assert driver.run(mark_leaving).changed
    assert not driver.run(mark_leaving).changed
    body = driver.machine.published['member/proxy-2'].body
    assert body['state'] == 'leaving'
    driver.announce('proxy-3', 'p3')
    assert driver.approve('proxy-1', 'proxy-3').joined == []


def test_upstream_of_an_unconfigured_group_is_refused():
    # Guards against a database that serves another group's data.
    driver = build_group(databases=())
    driver.change(
        'expect',
        create('group', 'stock', databases=3),
        create('upstream', 'db-1', group='orders'),
    )
    answer = driver.announce('db-1', 'd1', 'stock').answer
    assert answer.code == 'wrong_group'
    driver.join('db-1', 'd1', 'orders')
    assert driver.announce('db-1', 'd1', 'stock').answer.code == 'wrong_group'
    assert driver.machine.members['db-1'].group == 'orders'


def test_pending_join_survives_a_snapshot():
    # Guards against asking all members for approval again after a restart.
    driver = _driver_with_two_members()
    driver.announce('proxy-3', 'p3')
    driver.approve('proxy-1', 'proxy-3')
    driver.machine = decode_snapshot(encode_snapshot(driver.machine))
    assert driver.approve('proxy-2', 'proxy-3').joined == ['proxy-3']
