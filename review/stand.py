"""Deployment on loopback addresses for the scripts of the review.

Starts the project's programs with the commands of the deploy file, restarts
those that end, and plays the parts of the platform, the operator, the
databases and the callers. The databases are the project's own stand-ins.
"""

from __future__ import annotations

import json
import os
import random
import shlex
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

import trio

from jackdawpost.wire.http import HttpError
from jackdawpost.wire.http import HttpRequest
from jackdawpost.wire.http import HttpResponse
from jackdawpost.wire.http import send_request
from jackdawpost.wire.http import serve_http
from jackdawpost_standin.line_caller import LineCaller
from jackdawpost_standin.line_caller import SessionLostError
from jackdawpost_standin.line_database import LineDatabase
from jackdawpost_standin.line_database import LineGroup

ROOT = Path(__file__).parents[1]
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_CANNOT_RUN = 2
TIME_LIMIT_S = 110.0
START_TIMEOUT_S = 45.0
RESTART_DELAY_S = 0.5  # from the end of a process to its next start
HEARTBEAT_S = 1.2  # `heartbeatIntervalMs` of the pages
CALL_TIMEOUT_S = 1.0  # callers of control move on after a second
PROMOTION_S = 0.3
SERVICE = 'spares'
ZONES = ('z1', 'z2', 'z3')
DATABASES = {
    'orders': 'primary',
    'reports': 'bounded_staleness',
    'returns': 'read_your_writes',
}
MAX_STALENESS_MS = 1_500


class CannotRunError(Exception):
    """The deployment did not start, so the case says nothing."""


class Record:
    """Lines of record.txt with the time since the start in seconds."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Append a line."""
        self._file.write(f'{self.now_s():8.3f} {text}\n')
        self._file.flush()


@dataclass
class Node:
    """One program of the deployment, kept across its restarts.

    Parameters
    ----------
    exits : list of tuple
        Time and exit code of each end that the case did not cause.
    is_held : bool
        The case keeps the program stopped.
    """

    name: str
    role: str
    host: str
    zone: str
    folder: Path
    command: list[str]
    is_first_start: bool = True
    process: subprocess.Popen[bytes] | None = None
    exits: list[tuple[float, int]] = field(default_factory=list)
    is_held: bool = False


class RecordingGroup(LineGroup):
    """Database group that notes what each promotion leaves behind."""

    promotions: list[tuple[str, int, list[str]]]
    acknowledged: dict[str, tuple[int, int]]

    def promote(self, name: str, fencing_token: int) -> bool:
        """Promote a database; note the acknowledged writes that it lacks."""
        before = self.primary
        promoted = super().promote(name, fencing_token)
        if promoted and name != before:
            held = {
                write[0]
                for commit in self.databases[name].log
                for write in commit.writes
            }
            lost = [w for w in self.acknowledged if w not in held]
            self.promotions.append((name, fencing_token, lost))
        return promoted


def new_group(sync_replicas: int) -> RecordingGroup:
    """Return a database group without databases."""
    group = RecordingGroup(SERVICE, sync_replicas=sync_replicas)
    group.promotions = []
    group.acknowledged = {}
    return group


@dataclass
class Reporter:
    """Sends the status reports of a database to the control processes."""

    database: LineDatabase
    address: str
    zone: str
    deployment: Deployment
    sequence: int = 0
    state: str = 'ready'
    born: int = field(default_factory=lambda: int(time.time() * 1_000))

    async def run(self) -> None:
        """Report every `HEARTBEAT_S` while the database runs."""
        while True:
            if self.database.is_running:
                await self.report()
            await trio.sleep(HEARTBEAT_S)

    async def report(self) -> bool:
        """Send one report; return whether it was acknowledged."""
        self.sequence += 1
        body = {
            'service': self.database.group.name,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.database.slots,
            'state': self.state,
            'coldRemainingMs': 0,
            'dbRole': 'primary' if self.database.leads else 'replica',
            'sequence': self.sequence,
            'born': self.born,
        }
        return (
            await self.deployment.call_control(
                'PUT',
                f'/instances/{self.database.name}',
                json.dumps(body).encode(),
            )
            is not None
        )

    async def depart(self) -> None:
        """Report the planned end of the database."""
        await self.deployment.call_control(
            'DELETE',
            f'/instances/{self.database.name}',
            json.dumps({'born': self.born}).encode(),
        )

    async def restart(self, keeps_log: bool) -> None:
        """Start the crashed database again under its id, as a new boot."""
        if not keeps_log:
            self.database.log.clear()
            self.database.applied_count = 0
        self.database.paused_term = 0
        self.sequence = 0
        self.state = 'ready'
        self.born = int(time.time() * 1_000)
        self.database.is_running = True
        await self.report()


