"""A replica that crashed earlier is not asked before a promotion.

The replica that is left has received nothing for a while, and lacks commits
that the crashed one helped to acknowledge.
"""

from __future__ import annotations

import sys

import trio

from review.stand import CannotRunError
from review.stand import Deployment
from review.stand import Node
from review.stand import run_case

CALM_S = 6.0
WRITE_GAP_S = 0.03
DEAF_S = 1.0  # before the replica crashes
REPLICA_EARLIER_S = 2.6  # from the crash of the replica to the primary's
DOWN_S = 7.0  # `for_s` of `srv_crash` in the site file
OBSERVED_S = 8.0
DEAF_LIMIT_S = 6.5  # `for_s` of `replica_lag` "deaf crash" in the site file
NEVER_S = 1e9
NORMAL_DELAY_S = 0.005


async def scenario(
    deployment: Deployment, nursery: trio.Nursery, with_trouble: bool
) -> str:
    """Make one replica deaf, crash the other one, then the primary."""
    record = deployment.record
    group = deployment.group
    primary = group.databases[group.primary]
    deaf, other = (
        reporter
        for reporter in deployment.reporters
        if reporter.database is not primary
    )
    [own] = [r for r in deployment.reporters if r.database is primary]
    await trio.sleep(CALM_S)
    for edge in deployment.edges:
        nursery.start_soon(_write, deployment, edge)
    await trio.sleep(CALM_S)
    if group.promotions:
        raise CannotRunError('a promotion before the disruption')
    if with_trouble:
        deaf.database.receive_delay_s = NEVER_S
        record.write(f'{deaf.database.name} receives nothing')
        await trio.sleep(DEAF_S)
        await other.database.crash()
        record.write(f'crash of {other.database.name} (replica)')
        await trio.sleep(REPLICA_EARLIER_S)
        await primary.crash()
        record.write(f'crash of {primary.name} (primary)')
        await trio.sleep(DEAF_LIMIT_S - DEAF_S - REPLICA_EARLIER_S)
        deaf.database.receive_delay_s = NORMAL_DELAY_S
        record.write(f'{deaf.database.name} receives again')
        await trio.sleep(DOWN_S + DEAF_S - DEAF_LIMIT_S)
        await other.restart(keeps_log=True)
        record.write(f'{other.database.name} runs again, with its log')
        await trio.sleep(REPLICA_EARLIER_S)
        await own.restart(keeps_log=True)
        record.write(f'{primary.name} runs again, with its log')
    await trio.sleep(OBSERVED_S)
    for name, token, lost in group.promotions:
        record.write(f'promoted {name} under {token}, lacks {lost}')
    broken = [p for p in group.promotions if p[2]]
    if not broken:
        return ''
    name, token, lost = broken[0]
    return (
        f'LOST: {name} was promoted (fence {token}) without {len(lost)} '
        f'acknowledged writes, the first of which is {lost[0]}'
    )


async def _write(deployment: Deployment, edge: Node) -> None:
    while True:
        caller = await deployment.open_session(edge, 'orders')
        if caller is not None:
            async with caller.stream:
                while await deployment.write(caller, edge.name) == 'done':
                    await trio.sleep(WRITE_GAP_S)
        await trio.sleep(0.2)


if __name__ == '__main__':
    sys.exit(run_case(__file__, scenario, sync_replicas=1))
