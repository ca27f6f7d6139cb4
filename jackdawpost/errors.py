"""Exception classes of jackdawpost, under one base class."""

from __future__ import annotations

# Problems of a document in the text of its error.
MAX_LISTED_PROBLEMS = 5


class JackdawpostError(Exception):
    """Base class of all exceptions of jackdawpost."""


class ConfigError(JackdawpostError):
    """Settings cannot be read or are invalid.

    Parameters
    ----------
    path : str
        Settings file.
    key : str
        Dotted path of the key in the file; empty for the whole file.
    value : object
        Invalid value.
    valid : str
        Description of the valid values.
    more : tuple of tuple
        Key, invalid value and description of the valid values, for each
        further fault in the file.
    """

    def __init__(
        self,
        path: str,
        key: str,
        value: object,
        valid: str,
        more: tuple[tuple[str, object, str], ...] = (),
    ) -> None:
        faults = [(key or '(file)', value, valid), *more]
        texts = [f'{name}: {bad!r}: {good}' for name, bad, good in faults]
        super().__init__(f'{path}: {"; ".join(texts)}')
        self.more = more
        self.path = path
        self.key = key
        self.value = value
        self.valid = valid


class ProtocolError(JackdawpostError):
    """A frame or message violates the protocol of its link."""


class EncodingError(JackdawpostError):
    """A message cannot be encoded for the protocol of its link."""


class CommandError(JackdawpostError):
    """A command cannot be recorded in the control log."""


class DocumentError(ProtocolError):
    """A configuration document has missing or invalid values.

    Parameters
    ----------
    problems : list of tuple
        Dotted path of the value and description, for each problem. Keys of
        tenants are not quoted.
    """

    def __init__(self, problems: list[tuple[str, str]]) -> None:
        described = [
            f'{path}: {text}' for path, text in problems[:MAX_LISTED_PROBLEMS]
        ]
        super().__init__('; '.join(described))
        self.problems = problems


class TokenError(ProtocolError):
    """A session token is malformed, truncated, altered or full."""


class StorageError(JackdawpostError):
    """Stored state cannot be read or written."""


class StorageCorruptError(StorageError):
    """A storage file is damaged, other than by an incomplete last record.

    Parameters
    ----------
    path : str
        Corrupt file.
    offset : int
        Offset of the corrupt record in bytes.
    reason : str
        Description of the corruption.
    """

    def __init__(self, path: str, offset: int, reason: str) -> None:
        super().__init__(f'{path}: offset {offset}: {reason}')
        self.path = path
        self.offset = offset


class FolderLockedError(StorageError):
    """The data folder is locked by another process."""


class TraceError(JackdawpostError):
    """A recorded trace cannot be read."""


class RequestError(JackdawpostError):
    """A caller's request was not completed.

    Parameters
    ----------
    outcome : str
        ``'not_run'``: the request had no effect; ``'unknown'``: it may or
        may not have taken effect.
    code : str
        Stable error code, see ``docs/protocol.md``.
    message : str
        Human-readable explanation.
    retry_after_ms : int, optional
        Time to wait before another attempt, in milliseconds.
    """

    def __init__(
        self,
        outcome: str,
        code: str,
        message: str,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(f'{outcome}: {code}: {message}')
        self.outcome = outcome
        self.code = code
        self.retry_after_ms = retry_after_ms


class RequestNotRunError(RequestError):
    """The request was not executed; it is safe to resend."""


class OutcomeUnknownError(RequestError):
    """The request may or may not have taken effect."""
