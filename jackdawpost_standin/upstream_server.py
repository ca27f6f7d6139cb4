"""Server of the path ``/v1/upstream``.

A connection has one of three purposes: to run statements, to monitor the
log positions, or to change the replication role (admin).
"""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import Any
from typing import cast

import trio

from jackdawpost.core.messages.upstream import AdminDone
from jackdawpost.core.messages.upstream import Execute
from jackdawpost.core.messages.upstream import Executed
from jackdawpost.core.messages.upstream import Follow
from jackdawpost.core.messages.upstream import Open
from jackdawpost.core.messages.upstream import Opened
from jackdawpost.core.messages.upstream import Probe
from jackdawpost.core.messages.upstream import Probed
from jackdawpost.core.messages.upstream import Promote
from jackdawpost.core.messages.upstream import Seal
from jackdawpost.core.messages.upstream import Sealed
from jackdawpost.core.messages.upstream import TxnBegin
from jackdawpost.core.messages.upstream import TxnCommit
from jackdawpost.core.messages.upstream import TxnRollback
from jackdawpost.errors import ProtocolError
from jackdawpost.runtime.timers import MS_PER_SECOND
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import encode_json
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.codec import FrameError
from jackdawpost.wire.codec import MAX_FRAME_BYTES
from jackdawpost_standin.database import Database
from jackdawpost_standin.database import RoleError
from jackdawpost_standin.faults import FaultInjector
from jackdawpost_standin.limits import Limit
from jackdawpost_standin.peer_link import PeerLink
from jackdawpost_standin.session import ExecutionContext
from jackdawpost_standin.session import Request
from jackdawpost_standin.session import Session
from jackdawpost_standin.settings import StandinSettings

LOG = logging.getLogger(__name__)

# Minimum interval between two reports on a monitor connection.
PROGRESS_INTERVAL_S = 0.005
OPEN_TIMEOUT_S = 5.0

# Roles in the common name of a certificate that may open a connection of
# each purpose.
_ROLES = {
    'statements': ('proxy',),
    'monitor': ('proxy', 'control'),
    'admin': ('control',),
}
_OPEN_CODEC = FrameCodec(Open)
_CODECS = {
    'statements': FrameCodec(Execute, TxnBegin, TxnCommit, TxnRollback),
    'monitor': FrameCodec(Probe),
    'admin': FrameCodec(Probe, Seal, Promote, Follow),
}


