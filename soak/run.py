"""Runs one fault plan against a deployment and checks the invariants."""

from __future__ import annotations

import os
import random
import signal
import time
from collections import defaultdict
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from pathlib import Path

import trio

from jackdawpost.wire.http import serve_http
from jackdawpost_standin.line_caller import LineCaller
from jackdawpost_standin.line_database import LineDatabase
from jackdawpost_standin.line_database import LineGroup
from soak.callers import Recorder
from soak.callers import run_caller
from soak.callers import run_misbehaving_callers
from soak.callers import start_session
from soak.cluster import Cluster
from soak.cluster import FRONTEND_PORT
from soak.cluster import Node
from soak.cluster import SHUTDOWN_GRACE_S
from soak.cluster import ZONES
from soak.foreign_reports import send_foreign_reports
from soak.invariants import Evidence
from soak.invariants import find_failures_after_recovery
from soak.invariants import find_unanswered_statements
from soak.invariants import find_violations
from soak.plan import CONTROL_KINDS
from soak.plan import CONTROL_REJOIN_S
from soak.plan import draw_plan
from soak.plan import Fault
from soak.plan import LOAD_KINDS
from soak.platform_standin import call_control
from soak.platform_standin import CloudApi
from soak.platform_standin import CONSISTENCY_BY_DATABASE
from soak.platform_standin import DatabaseReporter
from soak.platform_standin import Operator
from soak.platform_standin import version_database_name
from soak.relay import Relay
from soak.tenants import CALLER_COUNTS
from soak.tenants import find_tenant_violations
from soak.tenants import Outage
from soak.tenants import PUBLIC_DATABASES

HOST = '127.0.0.1'
DATABASE_COUNT = 3
# Callers in addition to those of `CALLER_COUNTS`, and their tenant.
SURGE_CALLER_COUNT = 12
BURST_CALLER_COUNT = 24
BURST_DURATION_S = 0.5
SURGE_TENANT = 'hot'
START_TIMEOUT_S = 30.0
# Time after the last fault for members to rejoin, primaries to be replaced
# and sessions to be reopened (the platform's `recoveryS`).
RECOVERY_S = 12.0
CHECKED_TRAFFIC_S = 2.0  # after the recovery; all operations must succeed
CONFIG_DEADLINE_S = 3.0
# A draining database gets no new statements after this time (`drainMs` is 7 s
# here).
DRAIN_LIMIT_S = 7.0
DRAINED_CHECK_S = 1.0  # no statement may be executed in this time
# Time for an edge to receive versions again after it was suspended.
EDGE_RECONNECT_S = 2.0
# Time for the other control processes to elect a leader and for all edges to
# connect to it.
CONTROL_FAILOVER_S = 3.0
RESTART_DELAY_S = 0.5  # between the end of a process and its next start
SHUTDOWN_MARGIN_S = 0.5
STARTUP_S = 3.0  # from the start of a process until it handles signals


@dataclass
class SoakRun:
    """Components, state and results of one run of the soak test.

    Parameters
    ----------
    seed : int
        Seed of the run's random generators.
    length_s : float
        Duration of the traffic with faults, in seconds.
    folder : Path
        Folder for the list of faults and the files of the processes.
    plan : list of Fault
        Faults to inject.
    rng : random.Random
        Generator of the run.
    group : LineGroup
        Stand-in databases.
    recorder : Recorder
        Operations of the callers.
    relays, reporters : list
        Relay and reporter of each database.
    violations : list of str
        Violations found.
    shutdowns : dict of str to list of tuple
        Start and end of each graceful shutdown, by edge.
    cluster : Cluster
        Control and edge processes.
    cloud_api : CloudApi
        Stand-in for the platform's API.
    operator : Operator
        Stand-in for the operator.
    """

    seed: int
    length_s: float
    folder: Path
    plan: list[Fault]
    rng: random.Random
    group: LineGroup
    recorder: Recorder = field(default_factory=Recorder)
    relays: list[Relay] = field(default_factory=list)
    reporters: list[DatabaseReporter] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    shutdowns: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    cluster: Cluster = field(init=False)
    cloud_api: CloudApi = field(init=False)
    operator: Operator = field(init=False)


