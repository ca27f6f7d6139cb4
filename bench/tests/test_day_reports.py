"""Tests of the table and the plots of day reports."""

from __future__ import annotations

import json

from bench.day_reports import build_table
from bench.day_reports import load_reports
from bench.day_reports import main
from bench.day_reports import plot_day


def _part(name, worth):
    return {'name': name, 'n': 10, 'worth': worth, 'p50_ms': 5, 'p99_ms': 90}


def _write(folder, name, worth, breaks=None):
    folder.mkdir(exist_ok=True)
    report = {
        'G': worth,
        'served': worth + 0.1,
        'breaks': breaks or {},
        'classes': [_part('orders', 0.9), _part('reports', 0.7)],
        'zones': [_part('a', 0.95), _part('b', 0.6)],
        'windows': [_part('0', 1.0), _part('2', 0.5)],
        'prices': [['memory', 5.0, 0.01], ['instances', 2.0, 0.1]],
        'added later': 1,
    }
    (folder / f'{name}.json').write_text(json.dumps(report))


def test_day_with_lowest_worth_is_first_and_shows_its_largest_deductions(
    tmp_path,
):
    now, before = tmp_path / 'now', tmp_path / 'before'
    _write(now, 'site-quiet', 0.8)
    _write(now, 'site-trouble', 0.6)
    _write(before, 'site-trouble', 0.5)
    rows = build_table(load_reports(now), load_reports(before))
    assert [row[0] for row in rows[1:]] == ['site-trouble', 'site-quiet']
    assert rows[1][1:7] == [
        '0.600',
        '+0.100',
        '0.700',
        'reports 0.700',
        'b 0.600',
        '2 0.500',
    ]
    assert rows[1][7].startswith('instances 0.100')
    assert rows[2][2] == ''


def test_violated_rule_is_printed_and_exit_code_is_1(tmp_path, capsys):
    _write(tmp_path / 'now', 'site-quiet', 0.8, {'LOST': 1})
    assert main([str(tmp_path / 'now')]) == 1
    assert 'LOST' in capsys.readouterr().out


def test_plot_contains_day_and_earlier_run(tmp_path):
    _write(tmp_path / 'now', 'site-quiet', 0.8)
    [report] = load_reports(tmp_path / 'now').values()
    path = plot_day('site-quiet', report, report, tmp_path / 'plots')
    assert path.stat().st_size > 1_000
