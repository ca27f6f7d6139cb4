"""Status reports of another writer with a very long, unknown service.

See claim.txt. Exit code: 0 the rule held, 1 it was broken, 2 could not run.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import stand_2 as stand  # noqa: E402

SERVICE_CHARS = 800_000
REPORT_INTERVAL_S = 1.2  # heartbeatIntervalMs of the settings file
RESTART_DELAY_S = 0.5
OBSERVE_S = 60.0
# RULES.md, Fault: three times in the day, on half of the core.
MAX_ENDS = 2


async def case(system: stand.System) -> int:
    record = system.record
    await system.start_cloud()
    group = stand.Group('spares-db')
    await system.add_group(group)
    for node in [*system.controls, *system.edges]:
        system.start(node)
    routes = [stand.route('orders', group.name, 'primary')]
    if await system.declare(system.config(routes)) != 200:
        return stand.COULD_NOT_RUN
    if not await system.wait_ready(system.edges):
        return stand.COULD_NOT_RUN
    await asyncio.sleep(4.0)
    ends = {node.name: 0 for node in system.controls}
    start_s = time.monotonic()
    next_report_s = next_read_s = start_s
    sequence = 0
    while time.monotonic() - start_s < OBSERVE_S:
        await restart_ended(system, ends)
        now_s = time.monotonic()
        if stand.TROUBLE and now_s >= next_report_s:
            next_report_s = now_s + REPORT_INTERVAL_S
            sequence += 1
            await send_foreign_report(system, sequence)
        if now_s >= next_read_s:
            next_read_s = now_s + 5
            status, _ = await system.call_control('GET', '/config')
            record(f'operator: GET /config: {status or "no answer"}')
        await asyncio.sleep(0.1)
    record(f'ends of core processes by themselves: {ends}')
    often = [name for name, count in ends.items() if count > MAX_ENDS]
    is_broken = 2 * len(often) >= len(system.controls)
    return stand.BROKEN if is_broken else stand.HELD


async def restart_ended(system: stand.System, ends: dict[str, int]) -> None:
    """Start the core processes that have ended again, as the platform does."""
    for node in system.controls:
        if node.process is None or node.process.poll() is None:
            continue
        ends[node.name] += 1
        system.record(
            f'{node.name} has ended by itself, exit code '
            f'{node.process.returncode}, for the {ends[node.name]}. time'
        )
        await asyncio.sleep(RESTART_DELAY_S)
        node.bootstrap = False
        system.start(node)


async def send_foreign_report(system: stand.System, sequence: int) -> None:
    """Send one report with a service that no desired state names."""
    body = {
        'service': 'x' * SERVICE_CHARS,
        'address': f'{system.network}.4:9000',
        'zone': next(iter(stand.ZONES)),
        'version': 'v1',
        'slots': 3,
        'state': 'ready',
        'coldRemainingMs': 0,
        'dbRole': 'replica',
        'sequence': sequence,
        'born': int(system.started_at_s * 1000),
    }
    status, _ = await system.call_control(
        'PUT', '/instances/e-00000001', json.dumps(body).encode()
    )
    system.record(
        f'another writer: report {sequence}, a service of {SERVICE_CHARS} '
        f'characters: {status or "no answer"}'
    )


if __name__ == '__main__':
    stand.run(case, stand.System(edges=1))
