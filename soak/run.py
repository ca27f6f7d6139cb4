"""Plays one plan against a cluster and checks what it left behind."""

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

from jackdawpost.platform.http import serve_http
from jackdawpost_standin.line_caller import LineCaller
from jackdawpost_standin.line_database import LineDatabase
from jackdawpost_standin.line_database import LineGroup
from soak.callers import Recorder
from soak.callers import run_caller
from soak.callers import start
from soak.cluster import Cluster
from soak.cluster import FRONTEND_PORT
from soak.cluster import GRACE_S
from soak.cluster import Node
from soak.cluster import ZONES
from soak.outside import call_control
from soak.outside import mark_of
from soak.outside import Operator
from soak.outside import Platform
from soak.outside import Reporter
from soak.outside import ROUTES
from soak.plan import draw_plan
from soak.plan import Fault
from soak.promises import Evidence
from soak.promises import find_breaches
from soak.promises import find_cut_answers
from soak.promises import find_unrecovered
from soak.relay import Relay

HOST = '127.0.0.1'
DATABASES = 3
CALLERS = 12
START_LIMIT_S = 30.0
# Time for members to return, primaries to be replaced and sessions to be
# opened again once the last fault has ended (the platform's `recoveryS`).
RECOVERY_S = 12.0
CALM_S = 2.0  # of traffic that must succeed after that
CONFIG_DEADLINE_S = 3.0
# A leaving database gets no new work after this (`drainMs` is 7 s here).
LEAVING_WORK_S = 7.0
LEAVING_WATCH_S = 1.0
RESTART_S = 0.5  # between the end of a process and its next start
STOP_MARGIN_S = 0.5
IMPORT_S = 3.0  # from the start of a process to its handling of signals


@dataclass
class Run:
    """One seed: its parts, and what it found."""

    seed: int
    length_s: float
    folder: Path
    plan: list[Fault]
    rng: random.Random
    group: LineGroup
    recorder: Recorder = field(default_factory=Recorder)
    relays: list[Relay] = field(default_factory=list)
    reporters: list[Reporter] = field(default_factory=list)
    breaches: list[str] = field(default_factory=list)
    drains: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    cluster: Cluster = field(init=False)
    platform: Platform = field(init=False)
    operator: Operator = field(init=False)


async def play(
    seed: int,
    length_s: float,
    folder: Path,
    plan: list[Fault] | None = None,
) -> Run:
    """Play a plan, by default the one drawn from the seed.

    Returns
    -------
    Run
        With all that was seen, and `breaches` complete.
    """
    rng = random.Random(seed)
    group = LineGroup('pool', sync_replicas=rng.randint(0, 1))
    if plan is None:
        plan = draw_plan(seed, length_s)
    run = Run(seed, length_s, folder, plan, rng, group)
    async with trio.open_nursery() as nursery:
        await _set_up(run, nursery)
        try:
            await _start(run)
            await _strike(run, nursery)
        finally:
            run.cluster.close()
        nursery.cancel_scope.cancel()
    evidence = Evidence(
        operations=run.recorder.operations,
        log=group.log,
        rolled_back=group.rolled_back,
        reads=group.reads,
        may_roll_back=not group.sync_replicas,
    )
    run.breaches += find_breaches(evidence)
    run.breaches += find_cut_answers(evidence, run.drains)
    return run


async def _set_up(run: Run, nursery: trio.Nursery) -> None:
    run.platform = Platform(run.group, nursery)
    [listener] = await trio.open_tcp_listeners(0, host=HOST)
    port = listener.socket.getsockname()[1]
    await listener.aclose()
    # Processes of runs at the same time keep apart by their addresses.
    net = f'127.{1 + os.getpid() % 250}.{1 + run.seed % 250}'
    run.cluster = Cluster(net, run.folder, f'{HOST}:{port}')
    nursery.start_soon(serve_http, HOST, port, run.platform.serve)
    hosts = [node.host for node in run.cluster.controls]
    for number in range(DATABASES):
        database = run.group.add(f'i-{number + 1}')
        relay = Relay(random.Random(f'{run.seed}/{number}'))
        run.relays.append(relay)
        relay.port = await _listen(nursery, database.serve)
        address = f'{HOST}:{await _listen(nursery, relay.serve)}'
        reporter = Reporter(
            database, address, ZONES[number], hosts, random.Random(run.seed)
        )
        run.reporters.append(reporter)
        nursery.start_soon(reporter.run)
    run.operator = Operator(
        'pool', hosts, random.Random(run.seed), run.group.sync_replicas
    )


async def _listen(
    nursery: trio.Nursery,
    serve: Callable[[trio.SocketStream], Awaitable[None]],
) -> int:
    listeners = await trio.open_tcp_listeners(0, host=HOST)
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    return int(listeners[0].socket.getsockname()[1])


async def _start(run: Run) -> None:
    """Start all, and wait until every edge serves a configuration."""
    run.cluster.start_all()
    with trio.fail_after(START_LIMIT_S):
        while not await run.operator.change():
            await trio.sleep(0.2)
        for edge in run.cluster.edges:
            while not await _serves(edge, mark_of(run.operator.accepted)):
                await trio.sleep(0.1)


async def _serves(edge: Node, database: str) -> bool:
    try:
        stream = await trio.open_tcp_stream(edge.host, FRONTEND_PORT)
    except OSError:
        return False
    async with stream:
        return await start(LineCaller(stream), database)


