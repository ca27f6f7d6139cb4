"""Frames: CBOR or JSON on the wire, validated data classes inside."""

from __future__ import annotations

import copy
import dataclasses
import json
from typing import Any

import cbor2
from pydantic import TypeAdapter
from pydantic import ValidationError
from pydantic_core import SchemaValidator

from jackdawpost.errors import ProtocolError

MAX_MESSAGES_PER_FRAME = 64
MAX_FRAME_BYTES = 1 << 20
# A caller's frame may grow when it is passed on: floats take 9 bytes each.
MAX_UPSTREAM_FRAME_BYTES = 2 << 20
MAX_INT = 2**63 - 1
MIN_INT = -(2**63)
MAX_QUOTED_CHARS = 120
MAX_DETAIL_CHARS = 500

_STRICT_SCALARS = frozenset({'int', 'float', 'bool', 'str', 'bytes'})


class FrameError(ProtocolError):
    """A frame cannot be decoded.

    Parameters
    ----------
    request_id : int
        Id of the offending request if it could be read, else 0.
    """

    def __init__(self, message: str, request_id: int = 0) -> None:
        # Quoted input may hold characters that no frame can carry.
        text = message.encode('ascii', 'backslashreplace').decode()
        super().__init__(text[:MAX_DETAIL_CHARS])
        self.request_id = request_id


class FrameCodec:
    """Decodes the messages of one link and encodes any message.

    Parameters
    ----------
    message_types : sequence of type
        Data classes with a literal ``kind`` that may be received.
    """

    def __init__(self, *message_types: type[Any]) -> None:
        self._types = {
            item.__dataclass_fields__['kind'].default: item
            for item in message_types
        }
        # Built at the first message of a kind: a start after a failure must
        # not wait for validators that it may never use.
        self._validators: dict[str, SchemaValidator] = {}
        self._valid_kinds = ', '.join(sorted(self._types))

    def decode(self, frame: bytes | str) -> list[Any]:
        """Decode and validate all messages of a frame.

        Parameters
        ----------
        frame : bytes or str
            Binary frames are CBOR, text frames JSON.

        Returns
        -------
        list
            Validated data classes, in order.

        Raises
        ------
        FrameError
            The frame is malformed; nothing of it may be used.
        """
        value = _parse_frame(frame)
        items = value if isinstance(value, list) else [value]
        if not 1 <= len(items) <= MAX_MESSAGES_PER_FRAME:
            raise FrameError(
                f'frame with {len(items)} messages: valid are 1 to '
                f'{MAX_MESSAGES_PER_FRAME}'
            )
        return [self.validate(item) for item in items]

    def validate(self, item: Any) -> Any:
        """Validate one message that is already plain data."""
        if not isinstance(item, dict):
            raise FrameError(
                f'{type(item).__name__} in place of a message object'
            )
        request_id = item.get('id', 0)
        if type(request_id) is not int or not (
            MIN_INT <= request_id <= MAX_INT
        ):
            request_id = 0
        kind = item.get('kind')
        validator = (
            self._find_validator(kind) if isinstance(kind, str) else None
        )
        if validator is None:
            raise FrameError(
                f'kind {_quote(kind)} is not valid here: {self._valid_kinds}',
                request_id,
            )
        try:
            return validator.validate_python(item)
        except (ValidationError, RecursionError) as exc:
            raise FrameError(_describe(exc), request_id) from exc

    def _find_validator(self, kind: str) -> SchemaValidator | None:
        validator = self._validators.get(kind)
        if validator is None and kind in self._types:
            validator = _build_validator(self._types[kind])
            self._validators[kind] = validator
        return validator


def encode_cbor(messages: list[Any]) -> bytes:
    """Encode messages as one binary frame."""
    if len(messages) == 1:
        return cbor2.dumps(to_plain(messages[0]))
    return cbor2.dumps([to_plain(message) for message in messages])


def encode_json(messages: list[Any]) -> str:
    """Encode messages as one text frame; bytes become base64 objects."""
    plain = [to_plain(message) for message in messages]
    value = plain[0] if len(plain) == 1 else plain
    return json.dumps(value, default=_encode_json_bytes)


def to_plain(message: Any) -> dict[str, Any]:
    """Turn a data class into a mapping without fields at their default.

    Optional fields that are None, empty or false are left out, which about
    halves the size of a frame.
    """
    plain = {}
    for name, default in _field_defaults(type(message)):
        value = getattr(message, name)
        if value is None or value is default:
            continue
        plain[name] = _plain_value(value)
    plain['kind'] = message.kind
    return plain


def _plain_value(value: Any) -> Any:
    value_type = type(value)
    if value_type in (str, int, float, bytes, bool):
        return value
    if dataclasses.is_dataclass(value):
        return {
            name: _plain_value(getattr(value, name))
            for name, _ in _field_defaults(value_type)
        }
    if value_type is dict:
        return {k: _plain_value(item) for k, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [_plain_value(item) for item in value]
    return value


_DEFAULTS: dict[type[Any], tuple[tuple[str, Any], ...]] = {}


def _field_defaults(message_type: type[Any]) -> tuple[tuple[str, Any], ...]:
    known = _DEFAULTS.get(message_type)
    if known is None:
        known = tuple(
            (item.name, item.default)
            for item in dataclasses.fields(message_type)
        )
        _DEFAULTS[message_type] = known
    return known


def _build_validator(message_type: type[Any]) -> SchemaValidator:
    schema = copy.deepcopy(TypeAdapter(message_type).core_schema)
    _tighten(schema)
    return SchemaValidator(schema)


def _tighten(schema: Any) -> None:
    # Strict mode for a whole schema would refuse mappings in place of data
    # classes, so only the scalars are made strict.
    if isinstance(schema, dict):
        if schema.get('type') in _STRICT_SCALARS:
            schema['strict'] = True
        if schema.get('type') == 'int':
            # Larger integers cost memory and cannot be printed.
            schema.setdefault('ge', MIN_INT)
            schema.setdefault('le', MAX_INT)
        if schema.get('type') == 'dataclass-args':
            schema['extra_behavior'] = 'forbid'
        for part in schema.values():
            _tighten(part)
    elif isinstance(schema, (list, tuple)):
        for part in schema:
            _tighten(part)


def _parse_frame(frame: bytes | str) -> Any:
    try:
        if isinstance(frame, str):
            return json.loads(frame)
        return cbor2.loads(frame)
    except (ValueError, cbor2.CBORError, RecursionError) as exc:
        raise FrameError(f'frame cannot be parsed: {exc}') from exc


def _describe(exc: Exception) -> str:
    if not isinstance(exc, ValidationError):
        return str(exc)
    first = exc.errors(include_url=False)[0]
    path = '.'.join(str(part) for part in first['loc'])
    place = path[:MAX_QUOTED_CHARS] or '(message)'
    return f'{place}: {first["msg"]}, got {_quote(first.get("input"))}'


def _quote(value: Any) -> str:
    try:
        return f'{value!r:.{MAX_QUOTED_CHARS}}'
    except (ValueError, RecursionError):
        # Integers of more than 4,300 digits and deep nesting.
        return f'a value of type {type(value).__name__}'


def _encode_json_bytes(value: Any) -> Any:
    if isinstance(value, bytes):
        return {'hex': value.hex()}
    raise TypeError(f'{type(value).__name__} cannot be written as JSON')
