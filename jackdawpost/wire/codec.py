"""Encodes messages as CBOR or JSON frames; decodes and validates frames."""

from __future__ import annotations

import copy
import dataclasses
import json
import zlib
from collections.abc import Callable
from typing import Any

import cbor2
from pydantic import TypeAdapter
from pydantic import ValidationError
from pydantic_core import SchemaValidator

from jackdawpost.errors import EncodingError
from jackdawpost.errors import ProtocolError

MAX_MESSAGES_PER_FRAME = 64
MAX_FRAME_BYTES = 1 << 20
# A caller's JSON frame can grow when it is forwarded to an upstream as CBOR,
# where each float takes 9 bytes.
MAX_UPSTREAM_FRAME_BYTES = 2 << 20
# CBOR tag of a byte string that holds a compressed frame, from the range that
# is not registered for a particular use.
COMPRESSED_FRAME_TAG = 48_017
# Smaller frames gain nothing that is worth the processor time.
MIN_COMPRESSED_BYTES = 2_048
# Bounds the memory that a compressed frame can take.
MAX_DECOMPRESSED_BYTES = 16 << 20
# Frames that `build_caching_encoder` keeps.
CACHED_FRAMES = 8
MAX_INT = 2**63 - 1
MIN_INT = -(2**63)
MAX_QUOTED_CHARS = 120
MAX_DETAIL_CHARS = 500

_SCALAR_TYPES = frozenset({'int', 'float', 'bool', 'str', 'bytes'})


class FrameError(ProtocolError):
    """A frame is malformed or contains an invalid message.

    Parameters
    ----------
    request_id : int
        Id of the invalid request; 0 if it could not be read.
    """

    def __init__(self, message: str, request_id: int = 0) -> None:
        # Quoted input may contain characters that UTF-8 cannot encode, such
        # as half of a surrogate pair.
        text = message.encode('ascii', 'backslashreplace').decode()
        super().__init__(text[:MAX_DETAIL_CHARS])
        self.request_id = request_id


class FrameCodec:
    """Decodes and validates the messages received on one kind of link.

    Parameters
    ----------
    *message_types : type
        Data classes of the accepted messages. The default of their field
        ``kind`` identifies the message type on the wire.
    accepts_compressed : bool
        Whether frames may be compressed, see `encode_compressed`.
    """

    def __init__(
        self, *message_types: type[Any], accepts_compressed: bool = False
    ) -> None:
        self._accepts_compressed = accepts_compressed
        self._types = {
            message_type.__dataclass_fields__['kind'].default: message_type
            for message_type in message_types
        }
        # Validators are built on first use. Building all of them would delay
        # the restart of a failed process.
        self._validators: dict[str, SchemaValidator] = {}
        self._valid_kinds = ', '.join(sorted(self._types))

    def decode(self, frame: bytes | str) -> list[Any]:
        """Decode a frame and validate all its messages.

        Parameters
        ----------
        frame : bytes or str
            Bytes are decoded as CBOR, text as JSON.

        Returns
        -------
        list
            Messages as data classes, in the order of the frame.

        Raises
        ------
        FrameError
            The frame is malformed or any of its messages is invalid.
        """
        value = _parse_frame(frame)
        if self._accepts_compressed and isinstance(value, cbor2.CBORTag):
            value = _parse_frame(_decompress(value))
        items = value if isinstance(value, list) else [value]
        if not 1 <= len(items) <= MAX_MESSAGES_PER_FRAME:
            raise FrameError(
                f'frame contains {len(items)} messages, expected 1 to '
                f'{MAX_MESSAGES_PER_FRAME}'
            )
        return [self.validate(item) for item in items]

    def validate(self, item: Any) -> Any:
        """Validate one message given as a mapping; return its data class."""
        if not isinstance(item, dict):
            raise FrameError(
                f'got {type(item).__name__}, expected a message object'
            )
        request_id = item.get('id', 0)
        if type(request_id) is not int or not (
            MIN_INT <= request_id <= MAX_INT
        ):
            request_id = 0
        kind = item.get('kind')
        validator = (
            self._get_validator(kind) if isinstance(kind, str) else None
        )
        if validator is None:
            raise FrameError(
                f'unknown kind {_quote(kind)}, expected one of '
                f'{self._valid_kinds}',
                request_id,
            )
        try:
            return validator.validate_python(item)
        except (ValidationError, RecursionError) as exc:
            raise FrameError(_describe_error(exc), request_id) from exc

    def _get_validator(self, kind: str) -> SchemaValidator | None:
        validator = self._validators.get(kind)
        if validator is None and kind in self._types:
            validator = _build_validator(self._types[kind])
            self._validators[kind] = validator
        return validator


def encode_cbor(messages: list[Any]) -> bytes:
    """Encode messages as one binary frame.

    Raises
    ------
    EncodingError
        A text is not valid UTF-8.
    """
    plain = [to_plain(message) for message in messages]
    try:
        return cbor2.dumps(plain[0] if len(plain) == 1 else plain)
    except (UnicodeEncodeError, cbor2.CBOREncodeError) as exc:
        raise EncodingError(f'message cannot be encoded: {exc}') from exc


def encode_compressed(messages: list[Any]) -> bytes:
    """Encode messages as one binary frame, compressed if it is large."""
    frame = encode_cbor(messages)
    if len(frame) < MIN_COMPRESSED_BYTES:
        return frame
    tag = cbor2.CBORTag(COMPRESSED_FRAME_TAG, zlib.compress(frame))
    return cbor2.dumps(tag)


