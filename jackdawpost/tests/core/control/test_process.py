"""Proposals of commands that the replicated log cannot hold."""

from __future__ import annotations

import typing

import pytest

from jackdawpost.core.consensus.process import MAX_COMMAND_BYTES
from jackdawpost.core.control.commands import ApproveMember
from jackdawpost.core.control.commands import ApproveMembers
from jackdawpost.core.control.commands import COMMAND_TYPES
from jackdawpost.core.control.process import propose
from jackdawpost.core.control.process import submit
from jackdawpost.core.effects import LogLine
from jackdawpost.core.messages.operator import Apply
from jackdawpost.core.messages.operator import Operation
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.positions import ZERO_POSITION
from jackdawpost.errors import CommandError
from jackdawpost.tests.core.control.delegated import DelegatedSimulation
from jackdawpost.tests.core.control.delegated import registration
from jackdawpost.tests.core.control.fakes import start_cluster

TOO_LONG = 'x' * (MAX_COMMAND_BYTES + 1)
NOT_UTF8 = 'x\ud800'
SAMPLES = {
    str: 'x',
    bytes: b'x',
    int: 1,
    bool: False,
    LogPosition: ZERO_POSITION,
}


def _build_command(kind, **fields):
    command_type = COMMAND_TYPES[kind]
    for name, hint in typing.get_type_hints(command_type).items():
        if name in fields or name == 'kind':
            continue
        if typing.get_origin(hint) is typing.Literal:
            fields[name] = typing.get_args(hint)[0]
        elif typing.get_origin(hint) is list:
            fields[name] = []
        else:
            fields[name] = SAMPLES[hint]
    return command_type(**fields)


TEXT_FIELDS = [
    (kind, name)
    for kind, command_type in COMMAND_TYPES.items()
    for name, hint in typing.get_type_hints(command_type).items()
    if hint is str
]


@pytest.fixture(scope='module')
def leader_state():
    return DelegatedSimulation(proxies=1).cluster.leader()


@pytest.mark.parametrize('text', [TOO_LONG, NOT_UTF8], ids=['long', 'utf-8'])
@pytest.mark.parametrize('kind, field', TEXT_FIELDS)
def test_text_that_the_log_cannot_hold_ends_no_process(
    leader_state, kind, field, text
):
    # Guards against a status report that ends the control process that leads,
    # each time it is sent.
    command = _build_command(kind, **{field: text})
    leader_state.outbox.clear()
    assert propose(leader_state, 'key', command) is None
    assert 'key' not in leader_state.leader.proposed
    events = [e.event for e in leader_state.outbox if isinstance(e, LogLine)]
    assert events == ['command_unrecordable']
    with pytest.raises(CommandError, match=kind):
        submit(leader_state, 'key', command)


@pytest.mark.parametrize(
    'fields', [{'data_centre': TOO_LONG}, {'name': 'u8' + NOT_UTF8}]
)
def test_announcement_that_cannot_be_recorded_holds_up_no_other(fields):
    sim = DelegatedSimulation()
    for sequence in range(1, 4):
        report = registration('u8', sequence=sequence)
        for name, text in fields.items():
            setattr(report, name, text)
        assert sim.send_request(report).outcome == 'done'
    sim.send_request(registration('u9'))
    sim.cluster.run(500)
    assert 'u9' in sim.machine.members


def test_change_that_cannot_be_recorded_is_answered():
    cluster = start_cluster()
    cluster.operator_answers.clear()
    operation = Operation(action='create', type='allowance', name='a')
    operation.body = {'max_age_ms': 1_000}
    change = Apply(
        id=1,
        change_id='c',
        base_revision=0,
        operations=[operation],
        operator=TOO_LONG,
    )
    cluster.send_operator_message(change)
    cluster.run(500)
    [answer] = cluster.operator_answers
    assert answer.status == 'refused' and 'too long' in answer.message


def test_many_approvals_are_recorded_in_several_entries():
    # Guards against approvals that are too long for one entry and are then
    # proposed again and again, so that no newcomer joins any more.
    sim = DelegatedSimulation()
    leader = sim.cluster.leader()
    text = 250 * 'x'
    waiting = [
        ApproveMember(
            member=text,
            member_id=text,
            newcomer=f'{text}{number}',
            newcomer_id=text,
            checked=text,
        )
        for number in range(2_000)
    ]
    leader.leader.waiting_approvals = list(waiting)
    sim.send_request(registration('u9'))
    sim.cluster.run(2_000)
    assert not leader.leader.waiting_approvals
    assert 'u9' in sim.machine.members
    assert submit(leader, 'x', ApproveMembers(approvals=waiting[:200]))