async def run_plan(
    seed: int,
    length_s: float,
    folder: Path,
    plan: list[Fault] | None = None,
) -> SoakRun:
    """Run a fault plan, by default the one drawn from the seed.

    Returns
    -------
    SoakRun
        The finished run, with all violations found.
    """
    rng = random.Random(seed)
    group = LineGroup('pool', sync_replicas=rng.randint(0, 1))
    if plan is None:
        plan = draw_plan(seed, length_s)
    run = SoakRun(seed, length_s, folder, plan, rng, group)
    async with trio.open_nursery() as nursery:
        await _set_up(run, nursery)
        try:
            await _start_processes(run)
            await _inject_faults(run, nursery)
        finally:
            run.cluster.close()
        nursery.cancel_scope.cancel()
    evidence = Evidence(
        operations=run.recorder.operations,
        log=group.log,
        rolled_back=group.rolled_back,
        reads=group.reads,
        is_async=not group.sync_replicas,
    )
    run.violations += find_violations(evidence)
    run.violations += find_unanswered_statements(evidence, run.shutdowns)
    run.violations += find_tenant_violations(
        run.recorder.operations,
        run.recorder.starts,
        group.statements,
        _merge_arrivals(run.relays),
        run.recorder.history,
    )
    return run


def _merge_arrivals(relays: list[Relay]) -> dict[str, float]:
    """Return the first arrival of each request at any relay."""
    arrivals: dict[str, float] = {}
    for relay in relays:
        for request, at_s in relay.arrivals.items():
            arrivals[request] = min(at_s, arrivals.get(request, at_s))
    return arrivals


async def _set_up(run: SoakRun, nursery: trio.Nursery) -> None:
    run.cloud_api = CloudApi(run.group, nursery)
    [listener] = await trio.open_tcp_listeners(0, host=HOST)
    port = listener.socket.getsockname()[1]
    await listener.aclose()
    # Runs at the same time use different loopback addresses.
    network = f'127.{1 + os.getpid() % 250}.{1 + run.seed % 250}'
    run.cluster = Cluster(network, run.folder, f'{HOST}:{port}')
    nursery.start_soon(serve_http, HOST, port, run.cloud_api.serve)
    hosts = [node.host for node in run.cluster.controls]
    for index in range(DATABASE_COUNT):
        database = run.group.add(f'i-{index + 1}')
        relay = Relay(random.Random(f'{run.seed}/{index}'))
        run.relays.append(relay)
        relay.port = await _listen(nursery, database.serve)
        address = f'{HOST}:{await _listen(nursery, relay.serve)}'
        reporter = DatabaseReporter(
            database, address, ZONES[index], hosts, random.Random(run.seed)
        )
        run.reporters.append(reporter)
        nursery.start_soon(reporter.run)
    run.operator = Operator(
        'pool',
        hosts,
        random.Random(run.seed),
        run.group.sync_replicas,
        run.recorder.history,
    )


async def _listen(
    nursery: trio.Nursery,
    serve: Callable[[trio.SocketStream], Awaitable[None]],
) -> int:
    listeners = await trio.open_tcp_listeners(0, host=HOST)
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    return int(listeners[0].socket.getsockname()[1])


async def _start_processes(run: SoakRun) -> None:
    """Start all processes and wait until all edges serve a configuration."""
    run.cluster.start_all()
    with trio.fail_after(START_TIMEOUT_S):
        while not await run.operator.send_next_version():
            await trio.sleep(0.2)
        for edge in run.cluster.edges:
            while not await _is_served(
                edge, version_database_name(run.operator.accepted)
            ):
                await trio.sleep(0.1)


async def _is_served(edge: Node, database: str) -> bool:
    try:
        stream = await trio.open_tcp_stream(edge.host, FRONTEND_PORT)
    except OSError:
        return False
    async with stream:
        return await start_session(LineCaller(stream), database)


async def _inject_faults(run: SoakRun, nursery: trio.Nursery) -> None:
    """Inject the faults under traffic, then check the recovery."""
    for tenant, count in CALLER_COUNTS.items():
        _start_callers(
            run, nursery, tenant, count, tuple(CONSISTENCY_BY_DATABASE)
        )
    foreign_rng = random.Random(f'{run.seed}/foreign')
    nursery.start_soon(send_foreign_reports, run.reporters, foreign_rng)
    async with trio.open_nursery() as faults:
        config_changes = trio.CancelScope()
        faults.start_soon(_change_config, run, config_changes)
        start_s = trio.current_time()
        for fault in run.plan:
            await trio.sleep_until(start_s + fault.at_s)
            faults.start_soon(_inject_fault, run, fault)
        await trio.sleep_until(start_s + run.length_s)
        config_changes.cancel()
    for node in [*run.cluster.controls, *run.cluster.edges]:
        run.cluster.start(node)
    await trio.sleep(RECOVERY_S)
    recovered_s = time.monotonic()
    # Ordinary callers are served beside misbehaving ones. These use a public
    # endpoint, as they would use up the tokens of a tenant.
    with trio.move_on_after(CHECKED_TRAFFIC_S):
        await run_misbehaving_callers(
            run.recorder, run.cluster.edges, min(PUBLIC_DATABASES), ''
        )
    run.violations += find_failures_after_recovery(
        run.recorder.operations, recovered_s
    )
    await _check_config(run)


