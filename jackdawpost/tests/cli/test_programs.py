"""Tests of the installed programs: arguments, settings and signals."""

from __future__ import annotations

import json
import re
import signal
import socket
import subprocess
import sys
import time
import tomllib
import zipfile
from contextlib import closing
from importlib import import_module
from pathlib import Path

import pytest
from websockets.sync.client import connect

from jackdawpost.cli import replay
from jackdawpost.version import __version__

HOST = '127.0.0.1'
PYPROJECT = Path(__file__).parents[3] / 'pyproject.toml'
ENTRY_POINTS = tomllib.loads(PYPROJECT.read_text())['project']['scripts']
# These read logs or traces and have no settings file.
WITHOUT_SETTINGS = ('jackdawpost-replay', 'jackdawpost-explain')
CONFIGURED = [name for name in ENTRY_POINTS if name not in WITHOUT_SETTINGS]
DAEMONS = [name for name in CONFIGURED if 'ctl' not in name]
TIMEOUT_S = 20


def load_main(name):
    module, _, function = ENTRY_POINTS[name].partition(':')
    return getattr(import_module(module), function)


def run_main(name, *arguments):
    try:
        return load_main(name)(list(arguments))
    except SystemExit as exc:
        return exc.code


def find_free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def write_settings(folder, program, port, **options):
    control = {'name': 'c', 'host': HOST, 'port': port}
    settings = {
        'name': 'c',
        'data_centre': 'dc-1',
        'listen': {'host': HOST, 'port': port},
    }
    settings |= {
        'jackdawpost-proxy': {'control': [control], 'proxy_id': 'p'},
        'jackdawpost-control': {
            'peers': [control],
            'data_dir': str(folder / 'data'),
        },
        'jackdawpost-standin-database': {
            'group': 'g',
            'data_dir': str(folder / 'data'),
        },
    }.get(program, {})
    if program == 'jackdawpost-ctl':
        settings = {'operator': 'ada', 'control': [control]}
    path = folder / f'{program}-{port}.json'
    path.write_text(json.dumps({**settings, **options}))
    return str(path)


@pytest.mark.parametrize('name', ENTRY_POINTS)
def test_help_has_an_example_and_version_names_the_program(name, capsys):
    # Guards against an entry point that cannot be imported, and against help
    # texts without an example.
    assert run_main(name, '--help') == 0
    assert f'example: {name} ' in capsys.readouterr().out
    assert run_main(name, '--version') == 0
    assert capsys.readouterr().out == f'{name} {__version__}\n'
    assert run_main(name, '--no-such-option') == 2


@pytest.mark.parametrize('name', CONFIGURED)
def test_check_distinguishes_valid_from_invalid_settings(
    name, tmp_path, capsys
):
    # Guards against a mistake in the settings that is found only when the
    # process starts.
    path = write_settings(tmp_path, name, 7100)
    assert run_main(name, '--config', path, '--check') == 0
    tls = {'certificate': '/none', 'key': '/none', 'authority': '/none'}
    for key, value, expected in (
        ('surplus', 5, '5'),
        ('tls', tls, '/none'),
        ('operator' if 'ctl' in name else 'name', 'No Name', "'No Name'"),
    ):
        path = write_settings(tmp_path, name, 7100, **{key: value})
        capsys.readouterr()
        assert run_main(name, '--config', path, '--check') == 2
        error = capsys.readouterr().err
        assert error.count('\n') == 1
        assert path in error and key in error and expected in error
    assert run_main(name, '--config', '/none', '--check') == 2


def test_replay_checks_a_trace(tmp_path, capsys):
    # Guards against a damaged trace that is reported as readable.
    path = tmp_path / 'trace.jsonl'
    path.write_text('nonsense\n')
    assert replay.main([str(path), '--check']) == 2
    assert str(path) in capsys.readouterr().err


def start_program(name, path):
    module = ENTRY_POINTS[name].partition(':')[0]
    return subprocess.Popen(
        [sys.executable, '-m', module, '--config', path],
        stderr=subprocess.PIPE,
        text=True,
    )


