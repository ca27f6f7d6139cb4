"""Messages between a caller and a proxy."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import Literal

Outcome = Literal['done', 'not_run', 'unknown']
Access = Literal['read', 'write']

DEFAULT_DEADLINE_MS = 2_000
MAX_DEADLINE_MS = 60_000
MAX_PARAMS = 32_766
MAX_INT = 2**63 - 1
MIN_INT = -(2**63)

_PARAM_TYPES = frozenset({type(None), bool, int, float, str, bytes})


def _check_params(params: list[Any]) -> None:
    if len(params) > MAX_PARAMS:
        raise ValueError(f'{len(params)} params: valid are up to {MAX_PARAMS}')
    for place, value in enumerate(params):
        kind = type(value)
        if kind not in _PARAM_TYPES:
            raise ValueError(
                f'params.{place} is of type {kind.__name__}: valid are text, '
                'integers, floats, booleans, bytes and null'
            )
        if kind is int and not MIN_INT <= value <= MAX_INT:
            raise ValueError(f'params.{place}: valid integers have 64 bits')
        if kind is str and not _is_unicode(value):
            raise ValueError(f'params.{place} is no Unicode text')


def _is_unicode(text: str) -> bool:
    if text.isascii():
        return True
    try:
        # JSON can carry one half of a surrogate pair, CBOR cannot.
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


@dataclass(slots=True, kw_only=True)
class Statement:
    """One SQL statement.

    Parameters
    ----------
    id : int
        Unique among the requests in flight on the connection.
    route : str
        Name of a routing rule. Ignored inside a transaction.
    sql : str
        Statement text.
    params : list
        Positional parameters: text, numbers, bytes or null.
    access : {'read', 'write'}
        Whether the statement changes data.
    key : str, optional
        Selects the group among those of the rule.
    max_age_ms : int, optional
        Accepted age of the data read, in milliseconds.
    allowance : str, optional
        Name of a staleness allowance, instead of `max_age_ms`.
    session : str, optional
        Session token of the caller.
    idempotent : bool
        The write may take effect more than once.
    request_key : str, optional
        Identifies the write across resends; required unless idempotent.
    deadline_ms : int
        Time in which an answer is useful, in milliseconds from arrival.
    txn : int, optional
        Handle of the transaction that the statement belongs to.
    """

    id: int
    sql: str
    access: Access
    route: str = ''
    params: list[Any] | None = None
    key: str | None = None
    max_age_ms: int | None = None
    allowance: str | None = None
    session: str | None = None
    idempotent: bool = False
    request_key: str | None = None
    deadline_ms: int = DEFAULT_DEADLINE_MS
    txn: int | None = None
    kind: Literal['statement'] = 'statement'

    def __post_init__(self) -> None:
        """Raise `ValueError` for parameters that no frame can carry.

        The check stands here, before traces and upstreams see the values.
        """
        if self.params:
            _check_params(self.params)


@dataclass(slots=True, kw_only=True)
class Begin:
    """Open a transaction on the primary of a group."""

    id: int
    route: str
    key: str | None = None
    session: str | None = None
    deadline_ms: int = DEFAULT_DEADLINE_MS
    kind: Literal['begin'] = 'begin'


@dataclass(slots=True, kw_only=True)
class Commit:
    """Commit a transaction; `request_key` makes a resend safe."""

    id: int
    txn: int
    request_key: str | None = None
    deadline_ms: int = DEFAULT_DEADLINE_MS
    kind: Literal['commit'] = 'commit'


@dataclass(slots=True, kw_only=True)
class Rollback:
    """Abandon a transaction."""

    id: int
    txn: int
    deadline_ms: int = DEFAULT_DEADLINE_MS
    kind: Literal['rollback'] = 'rollback'


@dataclass(slots=True, kw_only=True)
class AnswerError:
    """Why a request was not done.

    Parameters
    ----------
    code : str
        Stable error code, see ``docs/protocol.md``.
    message : str
        Explanation for people.
    retry_after_ms : int, optional
        Earliest useful time for another attempt, in milliseconds.
    """

    code: str
    message: str
    retry_after_ms: int | None = None


@dataclass(slots=True, kw_only=True)
class Answer:
    """The one answer to a request.

    Parameters
    ----------
    id : int
        Id of the request; 0 when the request's id could not be read.
    outcome : {'done', 'not_run', 'unknown'}
        What became of the request.
    session : str, optional
        New session token, present after a write.
    source : {'primary', 'replica'}, optional
        Role of the upstream that served a read.
    age_ms : int, optional
        Upper bound on the age of the data read, in milliseconds.
    duplicate : bool
        The write had taken effect before, under the same request key.
    txn : int, optional
        Handle of the transaction, present after `Begin`.
    """

    id: int
    outcome: Outcome
    columns: list[str] | None = None
    rows: list[list[Any]] | None = None
    row_count: int | None = None
    session: str | None = None
    source: Literal['primary', 'replica'] | None = None
    age_ms: int | None = None
    duplicate: bool = False
    txn: int | None = None
    error: AnswerError | None = None
    kind: Literal['answer'] = 'answer'


@dataclass(slots=True, kw_only=True)
class GoingAway:
    """The proxy drains; callers should reconnect elsewhere.

    Parameters
    ----------
    serve_ms : int
        Time for which new requests are still served, in milliseconds.
    """

    serve_ms: int
    kind: Literal['going_away'] = 'going_away'


CallerRequest = Statement | Begin | Commit | Rollback
ProxyReply = Answer | GoingAway
