"""Exception tree: every error that jackdawpost raises on purpose."""

from __future__ import annotations


class JackdawpostError(Exception):
    """Base class of all errors raised by jackdawpost."""


class ConfigError(JackdawpostError):
    """Settings cannot be read or are invalid.

    Parameters
    ----------
    path : str
        Settings file.
    key : str
        Dotted path of the key inside the file, empty for the whole file.
    value : object
        The offending value.
    valid : str
        Description of what is valid.
    more : tuple of tuple
        Key, value and description of each further fault in the file.
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


class TokenError(ProtocolError):
    """A session token is malformed, truncated or forged."""


class StorageError(JackdawpostError):
    """Durable state cannot be read or written."""


class StorageCorruptError(StorageError):
    """A record other than the last one fails its checksum.

    Parameters
    ----------
    path : str
        Damaged file.
    offset : int
        Offset of the damaged record in bytes.
    """

    def __init__(self, path: str, offset: int, reason: str) -> None:
        super().__init__(f'{path}: offset {offset}: {reason}')
        self.path = path
        self.offset = offset


class FolderLockedError(StorageError):
    """Another process uses the data folder."""


class TraceError(JackdawpostError):
    """A recorded trace cannot be read."""


class RequestError(JackdawpostError):
    """A caller's request ended without being done.

    Parameters
    ----------
    outcome : str
        ``'not_run'`` or ``'unknown'``.
    code : str
        Stable error code, see ``docs/protocol.md``.
    message : str
        Explanation for people.
    retry_after_ms : int, optional
        Earliest useful time for another attempt, in milliseconds.
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
    """The request was not run; a resend is safe."""


class OutcomeUnknownError(RequestError):
    """The request may or may not have taken effect."""
