"""What stands around the system: platform, databases' reports, operator."""

from __future__ import annotations

import json
import random
import time
from dataclasses import dataclass
from dataclasses import field
from http import HTTPStatus
from typing import Literal

import trio

from jackdawpost.platform.http import HttpError
from jackdawpost.platform.http import HttpRequest
from jackdawpost.platform.http import HttpResponse
from jackdawpost.platform.http import send_request
from jackdawpost.platform.settings import split_address
from jackdawpost_standin.line_database import LineDatabase
from jackdawpost_standin.line_database import LineGroup
from soak.cluster import CONTROL_PORT

CALL_TIMEOUT_S = 1.0  # of the platform's own calls
BEAT_S = 0.4
PROMOTE_S = 0.2
LATE_S = 2.0  # delay of an order that gets no answer and runs later
MAX_REDIRECTS = 2
CHANGE_S = 1.0  # mean time between two changes of an operator
STALENESS_MS = 1_500
TIMEOUT_MS = 1_500
ROUTES = {
    'orders': 'primary',
    'reports': 'bounded_staleness',
    'returns': 'read_your_writes',
}


async def call_control(
    hosts: list[str], method: str, path: str, body: bytes
) -> HttpResponse | None:
    """Call one control process after another until one answers 200."""
    for host in hosts:
        place, target = (host, CONTROL_PORT), path
        for _ in range(1 + MAX_REDIRECTS):
            try:
                response = await send_request(
                    place, method, target, [], body, CALL_TIMEOUT_S
                )
            except HttpError:
                break
            if response.status == HTTPStatus.OK:
                return response
            if response.status != HTTPStatus.TEMPORARY_REDIRECT:
                break
            location = dict(response.headers)['location'].removeprefix(
                'http://'
            )
            address, _, rest = location.partition('/')
            place, target = split_address(address), '/' + rest
    return None


@dataclass
class Platform:
    """Takes orders to promote; may lose the answer or run them late."""

    group: LineGroup
    nursery: trio.Nursery
    loses_answer: bool = False
    runs_late: bool = False
    tokens: list[tuple[int, str]] = field(default_factory=list)

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Answer one call."""
        if request.path != '/promote':
            return HttpResponse(HTTPStatus.NOT_FOUND)
        body = json.loads(request.body)
        headers = dict(request.headers)
        token = int(headers['x-fencing-token'])
        self.tokens.append((token, headers['x-lease-holder']))
        if self.runs_late:
            self.nursery.start_soon(self._promote_late, body['id'], token)
            await trio.sleep_forever()
        await trio.sleep(PROMOTE_S)
        done = self.group.promote(body['id'], token)
        if self.loses_answer:
            await trio.sleep_forever()
        if done:
            return HttpResponse(HTTPStatus.OK, b'{}')
        return HttpResponse(HTTPStatus.CONFLICT, b'{}')

    async def _promote_late(self, name: str, token: int) -> None:
        await trio.sleep(LATE_S)
        self.group.promote(name, token)


@dataclass
class Reporter:
    """Reports one database, as the database itself would."""

    database: LineDatabase
    address: str
    zone: str
    hosts: list[str]
    rng: random.Random
    sequence: int = 0
    state: Literal['ready', 'draining'] = 'ready'
    started_ms: int = field(default_factory=lambda: int(time.time() * 1_000))

    async def run(self) -> None:
        """Report for ever."""
        while True:
            if self.database.is_running:
                await self._report()
            await trio.sleep(BEAT_S)

    async def leave(self) -> None:
        """Report that the database leaves until that is acknowledged."""
        self.state = 'draining'
        while not await self._report():
            await trio.sleep(BEAT_S)

    async def depart(self) -> None:
        """Say that the database has ended."""
        hosts = self.rng.sample(self.hosts, len(self.hosts))
        body = json.dumps({'born': self.started_ms}).encode()
        await call_control(hosts, 'DELETE', self._path(), body)

    def renew(self) -> None:
        """Report the next incarnation of the database."""
        self.state = 'ready'
        self.sequence = 0
        self.started_ms = int(time.time() * 1_000)

    def _path(self) -> str:
        return f'/instances/{self.database.name}'

    async def _report(self) -> bool:
        self.sequence += 1
        body = {
            'service': self.database.group.name,
            'address': self.address,
            'zone': self.zone,
            'state': self.state,
            'dbRole': 'primary' if self.database.leads else 'replica',
            'slots': self.database.slots,
            'sequence': self.sequence,
            'born': self.started_ms,
        }
        hosts = self.rng.sample(self.hosts, len(self.hosts))
        text = json.dumps(body).encode()
        return await call_control(hosts, 'PUT', self._path(), text) is not None


@dataclass
class Operator:
    """Declares one configuration after another.

    Each adds a database name of its own, so that sessions show which one is
    in force.
    """

    service: str
    hosts: list[str]
    rng: random.Random
    sync_replicas: int
    version: int = 0
    accepted: int = 0
    documents: dict[int, bytes] = field(default_factory=dict)

    def document(self, version: int) -> bytes:
        """Return the configuration of a version."""
        routes = [
            {
                'name': f'r-{name}',
                'databaseName': name,
                'type': kind,
                'timeoutMs': TIMEOUT_MS,
                'service': self.service,
                'maxStalenessMs': STALENESS_MS,
            }
            for name, kind in ROUTES.items()
        ]
        mark = {
            **routes[0],
            'name': 'r-mark',
            'databaseName': mark_of(version),
        }
        value = {
            'version': version,
            'routes': [*routes, mark],
            'services': [
                {
                    'name': self.service,
                    'maxConnections': 60,
                    'syncReplicas': self.sync_replicas,
                }
            ],
            'limits': {'txnIdleMs': 2_000},
        }
        return json.dumps(value).encode()

    async def change(self) -> bool:
        """Declare the next version; True once it is accepted."""
        self.version += self.rng.randint(1, 3)
        version = self.version
        self.documents[version] = self.document(version)
        return await self.send(version)

    async def send(self, version: int) -> bool:
        """Send a version once, from a control process drawn by lot."""
        hosts = self.rng.sample(self.hosts, len(self.hosts))
        body = self.documents[version]
        if await call_control(hosts, 'PUT', '/config', body) is None:
            return False
        self.accepted = max(self.accepted, version)
        return True

    async def run(self) -> None:
        """Change the configuration for ever; some are sent again."""
        while True:
            await trio.sleep(self.rng.expovariate(1 / CHANGE_S))
            if not await self.change():
                await self.send(self.version)


def mark_of(version: int) -> str:
    """Return the database name that only one version serves."""
    return f'mark-{version}'
