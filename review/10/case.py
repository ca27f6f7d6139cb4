"""An edge process starts while a primary drains and cannot be replaced.

See claim.txt. Exit code: 0 the rule held, 1 it was broken, 2 could not run.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import stand_2 as stand  # noqa: E402

DRAIN_S = stand.BOUNDS['drainMs'] / 1000
IN_TOUCH_S = stand.BOUNDS['stabilityWindowMs'] / 1000
# Start of the edge process after the acknowledgement.
START_S = 3.0
MARGIN_S = 0.1


async def case(system: stand.System) -> int:
    record = system.record
    await system.start_cloud()
    group = stand.Group('spares-db')
    await system.add_group(group)
    primary = group.primary
    assert primary is not None
    for node in [*system.controls, *system.edges]:
        system.start(node)
    routes = [stand.route('orders', group.name, 'primary')]
    if await system.declare(system.config(routes)) != 200:
        return stand.COULD_NOT_RUN
    if not await system.wait_ready(system.edges):
        return stand.COULD_NOT_RUN
    await asyncio.sleep(5.0)
    edge = system.edges[1]
    await attempt(system, edge, 0.0)
    # Planned work: the edge process is stopped and started again.
    system.kill(edge, signal.SIGTERM)
    while edge.process is not None and edge.process.poll() is None:
        await asyncio.sleep(0.05)
    record(f'{edge.name} has stopped')
    # The platform is down from now on, so that no promotion is carried out.
    system.cloud_answers = not stand.TROUBLE
    primary.state = 'draining'
    if not await system.send_report(primary):
        return stand.COULD_NOT_RUN
    acknowledged_s = time.monotonic()
    record(f'{primary.name} reports draining, which is acknowledged')
    arrivals: list[tuple[str, float]] = []

    def note(statement: stand.Statement) -> None:
        if statement.id != '-':
            after_s = time.monotonic() - acknowledged_s
            arrivals.append((statement.id, after_s))
            record(f'{primary.name} gets {statement.id} at {after_s:.2f} s')

    primary.seen = note
    await asyncio.sleep(START_S)
    system.start(edge)
    started_s = time.monotonic()
    record(f'{edge.name} is started by the platform')
    sent: dict[str, float] = {}
    while time.monotonic() - acknowledged_s < DRAIN_S + 6:
        now_s = time.monotonic()
        request_id = stand.new_id()
        sent[request_id] = now_s - started_s
        asyncio.create_task(attempt(system, edge, 0.0, request_id))
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.5)
    late = [
        (request_id, after_s)
        for request_id, after_s in arrivals
        if after_s > DRAIN_S + MARGIN_S
        and sent.get(request_id, 0.0) > IN_TOUCH_S + MARGIN_S
    ]
    for request_id, after_s in late:
        record(
            f'BROKEN: {request_id} reaches {primary.name} {after_s:.2f} s '
            f'after the acknowledgement, drainMs is {DRAIN_S:.0f} s; it was '
            f'sent {sent[request_id]:.2f} s after the start of {edge.name}'
        )
    record(f'requests that reached the database too late: {len(late)}')
    return stand.BROKEN if late else stand.HELD


async def attempt(
    system: stand.System,
    edge: stand.Node,
    delay_s: float,
    request_id: str = '',
) -> None:
    """Send one read in a session of its own."""
    client = stand.Client()
    request_id = request_id or stand.new_id()
    await asyncio.sleep(delay_s)
    try:
        async with asyncio.timeout(4):
            answer = await client.start(edge.address('frontend'), 'orders')
            if answer.startswith('READY'):
                answer, _, _ = await client.query('READ item', request_id)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
        answer = repr(exc)
    finally:
        client.close()
    system.record(f'{edge.name} {request_id} READ item: {answer}')


if __name__ == '__main__':
    stand.run(case, stand.System(edges=2))
