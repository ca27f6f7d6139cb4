"""Replays recorded traces and compares them with stated outcomes."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from jackdawpost.cli import replay
from jackdawpost.core.consensus.state import RestoredState
from jackdawpost.errors import TraceError
from jackdawpost.runtime.recorder import describe_restored
from jackdawpost.runtime.recorder import read_restored
from jackdawpost.runtime.recorder import TRACE_FORMAT
from jackdawpost.testing.traces import compare_outcome
from jackdawpost.testing.traces import Outcome
from jackdawpost.testing.traces import read_outcome
from jackdawpost.testing.traces import replay_trace

FOLDER = Path(__file__).parents[1] / 'traces'
NAMES = ['proxy-failover', 'proxy-lease-lost', 'control-promotion']
MAX_TRACE_BYTES = 200_000


def trace_of(name: str) -> Path:
    return FOLDER / f'{name}.jsonl'


def print_effects(trace: Path, hash_seed: int) -> bytes:
    command = [sys.executable, '-m', 'jackdawpost.cli.replay', '--effects']
    return subprocess.run(
        [*command, str(trace)],
        capture_output=True,
        check=True,
        timeout=30,
        env={**os.environ, 'PYTHONHASHSEED': str(hash_seed)},
    ).stdout


def edit(tmp_path: Path, **header: object) -> Path:
    """Write the first trace with other fields in its header."""
    lines = trace_of(NAMES[0]).read_text().splitlines()
    lines[0] = json.dumps({**json.loads(lines[0]), **header})
    path = tmp_path / 'edited.jsonl'
    path.write_text('\n'.join(lines) + '\n')
    return path


@pytest.mark.parametrize('name', NAMES)
def test_trace_has_its_stated_outcome(name: str) -> None:
    # Guards against a change of a decision that the requirement states.
    steps = list(replay_trace(trace_of(name)))
    outcome = read_outcome(FOLDER / f'{name}.outcome.json')
    assert compare_outcome(steps, outcome) is None
    assert trace_of(name).stat().st_size < MAX_TRACE_BYTES


def test_every_stored_trace_is_replayed() -> None:
    # Guards against a trace that is stored but named by no test.
    assert sorted(p.stem for p in FOLDER.glob('*.jsonl')) == sorted(NAMES)


@pytest.mark.process
@pytest.mark.parametrize('name', NAMES)
def test_replay_gives_the_same_bytes_twice(name: str) -> None:
    # Guards against decisions that depend on time, on randomness from
    # outside or on the order of a set, which differs between processes.
    first = print_effects(trace_of(name), hash_seed=1)
    assert first
    assert print_effects(trace_of(name), hash_seed=2) == first


def test_outcome_that_does_not_hold_is_found(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    # Guards against a comparison that accepts anything.
    steps = list(replay_trace(trace_of('proxy-failover')))
    lost = {'kind': 'send', 'message': {'kind': 'answer', 'id': 3}}
    for wrong in (
        {'answers': [{'id': 3, 'outcome': 'unknown'}]},
        {'must': [{'kind': 'stop'}]},
        {'never': [lost]},
    ):
        outcome = Outcome(format=1, requirement='wrong', **wrong)
        assert compare_outcome(steps, outcome) is not None
    path = tmp_path / 'wrong.json'
    path.write_text(outcome.model_dump_json())
    trace = str(trace_of('proxy-failover'))
    assert replay.main([trace, '--expect', str(path)]) == 1
    assert 'line' in capsys.readouterr().err


def test_durable_state_survives_the_header() -> None:
    # Guards against traces of control processes that cannot be replayed
    # because the trace lacks what the process loaded from its disk.
    state = RestoredState(
        hard_state=b'\x00hard',
        snapshot=None,
        entries=[b'\xff', b''],
        node_id='node',
    )
    described = json.loads(json.dumps(describe_restored(state)))
    assert read_restored(described) == state


@pytest.mark.parametrize(
    ('header', 'reason'),
    [
        ({'format': 99}, f'format 99: valid is {TRACE_FORMAT}'),
        ({'role': 'relay'}, "role 'relay': valid are proxy, control"),
        ({'extra': 1}, 'extra'),
        ({'settings': {}}, 'ProxySettings'),
        ({'role': 'control', 'restored': {}}, 'line 1'),
    ],
)
def test_unreadable_header_is_named(
    header: dict[str, object],
    reason: str,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    # Guards against replaying a trace as something that it is not.
    path = edit(tmp_path, **header)
    assert replay.main([str(path)]) == 2
    message = capsys.readouterr().err
    assert f'{path}: line 1' in message and reason in message


@pytest.mark.parametrize(
    'line',
    [
        '{"kind": "timer_fi',
        '{"kind": "timer_fired", "now_ms": 1.0}',
        '{"kind": "unheard_of", "now_ms": 1.0}',
        '{"kind": "received", "now_ms": 1.0, "conn": 99, "messages": []}',
        '[]',
        '',
    ],
)
def test_broken_line_is_named_by_its_number(
    line: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # Guards against a damaged trace that is replayed in part.
    lines = trace_of(NAMES[0]).read_text().splitlines()
    lines[2] = line
    path = tmp_path / 'broken.jsonl'
    path.write_text('\n'.join(lines) + '\n')
    assert replay.main([str(path)]) == 2
    assert f'{path}: line 3: ' in capsys.readouterr().err


@pytest.mark.parametrize('content', [b'', b'\xff\xfe\n', b'not json\n'])
def test_file_that_is_no_trace_is_refused(
    content: bytes, tmp_path: Path
) -> None:
    # Guards against a traceback in place of a reason.
    path = tmp_path / 'none.jsonl'
    path.write_bytes(content)
    with pytest.raises(TraceError, match='none.jsonl'):
        list(replay_trace(path))
    with pytest.raises(TraceError, match='absent.jsonl'):
        list(replay_trace(tmp_path / 'absent.jsonl'))
