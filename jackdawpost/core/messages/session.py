"""Messages of a session of statements: caller <-> proxy <-> upstream.

In this protocol a session is a connection. Requests on a connection are
answered in order: any number of `Row`, then `Done` or `Failed`, and in every
case `Ready`.
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
    """A caller opens a session on a named database."""

    database: str
    kind: Literal['start_session'] = 'start_session'


@dataclass(slots=True, kw_only=True)
class Request:
    """One statement of a session.

    Parameters
    ----------
    id : str
        Id that the caller chose; it is passed on unchanged.
    text : str
        Whole statement as the caller sent it.
    verb : str
        What the statement does.
    name : str
        Name of the session value or prepared statement; empty otherwise.
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
    """The caller ends its session."""

    kind: Literal['end_session'] = 'end_session'


@dataclass(slots=True, kw_only=True)
class OpenUpstream:
    """Open a session at an upstream.

    Parameters
    ----------
    group : str
        Group that the upstream must belong to.
    peer : str
        Name of this process.
    upstream : str
        Identity that the upstream must have, so that an address in use by
        another one is noticed before any statement runs.
    """

    group: str
    peer: str
    upstream: str
    kind: Literal['open_upstream'] = 'open_upstream'


@dataclass(slots=True, kw_only=True)
class Execute:
    """Run a statement at an upstream.

    Parameters
    ----------
    after : LogPosition, optional
        Position that the upstream's log must hold, else nothing runs.
    """

    id: str
    text: str
    after: LogPosition | None = None
    kind: Literal['execute'] = 'execute'


@dataclass(slots=True, kw_only=True)
class Internal:
    """A statement of the proxy itself, not of a caller.

    Parameters
    ----------
    action : str
        ``'begin'`` succeeds only at the primary; ``'begin_read'`` anywhere.
    name, argument : str
        As in `Request`, for ``'set'`` and ``'prepare'``; for ``'pause'`` the
        term, as the argument.
    after : LogPosition, optional
        As in `Execute`, for ``'begin_read'``.
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
    ]
    name: str = ''
    argument: str = ''
    after: LogPosition | None = None
    kind: Literal['internal'] = 'internal'


@dataclass(slots=True, kw_only=True)
class UpstreamStatus:
    """What an upstream says of itself when asked for its status.

    Parameters
    ----------
    leads : bool
        It believes that it is the primary.
    term : int
        Newest term that it knows.
    received : LogPosition
        Last position received, applied or not.
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
    """The statement has run.

    Parameters
    ----------
    signature : str
        Proof of the upstream that ran it; ``-`` if none did.
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
    """The end of an answer.

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
