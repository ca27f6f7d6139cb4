"""Stand-ins for the platform's API, reports of databases and the operator."""

from __future__ import annotations

import json
import random
import time
from dataclasses import dataclass
from dataclasses import field
from http import HTTPStatus
from typing import Any
from typing import Literal

import trio

from jackdawpost.platform.settings import split_address
from jackdawpost.wire.http import HttpError
from jackdawpost.wire.http import HttpRequest
from jackdawpost.wire.http import HttpResponse
from jackdawpost.wire.http import send_request
from jackdawpost_standin.line_database import LineDatabase
from jackdawpost_standin.line_database import LineGroup
from soak.cluster import CONTROL_PORT
from soak.tenants import build_tenants
from soak.tenants import KeyHistory
from soak.tenants import KeyVersion
from soak.tenants import PUBLIC_DATABASES

CONTROL_CALL_TIMEOUT_S = 1.0
REPORT_INTERVAL_S = 0.4
PROMOTION_DURATION_S = 0.2
LATE_PROMOTION_DELAY_S = 2.0  # the call itself gets no answer
MAX_REDIRECTS = 2
MEAN_CONFIG_INTERVAL_S = 1.0  # between two versions of the configuration
MAX_STALENESS_MS = 1_500
ROUTE_TIMEOUT_MS = 1_500
# Read consistency of each database name that callers use.
CONSISTENCY_BY_DATABASE = {
    'orders': 'primary',
    'reports': 'bounded_staleness',
    'returns': 'read_your_writes',
}


