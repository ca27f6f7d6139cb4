"""Tests of ``jackdawpost-ctl`` against simulated control processes."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import trio

from jackdawpost.cli.change_files import load_change_file
from jackdawpost.cli.ctl import main
from jackdawpost.cli.operator_link import LinkError
from jackdawpost.core.control.machine import apply_command
from jackdawpost.core.control.operator_queries import answer_query
from jackdawpost.core.control.operator_requests import answer_change
from jackdawpost.core.control.operator_requests import answer_command
from jackdawpost.core.control.operator_requests import build_change
from jackdawpost.core.control.operator_requests import build_drain
from jackdawpost.core.control.operator_requests import build_promotion
from jackdawpost.core.control.operator_requests import build_removal
from jackdawpost.core.messages.control import NotLeader
from jackdawpost.core.messages.operator import OperatorAnswer
from jackdawpost.core.messages.operator import PromoteGroup
from jackdawpost.core.messages.operator import Query
from jackdawpost.tests.core.control.machine_driver import build_group
from jackdawpost.tests.core.control.machine_driver import MachineDriver

EXAMPLES = Path(__file__).parents[3] / 'examples'
CHANGES = """{
    // A group for the stock database.
    "operations": [
        {"action": "create", "type": "group", "name": "stock",
         "body": {"databases": 3}}
    ]
}"""


class FakeControl:
    """Three simulated control processes with one replicated state.

    The leader is ``c1``. The others answer with its name, or handle the
    request themselves if ``c1`` refuses connections.

    Attributes
    ----------
    faults : dict of str to str
        Fault of a process: ``'refuse'`` refuses connections, ``'silent'``
        never answers, ``'lose_answer'`` loses one connection after the
        request has taken effect.
    requests : list
        Requests that were handled, in order.
    """

    def __init__(self):
        self.machine = build_group().machine
        self.index = 100
        self.faults = {}
        self.requests = []

    @asynccontextmanager
    async def open_link(self, peer, tls):
        fault = self.faults.get(peer.name)
        if fault == 'refuse':
            raise LinkError(f'{peer.name}: refused')

        async def exchange(request):
            if fault == 'silent':
                await trio.sleep_forever()
            if peer.name != 'c1' and self.faults.get('c1') != 'refuse':
                return NotLeader(leader='c1')
            answer = self.answer(request)
            if fault == 'lose_answer' and not isinstance(request, Query):
                del self.faults[peer.name]
                raise LinkError(f'{peer.name}: connection lost')
            return answer

        yield exchange

    def answer(self, request):
        self.requests.append(request)
        if isinstance(request, Query):
            return answer_query(self.machine, request)
        build_command = {
            'apply': build_change,
            'drain': build_drain,
            'promote': build_promotion,
            'members': build_removal,
        }[request.kind]
        command = build_command(self.machine, request)
        if isinstance(command, OperatorAnswer):
            return command
        self.index += 1
        result = apply_command(self.machine, self.index, command).answer
        if command.kind == 'apply_change_set':
            return answer_change(self.machine, request.id, result)
        return answer_command(self.machine, request.id, result)


@pytest.fixture
def control():
    return FakeControl()


@pytest.fixture
def run(control, tmp_path, capsys):
    settings = {
        'operator': 'ada',
        'timeout_ms': 900,
        'control': [
            {'name': name, 'host': '127.0.0.1', 'port': 7001 + offset}
            for offset, name in enumerate(('c2', 'c1', 'c3'))
        ],
    }
    config = tmp_path / 'ctl.json'
    config.write_text(json.dumps(settings))
    (tmp_path / 'changes.json').write_text(CHANGES)

    def run_main(*arguments):
        resolved = [
            str(tmp_path / argument)
            if argument.endswith('.json')
            else argument
            for argument in arguments
        ]
        try:
            code = main(
                ['--config', str(config), *resolved], control.open_link
            )
        except SystemExit as exc:
            code = exc.code
        printed = capsys.readouterr()
        return code, printed.out, printed.err

    return run_main


def test_check_works_without_a_subcommand(run):
    # Guards against settings that cannot be checked without sending a
    # request.
    assert run('--check')[0] == 0
    code, _, err = run()
    assert code == 2 and 'COMMAND' in err


def test_missing_settings_and_wrong_usage_exit_with_2(run, tmp_path):
    # Guards against a script that mistakes a usage error for a rejected
    # change.
    for arguments in (['status'], ['--config', 'none.json', 'status']):
        with pytest.raises(SystemExit) as caught:
            main(arguments)
        assert caught.value.code == 2
    assert run('get', 'queue')[0] == 2
    assert run('apply', 'none.json')[0] == 2
    (tmp_path / 'bad.json').write_text('{"operations": [{"action": "merge"}]}')
    code, _, err = run('apply', 'bad.json')
    assert code == 2 and 'operations.0.action' in err


def test_apply_follows_a_redirect_to_the_leader(run, control):
    # Guards against a program that fails when a follower redirects it to the
    # leader.
    code, out, _ = run('apply', 'changes.json')
    assert code == 0 and 'accepted, revision 2' in out
    assert 'stock' in control.machine.objects.groups
    code, out, _ = run('apply', 'changes.json')
    assert code == 1 and 'exists already' in out


def test_options_are_accepted_after_the_subcommand(run, tmp_path):
    # Guards against losing the value of an option because of its position.
    code, out, _ = run('status', '--json')
    assert code == 0 and json.loads(out)['revision'] == 1
    code, out, _ = run('--json', 'get', 'group')
    assert json.loads(out)['tables'][0]['rows'] == [['orders', 3, 2, 50]]
    assert run('status', '--config', 'none.json')[0] == 2


@pytest.mark.parametrize(
    'arguments', [('apply', 'changes.json'), ('drain', 'db-1')]
)
def test_lost_answer_is_resent_under_the_same_change_id(
    run, control, arguments
):
    # Guards against a change that is applied twice, or reported as failed
    # although it is in force, because the connection was lost before the
    # answer.
    control.faults['c1'] = 'lose_answer'
    code, out, _ = run(*arguments)
    assert code == 0 and 'repeated answer' in out
    first, second = control.requests[-2:]
    assert first == second
    assert control.machine.revision == 2


@pytest.mark.parametrize('fault', ['refuse', 'silent'])
def test_unreachable_control_process_is_skipped(run, control, fault):
    # Guards against a program that hangs on the first address of its
    # settings.
    control.faults['c2'] = fault
    code, out, _ = run('status')
    assert code == 0 and 'orders' in out


def test_error_without_an_answer_names_the_change_id_to_reuse(run, control):
    # Guards against an operator who resends a change under a new id, which
    # may apply it twice.
    control.faults = dict.fromkeys(('c1', 'c2', 'c3'), 'silent')
    arguments = ('--base-revision', '1', '--change-id', 'monday')
    code, _, err = run('apply', 'changes.json', *arguments)
    assert code == 1 and '--change-id monday' in err
    control.faults = dict.fromkeys(('c1', 'c2', 'c3'), 'refuse')
    code, _, err = run('apply', 'changes.json', *arguments)
    assert code == 1 and 'may be in force' not in err


def test_dry_run_and_diff_send_no_change(run, control):
    # Guards against a preview that changes the configuration.
    code, out, _ = run('apply', 'changes.json', '--dry-run')
    assert code == 0 and 'dry run' in out
    code, out, _ = run('diff', 'changes.json')
    assert code == 0 and 'group/stock' in out
    assert control.machine.revision == 1


def test_stale_base_revision_is_rejected_with_the_latest_change(run):
    # Guards against overwriting a change that another operator made in the
    # meantime.
    assert run('drain', 'db-1')[0] == 0
    code, out, _ = run('apply', 'changes.json', '--base-revision', '1')
    assert code == 1 and 'current revision is 2' in out and "'ada'" in out


def test_promotion_carries_the_term_from_the_status(run, control):
    # Guards against a resend that starts a second promotion.
    assert run('promote', 'orders', '--accept-loss')[0] == 0
    request = control.requests[-1]
    assert isinstance(request, PromoteGroup)
    assert (request.from_term, request.accept_loss) == (0, True)
    assert run('promote', 'x')[0] == 1


def test_ambiguous_removal_needs_an_identity(run, control):
    # Guards against removing the replacement of a lost database that has the
    # same name.
    assert run('members', 'remove', 'x')[0] == 1
    assert run('members', 'remove', 'db-3')[0] == 0
    assert 'db-3' not in control.machine.groups['orders'].database_set
    control.machine.members['db-2'].member_id = 'wiped'
    code, out, _ = run('members', 'remove', 'db-2')
    assert code == 1 and 'wiped, db-2-data' in out
    arguments = ('members', 'remove', 'db-2', '--id', 'db-2-data')
    assert run(*arguments)[0] == 0
    assert 'db-2' in control.machine.members


@pytest.mark.parametrize('deployment', ['handfang', 'cordillera'])
def test_example_change_sets_are_accepted(deployment):
    # Guards against examples that the control processes reject.
    answer = MachineDriver().change(
        'example', *load_change_file(EXAMPLES / deployment / 'changes.json')
    )
    assert answer.accepted, answer.faults
