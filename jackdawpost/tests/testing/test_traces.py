"""Tests of trace replay, with the recorded traces and their outcomes."""

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

TRACE_FOLDER = Path(__file__).parents[1] / 'traces'
TRACE_NAMES = ['proxy-failover', 'proxy-lease-lost', 'control-promotion']
MAX_TRACE_BYTES = 200_000


def find_trace(name: str) -> Path:
    return TRACE_FOLDER / f'{name}.jsonl'


def replay_effects(trace: Path, hash_seed: int) -> bytes:
    command = [sys.executable, '-m', 'jackdawpost.cli.replay', '--effects']
    return subprocess.run(
        [*command, str(trace)],
        capture_output=True,
        check=True,
        timeout=30,
        env={**os.environ, 'PYTHONHASHSEED': str(hash_seed)},
    ).stdout


def write_edited_trace(tmp_path: Path, **header: object) -> Path:
    """Write the first trace with other fields in its header."""
    lines = find_trace(TRACE_NAMES[0]).read_text().splitlines()
    lines[0] = json.dumps({**json.loads(lines[0]), **header})
    path = tmp_path / 'edited.jsonl'
    path.write_text('\n'.join(lines) + '\n')
    return path


@pytest.mark.parametrize('name', TRACE_NAMES)
def test_trace_has_its_expected_outcome(name: str) -> None:
    # Guards against a change of the decisions that the requirement of a trace
    # demands.
    steps = list(replay_trace(find_trace(name)))
    outcome = read_outcome(TRACE_FOLDER / f'{name}.outcome.json')
    assert compare_outcome(steps, outcome) is None
    assert find_trace(name).stat().st_size < MAX_TRACE_BYTES


def test_every_stored_trace_is_replayed() -> None:
    # Guards against a stored trace that no test replays.
    assert sorted(p.stem for p in TRACE_FOLDER.glob('*.jsonl')) == sorted(
        TRACE_NAMES
    )


@pytest.mark.process
@pytest.mark.parametrize('name', TRACE_NAMES)
def test_replay_is_deterministic_across_processes(name: str) -> None:
    # Guards against decisions that depend on the clock, on an unseeded random
    # generator or on the order of a set, which differs between processes.
    first_output = replay_effects(find_trace(name), hash_seed=1)
    assert first_output
    assert replay_effects(find_trace(name), hash_seed=2) == first_output


def test_wrong_outcome_is_detected(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    # Guards against a comparison that accepts any outcome.
    steps = list(replay_trace(find_trace('proxy-failover')))
    forbidden = {'kind': 'send', 'message': {'kind': 'answer', 'id': 3}}
    for wrong_fields in (
        {'answers': [{'id': 3, 'outcome': 'unknown'}]},
        {'must': [{'kind': 'stop'}]},
        {'never': [forbidden]},
    ):
        outcome = Outcome(format=1, requirement='wrong', **wrong_fields)
        assert compare_outcome(steps, outcome) is not None
    path = tmp_path / 'wrong.json'
    path.write_text(outcome.model_dump_json())
    trace = str(find_trace('proxy-failover'))
    assert replay.main([trace, '--expect', str(path)]) == 1
    assert 'line' in capsys.readouterr().err


def test_restored_state_is_read_back_from_the_header() -> None:
    # Guards against a trace of a control process that cannot be replayed
    # because its header lacks what the process loaded from disk.
    state = RestoredState(
        hard_state=b'\x00hard',
        snapshot=None,
        entries=[b'\xff', b''],
        node_id='node',
    )
    description = json.loads(json.dumps(describe_restored(state)))
    assert read_restored(description) == state


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
def test_invalid_header_is_reported_with_its_line(
    header: dict[str, object],
    reason: str,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    # Guards against replaying a trace of another format or process.
    path = write_edited_trace(tmp_path, **header)
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
def test_broken_line_is_reported_with_its_number(
    line: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # Guards against replaying the intact part of a damaged trace.
    lines = find_trace(TRACE_NAMES[0]).read_text().splitlines()
    lines[2] = line
    path = tmp_path / 'broken.jsonl'
    path.write_text('\n'.join(lines) + '\n')
    assert replay.main([str(path)]) == 2
    assert f'{path}: line 3: ' in capsys.readouterr().err


@pytest.mark.parametrize('content', [b'', b'\xff\xfe\n', b'not json\n'])
def test_file_that_is_not_a_trace_is_rejected(
    content: bytes, tmp_path: Path
) -> None:
    # Guards against a traceback in place of an error with the file name.
    path = tmp_path / 'none.jsonl'
    path.write_bytes(content)
    with pytest.raises(TraceError, match='none.jsonl'):
        list(replay_trace(path))
    with pytest.raises(TraceError, match='absent.jsonl'):
        list(replay_trace(tmp_path / 'absent.jsonl'))
