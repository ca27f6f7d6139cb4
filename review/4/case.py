"""A status report of another writer ends all edge processes again and again.

The report names a service that no desired state names, and its address holds
a byte that cannot be read. It names no database to use.
"""

from __future__ import annotations

import json
import sys

import trio

from review.stand import CannotRunError
from review.stand import Deployment
from review.stand import Node
from review.stand import run_case

CALM_S = 6.0
OBSERVED_S = 20.0
WRITE_GAP_S = 0.1
# The rule: processes end by themselves three times in the day, on two
# machines at least.
ENDS = 3
MACHINES = 2
FOREIGN_REPORT = {
    'service': 'elsewhere',
    'address': '127.0.0.1\ufffd:5432',
    'zone': 'z1',
    'version': 'v1',
    'slots': 3,
    'state': 'ready',
    'coldRemainingMs': 0,
    'dbRole': 'replica',
    'sequence': 1,
}


async def scenario(
    deployment: Deployment, nursery: trio.Nursery, with_trouble: bool
) -> str:
    """Send one foreign status report to each control process in turn."""
    record = deployment.record
    for edge in deployment.edges:
        nursery.start_soon(_write, deployment, edge)
    await trio.sleep(CALM_S)
    if any(node.exits for node in deployment.nodes):
        raise CannotRunError('a process ended before the disruption')
    if with_trouble:
        answer = await deployment.call_control(
            'PUT', '/instances/i-foreign', json.dumps(FOREIGN_REPORT).encode()
        )
        record.write(
            f'foreign status report: {answer.status if answer else "no 200"}'
        )
    await trio.sleep(OBSERVED_S)
    for node in deployment.nodes:
        if node.exits:
            record.write(f'{node.name} ended by itself at {node.exits}')
    ending = [n.name for n in deployment.nodes if len(n.exits) >= ENDS]
    if len(ending) < MACHINES:
        return ''
    return f'Fault: {ending} ended by themselves {ENDS} times or more'


async def _write(deployment: Deployment, edge: Node) -> None:
    while True:
        await deployment.write_once(edge)
        await trio.sleep(WRITE_GAP_S)


if __name__ == '__main__':
    sys.exit(run_case(__file__, scenario))
