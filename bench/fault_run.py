"""Runs a fault scenario on a cluster under load and collects the results."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from itertools import pairwise
from pathlib import Path
from typing import Any

import trio

from bench.cluster import Cluster
from bench.cluster import run_cluster
from bench.demo import prepare_cluster
from bench.deployments import Deployment
from bench.failover import find_primaries
from bench.failover import measure_write_gap
from bench.failover import Primary
from bench.failover import read_stored_rows
from bench.load import create_tables
from bench.load import HANDFANG_MIX
from bench.load import LoadGenerator
from bench.load import LoadPlan
from bench.partition import PartitionRelay
from bench.partition import relay_control_links
from jackdawpost.testing.history import check_history
from jackdawpost.testing.history import History

MS_PER_SECOND = 1_000
RATE_PER_S = 60.0
# More than the requests that arrive within the deadline of 2 s, so requests to
# a failed group do not occupy all sessions and delay those to other groups.
SESSIONS = 128
WARM_UP_TIME_S = 1.5
POLL_INTERVAL_S = 0.05
MAX_LISTED_WRITES = 20
RELAYED_PROXY = 'proxy-0'
DEFAULT_DATABASE_SETTINGS = {'service_ms': 5, 'apply_lag_ms': 50}


@dataclass(slots=True)
class FaultRun:
    """A cluster under load and the observations of a fault scenario.

    Parameters
    ----------
    relays : list of PartitionRelay
        Relays between `RELAYED_PROXY` and the control processes. The list
        is empty unless the scenario uses relays.
    failed_at_ms : dict of str to float
        Time of the last failure of the primary of each group, in
        milliseconds.
    measurements : dict
        Measurements of the scenario, by name.
    load_end_s : float
        Time at which the load ends, in seconds.
    injected_ms : float
        Time at which the injection of the fault started, in milliseconds.
    """

    cluster: Cluster
    load: LoadGenerator
    relays: list[PartitionRelay] = field(default_factory=list)
    failed_at_ms: dict[str, float] = field(default_factory=dict)
    measurements: dict[str, Any] = field(default_factory=dict)
    load_end_s: float = field(init=False)
    injected_ms: float = 0.0

    def __post_init__(self) -> None:
        self.load_end_s = trio.current_time() + self.load.plan.duration_s

    @property
    def group(self) -> str:
        """The group whose primary the scenarios fail."""
        return self.cluster.deployment.groups[0]

    @property
    def history(self) -> History:
        """Requests of the load so far, with their outcomes."""
        return self.load.result.history

    def record_failure(self, group: str) -> None:
        """Record that the primary of a group fails now."""
        self.failed_at_ms[group] = now_ms()

    async def find_primary(self, group: str | None = None) -> Primary:
        """Return the primary of a group once a proxy knows one."""
        name = group or self.group
        while True:
            primaries = await trio.to_thread.run_sync(
                find_primaries, self.cluster
            )
            if name in primaries:
                return primaries[name]
            await trio.sleep(POLL_INTERVAL_S)

    async def fetch_json(self, name: str, path: str) -> Any:
        """Return the JSON body of a page of a process, None without one."""
        _, value = await trio.to_thread.run_sync(
            self.cluster.fetch_json, name, path
        )
        return value

    async def wait_healthy(self, *names: str) -> None:
        """Wait until the given processes are healthy."""
        await trio.to_thread.run_sync(self.cluster.wait_healthy, list(names))

    async def terminate(self, name: str) -> int:
        """Stop a process gracefully and return its exit code."""
        return await trio.to_thread.run_sync(self.cluster.terminate, name)

    async def find_control_leader(self, excluded: str = '') -> tuple[str, int]:
        """Return the control leader and its term.

        Parameters
        ----------
        excluded : str
            Name of a process to skip because it cannot answer.
        """
        for name in self.cluster.names('control'):
            if name == excluded or not self.cluster.programs[name].running:
                continue
            dump = await self.fetch_json(name, '/dump')
            if dump and dump['consensus']['role'] == 'leader':
                return name, int(dump['consensus']['term'])
        raise RuntimeError('no control process is the leader')


InjectFault = Callable[[FaultRun], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fault to inject and the conditions under which it is injected.

    Parameters
    ----------
    inject : callable
        Injects the fault and records measurements while the load runs.
    load_s : float
        Duration of the load, in seconds.
    uses_relays : bool
        True if `RELAYED_PROXY` connects to the control processes through
        relays.
    database_settings : dict
        Settings of the databases that override the default ones.
    """

    inject: InjectFault
    load_s: float = 8.0
    uses_relays: bool = False
    database_settings: dict[str, Any] = field(default_factory=dict)


