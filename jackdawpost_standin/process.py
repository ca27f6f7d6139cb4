"""Process of one simulated database: its tasks, paths and shutdown."""

from __future__ import annotations

import logging
import signal
import uuid
from collections.abc import Awaitable
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import trio

from jackdawpost.errors import ProtocolError
from jackdawpost.runtime.timers import MS_PER_SECOND
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.codec import MAX_UPSTREAM_FRAME_BYTES
from jackdawpost.wire.codec import to_plain
from jackdawpost.wire.server import Endpoints
from jackdawpost.wire.server import HttpReply
from jackdawpost.wire.server import reply_json
from jackdawpost.wire.server import serve_endpoints
from jackdawpost.wire.stream import FrameStream
from jackdawpost.wire.tls import build_client_context
from jackdawpost.wire.tls import build_server_context
from jackdawpost_standin.announcer import Announcer
from jackdawpost_standin.database import Database
from jackdawpost_standin.disk import DataFolder
from jackdawpost_standin.faults import ALL_PEERS
from jackdawpost_standin.faults import FaultInjector
from jackdawpost_standin.faults import FaultsDone
from jackdawpost_standin.faults import SetFaults
from jackdawpost_standin.faults import SilenceConnections
from jackdawpost_standin.faults import WipeDisk
from jackdawpost_standin.limits import Limit
from jackdawpost_standin.peer_link import PeerLink
from jackdawpost_standin.replication import apply_when_due
from jackdawpost_standin.replication import Follower
from jackdawpost_standin.replication import REPLICATE_PATH
from jackdawpost_standin.replication import serve_follower
from jackdawpost_standin.session import ExecutionContext
from jackdawpost_standin.settings import StandinSettings
from jackdawpost_standin.upstream_server import UpstreamServer

LOG = logging.getLogger(__name__)

UPSTREAM_PATH = '/v1/upstream'
FAULTS_PATH = '/v1/faults'
IDLE_CHECK_INTERVAL_S = 0.02
EXIT_ABORTED = 1

_FAULTS_CODEC = FrameCodec(SetFaults, SilenceConnections, WipeDisk)

LinkHandler = Callable[[PeerLink, str], Awaitable[None]]


