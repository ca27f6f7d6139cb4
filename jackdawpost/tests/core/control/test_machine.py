"""Determinism, snapshots and deltas of the replicated control state."""

from __future__ import annotations

import dataclasses

import cbor2
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from jackdawpost.core.control import publication
from jackdawpost.core.control.commands import AbandonPromotion
from jackdawpost.core.control.commands import AdmitDatabase
from jackdawpost.core.control.commands import AnnounceMember
from jackdawpost.core.control.commands import ApplyChangeSet
from jackdawpost.core.control.commands import ApproveMember
from jackdawpost.core.control.commands import ChoosePrimary
from jackdawpost.core.control.commands import decode_command
from jackdawpost.core.control.commands import FinishPromotion
from jackdawpost.core.control.commands import MarkLeaving
from jackdawpost.core.control.commands import RemoveMember
from jackdawpost.core.control.commands import StartPromotion
from jackdawpost.core.control.machine import decode_snapshot
from jackdawpost.core.control.machine import encode_snapshot
from jackdawpost.core.control.machine import update_since
from jackdawpost.core.control.publication import all_keys
from jackdawpost.core.control.publication import publish_changes
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.published import apply_update
from jackdawpost.core.published import PublishedState
from jackdawpost.errors import ProtocolError
from jackdawpost.errors import StorageError
from jackdawpost.tests.core.control.machine_driver import announcement
from jackdawpost.tests.core.control.machine_driver import create
from jackdawpost.tests.core.control.machine_driver import MachineDriver
from jackdawpost.tests.core.control.machine_driver import operation

NAMES = st.sampled_from(['a', 'b', 'c'])
IDS = st.sampled_from(['1', '2'])
TERMS = st.integers(0, 3)
GROUPS = st.sampled_from(['g', 'h'])
OPERATIONS = st.one_of(
    st.builds(
        operation,
        st.sampled_from(['create', 'amend', 'create']),
        st.just('group'),
        GROUPS,
        databases=st.integers(1, 3),
    ),
    st.builds(create, st.just('allowance'), NAMES, max_age_ms=TERMS),
    st.builds(create, st.just('allowance'), NAMES, fallback=NAMES),
    st.builds(
        create, st.just('rule'), NAMES, groups=st.lists(GROUPS, max_size=2)
    ),
    st.builds(create, st.just('upstream'), NAMES, drained=st.booleans()),
    st.builds(
        operation,
        st.just('delete'),
        st.sampled_from(['group', 'rule', 'allowance', 'upstream']),
        NAMES | GROUPS,
    ),
)
PROMOTION_STEPS = st.one_of(
    st.builds(
        ChoosePrimary,
        group=GROUPS,
        to_term=TERMS,
        upstream=NAMES,
        data_id=IDS,
        position=st.just(LogPosition(0, 0)),
    ),
    st.builds(FinishPromotion, group=GROUPS, to_term=TERMS),
)
COMMANDS = st.one_of(
    st.builds(
        ApplyChangeSet,
        change_id=st.integers(0, 200).map(str),
        base_revision=st.just(-1),
        operations=st.lists(OPERATIONS, min_size=1, max_size=2),
        operator=st.just('ada'),
    ),
    st.builds(announcement, NAMES, IDS, st.sampled_from(['', 'g', 'h'])),
    st.builds(
        ApproveMember,
        member=NAMES,
        member_id=IDS,
        newcomer=NAMES,
        newcomer_id=IDS,
        checked=st.just(''),
    ),
    st.builds(
        RemoveMember,
        name=NAMES,
        member_id=IDS,
        reason=st.sampled_from(['left', 'expired', 'operator']),
    ),
    st.builds(MarkLeaving, name=NAMES, member_id=IDS, leaving=st.booleans()),
    st.builds(
        StartPromotion,
        group=GROUPS,
        from_term=TERMS,
        to_term=TERMS,
        reason=st.just(''),
        accept_loss=st.booleans(),
    ),
    PROMOTION_STEPS,
    # Listed twice because a promotion ends only after both steps.
    PROMOTION_STEPS,
    st.builds(
        AbandonPromotion, group=GROUPS, to_term=TERMS, reason=st.just('')
    ),
    st.builds(AdmitDatabase, group=GROUPS, name=NAMES, data_id=IDS),
)


STEPS = st.lists(
    st.tuples(COMMANDS, st.integers(0, 3)), min_size=20, max_size=40
)


def _driver_with_group():
    driver = MachineDriver()
    driver.change('g', create('group', 'g', databases=3))
    for name in ('a', 'b', 'c'):
        driver.join(name, '1', 'g')
    return driver


def _match_state(machine, command):
    """Return the command with terms and identities of the current state.

    Commands with independent random values nearly always fail the first
    check.
    """
    fields = {}
    group = machine.groups.get(getattr(command, 'group', None))
    if isinstance(command, ApplyChangeSet):
        fields['base_revision'] = machine.revision
    if isinstance(command, StartPromotion) and group is not None:
        fields['from_term'] = group.term
        fields['to_term'] = group.last_term + 1
    elif hasattr(command, 'to_term') and group and group.promotion:
        fields['to_term'] = group.promotion.to_term
    for name_field, id_field in (
        ('upstream', 'data_id'),
        ('name', 'member_id'),
        ('name', 'data_id'),
        ('member', 'member_id'),
    ):
        member = machine.members.get(getattr(command, name_field, None))
        if member is not None and hasattr(command, id_field):
            fields[id_field] = member.member_id
    newcomer = machine.newcomers.get(getattr(command, 'newcomer', None))
    if newcomer is not None:
        fields['newcomer_id'] = newcomer.member.member_id
    return dataclasses.replace(command, **fields)


