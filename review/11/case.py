"""Case 11: a replica that runs is left out of a promotion."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.stand_3 import BROKEN
from review.stand_3 import build_config
from review.stand_3 import Deployment
from review.stand_3 import HELD
from review.stand_3 import NotRunError
from review.stand_3 import Record
from review.stand_3 import run_case
from review.stand_3 import Write
from review.stand_3 import write_forever

# Seconds since the start of the cut.
DEAF_AT_S = 1.5
CRASH_AT_S = 3.5
CUT_END_S = 5.5
DEAF_END_S = 8.0
RESTART_AT_S = 10.5


async def case(record: Record, is_disturbed: bool) -> int:
    """Play the case; return whether the rule held."""
    stand = Deployment(record, edges=4, sync_replicas=1)
    writes: list[Write] = []
    try:
        await stand.start(build_config(stand.group))
        for node in stand.edges:
            stand.spawn(write_forever(node, writes, record))
        await asyncio.sleep(6.0)
        if not any(write.is_acknowledged for write in writes):
            raise NotRunError('no write was acknowledged in calm')
        if is_disturbed:
            await disturb(stand, record)
        await asyncio.sleep(12.0)
        return judge(stand, writes, record)
    finally:
        await stand.close()


async def disturb(stand: Deployment, record: Record) -> None:
    """Cut off one replica; the other is deaf and the primary crashes."""
    primary, near, deaf = stand.group.databases
    record.write(f'{near.name} is cut off from all machines (refuse)')
    near.reports = False
    near.close_port()
    await asyncio.sleep(DEAF_AT_S)
    record.write(f'{deaf.name} receives nothing')
    deaf.is_deaf = True
    await asyncio.sleep(CRASH_AT_S - DEAF_AT_S)
    record.write(f'{primary.name} crashes')
    primary.crash()
    await asyncio.sleep(CUT_END_S - CRASH_AT_S)
    record.write(f'the cut of {near.name} has healed')
    near.reports = True
    await near.open_port()
    near.report_soon()
    await asyncio.sleep(DEAF_END_S - CUT_END_S)
    record.write(f'{deaf.name} receives again')
    deaf.is_deaf = False
    await asyncio.sleep(RESTART_AT_S - DEAF_END_S)
    record.write(f'{primary.name} is back with its log')
    await primary.start()
    primary.report_soon()


def judge(stand: Deployment, writes: list[Write], record: Record) -> int:
    """Compare the acknowledged writes with the log of the primary."""
    group = stand.group
    kept = {
        request
        for commit in group.primary.log
        for request, _, _ in commit.writes
    }
    acked = [write for write in writes if write.is_acknowledged]
    lost = [write for write in acked if write.request not in kept]
    for at_s, name, holder, fence, status in group.calls:
        record.write(
            f'promote {name} by {holder} fence {fence}: {status}, '
            f'called {at_s - writes[0].sent_s:.3f} s after the first write'
        )
    record.write(
        f'{len(acked)} writes acknowledged; primary {group.primary.name} in '
        f'term {group.primary.term}; {len(lost)} of them are not in its log'
    )
    for write in lost[:20]:
        record.write(f'lost: {write.request}, answered {write.answer}')
    return BROKEN if lost else HELD


if __name__ == '__main__':
    sys.exit(run_case(case, Path(__file__).resolve().parent))
