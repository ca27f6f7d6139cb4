"""Replication between stand-ins over the path ``/v1/replicate``."""

from __future__ import annotations

import logging
import ssl
from dataclasses import dataclass
from dataclasses import field
from typing import Literal

import cbor2
import trio

from jackdawpost.core.positions import TermEnd
from jackdawpost.errors import JackdawpostError
from jackdawpost.errors import ProtocolError
from jackdawpost.errors import StorageError
from jackdawpost.runtime.timers import MS_PER_SECOND
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.codec import FrameError
from jackdawpost.wire.link import open_link
from jackdawpost.wire.stream import FrameStream
from jackdawpost.wire.tls import peer_has_role
from jackdawpost.wire.tls import PeerIdentity
from jackdawpost_standin.database import Database
from jackdawpost_standin.faults import Faults
from jackdawpost_standin.peer_link import PeerLink
from jackdawpost_standin.settings import StandinSettings

LOG = logging.getLogger(__name__)

REPLICATE_PATH = '/v1/replicate'
HEARTBEAT_MS = 200
# Five missed heartbeats: the connection has gone silent.
SILENT_MS = 1_000
RECONNECT_MS = 50
OPEN_TIMEOUT_MS = 1_000
BATCH_RECORDS = 512
CHUNK_BYTES = 500_000
# Kept far below the unsent bytes at which a stream cuts its peer off.
WINDOW_RECORDS = 4_096
WINDOW_BYTES = 2 << 20


@dataclass(slots=True, kw_only=True)
class ReplicateOpen:
    """First frame of a follower.

    Parameters
    ----------
    term : int
        Term in which the follower was told to follow.
    history : list of TermEnd
        Last index of each term in the follower's log.
    """

    peer: str
    group: str
    data_id: str
    term: int
    history: list[TermEnd] = field(default_factory=list)
    kind: Literal['replicate_open'] = 'replicate_open'


@dataclass(slots=True, kw_only=True)
class ReplicateStart:
    """The primary sends the records after `common_index`."""

    term: int
    common_index: int
    kind: Literal['replicate_start'] = 'replicate_start'


@dataclass(slots=True, kw_only=True)
class ReplicateRefused:
    """The sender is not the primary in the follower's term."""

    term: int
    message: str
    kind: Literal['replicate_refused'] = 'replicate_refused'


@dataclass(slots=True, kw_only=True)
class Records:
    """Part of a batch of records; empty as a heartbeat.

    Parameters
    ----------
    data : bytes
        Part of the CBOR array of encoded records.
    more : bool
        Further parts of this batch follow.
    sent_through : int
        Index of the last record sent so far, this batch included.
    """

    data: bytes = b''
    more: bool = False
    sent_through: int = 0
    kind: Literal['records'] = 'records'


@dataclass(slots=True, kw_only=True)
class Replicated:
    """Index of the last record that the follower has received."""

    index: int
    kind: Literal['replicated'] = 'replicated'


class ReplicationError(JackdawpostError):
    """The connection cannot go on; the follower opens a new one."""


_PRIMARY_CODEC = FrameCodec(ReplicateOpen, Replicated)
_FOLLOWER_CODEC = FrameCodec(ReplicateStart, ReplicateRefused, Records)


# Primary


class _Feed:
    """Records sent to one follower and not yet acknowledged."""

    def __init__(self, database: Database, link: PeerLink) -> None:
        self.db = database
        self.link = link
        self.term = database.role.term
        self.data_id = database.role.data_id
        self.sent_index = 0
        self.acked_index = 0
        self.unacked_bytes = 0

    @property
    def valid(self) -> bool:
        role = self.db.role
        return (
            role.leads
            and role.term == self.term
            and role.data_id == self.data_id
        )

    def send_batch(self) -> bool:
        """Send records if there are any and the window is open."""
        if self.acked_index == self.sent_index:
            self.unacked_bytes = 0
        in_flight = self.sent_index - self.acked_index
        if in_flight >= WINDOW_RECORDS or self.unacked_bytes >= WINDOW_BYTES:
            return False
        batch: list[bytes] = []
        size = 0
        encoded = self.db.log.encoded
        index = self.sent_index
        while index < len(encoded) and len(batch) < BATCH_RECORDS:
            batch.append(encoded[index])
            size += len(batch[-1])
            index += 1
            if size >= CHUNK_BYTES:
                break
        if not batch:
            return False
        self.sent_index = index
        self.unacked_bytes += size
        self._send_parts(cbor2.dumps(batch))
        return True

    def _send_parts(self, data: bytes) -> None:
        for start in range(0, len(data), CHUNK_BYTES):
            end = start + CHUNK_BYTES
            part = Records(
                data=data[start:end],
                more=end < len(data),
                sent_through=self.sent_index,
            )
            self.link.post(encode_cbor([part]))