class Deployment:
    """Control and edge programs, and the stand-ins around them.

    Parameters
    ----------
    sync_replicas : int
        `syncReplicas` of the service.
    """

    def __init__(
        self,
        record: Record,
        folder: Path,
        sync_replicas: int = 0,
        database_count: int = 3,
    ) -> None:
        self.record = record
        self.rng = random.Random(23)
        self.group = new_group(sync_replicas)
        self.reporters: list[Reporter] = []
        self.promote_calls: list[tuple[float, str, int, str]] = []
        self.database_count = database_count
        self.version = 0
        self._sync_replicas = sync_replicas
        network = (
            f'127.{10 + os.getpid() % 200}.{1 + os.getpid() // 200 % 250}'
        )
        self.host = f'{network}.1'
        control_hosts = [f'{network}.{11 + i}' for i in range(3)]
        edge_hosts = [f'{network}.{21 + i}' for i in range(3)]
        self._ports = _free_ports(
            [self.host, *control_hosts, *edge_hosts], count=6
        )
        run_lines = _deploy_commands()
        self.controls = [
            self._new_node('core', 'control', host, i, folder, run_lines)
            for i, host in enumerate(control_hosts)
        ]
        self.edges = [
            self._new_node('edge', 'edge', host, i, folder, run_lines)
            for i, host in enumerate(edge_hosts)
        ]

    def _new_node(
        self,
        machine_class: str,
        role: str,
        host: str,
        index: int,
        folder: Path,
        run_lines: dict[str, list[str]],
    ) -> Node:
        name = f'{machine_class}-{index + 1}'
        node_folder = folder / name
        node_folder.mkdir()
        return Node(
            name, role, host, ZONES[index], node_folder, run_lines[role]
        )

    @property
    def nodes(self) -> list[Node]:
        """All programs."""
        return [*self.controls, *self.edges]

    @property
    def frontend_port(self) -> int:
        """Port on which the edge programs accept callers."""
        return self._ports[2]

    def write_settings(self, node: Node) -> Path:
        """Write the settings file of a program, as the pages show it."""
        first_port, _, frontend, readiness, control, cloud = self._ports
        seeds = ','.join(f'"{c.host}:{control}"' for c in self.controls)
        is_control = node.role == 'control'
        lines = [
            f'nodeName = "{node.name}"',
            f'role = "{node.role}"',
            f'machineClass = "{"core" if is_control else "edge"}"',
            f'serves = ["{"control_plane" if is_control else "edge"}"]',
            f'ip = "{node.host}"',
            f'zone = "{node.zone}"',
            f'region = "{node.zone}"',
            f'internalPorts = [{first_port},{first_port + 1}]',
            f'seeds = [{seeds}]',
            f'bootstrap = {str(node.is_first_start).lower()}',
            f'countsAsLoss = {str(is_control).lower()}',
            'discovery = "registry"',
            'entry = "virtual_ip"',
            'heartbeatIntervalMs = 1200',
            'contracts = ["base","drain","config","cost","recover","sql"]',
            'config_mode = "highest"',
        ]
        if is_control:
            lines.append(f'dataDir = "{node.folder / "data"}"')
        lines += ['[zones]', *(f'{zone} = "{zone}"' for zone in ZONES)]
        lines.append('[bindAddresses]')
        if is_control:
            lines.append(f'control = "{node.host}:{control}"')
        else:
            lines.append(f'frontend = "{node.host}:{frontend}"')
            lines.append(f'readiness = "{node.host}:{readiness}"')
        lines += [
            '[faultTolerance]',
            'machines = 1',
            'zones = 0',
            'regions = 0',
            '[bounds]',
            'seedLagS = 3',
            'reuseAfterS = 2',
            'stabilityWindowMs = 4000',
            'ackMs = 5000',
            'catchUpS = 4',
            'drainMs = 7000',
            'graceS = 6',
            'lossSlackMs = 200',
            'configDeadlineMs = 3000',
            'rollbackSlackMs = 250',
            'maxStretchMs = 12000',
            'recoveryS = 12',
            'requireFencing = true',
            'thawSlackMs = 300',
            '[cloudApi]',
            f'address = "{self.host}:{cloud}"',
            'ratePerS = 50.0',
            'duties = ["failover"]',
            'dutyPerS = 50.0',
        ]
        path = node.folder / 'settings.toml'
        temporary = node.folder / 'settings.tmp'
        temporary.write_text('\n'.join(lines) + '\n')
        temporary.replace(path)
        return path

    def start(self, node: Node) -> None:
        """Start a program with the command of the deploy file."""
        settings = self.write_settings(node)
        env = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'JACKDAWPOST_SETTINGS': str(settings),
        }
        with (node.folder / 'log').open('ab') as log:
            node.process = subprocess.Popen(
                node.command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record.write(f'start {node.name} pid {node.process.pid}')

    async def supervise(self, node: Node) -> None:
        """Start a program, and start it again after each end."""
        while True:
            if node.is_held:
                await trio.sleep(0.02)
                continue
            self.start(node)
            process = node.process
            assert process is not None
            while process.poll() is None:
                await trio.sleep(0.02)
            code = process.returncode
            if not node.is_held:
                node.exits.append((self.record.now_s(), code))
            self.record.write(
                f'end {node.name} code {code}'
                f'{"" if node.is_held else " (by itself)"}'
            )
            await trio.sleep(RESTART_DELAY_S)

    def kill_all(self) -> None:
        """Kill all programs that this deployment has started."""
        for node in self.nodes:
            node.is_held = True
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()

    async def run_standins(self, nursery: trio.Nursery) -> None:
        """Start the databases and the platform's API."""
        for index in range(self.database_count):
            await self.add_database(nursery, index)
        nursery.start_soon(
            serve_http, self.host, self._ports[5], self._serve_cloud
        )

    async def add_database(
        self,
        nursery: trio.Nursery,
        index: int,
        receive_delay_s: float = 0.005,
    ) -> Reporter:
        """Add a running database that reports its state.

        It receives the log of the primary like the other replicas.
        """
        database = self.group.add(f'i-{index + 1}')
        database.receive_delay_s = receive_delay_s
        listeners = await trio.open_tcp_listeners(0, host=self.host)
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, database.serve, listeners)
        reporter = Reporter(
            database, f'{self.host}:{port}', ZONES[index % 3], self
        )
        self.reporters.append(reporter)
        nursery.start_soon(reporter.run)
        return reporter

    async def _serve_cloud(self, request: HttpRequest) -> HttpResponse:
        if request.path != '/promote':
            return HttpResponse(404)
        headers = dict(request.headers)
        token = int(headers['x-fencing-token'])
        name = json.loads(request.body)['id']
        holder = headers['x-lease-holder']
        self.promote_calls.append((self.record.now_s(), name, token, holder))
        self.record.write(f'promote call: {name} token {token} by {holder}')
        await trio.sleep(PROMOTION_S)
        promoted = self.group.promote(name, token)
        self.record.write(
            f'promote {name} token {token}: '
            f'{"200" if promoted else "409"}, leads: {self.group.primary}'
        )
        return HttpResponse(200 if promoted else 409, b'{}')

    async def call_control(
        self, method: str, path: str, body: bytes = b''
    ) -> HttpResponse | None:
        """Call the control programs in random order until one answers 2xx.

        Follows a redirect twice. Returns None if no program does.
        """
        hosts = [node.host for node in self.controls]
        for host in self.rng.sample(hosts, len(hosts)):
            address = (host, self._ports[4])
            for _ in range(3):
                try:
                    response = await send_request(
                        address, method, path, [], body, CALL_TIMEOUT_S
                    )
                except HttpError:
                    break
                if response.status == 200:
                    return response
                if response.status != 307:
                    break
                location = dict(response.headers)['location']
                target = location.removeprefix('http://').partition('/')[0]
                target_host, _, port = target.rpartition(':')
                address = (target_host, int(port))
        return None

    async def put_config(self) -> bool:
        """Send the next version of the desired state."""
        if self._was_accepted:
            self.version += 3
        routes = [
            {
                'name': f'r-{database}',
                'databaseName': database,
                'pathPrefix': '/',
                'type': kind,
                'timeoutMs': 1_000,
                'targetLatencyMs': 800,
                'priority': 1,
                'service': SERVICE,
                'maxAttempts': 2,
                'maxStalenessMs': MAX_STALENESS_MS,
            }
            for database, kind in DATABASES.items()
        ]
        config = {
            'version': self.version,
            'routes': routes,
            'services': [
                {
                    'name': SERVICE,
                    'healthPath': '/health',
                    'maxConnections': 21,
                    'protocol': 'h1',
                    'tls': False,
                    'syncReplicas': self._sync_replicas,
                }
            ],
            'limits': {'txnIdleMs': 3_000},
        }
        body = json.dumps(config).encode()
        # A call without a clear response is sent again unchanged.
        accepted = await self.call_control('PUT', '/config', body) is not None
        self._was_accepted = accepted
        self.record.write(
            f'PUT /config version {self.version}: '
            f'{"200" if accepted else "no clear answer"}'
        )
        return accepted

    async def is_ready(self, edge: Node) -> bool:
        """Return whether the readiness check of an edge succeeds."""
        try:
            response = await send_request(
                (edge.host, self._ports[3]), 'GET', '/readiness', [], b'', 1.0
            )
        except HttpError:
            return False
        return response.status == 200

    async def wait_until_served(self) -> None:
        """Wait until a configuration is accepted and all edges are ready."""
        with trio.move_on_after(START_TIMEOUT_S):
            while not await self.put_config():
                await trio.sleep(0.3)
            for edge in self.edges:
                while not await self.is_ready(edge):
                    await trio.sleep(0.1)
            for edge in self.edges:
                while await self.write_once(edge) != 'done':
                    await trio.sleep(0.1)
            self.record.write('all edges serve')
            return
        raise CannotRunError('the deployment did not start to serve in time')

    async def open_session(
        self, edge: Node, database: str
    ) -> LineCaller | None:
        """Open a session; None if it is not answered in 2 s."""
        with trio.move_on_after(2.0):
            try:
                stream = await trio.open_tcp_stream(
                    edge.host, self.frontend_port
                )
                caller = LineCaller(stream)
                answer = await caller.request(f'START {database} review')
            except (OSError, SessionLostError):
                return None
            if answer[0].startswith('READY'):
                return caller
            await trio.aclose_forcefully(stream)
        return None

    async def write_once(self, edge: Node) -> str:
        """Run one write in a session of its own."""
        caller = await self.open_session(edge, 'orders')
        if caller is None:
            return 'no session'
        async with caller.stream:
            return await self.write(caller, edge.name)

    _last_request = 0
    _was_accepted = True

    def new_request_id(self) -> str:
        """Return an id that no other request of the run has."""
        Deployment._last_request += 1
        return f'q{Deployment._last_request:05x}'

    async def write(self, caller: LineCaller, via: str) -> str:
        """Run one write; return 'done', an error keyword or 'lost'."""
        request = self.new_request_id()
        outcome = 'silent'
        with trio.move_on_after(3.0):
            try:
                lines = await caller.request(
                    f'QUERY {request} WRITE item {request}'
                )
            except SessionLostError:
                lines = ['ERROR lost']
            outcome = outcome_of(lines)
        if outcome == 'done':
            self.group.acknowledged[request] = (0, 0)
        self.record.write(f'write {request} via {via}: {outcome}')
        return outcome


