"""Fault scenarios on a cluster of real processes under load.

Each scenario kills, suspends, stops or isolates processes and records what it
observes. `SCENARIOS` lists them.

Example: ``python -m bench.run faults --scenario proxy-killed``
"""

from __future__ import annotations

import argparse
from contextlib import AsyncExitStack
from typing import Any

import trio

from bench.deployments import Deployment
from bench.fault_run import FaultRun
from bench.fault_run import MS_PER_SECOND
from bench.fault_run import now_ms
from bench.fault_run import POLL_INTERVAL_S
from bench.fault_run import RELAYED_PROXY
from bench.fault_run import run_fault
from bench.fault_run import Scenario
from bench.fault_writes import ProbeWriter
from bench.partition import isolate_database
from bench.partition import silence_peer

TARGET_PROXY = 'proxy-1'
PARTITION_S = 5.0
SETTLE_TIME_S = 2.0
PROXY_SUSPENDED_S = 4.0
CONTROL_SUSPENDED_S = 5.0
RELEASE_TIMEOUT_S = 5.0
TRANSACTION_PAUSE_S = 1.0
# A leaving database still accepts statements during this time, so that late
# statements are counted instead of refused.
LEAVE_DELAY_MS = 4_000
# Statements that end later than this after the shutdown began are counted.
LEAVE_LIMIT_S = 2.0


async def isolate_primary(run: FaultRun) -> None:
    """Isolate a primary and a proxy from all other processes.

    The two can still reach each other.
    """
    primary = (await run.find_primary()).name
    names = set(run.cluster.programs) - {primary, RELAYED_PROXY}
    run.record_failure(run.group)
    await _isolate_databases(run, primary, sorted(names), [RELAYED_PROXY])
    for relay in run.relays:
        relay.set_partitioned(True)
    await trio.sleep(PARTITION_S)
    run.measurements['healthy_in_partition'] = await _is_healthy(
        run, RELAYED_PROXY
    )
    await _isolate_databases(run, primary, [], [])
    for relay in run.relays:
        relay.set_partitioned(False)
    await run.wait_healthy(RELAYED_PROXY)
    await trio.sleep(SETTLE_TIME_S)


async def _isolate_databases(
    run: FaultRun, primary: str, primary_peers: list[str], peers: list[str]
) -> None:
    async with trio.open_nursery() as nursery:
        for name in run.cluster.names('database'):
            isolated = primary_peers if name == primary else peers
            nursery.start_soon(isolate_database, run.cluster, name, isolated)


async def _is_healthy(run: FaultRun, name: str) -> bool:
    status, _ = await trio.to_thread.run_sync(
        run.cluster.fetch_json, name, '/healthz'
    )
    return status == 200


async def kill_primary_and_leader(run: FaultRun) -> None:
    """Kill a primary and the control leader together and restart them."""
    primary = (await run.find_primary()).name
    leader, _ = await run.find_control_leader()
    run.record_failure(run.group)
    run.cluster.kill(primary)
    run.cluster.kill(leader)
    await trio.sleep(SETTLE_TIME_S * 2)
    run.cluster.start(leader)
    run.cluster.start(primary)
    await run.wait_healthy(leader, primary)


async def kill_proxy(run: FaultRun) -> None:
    """Kill and restart a proxy with an open transaction in each group."""
    groups = run.cluster.deployment.groups
    writers = [ProbeWriter(run, TARGET_PROXY, group) for group in groups]
    resume = trio.Event()
    async with AsyncExitStack() as stack:
        for writer in writers:
            await stack.enter_async_context(writer.connect())
        async with trio.open_nursery() as nursery:
            for writer in writers:
                await nursery.start(writer.run_transaction, resume)
            run.measurements['before'] = await _read_upstream_usage(run)
            run.cluster.kill(TARGET_PROXY)
            await _measure_release(run)
            resume.set()
    run.measurements['transactions'] = [w.outcomes for w in writers]
    run.cluster.start(TARGET_PROXY)
    await run.wait_healthy(TARGET_PROXY)
    await _wait_for_load_end(run)
    run.measurements['after'] = await _read_upstream_usage(run)
    dump = await run.fetch_json(TARGET_PROXY, '/dump')
    run.measurements['connections_of_successor'] = len(dump['connections'])


async def _measure_release(run: FaultRun) -> None:
    killed_ms = now_ms()
    while (await _read_upstream_usage(run))['connections_of_victim']:
        if now_ms() - killed_ms > RELEASE_TIMEOUT_S * MS_PER_SECOND:
            break
        await trio.sleep(POLL_INTERVAL_S)
    run.measurements['released_after_ms'] = round(now_ms() - killed_ms)


