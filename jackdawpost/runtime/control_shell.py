"""Runs a control process: reducer, connections, pages and storage."""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import get_args

import trio

from jackdawpost.core.control.reducer import config_from_settings
from jackdawpost.core.control.reducer import ControlConfig
from jackdawpost.core.control.reducer import dump_control
from jackdawpost.core.control.reducer import is_healthy
from jackdawpost.core.control.reducer import new_control
from jackdawpost.core.control.reducer import reduce_control
from jackdawpost.core.effects import Persist
from jackdawpost.core.events import Link
from jackdawpost.core.events import Persisted
from jackdawpost.core.events import PersistFailed
from jackdawpost.core.messages import consensus
from jackdawpost.core.messages import control
from jackdawpost.core.messages import operator
from jackdawpost.core.messages import upstream
from jackdawpost.core.messages.peer import ControlGroup
from jackdawpost.core.messages.peer import Hello
from jackdawpost.errors import StorageError
from jackdawpost.runtime.pages import build_pages
from jackdawpost.runtime.process import build_intake_limits
from jackdawpost.runtime.process import build_tls_contexts
from jackdawpost.runtime.process import run_shell
from jackdawpost.runtime.recorder import build_recorder
from jackdawpost.runtime.recorder import describe_restored
from jackdawpost.runtime.recorder import TraceHeader
from jackdawpost.runtime.shell import EffectHandler
from jackdawpost.runtime.shell import LinkTarget
from jackdawpost.runtime.shell import ReducerShell
from jackdawpost.runtime.timers import read_now_ms
from jackdawpost.settings.models import Address
from jackdawpost.settings.models import ControlSettings
from jackdawpost.settings.models import IntakeSettings
from jackdawpost.settings.models import TlsSettings
from jackdawpost.storage.durable_store import DurableStore
from jackdawpost.wire.codec import build_caching_encoder
from jackdawpost.wire.codec import encode_compressed
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.codec import FrameError
from jackdawpost.wire.server import Endpoints
from jackdawpost.wire.stream import FrameStream
from jackdawpost.wire.stream import LinkClosedError
from jackdawpost.wire.tls import peer_has_role
from jackdawpost.wire.tls import PeerIdentity

PEER_PATH = '/v1/peer'
HELLO_TIMEOUT_S = 2.0
# Upstreams and operators send a message immediately. Proxies, which report
# only to the leader, have no time limit.
FIRST_FRAME_TIMEOUT_S = 5.0

CODECS = {
    'peer': FrameCodec(
        *get_args(consensus.ConsensusMessage),
        Hello,
        ControlGroup,
        accepts_compressed=True,
    ),
    'proxy': FrameCodec(
        control.ProxyReport,
        control.ReportChange,
        control.LeaseRevoked,
        control.PermitDemand,
        control.PermitReturn,
        control.Approval,
        control.UpstreamActionAnswer,
        control.PositionAnswer,
        control.RateReport,
        accepts_compressed=True,
    ),
    'announce': FrameCodec(control.Announce, control.Approval),
    'operator': FrameCodec(*get_args(operator.OperatorRequest)),
    'upstream': FrameCodec(
        upstream.Opened, upstream.Sealed, upstream.AdminDone, upstream.Probed
    ),
}
HELLO_CODEC = FrameCodec(Hello)

# Role required in the peer's certificate on each kind of accepted link.
CERTIFICATE_ROLES = {
    'proxy': 'proxy',
    'announce': 'upstream',
    'peer': 'control',
    'operator': 'operator',
}


class DurableWriter:
    """Performs `Persist` effects in order, in a worker thread.

    Parameters
    ----------
    store : DurableStore
        Store of the data folder.
    """

    def __init__(self, store: DurableStore) -> None:
        self._store = store
        self._send, self._receive = trio.open_memory_channel[Persist](1 << 16)
        self.shell: ReducerShell | None = None

    def enqueue(self, effect: Persist) -> None:
        """Queue a write after all earlier ones."""
        self._send.send_nowait(effect)

    async def run(self) -> None:
        """Perform the queued writes until cancelled."""
        async for effect in self._receive:
            error = await trio.to_thread.run_sync(self._write, effect)
            if self.shell is not None:
                self.shell.dispatch(_build_write_event(effect.token, error))

    def _write(self, effect: Persist) -> str | None:
        try:
            self._store.write(effect)
        except (StorageError, OSError) as exc:
            return str(exc)
        return None


def _build_write_event(
    token: int, error: str | None
) -> Persisted | PersistFailed:
    now_ms = read_now_ms()
    if error is None:
        return Persisted(now_ms=now_ms, token=token)
    return PersistFailed(now_ms=now_ms, token=token, detail=error)


@dataclass(slots=True, kw_only=True)
class ControlSpec:
    """Configuration and deployment-specific parts of a control process.

    Parameters
    ----------
    header_settings : dict
        Settings recorded in the header of a trace.
    is_known_peer : callable
        Receives the name that a process sent in `Hello` and the common name
        of its certificate (empty without TLS). Returns whether to accept the
        process as a peer.
    link_targets : list of LinkTarget
        Control processes to stay connected to.
    effect_handlers : dict
        Functions that perform effects used only in some deployments, by
        effect type.
    keepalive_timeout_ms : int
        TCP keepalive timeout of accepted connections, in milliseconds; 0
        disables TCP keepalive.
    intake : IntakeSettings
        Limits on what clients make the process hold.
    """

    cfg: ControlConfig
    name: str
    listen: Address
    data_dir: str
    seed: int
    header_settings: dict[str, Any]
    is_known_peer: Callable[[str, str], bool]
    tls: TlsSettings | None = None
    link_targets: list[LinkTarget] = field(default_factory=list)
    effect_handlers: dict[type, EffectHandler] = field(default_factory=dict)
    keepalive_timeout_ms: int = 0
    intake: IntakeSettings = field(default_factory=IntakeSettings)


