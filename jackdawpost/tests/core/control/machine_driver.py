"""Helper that applies commands to the replicated state in tests."""

from __future__ import annotations

from jackdawpost.core.control.commands import AdmitDatabase
from jackdawpost.core.control.commands import AnnounceMember
from jackdawpost.core.control.commands import ApplyChangeSet
from jackdawpost.core.control.commands import ApproveMember
from jackdawpost.core.control.commands import decode_command
from jackdawpost.core.control.commands import encode_command
from jackdawpost.core.control.commands import RemoveMember
from jackdawpost.core.control.machine import apply_command
from jackdawpost.core.control.machine import encode_snapshot
from jackdawpost.core.control.machine import new_machine
from jackdawpost.core.messages.operator import Operation


def operation(action, object_type, name, **body):
    return Operation(action=action, type=object_type, name=name, body=body)


def create(object_type, name, **body):
    return operation('create', object_type, name, **body)


def announcement(name, member_id, group='', host='127.0.0.1'):
    return AnnounceMember(
        role='upstream' if group else 'proxy',
        name=name,
        member_id=member_id,
        host=host,
        port=7000,
        data_centre='dc-1',
        group=group,
        slots=3 if group else 0,
        connections=20 if group else 0,
    )


class MachineDriver:
    """Replicated state, to which commands are applied as read from the log."""

    def __init__(self):
        self.machine = new_machine()
        self.index = 0

    def run(self, command):
        self.index += 1
        command = decode_command(encode_command(command))
        return apply_command(self.machine, self.index, command)

    def change(self, change_id, *operations, base=None, operator='ada'):
        if base is None:
            base = self.machine.revision
        command = ApplyChangeSet(
            change_id=change_id,
            base_revision=base,
            operations=list(operations),
            operator=operator,
        )
        return self.run(command).answer

    def announce(self, name, member_id, group='', host='127.0.0.1'):
        return self.run(announcement(name, member_id, group, host))

    def approve(self, member, newcomer):
        return self.run(
            ApproveMember(
                member=member,
                member_id=self.machine.members[member].member_id,
                newcomer=newcomer,
                newcomer_id=self.machine.newcomers[newcomer].member.member_id,
                checked='address reached',
            )
        )

    def join(self, name, member_id, group=''):
        applied = self.announce(name, member_id, group)
        for member in sorted(self.machine.members):
            if name in self.machine.newcomers:
                applied = self.approve(member, name)
        assert name in applied.joined

    def remove(self, name, member_id, reason):
        return self.run(
            RemoveMember(name=name, member_id=member_id, reason=reason)
        )

    def admit(self, group, name, data_id):
        return self.run(AdmitDatabase(group=group, name=name, data_id=data_id))

    def state_without_index(self):
        index, self.machine.applied_index = self.machine.applied_index, 0
        snapshot = encode_snapshot(self.machine)
        self.machine.applied_index = index
        return snapshot


def build_group(name='orders', databases=('db-1', 'db-2', 'db-3')):
    """Return a driver with one group whose databases have joined."""
    driver = MachineDriver()
    answer = driver.change('setup', create('group', name, databases=3))
    assert answer.accepted
    for database in databases:
        driver.join(database, f'{database}-data', name)
    return driver