async def _read_upstream_usage(run: FaultRun) -> dict[str, int]:
    """Sum the connections and slots in use and the refusals of all databases.

    Only connections of `TARGET_PROXY` for statements are counted.
    """
    usage = {'connections_of_victim': 0, 'slots_in_use': 0, 'slot_refusals': 0}
    for name in run.cluster.names('database'):
        dump = await run.fetch_json(name, '/dump')
        counters = dump['counters']
        usage['slots_in_use'] += counters['slots_in_use']
        usage['slot_refusals'] += counters['slot_refusals']
        usage['connections_of_victim'] += sum(
            conn['peer'] == TARGET_PROXY and conn['purpose'] == 'statements'
            for conn in dump['connections']
        )
    return usage


async def _wait_for_load_end(run: FaultRun) -> None:
    await trio.sleep_until(run.load_end_s)
    await trio.sleep(SETTLE_TIME_S)


async def suspend_proxy(run: FaultRun) -> None:
    """Suspend a proxy until its leases have expired, then resume it."""
    before = await _read_terms(run)
    run.cluster.suspend(TARGET_PROXY)
    await trio.sleep(PROXY_SUSPENDED_S)
    run.cluster.resume(TARGET_PROXY)
    resumed_ms = now_ms()
    await run.wait_healthy(TARGET_PROXY)
    run.measurements['healthy_after_ms'] = round(now_ms() - resumed_ms)
    await trio.sleep(SETTLE_TIME_S)
    run.measurements['promotions'] = await _count_promotions(run, before)


async def _read_terms(run: FaultRun) -> dict[str, int]:
    groups = run.cluster.deployment.groups
    return {group: (await run.find_primary(group)).term for group in groups}


async def _count_promotions(run: FaultRun, before: dict[str, int]) -> int:
    after = await _read_terms(run)
    return sum(after[group] - term for group, term in before.items())


async def suspend_follower(run: FaultRun) -> None:
    """Suspend a control process that is a follower, then resume it."""
    leader, _ = await run.find_control_leader()
    names = run.cluster.names('control')
    await _suspend_control(run, next(n for n in names if n != leader))


async def suspend_leader(run: FaultRun) -> None:
    """Suspend the control leader, then resume it."""
    leader, _ = await run.find_control_leader()
    await _suspend_control(run, leader)


async def _suspend_control(run: FaultRun, suspended: str) -> None:
    before = await _read_terms(run)
    run.measurements['victim'] = suspended
    run.measurements['before'] = await run.find_control_leader()
    run.cluster.suspend(suspended)
    await trio.sleep(CONTROL_SUSPENDED_S)
    run.measurements['while_frozen'] = await run.find_control_leader(
        excluded=suspended
    )
    run.cluster.resume(suspended)
    await trio.sleep(SETTLE_TIME_S)
    run.measurements['after_return'] = await run.find_control_leader()
    run.measurements['promotions'] = await _count_promotions(run, before)


async def silence_proxy_connections(run: FaultRun) -> None:
    """Silence the open connections of a proxy to a primary.

    The connections for statements are silenced first, then those for
    monitoring.
    """
    before = await _read_terms(run)
    primary = (await run.find_primary()).name
    for purpose in ('statements', 'monitor'):
        writer = ProbeWriter(run, TARGET_PROXY, run.group)
        async with writer.connect():
            await writer.write()
            affected = await silence_peer(
                run.cluster, primary, TARGET_PROXY, purpose
            )
            run.measurements[purpose] = {
                'silenced': affected,
                'write_ms': [round(await writer.write()) for _ in range(5)],
                'outcomes': writer.outcomes,
            }
    await trio.sleep(SETTLE_TIME_S)
    run.measurements['promotions'] = await _count_promotions(run, before)


async def stop_proxy(run: FaultRun) -> None:
    """Stop a proxy gracefully during a transaction and start it again."""
    writer = ProbeWriter(run, TARGET_PROXY, run.group)
    async with writer.connect(), trio.open_nursery() as nursery:
        resume = trio.Event()
        await nursery.start(writer.run_transaction, resume)
        nursery.start_soon(_terminate_and_record_time, run, TARGET_PROXY)
        await trio.sleep(TRANSACTION_PAUSE_S)
        resume.set()
    run.measurements['transaction'] = writer.outcomes
    run.cluster.start(TARGET_PROXY)
    await run.wait_healthy(TARGET_PROXY)


