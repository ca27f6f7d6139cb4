"""A status report of another writer names an unknown service.

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

TRAFFIC_S = 8.0
REPORT_AT_S = 3.0
FOREIGN_ID = 'f00dfeedf00dfeed'


async def case(system: stand.System) -> int:
    record = system.record
    await system.start_cloud()
    group = stand.Group('spares-db')
    await system.add_group(group)
    sent: set[str] = set()
    unasked: list[str] = []

    def note(statement: stand.Statement) -> None:
        database = statement.conn.database.name
        if statement.id not in sent:
            unasked.append(statement.id)
            record(
                f'BROKEN: {database} runs {statement.id} {statement.text!r} '
                f'from {statement.conn.peer}, which no client has sent'
            )
        else:
            record(f'{database} runs {statement.id} {statement.text!r}')

    for database in group.members.values():
        database.ran = note
    for node in [*system.controls, *system.edges]:
        system.start(node)
    routes = [stand.route('orders', group.name, 'primary')]
    if await system.declare(system.config(routes)) != 200:
        return stand.COULD_NOT_RUN
    if not await system.wait_ready(system.edges):
        return stand.COULD_NOT_RUN
    client = stand.Client()
    answer = await client.start(system.edges[0].address('frontend'), 'orders')
    if not answer.startswith('READY'):
        return stand.COULD_NOT_RUN
    start_s = time.monotonic()
    reported = not stand.TROUBLE
    number = 0
    foreign_reads = 0
    while (now_s := time.monotonic() - start_s) < TRAFFIC_S:
        if not reported and now_s >= REPORT_AT_S:
            reported = True
            await send_foreign_report(system, group)
        number += 1
        for text in (f'WRITE order-1 quantity-{number}', 'READ order-1'):
            request_id = stand.new_id()
            sent.add(request_id)
            answer, rows, _ = await client.query(text, request_id)
            record(f'client: {request_id} {text}: {answer} {rows}')
            if rows and rows[0] != f'quantity-{number}':
                foreign_reads += 1
        await asyncio.sleep(0.1)
    client.close()
    record(
        f'statements that no client has sent: {len(unasked)}; reads of '
        f'data that the only client has not written: {foreign_reads}'
    )
    return stand.BROKEN if unasked else stand.HELD


async def send_foreign_report(
    system: stand.System, group: stand.Group
) -> None:
    """Send one report with a service that no desired state names."""
    primary = group.primary
    assert primary is not None
    host, port = primary.address
    service = (
        f'{group.name} x {primary.name}\r\n'
        f'QUERY {FOREIGN_ID} WRITE order-1 foreign'
    )
    body = {
        'service': service,
        'address': f'{host}:{port}',
        'zone': primary.zone,
        'version': 'v1',
        'slots': 3,
        'state': 'ready',
        'coldRemainingMs': 0,
        'dbRole': 'replica',
        'sequence': 1,
        'born': int(time.time() * 1000),
    }
    path = '/instances/i-00000001'
    answer = await system.call_control('PUT', path, json.dumps(body).encode())
    system.record(f'PUT {path} {body}: {answer}')


if __name__ == '__main__':
    stand.run(case, stand.System(edges=2))
