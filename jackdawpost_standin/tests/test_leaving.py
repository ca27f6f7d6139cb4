"""Graceful shutdown: transactions finish, new statements are refused."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys

import pytest
import trio

from jackdawpost.core.messages.upstream import Progress
from jackdawpost.core.messages.upstream import TxnBegin
from jackdawpost.core.messages.upstream import TxnCommit
from jackdawpost_standin.cli import main
from jackdawpost_standin.tests.helpers import build_settings
from jackdawpost_standin.tests.helpers import connect
from jackdawpost_standin.tests.helpers import HOST
from jackdawpost_standin.tests.helpers import promote
from jackdawpost_standin.tests.helpers import start
from jackdawpost_standin.tests.helpers import wait_for

CREATE = 'CREATE TABLE t (k INTEGER)'
BEGIN = {'term': 1, 'timeout_ms': 1_000}
PROGRAM_TIMEOUT_S = 10


async def test_open_transaction_finishes_while_new_statements_are_refused(
    nursery,
):
    standin = await start(nursery, leave_delay_ms=50, leave_quiet_ms=20)
    await promote(standin)
    async with (
        connect(standin) as txn,
        connect(standin) as other,
        connect(standin, 'monitor') as monitor,
    ):
        await txn.request(TxnBegin, **BEGIN)
        nursery.start_soon(standin.leave)
        while not (await monitor.receive()).leaving:
            pass
        # New statements are accepted until `leave_delay_ms` has passed.
        assert (await other.execute('SELECT 1', access='read')).status == (
            'done'
        )
        await wait_for(lambda: standin.context.refuses_new)
        refused = await other.execute(CREATE)
        assert (refused.status, refused.code) == ('not_run', 'leaving')
        done = await txn.execute(CREATE, in_txn=True)
        assert done.status == 'done'
        committed = await txn.request(TxnCommit, **BEGIN)
        assert (committed.status, committed.position) == ('done', (1, 2))
    await wait_for(lambda: standin._scope.cancelled_caught)


async def test_leaving_stops_at_the_time_limit(nursery):
    standin = await start(nursery, leave_delay_ms=0, leave_limit_ms=50)
    await promote(standin)
    async with connect(standin) as txn:
        await txn.request(TxnBegin, **BEGIN)
        with trio.fail_after(2):
            await standin.leave()


def _start_program(tmp_path, **options):
    cfg = build_settings(data_dir=str(tmp_path / 'data'), **options)
    settings = json.loads(cfg.model_dump_json())
    settings['listen']['port'] = _find_free_port()
    path = tmp_path / 'db.jsonc'
    path.write_text('// stand-in\n' + json.dumps(settings))
    process = subprocess.Popen(
        [sys.executable, '-m', 'jackdawpost_standin.cli', '--config', path],
        stderr=subprocess.PIPE,
    )
    # The first log line reports that the program serves.
    line = json.loads(process.stderr.readline())
    assert line['event'] == 'serving'
    return process, settings['listen']['port']


def _find_free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


@pytest.mark.process
def test_sigterm_ends_the_program_with_0(tmp_path):
    process, _ = _start_program(tmp_path, leave_delay_ms=10, leave_quiet_ms=10)
    process.send_signal(signal.SIGTERM)
    assert process.wait(PROGRAM_TIMEOUT_S) == 0
    process.stderr.close()


@pytest.mark.process
def test_second_sigterm_stops_immediately(tmp_path):
    process, _ = _start_program(tmp_path, leave_delay_ms=60_000)
    process.send_signal(signal.SIGTERM)
    assert json.loads(process.stderr.readline())['event'] == 'leaving'
    process.send_signal(signal.SIGTERM)
    assert process.wait(PROGRAM_TIMEOUT_S) == 1
    process.stderr.close()


class _ProgramAddress:
    """Address of a running program in the form that the helpers expect."""

    def __init__(self, port):
        self.port = port
        self.cfg = build_settings()


@pytest.mark.process
async def test_acknowledged_writes_survive_sigkill(tmp_path):
    process, port = _start_program(tmp_path)
    await promote(_ProgramAddress(port))
    async with connect(_ProgramAddress(port)) as client:
        await client.execute(CREATE)
        written = await client.execute(
            'INSERT INTO t VALUES (1)', request_key='r-1'
        )
    process.kill()
    process.wait(PROGRAM_TIMEOUT_S)
    process.stderr.close()
    process, port = _start_program(tmp_path)
    try:
        async with connect(_ProgramAddress(port), 'monitor') as monitor:
            progress = await monitor.receive()
        assert isinstance(progress, Progress)
        assert (progress.received, progress.leads) == (written.position, False)
        await promote(_ProgramAddress(port), term=2)
        async with connect(_ProgramAddress(port)) as client:
            resent = await client.execute(
                'INSERT INTO t VALUES (1)', request_key='r-1', term=2
            )
        assert resent.duplicate
    finally:
        process.kill()
        process.wait(PROGRAM_TIMEOUT_S)
        process.stderr.close()


def test_check_option_accepts_valid_and_reports_invalid_settings(
    tmp_path, capsys
):
    path = tmp_path / 'db.jsonc'
    settings = json.loads(build_settings().model_dump_json())
    path.write_text(json.dumps(settings))
    with pytest.raises(SystemExit) as exit_info:
        main(['--config', str(path), '--check'])
    assert exit_info.value.code == 0
    path.write_text(json.dumps({**settings, 'slots': 0}))
    with pytest.raises(SystemExit) as exit_info:
        main(['--config', str(path), '--check'])
    assert exit_info.value.code == 2
    assert 'slots: 0' in capsys.readouterr().err