def _match_state_mostly(driver, step):
    command, choice = step
    if choice == 0 or isinstance(command, AnnounceMember):
        return command
    return _match_state(driver.machine, command)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(STEPS, st.integers(0, 20))
def test_any_commands_produce_equal_states_and_correct_deltas(
    steps, restart_at
):
    """Guards against diverging replicas and proxies with a wrong state.

    One replica restarts from a snapshot after step `restart_at`. One proxy
    receives every delta, another a single delta since that step. Both must
    equal a full update, and no object may be published late.
    """
    driver, restarted = _driver_with_group(), _driver_with_group()
    every_delta, one_delta = PublishedState(), PublishedState()
    for number, step in enumerate(steps):
        before = driver.machine.version
        command = _match_state_mostly(driver, step)
        applied = driver.run(command)
        assert applied.changed == (driver.machine.version > before)
        if number == restart_at:
            snapshot = encode_snapshot(restarted.machine)
            restarted.machine = decode_snapshot(snapshot)
            apply_update(one_delta, update_since(driver.machine, 0))
        restarted.run(command)
        assert apply_update(
            every_delta, update_since(driver.machine, every_delta.version)
        )
    assert encode_snapshot(restarted.machine) == encode_snapshot(
        driver.machine
    )
    assert apply_update(
        one_delta, update_since(driver.machine, one_delta.version)
    )
    full_update = PublishedState()
    assert apply_update(full_update, update_since(driver.machine, 0))
    assert every_delta == one_delta == full_update
    assert not publish_changes(driver.machine, all_keys(driver.machine))


@settings(derandomize=True, max_examples=100, deadline=None)
@given(STEPS)
def test_terms_never_decrease_and_only_members_are_published(steps):
    """Guards against two primaries in a term and unapproved members."""
    driver = _driver_with_group()
    terms = {}
    for step in steps:
        driver.run(_match_state_mostly(driver, step))
        machine = driver.machine
        for name, group in {
            **machine.groups,
            **machine.retired_groups,
        }.items():
            assert group.term >= terms.get(name, 0)
            assert group.last_term >= group.term
            terms[name] = group.term
        for key, entry in machine.published.items():
            kind, _, name = key.partition('/')
            if kind in ('member', 'upstream'):
                assert name in machine.members
            if kind == 'group' and entry.body['primary'] is not None:
                group = machine.groups[name]
                leader = machine.members[entry.body['primary']]
                assert leader.member_id == group.primary_id
                assert leader.group == name


def test_process_that_missed_a_thousand_changes_gets_a_delta():
    # Guards against full updates for all proxies after a short partition.
    driver = MachineDriver()
    driver.change('g', create('group', 'g', databases=3))
    proxy = PublishedState()
    apply_update(proxy, update_since(driver.machine, 0))
    for number in range(1_000):
        action = 'delete' if number % 2 else 'create'
        body = {} if number % 2 else {'groups': ['g']}
        item = operation(action, 'rule', f'r{number // 4}', **body)
        assert driver.change(f'c{number}', item).accepted
    update = update_since(driver.machine, proxy.version)
    assert not update.full
    assert apply_update(proxy, update)
    assert proxy.version == 1_001 and proxy.rules == {}


def test_version_older_than_the_tombstones_gets_the_full_state(
    monkeypatch,
):
    # Guards against deleted objects that stay in force on a proxy.
    monkeypatch.setattr(publication, 'MAX_TOMBSTONES', 2)
    driver = MachineDriver()
    driver.change('g', create('group', 'g', databases=3))
    rules = [create('rule', f'r{n}', groups=['g']) for n in range(4)]
    driver.change('rules', *rules)
    proxy = PublishedState()
    apply_update(proxy, update_since(driver.machine, 0))
    for number in range(4):
        driver.change(f'd{number}', operation('delete', 'rule', f'r{number}'))
    update = update_since(driver.machine, proxy.version)
    assert update.full
    assert apply_update(proxy, update)
    assert proxy.rules == {} and list(proxy.groups) == ['g']
    assert update_since(driver.machine, driver.machine.version + 1).full


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'\xff',
        cbor2.dumps([2, {}]),
        cbor2.dumps([1, {'colour': 1}]),
        b'1',
    ],
)
def test_invalid_snapshot_raises_storage_error(data):
    # Guards against starting with an empty state after a corruption.
    with pytest.raises(StorageError):
        decode_snapshot(data)


@pytest.mark.parametrize(
    'value', [7, {'kind': 'x'}, {'kind': 'finish_promotion'}]
)
def test_invalid_command_raises_protocol_error(value):
    # Guards against an exception that is not derived from those of this
    # package and ends the process.
    with pytest.raises(ProtocolError):
        decode_command(cbor2.dumps(value))
