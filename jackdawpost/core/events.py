"""Events that the reducers of proxies and control processes receive.

Every event carries ``now_ms``, the monotonic time of the process in
milliseconds. Connections are identified by integers that the runtime never
reuses within a process. A late frame of a closed connection therefore
cannot be mistaken for a frame of a newer connection.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import Literal

Link = Literal[
    'caller', 'upstream', 'proxy', 'announce', 'peer', 'operator', 'session'
]


@dataclass(slots=True, kw_only=True)
class ConnOpened:
    """A connection was opened and is ready for messages.

    Parameters
    ----------
    conn : int
        Connection id.
    link : str
        Kind of the remote end from the point of view of this process. In a
        proxy, ``'proxy'`` is a link to a control process; in a control
        process, it is a link from a proxy.
    peer : str
        Name of the remote end if known: upstream, control process or
        certificate name; empty for callers.
    purpose : str
        ``'statements'``, ``'monitor'``, ``'check'`` or ``'admin'`` for
        upstream links; empty for other links.
    data_id : str
        Identity of the upstream's data for upstream links; empty for other
        links.
    """

    now_ms: float
    conn: int
    link: Link
    peer: str = ''
    purpose: str = ''
    data_id: str = ''
    kind: Literal['conn_opened'] = 'conn_opened'


@dataclass(slots=True, kw_only=True)
class ConnClosed:
    """A connection was closed or could not be opened.

    Parameters
    ----------
    reason : {'closed', 'refused', 'timeout', 'malformed'}
        ``'refused'``: the remote end refused or reset the connection;
        ``'timeout'``: the remote end did not answer in time while the
        connection was opened.
    detail : str
        Human-readable explanation.
    """

    now_ms: float
    conn: int
    reason: Literal['closed', 'refused', 'timeout', 'malformed'] = 'closed'
    detail: str = ''
    kind: Literal['conn_closed'] = 'conn_closed'


@dataclass(slots=True, kw_only=True)
class Received:
    """The validated messages of one frame were received, in order.

    Parameters
    ----------
    size_bytes : int
        Size of the frame.
    """

    now_ms: float
    conn: int
    messages: list[Any]
    size_bytes: int = 0
    kind: Literal['received'] = 'received'


@dataclass(slots=True, kw_only=True)
class FrameRejected:
    """A received frame failed validation.

    Parameters
    ----------
    request_id : int
        Id of the request in the frame; 0 if it could not be read.
    """

    now_ms: float
    conn: int
    request_id: int
    detail: str
    kind: Literal['frame_rejected'] = 'frame_rejected'


@dataclass(slots=True, kw_only=True)
class TimerFired:
    """A timer set by `SetTimer` has expired."""

    now_ms: float
    key: str
    kind: Literal['timer_fired'] = 'timer_fired'


@dataclass(slots=True, kw_only=True)
class DrainRequested:
    """A graceful shutdown of the process was requested."""

    now_ms: float
    kind: Literal['drain_requested'] = 'drain_requested'


@dataclass(slots=True, kw_only=True)
class Persisted:
    """The write with number `token` was synced to disk."""

    now_ms: float
    token: int
    kind: Literal['persisted'] = 'persisted'


@dataclass(slots=True, kw_only=True)
class PersistFailed:
    """The write with number `token` failed; none of it may be relied on."""

    now_ms: float
    token: int
    detail: str
    kind: Literal['persist_failed'] = 'persist_failed'


@dataclass(slots=True, kw_only=True)
class RequestReceived:
    """An operator or an upstream sent a request that expects a `Reply`.

    Parameters
    ----------
    request_id : int
        Number of the request, repeated in the reply.
    request : object
        `DeclareConfig`, `ReadConfig`, `Registration` or `Departure` of
        `jackdawpost.core.messages.registry`.
    """

    now_ms: float
    request_id: int
    request: Any
    kind: Literal['asked'] = 'asked'


@dataclass(slots=True, kw_only=True)
class PromotionEnded:
    """An `OrderPromotion` was answered, or its answer did not arrive.

    Parameters
    ----------
    outcome : {'done', 'refused', 'unknown'}
        ``'unknown'``: the promotion may still be executed later.
    """

    now_ms: float
    group: str
    token: int
    outcome: Literal['done', 'refused', 'unknown']
    detail: str = ''
    kind: Literal['promotion_ended'] = 'promotion_ended'


@dataclass(slots=True, kw_only=True)
class SeedsChanged:
    """The settings now list other addresses of control processes."""

    now_ms: float
    seeds: tuple[str, ...]
    kind: Literal['seeds_changed'] = 'seeds_changed'


Event = (
    ConnOpened
    | ConnClosed
    | Received
    | FrameRejected
    | TimerFired
    | DrainRequested
    | Persisted
    | PersistFailed
    | RequestReceived
    | PromotionEnded
    | SeedsChanged
)