async def _strike(run: Run, nursery: trio.Nursery) -> None:
    """Play the faults under traffic, then look whether all recovers."""
    for number in range(CALLERS):
        rng = random.Random(f'{run.seed}/caller/{number}')
        choose = partial(rng.choice, run.cluster.edges)
        nursery.start_soon(
            run_caller, run.recorder, rng, choose, tuple(ROUTES)
        )
    async with trio.open_nursery() as faults:
        changes = trio.CancelScope()
        faults.start_soon(_change, run, changes)
        began_s = trio.current_time()
        for fault in run.plan:
            await trio.sleep_until(began_s + fault.at_s)
            faults.start_soon(_inject, run, fault)
        await trio.sleep_until(began_s + run.length_s)
        changes.cancel()
    for node in [*run.cluster.controls, *run.cluster.edges]:
        run.cluster.start(node)
    await trio.sleep(RECOVERY_S)
    calm_s = time.monotonic()
    await trio.sleep(CALM_S)
    run.breaches += find_unrecovered(run.recorder.operations, calm_s)
    await _check_config(run)


async def _change(run: Run, scope: trio.CancelScope) -> None:
    with scope:
        await run.operator.run()


async def _check_config(run: Run) -> None:
    """Check that what was accepted holds, and that a change gets through."""
    accepted = run.operator.accepted
    for host in run.operator.hosts:
        held = await call_control([host], 'GET', '/config', b'')
        if held is None:
            run.breaches.append(f'config: {host} does not tell the newest')
        elif not _holds(run, held.body, accepted):
            run.breaches.append(
                f'config: {host} holds {held.body[:40]!r}, '
                f'version {accepted} was accepted'
            )
    if not await run.operator.change():
        run.breaches.append('config: a change is not accepted after all')
        return
    await trio.sleep(CONFIG_DEADLINE_S)
    for edge in run.cluster.edges:
        if not await _serves(edge, mark_of(run.operator.accepted)):
            run.breaches.append(f'config: not in force on {edge.name}')


def _holds(run: Run, body: bytes, accepted: int) -> bool:
    """Tell whether a document is one sent, and not older than accepted."""
    versions = [v for v, doc in run.operator.documents.items() if doc == body]
    return bool(versions) and versions[0] >= accepted


async def _inject(run: Run, fault: Fault) -> None:
    """Play one fault from its start to its end."""
    _note(run, f'{fault}')
    kind = fault.kind
    if kind.startswith('link'):
        await _inject_link(run, fault)
    elif kind.startswith('database'):
        await _inject_database(run, fault)
    elif kind.startswith('order'):
        name = 'loses_answer' if kind == 'order_lost' else 'runs_late'
        setattr(run.platform, name, True)
        await trio.sleep(fault.for_s)
        setattr(run.platform, name, False)
    elif kind.startswith('control'):
        await _inject_control(run, fault)
    else:
        await _inject_edge(run, fault)


async def _inject_link(run: Run, fault: Fault) -> None:
    relay = run.relays[fault.target % len(run.relays)]
    if fault.kind == 'link_reset':
        relay.reset(fault.share)
        return
    mode = fault.kind.removeprefix('link_')
    relay.set_mode(mode, fault.share)  # type: ignore[arg-type]
    await trio.sleep(fault.for_s)
    relay.set_mode('pass', fault.share)


async def _inject_database(run: Run, fault: Fault) -> None:
    databases = list(run.group.databases.values())
    database: LineDatabase = databases[fault.target % len(databases)]
    if fault.kind == 'database_leave':
        await _leave(run, run.reporters[fault.target % len(databases)])
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


async def _leave(run: Run, reporter: Reporter) -> None:
    """Drain a database, end it, and bring it back at its address.

    What it has is handed on to its next incarnation.
    """
    database = reporter.database
    await reporter.leave()
    await trio.sleep(LEAVING_WORK_S)
    ran = len(database.executed)
    await trio.sleep(LEAVING_WATCH_S)
    if len(database.executed) > ran:
        late = database.executed[ran : ran + 3]
        run.breaches.append(f'leaving: {database.name} still ran {late}')
    await reporter.depart()
    await database.crash()
    await trio.sleep(RESTART_S)
    reporter.renew()
    database.is_running = True


async def _inject_control(run: Run, fault: Fault) -> None:
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


async def _inject_edge(run: Run, fault: Fault) -> None:
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
        await _stop(run, node)
        await trio.sleep(RESTART_S)
        cluster.start(node)


async def _stop(run: Run, node: Node) -> None:
    """Stop a process; it must end by itself within its time."""
    life = node.life
    if life is None or life.stopped_s is not None:
        return
    run.cluster.stop(node)
    stopped_s = time.monotonic()
    while node.life is life:
        await trio.sleep(0.05)
        if time.monotonic() > stopped_s + GRACE_S + STOP_MARGIN_S:
            break
    if life.disturbed:
        return  # killed or frozen meanwhile
    if node.life is life:
        run.breaches.append(f'stop: {node.name} outlived its grace time')
        run.cluster.kill(node)
        return
    ended_s = time.monotonic()
    code = life.process.returncode
    if code == -signal.SIGTERM and stopped_s < life.started_s + IMPORT_S:
        return  # it was still loading, and had no caller
    if code != 0:
        run.breaches.append(f'stop: {node.name} ended with {code}')
    run.drains[node.name].append((stopped_s, ended_s))


def _note(run: Run, text: str) -> None:
    with (run.folder / 'faults').open('a') as file:
        file.write(f'{time.time():.3f} {text}\n')
