"""Runs the reducer of a process: feeds it events and performs its effects.

A reducer is a function without I/O that applies an event to the state of the
process and returns effects. The shell owns the connections, timers, metrics
and trace recorder of the process. It makes no decisions itself.
"""

from __future__ import annotations

import itertools
import logging
import math
import signal
import ssl
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from typing import cast
from typing import Protocol

import trio

from jackdawpost.core.effects import CancelTimer
from jackdawpost.core.effects import Close
from jackdawpost.core.effects import Connect
from jackdawpost.core.effects import CountMetric
from jackdawpost.core.effects import Effect
from jackdawpost.core.effects import Hold
from jackdawpost.core.effects import LogLine
from jackdawpost.core.effects import ObserveMetric
from jackdawpost.core.effects import Send
from jackdawpost.core.effects import SetTimer
from jackdawpost.core.effects import Stop
from jackdawpost.core.events import ConnClosed
from jackdawpost.core.events import ConnOpened
from jackdawpost.core.events import DrainRequested
from jackdawpost.core.events import Event
from jackdawpost.core.events import FrameRejected
from jackdawpost.core.events import Link
from jackdawpost.core.events import Received
from jackdawpost.core.events import TimerFired
from jackdawpost.core.intake import IntakeLimits
from jackdawpost.errors import EncodingError
from jackdawpost.runtime.metrics import Metrics
from jackdawpost.runtime.timers import read_now_ms
from jackdawpost.runtime.timers import TimerService
from jackdawpost.runtime.upstream_link import describe_failure
from jackdawpost.runtime.upstream_link import OPEN_ERRORS
from jackdawpost.runtime.upstream_link import open_upstream
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import encode_json
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.codec import FrameError
from jackdawpost.wire.codec import MAX_MESSAGES_PER_FRAME
from jackdawpost.wire.intake_guard import GuardedConnection
from jackdawpost.wire.intake_guard import IntakeGuard
from jackdawpost.wire.link import LinkRefusedError
from jackdawpost.wire.link import LinkTimeoutError
from jackdawpost.wire.link import open_link
from jackdawpost.wire.link import PeerIdentityError
from jackdawpost.wire.stream import LinkClosedError
from jackdawpost.wire.tls import PeerIdentity

# Links on which a malformed frame is reported to the reducer. On all others it
# closes the connection.
CALLER_LINKS = ('caller', 'session')
MIN_RECONNECT_DELAY_S = 0.05
MAX_RECONNECT_DELAY_S = 0.5
# Attempts at the shortest delay. A process that is being restarted refuses
# connections for about a second, and a doubled delay would add to that.
FAST_RECONNECTS = 20
EXIT_ABORTED = 1
# Limits the time to exit if a peer does not read.
CLOSE_ALL_TIMEOUT_S = 0.4

Reducer = Callable[[Any, Event], list[Effect]]
EventRecorder = Callable[[Event], None]
EffectHandler = Callable[[Any], None]


class MessageStream(Protocol):
    """Interface of a connection that carries frames, such as `FrameStream`.

    Parameters
    ----------
    guarded : GuardedConnection, optional
        Registration with the intake limits; None on links to control
        processes and upstreams.
    """

    guarded: GuardedConnection | None

    async def receive(self) -> bytes | str:
        """Return the next frame; raise `LinkClosedError` after the last."""

    def post(self, *frames: bytes | str) -> None:
        """Send frames without blocking, with one system call if possible."""

    async def aclose(self, reason: str = '') -> None:
        """Send the remaining output, then close."""

    async def abort(self) -> None:
        """Close immediately and drop unsent output."""


class MessageCodec(Protocol):
    """Interface of a decoder of received frames, such as `FrameCodec`."""

    def decode(self, frame: bytes | str) -> list[Any]:
        """Return the validated messages; raise `FrameError` if invalid."""


EncodeFrame = Callable[[list[Any]], bytes | str]


@dataclass(slots=True)
class OpenConnection:
    """Open connection, which the reducer refers to by an integer id.

    Parameters
    ----------
    answer_as_text : bool
        True if the latest received frame was a text frame. Messages are then
        sent as JSON, otherwise as CBOR, unless the link has its own encoder.
    """

    stream: MessageStream
    link: Link
    answer_as_text: bool = False


