"""Stand-in for a group of databases that speak the platform's line protocol.

`LineGroup` holds who leads; each `LineDatabase` has its own copy of the log,
receives and applies commits with a delay, and serves connections over TCP.
Rows are made up; every commit, read and refusal is kept for checks.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from dataclasses import field

import trio

LINE_END = b'\r\n'
FIRST_INDEX = 10
POLL_S = 0.005  # between looks of a statement that waits
# Words of a statement that neither reads nor changes rows.
_SESSION_WORDS = frozenset({'SET', 'PREPARE', 'DEALLOC', 'RESET'})


@dataclass(frozen=True)
class Commit:
    """A commit in the log.

    Parameters
    ----------
    position : tuple of int
        Term and number.
    at_s : float
        Time of the commit on the steady clock.
    writes : tuple of tuple
        Request id, key and value of each write.
    """

    position: tuple[int, int]
    at_s: float
    writes: tuple[tuple[str, str, str], ...]


@dataclass(frozen=True)
class ExecutedRead:
    """A read that ran, and the last commit in what it saw."""

    request: str
    database: str
    position: tuple[int, int]


@dataclass
class LineSession:
    """State of one connection."""

    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, str] = field(default_factory=dict)
    in_txn: bool = False
    is_plain: bool = False
    has_failed: bool = False
    writes: list[tuple[str, str, str]] = field(default_factory=list)


@dataclass
class LineGroup:
    """Databases of one group.

    Parameters
    ----------
    sync_replicas : int
        Replicas that must have received a commit before it is acknowledged.
    rolled_back : list of Commit
        Commits that promotions have dropped.
    """

    name: str
    sync_replicas: int = 0
    term: int = 1
    primary: str = ''
    token: int = 0
    databases: dict[str, LineDatabase] = field(default_factory=dict)
    rolled_back: list[Commit] = field(default_factory=list)
    reads: list[ExecutedRead] = field(default_factory=list)

    def add(self, name: str) -> LineDatabase:
        """Add a database; the first one leads."""
        database = LineDatabase(self, name)
        self.databases[name] = database
        self.primary = self.primary or name
        return database

    @property
    def log(self) -> list[Commit]:
        """Log of the primary."""
        return self.databases[self.primary].log

    def promote(self, name: str, token: int) -> bool:
        """Let a database lead; False if the token is old or it is down."""
        chosen = self.databases.get(name)
        if token < self.token or chosen is None or not chosen.is_running:
            return False
        self.token = token
        if name == self.primary:
            return True
        for database in self.databases.values():
            database.catch_up()
        for database in self.databases.values():
            shared = 0
            for own, other in zip(database.log, chosen.log, strict=False):
                if own != other:
                    break
                shared += 1
            for commit in database.log[shared:]:
                if commit not in self.rolled_back:
                    self.rolled_back.append(commit)
            del database.log[shared:]
            database.shown = min(database.shown, shared)
            database.paused_term = 0
        self.primary = name
        self.term += 1
        return True


@dataclass
class LineDatabase:
    """A database that answers the line protocol.

    Parameters
    ----------
    receive_s, apply_s : float
        Age at which a replica receives and applies a commit.
    work_s : float
        Time that a statement holds a slot.
    shown : int
        Commits of its log that reads have seen.
    hangs : bool
        Statements that take a slot get no answer; the others do.
    """

    group: LineGroup
    name: str
    log: list[Commit] = field(default_factory=list)
    receive_s: float = 0.005
    apply_s: float = 0.02
    work_s: float = 0.0
    slots: int = 6
    queue: int = 48
    is_running: bool = True
    hangs: bool = False
    shown: int = 0
    paused_term: int = 0
    busy: int = 0
    waiting: int = 0
    ran: list[str] = field(default_factory=list)
    streams: set[trio.SocketStream] = field(default_factory=set)

    @property
    def leads(self) -> bool:
        """Whether it is the primary."""
        return self.group.primary == self.name

    async def crash(self) -> None:
        """Close every connection and refuse new ones."""
        self.is_running = False
        for stream in list(self.streams):
            await trio.aclose_forcefully(stream)

    def catch_up(self) -> None:
        """Receive from the primary what has had the time to come."""
        source = self.group.databases[self.group.primary]
        if self.leads or self.paused_term or not self.is_running:
            return
        if not source.is_running:
            return
        limit_s = time.monotonic() - self.receive_s
        for commit in source.log[len(self.log) :]:
            if commit.at_s > limit_s:
                return
            self.log.append(commit)

    def applied(self) -> tuple[int, int]:
        """Return the position of the last commit that reads see."""
        self.catch_up()
        limit_s = time.monotonic() - self.apply_s
        while self.shown < len(self.log):
            # What was applied stays so when the delay grows.
            if not self.leads and self.log[self.shown].at_s > limit_s:
                break
            self.shown += 1
        if not self.shown:
            return (1, FIRST_INDEX)
        return self.log[self.shown - 1].position

    def received(self) -> tuple[int, int]:
        """Return the position of the last commit that it holds."""
        self.catch_up()
        return self.log[-1].position if self.log else (1, FIRST_INDEX)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends."""
        if not self.is_running:
            await trio.aclose_forcefully(stream)
            return
        session = LineSession()
        buffer = bytearray()
        self.streams.add(stream)
        try:
            async with stream:
                while data := await stream.receive_some(65_536):
                    buffer += data
                    while LINE_END in buffer:
                        line, _, rest = bytes(buffer).partition(LINE_END)
                        buffer[:] = rest
                        replies = await self.answer(session, line.decode())
                        text = ''.join(reply + '\r\n' for reply in replies)
                        await stream.send_all(text.encode())
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # what is open is rolled back with the session
        finally:
            self.streams.discard(stream)

    async def answer(self, session: LineSession, line: str) -> list[str]:
        """Return the lines that answer one line."""
        word, _, rest = line.partition(' ')
        if word == 'START':
            fields = rest.split(' ')
            if fields[0] != self.group.name or fields[2:] not in (
                [],
                [self.name],
            ):
                return [f'ERROR MISROUTED {self.name}']
            return [self._ready(session)]
        request_id, _, text = rest.partition(' ')
        replies = await self._run(session, request_id, text)
        return [*replies, self._ready(session)]

    def _ready(self, session: LineSession) -> str:
        state = 'T' if session.in_txn else 'I'
        if session.has_failed:
            state = 'E'
        term, index = self.applied()
        return f'READY {state} {term}.{index}'

    async def _run(
        self, session: LineSession, request_id: str, text: str
    ) -> list[str]:
        after = None
        if text.startswith('AFTER '):
            _, position, text = text.split(' ', 2)
            term, _, index = position.partition('.')
            after = (int(term), int(index))
        word = text.partition(' ')[0]
        if word in _SESSION_WORDS:
            return _change_session(session, text)
        if after is not None and after > self.applied():
            return [f'ERROR LAGGING {self.name}']
        if word == 'ROLLBACK':
            session.in_txn = session.has_failed = False
            session.writes.clear()
            return ['COMPLETE -']
        if word == 'BEGIN':
            return self._begin(session, text)
        if not await self._take_slot():
            return [f'ERROR BUSY {self.name}']
        try:
            while self.hangs:
                await trio.sleep(POLL_S)
            await trio.sleep(self.work_s)
            return await self._work(session, request_id, text)
        finally:
            self.busy -= 1

    async def _take_slot(self) -> bool:
        if self.waiting >= self.queue:
            return False
        self.waiting += 1
        try:
            while self.busy >= self.slots:
                await trio.sleep(POLL_S)
        finally:
            self.waiting -= 1
        self.busy += 1
        return True

    def _begin(self, session: LineSession, text: str) -> list[str]:
        session.is_plain = text == 'BEGIN'
        if session.is_plain and not self.leads:
            return [f'ERROR READONLY {self.name}']
        session.in_txn = True
        return ['COMPLETE -']

    async def _work(
        self, session: LineSession, request_id: str, text: str
    ) -> list[str]:
        word, _, fields = text.partition(' ')
        if word in ('STATUS', 'PAUSE', 'RESUME'):
            return self._status(word, fields)
        name, _, argument = fields.partition(' ')
        if word == 'EXECUTE':
            shape = session.prepared.get(name)
            if shape is None:
                return [f'ERROR NOSTMT {name}']
            word = shape.split(' ')[0]
            name, _, argument = argument.partition(' ')
        if session.in_txn and session.is_plain and not self.leads:
            session.has_failed = True
            if word != 'COMMIT' or session.writes:
                return [f'ERROR READONLY {self.name}']
        if word == 'WRITE' and not self.leads:
            return [f'ERROR READONLY {self.name}']
        self.ran.append(f'{request_id} {text}')
        done = f'COMPLETE {self.name}.{request_id}'
        if word == 'READ':
            seen = ExecutedRead(request_id, self.name, self.applied())
            self.group.reads.append(seen)
            return [f'DATAROW {self._row(name)}', done]
        if word == 'WRITE':
            session.writes.append((request_id, name, argument))
        if word == 'COMMIT':
            session.in_txn = session.has_failed = False
        if not session.in_txn and session.writes:
            commit = self._commit(session)
            if not await self._is_copied(commit):
                return [f'ERROR INDOUBT {self.name}']
        return [done]

    def _commit(self, session: LineSession) -> Commit:
        number = self.received()[1] + 1
        commit = Commit(
            (self.group.term, number),
            time.monotonic(),
            tuple(session.writes),
        )
        session.writes.clear()
        self.log.append(commit)
        return commit

    async def _is_copied(self, commit: Commit) -> bool:
        """Wait until enough replicas have received a commit."""
        while self.leads:
            copies = 0
            for database in self.group.databases.values():
                if database is not self:
                    database.catch_up()
                    copies += commit in database.log[-100:]
            if copies >= self.group.sync_replicas:
                return True
            await trio.sleep(POLL_S)
        return False

    def _row(self, key: str) -> str:
        position = self.applied()
        for commit in reversed(self.log):
            if commit.position > position:
                continue
            for _, name, value in commit.writes:
                if name == key:
                    return value
        return 'none'

    def _status(self, word: str, fields: str) -> list[str]:
        if word == 'PAUSE' and int(fields) > self.group.term:
            self.catch_up()
            self.paused_term = int(fields)
        elif word == 'RESUME':
            self.paused_term = 0
        role = 'primary' if self.leads else 'replica'
        term, index = self.received()
        row = f'{role} {self.group.term} {term}.{index} 0 0 0 1'
        return [f'DATAROW {row}', 'COMPLETE -']


def _change_session(session: LineSession, text: str) -> list[str]:
    word, _, fields = text.partition(' ')
    name, _, argument = fields.partition(' ')
    if word == 'SET':
        session.values[name] = argument
    elif word == 'PREPARE':
        session.prepared[name] = argument
    elif word == 'DEALLOC':
        session.prepared.pop(name, None)
    else:
        session.values.clear()
        session.prepared.clear()
    return ['COMPLETE -']