async def serve_follower(
    database: Database, link: PeerLink, group: str, certificate: str = ''
) -> None:
    """Send the log to one follower until it leaves or the role changes."""
    req = _PRIMARY_CODEC.decode(await link.receive())[0]
    if not isinstance(req, ReplicateOpen):
        raise FrameError(f'{req.kind!r} in place of replicate_open')
    if certificate and not peer_has_role(certificate, 'upstream', req.peer):
        raise FrameError(f'{certificate!r} follows as {req.peer!r}')
    link.peer = req.peer
    role = database.role
    if not role.leads or role.term != req.term or group != req.group:
        refusal = ReplicateRefused(
            term=role.term, message=f'{group}: leads is {role.leads}'
        )
        link.post(encode_cbor([refusal]))
        return
    feed = _Feed(database, link)
    feed.sent_index = database.log.common_index(req.history)
    feed.acked_index = feed.sent_index
    start = ReplicateStart(term=role.term, common_index=feed.sent_index)
    link.post(encode_cbor([start]))
    LOG.info(
        'follower connected',
        extra={'peer': req.peer, 'common_index': feed.sent_index},
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_records, feed, nursery.cancel_scope)
        try:
            await _read_acks(feed)
        except ProtocolError as exc:
            LOG.info(
                'follower disconnected',
                extra={'peer': req.peer, 'detail': str(exc)},
            )
        nursery.cancel_scope.cancel()


async def _send_records(feed: _Feed, scope: trio.CancelScope) -> None:
    heartbeat_s = HEARTBEAT_MS / MS_PER_SECOND
    due_s = trio.current_time() + heartbeat_s
    while feed.valid:
        if feed.send_batch():
            due_s = trio.current_time() + heartbeat_s
            await trio.lowlevel.checkpoint()
            continue
        await feed.db.changed.wait_until(due_s)
        if trio.current_time() >= due_s:
            beat = Records(sent_through=feed.sent_index)
            feed.link.post(encode_cbor([beat]))
            due_s = trio.current_time() + heartbeat_s
    scope.cancel()


async def _read_acks(feed: _Feed) -> None:
    while True:
        for ack in _PRIMARY_CODEC.decode(await feed.link.receive()):
            if not isinstance(ack, Replicated):
                raise FrameError(f'{ack.kind!r} in place of replicated')
            feed.acked_index = max(feed.acked_index, ack.index)
            feed.db.changed.notify()


# Follower


