"""Demo of a failover under load on the loopback interface.

It starts the processes of ``examples/handfang`` or another deployment, applies
the change set there, sends a mixed load and kills one primary during the load.
It then prints a table of the results and stops all processes. The exit code is
1 if the history of the load violates a consistency rule.
"""

from __future__ import annotations

import argparse
import json
import shutil
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import trio

from bench.cluster import Cluster
from bench.deployments import DEPLOYMENTS
from bench.deployments import HANDFANG
from bench.failover import find_primaries
from bench.failover import measure_write_gap
from bench.failover import read_stored_rows
from bench.load import create_tables
from bench.load import HANDFANG_MIX
from bench.load import LoadGenerator
from bench.load import LoadPlan
from bench.load import LoadResult
from bench.load import route_of
from jackdawpost.testing.history import check_history
from jackdawpost.testing.history import Violation

RUN_FOLDER = Path('run')
RATE_PER_S = 120.0
LOAD_DURATION_S = 8.0
KILL_AFTER_S = 3.0
PRIMARY_TIMEOUT_S = 30.0


def main(argv: Sequence[str] | None = None) -> int:
    """Run the demo and return its exit code."""
    parser = argparse.ArgumentParser(
        prog='python -m bench.demo',
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--deployment', choices=sorted(DEPLOYMENTS), default=HANDFANG.name
    )
    args = parser.parse_args(argv)
    deployment = DEPLOYMENTS[args.deployment]
    examples = Path('examples') / deployment.name
    folder = RUN_FOLDER / deployment.name
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    cluster = Cluster.load(deployment, examples, folder)
    try:
        return _run_demo(cluster, examples / 'changes.json')
    finally:
        cluster.stop_all()


def _run_demo(cluster: Cluster, changes: Path) -> int:
    print(f'starting {len(cluster.programs)} processes')
    cluster.start_all()
    prepare_cluster(cluster, changes)
    result, killed_primary, gap_ms, violations = trio.run(
        _load_and_kill, cluster
    )
    _print_summary(result, killed_primary, gap_ms, violations)
    return 1 if violations else 0


def prepare_cluster(cluster: Cluster, changes: Path) -> None:
    """Apply a change set and wait until all groups can serve requests.

    It also creates the routes that the load uses, see `route_of`.
    """
    cluster.wait_healthy(cluster.names('control'))
    apply_changes(cluster, changes, base_revision=0)
    apply_changes(cluster, _write_route_changes(cluster), base_revision=1)
    cluster.wait_healthy(cluster.names('proxy'))
    wait_for_primaries(cluster)


def wait_for_primaries(cluster: Cluster) -> None:
    """Wait until every group of the deployment has a primary."""
    deadline = time.monotonic() + PRIMARY_TIMEOUT_S
    groups = set(cluster.deployment.groups)
    while set(find_primaries(cluster)) != groups:
        if time.monotonic() > deadline:
            raise SystemExit(
                f'some of the groups {sorted(groups)} have no primary'
            )
        time.sleep(0.05)


def _write_route_changes(cluster: Cluster) -> Path:
    """Write a change set that creates the route of the load to each group."""
    operations = [
        {
            'action': 'create',
            'type': 'rule',
            'name': route_of(group),
            'body': {'groups': [group]},
        }
        for group in cluster.deployment.groups
    ]
    path = cluster.folder / 'routes.json'
    path.write_text(json.dumps({'operations': operations}))
    return path


def apply_changes(cluster: Cluster, changes: Path, base_revision: int) -> None:
    """Apply a change set and exit if it is refused."""
    result = cluster.run_ctl(
        'apply', str(changes), '--base-revision', str(base_revision)
    )
    if result.returncode != 0:
        raise SystemExit(f'change set refused: {result.stderr}')


async def _load_and_kill(
    cluster: Cluster,
) -> tuple[LoadResult, str, float, list[Violation]]:
    groups = list(cluster.deployment.groups)
    addresses = cluster.proxy_addresses()
    await create_tables(addresses, groups)
    load = LoadGenerator(
        LoadPlan(addresses, groups, HANDFANG_MIX, RATE_PER_S, LOAD_DURATION_S)
    )
    killed_primary = find_primaries(cluster)[groups[0]].name
    killed_at_ms = 0.0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run)
        await trio.sleep(KILL_AFTER_S)
        killed_at_ms = trio.current_time() * 1_000
        await trio.to_thread.run_sync(cluster.kill, killed_primary)
        print(f'killed primary {killed_primary}')
    stored = await read_stored_rows(cluster)
    violations = check_history(load.result.history, stored)
    gap_ms = measure_write_gap(load.result.history, groups[0], killed_at_ms)
    return load.result, killed_primary, gap_ms, violations


def _print_summary(
    result: LoadResult,
    killed_primary: str,
    gap_ms: float,
    violations: list[Violation],
) -> None:
    summary = result.summary()
    rows: list[tuple[str, Any]] = [
        *summary['outcomes'].items(),
        ('share of stale reads served by replicas', summary['replica_share']),
        (f'failover gap after killing {killed_primary}', f'{gap_ms:.0f} ms'),
        ('violations', len(violations)),
    ]
    width = max(len(str(name)) for name, _ in rows)
    print()
    for name, value in rows:
        print(f'{name:<{width}}  {value}')
    for violation in violations[:20]:
        print(f'VIOLATION {violation.rule}: {violation.detail}')


if __name__ == '__main__':
    sys.exit(main())
