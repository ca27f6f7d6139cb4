"""Load experiments relative to the slot capacity of the databases.

One experiment measures the share of reads that replicas serve, the other the
goodput and latency up to twice the capacity.
"""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any

import trio

from bench.cluster import Cluster
from bench.cluster import run_cluster
from bench.demo import prepare_cluster
from bench.deployments import Deployment
from bench.failover import read_stored_rows
from bench.load import CORDILLERA_MIX
from bench.load import create_tables
from bench.load import HANDFANG_MIX
from bench.load import LoadGenerator
from bench.load import LoadPlan
from bench.load import LoadResult
from jackdawpost.testing.history import check_history

SHARE_SERVICE_MS = 40.0
# Keeps twice the capacity below the maximum rate of the load generator.
OVERLOAD_SERVICE_MS = 100.0
APPLY_LAG_MS = 200.0
SESSIONS = 160
MS_PER_SECOND = 1_000
MIXES = {'handfang': HANDFANG_MIX, 'cordillera': CORDILLERA_MIX}


def compute_slot_capacity(deployment: Deployment, service_ms: float) -> float:
    """Return the statements per second that all slots together can run."""
    databases = len(deployment.groups) * deployment.databases_per_group
    return databases * deployment.slots * MS_PER_SECOND / service_ms


def run_share(
    deployment: Deployment, args: argparse.Namespace
) -> dict[str, Any]:
    """Run the deployment's mix at 60% of the slot capacity."""
    return _run_load_levels(deployment, args, [0.6], SHARE_SERVICE_MS)


def run_overload(
    deployment: Deployment, args: argparse.Namespace
) -> dict[str, Any]:
    """Run the deployment's mix at 50% to 200% of the slot capacity."""
    load_levels = [0.5, 0.75, 1.0, 2.0]
    return _run_load_levels(deployment, args, load_levels, OVERLOAD_SERVICE_MS)


def _run_load_levels(
    deployment: Deployment,
    args: argparse.Namespace,
    load_levels: list[float],
    service_ms: float,
) -> dict[str, Any]:
    changes = Path('examples') / deployment.name / 'changes.json'
    with run_cluster(
        deployment,
        database_settings={
            'service_ms': service_ms,
            'apply_lag_ms': APPLY_LAG_MS,
        },
        proxy_settings=args.proxy_settings,
    ) as cluster:
        prepare_cluster(cluster, changes)
        capacity = compute_slot_capacity(deployment, service_ms)
        return trio.run(_run_levels, cluster, args, load_levels, capacity)


async def _run_levels(
    cluster: Cluster,
    args: argparse.Namespace,
    load_levels: list[float],
    capacity: float,
) -> dict[str, Any]:
    deployment = cluster.deployment
    groups = list(deployment.groups)
    addresses = cluster.proxy_addresses()
    await create_tables(addresses, groups)
    load_results: list[LoadResult] = []
    results: dict[str, Any] = {'capacity_per_s': capacity}
    for number, load_level in enumerate(load_levels):
        plan = LoadPlan(
            addresses,
            groups,
            MIXES[deployment.name],
            capacity * load_level,
            args.seconds,
            sessions=int(SESSIONS * max(1.0, 4 * (load_level - 0.5))),
            prefix=f'level{number}-',
            seed=number,
        )
        result = await LoadGenerator(plan).run()
        load_results.append(result)
        results[f'load {load_level:g}'] = _summarize_result(result)
    stored = await read_stored_rows(cluster)
    history = load_results[0].history
    for result in load_results[1:]:
        history.writes += result.history.writes
        history.reads += result.history.reads
    violations = check_history(history, stored)
    results['violations'] = [f'{v.rule}: {v.detail}' for v in violations]
    results['databases'] = _combine_counters(cluster)
    return results


def _summarize_result(result: LoadResult) -> dict[str, Any]:
    done = sum(
        count
        for name, count in result.outcomes.items()
        if name.endswith(':done')
    )
    return {
        'goodput_per_s': round(done / result.elapsed_s, 1),
        'elapsed_s': round(result.elapsed_s, 1),
        **result.summary(),
    }


def _combine_counters(cluster: Cluster) -> dict[str, Any]:
    """Combine the counters of all databases, which include limit violations.

    Counters named ``max_*`` are combined by their maximum, others by their
    sum.
    """
    totals: dict[str, Any] = {}
    for name in cluster.names('database'):
        status, metrics = cluster.fetch_json(name, '/metrics')
        if status == 200:
            for key, value in metrics['counters'].items():
                if key.startswith('max_'):
                    totals[key] = max(totals.get(key, 0), value)
                else:
                    totals[key] = totals.get(key, 0) + value
    return totals