def wait_listening(port):
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        with closing(socket.socket()) as probe:
            if probe.connect_ex((HOST, port)) == 0:
                return
        time.sleep(0.02)
    raise AssertionError(f'nothing listens on {port}')


def wait_for_exit(process):
    """Return exit code and standard error; kill the process on timeout."""
    try:
        _, errors = process.communicate(timeout=TIMEOUT_S)
    finally:
        process.kill()
        process.wait()
    return process.returncode, errors


@pytest.mark.process
@pytest.mark.parametrize('name', DAEMONS)
def test_port_in_use_is_reported_in_one_line(name, tmp_path):
    # Guards against a traceback, and against a process that keeps running
    # without its port.
    with closing(socket.socket()) as occupied:
        occupied.bind((HOST, 0))
        occupied.listen()
        port = occupied.getsockname()[1]
        path = write_settings(tmp_path, name, port)
        code, errors = wait_for_exit(start_program(name, path))
    assert code == 1
    assert 'Traceback' not in errors
    lines = [line for line in errors.splitlines() if 'in use' in line]
    assert len(lines) == 1 and f'{HOST}:{port}' in lines[0]


@pytest.mark.process
@pytest.mark.parametrize(
    'name', ['jackdawpost-control', 'jackdawpost-standin-database']
)
def test_data_folder_in_use_is_reported_in_one_line(name, tmp_path):
    # Guards against two processes that write to the same log.
    port = find_free_port()
    first = start_program(name, write_settings(tmp_path, name, port))
    try:
        wait_listening(port)
        other = write_settings(tmp_path, name, find_free_port())
        code, errors = wait_for_exit(start_program(name, other))
    finally:
        first.kill()
        wait_for_exit(first)
    assert code == 1
    assert 'Traceback' not in errors
    folder = str(tmp_path / 'data')
    assert len(re.findall(f'(?m)^.*{folder}: used by a.*$', errors)) == 1


@pytest.mark.process
@pytest.mark.parametrize('name', DAEMONS)
def test_idle_process_exits_with_0_on_sigterm(name, tmp_path):
    # Guards against a drain that never ends in a process without connections.
    port = find_free_port()
    process = start_program(name, write_settings(tmp_path, name, port))
    try:
        wait_listening(port)
        process.send_signal(signal.SIGTERM)
        code, errors = wait_for_exit(process)
    finally:
        process.kill()
    assert code == 0, errors


@pytest.mark.process
def test_second_sigterm_stops_a_draining_proxy_immediately(tmp_path):
    # Guards against a proxy that can only be killed while callers stay
    # connected.
    port = find_free_port()
    name = 'jackdawpost-proxy'
    path = write_settings(tmp_path, name, port, drain_serve_ms=60_000)
    process = start_program(name, path)
    try:
        wait_listening(port)
        with connect(f'ws://{HOST}:{port}/v1/session') as caller:
            process.send_signal(signal.SIGTERM)
            caller.recv(timeout=TIMEOUT_S)  # going_away
            assert process.poll() is None
            started = time.monotonic()
            process.send_signal(signal.SIGTERM)
            code, errors = wait_for_exit(process)
        assert code == 1, errors
        assert time.monotonic() - started < 5
    finally:
        process.kill()


def test_wheel_contains_both_packages_and_the_six_programs(tmp_path):
    # Guards against an installation without the modules of a program.
    build_result = subprocess.run(
        [
            *(sys.executable, '-m', 'build', '--wheel', '--no-isolation'),
            *('--outdir', str(tmp_path), str(PYPROJECT.parent)),
        ],
        capture_output=True,
        text=True,
        check=False,
    )
    assert build_result.returncode == 0, build_result.stderr
    (wheel,) = tmp_path.glob('*.whl')
    with zipfile.ZipFile(wheel) as wheel_file:
        names = wheel_file.namelist()
        (entries,) = [n for n in names if n.endswith('entry_points.txt')]
        text = wheel_file.read(entries).decode()
    for name, target in ENTRY_POINTS.items():
        assert f'{name} = {target}' in text
        assert target.partition(':')[0].replace('.', '/') + '.py' in names
    assert len(ENTRY_POINTS) == 6