@dataclass(slots=True)
class LinkTarget:
    """Control process to stay connected to.

    Parameters
    ----------
    link : str
        Kind of the link, as in `ConnOpened`.
    peer : str
        Name of the control process. With TLS, its certificate must have this
        name.
    hello : object, optional
        First message to send on each connection.
    timeout_ms : float
        Time limit for establishing the connection, in milliseconds.
    keepalive_timeout_ms : int
        TCP keepalive timeout in milliseconds; 0 disables TCP keepalive.
    max_reconnect_delay_s : float
        Upper bound of the delay between connection attempts, in seconds.
    """

    link: Link
    peer: str
    host: str
    port: int
    path: str
    hello: Any = None
    timeout_ms: float = 1_000
    keepalive_timeout_ms: int = 0
    max_reconnect_delay_s: float = MAX_RECONNECT_DELAY_S


def ignore_event(event: Event) -> None:
    """Do nothing; the event recorder of processes without a trace."""


class ReducerShell:
    """Dispatches events to a reducer and performs the returned effects.

    Parameters
    ----------
    name : str
        Name of this process.
    state : object
        State of the reducer, which changes it in place.
    reduce : callable
        ``reduce(state, event) -> list of effects``.
    codecs : mapping of str to MessageCodec
        Decoder of received messages by kind of link.
    encoders : mapping of str to callable, optional
        Encoder of sent messages by kind of link, for links that use neither
        CBOR nor JSON.
    tls : ssl.SSLContext, optional
        Client context for connections that this process opens.
    record_event : callable, optional
        Called with each event before the reducer processes it.
    effect_handlers : mapping of type to callable, optional
        Functions that perform effects of additional types, or replace the
        default function for a type.
    intake_limits : IntakeLimits, optional
        Limits on what clients make this process hold; the defaults without
        it.

    Attributes
    ----------
    guard : IntakeGuard
        Applies the limits, to the servers of this process too.
    """

    def __init__(
        self,
        name: str,
        state: Any,
        reduce: Reducer,
        codecs: Mapping[str, MessageCodec],
        *,
        encoders: Mapping[str, EncodeFrame] | None = None,
        tls: ssl.SSLContext | None = None,
        record_event: EventRecorder = ignore_event,
        effect_handlers: Mapping[type, EffectHandler] | None = None,
        intake_limits: IntakeLimits | None = None,
    ) -> None:
        self.name = name
        self.state = state
        self.metrics = Metrics()
        self.guard = IntakeGuard(intake_limits, self.metrics.count)
        self.exit_code = 0
        self._reduce = reduce
        self._codecs = codecs
        self._encoders = encoders or {}
        self._tls = tls
        self._record_event = record_event
        self._log = logging.getLogger('jackdawpost')
        self._timers = TimerService(self._fire_timer)
        self._conns: dict[int, OpenConnection] = {}
        self._unsent_frames: dict[int, list[bytes | str]] = {}
        self._conn_ids = itertools.count(1)
        self._nursery: trio.Nursery | None = None
        self._effect_handlers: dict[type, EffectHandler] = {
            Send: self._send,
            Connect: self._connect,
            Close: self._close,
            Hold: self._hold,
            SetTimer: self._set_timer,
            CancelTimer: self._cancel_timer,
            LogLine: self._write_log,
            CountMetric: self._count,
            ObserveMetric: self._observe,
            Stop: self._stop,
            **(effect_handlers or {}),
        }

    async def run(
        self,
        initial_effects: list[Effect],
        *tasks: Callable[[], Any],
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> int:
        """Run until a `Stop` effect; return the exit code.

        Parameters
        ----------
        initial_effects : list
            Effects returned with the initial state.
        *tasks : callable
            Coroutine functions to run concurrently, for example servers.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._timers.run)
            nursery.start_soon(self.guard.run)
            for task in tasks:
                nursery.start_soon(task)
            self.perform_effects(initial_effects)
            task_status.started()
        return self.exit_code

    def dispatch(self, event: Event) -> None:
        """Pass an event to the reducer and perform the returned effects."""
        self._record_event(event)
        self.perform_effects(self._reduce(self.state, event))

    def perform_effects(self, effects: list[Effect]) -> None:
        """Perform effects in order; send all frames of a connection at once.

        A connection that is closed by one of the effects is closed after
        this, by another task.
        """
        effect_handlers = self._effect_handlers
        for effect in effects:
            effect_handlers[type(effect)](effect)
        if self._unsent_frames:
            unsent_frames, self._unsent_frames = self._unsent_frames, {}
            for conn, frames in unsent_frames.items():
                self._conns[conn].stream.post(*frames)

    async def watch_signals(self) -> None:
        """Drain on the first SIGTERM or SIGINT; stop on the second."""
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            draining = False
            async for _ in signals:
                if draining:
                    self._stop(Stop(exit_code=EXIT_ABORTED))
                    return
                draining = True
                self.dispatch(DrainRequested(now_ms=read_now_ms()))

    async def serve_link(
        self,
        link: Link,
        stream: MessageStream,
        peer: str,
        first_frame_timeout_s: float = math.inf,
    ) -> None:
        """Assign an id to a connection and serve it until it is closed.

        Used for accepted connections and for links to control processes.

        Parameters
        ----------
        peer : str
            Name of the other end; empty if it is not known.
        first_frame_timeout_s : float
            Time limit for the first frame, in seconds. The connection is
            closed after it.
        """
        conn = next(self._conn_ids)
        opened = ConnOpened(
            now_ms=read_now_ms(), conn=conn, link=link, peer=peer
        )
        connection = OpenConnection(stream, link)
        await self._run_connection(connection, opened, first_frame_timeout_s)

    async def maintain_link(self, target: LinkTarget) -> None:
        """Connect to a control process; reconnect until cancelled."""
        attempts = 0
        delay_s = MIN_RECONNECT_DELAY_S
        while True:
            attempts += 1
            try:
                async with open_link(
                    target.host,
                    target.port,
                    target.path,
                    tls=self._tls,
                    expected=PeerIdentity('control', target.peer),
                    timeout_ms=target.timeout_ms,
                    keepalive_timeout_ms=target.keepalive_timeout_ms,
                ) as stream:
                    attempts = 0
                    delay_s = MIN_RECONNECT_DELAY_S
                    if target.hello is not None:
                        stream.post(encode_cbor([target.hello]))
                    await self.serve_link(target.link, stream, target.peer)
            except PeerIdentityError as exc:
                self._warn_wrong_peer(target.peer, str(exc))
            except (LinkRefusedError, LinkTimeoutError) as exc:
                self._log.debug('link failed', extra={'detail': str(exc)})
            await trio.sleep(delay_s)
            if attempts >= FAST_RECONNECTS:
                delay_s = min(target.max_reconnect_delay_s, 2 * delay_s)

    async def serve_connection(
        self, link: Link, stream: MessageStream, opened: ConnOpened
    ) -> None:
        """Serve a connection opened for a `Connect` effect until closed."""
        await self._run_connection(OpenConnection(stream, link), opened)

    async def _run_connection(
        self,
        connection: OpenConnection,
        opened: ConnOpened,
        first_frame_timeout_s: float = math.inf,
    ) -> None:
        conn = opened.conn
        self._conns[conn] = connection
        detail = ''
        reason = 'closed'
        try:
            self.dispatch(opened)
            with trio.fail_after(first_frame_timeout_s):
                frame = await connection.stream.receive()
            while True:
                self._handle_frame(conn, connection, frame)
                frame = await connection.stream.receive()
        except trio.TooSlowError:
            detail = f'no message within {first_frame_timeout_s:.0f} s'
        except LinkClosedError as exc:
            detail = str(exc)
        except FrameError as exc:
            detail = str(exc)
            reason = 'malformed'
        finally:
            self._conns.pop(conn, None)
            self.dispatch(
                ConnClosed(
                    now_ms=read_now_ms(),
                    conn=conn,
                    reason=reason,  # type: ignore[arg-type]
                    detail=detail,
                )
            )

    def _handle_frame(
        self, conn: int, connection: OpenConnection, frame: bytes | str
    ) -> None:
        connection.answer_as_text = type(frame) is str
        if connection.link != 'caller':
            self.metrics.count(f'received_bytes_{connection.link}', len(frame))
        try:
            messages = self._codecs[connection.link].decode(frame)
        except FrameError as exc:
            if connection.link not in CALLER_LINKS:
                raise
            self.dispatch(
                FrameRejected(
                    now_ms=read_now_ms(),
                    conn=conn,
                    request_id=exc.request_id,
                    detail=str(exc),
                )
            )
            return
        self.dispatch(
            Received(
                now_ms=read_now_ms(),
                conn=conn,
                messages=messages,
                size_bytes=len(frame),
            )
        )

    async def _open_upstream(self, effect: Connect) -> None:
        codec = cast(FrameCodec, self._codecs['upstream'])
        try:
            async with open_upstream(self.name, effect, codec, self._tls) as (
                stream,
                opened,
            ):
                await self._run_connection(
                    OpenConnection(stream, 'upstream'),
                    ConnOpened(
                        now_ms=read_now_ms(),
                        conn=effect.conn,
                        link='upstream',
                        peer=opened.name,
                        purpose=effect.purpose,
                        data_id=opened.data_id,
                    ),
                )
                return
        except OPEN_ERRORS as exc:
            reason, detail = describe_failure(exc)
            if isinstance(exc, PeerIdentityError):
                self._warn_wrong_peer(effect.peer, detail)
        self.dispatch(
            ConnClosed(
                now_ms=read_now_ms(),
                conn=effect.conn,
                reason=reason,
                detail=detail,
            )
        )

    def _warn_wrong_peer(self, expected: str, detail: str) -> None:
        self._log.warning(
            'wrong_peer', extra={'expected': expected, 'detail': detail}
        )

    def _send(self, effect: Send) -> None:
        connection = self._conns.get(effect.conn)
        if connection is None:
            return
        messages = effect.messages
        encode = self._encoders.get(connection.link)
        if encode is None:
            encode = encode_json if connection.answer_as_text else encode_cbor
        frames = self._unsent_frames.setdefault(effect.conn, [])
        for start in range(0, len(messages), MAX_MESSAGES_PER_FRAME):
            try:
                frame = encode(
                    messages[start : start + MAX_MESSAGES_PER_FRAME]
                )
            except EncodingError as exc:
                self._drop_connection(effect.conn, connection, str(exc))
                return
            frames.append(frame)
            if connection.link != 'caller':
                self.metrics.count(f'sent_bytes_{connection.link}', len(frame))

    def _drop_connection(
        self, conn: int, connection: OpenConnection, detail: str
    ) -> None:
        """Close a connection on which a message cannot be sent.

        The other end must not receive the messages after it without it.
        """
        del self._conns[conn]
        self._unsent_frames.pop(conn, None)
        self.metrics.count('messages_unencodable')
        self._log.warning(
            'message_unencodable',
            extra={'conn': conn, 'link': connection.link, 'detail': detail},
        )
        self.spawn(connection.stream.abort)

    def _connect(self, effect: Connect) -> None:
        self.spawn(self._open_upstream, effect)

    def _close(self, effect: Close) -> None:
        connection = self._conns.get(effect.conn)
        if connection is None:
            return
        if effect.abort:
            self.spawn(connection.stream.abort)
        else:
            self.spawn(connection.stream.aclose, effect.reason)

    def _hold(self, effect: Hold) -> None:
        connection = self._conns.get(effect.conn)
        if connection is not None and connection.stream.guarded is not None:
            connection.stream.guarded.set_pending(effect.size_bytes)

    def _set_timer(self, effect: SetTimer) -> None:
        self._timers.set_timer(effect.key, effect.due_ms)

    def _cancel_timer(self, effect: CancelTimer) -> None:
        self._timers.cancel_timer(effect.key)

    def _write_log(self, effect: LogLine) -> None:
        level = logging.getLevelName(effect.level.upper())
        self._log.log(level, effect.event, extra=effect.fields)

    def _count(self, effect: CountMetric) -> None:
        self.metrics.count(effect.name, effect.by)

    def _observe(self, effect: ObserveMetric) -> None:
        self.metrics.observe(effect.name, effect.value_ms)

    def _stop(self, effect: Stop) -> None:
        self.exit_code = effect.exit_code
        self.spawn(self._close_all)

    async def _close_all(self) -> None:
        """Close all connections, by force after `CLOSE_ALL_TIMEOUT_S`."""
        streams = [connection.stream for connection in self._conns.values()]
        async with trio.open_nursery() as nursery:
            all_closed = trio.Event()
            remaining = len(streams)

            async def close(stream: MessageStream) -> None:
                nonlocal remaining
                await stream.aclose('stopping')
                remaining -= 1
                if not remaining:
                    all_closed.set()

            for stream in streams:
                nursery.start_soon(close, stream)
            if streams:
                with trio.move_on_after(CLOSE_ALL_TIMEOUT_S):
                    await all_closed.wait()
            for stream in streams:
                await stream.abort()
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()

    def _fire_timer(self, key: str) -> None:
        self.dispatch(TimerFired(now_ms=read_now_ms(), key=key))

    def spawn(self, task: Callable[..., Any], *args: Any) -> None:
        """Start a task, which is cancelled when the process stops."""
        if self._nursery is not None:
            self._nursery.start_soon(task, *args)
