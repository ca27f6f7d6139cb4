"""Tests of ``jackdawpost-explain``."""

from __future__ import annotations

import json

from jackdawpost.cli.explain import main


def _write_log(path, *lines):
    texts = [
        json.dumps(
            {
                'time': f'2026-12-04 10:00:{second:06.3f}'.replace('.', ','),
                **fields,
            }
        )
        for second, fields in lines
    ]
    path.write_text('\n'.join([*texts, 'no json', '']))
    return str(path)


def test_lines_of_several_processes_are_merged_by_time(tmp_path, capsys):
    proxy_log = _write_log(
        tmp_path / 'edge.log',
        (1.0, {'event': 'primary_found', 'process': 'edge-1', 'n': 0}),
        (9.5, {'event': 'primary_lost', 'process': 'edge-1', 'n': 1}),
        (9.9, {'event': 'session_refused', 'process': 'edge-1', 'n': 2}),
        (
            10.5,
            {
                'event': 'statement_failed',
                'process': 'edge-1',
                'request': '3f2a',
                'code': 'overloaded',
            },
        ),
        (11.0, {'event': 'primary_found', 'process': 'edge-1', 'n': 3}),
    )
    control_log = _write_log(
        tmp_path / 'control.log',
        (9.7, {'event': 'promotion_started', 'process': 'core-1', 'token': 4}),
    )
    assert main(['3f2a', proxy_log, control_log]) == 0
    lines = capsys.readouterr().out.splitlines()
    events = [
        word
        for line in lines
        for word in line.split()
        if word in ('primary_lost', 'promotion_started', 'statement_failed')
    ]
    assert events == ['primary_lost', 'promotion_started', 'statement_failed']
    assert lines[-1].startswith('>') and 'code=overloaded' in lines[-1]
    assert len(lines) == 3


def test_lines_of_the_session_of_the_request_are_included(tmp_path, capsys):
    # A request is refused because its transaction has failed earlier; the line
    # of that names only the session.
    log = _write_log(
        tmp_path / 'edge.log',
        (7.0, {'event': 'idle_transaction_ended', 'session': 7}),
        (7.5, {'event': 'idle_transaction_ended', 'session': 8}),
        (8.0, {'event': 'request_refused', 'session': 7, 'request': '3f2a'}),
    )
    assert main(['3f2a', log]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 2
    assert 'idle_transaction_ended session=7' in lines[0]


def test_unknown_request_is_reported(tmp_path, capsys):
    log = _write_log(tmp_path / 'edge.log', (1.0, {'event': 'x'}))
    assert main(['77c0', log]) == 1
    assert '77c0' in capsys.readouterr().err


def test_missing_log_is_reported(tmp_path, capsys):
    assert main(['77c0', str(tmp_path / 'none.log')]) == 1
    assert 'none.log' in capsys.readouterr().err
