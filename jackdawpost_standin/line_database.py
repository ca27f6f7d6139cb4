"""Stand-in for one database of the platform's line protocol.

Serves one connection after another over TCP: sessions, transactions and
positions, with rows that it makes up. It has no replication: a test makes
several of them and says which one leads.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

import trio

LINE_END = b'\r\n'


@dataclass
class LineSession:
    """State of one connection."""

    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, str] = field(default_factory=dict)
    in_txn: bool = False
    wrote: bool = False


@dataclass
class LineDatabase:
    """A database that answers the line protocol.

    Parameters
    ----------
    group, name : str
        Service and id that `START` must carry.
    """

    group: str
    name: str
    leads: bool = True
    term: int = 1
    index: int = 10
    ran: list[str] = field(default_factory=list)
    rows: dict[str, str] = field(default_factory=dict)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends."""
        session = LineSession()
        buffer = bytearray()
        async with stream:
            while data := await _receive(stream):
                buffer += data
                while LINE_END in buffer:
                    line, _, rest = bytes(buffer).partition(LINE_END)
                    buffer[:] = rest
                    replies = self.answer(session, line.decode())
                    text = ''.join(reply + '\r\n' for reply in replies)
                    await stream.send_all(text.encode())

    def answer(self, session: LineSession, line: str) -> list[str]:
        """Return the lines that answer one line."""
        word, _, rest = line.partition(' ')
        if word == 'START':
            fields = rest.split(' ')
            if fields[0] != self.group or fields[2:] not in ([], [self.name]):
                return [f'ERROR MISROUTED {self.name}']
            return [self._ready(session)]
        request_id, _, text = rest.partition(' ')
        replies = self._run(session, request_id, text)
        return [*replies, self._ready(session)]

    def _ready(self, session: LineSession) -> str:
        state = 'T' if session.in_txn else 'I'
        return f'READY {state} {self.term}.{self.index}'

    def _run(
        self, session: LineSession, request_id: str, text: str
    ) -> list[str]:
        word, _, fields = text.partition(' ')
        if word == 'AFTER':
            position, _, text = fields.partition(' ')
            term, _, index = position.partition('.')
            if (int(term), int(index)) > (self.term, self.index):
                return [f'ERROR LAGGING {self.name}']
            word, _, fields = text.partition(' ')
        if word in ('BEGIN', 'ROLLBACK', 'SET', 'PREPARE', 'RESET', 'STATUS'):
            return self._run_local(session, word, fields)
        name, _, argument = fields.partition(' ')
        if word == 'EXECUTE':
            shape = session.prepared.get(name)
            if shape is None:
                return [f'ERROR NOSTMT {name}']
            word = shape.split(' ')[0]
            name, _, argument = argument.partition(' ')
        if word == 'WRITE' and not self.leads:
            return [f'ERROR READONLY {self.name}']
        self.ran.append(f'{request_id} {text}')
        replies = [f'COMPLETE {self.name}.{request_id}']
        if word == 'READ':
            replies.insert(0, f'DATAROW {self.rows.get(name, "none")}')
        elif word == 'WRITE':
            self.rows[name] = argument
            self.index += 0 if session.in_txn else 1
            session.wrote = True
        elif word == 'COMMIT':
            self.index += 1 if session.wrote else 0
            session.in_txn = session.wrote = False
        return replies

    def _run_local(
        self, session: LineSession, word: str, fields: str
    ) -> list[str]:
        name, _, argument = fields.partition(' ')
        if word == 'BEGIN':
            if not self.leads and not fields:
                return [f'ERROR READONLY {self.name}']
            session.in_txn = True
        elif word == 'ROLLBACK':
            session.in_txn = session.wrote = False
        elif word == 'SET':
            session.values[name] = argument
        elif word == 'PREPARE':
            session.prepared[name] = argument
        elif word == 'RESET':
            session.values.clear()
            session.prepared.clear()
        elif word == 'STATUS':
            role = 'primary' if self.leads else 'replica'
            row = f'{role} {self.term} {self.term}.{self.index} 0 0 0 1'
            return [f'DATAROW {row}', 'COMPLETE -']
        return ['COMPLETE -']


async def _receive(stream: trio.SocketStream) -> bytes:
    try:
        return await stream.receive_some(65_536)
    except trio.BrokenResourceError:
        return b''
