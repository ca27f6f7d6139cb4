"""Log replication between simulated databases over ``/v1/replicate``.

A follower connects to its primary and sends the history of its log. The
primary streams the records after the last common index, and the follower
acknowledges them.
"""

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
from jackdawpost_standin.faults import FaultInjector
from jackdawpost_standin.peer_link import PeerLink
from jackdawpost_standin.settings import StandinSettings

LOG = logging.getLogger(__name__)

REPLICATE_PATH = '/v1/replicate'
HEARTBEAT_INTERVAL_MS = 200
# A connection without a frame for five heartbeat intervals is closed.
SILENCE_TIMEOUT_MS = 1_000
RECONNECT_DELAY_MS = 50
OPEN_TIMEOUT_MS = 1_000
MAX_BATCH_RECORDS = 512
# Maximum size of a part of a batch. The record with which the batch reaches
# this size is the last one in it.
MAX_PART_BYTES = 500_000
# No batch is sent while this much is unacknowledged. The limit in bytes is
# far below the unsent bytes at which a stream closes the connection.
MAX_UNACKED_RECORDS = 4_096
MAX_UNACKED_BYTES = 2 << 20


@dataclass(slots=True, kw_only=True)
class ReplicateOpen:
    """First frame that a follower sends.

    Parameters
    ----------
    term : int
        Term in which the follower follows the primary.
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
    """Answer to `ReplicateOpen`: the records after `common_index` follow."""

    term: int
    common_index: int
    kind: Literal['replicate_start'] = 'replicate_start'


@dataclass(slots=True, kw_only=True)
class ReplicateRefused:
    """Answer to `ReplicateOpen`: not the primary of this group and term."""

    term: int
    message: str
    kind: Literal['replicate_refused'] = 'replicate_refused'


@dataclass(slots=True, kw_only=True)
class Records:
    """Part of a batch of records, or a heartbeat without records.

    Parameters
    ----------
    data : bytes
        Part of the CBOR array of encoded records; empty in a heartbeat.
    more : bool
        Whether further parts of this batch follow.
    sent_through : int
        Index of the last record sent so far, including this batch.
    """

    data: bytes = b''
    more: bool = False
    sent_through: int = 0
    kind: Literal['records'] = 'records'


@dataclass(slots=True, kw_only=True)
class Replicated:
    """Acknowledgement of all records up to `index`."""

    index: int
    kind: Literal['replicated'] = 'replicated'


class ReplicationError(JackdawpostError):
    """The follower must close the connection and open a new one."""


_PRIMARY_CODEC = FrameCodec(ReplicateOpen, Replicated)
_FOLLOWER_CODEC = FrameCodec(ReplicateStart, ReplicateRefused, Records)


# Primary


class _LogSender:
    """Sends the log to one follower within a window of unacknowledged records.

    `is_current` becomes false when the database is no longer the primary in
    the term in which the follower connected.
    """

    def __init__(self, database: Database, link: PeerLink) -> None:
        self.db = database
        self.link = link
        self.term = database.role.term
        self.data_id = database.role.data_id
        self.sent_index = 0
        self.acked_index = 0
        # Bytes sent since the follower last acknowledged all sent records.
        self.unacked_bytes = 0

    @property
    def is_current(self) -> bool:
        role = self.db.role
        return (
            role.leads
            and role.term == self.term
            and role.data_id == self.data_id
        )

    def send_batch(self) -> bool:
        """Send the next batch; return False if none may be sent now."""
        if self.acked_index == self.sent_index:
            self.unacked_bytes = 0
        in_flight = self.sent_index - self.acked_index
        if (
            in_flight >= MAX_UNACKED_RECORDS
            or self.unacked_bytes >= MAX_UNACKED_BYTES
        ):
            return False
        batch: list[bytes] = []
        size = 0
        encoded = self.db.log.encoded
        index = self.sent_index
        while index < len(encoded) and len(batch) < MAX_BATCH_RECORDS:
            batch.append(encoded[index])
            size += len(batch[-1])
            index += 1
            if size >= MAX_PART_BYTES:
                break
        if not batch:
            return False
        self.sent_index = index
        self.unacked_bytes += size
        self._send_parts(cbor2.dumps(batch))
        return True

    def _send_parts(self, data: bytes) -> None:
        for start in range(0, len(data), MAX_PART_BYTES):
            end = start + MAX_PART_BYTES
            part = Records(
                data=data[start:end],
                more=end < len(data),
                sent_through=self.sent_index,
            )
            self.link.post(encode_cbor([part]))


async def serve_follower(
    database: Database, link: PeerLink, group: str, certificate: str = ''
) -> None:
    """Send the log to one follower until it disconnects or the role changes.

    Parameters
    ----------
    database : Database
        Database whose log is sent.
    link : PeerLink
        Connection that the follower has opened.
    group : str
        Database group of `database`.
    certificate : str
        Common name of the follower's certificate; empty without TLS.

    Raises
    ------
    FrameError
        The first frame is invalid, or the certificate does not allow the
        name of the peer.
    """
    req = _PRIMARY_CODEC.decode(await link.receive())[0]
    if not isinstance(req, ReplicateOpen):
        raise FrameError(
            f'first frame is {req.kind!r}: expected replicate_open'
        )
    if certificate and not peer_has_role(certificate, 'upstream', req.peer):
        raise FrameError(
            f'certificate {certificate!r} does not allow the follower name '
            f'{req.peer!r}: expected the common name upstream.PEER'
        )
    link.peer = req.peer
    role = database.role
    if not role.leads or role.term != req.term or group != req.group:
        refusal = ReplicateRefused(
            term=role.term,
            message=f'replicate_open refused with group {group} and leads '
            f'{role.leads}: expected the primary of the requested group and '
            'term',
        )
        link.post(encode_cbor([refusal]))
        return
    sender = _LogSender(database, link)
    sender.sent_index = database.log.common_index(req.history)
    sender.acked_index = sender.sent_index
    start = ReplicateStart(term=role.term, common_index=sender.sent_index)
    link.post(encode_cbor([start]))
    LOG.info(
        'follower connected',
        extra={'peer': req.peer, 'common_index': sender.sent_index},
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_records, sender, nursery.cancel_scope)
        try:
            await _read_acks(sender)
        except ProtocolError as exc:
            LOG.info(
                'follower disconnected',
                extra={'peer': req.peer, 'detail': str(exc)},
            )
        nursery.cancel_scope.cancel()


async def _send_records(sender: _LogSender, scope: trio.CancelScope) -> None:
    heartbeat_s = HEARTBEAT_INTERVAL_MS / MS_PER_SECOND
    due_s = trio.current_time() + heartbeat_s
    while sender.is_current:
        if sender.send_batch():
            due_s = trio.current_time() + heartbeat_s
            await trio.lowlevel.checkpoint()
            continue
        await sender.db.changed.wait_for_change_until(due_s)
        if trio.current_time() >= due_s:
            heartbeat = Records(sent_through=sender.sent_index)
            sender.link.post(encode_cbor([heartbeat]))
            due_s = trio.current_time() + heartbeat_s
    scope.cancel()


async def _read_acks(sender: _LogSender) -> None:
    while True:
        for ack in _PRIMARY_CODEC.decode(await sender.link.receive()):
            if not isinstance(ack, Replicated):
                raise FrameError(f'received {ack.kind!r}: expected replicated')
            sender.acked_index = max(sender.acked_index, ack.index)
            sender.db.changed.notify()


# Follower


class Follower:
    """Replicates the log of the primary named in the role of the database.

    Parameters
    ----------
    database : Database
        Database that receives the records.
    cfg : StandinSettings
        Group and simulated delays.
    faults : FaultInjector
        Decides whether the traffic with the primary is dropped.
    tls : ssl.SSLContext, optional
        TLS context of the connection to the primary.
    """

    def __init__(
        self,
        database: Database,
        cfg: StandinSettings,
        faults: FaultInjector,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._db = database
        self._cfg = cfg
        self._faults = faults
        self._tls = tls
        self.connected = False

    async def run(self) -> None:
        """Replicate from the primary of the current role, until cancelled."""
        while True:
            version = self._db.role_changed.version
            if not self._db.role.primary:
                await self._db.role_changed.wait_for_change(version)
                continue
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._maintain_replication)
                await self._db.role_changed.wait_for_change(version)
                nursery.cancel_scope.cancel()

    async def _maintain_replication(self) -> None:
        # A seal may clear the primary in the same scheduler step in which a
        # reconnect is due, before this task is cancelled.
        while self._db.role.primary:
            if not self._faults.is_isolated_from(self._db.role.primary):
                await self._replicate_once()
            await trio.sleep(RECONNECT_DELAY_MS / MS_PER_SECOND)

    async def _replicate_once(self) -> None:
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
        silence_timeout_s = (
            SILENCE_TIMEOUT_MS + 2 * latency_ms
        ) / MS_PER_SECOND
        link.post(encode_cbor([self._build_open()]))
        parts: list[bytes] = []
        while True:
            with trio.fail_after(silence_timeout_s):
                frame = await link.receive()
            for message in _FOLLOWER_CODEC.decode(frame):
                self._handle_message(message, parts, link)

    def _log_end(self, exc: Exception) -> None:
        LOG.debug(
            'replication ended',
            extra={'primary': self._db.role.primary, 'detail': str(exc)},
        )

    def _build_open(self) -> ReplicateOpen:
        role = self._db.role
        return ReplicateOpen(
            peer=self._db.name,
            group=self._cfg.group,
            data_id=role.data_id,
            term=role.term,
            history=self._db.history(),
        )

    def _handle_message(
        self,
        message: ReplicateStart | ReplicateRefused | Records,
        parts: list[bytes],
        link: PeerLink,
    ) -> None:
        if isinstance(message, ReplicateRefused):
            raise ReplicationError(message.message)
        if isinstance(message, ReplicateStart):
            self._handle_start(message)
            return
        if not self.connected:
            raise ReplicationError(
                'received records: expected replicate_start first'
            )
        if message.data:
            parts.append(message.data)
            if message.more:
                return
            self._append_records(b''.join(parts))
            parts.clear()
        if message.sent_through != self._db.received.index:
            raise ReplicationError(
                f'primary has sent up to index {message.sent_through}: '
                f'received up to {self._db.received.index}'
            )
        link.post(encode_cbor([Replicated(index=message.sent_through)]))

    def _handle_start(self, message: ReplicateStart) -> None:
        if message.term != self._db.role.term:
            raise ReplicationError(
                f'primary started replication in term {message.term}: '
                'expected the term of the follower'
            )
        self._db.discard_after(message.common_index)
        self._db.confirmed = True
        self.connected = True
        self._db.changed.notify()

    def _append_records(self, data: bytes) -> None:
        lag_s = self._cfg.apply_lag_ms / MS_PER_SECOND
        apply_at_s = trio.current_time() + lag_s
        self._db.append_received(_split_batch(data), apply_at_s)


def _split_batch(data: bytes) -> list[bytes]:
    try:
        batch = cbor2.loads(data)
    except (ValueError, cbor2.CBORError) as exc:
        raise ReplicationError(
            f'batch of records cannot be decoded: {exc}'
        ) from exc
    if not isinstance(batch, list):
        raise ReplicationError(
            f'batch is of type {type(batch).__name__}: expected a list of '
            'records'
        )
    return batch


async def apply_when_due(database: Database, faults: FaultInjector) -> None:
    """Apply each received record after the apply lag, until cancelled."""
    while True:
        due = database.apply_schedule
        if not due or faults.state.hold_apply:
            await database.changed.wait_for_change(database.changed.version)
        elif due[0][0] > trio.current_time():
            await database.changed.wait_for_change_until(due[0][0])
        else:
            if database.apply_batch(due[0][1]):
                due.popleft()
            await trio.lowlevel.checkpoint()
