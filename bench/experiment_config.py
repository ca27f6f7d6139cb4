"""Configuration in force: on every proxy, and after a missed thousand."""

from __future__ import annotations

import argparse
import json
import time
from pathlib import Path
from typing import Any

import trio

from bench.cluster import Cluster
from bench.cluster import run_cluster
from bench.demo import prepare
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
IN_FORCE_TIMEOUT_S = 30.0


def run_config(
    deployment: Deployment, args: argparse.Namespace
) -> dict[str, Any]:
    """Time changes to all proxies, and a return after 1,000 changes."""
    changes = Path('examples') / deployment.name / 'changes.json'
    with run_cluster(deployment) as cluster:
        prepare(cluster, changes)
        source = _Changes(load_settings(cluster.ctl_config, CtlSettings))
        times = [_time_change(cluster, source) for _ in range(args.runs)]
        absent = _find_follower(cluster)
        cluster.kill(absent)
        cluster.kill('proxy-0')
        started_s = time.monotonic()
        for _ in range(MISSED_CHANGES):
            source.apply()
        applying_s = time.monotonic() - started_s
        return {
            'in_force_everywhere_ms': summarize(times),
            'missed_changes': MISSED_CHANGES,
            'applying_s': round(applying_s, 1),
            'control_return_ms': round(_time_return(cluster, absent)),
            'proxy_return_ms': round(_time_return(cluster, 'proxy-0')),
        }


class _Changes:
    """Applies one small change set after another."""

    def __init__(self, cfg: CtlSettings) -> None:
        self._cfg = cfg
        self._number = 0

    def apply(self) -> None:
        """Apply the next change set; raise if it is not accepted."""
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
            raise RuntimeError(f'change {number}: {answer}')


def _time_change(cluster: Cluster, source: _Changes) -> float:
    """Return the time from the operator's request to the last proxy."""
    started_s = time.monotonic()
    source.apply()
    target = max(_versions(cluster, cluster.names('control')).values())
    _wait_for_version(cluster, cluster.names('proxy'), target)
    return (time.monotonic() - started_s) * MS_PER_SECOND


def _time_return(cluster: Cluster, name: str) -> float:
    """Return the time from the start of a process to the latest version."""
    target = max(_versions(cluster, cluster.names('control')).values())
    started_s = time.monotonic()
    cluster.start(name)
    _wait_for_version(cluster, [name], target)
    return (time.monotonic() - started_s) * MS_PER_SECOND


def _wait_for_version(cluster: Cluster, names: list[str], target: int) -> None:
    deadline_s = time.monotonic() + IN_FORCE_TIMEOUT_S
    while min(_versions(cluster, names).values()) < target:
        if time.monotonic() > deadline_s:
            raise RuntimeError(f'version {target} is not in force on {names}')


def _versions(cluster: Cluster, names: list[str]) -> dict[str, int]:
    versions = {}
    for name in names:
        _, dump = cluster.read_page(name, '/dump')
        state = (dump or {}).get('machine') or dump or {}
        versions[name] = int(state.get('version', -1))
    return versions


def _find_follower(cluster: Cluster) -> str:
    for name in cluster.names('control'):
        _, dump = cluster.read_page(name, '/dump')
        if not dump['leader']:
            return name
    raise RuntimeError(f'no follower: {json.dumps(cluster.names("control"))}')