class UpstreamServer:
    """Serves the connections of proxies and control processes.

    Parameters
    ----------
    cfg : StandinSettings
        Connection limit and simulated delays.
    database : Database
        Database to serve.
    context : ExecutionContext
        State that the sessions of all connections share.
    faults : FaultInjector
        Injects faults into frames and answers.
    incarnation : str
        Identity of this process, sent in `Opened`; new at each start and
        after a disk wipe.
    """

    def __init__(
        self,
        cfg: StandinSettings,
        database: Database,
        context: ExecutionContext,
        faults: FaultInjector,
        incarnation: str,
    ) -> None:
        self.connections = Limit(cfg.connections)
        self.links: set[PeerLink] = set()
        self.incarnation = incarnation
        self._cfg = cfg
        self._db = database
        self._context = context
        self._faults = faults

    async def serve(self, link: PeerLink, certificate: str) -> None:
        """Serve one connection until it ends."""
        if not self.connections.try_acquire():
            LOG.info('connection refused: limit reached')
            await link.abort()
            return
        self.links.add(link)
        try:
            await self._open_and_serve(link, certificate)
        finally:
            self.links.discard(link)
            self.connections.release()

    async def _open_and_serve(self, link: PeerLink, certificate: str) -> None:
        with trio.move_on_after(OPEN_TIMEOUT_S) as scope:
            frame = await link.receive()
        if scope.cancelled_caught:
            LOG.info('connection refused: no open frame')
            await link.abort()
            return
        req = cast(Open, _OPEN_CODEC.decode(frame)[0])
        _check_certificate(certificate, req)
        link.peer = req.peer
        link.purpose = req.purpose
        latency_ms = self._cfg.peer_latency_ms.get(
            req.peer, self._cfg.latency_ms
        )
        link.set_latency(latency_ms)
        # The open frame was received without latency, so it is added here.
        opening_ms = self._cfg.opening_ms + latency_ms
        await trio.sleep(opening_ms / MS_PER_SECOND)
        opened = Opened(
            name=self._db.name,
            data_id=self._db.role.data_id,
            incarnation=self.incarnation,
        )
        link.post(_encode([opened], frame))
        if req.purpose == 'statements':
            await self._serve_statements(link)
        elif req.purpose == 'monitor':
            await self._serve_monitor(link, frame)
        else:
            await self._serve_admin(link)

    # Statements

    async def _serve_statements(self, link: PeerLink) -> None:
        session = Session(self._context)
        try:
            while True:
                frame = await link.receive()
                await self._run_frame(link, session, frame)
        finally:
            session.close()

    async def _run_frame(
        self, link: PeerLink, session: Session, frame: bytes | str
    ) -> None:
        try:
            requests = _CODECS['statements'].decode(frame)
        except FrameError as exc:
            self._post_answers(link, [_build_malformed_answer(exc)], frame)
            raise
        start_s = trio.current_time()
        answers = session.try_run_immediately(requests)
        if answers is not None:
            self._post_answers(link, answers, frame)
        else:
            await self._run_with_slot(link, session, requests, frame)
        elapsed_ms = (trio.current_time() - start_s) * MS_PER_SECOND
        self._db.metrics.count('statements', len(requests))
        self._db.metrics.observe('frame', elapsed_ms)

    async def _run_with_slot(
        self,
        link: PeerLink,
        session: Session,
        requests: list[Request],
        frame: bytes | str,
    ) -> None:
        if not session.acquire_slot():
            self._post_answers(link, session.refuse_no_slot(requests), frame)
            return
        try:
            for req in requests:
                answer = await session.run(req)
                self._post_answers(link, [answer], frame)
        finally:
            session.end_frame()

    def _post_answers(
        self, link: PeerLink, answers: list[Executed], frame: bytes | str
    ) -> None:
        delay_ms = self._faults.next_answer_delay_ms()
        data = _encode(answers, frame)
        if len(data) <= MAX_FRAME_BYTES:
            link.post(data, delay_ms)
            return
        for answer in answers:
            link.post(_encode([answer], frame), delay_ms)

    # Monitor

    async def _serve_monitor(
        self, link: PeerLink, open_frame: bytes | str
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._push_progress, link, open_frame)
            try:
                while True:
                    frame = await link.receive()
                    for req in _CODECS['monitor'].decode(frame):
                        link.post(_encode([self._probe(req)], frame))
            except ProtocolError as exc:
                LOG.debug('monitor ended', extra={'detail': str(exc)})
            nursery.cancel_scope.cancel()

    async def _push_progress(
        self, link: PeerLink, open_frame: bytes | str
    ) -> None:
        last_sent = None
        while True:
            version = self._db.changed.version
            progress = self._db.progress()
            if progress != last_sent:
                link.post(_encode([progress], open_frame))
                last_sent = progress
                await trio.sleep(PROGRESS_INTERVAL_S)
            await self._db.changed.wait_for_change(version)

    def _probe(self, req: Probe) -> Probed:
        return Probed(
            id=req.id,
            term=self._db.role.term,
            leads=self._db.role.leads,
            received=self._db.received,
            applied=self._db.applied,
            leaving=self._db.leaving,
        )

    # Administration

    async def _serve_admin(self, link: PeerLink) -> None:
        while True:
            frame = await link.receive()
            for req in _CODECS['admin'].decode(frame):
                answer = await self._handle_admin_request(req)
                link.post(_encode([answer], frame))

    async def _handle_admin_request(self, req: Any) -> Any:
        if isinstance(req, Probe):
            return self._probe(req)
        if isinstance(req, Seal):
            return self._seal(req)
        ok, message = True, ''
        try:
            if isinstance(req, Promote):
                await self._db.promote(req.term)
            else:
                self._db.follow(req.term, req.primary, req.host, req.port)
        except RoleError as exc:
            ok, message = False, str(exc)
            LOG.info(f'{req.kind} refused', extra={'detail': message})
        return AdminDone(
            id=req.id, ok=ok, term=self._db.role.term, message=message
        )

    def _seal(self, req: Seal) -> Sealed:
        ok = True
        try:
            self._db.seal(req.term)
        except RoleError as exc:
            ok = False
            LOG.info('seal refused', extra={'detail': str(exc)})
        return Sealed(
            id=req.id,
            ok=ok,
            term=self._db.role.term,
            data_id=self._db.role.data_id,
            received=self._db.received,
            history=self._db.history(),
        )

    # Faults

    def silence(self, peer: str, purpose: str, count: int) -> int:
        """Drop all further frames of matching connections.

        Returns
        -------
        int
            Number of connections silenced.
        """
        matching = [
            link
            for link in self.links
            if peer in ('*', link.peer)
            and purpose in ('*', link.purpose)
            and not link.silent
        ]
        for link in matching[: count or None]:
            link.silent = True
        return len(matching[: count or None])

    async def abort_all(self) -> int:
        """Abort all connections and return their number."""
        links = list(self.links)
        for link in links:
            await link.abort()
        return len(links)


def _check_certificate(certificate: str, req: Open) -> None:
    if not certificate:
        return
    role, _, name = certificate.partition('.')
    if name != req.peer or role not in _ROLES[req.purpose]:
        raise FrameError(
            f'certificate {certificate!r} does not allow the peer '
            f'{req.peer!r} to open purpose {req.purpose}: expected the common '
            'name ROLE.PEER with a role allowed for the purpose'
        )


def _build_malformed_answer(exc: FrameError) -> Executed:
    return Executed(
        id=exc.request_id, status='not_run', code='malformed', message=str(exc)
    )


def _encode(messages: Sequence[Any], frame: bytes | str) -> bytes | str:
    """Encode messages in the format of `frame`: JSON text or CBOR bytes."""
    if isinstance(frame, str):
        return encode_json(list(messages))
    return encode_cbor(list(messages))