def _start_callers(
    run: SoakRun,
    nursery: trio.Nursery,
    tenant: str,
    count: int,
    databases: tuple[str, ...],
) -> None:
    for index in range(count):
        rng = random.Random(f'{run.seed}/{tenant}/{index}/{databases}')
        choose_edge = partial(rng.choice, run.cluster.edges)
        nursery.start_soon(
            run_caller, run.recorder, rng, choose_edge, databases, tenant
        )


async def _inject_load(run: SoakRun, fault: Fault) -> None:
    """Run additional callers for the duration of the fault."""
    databases = tuple(
        sorted(CONSISTENCY_BY_DATABASE.keys() - PUBLIC_DATABASES)
    )
    if fault.kind == 'misbehaving':
        with trio.move_on_after(fault.for_s):
            await run_misbehaving_callers(
                run.recorder, run.cluster.edges, databases[0], SURGE_TENANT
            )
        return
    is_surge = fault.kind == 'tenant_surge'
    count = SURGE_CALLER_COUNT if is_surge else BURST_CALLER_COUNT
    with trio.move_on_after(fault.for_s if is_surge else BURST_DURATION_S):
        async with trio.open_nursery() as callers:
            _start_callers(run, callers, SURGE_TENANT, count, databases)


async def _change_config(run: SoakRun, scope: trio.CancelScope) -> None:
    with scope:
        await run.operator.run()


async def _check_config(run: SoakRun) -> None:
    """Check that no accepted version is lost and a new one takes effect."""
    accepted = run.operator.accepted
    for host in run.operator.hosts:
        response = await call_control([host], 'GET', '/config', b'')
        if response is None:
            run.violations.append(
                f'config: {host} did not answer GET /config with status 200'
            )
        elif not _is_accepted_or_newer(run, response.body, accepted):
            run.violations.append(
                f'config: {host} returned {response.body[:40]!r}, '
                f'expected version {accepted} or a newer one'
            )
    if not await run.operator.send_next_version():
        run.violations.append(
            'config: new version not accepted after the recovery time'
        )
        return
    await trio.sleep(CONFIG_DEADLINE_S)
    for edge in run.cluster.edges:
        if not await _is_served(
            edge, version_database_name(run.operator.accepted)
        ):
            run.violations.append(
                f'config: newest version not in force on {edge.name}'
            )


def _is_accepted_or_newer(run: SoakRun, body: bytes, accepted: int) -> bool:
    """Return True if a document is a sent one of at least this version."""
    versions = [
        version
        for version, document in run.operator.documents.items()
        if document == body
    ]
    return bool(versions) and versions[0] >= accepted


async def _inject_fault(run: SoakRun, fault: Fault) -> None:
    """Inject one fault and end it after its duration."""
    _log_fault(run, f'{fault}')
    kind = fault.kind
    if kind in CONTROL_KINDS or kind == 'pause':
        _record_outage(run, fault)
    if kind in LOAD_KINDS:
        await _inject_load(run, fault)
    elif kind.startswith('link'):
        await _inject_link(run, fault)
    elif kind.startswith('database'):
        await _inject_database(run, fault)
    elif kind.startswith('order'):
        attribute = (
            'drops_answers' if kind == 'order_lost' else 'delays_promotions'
        )
        setattr(run.cloud_api, attribute, True)
        await trio.sleep(fault.for_s)
        setattr(run.cloud_api, attribute, False)
    elif kind.startswith('control'):
        await _inject_control(run, fault)
    else:
        await _inject_edge(run, fault)


def _record_outage(run: SoakRun, fault: Fault) -> None:
    """Record the time in which edges may not receive versions."""
    is_control = fault.kind in CONTROL_KINDS
    edges = run.cluster.edges
    edge = '' if is_control else edges[fault.target % len(edges)].name
    now_s = time.monotonic()
    duration_s = fault.for_s + EDGE_RECONNECT_S
    if fault.kind == 'control_kill_all':
        duration_s = fault.for_s + CONTROL_REJOIN_S
    elif is_control:
        duration_s = CONTROL_FAILOVER_S  # the other two processes serve
    run.recorder.history.outages.append(
        Outage(edge, now_s, now_s + duration_s)
    )


