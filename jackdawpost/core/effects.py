"""Effects that the reducers return and the runtime carries out."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Literal


@dataclass(slots=True, kw_only=True)
class Send:
    """Send messages on a connection as one frame, in order.

    Sending on a connection that has closed is harmless.
    """

    conn: int
    messages: list[Any]
    kind: Literal['send'] = 'send'


@dataclass(slots=True, kw_only=True)
class Connect:
    """Open a connection; `ConnOpened` or `ConnClosed` follows.

    Parameters
    ----------
    conn : int
        Id chosen by the reducer, negative, never reused. Accepted
        connections have positive ids.
    link : {'upstream'}
        Kind of the other end.
    timeout_ms : int
        Longest time for opening, in milliseconds.
    group : str
        Group that the upstream must belong to, where the protocol says it.
    """

    conn: int
    peer: str
    host: str
    port: int
    purpose: str
    timeout_ms: int
    group: str = ''
    link: Literal['upstream'] = 'upstream'
    kind: Literal['connect'] = 'connect'


@dataclass(slots=True, kw_only=True)
class Close:
    """Close a connection after what was sent on it.

    Parameters
    ----------
    abort : bool
        Close at once, without the closing handshake.
    """

    conn: int
    reason: str = ''
    abort: bool = False
    kind: Literal['close'] = 'close'


@dataclass(slots=True, kw_only=True)
class SetTimer:
    """Fire `TimerFired` with `key` at `due_ms`; replaces the same key."""

    key: str
    due_ms: float
    kind: Literal['set_timer'] = 'set_timer'


@dataclass(slots=True, kw_only=True)
class CancelTimer:
    """Forget the timer with `key`."""

    key: str
    kind: Literal['cancel_timer'] = 'cancel_timer'


@dataclass(slots=True, kw_only=True)
class Persist:
    """Write and sync; `Persisted` or `PersistFailed` follows.

    Parameters
    ----------
    token : int
        Rising number of the write.
    hard_state : bytes, optional
        New consensus hard state (term, vote, snapshot point), encoded.
    truncate_from : int, optional
        First log index to discard before appending.
    entries : list of bytes
        Encoded log entries to append.
    snapshot : bytes, optional
        New snapshot; the log up to its point may be dropped once synced.
    """

    token: int
    hard_state: bytes | None = None
    truncate_from: int | None = None
    entries: list[bytes] = field(default_factory=list)
    snapshot: bytes | None = None
    kind: Literal['persist'] = 'persist'


@dataclass(slots=True, kw_only=True)
class LogLine:
    """Write one structured log line."""

    level: Literal['debug', 'info', 'warning', 'error']
    event: str
    fields: dict[str, Any] = field(default_factory=dict)
    kind: Literal['log_line'] = 'log_line'


@dataclass(slots=True, kw_only=True)
class CountMetric:
    """Add to a counter."""

    name: str
    by: int = 1
    kind: Literal['count_metric'] = 'count_metric'


@dataclass(slots=True, kw_only=True)
class ObserveMetric:
    """Record a duration in milliseconds in a histogram."""

    name: str
    value_ms: float
    kind: Literal['observe_metric'] = 'observe_metric'


@dataclass(slots=True, kw_only=True)
class SetPeers:
    """Stay connected to these control processes, and to no others.

    Parameters
    ----------
    peers : list of str
        IP addresses.
    """

    peers: list[str]
    kind: Literal['follow_peers'] = 'follow_peers'


@dataclass(slots=True, kw_only=True)
class OrderPromotion:
    """Have an upstream promoted from outside; `PromotionEnded` follows.

    Parameters
    ----------
    holder : str
        Name of this process, which holds the duty.
    token : int
        Fencing token of the order.
    """

    group: str
    upstream: str
    holder: str
    token: int
    kind: Literal['order_promotion'] = 'order_promotion'


@dataclass(slots=True, kw_only=True)
class Reply:
    """Answer an HTTP request that came as `RequestReceived`.

    Parameters
    ----------
    request_id : int
        Number of the request.
    outcome : str
        ``'done'``; ``'invalid'``; ``'moved'``: ask `leader`;
        ``'unavailable'``: nobody can answer now.
    faults : list of str
        Why the request is invalid.
    document : bytes
        Document that was asked for.
    leader : str
        IP address of the control process to ask.
    """

    request_id: int
    outcome: Literal['done', 'invalid', 'moved', 'unavailable']
    faults: list[str] = field(default_factory=list)
    document: bytes = b''
    leader: str = ''
    kind: Literal['reply'] = 'reply'


@dataclass(slots=True, kw_only=True)
class Stop:
    """End the process; everything owed has been sent."""

    exit_code: int = 0
    kind: Literal['stop'] = 'stop'


Effect = (
    Send
    | Connect
    | Close
    | SetTimer
    | CancelTimer
    | Persist
    | LogLine
    | CountMetric
    | ObserveMetric
    | SetPeers
    | OrderPromotion
    | Reply
    | Stop
)