def build_caching_encoder(
    encode: Callable[[list[Any]], bytes], *cached_types: type[Any]
) -> Callable[[list[Any]], bytes]:
    """Return an encoder that encodes a message sent on many links only once.

    Parameters
    ----------
    encode : callable
        Encodes a list of messages.
    *cached_types : type
        Types of the messages whose frames are kept. Such a message must not
        be changed after it has been sent.
    """
    frames: dict[int, tuple[Any, bytes]] = {}

    def encode_once(messages: list[Any]) -> bytes:
        if len(messages) != 1 or not isinstance(messages[0], cached_types):
            return encode(messages)
        # The message is kept with its frame, so that no other object can
        # have its id.
        cached = frames.pop(id(messages[0]), None)
        if cached is None:
            cached = (messages[0], encode(messages))
        frames[id(messages[0])] = cached
        if len(frames) > CACHED_FRAMES:
            del frames[next(iter(frames))]
        return cached[1]

    return encode_once


def encode_json(messages: list[Any]) -> str:
    """Encode messages as one text frame; bytes become hex objects."""
    plain = [to_plain(message) for message in messages]
    value = plain[0] if len(plain) == 1 else plain
    return json.dumps(value, default=_encode_json_bytes)


def to_plain(message: Any) -> dict[str, Any]:
    """Convert a message to a mapping that can be encoded.

    Fields that are None or have their default value are omitted, which
    reduces the size of a frame by about half.
    """
    plain = {}
    for name, default in _field_defaults(type(message)):
        value = getattr(message, name)
        if value is None or value is default:
            continue
        plain[name] = _value_to_plain(value)
    plain['kind'] = message.kind
    return plain


def _value_to_plain(value: Any) -> Any:
    value_type = type(value)
    if value_type in (str, int, float, bytes, bool):
        return value
    if dataclasses.is_dataclass(value):
        return {
            name: _value_to_plain(getattr(value, name))
            for name, _ in _field_defaults(value_type)
        }
    if value_type is dict:
        return {k: _value_to_plain(item) for k, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [_value_to_plain(item) for item in value]
    return value


_FIELD_DEFAULTS: dict[type[Any], tuple[tuple[str, Any], ...]] = {}


def _field_defaults(message_type: type[Any]) -> tuple[tuple[str, Any], ...]:
    defaults = _FIELD_DEFAULTS.get(message_type)
    if defaults is None:
        defaults = tuple(
            (item.name, item.default)
            for item in dataclasses.fields(message_type)
        )
        _FIELD_DEFAULTS[message_type] = defaults
    return defaults


def _build_validator(message_type: type[Any]) -> SchemaValidator:
    schema = copy.deepcopy(TypeAdapter(message_type).core_schema)
    _make_strict(schema)
    return SchemaValidator(schema)


def _make_strict(schema: Any) -> None:
    # Strict mode for the whole schema would reject a mapping where a data
    # class is expected. Therefore only scalar types are made strict.
    if isinstance(schema, dict):
        if schema.get('type') in _SCALAR_TYPES:
            schema['strict'] = True
        if schema.get('type') == 'int':
            # Larger integers use much memory and cannot be converted to text.
            schema.setdefault('ge', MIN_INT)
            schema.setdefault('le', MAX_INT)
        if schema.get('type') == 'dataclass-args':
            schema['extra_behavior'] = 'forbid'
        for child in schema.values():
            _make_strict(child)
    elif isinstance(schema, (list, tuple)):
        for child in schema:
            _make_strict(child)


def _parse_frame(frame: bytes | str) -> Any:
    try:
        if not isinstance(frame, str):
            return cbor2.loads(frame)
        value = json.loads(frame)
        if '\\u' in frame:
            # An escape may stand for half of a surrogate pair, which cannot
            # be passed on.
            json.dumps(value, ensure_ascii=False).encode()
        return value
    except (ValueError, cbor2.CBORError, RecursionError) as exc:
        raise FrameError(f'malformed frame: {exc}') from exc


def _decompress(tag: cbor2.CBORTag) -> bytes:
    if tag.tag != COMPRESSED_FRAME_TAG or not isinstance(tag.value, bytes):
        raise FrameError(
            f'malformed frame: CBOR tag {tag.tag}, expected a message object '
            f'or tag {COMPRESSED_FRAME_TAG} of a byte string'
        )
    decompressor = zlib.decompressobj()
    try:
        frame = decompressor.decompress(tag.value, MAX_DECOMPRESSED_BYTES)
    except zlib.error as exc:
        raise FrameError(f'malformed compressed frame: {exc}') from exc
    if not decompressor.eof:
        raise FrameError(
            'compressed frame is truncated or too long: expected at most '
            f'{MAX_DECOMPRESSED_BYTES} bytes'
        )
    return frame


def _describe_error(exc: Exception) -> str:
    if not isinstance(exc, ValidationError):
        return str(exc)
    first = exc.errors(include_url=False)[0]
    path = '.'.join(str(part) for part in first['loc'])
    location = path[:MAX_QUOTED_CHARS] or '(message)'
    return f'{location}: {first["msg"]}, got {_quote(first.get("input"))}'


def _quote(value: Any) -> str:
    try:
        return f'{value!r:.{MAX_QUOTED_CHARS}}'
    except (ValueError, RecursionError):
        # Integers with more than 4,300 digits, or deeply nested values.
        return f'a value of type {type(value).__name__}'


def _encode_json_bytes(value: Any) -> Any:
    if isinstance(value, bytes):
        return {'hex': value.hex()}
    raise TypeError(f'cannot encode {type(value).__name__} as JSON')
