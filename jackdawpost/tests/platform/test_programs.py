"""The programs of the platform as real processes, against stand-ins."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import contextmanager
from pathlib import Path

import pytest
import trio

from jackdawpost.platform.http import call
from jackdawpost.platform.http import HttpError
from jackdawpost_standin.line_caller import LineCaller
from jackdawpost_standin.line_database import LineGroup

pytestmark = pytest.mark.process

ROOT = Path(__file__).parents[3]
HOST = '127.0.0.1'
START_S = 20.0


def _free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind((HOST, 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def _free_pair():
    """Return two neighbouring free ports, for the links inside."""
    for _ in range(50):
        [port] = _free_ports(1)
        try:
            for number in (port, port + 1):
                with socket.socket() as item:
                    item.bind((HOST, number))
        except OSError:
            continue
        return port
    raise AssertionError('no two neighbouring ports are free')


def _settings(tmp_path, role, inside, control, frontend, readiness):
    text = f'''
nodeName = "{role}-1"
ip = "{HOST}"
zone = "rvk-a"
region = "reykjavik"
internalPorts = [{inside}, {inside + 1}]
seeds = ["{HOST}:{control}"]
bootstrap = true
dataDir = "{tmp_path / role}"
[zones]
rvk-a = "reykjavik"
[bindAddresses]
control = "{HOST}:{control}"
frontend = "{HOST}:{frontend}"
readiness = "{HOST}:{readiness}"
[faultTolerance]
machines = 0
[bounds]
graceS = 4
'''
    path = tmp_path / f'{role}.toml'
    path.write_text(text)
    return path


@contextmanager
def _program(role, settings, log):
    with open(log, 'w') as out:
        process = subprocess.Popen(
            [sys.executable, '-m', f'jackdawpost.platform.{role}'],
            cwd=ROOT,
            env={**os.environ, 'JACKDAWPOST_SETTINGS': str(settings)},
            stdout=out,
            stderr=subprocess.STDOUT,
        )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


async def _until(probe):
    """Repeat an HTTP call until it answers 200."""
    end = time.monotonic() + START_S
    while True:
        try:
            response = await probe()
            if response.status == 200:
                return response
        except HttpError:
            response = None
        assert time.monotonic() < end, response
        await trio.sleep(0.1)


CONFIG = {
    'version': 3,
    'routes': [
        {
            'name': 'r-1',
            'databaseName': 'orders',
            'type': 'primary',
            'timeoutMs': 2_000,
            'service': 'pool',
        }
    ],
    'services': [{'name': 'pool', 'maxConnections': 20}],
    'limits': {'txnIdleMs': 3_000},
}


async def test_the_whole_path_from_the_operator_to_the_database(tmp_path):
    # Guards against parts that only fit their fakes.
    inside = _free_pair()
    control, frontend, readiness = _free_ports(3)
    ports = (inside, control, frontend, readiness)
    database = LineGroup('pool').add('i-1')
    listeners = await trio.open_tcp_listeners(0, host=HOST)
    address = f'{HOST}:{listeners[0].socket.getsockname()[1]}'
    logs = [tmp_path / 'control.log', tmp_path / 'edge.log']
    files = [_settings(tmp_path, role, *ports) for role in ('control', 'edge')]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, database.serve, listeners)
        with (
            _program('control', files[0], logs[0]),
            _program('edge', files[1], logs[1]) as edge,
        ):
            body = json.dumps(CONFIG).encode()
            api = (HOST, control)
            await _until(lambda: call(api, 'PUT', '/config', [], body, 2))
            report = {
                'service': 'pool',
                'address': address,
                'zone': 'rvk-a',
                'state': 'ready',
                'dbRole': 'primary',
                'sequence': 1,
                'born': 1_700_000_000_000,
            }
            beat = json.dumps(report).encode()
            path = '/instances/i-1'
            await _until(lambda: call(api, 'PUT', path, [], beat, 2))
            held = await call(api, 'GET', '/config', [], b'', 2)
            assert json.loads(held.body) == CONFIG
            bad = await call(api, 'PUT', '/config', [], body[:40], 2)
            assert bad.status == 400
            ready = (HOST, readiness)
            await _until(lambda: call(ready, 'GET', '/readiness', [], b'', 2))
            await _use(frontend, database)
            pages = (HOST, inside + 1)
            text = await call(pages, 'GET', '/metrics/text', [], b'', 2)
            assert b'jackdawpost_statements_done_total' in text.body
            os.kill(edge.pid, signal.SIGHUP)
            await trio.sleep(0.3)
            edge.terminate()
            code = await trio.to_thread.run_sync(edge.wait, 10)
            assert code == 0
        nursery.cancel_scope.cancel()
    events = [json.loads(line)['event'] for line in open(logs[1])]
    assert {'reloaded', 'draining', 'stopping'} <= set(events)


async def _use(frontend, database):
    stream = await trio.open_tcp_stream(HOST, frontend)
    async with stream:
        caller = LineCaller(stream)
        assert await caller.request('START orders u1') == ['READY I -']
        assert (await caller.request('QUERY a1 SET zone x'))[0] == 'COMPLETE -'
        done = await caller.request('QUERY a2 WRITE 7 blue')
        assert done[0] == 'COMPLETE i-1.a2'
        assert await caller.request('QUERY a3 BEGIN') == [
            'COMPLETE -',
            'READY T -',
        ]
        row, done, ready = await caller.request('QUERY a4 READ 7')
        assert (row, done) == ('DATAROW blue', 'COMPLETE i-1.a4')
        assert ready.startswith('READY T')
        assert (await caller.request('QUERY a5 COMMIT'))[
            0
        ] == 'COMPLETE i-1.a5'
        assert 'a2 WRITE 7 blue' in database.executed
    stream = await trio.open_tcp_stream(HOST, frontend)
    async with stream:
        await stream.send_all(b'START nowhere u1\r\n')
        answer = await stream.receive_some(4_096)
        assert answer.startswith(b'ERROR NODATABASE')
