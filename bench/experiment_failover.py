"""Measures the failover gap by killing primaries repeatedly under load.

A second experiment runs a load without failures and counts promotions.
"""

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
WARM_UP_TIME_S = 2.0
SETTLE_TIME_S = 2.0
REJOIN_TIME_S = 2.5


@dataclass(slots=True)
class Failure:
    """One injected failure of a primary.

    Parameters
    ----------
    at_ms : float
        Time on the clock of the load generator, in milliseconds.
    wall_clock_ms : float
        Time on the wall clock, as in the logs, in milliseconds.
    """

    group: str
    primary: str
    at_ms: float
    wall_clock_ms: float


@dataclass(slots=True)
class FailoverRun:
    """Kills primaries one after another during one load."""

    cluster: Cluster
    runs: int
    failures: list[Failure] = field(default_factory=list)

    async def inject_failures(self) -> None:
        """Kill and restart the primary of each group in turn."""
        groups = list(self.cluster.deployment.groups)
        await trio.sleep(WARM_UP_TIME_S)
        for number in range(self.runs):
            group = groups[number % len(groups)]
            primaries = await trio.to_thread.run_sync(
                find_primaries, self.cluster
            )
            if group not in primaries:
                await trio.sleep(SETTLE_TIME_S)
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
            await trio.sleep(SETTLE_TIME_S)
            self.cluster.start(primary)
            await trio.sleep(REJOIN_TIME_S)


async def run_healthy(cluster: Cluster, seconds: float) -> dict[str, Any]:
    """Run a load without failures and count promotions, expected to be 0."""
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
    """Kill primaries of a prepared cluster and return the results."""
    groups = list(cluster.deployment.groups)
    addresses = cluster.proxy_addresses()
    await create_tables(addresses, groups)
    duration_s = (
        WARM_UP_TIME_S + runs * (SETTLE_TIME_S + REJOIN_TIME_S) + SETTLE_TIME_S
    )
    plan = LoadPlan(addresses, groups, HANDFANG_MIX, RATE_PER_S, duration_s)
    load = LoadGenerator(plan)
    run = FailoverRun(cluster, runs)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run)
        nursery.start_soon(run.inject_failures)
    stored = await read_stored_rows(cluster)
    history = load.result.history
    violations = check_history(history, stored)
    gaps = [
        measure_write_gap(history, failure.group, failure.at_ms)
        for failure in run.failures
    ]
    phase_durations = [
        split_gap_into_phases(
            cluster.folder, failure.group, failure.wall_clock_ms
        )
        for failure in run.failures
    ]
    return {
        'gap_ms': summarize(gaps),
        'gaps_ms': [round(gap) for gap in gaps],
        'parts_ms': {
            phase: summarize(
                [
                    durations[phase]
                    for durations in phase_durations
                    if phase in durations
                ]
            )
            for phase in PHASES
        },
        'acknowledged_writes': sum(
            write.outcome == 'done' for write in history.writes
        ),
        'violations': [f'{v.rule}: {v.detail}' for v in violations],
        'load': load.result.summary(),
    }
