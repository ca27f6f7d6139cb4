"""Announcements to control processes, and approvals of newcomers.

The database sends its state to each control process. Control processes request
its approval of newcomers, which are processes that are not yet members; the
settings decide which ones it approves.
"""

from __future__ import annotations

import logging
import ssl
from collections.abc import Callable

import trio

from jackdawpost.core.messages.control import Announce
from jackdawpost.core.messages.control import AnnounceAck
from jackdawpost.core.messages.control import Approval
from jackdawpost.core.messages.control import ApprovalRequest
from jackdawpost.errors import ProtocolError
from jackdawpost.runtime.timers import MS_PER_SECOND
from jackdawpost.settings.models import Peer
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.link import open_link
from jackdawpost.wire.tls import PeerIdentity
from jackdawpost_standin.database import Database
from jackdawpost_standin.faults import FaultInjector
from jackdawpost_standin.peer_link import PeerLink
from jackdawpost_standin.settings import StandinSettings

LOG = logging.getLogger(__name__)

ANNOUNCE_PATH = '/v1/announce'
RECONNECT_DELAY_MS = 100
OPEN_TIMEOUT_MS = 1_000

_CODEC = FrameCodec(AnnounceAck, ApprovalRequest)


class Announcer:
    """Maintains one connection to each control process for announcements.

    Parameters
    ----------
    cfg : StandinSettings
        Control processes, announced limits and newcomers to approve.
    database : Database
        Database to announce.
    faults : FaultInjector
        Decides whether the traffic with a control process is dropped.
    read_port : callable
        Returns the port on which the database listens.
    tls : ssl.SSLContext, optional
        TLS context of the connections to control processes.
    """

    def __init__(
        self,
        cfg: StandinSettings,
        database: Database,
        faults: FaultInjector,
        read_port: Callable[[], int],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.acks: dict[str, AnnounceAck] = {}
        self._cfg = cfg
        self._db = database
        self._faults = faults
        self._read_port = read_port
        self._tls = tls

    async def run(self) -> None:
        """Send announcements to all control processes until cancelled."""
        async with trio.open_nursery() as nursery:
            for peer in self._cfg.control:
                nursery.start_soon(self._announce_to, peer)

    def build_announce(self) -> Announce:
        """Return an announcement of the current state of the database."""
        role = self._db.role
        return Announce(
            name=self._cfg.name,
            group=self._cfg.group,
            data_id=role.data_id,
            host=self._cfg.listen.host,
            port=self._read_port(),
            data_centre=self._cfg.data_centre,
            slots=self._cfg.slots,
            connections=self._cfg.connections,
            term=role.term,
            leads=role.leads,
            received=self._db.received,
            leaving=self._db.leaving,
        )

    async def _announce_to(self, peer: Peer) -> None:
        while True:
            if not self._faults.is_isolated_from(peer.name):
                await self._announce_until_closed(peer)
            await trio.sleep(RECONNECT_DELAY_MS / MS_PER_SECOND)

    async def _announce_until_closed(self, peer: Peer) -> None:
        latency_ms = self._cfg.peer_latency_ms.get(
            peer.name, self._cfg.latency_ms
        )
        try:
            async with open_link(
                peer.host,
                peer.port,
                ANNOUNCE_PATH,
                tls=self._tls,
                expected=PeerIdentity('control', peer.name),
                timeout_ms=OPEN_TIMEOUT_MS,
            ) as stream:
                async with trio.open_nursery() as nursery:
                    link = PeerLink(
                        stream, self._faults, nursery, peer.name, latency_ms
                    )
                    nursery.start_soon(self._send_announces, link)
                    await self._receive(link)
                    nursery.cancel_scope.cancel()
        except ProtocolError as exc:
            LOG.debug(
                'announce failed',
                extra={'control': peer.name, 'detail': str(exc)},
            )

    async def _send_announces(self, link: PeerLink) -> None:
        interval_s = self._cfg.announce_interval_ms / MS_PER_SECOND
        while True:
            version = self._db.role_changed.version
            link.post(encode_cbor([self.build_announce()]))
            with trio.move_on_after(interval_s):
                await self._db.role_changed.wait_for_change(version)

    async def _receive(self, link: PeerLink) -> None:
        try:
            while True:
                for message in _CODEC.decode(await link.receive()):
                    if isinstance(message, AnnounceAck):
                        self.acks[link.peer] = message
                    else:
                        self._handle_approval_request(link, message)
        except ProtocolError as exc:
            LOG.debug(
                'announce connection ended',
                extra={'control': link.peer, 'detail': str(exc)},
            )

    def _handle_approval_request(
        self, link: PeerLink, req: ApprovalRequest
    ) -> None:
        if not self._is_approved(req.newcomer):
            LOG.info('not approved', extra={'newcomer': req.newcomer})
            return
        approval = Approval(
            member=self._cfg.name,
            member_id=self._db.role.data_id,
            newcomer=req.newcomer,
            newcomer_id=req.newcomer_id,
            checked=f'settings approve {req.role} {req.newcomer}',
        )
        link.post(encode_cbor([approval]))

    def _is_approved(self, newcomer: str) -> bool:
        approve = self._cfg.approve
        return approve if isinstance(approve, bool) else newcomer in approve
