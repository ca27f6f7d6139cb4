"""Records event traces of a real cluster during failures.

Each script in `SCRIPTS` writes through a proxy and injects one failure.

Example: ``python -m bench.record_traces --output /tmp/traces``
"""

from __future__ import annotations

import argparse
import json
import shutil
import sys
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from pathlib import Path

import trio

from bench.cluster import Cluster
from bench.cluster import run_cluster
from bench.demo import prepare_cluster
from bench.deployments import Deployment
from bench.failover import find_primaries
from bench.load import CREATE_TABLE
from bench.load import INSERT
from bench.load import route_of
from bench.partition import PartitionRelay
from bench.partition import relay_control_links
from bench.partition import send_fault_request
from jackdawpost.client import Session
from jackdawpost.client.session import open_session
from jackdawpost.errors import RequestError
from jackdawpost_standin.faults import FaultState
from jackdawpost_standin.faults import SetFaults

PROXY = 'proxy-0'
GROUP = 'orders'
# Longer than a lease of 1.5 s.
LATE_ANSWER_MS = 2_500
DEADLINE_MS = 5_000
# Enough for the proxy to get a permit and send the statement.
SEND_WAIT_S = 0.3
TRACED_DEPLOYMENT = Deployment(
    name='traced',
    data_centres=('reykjavik', 'akureyri', 'egilsstadir'),
    groups=(GROUP, 'stock'),
    slots=3,
    connections=20,
    opening_ms=10,
    proxies=1,
)

Script = Callable[[Cluster, list[PartitionRelay], Session], Awaitable[None]]


async def write(session: Session, key: str) -> None:
    """Write one row and print the outcome."""
    try:
        await session.write(
            route_of(GROUP),
            INSERT,
            [key, 'traced', 1, 0, 1],
            request_key=key,
            deadline_ms=DEADLINE_MS,
        )
    except RequestError as exc:
        print(key, exc.outcome, exc.code)
    else:
        print(key, 'done')


async def kill_primary(
    cluster: Cluster, relays: list[PartitionRelay], session: Session
) -> None:
    """Write, kill the primary, write again and read the rows."""
    await write(session, 'before')
    primary = find_primaries(cluster)[GROUP].name
    await trio.to_thread.run_sync(cluster.kill, primary)
    await write(session, 'after')
    sql = 'select request_key from ledger order by id'
    print((await session.read(route_of(GROUP), sql)).rows)


async def isolate_proxy_during_write(
    cluster: Cluster, relays: list[PartitionRelay], session: Session
) -> None:
    """Partition a proxy from all control processes during a write.

    The answer to the write arrives late.
    """
    await write(session, 'before')
    state = FaultState(answer_delay_ms=LATE_ANSWER_MS)
    primary = find_primaries(cluster)[GROUP].name
    await send_fault_request(cluster, primary, SetFaults(id=1, state=state))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(write, session, 'in-flight')
        await trio.sleep(SEND_WAIT_S)
        for relay in relays:
            relay.set_partitioned(True)
    await write(session, 'too-late')


SCRIPTS: dict[str, Script] = {
    'proxy-failover': kill_primary,
    'proxy-lease-lost': isolate_proxy_during_write,
}


def record_script(name: str, output: Path) -> None:
    """Run a script and store the traces of proxy and control processes."""
    relays: list[PartitionRelay] = []

    def edit_settings(folder: Path) -> None:
        relays.extend(relay_control_links(folder, PROXY))

    with run_cluster(TRACED_DEPLOYMENT, edit_settings, record=True) as cluster:
        trio.run(_run_script, cluster, SCRIPTS[name], relays)
        for program in [PROXY, *cluster.names('control')]:
            trace = cluster.folder / f'{program}.jsonl'
            shutil.copy(trace, output / f'{name}.{program}.jsonl')


async def _run_script(
    cluster: Cluster, script: Script, relays: list[PartitionRelay]
) -> None:
    async with trio.open_nursery() as nursery:
        for relay in relays:
            nursery.start_soon(relay.run)
        changes = cluster.folder / 'changes.json'
        changes.write_text(
            json.dumps({'operations': _list_group_operations()})
        )
        await trio.to_thread.run_sync(prepare_cluster, cluster, changes)
        async with open_session(cluster.proxy_addresses()) as session:
            await session.write(
                route_of(GROUP), CREATE_TABLE, deadline_ms=DEADLINE_MS
            )
            await script(cluster, relays, session)
        nursery.cancel_scope.cancel()


def _list_group_operations() -> list[dict[str, object]]:
    body = {'databases': 3, 'write_copies': 2, 'replica_wait_ms': 50}
    return [
        {'action': 'create', 'type': 'group', 'name': name, 'body': body}
        for name in TRACED_DEPLOYMENT.groups
    ]


def main(argv: Sequence[str] | None = None) -> int:
    """Record the traces of all scripts and return 0."""
    parser = argparse.ArgumentParser(prog='python -m bench.record_traces')
    parser.add_argument('--output', type=Path, required=True)
    args = parser.parse_args(argv)
    args.output.mkdir(parents=True, exist_ok=True)
    for name in SCRIPTS:
        record_script(name, args.output)
    return 0


if __name__ == '__main__':
    sys.exit(main())
