"""Events that the reducers of proxy and control receive.

Every event carries ``now_ms``: monotonic time of the process in
milliseconds. Connections are named by integers that the runtime never
reuses within a process, so that a late frame of a closed connection cannot
be taken for one of its successor.
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
    """A connection is ready for messages.

    Parameters
    ----------
    conn : int
        Connection id.
    link : str
        Kind of the other end as this process sees it. In a proxy
        ``'proxy'`` is a link to a control process; in a control process it
        is a link from a proxy.
    peer : str
        Name of the other end where known: the upstream, control process or
        certificate name; empty for callers.
    purpose : str
        For upstream links ``'statements'``, ``'monitor'`` or ``'admin'``.
    data_id : str
        For upstream links the identity of the upstream's data.
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
    """A connection has ended or could not be opened.

    Parameters
    ----------
    reason : {'closed', 'refused', 'timeout', 'malformed'}
        ``'refused'``: the other end refused or reset; ``'timeout'``: no
        answer while opening.
    detail : str
        Explanation for people.
    """

    now_ms: float
    conn: int
    reason: Literal['closed', 'refused', 'timeout', 'malformed'] = 'closed'
    detail: str = ''
    kind: Literal['conn_closed'] = 'conn_closed'


@dataclass(slots=True, kw_only=True)
class Received:
    """Messages of one frame, validated, in order."""

    now_ms: float
    conn: int
    messages: list[Any]
    kind: Literal['received'] = 'received'


@dataclass(slots=True, kw_only=True)
class FrameRejected:
    """A frame failed validation.

    Parameters
    ----------
    request_id : int
        Id of the request if it could be read, else 0.
    """

    now_ms: float
    conn: int
    request_id: int
    detail: str
    kind: Literal['frame_rejected'] = 'frame_rejected'


@dataclass(slots=True, kw_only=True)
class TimerFired:
    """A timer set by `SetTimer` is due."""

    now_ms: float
    key: str
    kind: Literal['timer_fired'] = 'timer_fired'


@dataclass(slots=True, kw_only=True)
class DrainRequested:
    """The process was asked to stop gracefully."""

    now_ms: float
    kind: Literal['drain_requested'] = 'drain_requested'


@dataclass(slots=True, kw_only=True)
class Persisted:
    """The write named by `token` is synced to disk."""

    now_ms: float
    token: int
    kind: Literal['persisted'] = 'persisted'


@dataclass(slots=True, kw_only=True)
class PersistFailed:
    """The write named by `token` failed; nothing of it may be relied on."""

    now_ms: float
    token: int
    detail: str
    kind: Literal['persist_failed'] = 'persist_failed'


@dataclass(slots=True, kw_only=True)
class RequestReceived:
    """A request of an operator or an upstream that expects a `Reply`.

    Parameters
    ----------
    request_id : int
        Number of the request, for the reply.
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
    """An order of a promotion was answered, or got no answer.

    Parameters
    ----------
    outcome : {'done', 'refused', 'unknown'}
        ``'unknown'``: it may still be carried out later.
    """

    now_ms: float
    group: str
    token: int
    outcome: Literal['done', 'refused', 'unknown']
    detail: str = ''
    kind: Literal['promotion_ended'] = 'promotion_ended'


@dataclass(slots=True, kw_only=True)
class SeedsChanged:
    """The settings name other addresses of control processes."""

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
