"""Measures the cost of control traffic for several deployment sizes.

It reads the processor time, memory and network bytes of control processes and
proxies, first idle and then with configuration changes. No statements run, so
the idle costs are those of reports, leases, probes, announcements and
heartbeats only.
"""

from __future__ import annotations

import argparse
import json
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from bench.cluster import Cluster
from bench.cluster import run_cluster
from bench.demo import apply_changes
from bench.demo import wait_for_primaries
from bench.deployments import Deployment
from bench.experiment_throughput import MIB
from bench.experiment_throughput import read_cpu_s
from bench.experiment_throughput import read_rss_bytes

# Numbers of proxies and of groups.
SIZES = ((4, 3), (8, 3), (16, 3), (32, 3), (4, 6), (4, 12), (4, 24))
CHANGES_PER_S = 2.0
DATABASES_PER_GROUP = 3
CONNECTIONS = 400
SETTLE_TIME_S = 2.0


def run_cost(
    deployment: Deployment, args: argparse.Namespace
) -> dict[str, Any]:
    """Measure each of `SIZES`, idle and with configuration changes."""
    rows = []
    for proxies, groups in SIZES:
        row = _measure_size(deployment, args, proxies, groups)
        rows.append(row)
        print(json.dumps(row), flush=True)
    return {'sizes': rows}


def _measure_size(
    deployment: Deployment,
    args: argparse.Namespace,
    proxies: int,
    groups: int,
) -> dict[str, Any]:
    scaled = replace(
        deployment,
        groups=tuple(f'g{n}' for n in range(groups)),
        proxies=proxies,
        connections=CONNECTIONS,
        opening_ms=1,
    )
    with run_cluster(scaled, database_settings={'latency_ms': 0}) as cluster:
        cluster.wait_healthy(cluster.names('control'))
        apply_changes(cluster, _write_group_changes(cluster), base_revision=0)
        cluster.wait_healthy(cluster.names('proxy'))
        wait_for_primaries(cluster)
        time.sleep(SETTLE_TIME_S)
        idle_costs = _measure_processes(cluster, args.seconds, lambda: None)
        applier = _ChangeApplier(cluster)
        change_costs = _measure_processes(
            cluster, args.seconds, applier.apply_next
        )
    return {
        'proxies': proxies,
        'databases': groups * DATABASES_PER_GROUP,
        'idle': idle_costs,
        'with_changes': change_costs,
        'changes_per_s': round(applier.applied / args.seconds, 2),
    }


def _write_group_changes(cluster: Cluster) -> Any:
    operations = [
        {
            'action': 'create',
            'type': 'group',
            'name': group,
            'body': {'databases': 3, 'write_copies': 2},
        }
        for group in cluster.deployment.groups
    ]
    path = cluster.folder / 'groups.json'
    path.write_text(json.dumps({'operations': operations}))
    return path


class _ChangeApplier:
    """Applies a sequence of change sets, each with one operation."""

    def __init__(self, cluster: Cluster) -> None:
        self.applied = 0
        self._cluster = cluster

    def apply_next(self) -> None:
        """Create or amend an allowance, then wait for the next change."""
        operation = {
            'action': 'amend' if self.applied else 'create',
            'type': 'allowance',
            'name': 'changing',
            'body': {'max_age_ms': 1_000 + self.applied},
        }
        path = self._cluster.folder / 'change.json'
        path.write_text(json.dumps({'operations': [operation]}))
        apply_changes(self._cluster, path, base_revision=1 + self.applied)
        self.applied += 1
        time.sleep(1 / CHANGES_PER_S)


def _measure_processes(
    cluster: Cluster, seconds: float, action: Callable[[], None]
) -> dict[str, Any]:
    before = {
        name: _read_counters(cluster, name)
        for name in _get_measured_processes(cluster)
    }
    started = time.monotonic()
    while time.monotonic() < started + seconds:
        action()
        time.sleep(0.05)
    elapsed_s = time.monotonic() - started
    after = {
        name: _read_counters(cluster, name)
        for name in _get_measured_processes(cluster)
    }
    leader = _find_leader(cluster)
    proxies = cluster.names('proxy')
    return {
        'leader': _compute_rates(before[leader], after[leader], elapsed_s),
        'follower': _average(
            [
                _compute_rates(before[name], after[name], elapsed_s)
                for name in cluster.names('control')
                if name != leader
            ]
        ),
        'proxy': _average(
            [_compute_rates(before[n], after[n], elapsed_s) for n in proxies]
        ),
    }


def _get_measured_processes(cluster: Cluster) -> list[str]:
    return [*cluster.names('control'), *cluster.names('proxy')]


def _read_counters(cluster: Cluster, name: str) -> dict[str, float]:
    process = cluster.programs[name].process
    if process is None:
        raise RuntimeError(f'{name} has not been started')
    _, metrics = cluster.fetch_json(name, '/metrics')
    counters = (metrics or {}).get('counters', {})
    values = {
        key: float(value)
        for key, value in counters.items()
        if '_bytes_' in key
    }
    values['cpu_s'] = read_cpu_s(process.pid)
    values['rss_mib'] = read_rss_bytes(process.pid) / MIB
    return values


def _compute_rates(
    before: dict[str, float], after: dict[str, float], elapsed_s: float
) -> dict[str, float]:
    rates = {}
    for key, value in after.items():
        if key == 'rss_mib':
            rates[key] = round(value, 1)
        elif key == 'cpu_s':
            share = (value - before[key]) / elapsed_s
            rates['core_percent'] = round(100 * share, 2)
        else:
            change = value - before.get(key, 0.0)
            rates[f'{key}_per_s'] = round(change / elapsed_s, 1)
    return rates


def _average(rows: list[dict[str, float]]) -> dict[str, float]:
    return {
        key: round(sum(row.get(key, 0.0) for row in rows) / len(rows), 2)
        for key in rows[0]
    }


def _find_leader(cluster: Cluster) -> str:
    for name in cluster.names('control'):
        status, dump = cluster.fetch_json(name, '/dump')
        if status == 200 and dump['leader']:
            return name
    raise RuntimeError('no control process is the leader')
