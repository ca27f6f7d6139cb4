"""Compares the throughput of a proxy with that of a minimal relay."""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import trio

from bench.cluster import allocate_port
from bench.cluster import Cluster
from bench.cluster import LOOPBACK
from bench.cluster import run_cluster
from bench.demo import prepare_cluster
from bench.deployments import Deployment
from bench.failover import find_primaries
from bench.load import create_tables
from bench.load import route_of

CALLERS = 5_300
CALLER_PROCESSES = 2
IN_FLIGHT = 64
RELAY_STARTUP_S = 1.0
MIB = 1 << 20
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


def run_throughput(
    deployment: Deployment, args: argparse.Namespace
) -> dict[str, Any]:
    """Measure a proxy and a minimal relay on the same cluster."""
    scaled = replace(deployment, groups=('bench',), proxies=1, opening_ms=1)
    with run_cluster(
        scaled,
        database_settings={'service_ms': 0, 'latency_ms': 0},
        proxy_settings={'max_callers': 2 * CALLERS},
    ) as cluster:
        prepare_cluster(cluster, write_group_changes(cluster))
        groups = list(scaled.groups)
        trio.run(create_tables, cluster.proxy_addresses(), groups)
        proxy = cluster.programs['proxy-0']
        results = {
            'proxy': _measure_server(
                cluster, proxy.process, proxy.port, args, CALLERS
            ),
            'proxy_reads_with_age': _measure_server(
                cluster, proxy.process, proxy.port, args, CALLERS, 1_000
            ),
        }
        with _run_relay(cluster) as (relay, port):
            results['relay'] = _measure_server(
                cluster, relay, port, args, CALLERS
            )
        relay_rate = results['relay']['per_second']
        if relay_rate:
            ratio = results['proxy']['per_second'] / relay_rate
            results['ratio_to_relay'] = round(ratio, 3)
    return results


def write_group_changes(cluster: Cluster) -> Path:
    """Write a change set that creates the first group with a long queue."""
    group = cluster.deployment.groups[0]
    operations = [
        {
            'action': 'create',
            'type': 'group',
            'name': group,
            'body': {'databases': 3, 'write_copies': 2},
        },
        {
            'action': 'create',
            'type': 'limit',
            'name': group,
            'body': {'group': group, 'queue_length': 10_000},
        },
    ]
    path = cluster.folder / 'changes.json'
    path.write_text(json.dumps({'operations': operations}))
    return path


@contextmanager
def _run_relay(
    cluster: Cluster,
) -> Iterator[tuple[subprocess.Popen[bytes], int]]:
    primary = next(iter(find_primaries(cluster).values()))
    port = allocate_port()
    command = [
        sys.executable,
        '-m',
        'bench.relay',
        '--port',
        str(port),
        '--upstream-port',
        str(cluster.programs[primary.name].port),
        '--term',
        str(primary.term),
    ]
    # Otherwise the proxy would occupy slots of the upstream while the relay is
    # measured.
    cluster.suspend('proxy-0')
    relay = subprocess.Popen(command)
    try:
        time.sleep(RELAY_STARTUP_S)
        yield relay, port
    finally:
        relay.kill()
        relay.wait()
        cluster.resume('proxy-0')


def _measure_server(
    cluster: Cluster,
    server: subprocess.Popen[bytes] | None,
    port: int,
    args: argparse.Namespace,
    callers: int,
    max_age_ms: int | None = None,
) -> dict[str, Any]:
    if server is None:
        raise RuntimeError('the process to measure has not been started')
    route = route_of(cluster.deployment.groups[0])
    command = [
        sys.executable,
        '-m',
        'bench.callers',
        '--host',
        LOOPBACK,
        '--port',
        str(port),
        '--route',
        route,
        '--connections',
        str(callers // CALLER_PROCESSES),
        '--in-flight',
        str(IN_FLIGHT // CALLER_PROCESSES),
        '--seconds',
        str(args.seconds),
    ]
    if max_age_ms is not None:
        command += ['--max-age-ms', str(max_age_ms)]
    processes = [
        subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=subprocess.PIPE
        )
        for _ in range(CALLER_PROCESSES)
    ]
    # Each process prints a line once its connections are open.
    for process in processes:
        if process.stderr is not None:
            process.stderr.readline()
    cpu_before_s = read_cpu_s(server.pid)
    started_s = time.monotonic()
    outputs = [process.communicate()[0] for process in processes]
    elapsed_s = time.monotonic() - started_s
    results = [json.loads(output) for output in outputs]
    used_s = read_cpu_s(server.pid) - cpu_before_s
    done = sum(result['done'] for result in results)
    return {
        'per_second': round(done / args.seconds, 1),
        'failed': sum(result['failed'] for result in results),
        'errors': [result['errors'] for result in results],
        'core_share': round(used_s / elapsed_s, 3),
        'cpu_us_per_statement': round(used_s / max(1, done) * 1e6, 1),
        'rss_mib': round(read_rss_bytes(server.pid) / MIB, 1),
        'callers': callers,
        'p50_ms': results[0]['latency_ms']['p50'],
        'p99_ms': results[0]['latency_ms']['p99'],
    }


def read_cpu_s(pid: int) -> float:
    """Return the processor time used by a process, in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_rss_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    pages = Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * PAGE_BYTES