async def run_control(
    settings: ControlSettings, record_path: str | None = None
) -> int:
    """Run a control process until it is stopped.

    Parameters
    ----------
    settings : ControlSettings
        Validated settings.
    record_path : str, optional
        File to which a trace of all events is written.

    Returns
    -------
    int
        Exit code.

    Raises
    ------
    StorageError
        The data folder is in use, corrupt or cannot be read.
    """
    peer_names = {item.name for item in settings.peers}

    def is_known_peer(name: str, peer: str) -> bool:
        if name not in peer_names:
            return False
        return settings.tls is None or peer_has_role(peer, 'control', name)

    spec = ControlSpec(
        cfg=config_from_settings(settings),
        name=settings.name,
        listen=settings.listen,
        data_dir=settings.data_dir,
        seed=settings.seed,
        header_settings=settings.model_dump(mode='json'),
        is_known_peer=is_known_peer,
        tls=settings.tls,
        link_targets=_build_link_targets(settings),
        intake=settings,
    )
    return await run_control_process(spec, record_path)


async def run_control_process(
    spec: ControlSpec,
    record_path: str | None = None,
    *task_factories: Callable[[ReducerShell], Callable[[], Any] | None],
) -> int:
    """Run a control process from its specification until it is stopped.

    Parameters
    ----------
    spec : ControlSpec
        Configuration and parts of the process.
    *task_factories : callable
        Called with the shell before it runs. Each may return a coroutine
        function to run concurrently.
    """
    log = logging.getLogger('jackdawpost')
    server_tls, client_tls = build_tls_contexts(spec.tls, log)
    store = DurableStore.open(spec.data_dir)
    writer = DurableWriter(store)
    header = TraceHeader(
        role='control',
        settings=spec.header_settings,
        now_ms=read_now_ms(),
        restored=describe_restored(store.restored),
    )
    state, effects = new_control(
        spec.cfg, random.Random(spec.seed), store.restored, header.now_ms
    )
    shell = ReducerShell(
        spec.name,
        state,
        reduce_control,
        CODECS,
        encoders={
            'peer': encode_compressed,
            'proxy': build_caching_encoder(
                encode_compressed, control.StateUpdate
            ),
        },
        tls=client_tls,
        record_event=build_recorder(record_path, header),
        effect_handlers={Persist: writer.enqueue, **spec.effect_handlers},
        intake_limits=build_intake_limits(spec.intake),
    )
    writer.shell = shell
    endpoints = Endpoints(
        _build_handlers(shell, spec, log),
        build_pages(shell, is_healthy, dump_control),
        keepalive_timeout_ms=spec.keepalive_timeout_ms,
        guard=shell.guard,
    )
    tasks = [
        task
        for build_task in task_factories
        if (task := build_task(shell)) is not None
    ]
    log.info('control starts', extra={'port': spec.listen.port})
    return await run_shell(
        shell,
        effects,
        spec.listen,
        endpoints,
        server_tls,
        spec.link_targets,
        writer.run,
        *tasks,
    )


def _build_handlers(
    shell: ReducerShell, spec: ControlSpec, log: logging.Logger
) -> dict[str, Callable[[FrameStream, str], Awaitable[None]]]:
    def build_handler(
        link: Link,
    ) -> Callable[[FrameStream, str], Awaitable[None]]:
        async def serve(stream: FrameStream, peer: str) -> None:
            expected = PeerIdentity(CERTIFICATE_ROLES[link])
            name = peer.partition('.')[2]
            if spec.tls is not None and not expected.matches(peer):
                log.warning(
                    'peer_refused',
                    extra={'peer': peer, 'valid': str(expected)},
                )
                return
            timeout_s = math.inf if link == 'proxy' else FIRST_FRAME_TIMEOUT_S
            await shell.serve_link(link, stream, name, timeout_s)

        return serve

    async def serve_peer(stream: FrameStream, peer: str) -> None:
        name = await _read_hello(stream)
        if not spec.is_known_peer(name, peer):
            log.warning('peer_refused', extra={'peer': peer, 'stated': name})
            return
        await shell.serve_link('peer', stream, name)

    return {
        '/v1/proxy': build_handler('proxy'),
        '/v1/announce': build_handler('announce'),
        '/v1/operator': build_handler('operator'),
        PEER_PATH: serve_peer,
    }


async def _read_hello(stream: FrameStream) -> str:
    try:
        with trio.fail_after(HELLO_TIMEOUT_S):
            message: Any = HELLO_CODEC.decode(await stream.receive())[0]
    except (FrameError, LinkClosedError, trio.TooSlowError):
        return ''
    return str(message.name)


def _build_link_targets(settings: ControlSettings) -> list[LinkTarget]:
    # Each pair of processes has one link for both directions. The process
    # whose name sorts first opens it.
    return [
        LinkTarget(
            'peer',
            peer.name,
            peer.host,
            peer.port,
            PEER_PATH,
            hello=Hello(name=settings.name),
        )
        for peer in settings.peers
        if settings.name < peer.name
    ]


def start_control(settings: ControlSettings, record_path: str | None) -> int:
    """Run a control process in a new trio event loop; return its exit code."""
    return trio.run(run_control, settings, record_path)
