"""Runs a reducer: turns input into events and carries out effects.

The shell holds no policy. It owns the connections, the timer service, the
metrics and the recorder of one process.
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
from jackdawpost.wire.link import LinkRefusedError
from jackdawpost.wire.link import LinkTimeoutError
from jackdawpost.wire.link import open_link
from jackdawpost.wire.link import PeerIdentityError
from jackdawpost.wire.stream import LinkClosedError
from jackdawpost.wire.tls import PeerIdentity

CALLER_LINKS = ('caller', 'session')
RECONNECT_MIN_S = 0.05
RECONNECT_MAX_S = 0.5
EXIT_ABORTED = 1
# A peer that does not read must not keep a process from ending in time.
CLOSE_ALL_S = 0.4

Reduce = Callable[[Any, Event], list[Effect]]
Record = Callable[[Event], None]
Perform = Callable[[Any], None]


class MessageStream(Protocol):
    """Connection that carries whole frames, as `FrameStream` does."""

    async def receive(self) -> bytes | str:
        """Return the next frame; raises `LinkClosedError` at the end."""

    def post(self, frame: bytes | str) -> None:
        """Send a frame without waiting."""

    async def aclose(self, reason: str = '') -> None:
        """Send what is unsent, then close."""

    async def abort(self) -> None:
        """Close at once."""


class MessageCodec(Protocol):
    """Decodes the frames of one kind of link, as `FrameCodec` does."""

    def decode(self, frame: bytes | str) -> list[Any]:
        """Return validated messages; raises `FrameError`."""


Encode = Callable[[list[Any]], bytes | str]


@dataclass(slots=True)
class OpenConnection:
    """A connection that the reducer knows by its id."""

    stream: MessageStream
    link: Link
    text: bool = False


@dataclass(slots=True)
class LinkTarget:
    """A control process to stay connected to."""

    link: Link
    peer: str
    host: str
    port: int
    path: str
    hello: Any = None
    timeout_ms: float = 1_000
    keepalive_timeout_ms: int = 0
    retry_max_s: float = RECONNECT_MAX_S


def ignore_event(event: Event) -> None:
    """Record nothing."""


class ReducerShell:
    """Carries out the effects of one reducer.

    Parameters
    ----------
    name : str
        Name of this process.
    state : object
        State of the reducer.
    reduce : callable
        ``reduce(state, event) -> list of effects``.
    codecs : mapping of str to FrameCodec
        Codec for the messages received on each kind of link.
    encoders : mapping of str to callable, optional
        Encode the messages for links that do not carry CBOR or JSON.
    tls : ssl.SSLContext, optional
        Client context for links that this process opens.
    record : callable, optional
        Called with every event before the reducer.
    performers : mapping of type to callable, optional
        Carry out effects that only one role has.
    """

    def __init__(
        self,
        name: str,
        state: Any,
        reduce: Reduce,
        codecs: Mapping[str, MessageCodec],
        *,
        encoders: Mapping[str, Encode] | None = None,
        tls: ssl.SSLContext | None = None,
        record: Record = ignore_event,
        performers: Mapping[type, Perform] | None = None,
    ) -> None:
        self.name = name
        self.state = state
        self.metrics = Metrics()
        self.exit_code = 0
        self._reduce = reduce
        self._codecs = codecs
        self._encoders = encoders or {}
        self._tls = tls
        self._record = record
        self._log = logging.getLogger('jackdawpost')
        self._timers = TimerService(self._fire_timer)
        self._conns: dict[int, OpenConnection] = {}
        self._conn_ids = itertools.count(1)
        self._nursery: trio.Nursery | None = None
        self._performers: dict[type, Perform] = {
            Send: self._send,
            Connect: self._connect,
            Close: self._close,
            SetTimer: self._set_timer,
            CancelTimer: self._cancel_timer,
            LogLine: self._write_log,
            CountMetric: self._count,
            ObserveMetric: self._observe,
            Stop: self._stop,
            **(performers or {}),
        }

    async def run(
        self,
        first_effects: list[Effect],
        *tasks: Callable[[], Any],
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> int:
        """Run until a `Stop` effect and return the exit code.

        Parameters
        ----------
        first_effects : list
            Effects of creating the state.
        *tasks : callable
            Coroutine functions to run beside, for example servers.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._timers.run)
            for task in tasks:
                nursery.start_soon(task)
            self.perform(first_effects)
            task_status.started()
        return self.exit_code

    def dispatch(self, event: Event) -> None:
        """Feed one event to the reducer and carry out its effects."""
        self._record(event)
        self.perform(self._reduce(self.state, event))

    def perform(self, effects: list[Effect]) -> None:
        """Carry out effects in order."""
        performers = self._performers
        for effect in effects:
            performers[type(effect)](effect)

    async def watch_signals(self) -> None:
        """Drain on the first SIGTERM or SIGINT, stop at once on the next."""
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
        first_frame_s: float = math.inf,
    ) -> None:
        """Serve one connection, accepted or opened, until it ends.

        Parameters
        ----------
        peer : str
            Name of the other end, empty where unknown.
        first_frame_s : float
            Seconds after which a peer that sent nothing is cut off.
        """
        conn = next(self._conn_ids)
        opened = ConnOpened(
            now_ms=read_now_ms(), conn=conn, link=link, peer=peer
        )
        handle = OpenConnection(stream, link)
        await self._serve_conn(handle, opened, first_frame_s)

    async def maintain_link(self, target: LinkTarget) -> None:
        """Stay connected to another process, reconnecting for ever."""
        delay_s = RECONNECT_MIN_S
        while True:
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
                    delay_s = RECONNECT_MIN_S
                    if target.hello is not None:
                        stream.post(encode_cbor([target.hello]))
                    await self.serve_link(target.link, stream, target.peer)
            except PeerIdentityError as exc:
                self._warn_wrong_peer(target.peer, str(exc))
            except (LinkRefusedError, LinkTimeoutError) as exc:
                self._log.debug('link failed', extra={'detail': str(exc)})
            await trio.sleep(delay_s)
            delay_s = min(target.retry_max_s, 2 * delay_s)

    async def serve_opened(
        self, link: Link, stream: MessageStream, opened: ConnOpened
    ) -> None:
        """Serve a connection that the reducer asked for, until it ends."""
        await self._serve_conn(OpenConnection(stream, link), opened)

    async def _serve_conn(
        self,
        handle: OpenConnection,
        opened: ConnOpened,
        first_frame_s: float = math.inf,
    ) -> None:
        conn = opened.conn
        self._conns[conn] = handle
        detail = ''
        reason = 'closed'
        try:
            self.dispatch(opened)
            with trio.fail_after(first_frame_s):
                frame = await handle.stream.receive()
            while True:
                self._take_frame(conn, handle, frame)
                frame = await handle.stream.receive()
        except trio.TooSlowError:
            detail = f'no message within {first_frame_s:.0f} s'
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

    def _take_frame(
        self, conn: int, handle: OpenConnection, frame: bytes | str
    ) -> None:
        handle.text = type(frame) is str
        if handle.link != 'caller':
            self.metrics.count(f'received_bytes_{handle.link}', len(frame))
        try:
            messages = self._codecs[handle.link].decode(frame)
        except FrameError as exc:
            if handle.link not in CALLER_LINKS:
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
            Received(now_ms=read_now_ms(), conn=conn, messages=messages)
        )

    async def _open_upstream(self, effect: Connect) -> None:
        codec = cast(FrameCodec, self._codecs['upstream'])
        try:
            async with open_upstream(self.name, effect, codec, self._tls) as (
                stream,
                opened,
            ):
                await self._serve_conn(
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
        handle = self._conns.get(effect.conn)
        if handle is None:
            return
        messages = effect.messages
        encode = self._encoders.get(handle.link)
        if encode is None:
            encode = encode_json if handle.text else encode_cbor
        for start in range(0, len(messages), MAX_MESSAGES_PER_FRAME):
            frame = encode(messages[start : start + MAX_MESSAGES_PER_FRAME])
            handle.stream.post(frame)
            if handle.link != 'caller':
                self.metrics.count(f'sent_bytes_{handle.link}', len(frame))

    def _connect(self, effect: Connect) -> None:
        self.spawn(self._open_upstream, effect)

    def _close(self, effect: Close) -> None:
        handle = self._conns.get(effect.conn)
        if handle is None:
            return
        if effect.abort:
            self.spawn(handle.stream.abort)
        else:
            self.spawn(handle.stream.aclose, effect.reason)

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
        """Close every connection, by force if it takes long."""
        streams = [handle.stream for handle in self._conns.values()]
        async with trio.open_nursery() as nursery:
            closed = trio.Event()
            left = len(streams)

            async def close(stream: MessageStream) -> None:
                nonlocal left
                await stream.aclose('stopping')
                left -= 1
                if not left:
                    closed.set()

            for stream in streams:
                nursery.start_soon(close, stream)
            if streams:
                with trio.move_on_after(CLOSE_ALL_S):
                    await closed.wait()
            for stream in streams:
                await stream.abort()
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()

    def _fire_timer(self, key: str) -> None:
        self.dispatch(TimerFired(now_ms=read_now_ms(), key=key))

    def spawn(self, task: Callable[..., Any], *args: Any) -> None:
        """Run a coroutine function beside, until the process stops."""
        if self._nursery is not None:
            self._nursery.start_soon(task, *args)
