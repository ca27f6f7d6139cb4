"""Minimal relay between callers and a database, as a throughput baseline.

It forwards each statement of a caller as an `execute` message on one of a few
upstream connections, and each result as an answer. It has no routing, tokens,
leases, limits, validation or checks.
"""

from __future__ import annotations

import argparse
import itertools
import sys
from collections.abc import Sequence
from typing import Any

import cbor2
import trio

from jackdawpost.runtime.process import raise_file_limit
from jackdawpost.wire.link import open_link
from jackdawpost.wire.server import Endpoints
from jackdawpost.wire.server import serve_endpoints
from jackdawpost.wire.stream import FrameStream
from jackdawpost.wire.stream import LinkClosedError

UPSTREAM_CONNECTIONS = 3


class Relay:
    """Upstream connections and the requests in flight on them."""

    def __init__(self, term: int) -> None:
        self._term = term
        self._upstreams: list[FrameStream] = []
        self._request_ids = itertools.count(1)
        self._pending: dict[int, tuple[FrameStream, int]] = {}

    async def run_upstream(self, host: str, port: int) -> None:
        """Open an upstream connection and forward its results."""
        async with open_link(host, port, '/v1/upstream') as stream:
            stream.post(
                cbor2.dumps(
                    {'kind': 'open', 'peer': 'relay', 'purpose': 'statements'}
                )
            )
            await stream.receive()
            self._upstreams.append(stream)
            while True:
                value = cbor2.loads(await stream.receive())
                for result in value if isinstance(value, list) else [value]:
                    self._answer(result)

    async def serve_caller(self, caller: FrameStream, peer: str) -> None:
        """Forward the statements of one caller."""
        try:
            while True:
                request = cbor2.loads(await caller.receive())
                self._forward(caller, request)
        except LinkClosedError:
            return

    def _forward(self, caller: FrameStream, request: dict[str, Any]) -> None:
        upstream_request_id = next(self._request_ids)
        self._pending[upstream_request_id] = (caller, request['id'])
        upstream = self._upstreams[upstream_request_id % len(self._upstreams)]
        message = {
            'kind': 'execute',
            'id': upstream_request_id,
            'sql': request['sql'],
            'params': request['params'],
            'access': request['access'],
            'term': self._term,
            'must_lead': True,
            'timeout_ms': request['deadline_ms'],
        }
        if 'request_key' in request:
            message['request_key'] = request['request_key']
        upstream.post(cbor2.dumps(message))

    def _answer(self, result: dict[str, Any]) -> None:
        caller, caller_request_id = self._pending.pop(result['id'])
        answer = {
            'kind': 'answer',
            'id': caller_request_id,
            'outcome': result['status'],
            'rows': result.get('rows'),
            'row_count': result.get('row_count'),
        }
        caller.post(cbor2.dumps(answer))


async def run_relay(args: argparse.Namespace) -> None:
    """Run the relay until the process is killed."""
    relay = Relay(args.term)
    endpoints = Endpoints({'/v1/session': relay.serve_caller}, {})
    async with trio.open_nursery() as nursery:
        for _ in range(UPSTREAM_CONNECTIONS):
            nursery.start_soon(
                relay.run_upstream, args.host, args.upstream_port
            )
        await serve_endpoints(args.host, args.port, endpoints)


def main(argv: Sequence[str] | None = None) -> int:
    """Run the relay."""
    parser = argparse.ArgumentParser(prog='python -m bench.relay')
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--upstream-port', type=int, required=True)
    parser.add_argument('--term', type=int, required=True)
    args = parser.parse_args(argv)
    raise_file_limit()
    trio.run(run_relay, args)
    return 0


if __name__ == '__main__':
    sys.exit(main())
