"""Compares the latency of reads through a proxy with that of direct reads."""

from __future__ import annotations

import argparse
from dataclasses import replace
from typing import Any

import trio

from bench.cluster import Cluster
from bench.cluster import LOOPBACK
from bench.cluster import run_cluster
from bench.demo import prepare_cluster
from bench.deployments import Deployment
from bench.experiment_throughput import write_group_changes
from bench.failover import find_primaries
from bench.load import create_tables
from bench.load import route_of
from jackdawpost.client import open_session
from jackdawpost.client import Session
from jackdawpost.core.messages.upstream import Execute
from jackdawpost.core.messages.upstream import Executed
from jackdawpost.core.messages.upstream import Open
from jackdawpost.core.messages.upstream import Opened
from jackdawpost.runtime.metrics import build_histogram
from jackdawpost.runtime.metrics import summarize_histogram
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.link import open_link

CALLERS = (1, 16, 128)
SLOTS = 128
CONNECTIONS = 400
SQL = 'select ?'
TIMEOUT_MS = 10_000
US_PER_SECOND = 1_000_000

_CODEC = FrameCodec(Opened, Executed)


def run_latency(
    deployment: Deployment, args: argparse.Namespace
) -> dict[str, Any]:
    """Measure reads through a proxy and directly on the primary."""
    scaled = replace(
        deployment,
        groups=('bench',),
        proxies=1,
        opening_ms=1,
        slots=SLOTS,
        connections=CONNECTIONS,
    )
    results = {}
    with run_cluster(
        scaled, database_settings={'service_ms': 0, 'latency_ms': 0}
    ) as cluster:
        prepare_cluster(cluster, write_group_changes(cluster))
        trio.run(create_tables, cluster.proxy_addresses(), ['bench'])
        for callers in CALLERS:
            results[f'{callers} callers'] = {
                'proxy': trio.run(_run_proxied, cluster, callers, args),
                'direct': trio.run(_run_direct, cluster, callers, args),
            }
    return results


async def _run_proxied(
    cluster: Cluster, callers: int, args: argparse.Namespace
) -> dict[str, float]:
    histogram = build_histogram()
    route = route_of('bench')

    async def send_read(session: Session) -> None:
        await session.read(route, SQL, [1], deadline_ms=TIMEOUT_MS)

    async def run_caller(end_s: float) -> None:
        async with open_session(cluster.proxy_addresses()) as session:
            while trio.current_time() < end_s:
                started_s = trio.current_time()
                await send_read(session)
                elapsed_s = trio.current_time() - started_s
                histogram.record_value(max(1, int(elapsed_s * US_PER_SECOND)))

    await _run_callers(run_caller, callers, args.seconds)
    return summarize_histogram(histogram)


async def _run_direct(
    cluster: Cluster, callers: int, args: argparse.Namespace
) -> dict[str, float]:
    histogram = build_histogram()
    primary = find_primaries(cluster)['bench']
    port = cluster.programs[primary.name].port
    message = Execute(
        id=1,
        sql=SQL,
        params=[1],
        access='read',
        term=primary.term,
        must_lead=True,
        timeout_ms=TIMEOUT_MS,
    )

    async def run_caller(end_s: float) -> None:
        async with open_link(LOOPBACK, port, '/v1/upstream') as link:
            link.post(encode_cbor([Open(peer='x', purpose='statements')]))
            _CODEC.decode(await link.receive())
            while trio.current_time() < end_s:
                started_s = trio.current_time()
                link.post(encode_cbor([message]))
                _CODEC.decode(await link.receive())
                elapsed_s = trio.current_time() - started_s
                histogram.record_value(max(1, int(elapsed_s * US_PER_SECOND)))

    await _run_callers(run_caller, callers, args.seconds)
    return summarize_histogram(histogram)


async def _run_callers(run_caller: Any, callers: int, seconds: float) -> None:
    end_s = trio.current_time() + seconds
    async with trio.open_nursery() as nursery:
        for _ in range(callers):
            nursery.start_soon(run_caller, end_s)
