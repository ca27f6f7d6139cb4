"""Messages of the session protocol between caller, proxy and upstream.

In this protocol, each connection is one session. Requests on a connection are
answered in order. An answer is any number of `Row` messages, then `Done` or
`Failed`, then `Ready`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from jackdawpost.core.positions import LogPosition

Verb = Literal[
    'begin',
    'begin_read',
    'commit',
    'rollback',
    'read',
    'write',
    'set',
    'prepare',
    'execute',
    'deallocate',
    'unknown',
]
SessionState = Literal['idle', 'in_txn', 'failed_txn']


@dataclass(slots=True, kw_only=True)
class StartSession:
    """Request of a caller to open a session on a named database.

    Parameters
    ----------
    key : str
        Digest of the caller's key; empty if it sent none.
    """

    database: str
    key: str = ''
    kind: Literal['start_session'] = 'start_session'


@dataclass(slots=True, kw_only=True)
class Request:
    """One statement of a caller's session.

    Parameters
    ----------
    id : str
        Id chosen by the caller; it is forwarded unchanged.
    text : str
        Complete statement as sent by the caller.
    verb : str
        Kind of statement.
    name : str
        Name of the session variable or prepared statement; empty otherwise.
    argument : str
        Value of a ``set``; ``READ SHAPE`` or ``WRITE SHAPE`` of a
        ``prepare``; empty otherwise.
    """

    id: str
    text: str
    verb: Verb
    name: str = ''
    argument: str = ''
    kind: Literal['request'] = 'request'


@dataclass(slots=True, kw_only=True)
class EndSession:
    """Request of a caller to end its session."""

    kind: Literal['end_session'] = 'end_session'


@dataclass(slots=True, kw_only=True)
class OpenUpstream:
    """Open a session on an upstream.

    Parameters
    ----------
    group : str
        Group that the upstream must belong to.
    peer : str
        Name of the tenant whose statements will be sent, or of this process.
    upstream : str
        Identity that the upstream must have. The check detects an address
        that another upstream has taken over, before any statement runs.
    """

    group: str
    peer: str
    upstream: str
    kind: Literal['open_upstream'] = 'open_upstream'


@dataclass(slots=True, kw_only=True)
class Execute:
    """Run a statement on an upstream.

    Parameters
    ----------
    after : LogPosition, optional
        Position that the upstream's log must contain; otherwise the
        statement does not run.
    """

    id: str
    text: str
    after: LogPosition | None = None
    kind: Literal['execute'] = 'execute'


@dataclass(slots=True, kw_only=True)
class Internal:
    """Statement issued by the proxy rather than by a caller.

    Parameters
    ----------
    action : str
        ``'begin'`` succeeds only on the primary, ``'begin_read'`` on any
        upstream.
    name, argument : str
        As in `Request` for ``'set'`` and ``'prepare'``. For ``'pause'`` and
        ``'demote'``, the argument is the term.
    after : LogPosition, optional
        As in `Execute`, for ``'begin_read'`` only.
    """

    action: Literal[
        'begin',
        'begin_read',
        'rollback',
        'reset',
        'set',
        'prepare',
        'status',
        'pause',
        'resume',
        'demote',
    ]
    name: str = ''
    argument: str = ''
    after: LogPosition | None = None
    kind: Literal['internal'] = 'internal'


@dataclass(slots=True, kw_only=True)
class UpstreamStatus:
    """Answer of an upstream to the internal statement ``'status'``.

    Parameters
    ----------
    leads : bool
        The upstream considers itself the primary.
    term : int
        Newest term known to the upstream.
    received : LogPosition
        Last position received, even if not yet applied.
    """

    leads: bool
    term: int
    received: LogPosition


@dataclass(slots=True, kw_only=True)
class Row:
    """One row of a result."""

    text: str
    kind: Literal['row'] = 'row'


@dataclass(slots=True, kw_only=True)
class Done:
    """The statement was executed.

    Parameters
    ----------
    signature : str
        Signature of the upstream that ran the statement; ``-`` if no
        upstream was involved.
    """

    signature: str
    kind: Literal['done'] = 'done'


@dataclass(slots=True, kw_only=True)
class Failed:
    """The statement failed or was refused."""

    code: str
    text: str
    kind: Literal['failed'] = 'failed'


@dataclass(slots=True, kw_only=True)
class Ready:
    """End of an answer; the session is ready for the next statement.

    Parameters
    ----------
    state : str
        State of the session after the statement.
    position : LogPosition, optional
        Position of the upstream's log; None if no upstream is involved.
    """

    state: SessionState
    position: LogPosition | None = None
    kind: Literal['ready'] = 'ready'


CallerMessage = StartSession | Request | EndSession
UpstreamMessage = Row | Done | Failed | Ready