def outcome_of(lines: list[str]) -> str:
    """Return 'done' or the error keyword of an answer."""
    for line in lines:
        if line.startswith('ERROR '):
            return line.split(' ')[1]
        if line.startswith('COMPLETE '):
            return 'done'
    return 'malformed'


def _deploy_commands() -> dict[str, list[str]]:
    """Return the words of each role's command in the deploy file."""
    with (ROOT / 'deploy' / 'system.toml').open('rb') as file:
        roles = tomllib.load(file)['roles']
    return {name: shlex.split(role['run']) for name, role in roles.items()}


def _free_ports(hosts: list[str], count: int) -> list[int]:
    """Return consecutive ports that are free on all addresses."""
    rng = random.Random()
    for _ in range(200):
        first = rng.randrange(12_000, 30_000)
        ports = list(range(first, first + count))
        try:
            for host in hosts:
                for port in ports:
                    with socket.socket() as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        return ports
    raise CannotRunError('no free ports')


Scenario = Callable[[Deployment, trio.Nursery, bool], Awaitable[str]]


def run_case(file: str, scenario: Scenario, **options: Any) -> int:
    """Run a scenario and return the exit code of the script.

    Parameters
    ----------
    file : str
        Path of the case's program; record.txt is written beside it.
    scenario : callable
        Receives the deployment, a nursery and whether the disruption is to
        be made. Returns what broke the rule; empty if it held.
    """
    record = Record(Path(file).parent / 'record.txt')
    with_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.write(f'TROUBLE={int(with_trouble)}')
    broken: str | None = None

    async def main() -> None:
        nonlocal broken
        with tempfile.TemporaryDirectory() as folder:
            deployment = Deployment(record, Path(folder), **options)
            try:
                async with trio.open_nursery() as nursery:
                    await deployment.run_standins(nursery)
                    for node in deployment.nodes:
                        nursery.start_soon(deployment.supervise, node)
                    with trio.fail_after(TIME_LIMIT_S):
                        await deployment.wait_until_served()
                        broken = await scenario(
                            deployment, nursery, with_trouble
                        )
                    nursery.cancel_scope.cancel()
            finally:
                deployment.kill_all()
                if keep := os.environ.get('KEEP'):
                    subprocess.run(['cp', '-r', folder, keep], check=False)

    try:
        trio.run(main)
    except BaseException as exc:  # noqa: B036 - reported by the exit code
        record.write(f'cannot run: {exc!r}')
        print(f'cannot run: {exc!r}', file=sys.stderr)
        return EXIT_CANNOT_RUN
    if broken is None:
        record.write('cannot run: no result')
        return EXIT_CANNOT_RUN
    record.write(f'rule broken: {broken}' if broken else 'rule held')
    print(f'rule broken: {broken}' if broken else 'rule held')
    return EXIT_BROKEN if broken else EXIT_HELD