class Follower:
    """Keeps the log equal to that of the primary being followed.

    Parameters
    ----------
    database : Database
        The database that follows.
    cfg : StandinSettings
        Name, group and delays.
    faults : Faults
        Switches that may drop the traffic.
    tls : ssl.SSLContext, optional
        Client context.
    """

    def __init__(
        self,
        database: Database,
        cfg: StandinSettings,
        faults: Faults,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._db = database
        self._cfg = cfg
        self._faults = faults
        self._tls = tls
        self.connected = False

    async def run(self) -> None:
        """Follow whichever primary the role names, until cancelled."""
        while True:
            version = self._db.role_changed.version
            if not self._db.role.primary:
                await self._db.role_changed.wait_beyond(version)
                continue
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._follow_role)
                await self._db.role_changed.wait_beyond(version)
                nursery.cancel_scope.cancel()

    async def _follow_role(self) -> None:
        # The role may have lost its primary in the same scheduler step in
        # which a reconnect is due, before this task is cancelled.
        while self._db.role.primary:
            if not self._faults.blocks(self._db.role.primary):
                await self._follow_once()
            await trio.sleep(RECONNECT_MS / MS_PER_SECOND)

    async def _follow_once(self) -> None:
        role = self._db.role
        try:
            async with open_link(
                role.host,
                role.port,
                REPLICATE_PATH,
                tls=self._tls,
                expected=PeerIdentity('upstream', role.primary),
                timeout_ms=OPEN_TIMEOUT_MS,
            ) as stream:
                await self._receive_all(stream, role.primary)
        except ProtocolError as exc:
            self._log_end(exc)
        finally:
            self.connected = False

    async def _receive_all(self, stream: FrameStream, primary: str) -> None:
        latency_ms = self._cfg.shipping_delay_ms
        latency_ms += self._cfg.peer_latency_ms.get(
            primary, self._cfg.latency_ms
        )
        async with trio.open_nursery() as nursery:
            link = PeerLink(stream, self._faults, nursery, primary, latency_ms)
            try:
                await self._receive_frames(link, latency_ms)
            except (
                ProtocolError,
                ReplicationError,
                StorageError,
                trio.TooSlowError,
            ) as exc:
                self._log_end(exc)
            nursery.cancel_scope.cancel()

    async def _receive_frames(self, link: PeerLink, latency_ms: float) -> None:
        silent_s = (SILENT_MS + 2 * latency_ms) / MS_PER_SECOND
        link.post(encode_cbor([self._open_message()]))
        parts: list[bytes] = []
        while True:
            with trio.fail_after(silent_s):
                frame = await link.receive()
            for message in _FOLLOWER_CODEC.decode(frame):
                self._take(message, parts, link)

    def _log_end(self, exc: Exception) -> None:
        LOG.debug(
            'replication ended',
            extra={'primary': self._db.role.primary, 'detail': str(exc)},
        )

    def _open_message(self) -> ReplicateOpen:
        role = self._db.role
        return ReplicateOpen(
            peer=self._db.name,
            group=self._cfg.group,
            data_id=role.data_id,
            term=role.term,
            history=self._db.history(),
        )

    def _take(
        self,
        message: ReplicateStart | ReplicateRefused | Records,
        parts: list[bytes],
        link: PeerLink,
    ) -> None:
        if isinstance(message, ReplicateRefused):
            raise ReplicationError(message.message)
        if isinstance(message, ReplicateStart):
            self._start(message)
            return
        if not self.connected:
            raise ReplicationError('records before replicate_start')
        if message.data:
            parts.append(message.data)
            if message.more:
                return
            self._add_records(b''.join(parts))
            parts.clear()
        if message.sent_through != self._db.received.index:
            raise ReplicationError(
                f'sent through {message.sent_through}, '
                f'received {self._db.received.index}'
            )
        link.post(encode_cbor([Replicated(index=message.sent_through)]))

    def _start(self, message: ReplicateStart) -> None:
        if message.term != self._db.role.term:
            raise ReplicationError(f'term {message.term} of the primary')
        self._db.discard_after(message.common_index)
        self._db.confirmed = True
        self.connected = True
        self._db.changed.notify()

    def _add_records(self, data: bytes) -> None:
        lag_s = self._cfg.apply_lag_ms / MS_PER_SECOND
        apply_at_s = trio.current_time() + lag_s
        self._db.accept_records(_split_batch(data), apply_at_s)


def _split_batch(data: bytes) -> list[bytes]:
    try:
        batch = cbor2.loads(data)
    except (ValueError, cbor2.CBORError) as exc:
        raise ReplicationError(f'batch cannot be parsed: {exc}') from exc
    if not isinstance(batch, list):
        raise ReplicationError(f'{type(batch).__name__} in place of records')
    return batch


async def apply_when_due(database: Database, faults: Faults) -> None:
    """Apply received records after their lag, until cancelled."""
    while True:
        due = database.apply_due
        if not due or faults.state.hold_apply:
            await database.changed.wait_beyond(database.changed.version)
        elif due[0][0] > trio.current_time():
            await database.changed.wait_until(due[0][0])
        else:
            if database.apply_batch(due[0][1]):
                due.popleft()
            await trio.lowlevel.checkpoint()
