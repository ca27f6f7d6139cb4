"""Failover gap: kills or isolates primaries under load, many times."""

from __future__ import annotations

import time
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import trio

from bench.cluster import Cluster
from bench.failover import find_primaries
from bench.failover import measure_write_gap
from bench.failover import read_stored_rows
from bench.load import create_tables
from bench.load import HANDFANG_MIX
from bench.load import LoadGenerator
from bench.load import LoadPlan
from bench.timeline import count_promotions
from bench.timeline import PHASES
from bench.timeline import split_gap_into_phases
from bench.timeline import summarize
from jackdawpost.testing.history import check_history

MS_PER_SECOND = 1_000
RATE_PER_S = 150.0
HEALTHY_RATE_PER_S = 100.0
WARM_UP_S = 2.0
SETTLE_S = 2.0
RETURN_S = 2.5


@dataclass(slots=True)
class Failure:
    """One injected failure."""

    group: str
    primary: str
    at_ms: float
    wall_ms: float


@dataclass(slots=True)
class FailoverRun:
    """Injects failures one after another under one load."""

    cluster: Cluster
    runs: int
    failures: list[Failure] = field(default_factory=list)

    async def inject(self) -> None:
        """Kill the primary of each group in turn and restart it."""
        groups = list(self.cluster.deployment.groups)
        await trio.sleep(WARM_UP_S)
        for number in range(self.runs):
            group = groups[number % len(groups)]
            primaries = await trio.to_thread.run_sync(
                find_primaries, self.cluster
            )
            if group not in primaries:
                await trio.sleep(SETTLE_S)
                continue
            primary = primaries[group].name
            self.failures.append(
                Failure(
                    group,
                    primary,
                    trio.current_time() * MS_PER_SECOND,
                    time.time() * MS_PER_SECOND,
                )
            )
            await trio.to_thread.run_sync(self.cluster.kill, primary)
            await trio.sleep(SETTLE_S)
            self.cluster.start(primary)
            await trio.sleep(RETURN_S)


async def run_healthy(cluster: Cluster, seconds: float) -> dict[str, Any]:
    """Run load without a failure and count promotions; there must be none."""
    groups = list(cluster.deployment.groups)
    addresses = cluster.proxy_addresses()
    await create_tables(addresses, groups)
    plan = LoadPlan(
        addresses, groups, HANDFANG_MIX, HEALTHY_RATE_PER_S, seconds
    )
    load = LoadGenerator(plan)
    await load.run()
    stored = await read_stored_rows(cluster)
    violations = check_history(load.result.history, stored)
    return {
        'seconds': seconds,
        'promotions_after_start': count_promotions(cluster.folder),
        'violations': [f'{v.rule}: {v.detail}' for v in violations],
        'load': load.result.summary(),
    }


async def run_failover(cluster: Cluster, runs: int) -> dict[str, Any]:
    """Run the experiment on a prepared cluster and return its figures."""
    groups = list(cluster.deployment.groups)
    addresses = cluster.proxy_addresses()
    await create_tables(addresses, groups)
    duration_s = WARM_UP_S + runs * (SETTLE_S + RETURN_S) + SETTLE_S
    plan = LoadPlan(addresses, groups, HANDFANG_MIX, RATE_PER_S, duration_s)
    load = LoadGenerator(plan)
    run = FailoverRun(cluster, runs)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run)
        nursery.start_soon(run.inject)
    stored = await read_stored_rows(cluster)
    history = load.result.history
    violations = check_history(history, stored)
    gaps = [
        measure_write_gap(history, item.group, item.at_ms)
        for item in run.failures
    ]
    splits = [
        split_gap_into_phases(cluster.folder, item.group, item.wall_ms)
        for item in run.failures
    ]
    return {
        'gap_ms': summarize(gaps),
        'gaps_ms': [round(gap) for gap in gaps],
        'parts_ms': {
            part: summarize([item[part] for item in splits if part in item])
            for part in PHASES
        },
        'acknowledged_writes': sum(
            write.outcome == 'done' for write in history.writes
        ),
        'violations': [f'{v.rule}: {v.detail}' for v in violations],
        'load': load.result.summary(),
    }
