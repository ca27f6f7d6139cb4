"""Measures how long changes of the configuration take to reach processes.

It times single changes until they are in force on every proxy. It also times
the catch-up of a control process and of a proxy that were down during many
changes.
"""

from __future__ import annotations

import argparse
import json
import time
from pathlib import Path
from typing import Any

import trio

from bench.cluster import Cluster
from bench.cluster import run_cluster
from bench.demo import prepare_cluster
from bench.deployments import Deployment
from bench.timeline import summarize
from jackdawpost.cli.operator_link import send_request
from jackdawpost.core.messages.operator import Apply
from jackdawpost.core.messages.operator import Operation
from jackdawpost.settings.loader import load_settings
from jackdawpost.settings.models import CtlSettings

FIRST_REVISION = 2
MISSED_CHANGES = 1_000
MS_PER_SECOND = 1_000
VERSION_TIMEOUT_S = 30.0


def run_config(
    deployment: Deployment, args: argparse.Namespace
) -> dict[str, Any]:
    """Measure single changes, and restarts after `MISSED_CHANGES` changes."""
    changes = Path('examples') / deployment.name / 'changes.json'
    with run_cluster(deployment) as cluster:
        prepare_cluster(cluster, changes)
        applier = _ChangeApplier(
            load_settings(cluster.ctl_config, CtlSettings)
        )
        times = [_measure_change(cluster, applier) for _ in range(args.runs)]
        stopped_follower = _find_follower(cluster)
        cluster.kill(stopped_follower)
        cluster.kill('proxy-0')
        started_s = time.monotonic()
        for _ in range(MISSED_CHANGES):
            applier.apply_next()
        applying_s = time.monotonic() - started_s
        return {
            'in_force_everywhere_ms': summarize(times),
            'missed_changes': MISSED_CHANGES,
            'applying_s': round(applying_s, 1),
            'control_return_ms': round(
                _measure_restart(cluster, stopped_follower)
            ),
            'proxy_return_ms': round(_measure_restart(cluster, 'proxy-0')),
        }


class _ChangeApplier:
    """Applies a sequence of change sets, each with one operation."""

    def __init__(self, cfg: CtlSettings) -> None:
        self._cfg = cfg
        self._number = 0

    def apply_next(self) -> None:
        """Apply the next change set and raise if it is not accepted."""
        number = self._number
        self._number += 1
        operation = Operation(
            action='amend' if number else 'create',
            type='allowance',
            name='changing',
            body={'max_age_ms': 1_000 + number},
        )
        request = Apply(
            id=1,
            change_id=f'bench-{number}',
            base_revision=FIRST_REVISION + number,
            operations=[operation],
            operator='bench',
        )
        answer = trio.run(send_request, self._cfg, request)
        if answer.status != 'accepted':
            raise RuntimeError(
                f'change set {number}: got {answer}, '
                "expected the status 'accepted'"
            )


def _measure_change(cluster: Cluster, applier: _ChangeApplier) -> float:
    """Apply a change and return the time until all proxies use it, in ms."""
    started_s = time.monotonic()
    applier.apply_next()
    version = max(_read_versions(cluster, cluster.names('control')).values())
    _wait_for_version(cluster, cluster.names('proxy'), version)
    return (time.monotonic() - started_s) * MS_PER_SECOND


def _measure_restart(cluster: Cluster, name: str) -> float:
    """Start a process and return the time until it is up to date, in ms."""
    version = max(_read_versions(cluster, cluster.names('control')).values())
    started_s = time.monotonic()
    cluster.start(name)
    _wait_for_version(cluster, [name], version)
    return (time.monotonic() - started_s) * MS_PER_SECOND


def _wait_for_version(
    cluster: Cluster, names: list[str], version: int
) -> None:
    deadline_s = time.monotonic() + VERSION_TIMEOUT_S
    while min(_read_versions(cluster, names).values()) < version:
        if time.monotonic() > deadline_s:
            raise RuntimeError(
                f'version {version} is not in force on all of {names}'
            )


def _read_versions(cluster: Cluster, names: list[str]) -> dict[str, int]:
    versions = {}
    for name in names:
        _, dump = cluster.fetch_json(name, '/dump')
        state = (dump or {}).get('machine') or dump or {}
        versions[name] = int(state.get('version', -1))
    return versions


def _find_follower(cluster: Cluster) -> str:
    for name in cluster.names('control'):
        _, dump = cluster.fetch_json(name, '/dump')
        if not dump['leader']:
            return name
    raise RuntimeError(
        'no control process is a follower: '
        f'{json.dumps(cluster.names("control"))}'
    )
