"""Closed-loop load generator: many open connections, few requests in flight.

It runs in a separate process, so the callers do not share a core with the
measured process. The result is printed as one JSON object.
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

US_PER_SECOND = 1_000_000
READ_SQL = 'select ?'
WRITE_SQL = (
    'insert into ledger (request_key, session, seq, part, parts) '
    "values (?, 'bench', 1, 0, 1)"
)


class ClosedLoopCallers:
    """All callers of this process, with their counts and latencies."""

    def __init__(self, args: argparse.Namespace) -> None:
        self.args = args
        self.done = 0
        self.failed = 0
        self.errors: dict[str, int] = {}
        self.histogram = build_histogram()
        self._next_id = 0

    def build_frame(self) -> bytes:
        """Return the frame of the next statement request."""
        self._next_id += 1
        request_id = self._next_id
        message: dict[str, Any] = {
            'kind': 'statement',
            'id': request_id,
            'route': self.args.route,
            'access': 'read',
            'sql': READ_SQL,
            'params': [request_id],
            'deadline_ms': 10_000,
        }
        if request_id % 100 < self.args.write_percent:
            key = f'{os.getpid()}-{request_id}'
            message |= {
                'access': 'write',
                'sql': WRITE_SQL,
                'params': [key],
                'request_key': key,
            }
        elif self.args.max_age_ms is not None:
            message['max_age_ms'] = self.args.max_age_ms
        return cbor2.dumps(message)

    async def send_requests(
        self, streams: list[FrameStream], end_s: float
    ) -> None:
        """Send one request at a time, using the connections round-robin."""
        while True:
            for stream in streams:
                started_s = trio.current_time()
                if started_s >= end_s:
                    return
                stream.post(self.build_frame())
                self._count_outcome(cbor2.loads(await stream.receive()))
                elapsed_us = (trio.current_time() - started_s) * US_PER_SECOND
                self.histogram.record_value(max(1, int(elapsed_us)))

    def _count_outcome(self, answer: dict[str, Any]) -> None:
        if answer.get('outcome') == 'done':
            self.done += 1
            return
        self.failed += 1
        code = answer.get('error', {}).get('code', '')
        self.errors[code] = self.errors.get(code, 0) + 1


async def run_callers(args: argparse.Namespace) -> dict[str, Any]:
    """Open the connections, run the load and return the results."""
    callers = ClosedLoopCallers(args)
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
                assigned = streams[number :: args.in_flight]
                nursery.start_soon(callers.send_requests, assigned, end_s)
        return {
            'done': callers.done,
            'failed': callers.failed,
            'errors': callers.errors,
            'per_second': round(callers.done / args.seconds, 1),
            'latency_ms': summarize_histogram(callers.histogram),
        }


def main(argv: Sequence[str] | None = None) -> int:
    """Run the callers and print the results as JSON."""
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