def now_ms() -> float:
    """Return the time on the clock of the load generator, in ms."""
    return trio.current_time() * MS_PER_SECOND


def run_fault(deployment: Deployment, scenario: Scenario) -> dict[str, Any]:
    """Run a scenario on a new cluster and return the results."""
    relays: list[PartitionRelay] = []

    def edit_settings(folder: Path) -> None:
        if scenario.uses_relays:
            relays.extend(relay_control_links(folder, RELAYED_PROXY))

    with run_cluster(
        deployment,
        edit_settings,
        database_settings={
            **DEFAULT_DATABASE_SETTINGS,
            **scenario.database_settings,
        },
    ) as cluster:
        return trio.run(_run_scenario, cluster, scenario, relays)


async def _run_scenario(
    cluster: Cluster, scenario: Scenario, relays: list[PartitionRelay]
) -> dict[str, Any]:
    deployment = cluster.deployment
    changes = Path('examples') / deployment.name / 'changes.json'
    async with trio.open_nursery() as background:
        for relay in relays:
            background.start_soon(relay.run)
        await trio.to_thread.run_sync(prepare_cluster, cluster, changes)
        groups = list(deployment.groups)
        addresses = cluster.proxy_addresses()
        await create_tables(addresses, groups)
        plan = LoadPlan(
            addresses,
            groups,
            HANDFANG_MIX,
            RATE_PER_S,
            scenario.load_s,
            sessions=SESSIONS,
        )
        run = FaultRun(cluster, LoadGenerator(plan), relays)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run.load.run)
            await trio.sleep(WARM_UP_TIME_S)
            run.injected_ms = now_ms()
            await scenario.inject(run)
        results = await _collect_results(run)
        background.cancel_scope.cancel()
    return results


async def _collect_results(run: FaultRun) -> dict[str, Any]:
    stored = await read_stored_rows(run.cluster)
    violations = check_history(run.history, stored)
    gaps = {
        group: round(measure_write_gap(run.history, group, at_ms))
        for group, at_ms in run.failed_at_ms.items()
    }
    return {
        'gap_ms': gaps,
        **run.measurements,
        'longest_pause_ms': round(_find_longest_write_gap(run.history)),
        'failed_writes': _describe_failed_writes(run),
        'acknowledged_writes': sum(
            write.outcome == 'done' for write in run.history.writes
        ),
        'checked_groups': sorted(stored),
        'violations': [f'{v.rule}: {v.detail}' for v in violations],
        'load': run.load.result.summary(),
    }


def _describe_failed_writes(run: FaultRun) -> list[str]:
    """List unsuccessful writes with times relative to the injection."""
    return [
        f'{write.group} {write.session} {write.outcome}/{write.code} '
        f'{write.started_ms - run.injected_ms:.0f} to '
        f'{write.ended_ms - run.injected_ms:.0f} ms'
        for write in run.history.writes
        if write.outcome != 'done'
    ][:MAX_LISTED_WRITES]


def _find_longest_write_gap(history: History) -> float:
    """Return the longest time between acknowledged writes, in ms."""
    ends = sorted(w.ended_ms for w in history.writes if w.outcome == 'done')
    return max((b - a for a, b in pairwise(ends)), default=float('inf'))
