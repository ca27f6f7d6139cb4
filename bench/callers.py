"""Closed-loop callers: many open connections, few requests in flight.

Run as a process of its own, so that the callers do not share a core with
the process that is measured. Prints one JSON object.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections.abc import Sequence
from contextlib import AsyncExitStack
from typing import Any

import cbor2
import trio

from jackdawpost.runtime.metrics import build_histogram
from jackdawpost.runtime.metrics import summarize_histogram
from jackdawpost.runtime.process import raise_file_limit
from jackdawpost.wire.link import open_link
from jackdawpost.wire.stream import FrameStream

US_PER_S = 1_000_000
READ_SQL = 'select ?'
WRITE_SQL = (
    'insert into ledger (request_key, session, seq, part, parts) '
    "values (?, 'bench', 1, 0, 1)"
)


class CallerLoop:
    """Counts and latencies of all callers of this process."""

    def __init__(self, args: argparse.Namespace) -> None:
        self.args = args
        self.done = 0
        self.failed = 0
        self.errors: dict[str, int] = {}
        self.histogram = build_histogram()
        self._next_id = 0

    def build_frame(self) -> bytes:
        """Return the next request as one frame."""
        self._next_id += 1
        number = self._next_id
        message: dict[str, Any] = {
            'kind': 'statement',
            'id': number,
            'route': self.args.route,
            'access': 'read',
            'sql': READ_SQL,
            'params': [number],
            'deadline_ms': 10_000,
        }
        if number % 100 < self.args.write_percent:
            key = f'{os.getpid()}-{number}'
            message |= {
                'access': 'write',
                'sql': WRITE_SQL,
                'params': [key],
                'request_key': key,
            }
        elif self.args.max_age_ms is not None:
            message['max_age_ms'] = self.args.max_age_ms
        return cbor2.dumps(message)

    async def serve(self, streams: list[FrameStream], end_s: float) -> None:
        """Keep one request in flight over these connections in turn."""
        while True:
            for stream in streams:
                started_s = trio.current_time()
                if started_s >= end_s:
                    return
                stream.post(self.build_frame())
                self._count(cbor2.loads(await stream.receive()))
                elapsed_us = (trio.current_time() - started_s) * US_PER_S
                self.histogram.record_value(max(1, int(elapsed_us)))

    def _count(self, answer: dict[str, Any]) -> None:
        if answer.get('outcome') == 'done':
            self.done += 1
            return
        self.failed += 1
        code = answer.get('error', {}).get('code', '')
        self.errors[code] = self.errors.get(code, 0) + 1


async def run_callers(args: argparse.Namespace) -> dict[str, Any]:
    """Open the connections, run the load, and return the figures."""
    loop = CallerLoop(args)
    async with AsyncExitStack() as stack:
        streams = []
        for _ in range(args.connections):
            link = open_link(
                args.host, args.port, args.path, timeout_ms=30_000
            )
            streams.append(await stack.enter_async_context(link))
        print('ready', file=sys.stderr, flush=True)
        end_s = trio.current_time() + args.seconds
        async with trio.open_nursery() as nursery:
            for number in range(args.in_flight):
                own = streams[number :: args.in_flight]
                nursery.start_soon(loop.serve, own, end_s)
        return {
            'done': loop.done,
            'failed': loop.failed,
            'errors': loop.errors,
            'per_second': round(loop.done / args.seconds, 1),
            'latency_ms': summarize_histogram(loop.histogram),
        }


def main(argv: Sequence[str] | None = None) -> int:
    """Run the callers and print their figures."""
    parser = argparse.ArgumentParser(prog='python -m bench.callers')
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--path', default='/v1/session')
    parser.add_argument('--route', required=True)
    parser.add_argument('--connections', type=int, default=64)
    parser.add_argument('--in-flight', type=int, default=64)
    parser.add_argument('--seconds', type=float, default=5.0)
    parser.add_argument('--write-percent', type=int, default=10)
    parser.add_argument('--max-age-ms', type=int)
    args = parser.parse_args(argv)
    raise_file_limit()
    print(json.dumps(trio.run(run_callers, args)))
    return 0


if __name__ == '__main__':
    sys.exit(main())
