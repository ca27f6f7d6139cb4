"""Messages that proxies and control processes exchange with upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Literal

from jackdawpost.core.messages.caller import Access
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.positions import TermEnd

Purpose = Literal['statements', 'monitor', 'admin']
RefusalCode = Literal[
    'behind',
    'history_lost',
    'stale_term',
    'not_primary',
    'no_slot',
    'leaving',
    'statement_failed',
    'malformed',
    'timeout',
]


@dataclass(slots=True, kw_only=True)
class Open:
    """Introduce the sender; the first message on a connection."""

    peer: str
    purpose: Purpose
    kind: Literal['open'] = 'open'


@dataclass(slots=True, kw_only=True)
class Opened:
    """The upstream accepted the connection.

    Parameters
    ----------
    data_id : str
        Identity of the upstream's data; a wiped upstream has a new one.
    incarnation : str
        Identity of the upstream's process; new at each start.
    """

    name: str
    data_id: str
    incarnation: str
    kind: Literal['opened'] = 'opened'


@dataclass(slots=True, kw_only=True)
class Execute:
    """Run one statement.

    Parameters
    ----------
    id : int
        Unique on the connection.
    term : int
        Term of the group known to the sender. An upstream with a different
        term refuses a statement that must run on the primary.
    must_lead : bool
        Run only if the upstream is the primary in `term`.
    after : LogPosition, optional
        Position of the session token. It must be applied and part of the
        log's history.
    fresh_after : LogPosition, optional
        Position that must be applied to satisfy the maximum accepted age.
    wait_ms : int
        Time that the upstream may wait for `after` and `fresh_after`, in
        milliseconds.
    request_key : str, optional
        Key stored with the answer in the same transaction as the write. A
        resend with the same key is not executed again.
    timeout_ms : int
        Maximum run time, in milliseconds.
    in_txn : bool
        The statement belongs to the connection's open transaction.
    """

    id: int
    sql: str
    access: Access
    term: int
    must_lead: bool
    timeout_ms: int
    params: list[Any] | None = None
    after: LogPosition | None = None
    fresh_after: LogPosition | None = None
    wait_ms: int = 0
    request_key: str | None = None
    in_txn: bool = False
    kind: Literal['execute'] = 'execute'


@dataclass(slots=True, kw_only=True)
class TxnBegin:
    """Open a transaction on the connection; it occupies one slot."""

    id: int
    term: int
    timeout_ms: int
    after: LogPosition | None = None
    kind: Literal['txn_begin'] = 'txn_begin'


@dataclass(slots=True, kw_only=True)
class TxnCommit:
    """Commit the open transaction."""

    id: int
    term: int
    timeout_ms: int
    request_key: str | None = None
    kind: Literal['txn_commit'] = 'txn_commit'


@dataclass(slots=True, kw_only=True)
class TxnRollback:
    """Roll back the open transaction."""

    id: int
    kind: Literal['txn_rollback'] = 'txn_rollback'


@dataclass(slots=True, kw_only=True)
class Executed:
    """Result of `Execute`, `TxnBegin`, `TxnCommit` or `TxnRollback`.

    Parameters
    ----------
    status : {'done', 'not_run'}
        ``'done'`` if the statement took effect.
    code : str, optional
        Reason for ``'not_run'``.
    position : LogPosition, optional
        Position of a write, or the applied position at the time of a read.
    term : int, optional
        Term of the upstream.
    """

    id: int
    status: Literal['done', 'not_run']
    code: RefusalCode | None = None
    message: str | None = None
    columns: list[str] | None = None
    rows: list[list[Any]] | None = None
    row_count: int | None = None
    position: LogPosition | None = None
    term: int | None = None
    duplicate: bool = False
    kind: Literal['executed'] = 'executed'


@dataclass(slots=True, kw_only=True)
class Probe:
    """Request the term and positions; occupies no slot."""

    id: int
    kind: Literal['probe'] = 'probe'


@dataclass(slots=True, kw_only=True)
class Probed:
    """Answer to `Probe`."""

    id: int
    term: int
    leads: bool
    received: LogPosition
    applied: LogPosition
    leaving: bool = False
    kind: Literal['probed'] = 'probed'


@dataclass(slots=True, kw_only=True)
class Progress:
    """Unsolicited report on a monitor connection when a position advances."""

    term: int
    leads: bool
    received: LogPosition
    applied: LogPosition
    leaving: bool = False
    kind: Literal['progress'] = 'progress'


@dataclass(slots=True, kw_only=True)
class Seal:
    """Refuse replication and statements of terms lower than `term`."""

    id: int
    term: int
    kind: Literal['seal'] = 'seal'


@dataclass(slots=True, kw_only=True)
class Sealed:
    """Answer to `Seal` with the position of the last record received."""

    id: int
    ok: bool
    term: int
    data_id: str
    received: LogPosition
    history: list[TermEnd] = field(default_factory=list)
    kind: Literal['sealed'] = 'sealed'


@dataclass(slots=True, kw_only=True)
class Promote:
    """Become the primary in `term`; idempotent."""

    id: int
    term: int
    kind: Literal['promote'] = 'promote'


@dataclass(slots=True, kw_only=True)
class Follow:
    """Replicate from `primary` in `term`; drop diverged log records."""

    id: int
    term: int
    primary: str
    host: str
    port: int
    kind: Literal['follow'] = 'follow'


@dataclass(slots=True, kw_only=True)
class AdminDone:
    """Answer to `Promote` or `Follow`."""

    id: int
    ok: bool
    term: int
    message: str = ''
    kind: Literal['admin_done'] = 'admin_done'


UpstreamRequest = (
    Open
    | Execute
    | TxnBegin
    | TxnCommit
    | TxnRollback
    | Probe
    | Seal
    | Promote
    | Follow
)
UpstreamReply = Opened | Executed | Probed | Progress | Sealed | AdminDone
