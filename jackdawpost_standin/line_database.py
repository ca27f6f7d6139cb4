"""Simulated database group that speaks the line protocol of the platform.

`LineGroup` stores which database is the primary. Each `LineDatabase` has its
own copy of the log, receives and applies commits with a delay, and serves
connections over TCP. There are no tables: a read returns the value of a key
in the last applied commit that wrote it. All commits and reads are recorded
for checks.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from dataclasses import field

import trio

LINE_END = b'\r\n'
INITIAL_INDEX = 10  # index of a log without commits
POLL_INTERVAL_S = 0.005  # between two checks of a waiting statement
# Keywords of statements that change only the session.
_SESSION_KEYWORDS = frozenset({'SET', 'PREPARE', 'DEALLOC', 'RESET'})


@dataclass(frozen=True)
class Commit:
    """Committed transaction in the log.

    Parameters
    ----------
    position : tuple of int
        Term and index.
    at_s : float
        Time of the commit on the monotonic clock.
    writes : tuple of tuple
        Request id, key and value of each write.
    """

    position: tuple[int, int]
    at_s: float
    writes: tuple[tuple[str, str, str], ...]


@dataclass(frozen=True)
class ExecutedRead:
    """Executed read, with the position of the last commit visible to it."""

    request: str
    database: str
    position: tuple[int, int]


@dataclass(frozen=True)
class ReceivedStatement:
    """Statement received by a database, with the peer that opened the session.

    Parameters
    ----------
    at_s : float
        Time on the monotonic clock.
    """

    request: str
    database: str
    peer: str
    at_s: float


@dataclass
class LineSession:
    """State of the session on one connection.

    Parameters
    ----------
    peer : str
        Second field of ``START``; empty if it is missing.
    variables : dict of str to str
        Session variables set by SET.
    prepared : dict of str to str
        Prepared statements by name.
    is_read_write : bool
        Whether the transaction is read-write, so that it needs the primary.
    has_failed : bool
        Whether a statement of the transaction has failed.
    writes : list of tuple
        Request id, key and value of each write that is not committed.
    """

    peer: str = ''
    variables: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, str] = field(default_factory=dict)
    in_txn: bool = False
    is_read_write: bool = False
    has_failed: bool = False
    writes: list[tuple[str, str, str]] = field(default_factory=list)


@dataclass
class LineGroup:
    """Database group with one primary.

    Parameters
    ----------
    sync_replicas : int
        Number of replicas that must have received a commit before it is
        acknowledged.
    is_demoted : bool
        Whether the primary was demoted, so that no database leads until a
        promotion.
    fencing_token : int
        Highest fencing token of a promotion.
    rolled_back : list of Commit
        Commits that promotions have removed from logs.
    reads : list of ExecutedRead
        Reads of all databases.
    statements : list of ReceivedStatement
        Statements received by all databases, including refused ones.
    """

    name: str
    sync_replicas: int = 0
    term: int = 1
    primary: str = ''
    is_demoted: bool = False
    fencing_token: int = 0
    databases: dict[str, LineDatabase] = field(default_factory=dict)
    rolled_back: list[Commit] = field(default_factory=list)
    reads: list[ExecutedRead] = field(default_factory=list)
    statements: list[ReceivedStatement] = field(default_factory=list)

    def add(self, name: str) -> LineDatabase:
        """Add a database; the first one becomes the primary."""
        database = LineDatabase(self, name)
        self.databases[name] = database
        self.primary = self.primary or name
        return database

    @property
    def log(self) -> list[Commit]:
        """Log of the current primary."""
        return self.databases[self.primary].log

    def promote(self, name: str, fencing_token: int) -> bool:
        """Make a database the primary.

        Commits that the new primary has not received are removed from the
        logs of all databases.

        Returns
        -------
        bool
            False if the fencing token is lower than an earlier one, or the
            database is unknown or not running.
        """
        new_primary = self.databases.get(name)
        if (
            fencing_token < self.fencing_token
            or new_primary is None
            or not new_primary.is_running
        ):
            return False
        self.fencing_token = fencing_token
        if name == self.primary and not self.is_demoted:
            return True
        for database in self.databases.values():
            database.catch_up()
        for database in self.databases.values():
            common_count = 0
            for own, other in zip(database.log, new_primary.log, strict=False):
                if own != other:
                    break
                common_count += 1
            for commit in database.log[common_count:]:
                if commit not in self.rolled_back:
                    self.rolled_back.append(commit)
            del database.log[common_count:]
            database.applied_count = min(database.applied_count, common_count)
            database.paused_term = 0
        self.primary = name
        self.is_demoted = False
        self.term += 1
        return True


@dataclass
class LineDatabase:
    """Database of a group, served over the line protocol.

    Parameters
    ----------
    receive_delay_s, apply_delay_s : float
        Age of a commit at which a replica receives and applies it.
    service_s : float
        Execution time of a statement, for which it holds a slot.
    slots : int
        Maximum number of statements that run at the same time.
    max_queued : int
        Maximum number of statements that wait for a slot; 0 refuses all
        statements that need a slot.
    hangs : bool
        Whether statements that need a slot remain without an answer. The
        other statements are answered.
    applied_count : int
        Number of commits in the log that reads can see.
    paused_term : int
        Term of the last accepted PAUSE statement; 0 if it is not paused. A
        paused replica receives no commits.
    executed : list of str
        Request id and text of each executed statement.
    """

    group: LineGroup
    name: str
    log: list[Commit] = field(default_factory=list)
    receive_delay_s: float = 0.005
    apply_delay_s: float = 0.02
    service_s: float = 0.0
    slots: int = 6
    max_queued: int = 48
    is_running: bool = True
    hangs: bool = False
    applied_count: int = 0
    paused_term: int = 0
    slots_in_use: int = 0
    queued: int = 0
    executed: list[str] = field(default_factory=list)
    streams: set[trio.SocketStream] = field(default_factory=set)

    @property
    def leads(self) -> bool:
        """Whether this database is the primary."""
        return self.group.primary == self.name and not self.group.is_demoted

    async def crash(self) -> None:
        """Stop running: close all connections and refuse new ones."""
        self.is_running = False
        for stream in list(self.streams):
            await trio.aclose_forcefully(stream)

    def catch_up(self) -> None:
        """Receive commits of the primary that are `receive_delay_s` old."""
        primary = self.group.databases[self.group.primary]
        if self.leads or self.paused_term or not self.is_running:
            return
        if not primary.is_running or not primary.leads:
            return
        max_commit_s = time.monotonic() - self.receive_delay_s
        for commit in primary.log[len(self.log) :]:
            if commit.at_s > max_commit_s:
                return
            self.log.append(commit)

    def applied(self) -> tuple[int, int]:
        """Return the position of the last commit that reads can see."""
        self.catch_up()
        max_commit_s = time.monotonic() - self.apply_delay_s
        while self.applied_count < len(self.log):
            # Applied commits stay applied when the delay is increased.
            if (
                not self.leads
                and self.log[self.applied_count].at_s > max_commit_s
            ):
                break
            self.applied_count += 1
        if not self.applied_count:
            return (1, INITIAL_INDEX)
        return self.log[self.applied_count - 1].position

    def received(self) -> tuple[int, int]:
        """Return the position of the last commit in the log."""
        self.catch_up()
        return self.log[-1].position if self.log else (1, INITIAL_INDEX)

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
                        replies = await self.handle_line(
                            session, line.decode()
                        )
                        text = ''.join(reply + '\r\n' for reply in replies)
                        await stream.send_all(text.encode())
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # the end of the session rolls back an open transaction
        finally:
            self.streams.discard(stream)

    async def handle_line(self, session: LineSession, line: str) -> list[str]:
        """Handle one received line and return the lines of the answer."""
        keyword, _, rest = line.partition(' ')
        if keyword == 'START':
            # Group, name of the client, and optionally the database that must
            # serve the session.
            fields = rest.split(' ')
            if fields[0] != self.group.name or fields[2:] not in (
                [],
                [self.name],
            ):
                return [f'ERROR MISROUTED {self.name}']
            session.peer = fields[1] if len(fields) > 1 else ''
            return [self._build_ready(session)]
        request_id, _, text = rest.partition(' ')
        self.group.statements.append(
            ReceivedStatement(
                request_id, self.name, session.peer, time.monotonic()
            )
        )
        replies = await self._run_request(session, request_id, text)
        return [*replies, self._build_ready(session)]

    def _build_ready(self, session: LineSession) -> str:
        state = 'T' if session.in_txn else 'I'
        if session.has_failed:
            state = 'E'
        term, index = self.applied()
        return f'READY {state} {term}.{index}'

    async def _run_request(
        self, session: LineSession, request_id: str, text: str
    ) -> list[str]:
        after = None
        if text.startswith('AFTER '):
            _, position, text = text.split(' ', 2)
            term, _, index = position.partition('.')
            after = (int(term), int(index))
        keyword = text.partition(' ')[0]
        if keyword in _SESSION_KEYWORDS:
            return _change_session(session, text)
        if after is not None and after > self.applied():
            return [f'ERROR LAGGING {self.name}']
        if keyword == 'ROLLBACK':
            session.in_txn = session.has_failed = False
            session.writes.clear()
            return ['COMPLETE -']
        if keyword == 'BEGIN':
            return self._begin(session, text)
        if not await self._acquire_slot():
            return [f'ERROR BUSY {self.name}']
        try:
            while self.hangs:
                await trio.sleep(POLL_INTERVAL_S)
            await trio.sleep(self.service_s)
            return await self._execute(session, request_id, text)
        finally:
            self.slots_in_use -= 1

    async def _acquire_slot(self) -> bool:
        if self.queued >= self.max_queued:
            return False
        self.queued += 1
        try:
            while self.slots_in_use >= self.slots:
                await trio.sleep(POLL_INTERVAL_S)
        finally:
            self.queued -= 1
        self.slots_in_use += 1
        return True

    def _begin(self, session: LineSession, text: str) -> list[str]:
        session.is_read_write = text == 'BEGIN'
        if session.is_read_write and not self.leads:
            return [f'ERROR READONLY {self.name}']
        session.in_txn = True
        return ['COMPLETE -']

    async def _execute(
        self, session: LineSession, request_id: str, text: str
    ) -> list[str]:
        keyword, _, fields = text.partition(' ')
        if keyword in ('STATUS', 'PAUSE', 'RESUME', 'DEMOTE'):
            return self._run_admin_statement(keyword, fields)
        name, _, argument = fields.partition(' ')
        if keyword == 'EXECUTE':
            statement = session.prepared.get(name)
            if statement is None:
                return [f'ERROR NOSTMT {name}']
            keyword = statement.split(' ')[0]
            name, _, argument = argument.partition(' ')
        if session.in_txn and session.is_read_write and not self.leads:
            session.has_failed = True
            if keyword != 'COMMIT' or session.writes:
                return [f'ERROR READONLY {self.name}']
        if keyword == 'WRITE' and not self.leads:
            return [f'ERROR READONLY {self.name}']
        self.executed.append(f'{request_id} {text}')
        done = f'COMPLETE {self.name}.{request_id}'
        if keyword == 'READ':
            read = ExecutedRead(request_id, self.name, self.applied())
            self.group.reads.append(read)
            return [f'DATAROW {self._read_value(name)}', done]
        if keyword == 'WRITE':
            session.writes.append((request_id, name, argument))
        if keyword == 'COMMIT':
            session.in_txn = session.has_failed = False
        if not session.in_txn and session.writes:
            commit = self._commit(session)
            if not await self._wait_for_replicas(commit):
                return [f'ERROR INDOUBT {self.name}']
        return [done]

    def _commit(self, session: LineSession) -> Commit:
        index = self.received()[1] + 1
        commit = Commit(
            (self.group.term, index),
            time.monotonic(),
            tuple(session.writes),
        )
        session.writes.clear()
        self.log.append(commit)
        return commit

    async def _wait_for_replicas(self, commit: Commit) -> bool:
        """Wait until enough replicas have received a commit.

        Returns
        -------
        bool
            False if the database is no longer the primary.
        """
        while self.leads:
            receivers = 0
            for database in self.group.databases.values():
                if database is not self:
                    database.catch_up()
                    receivers += commit in database.log[-100:]
            if receivers >= self.group.sync_replicas:
                return True
            await trio.sleep(POLL_INTERVAL_S)
        return False

    def _read_value(self, key: str) -> str:
        position = self.applied()
        for commit in reversed(self.log):
            if commit.position > position:
                continue
            for _, name, value in commit.writes:
                if name == key:
                    return value
        return 'none'

    def _run_admin_statement(self, keyword: str, fields: str) -> list[str]:
        if keyword == 'PAUSE' and int(fields) > self.group.term:
            self.catch_up()
            self.paused_term = int(fields)
        elif keyword == 'RESUME':
            self.paused_term = 0
        elif keyword == 'DEMOTE' and self.leads:
            self.group.is_demoted = int(fields) > self.group.term
        role = 'primary' if self.leads else 'replica'
        term, index = self.received()
        # The proxy does not read the last four fields.
        row = f'{role} {self.group.term} {term}.{index} 0 0 0 1'
        return [f'DATAROW {row}', 'COMPLETE -']


def _change_session(session: LineSession, text: str) -> list[str]:
    keyword, _, fields = text.partition(' ')
    name, _, argument = fields.partition(' ')
    if keyword == 'SET':
        session.variables[name] = argument
    elif keyword == 'PREPARE':
        session.prepared[name] = argument
    elif keyword == 'DEALLOC':
        session.prepared.pop(name, None)
    else:
        session.variables.clear()
        session.prepared.clear()
    return ['COMPLETE -']
