"""Helpers of the failover experiments.

They find primaries, read the rows stored after a run and measure the time
without acknowledged writes after a failure.
"""

from __future__ import annotations

from typing import NamedTuple

import trio

from bench.cluster import Cluster
from bench.cluster import LOOPBACK
from jackdawpost.core.messages.upstream import Execute
from jackdawpost.core.messages.upstream import Executed
from jackdawpost.core.messages.upstream import Open
from jackdawpost.core.messages.upstream import Opened
from jackdawpost.testing.history import History
from jackdawpost.testing.history import StoredRow
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.link import open_link

SELECT_ROWS = 'select request_key, session, seq, part, parts from ledger'
PAGE_ROWS = 2_000
READ_TIMEOUT_MS = 20_000

_CODEC = FrameCodec(Opened, Executed)


class Primary(NamedTuple):
    """The primary of a group and its term."""

    name: str
    term: int


def find_primaries(cluster: Cluster) -> dict[str, Primary]:
    """Return the primary of each group that has one, as a proxy reports it."""
    for name in cluster.names('proxy'):
        status, dump = cluster.fetch_json(name, '/dump')
        if status == 200:
            views = [item['view'] for item in dump['groups'].values()]
            return {
                view['name']: Primary(view['primary'], view['term'])
                for view in views
                if view['primary']
            }
    return {}


async def read_stored_rows(cluster: Cluster) -> dict[str, list[StoredRow]]:
    """Read the ledger of each group directly from its primary."""
    primaries = await trio.to_thread.run_sync(find_primaries, cluster)
    return {
        group: await _read_ledger(cluster, primary)
        for group, primary in primaries.items()
    }


async def _read_ledger(cluster: Cluster, primary: Primary) -> list[StoredRow]:
    name = primary.name
    rows: list[StoredRow] = []
    port = cluster.programs[name].port
    async with open_link(LOOPBACK, port, '/v1/upstream') as link:
        link.post(encode_cbor([Open(peer='checker', purpose='statements')]))
        opened = _CODEC.decode(await link.receive())[0]
        if not isinstance(opened, Opened):
            raise RuntimeError(f'{name} answered {opened}, expected Opened')
        while True:
            message = Execute(
                id=1 + len(rows),
                sql=f'{SELECT_ROWS} order by id limit ? offset ?',
                params=[PAGE_ROWS, len(rows)],
                access='read',
                term=primary.term,
                must_lead=False,
                timeout_ms=READ_TIMEOUT_MS,
            )
            link.post(encode_cbor([message]))
            reply = _CODEC.decode(await link.receive())[0]
            if reply.status != 'done':
                raise RuntimeError(
                    f'{name} failed to read the ledger: '
                    f'{reply.code}: {reply.message}'
                )
            rows += [StoredRow(*row) for row in reply.rows or []]
            if len(reply.rows or []) < PAGE_ROWS:
                return rows


def measure_write_gap(
    history: History, group: str, failed_at_ms: float
) -> float:
    """Return the time without an acknowledged write after a failure, in ms.

    The gap starts at the failure and ends with the first acknowledgment of a
    write to the group that was started after the failure. It is infinite if
    there is no such write.
    """
    acknowledged_ms = [
        write.ended_ms
        for write in history.writes
        if write.group == group
        and write.outcome == 'done'
        and write.started_ms > failed_at_ms
    ]
    return (
        min(acknowledged_ms) - failed_at_ms
        if acknowledged_ms
        else float('inf')
    )
