"""Effects that the reducers return and the runtime executes.

A reducer performs no input or output itself: it changes its state in response
to an event and returns the effects of the event as these data classes.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Literal


@dataclass(slots=True, kw_only=True)
class Send:
    """Send messages on a connection in one frame, in order.

    The effect is ignored if the connection has closed.
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
        Connection id chosen by the reducer; negative and never reused.
        Accepted connections have positive ids.
    peer : str
        Name of the remote end.
    purpose : str
        Purpose of the connection, as in `ConnOpened`.
    timeout_ms : int
        Maximum time to open the connection, in milliseconds.
    group : str
        Group that the upstream must belong to, if the protocol transmits it.
    link : {'upstream'}
        Kind of the remote end.
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
    """Close a connection after sending the queued data.

    Parameters
    ----------
    abort : bool
        Close immediately, without the closing handshake.
    """

    conn: int
    reason: str = ''
    abort: bool = False
    kind: Literal['close'] = 'close'


@dataclass(slots=True, kw_only=True)
class Hold:
    """Tell how much the state holds for a connection of a caller.

    Parameters
    ----------
    size_bytes : int
        Size of its requests in progress and of its session's values, in
        bytes.
    """

    conn: int
    size_bytes: int
    kind: Literal['hold'] = 'hold'


@dataclass(slots=True, kw_only=True)
class SetTimer:
    """Set or reset the timer `key` to fire `TimerFired` at `due_ms`."""

    key: str
    due_ms: float
    kind: Literal['set_timer'] = 'set_timer'


@dataclass(slots=True, kw_only=True)
class CancelTimer:
    """Cancel the timer `key`."""

    key: str
    kind: Literal['cancel_timer'] = 'cancel_timer'


@dataclass(slots=True, kw_only=True)
class Persist:
    """Write consensus state to disk; `Persisted` or `PersistFailed` follows.

    Parameters
    ----------
    token : int
        Number of the write, increasing.
    hard_state : bytes, optional
        Encoded new hard state of consensus (term, vote, right to vote).
    truncate_from : int, optional
        First log index to discard before appending.
    entries : list of bytes
        Encoded log entries to append.
    snapshot : bytes, optional
        Encoded new snapshot. Log entries that it covers may be deleted once
        it is synced.
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
    """Maintain connections to these control processes and to no others.

    Parameters
    ----------
    peers : list of str
        IP addresses.
    """

    peers: list[str]
    kind: Literal['follow_peers'] = 'follow_peers'


@dataclass(slots=True, kw_only=True)
class OrderPromotion:
    """Order a promotion from the deployment's platform.

    `PromotionEnded` follows.

    Parameters
    ----------
    holder : str
        Name of this process, which holds the right to order promotions.
    token : int
        Fencing token of the promotion order.
    """

    group: str
    upstream: str
    holder: str
    token: int
    kind: Literal['order_promotion'] = 'order_promotion'


@dataclass(slots=True, kw_only=True)
class Reply:
    """Answer an HTTP request that was received as `RequestReceived`.

    Parameters
    ----------
    request_id : int
        Number of the request.
    outcome : {'done', 'invalid', 'moved', 'unavailable'}
        ``'moved'``: the request must be sent to `leader`;
        ``'unavailable'``: there is no leader that can answer at present.
    faults : list of str
        Reasons why the request is invalid.
    document : bytes
        Requested document.
    leader : str
        IP address of the control leader.
    """

    request_id: int
    outcome: Literal['done', 'invalid', 'moved', 'unavailable']
    faults: list[str] = field(default_factory=list)
    document: bytes = b''
    leader: str = ''
    kind: Literal['reply'] = 'reply'


@dataclass(slots=True, kw_only=True)
class Stop:
    """Stop the process; the reducer has nothing left to send."""

    exit_code: int = 0
    kind: Literal['stop'] = 'stop'


Effect = (
    Send
    | Connect
    | Close
    | Hold
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