async def _terminate_and_record_time(run: FaultRun, name: str) -> None:
    started_ms = now_ms()
    code = await run.terminate(name)
    run.measurements.setdefault('stopped', {})[name] = {
        'exit_code': code,
        'took_ms': round(now_ms() - started_ms),
    }


async def stop_upstreams(run: FaultRun) -> None:
    """Stop a primary and a replica of another group, then start them."""
    primary = (await run.find_primary()).name
    other_group = run.cluster.deployment.groups[1]
    other_primary = (await run.find_primary(other_group)).name
    databases = run.cluster.names('database')
    replica = next(
        n
        for n in databases
        if n.startswith(other_group) and n != other_primary
    )
    run.record_failure(run.group)
    async with trio.open_nursery() as nursery:
        for name in (primary, replica):
            nursery.start_soon(_terminate_and_record_time, run, name)
            nursery.start_soon(_count_late_statements, run, name)
    for name in (primary, replica):
        run.cluster.start(name)
    await run.wait_healthy(primary, replica)


async def _count_late_statements(run: FaultRun, name: str) -> None:
    started_s = trio.current_time()
    counts = []
    while (metrics := await run.fetch_json(name, '/metrics')) is not None:
        count = metrics['counters'].get('statements', 0)
        counts.append((trio.current_time() - started_s, count))
        await trio.sleep(POLL_INTERVAL_S)
    # The counter includes a statement once it has ended.
    count_at_limit = max(c for at_s, c in counts if at_s <= LEAVE_LIMIT_S)
    last_s = next(at_s for at_s, c in counts if c == counts[-1][1])
    run.measurements.setdefault('leaving', {})[name] = {
        'statements_after_bound': counts[-1][1] - count_at_limit,
        'last_statement_ms': round(last_s * MS_PER_SECOND),
        'observed_ms': round(counts[-1][0] * MS_PER_SECOND),
    }


async def kill_successive_primaries(run: FaultRun) -> None:
    """Kill a primary, then its successor once the first one is back."""
    first = await run.find_primary()
    run.cluster.kill(first.name)
    second = first
    while second.name == first.name:
        await trio.sleep(POLL_INTERVAL_S)
        second = await run.find_primary()
    run.cluster.start(first.name)
    await run.wait_healthy(first.name)
    run.record_failure(run.group)
    run.cluster.kill(second.name)
    await trio.sleep(SETTLE_TIME_S * 1.5)
    third = await run.find_primary()
    run.measurements['primaries'] = [first, second, third]
    run.cluster.start(second.name)
    await run.wait_healthy(second.name)


async def restart_control(run: FaultRun) -> None:
    """Restart the control processes one after another."""
    before = await _read_terms(run)
    run.measurements['before'] = await run.find_control_leader()
    for name in run.cluster.names('control'):
        await _terminate_and_record_time(run, name)
        run.cluster.start(name)
        await run.wait_healthy(name)
    await trio.sleep(SETTLE_TIME_S)
    run.measurements['after'] = await run.find_control_leader()
    run.measurements['promotions'] = await _count_promotions(run, before)


SCENARIOS: dict[str, Scenario] = {
    'control-follower-frozen': Scenario(suspend_follower, load_s=10),
    'control-leader-frozen': Scenario(suspend_leader, load_s=10),
    'control-restarted': Scenario(restart_control, load_s=10),
    'primary-and-leader-killed': Scenario(kill_primary_and_leader),
    'primary-isolated': Scenario(isolate_primary, load_s=11, uses_relays=True),
    'proxy-frozen': Scenario(suspend_proxy, load_s=9),
    'proxy-killed': Scenario(kill_proxy, load_s=6),
    'proxy-stopped': Scenario(stop_proxy),
    'second-loss': Scenario(kill_successive_primaries, load_s=9),
    'silent-connections': Scenario(silence_proxy_connections),
    'upstreams-stopped': Scenario(
        stop_upstreams,
        load_s=9,
        database_settings={'leave_delay_ms': LEAVE_DELAY_MS},
    ),
}


def run_faults(
    deployment: Deployment, args: argparse.Namespace
) -> dict[str, Any]:
    """Run the selected scenario, or all scenarios one after another."""
    names = [args.scenario] if args.scenario else sorted(SCENARIOS)
    return {name: run_fault(deployment, SCENARIOS[name]) for name in names}
