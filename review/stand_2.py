"""Stand-ins and process control for the scripts of the second review.

Only the standard library is used. The databases, the platform, the operator
and the clients behave as the users' pages say; a script puts in the faults.
All addresses are loopback addresses. The machines of a run share one network
127.A.B.0/24 and listen on the same ports, as on the platform.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
FOLDER = Path(os.environ.get('CASE_FOLDER', '.')).resolve()
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
PORTS = {
    'internal': 7440,
    'control': 8782,
    'frontend': 8784,
    'readiness': 8785,
}
ZONES = {'rvk-a': 'reykjavik', 'aey-a': 'akureyri', 'egs-a': 'egilsstadir'}
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'stabilityWindowMs': 4000,
    'ackMs': 5000,
    'catchUpS': 4,
    'drainMs': 7000,
    'graceS': 6,
    'lossSlackMs': 200,
    'configDeadlineMs': 3000,
    'rollbackSlackMs': 250,
    'maxStretchMs': 12000,
    'recoveryS': 12,
    'requireFencing': True,
    'thawSlackMs': 300,
}
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self) -> None:
        self.file = open(FOLDER / 'record.txt', 'w')  # noqa: SIM115
        self.start_s = time.monotonic()

    def __call__(self, text: str) -> None:
        now_s = time.monotonic() - self.start_s
        self.file.write(f'{now_s:8.3f} s  {text}\n')
        self.file.flush()


class Statement:
    """One request of a connection, and whether its answer is lost."""

    def __init__(self, conn: Connection, request_id: str, text: str) -> None:
        self.conn = conn
        self.id = request_id
        self.text = text


class Database:
    """Stand-in of one database of a group, which speaks the wire."""

    def __init__(self, group: Group, name: str, zone: str) -> None:
        self.group = group
        self.name = name
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.leads = False
        self.term = 1
        self.log: list[tuple[int, int]] = [(1, 0)]
        self.rows: dict[str, str] = {}
        self.conns: set[Connection] = set()
        self.loses: Callable[[Statement], bool] = lambda statement: False
        self.ran: Callable[[Statement], None] = lambda statement: None
        self.seen: Callable[[Statement], None] = lambda statement: None
        self.slots = asyncio.Semaphore(group.slots)
        self.queued = 0
        self.address = ('', 0)
        self.server: asyncio.AbstractServer | None = None
        self.refused_starts = 0
        self.lost_answers = 0

    @property
    def position(self) -> tuple[int, int]:
        return self.log[-1]

    async def start(self, host: str) -> None:
        self.server = await asyncio.start_server(
            self._serve, host, 0, limit=2 << 20
        )
        self.address = (host, self.server.sockets[0].getsockname()[1])

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = Connection(self, reader, writer)
        self.conns.add(conn)
        try:
            await conn.serve()
        except (
            OSError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ValueError,
        ):
            pass
        finally:
            self.conns.discard(conn)
            writer.close()

    def apply(self, position: tuple[int, int], rows: dict[str, str]) -> None:
        if position > self.position:
            self.log.append(position)
            self.rows.update(rows)


class Group:
    """Databases of one service, which replicate with a delay."""

    def __init__(
        self,
        name: str,
        slots: int = 3,
        max_connections: int = 21,
        lag_s: float = 0.008,
        work_s: float = 0.008,
        handshake_s: float = 0.012,
    ) -> None:
        self.name = name
        self.slots = slots
        self.max_connections = max_connections
        self.lag_s = lag_s
        self.work_s = work_s
        self.handshake_s = handshake_s
        self.members: dict[str, Database] = {}

    def add(self, name: str, zone: str) -> Database:
        database = Database(self, name, zone)
        self.members[name] = database
        return database

    @property
    def primary(self) -> Database | None:
        return next((d for d in self.members.values() if d.leads), None)

    def commit(self, database: Database, rows: dict[str, str]) -> None:
        position = (database.term, database.position[1] + 1)
        database.apply(position, rows)
        loop = asyncio.get_running_loop()
        for other in self.members.values():
            if other is not database:
                loop.call_later(self.lag_s, other.apply, position, rows)

    def promote(self, name: str) -> bool:
        chosen = self.members.get(name)
        if chosen is None or chosen.state == 'gone':
            return False
        if chosen.leads:
            return True
        term = max(d.term for d in self.members.values()) + 1
        for database in self.members.values():
            database.leads = False
            database.term = term
        chosen.leads = True
        chosen.log.append((term, chosen.position[1]))
        return True


class Connection:
    """Connection of a caller to a database."""

    def __init__(
        self,
        database: Database,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.database = database
        self.reader = reader
        self.writer = writer
        self.peer = ''
        self.state = 'I'
        self.plain = False
        self.lead_term = 0
        self.writes: dict[str, str] = {}
        self.values: dict[str, str] = {}
        self.prepared: dict[str, str] = {}

    async def serve(self) -> None:
        if not await self._open():
            return
        while True:
            line = (await self.reader.readuntil(b'\r\n'))[:-2].decode()
            word, _, rest = line.partition(' ')
            if word == 'TERMINATE':
                return
            request_id, _, text = rest.partition(' ')
            if word != 'QUERY' or not text:
                self._write('ERROR MALFORMED expected QUERY')
                return
            statement = Statement(self, request_id, text)
            self.database.seen(statement)
            answer = await self._run(statement)
            if self.database.loses(statement):
                self.database.lost_answers += 1
                continue
            self._write(*answer, self._ready())
            await self.writer.drain()

    async def _open(self) -> bool:
        database = self.database
        line = (await self.reader.readuntil(b'\r\n'))[:-2].decode()
        fields = line.split(' ', 3)
        if fields[0] != 'START' or len(fields) < 3:
            self._write('ERROR MALFORMED expected START')
            return False
        self.peer = fields[2]
        wrong_id = len(fields) > 3 and fields[3] != database.name
        if fields[1] != database.group.name or wrong_id:
            self._write('ERROR MISROUTED another database')
            return False
        if len(database.conns) > database.group.max_connections:
            database.refused_starts += 1
            self._write('ERROR CONNLIMIT too many connections')
            return False
        async with database.slots:
            await asyncio.sleep(database.group.handshake_s)
        if database.loses(Statement(self, '-', 'START')):
            database.lost_answers += 1
        else:
            self._write(self._ready())
        return True

    def _ready(self) -> str:
        term, number = self.database.position
        return f'READY {self.state} {term}.{number}'

    def _write(self, *lines: str) -> None:
        self.writer.write(''.join(line + '\r\n' for line in lines).encode())

    async def _run(self, statement: Statement) -> list[str]:
        text = statement.text
        after = None
        if text.startswith('AFTER '):
            _, position, text = text.split(' ', 2)
            after = tuple(int(part) for part in position.split('.'))
        verb, _, rest = text.partition(' ')
        database = self.database
        if after is not None and database.position < after:
            return self._fail('LAGGING not there yet')
        if verb == 'BEGIN':
            return self._begin(rest)
        if verb == 'ROLLBACK':
            self._end()
            return ['COMPLETE -']
        if verb in ('SET', 'PREPARE', 'DEALLOC', 'RESET'):
            return self._set(verb, rest)
        if verb in ('STATUS', 'PAUSE', 'RESUME', 'DEMOTE'):
            if verb == 'DEMOTE' and int(rest) > database.term:
                database.leads = False
            role = 'primary' if database.leads else 'replica'
            term, number = database.position
            row = f'{role} {database.term} {term}.{number} 0 0 0 0'
            return [f'DATAROW {row}', 'COMPLETE -']
        if self.state == 'E' and verb != 'COMMIT':
            return ['ERROR MALFORMED the transaction failed']
        return await self._execute(statement, verb, rest)

    def _begin(self, rest: str) -> list[str]:
        if self.state != 'I':
            return self._fail('MALFORMED a transaction is open')
        if rest != 'READ' and not self.database.leads:
            return self._fail(f'READONLY {self.database.name}')
        self.state = 'T'
        self.plain = rest != 'READ'
        self.lead_term = self.database.term
        self.writes = {}
        return ['COMPLETE -']

    def _end(self) -> None:
        self.state = 'I'
        self.plain = False
        self.writes = {}

    def _fail(self, text: str) -> list[str]:
        if self.state == 'T':
            self.state = 'E'
        return [f'ERROR {text}']

    def _set(self, verb: str, rest: str) -> list[str]:
        name, _, argument = rest.partition(' ')
        if verb == 'RESET':
            self.values.clear()
            self.prepared.clear()
        elif verb == 'SET':
            self.values[name] = argument
        elif verb == 'PREPARE':
            self.prepared[name] = argument
        else:
            self.prepared.pop(name, None)
        return ['COMPLETE -']

    def _has_lost_lead(self) -> bool:
        database = self.database
        return self.plain and not (
            database.leads and database.term == self.lead_term
        )

    async def _execute(
        self, statement: Statement, verb: str, rest: str
    ) -> list[str]:
        if verb == 'EXECUTE':
            name, _, rest = rest.partition(' ')
            shape = self.prepared.get(name)
            if shape is None:
                return self._fail('NOSTMT no such name')
            verb = shape.split(' ')[0]
        if verb not in ('READ', 'WRITE', 'COMMIT'):
            return self._fail('MALFORMED unknown statement')
        if verb == 'COMMIT' and self.state == 'E':
            self._end()
            return ['ERROR ABORTED rolled back']
        database = self.database
        lead_only = verb == 'WRITE' and not database.leads
        if self._has_lost_lead() and not (
            verb == 'COMMIT' and not self.writes
        ):
            return self._fail(f'READONLY {database.name}')
        if lead_only:
            return self._fail(f'READONLY {database.name}')
        if database.queued >= 24:
            return ['ERROR BUSY queue is full']
        database.queued += 1
        async with database.slots:
            database.queued -= 1
            await asyncio.sleep(database.group.work_s)
        if self._has_lost_lead() and not (
            verb == 'COMMIT' and not self.writes
        ):
            return self._fail(f'READONLY {database.name}')
        database.ran(statement)
        signature = f'COMPLETE {database.name}.{random.getrandbits(64):x}'
        if verb == 'READ':
            item = rest.split(' ')[0]
            value = self.writes.get(item, database.rows.get(item, 'none'))
            return [f'DATAROW {value}', signature]
        if verb == 'WRITE':
            item, _, data = rest.partition(' ')
            if self.state == 'T':
                self.writes[item] = data
            else:
                database.group.commit(database, {item: data})
            return [signature]
        if self.writes:
            database.group.commit(database, self.writes)
        self._end()
        return [signature]


async def http(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b'',
    timeout_s: float = 1.0,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request; status 0 if there is no complete response."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                head = (
                    f'{method} {path} HTTP/1.1\r\n'
                    f'Host: {address[0]}:{address[1]}\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(body)}\r\n'
                    'Connection: close\r\n\r\n'
                )
                writer.write(head.encode() + body)
                raw = await reader.read()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0, {}, b''
    head_bytes, _, content = raw.partition(b'\r\n\r\n')
    lines = head_bytes.decode('latin-1').split('\r\n')
    try:
        status = int(lines[0].split(' ')[1])
    except (IndexError, ValueError):
        return 0, {}, b''
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers[name.lower()] = value.strip()
    return status, headers, content


class Node:
    """Process of the system, with its own loopback address."""

    def __init__(self, name: str, role: str, host: str, zone: str) -> None:
        self.name = name
        self.role = role
        self.host = host
        self.zone = zone
        self.folder = Path()
        self.process: subprocess.Popen[bytes] | None = None
        self.bootstrap = True

    def address(self, port: str) -> tuple[str, int]:
        return self.host, PORTS[port]


class System:
    """Processes, databases, platform and operator of one small deployment."""

    def __init__(self, edges: int = 2, memory_mb: int = 300) -> None:
        self.record = Record()
        self.memory_mb = memory_mb
        self.bounds = dict(BOUNDS)
        self.folder = Path(tempfile.mkdtemp(prefix='case-'))
        self.network = _free_network()
        zones = list(ZONES)
        self.controls = [
            Node(f'core-{zone}-1', 'control', f'{self.network}.{10 + i}', zone)
            for i, zone in enumerate(zones)
        ]
        self.edges = [
            Node(
                f'edge-{i + 1}',
                'edge',
                f'{self.network}.{20 + i}',
                zones[i % len(zones)],
            )
            for i in range(edges)
        ]
        self.groups: dict[str, Group] = {}
        self.cloud_port = 0
        self.cloud_answers = True
        self.promotions: list[tuple[int, str, int]] = []
        self.highest_token: dict[str, int] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.version = 0
        self.started_at_s = time.time()
        # Distance of the control processes' internal ports to those of the
        # edges. If it is not 0, a `Relay` on each control machine stands
        # between the two.
        self.control_offset = 0

    async def start_cloud(self) -> None:
        server = await asyncio.start_server(
            self._serve_cloud, f'{self.network}.2', 0
        )
        self.cloud_port = server.sockets[0].getsockname()[1]

    async def _serve_cloud(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            headers = {}
            for line in head.split('\r\n')[1:]:
                name, _, value = line.partition(':')
                headers[name.lower()] = value.strip()
            size = int(headers.get('content-length', 0))
            body = json.loads(await reader.readexactly(size))
            if not self.cloud_answers:
                self.record(f'platform: {body} gets no answer')
                await asyncio.sleep(60)
                return
            status = await self._promote(headers, body)
            writer.write(
                f'HTTP/1.1 {status} X\r\nContent-Length: 2\r\n'
                'Connection: close\r\n\r\n{}'.encode()
            )
            await writer.drain()
        except (
            OSError,
            ValueError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
        ):
            pass
        finally:
            writer.close()

    async def _promote(
        self, headers: dict[str, str], body: dict[str, str]
    ) -> int:
        token = int(headers['x-fencing-token'])
        service = body['service']
        if token < self.highest_token.get(service, 0):
            return 409
        self.highest_token[service] = token
        await asyncio.sleep(0.3)
        done = self.groups[service].promote(body['id'])
        self.promotions.append((token, body['id'], 200 if done else 409))
        self.record(f'platform: promote {body} token {token}: {done}')
        return 200 if done else 409

    async def add_group(self, group: Group, count: int = 3) -> None:
        self.groups[group.name] = group
        for index in range(count):
            zone = list(ZONES)[index % len(ZONES)]
            database = group.add(f'i-{random.getrandbits(32):08x}', zone)
            await self.start_database(database)
        next(iter(group.members.values())).leads = True

    async def start_database(self, database: Database) -> None:
        await database.start(f'{self.network}.3')
        self.tasks.append(asyncio.create_task(self._report(database)))

    async def call_control(
        self, method: str, path: str, body: bytes = b''
    ) -> tuple[int, bytes]:
        """Call the control processes in turn, following redirects twice."""
        for node in random.sample(self.controls, len(self.controls)):
            address, target = node.address('control'), path
            for _ in range(3):
                status, headers, content = await http(
                    address, method, target, body
                )
                if status != 307:
                    break
                place = headers['location'].removeprefix('http://')
                where, _, rest = place.partition('/')
                host, _, port = where.rpartition(':')
                address, target = (host, int(port)), '/' + rest
            if 200 <= status < 500:
                return status, content
        return 0, b''

    def report_body(self, database: Database) -> bytes:
        database.sequence += 1
        host, port = database.address
        return json.dumps(
            {
                'service': database.group.name,
                'address': f'{host}:{port}',
                'zone': database.zone,
                'version': 'v1',
                'slots': database.group.slots,
                'state': database.state,
                'coldRemainingMs': 0,
                'dbRole': 'primary' if database.leads else 'replica',
                'sequence': database.sequence,
                'born': database.born,
            }
        ).encode()

    async def send_report(self, database: Database) -> bool:
        status, _ = await self.call_control(
            'PUT', f'/instances/{database.name}', self.report_body(database)
        )
        return status == 200

    async def _report(self, database: Database) -> None:
        while database.state != 'gone':
            await self.send_report(database)
            before = (database.leads, database.state)
            for _ in range(24):  # heartbeatIntervalMs is 1200
                await asyncio.sleep(0.05)
                if (database.leads, database.state) != before:
                    break

    async def declare(self, document: dict[str, object]) -> int:
        """Send a desired state until it is answered; return the status."""
        body = json.dumps(document).encode()
        for _ in range(60):
            status, _ = await self.call_control('PUT', '/config', body)
            if status:
                return status
            await asyncio.sleep(0.25)
        return 0

    def write_settings(self, node: Node) -> Path:
        node.folder = self.folder / node.name
        node.folder.mkdir(exist_ok=True)
        seeds = ','.join(
            f'"{c.host}:{PORTS["control"]}"' for c in self.controls
        )
        is_edge = node.role == 'edge'
        internal = PORTS['internal'] + (0 if is_edge else self.control_offset)
        binds = ['frontend', 'readiness'] if is_edge else ['control']
        lines = [
            f'nodeName = "{node.name}"',
            f'role = "{node.role}"',
            f'machineClass = "{"edge" if is_edge else "core"}"',
            f'serves = ["{"edge" if is_edge else "control_plane"}"]',
            f'ip = "{node.host}"',
            f'zone = "{node.zone}"',
            f'region = "{ZONES[node.zone]}"',
            f'internalPorts = [{internal},{internal + 15}]',
            f'seeds = [{seeds}]',
            f'bootstrap = {str(node.bootstrap).lower()}',
            f'countsAsLoss = {str(not is_edge).lower()}',
            'discovery = "registry"',
            'entry = "virtual_ip"',
            'heartbeatIntervalMs = 1200',
            'contracts = ["base","drain","config","cost","recover","sql"]',
            'config_mode = "highest"',
        ]
        if not is_edge:
            lines.append(f'dataDir = "{node.folder / "data"}"')
        lines.append('[zones]')
        lines += [f'{zone} = "{region}"' for zone, region in ZONES.items()]
        lines.append('[bindAddresses]')
        lines += [f'{b} = "{node.host}:{PORTS[b]}"' for b in binds]
        lines += [
            '[limits]',
            'cpuShare = 0.537',
            'vcpus = 2',
            f'memoryMb = {self.memory_mb if is_edge else 296}',
            f'maxFds = {4300 if is_edge else 4096}',
            'bandwidthMbps = 1000.0',
            f'diskMb = {0 if is_edge else 128}',
            '[faultTolerance]',
            'machines = 1',
            'zones = 0',
            'regions = 0',
            '[bounds]',
        ]
        for name, value in self.bounds.items():
            text = str(value).lower() if isinstance(value, bool) else value
            lines.append(f'{name} = {text}')
        lines += [
            '[cloudApi]',
            f'address = "{self.network}.2:{self.cloud_port}"',
            'ratePerS = 50.0',
            'duties = ["failover"]',
            'dutyPerS = 50.0',
        ]
        path = node.folder / 'settings.toml'
        path.write_text('\n'.join(lines) + '\n')
        return path

    def start(self, node: Node) -> None:
        """Start a process with the command of the deploy file."""
        path = self.write_settings(node)
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['JACKDAWPOST_SETTINGS'] = str(path)
        with open(node.folder / 'log', 'ab') as log:
            node.process = subprocess.Popen(
                [sys.executable, '-m', f'jackdawpost.platform.{node.role}'],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    def kill(self, node: Node, number: int = signal.SIGKILL) -> None:
        if node.process is not None and node.process.poll() is None:
            node.process.send_signal(number)
            if number == signal.SIGKILL:
                node.process.wait()

    async def is_ready(self, node: Node) -> bool:
        status, _, _ = await http(
            node.address('readiness'), 'GET', '/readiness', timeout_s=1
        )
        return status == 200

    async def wait_ready(
        self, nodes: list[Node], timeout_s: float = 25
    ) -> bool:
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if all([await self.is_ready(node) for node in nodes]):
                return True
            await asyncio.sleep(0.2)
        return False

    def config(self, routes: list[dict[str, object]]) -> dict[str, object]:
        """Return the next desired state with the given routes."""
        self.version += 3
        return {
            'version': self.version,
            'routes': routes,
            'services': [
                {
                    'name': group.name,
                    'healthPath': '/health',
                    'maxConnections': group.max_connections,
                    'protocol': 'h1',
                    'tls': False,
                    'syncReplicas': 0,
                }
                for group in self.groups.values()
            ],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 262144,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
                'txnIdleMs': 3000,
            },
        }

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for node in [*self.controls, *self.edges]:
            self.kill(node)


def route(
    database: str, service: str, kind: str, timeout_ms: int = 1000
) -> dict[str, object]:
    """Return one route of a desired state."""
    return {
        'name': f'r-{database}',
        'databaseName': database,
        'pathPrefix': '/',
        'type': kind,
        'timeoutMs': timeout_ms,
        'targetLatencyMs': 800,
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'maxStalenessMs': 1500 if kind == 'bounded_staleness' else 2500,
    }


class RelayedLink:
    """Connection through a relay."""

    def __init__(self) -> None:
        self.silent = False


class Relay:
    """Forwards connections; the open ones can be made silent for good."""

    def __init__(self) -> None:
        self.open: list[RelayedLink] = []
        self.accepted = 0
        self.closed_by_client = 0

    async def start(
        self, address: tuple[str, int], target: tuple[str, int]
    ) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(reader, writer, target)

        await asyncio.start_server(serve, *address)

    def silence(self) -> int:
        """Drop all bytes of the connections that are open now."""
        for link in self.open:
            link.silent = True
        return len(self.open)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: tuple[str, int],
    ) -> None:
        try:
            other_reader, other_writer = await asyncio.open_connection(*target)
        except OSError:
            writer.transport.abort()
            return
        self.accepted += 1
        link = RelayedLink()
        self.open.append(link)

        async def forward(
            source: asyncio.StreamReader, sink: asyncio.StreamWriter
        ) -> None:
            while data := await source.read(65_536):
                if not link.silent:
                    sink.write(data)
                    await sink.drain()

        async def downstream() -> None:
            try:
                await forward(other_reader, writer)
            except OSError:
                pass
            if not link.silent:
                writer.close()

        back = asyncio.create_task(downstream())
        try:
            await forward(reader, other_writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.closed_by_client += link.silent
            self.open.remove(link)
            back.cancel()
            other_writer.close()
            writer.close()


class Client:
    """Session of a client with a process of the system."""

    def __init__(self) -> None:
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def start(
        self, address: tuple[str, int], database: str, key: str = ''
    ) -> str:
        self.reader, self.writer = await asyncio.open_connection(
            *address, limit=4 << 20
        )
        text = f'START {database} {key}'.rstrip()
        self.writer.write(f'{text}\r\n'.encode())
        return await self.line()

    async def line(self) -> str:
        assert self.reader is not None
        return (await self.reader.readuntil(b'\r\n'))[:-2].decode()

    async def query(
        self, text: str, request_id: str = '', timeout_s: float = 8.0
    ) -> tuple[str, list[str], str]:
        """Return the last line before READY, the rows and the state."""
        assert self.writer is not None
        request_id = request_id or new_id()
        self.writer.write(f'QUERY {request_id} {text}\r\n'.encode())
        rows = []
        result = ''
        async with asyncio.timeout(timeout_s):
            while True:
                line = await self.line()
                word, _, rest = line.partition(' ')
                if word == 'DATAROW':
                    rows.append(rest)
                elif word == 'READY':
                    return result, rows, rest
                else:
                    result = line

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()


def new_id() -> str:
    """Return the id of a new request."""
    return f'{random.getrandbits(64):016x}'


def memory_mb(node: Node) -> float:
    """Return the resident memory of a process in MB."""
    assert node.process is not None
    with open(f'/proc/{node.process.pid}/status') as file:
        for line in file:
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
    return 0.0


def run(case: Callable[[System], object], system: System) -> None:
    """Run a case with a limit of 115 s and exit with its result."""

    async def main() -> int:
        try:
            async with asyncio.timeout(115):
                return await case(system)  # type: ignore[misc]
        except TimeoutError:
            system.record('the case did not end in time')
            return COULD_NOT_RUN
        finally:
            await system.close()

    result = asyncio.run(main())
    system.record(f'result: {result} (TROUBLE={int(TROUBLE)})')
    print({HELD: 'held', BROKEN: 'broken'}.get(result, 'could not run'))
    raise SystemExit(result)


def _free_network() -> str:
    """Return the start of a loopback network whose ports are free."""
    for _ in range(50):
        network = f'127.{random.randint(40, 250)}.{random.randint(1, 250)}'
        try:
            for port in PORTS.values():
                with socket.socket() as probe:
                    probe.bind((f'{network}.10', port))
        except OSError:
            continue
        return network
    raise SystemExit(COULD_NOT_RUN)