class StandinDatabase:
    """One simulated database, run by the program or inside a test.

    Parameters
    ----------
    cfg : StandinSettings
        Settings of the database.
    port : int, optional
        Port that replaces the one in the settings; 0 selects a free port.
    """

    def __init__(self, cfg: StandinSettings, port: int | None = None) -> None:
        self.cfg = cfg
        self.port = cfg.listen.port if port is None else port
        self.faults = FaultInjector(cfg.seed)
        self.folder = DataFolder(cfg.data_dir, cfg.sync_log)
        self.database = Database(cfg.name, self.folder)
        self.slots = Limit(cfg.slots)
        self.context = ExecutionContext(
            self.database, self.slots, self.faults, cfg.service_ms
        )
        self.server = UpstreamServer(
            cfg, self.database, self.context, self.faults, uuid.uuid4().hex
        )
        tls = build_client_context(cfg.tls) if cfg.tls else None
        self.follower = Follower(self.database, cfg, self.faults, tls)
        self.announcer = Announcer(
            cfg, self.database, self.faults, lambda: self.port, tls
        )
        self.exit_code = 0
        self._scope = trio.CancelScope()

    async def run(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> int:
        """Serve until `leave` or `stop` ends it; return the exit code."""
        tls = build_server_context(self.cfg.tls) if self.cfg.tls else None
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    self.port = await nursery.start(
                        serve_endpoints,
                        self.cfg.listen.host,
                        self.port,
                        self._build_endpoints(),
                        tls,
                    )
                    nursery.start_soon(self.follower.run)
                    nursery.start_soon(
                        apply_when_due, self.database, self.faults
                    )
                    nursery.start_soon(self.announcer.run)
                    LOG.info('serving', extra={'port': self.port})
                    task_status.started(self.port)
        finally:
            self.folder.close()
        return self.exit_code

    def stop(self, exit_code: int = 0) -> None:
        """Stop without waiting for running statements."""
        self.exit_code = exit_code
        self._scope.cancel()

    async def leave(self) -> None:
        """Announce the departure, finish running statements, then stop.

        Statements that are still running after `leave_limit_ms` are aborted.
        """
        LOG.info('leaving')
        db = self.database
        db.leaving = True
        db.role_changed.notify()
        db.changed.notify()
        deadline_s = (
            trio.current_time() + self.cfg.leave_limit_ms / MS_PER_SECOND
        )
        with trio.move_on_at(deadline_s):
            await trio.sleep(self.cfg.leave_delay_ms / MS_PER_SECOND)
            self.context.refuses_new = True
            while not self._is_idle():
                await trio.sleep(IDLE_CHECK_INTERVAL_S)
        LOG.info('left', extra={'slots_in_use': self.slots.in_use})
        self.stop()

    def _is_idle(self) -> bool:
        idle_s = trio.current_time() - self.context.last_finished_s
        return (
            self.slots.in_use == 0
            and idle_s * MS_PER_SECOND >= self.cfg.leave_quiet_ms
        )

    async def watch_signals(self) -> None:
        """Leave on the first SIGTERM or SIGINT, stop on the second."""
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async with trio.open_nursery() as nursery:
                async for _ in signals:
                    if self.database.leaving:
                        self.stop(EXIT_ABORTED)
                    else:
                        nursery.start_soon(self.leave)

    # Paths

    def _build_endpoints(self) -> Endpoints:
        return Endpoints(
            handlers={
                UPSTREAM_PATH: self._build_link_handler(self.server.serve),
                REPLICATE_PATH: self._build_link_handler(
                    self._serve_replicate
                ),
                FAULTS_PATH: self._serve_faults,
            },
            pages={
                '/healthz': self._healthz,
                '/metrics': lambda: reply_json(self.read_metrics()),
                '/dump': lambda: reply_json(self.dump()),
            },
            max_frame_bytes=MAX_UPSTREAM_FRAME_BYTES,
        )

    def _build_link_handler(
        self, handler: LinkHandler
    ) -> Callable[[FrameStream, str], Awaitable[None]]:
        async def serve(stream: FrameStream, certificate: str) -> None:
            async with trio.open_nursery() as nursery:
                link = PeerLink(stream, self.faults, nursery)
                try:
                    await handler(link, certificate)
                except ProtocolError as exc:
                    LOG.debug(
                        'connection ended',
                        extra={'peer': link.peer, 'detail': str(exc)},
                    )
                nursery.cancel_scope.cancel()

        return serve

    async def _serve_replicate(self, link: PeerLink, certificate: str) -> None:
        if certificate and not certificate.startswith('upstream.'):
            LOG.warning('follower refused', extra={'peer': certificate})
            return
        await serve_follower(self.database, link, self.cfg.group, certificate)

    async def _serve_faults(
        self, stream: FrameStream, certificate: str
    ) -> None:
        try:
            while True:
                for req in _FAULTS_CODEC.decode(await stream.receive()):
                    await self._handle_fault_request(stream, req)
        except ProtocolError as exc:
            LOG.debug('faults connection ended', extra={'detail': str(exc)})

    async def _handle_fault_request(
        self,
        stream: FrameStream,
        req: SetFaults | SilenceConnections | WipeDisk,
    ) -> None:
        affected = await self.apply_fault(req)
        done = FaultsDone(
            id=req.id, state=self.faults.state, affected=affected
        )
        stream.post(encode_cbor([done]))

    async def apply_fault(
        self, req: SetFaults | SilenceConnections | WipeDisk
    ) -> int:
        """Execute a fault request.

        Returns
        -------
        int
            Number of connections silenced or closed.
        """
        if isinstance(req, SilenceConnections):
            return self.server.silence(req.peer, req.purpose, req.count)
        if isinstance(req, WipeDisk):
            self.database.wipe()
            self.server.incarnation = uuid.uuid4().hex
            return await self.server.abort_all()
        self.faults.state = req.state
        LOG.warning('faults set', extra={'faults': to_plain_faults(req)})
        self.database.changed.notify()
        return 0

    # Pages

    def _healthz(self) -> HttpReply:
        reason = ''
        if self.database.leaving:
            reason = 'leaving'
        elif self.faults.is_isolated_from(ALL_PEERS):
            reason = 'isolated'
        status = HTTPStatus.SERVICE_UNAVAILABLE if reason else HTTPStatus.OK
        return reply_json({'healthy': not reason, 'reason': reason}, status)

    def read_metrics(self) -> dict[str, Any]:
        """Return the counters and duration statistics of the database."""
        metrics = self.database.metrics.snapshot()
        metrics['counters'].update(
            slot_refusals=self.slots.refusals,
            max_slots_in_use=self.slots.max_in_use,
            slots_in_use=self.slots.in_use,
            connection_refusals=self.server.connections.refusals,
            max_connections=self.server.connections.max_in_use,
            open_connections=self.server.connections.in_use,
            apply_failures=self.database.rows.apply_failures,
            dropped_frames=self.faults.dropped_frames,
        )
        return metrics

    def dump(self) -> dict[str, Any]:
        """Return the state except rows and log records."""
        db = self.database
        return {
            'announce': to_plain(self.announcer.build_announce()),
            'incarnation': self.server.incarnation,
            'role': {
                name: getattr(db.role, name)
                for name in db.role.__dataclass_fields__
            },
            'applied': list(db.applied),
            'received': list(db.received),
            'history': [list(end) for end in db.history()],
            'confirmed': db.confirmed,
            'replication_connected': self.follower.connected,
            'request_keys': len(db.request_keys),
            'refuses_new': self.context.refuses_new,
            'faults': to_plain_faults(
                SetFaults(id=0, state=self.faults.state)
            ),
            'control': {
                name: to_plain(ack)
                for name, ack in self.announcer.acks.items()
            },
            'connections': [
                {
                    'peer': link.peer,
                    'purpose': link.purpose,
                    'silent': link.silent,
                }
                for link in self.server.links
            ],
            **self.read_metrics(),
        }


def to_plain_faults(req: SetFaults) -> dict[str, Any]:
    """Return the injected faults as a dict for JSON."""
    return {
        name: getattr(req.state, name)
        for name in req.state.__dataclass_fields__
    }