async def _inject_link(run: SoakRun, fault: Fault) -> None:
    relay = run.relays[fault.target % len(run.relays)]
    if fault.kind == 'link_reset':
        relay.reset(fault.share)
        return
    mode = fault.kind.removeprefix('link_')
    relay.set_mode(mode, fault.share)  # type: ignore[arg-type]
    await trio.sleep(fault.for_s)
    relay.set_mode('pass', fault.share)


async def _inject_database(run: SoakRun, fault: Fault) -> None:
    databases = list(run.group.databases.values())
    database: LineDatabase = databases[fault.target % len(databases)]
    if fault.kind == 'database_leave':
        await _replace_database(
            run, run.reporters[fault.target % len(databases)]
        )
    elif fault.kind == 'database_crash':
        await database.crash()
        await trio.sleep(fault.for_s)
        database.is_running = True
    elif fault.kind == 'database_hang':
        database.hangs = True
        await trio.sleep(fault.for_s)
        database.hangs = False
    elif fault.kind == 'database_slow':
        database.service_s = 0.1
        await trio.sleep(fault.for_s)
        database.service_s = 0.0
    else:
        database.apply_delay_s = 2.0
        await trio.sleep(fault.for_s)
        database.apply_delay_s = 0.02


async def _replace_database(run: SoakRun, reporter: DatabaseReporter) -> None:
    """Drain and stop a database, then restart it at the same address.

    The new incarnation keeps the data of the old one.
    """
    database = reporter.database
    await reporter.report_draining()
    await trio.sleep(DRAIN_LIMIT_S)
    executed_count = len(database.executed)
    await trio.sleep(DRAINED_CHECK_S)
    if len(database.executed) > executed_count:
        late_statements = database.executed[
            executed_count : executed_count + 3
        ]
        run.violations.append(
            f'drain: {database.name} executed {late_statements} after the '
            f'drain limit'
        )
    await reporter.deregister()
    await database.crash()
    await trio.sleep(RESTART_DELAY_S)
    reporter.start_incarnation()
    database.is_running = True


async def _inject_control(run: SoakRun, fault: Fault) -> None:
    cluster = run.cluster
    nodes = [cluster.controls[fault.target % len(cluster.controls)]]
    if fault.kind == 'control_kill_all':
        nodes = cluster.controls
    if fault.kind == 'control_pause':
        cluster.pause(nodes[0])
        await trio.sleep(fault.for_s)
        cluster.resume(nodes[0])
        return
    for node in nodes:
        if fault.kind == 'control_wipe':
            cluster.wipe(node)
        else:
            cluster.kill(node)
    await trio.sleep(fault.for_s)
    for node in nodes:
        cluster.start(node)


async def _inject_edge(run: SoakRun, fault: Fault) -> None:
    cluster = run.cluster
    node = cluster.edges[fault.target % len(cluster.edges)]
    if fault.kind == 'reload':
        cluster.reload(node)
    elif fault.kind == 'pause':
        cluster.pause(node)
        await trio.sleep(fault.for_s)
        cluster.resume(node)
    elif fault.kind == 'kill':
        cluster.kill(node)
        await trio.sleep(fault.for_s)
        cluster.start(node)
    else:
        await _stop_edge(run, node)
        await trio.sleep(RESTART_DELAY_S)
        cluster.start(node)


async def _stop_edge(run: SoakRun, node: Node) -> None:
    """Stop an edge and check that it exits in time with exit code 0."""
    process_run = node.current_run
    if process_run is None or process_run.stop_requested_s is not None:
        return
    run.cluster.stop(node)
    stop_s = time.monotonic()
    while node.current_run is process_run:
        await trio.sleep(0.05)
        if time.monotonic() > stop_s + SHUTDOWN_GRACE_S + SHUTDOWN_MARGIN_S:
            break
    if process_run.was_killed_or_paused:
        return  # killed or paused in the meantime
    if node.current_run is process_run:
        run.violations.append(
            f'stop: {node.name} is running after its grace period'
        )
        run.cluster.kill(node)
        return
    exit_s = time.monotonic()
    code = process_run.process.returncode
    if code == -signal.SIGTERM and stop_s < process_run.started_s + STARTUP_S:
        return  # it was still starting and had no callers
    if code != 0:
        run.violations.append(
            f'stop: {node.name} exited with code {code}, expected 0'
        )
    run.shutdowns[node.name].append((stop_s, exit_s))


def _log_fault(run: SoakRun, text: str) -> None:
    with (run.folder / 'faults').open('a') as file:
        file.write(f'{time.time():.3f} {text}\n')