async def call_control(
    hosts: list[str], method: str, path: str, body: bytes
) -> HttpResponse | None:
    """Call the control processes in turn until one answers with status 200.

    Follows redirects to the leader. Returns None if all calls fail.
    """
    for host in hosts:
        address, target = (host, CONTROL_PORT), path
        for _ in range(1 + MAX_REDIRECTS):
            try:
                response = await send_request(
                    address, method, target, [], body, CONTROL_CALL_TIMEOUT_S
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
            redirect_address, _, rest = location.partition('/')
            address, target = split_address(redirect_address), '/' + rest
    return None


@dataclass
class CloudApi:
    """HTTP API of the platform that promotes databases, with faults.

    Parameters
    ----------
    group : LineGroup
        Databases to promote.
    nursery : trio.Nursery
        Runs the late promotions.
    drops_answers : bool
        Promote, but send no answer.
    delays_promotions : bool
        Send no answer and promote after `LATE_PROMOTION_DELAY_S`.
    calls : list of tuple
        Fencing token and lease holder of each received call.
    """

    group: LineGroup
    nursery: trio.Nursery
    drops_answers: bool = False
    delays_promotions: bool = False
    calls: list[tuple[int, str]] = field(default_factory=list)

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Handle one HTTP request."""
        if request.path != '/promote':
            return HttpResponse(HTTPStatus.NOT_FOUND)
        body = json.loads(request.body)
        headers = dict(request.headers)
        token = int(headers['x-fencing-token'])
        self.calls.append((token, headers['x-lease-holder']))
        if self.delays_promotions:
            self.nursery.start_soon(
                self._promote_after_delay, body['id'], token
            )
            await trio.sleep_forever()
        await trio.sleep(PROMOTION_DURATION_S)
        promoted = self.group.promote(body['id'], token)
        if self.drops_answers:
            await trio.sleep_forever()
        if promoted:
            return HttpResponse(HTTPStatus.OK, b'{}')
        return HttpResponse(HTTPStatus.CONFLICT, b'{}')

    async def _promote_after_delay(self, database: str, token: int) -> None:
        await trio.sleep(LATE_PROMOTION_DELAY_S)
        self.group.promote(database, token)


@dataclass
class DatabaseReporter:
    """Sends the status reports of one database to the control processes.

    Parameters
    ----------
    address : str
        Address at which edge processes connect to the database, as IP:PORT.
    hosts : list of str
        Addresses of the control processes.
    rng : random.Random
        Draws the order in which the control processes are called.
    sequence : int
        Number of the last report of this incarnation.
    started_ms : int
        Start of the incarnation in Unix time, in milliseconds.
    """

    database: LineDatabase
    address: str
    zone: str
    hosts: list[str]
    rng: random.Random
    sequence: int = 0
    state: Literal['ready', 'draining'] = 'ready'
    started_ms: int = field(default_factory=lambda: int(time.time() * 1_000))

    async def run(self) -> None:
        """Send reports until cancelled, while the database is running."""
        while True:
            if self.database.is_running:
                await self._send_report()
            await trio.sleep(REPORT_INTERVAL_S)

    async def report_draining(self) -> None:
        """Report the state ``draining`` until a report is acknowledged."""
        self.state = 'draining'
        while not await self._send_report():
            await trio.sleep(REPORT_INTERVAL_S)

    async def deregister(self) -> None:
        """Report to a control process that this incarnation has ended."""
        hosts = self.rng.sample(self.hosts, len(self.hosts))
        body = json.dumps({'born': self.started_ms}).encode()
        await call_control(hosts, 'DELETE', self._instance_path(), body)

    def start_incarnation(self) -> None:
        """Start a new incarnation of the database, in the state ``ready``."""
        self.state = 'ready'
        self.sequence = 0
        self.started_ms = int(time.time() * 1_000)

    def _instance_path(self) -> str:
        return f'/instances/{self.database.name}'

    def build_report(self) -> dict[str, Any]:
        """Return the body of a report of the present state."""
        return {
            'service': self.database.group.name,
            'address': self.address,
            'zone': self.zone,
            'state': self.state,
            'dbRole': 'primary' if self.database.leads else 'replica',
            'slots': self.database.slots,
            'sequence': self.sequence,
            'born': self.started_ms,
        }

    async def _send_report(self) -> bool:
        self.sequence += 1
        hosts = self.rng.sample(self.hosts, len(self.hosts))
        text = json.dumps(self.build_report()).encode()
        return (
            await call_control(hosts, 'PUT', self._instance_path(), text)
            is not None
        )


@dataclass
class Operator:
    """Sends a sequence of configuration versions to the control processes.

    Each version adds a route with a database name that no other version
    serves. A session started with that name shows that the version is in
    force.

    Parameters
    ----------
    service : str
        Name of the database group.
    hosts : list of str
        Addresses of the control processes.
    rng : random.Random
        Draws versions, intervals and the order of the control processes.
    version : int
        Last version sent.
    accepted : int
        Highest version that a control process has accepted.
    documents : dict of int to bytes
        Configuration of each version sent.
    history : KeyHistory
        Keys of each version sent.
    """

    service: str
    hosts: list[str]
    rng: random.Random
    sync_replicas: int
    history: KeyHistory
    version: int = 0
    accepted: int = 0
    documents: dict[int, bytes] = field(default_factory=dict)

    def build_document(self, version: int) -> bytes:
        """Return the configuration of a version as JSON."""
        routes = [
            {
                'name': f'r-{database}',
                'databaseName': database,
                'type': consistency,
                'timeoutMs': ROUTE_TIMEOUT_MS,
                'service': self.service,
                'maxStalenessMs': MAX_STALENESS_MS,
                'public': database in PUBLIC_DATABASES,
            }
            for database, consistency in CONSISTENCY_BY_DATABASE.items()
        ]
        version_route = {
            **routes[0],
            'name': 'r-mark',
            'databaseName': version_database_name(version),
        }
        config = {
            'version': version,
            'routes': [*routes, version_route],
            'services': [
                {
                    'name': self.service,
                    'maxConnections': 60,
                    'syncReplicas': self.sync_replicas,
                }
            ],
            'limits': {'txnIdleMs': 2_000},
            'tenants': build_tenants(self.history.keys),
        }
        return json.dumps(config).encode()

    async def send_next_version(self) -> bool:
        """Send a new version; return True if it is accepted."""
        self.version += self.rng.randint(1, 3)
        version = self.version
        self.history.change(self.rng)
        self.documents[version] = self.build_document(version)
        self.history.versions[version] = KeyVersion(
            frozenset(self.history.keys), time.monotonic()
        )
        return await self.send_version(version)

    async def send_version(self, version: int) -> bool:
        """Send a version to the control processes in random order.

        Returns
        -------
        bool
            True if a control process has accepted it.
        """
        hosts = self.rng.sample(self.hosts, len(self.hosts))
        body = self.documents[version]
        if await call_control(hosts, 'PUT', '/config', body) is None:
            return False
        self.history.versions[version].accepted_s = time.monotonic()
        self.accepted = max(self.accepted, version)
        return True

    async def run(self) -> None:
        """Send new versions until cancelled; retry each failed one once."""
        while True:
            await trio.sleep(self.rng.expovariate(1 / MEAN_CONFIG_INTERVAL_S))
            if not await self.send_next_version():
                await self.send_version(self.version)


def version_database_name(version: int) -> str:
    """Return the database name that only this version serves."""
    return f'mark-{version}'
