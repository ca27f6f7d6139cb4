"""Messages between a caller and a proxy.

A caller sends a `CallerRequest` and receives one `Answer` with the same id.
"""

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
        raise ValueError(
            f'{len(params)} params: expected at most {MAX_PARAMS}'
        )
    for index, value in enumerate(params):
        param_type = type(value)
        if param_type not in _PARAM_TYPES:
            raise ValueError(
                f'params.{index} is of type {param_type.__name__}: expected '
                'text, integer, float, boolean, bytes or null'
            )
        if param_type is int and not MIN_INT <= value <= MAX_INT:
            raise ValueError(
                f'params.{index} is out of range: expected a signed 64-bit '
                'integer'
            )
        if param_type is str and not _is_unicode(value):
            raise ValueError(
                f'params.{index} has a lone surrogate: expected valid Unicode'
            )


def _is_unicode(text: str) -> bool:
    if text.isascii():
        return True
    try:
        # JSON text can contain a lone surrogate, CBOR text cannot.
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
        Name of a routing rule; ignored inside a transaction.
    sql : str
        Statement text.
    params : list
        Positional parameters: text, numbers, bytes or null.
    access : {'read', 'write'}
        ``'write'`` if the statement changes data.
    key : str, optional
        Routing key that selects one of the rule's groups.
    max_age_ms : int, optional
        Maximum accepted age of the data read, in milliseconds.
    allowance : str, optional
        Name of a staleness allowance, in place of `max_age_ms`.
    session : str, optional
        Session token of the caller.
    idempotent : bool
        The write may be executed more than once.
    request_key : str, optional
        Identifies the write across resends. Required for a write that is not
        idempotent.
    deadline_ms : int
        Time within which the caller needs the answer, in milliseconds from
        the arrival of the request.
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
        """Raise `ValueError` for parameters that cannot be encoded.

        The check is made on arrival, since such values would later fail to
        be encoded in traces and in frames to upstreams.
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
    """Commit a transaction; `request_key` makes it safe to resend."""

    id: int
    txn: int
    request_key: str | None = None
    deadline_ms: int = DEFAULT_DEADLINE_MS
    kind: Literal['commit'] = 'commit'


@dataclass(slots=True, kw_only=True)
class Rollback:
    """Roll back a transaction."""

    id: int
    txn: int
    deadline_ms: int = DEFAULT_DEADLINE_MS
    kind: Literal['rollback'] = 'rollback'


@dataclass(slots=True, kw_only=True)
class AnswerError:
    """Error that prevented a request from completing.

    Parameters
    ----------
    code : str
        Stable error code, see ``docs/protocol.md``.
    message : str
        Human-readable explanation.
    retry_after_ms : int, optional
        Time to wait before another attempt, in milliseconds.
    """

    code: str
    message: str
    retry_after_ms: int | None = None


@dataclass(slots=True, kw_only=True)
class Answer:
    """Answer to a request; each request gets exactly one.

    Parameters
    ----------
    id : int
        Id of the request; 0 when the request's id could not be read.
    outcome : {'done', 'not_run', 'unknown'}
        ``'done'``: the request was executed; ``'not_run'``: it had no
        effect; ``'unknown'``: it may or may not have taken effect.
    session : str, optional
        New session token, present after a write.
    source : {'primary', 'replica'}, optional
        Role of the upstream that served a read.
    age_ms : int, optional
        Upper bound on the age of the data read, in milliseconds.
    duplicate : bool
        The write was already executed under the same request key.
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
    """The proxy is draining; callers should connect to another proxy.

    Parameters
    ----------
    serve_ms : int
        Time for which new requests are still served, in milliseconds.
    """

    serve_ms: int
    kind: Literal['going_away'] = 'going_away'


CallerRequest = Statement | Begin | Commit | Rollback
ProxyReply = Answer | GoingAway
