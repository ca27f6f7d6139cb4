"""Replay of recorded traces, and comparison of the effects with a file."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import jsonc
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import ValidationError

from jackdawpost.core.control.reducer import config_from_settings
from jackdawpost.core.control.reducer import new_control
from jackdawpost.core.control.reducer import reduce_control
from jackdawpost.core.effects import Effect
from jackdawpost.core.events import ConnClosed
from jackdawpost.core.events import ConnOpened
from jackdawpost.core.events import DrainRequested
from jackdawpost.core.events import Event
from jackdawpost.core.events import FrameRejected
from jackdawpost.core.events import Persisted
from jackdawpost.core.events import PersistFailed
from jackdawpost.core.events import Received
from jackdawpost.core.events import TimerFired
from jackdawpost.core.proxy.reducer import new_proxy
from jackdawpost.core.proxy.reducer import ProxyConfig
from jackdawpost.core.proxy.reducer import reduce_proxy
from jackdawpost.errors import JackdawpostError
from jackdawpost.errors import TraceError
from jackdawpost.runtime.control_shell import CODECS as CONTROL_CODECS
from jackdawpost.runtime.proxy_shell import CODECS as PROXY_CODECS
from jackdawpost.runtime.recorder import read_restored
from jackdawpost.runtime.recorder import TRACE_FORMAT
from jackdawpost.runtime.recorder import TraceHeader
from jackdawpost.settings.models import ControlSettings
from jackdawpost.settings.models import ProxySettings
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.codec import to_plain

EVENT_CODEC = FrameCodec(
    ConnOpened,
    ConnClosed,
    Received,
    FrameRejected,
    TimerFired,
    DrainRequested,
    Persisted,
    PersistFailed,
)
CODECS_BY_ROLE = {'proxy': PROXY_CODECS, 'control': CONTROL_CODECS}

PlainData = dict[str, Any]


class Outcome(BaseModel):
    """Expected outcome of a trace, written from a requirement.

    Effects are compared with patterns. A pattern matches an effect if each
    of its fields is equal to the field of the effect or, for a map, matches
    it by the same rule. A `send` effect is also compared once for each of its
    messages, with that message under the key ``message``.

    Parameters
    ----------
    requirement : str
        Requirement that the trace shows to be met.
    answers : list of dict
        Patterns of answers to callers; each must match exactly one answer.
    must : list of dict
        Patterns that must match at least one effect.
    never : list of dict
        Patterns that must not match any effect.
    """

    model_config = ConfigDict(extra='forbid')

    format: int
    requirement: str
    answers: list[PlainData] = []
    must: list[PlainData] = []
    never: list[PlainData] = []


@dataclass(slots=True)
class Step:
    """One event and its effects, as plain data.

    Parameters
    ----------
    line : int
        Line of the event in the trace, counted from 1.
    """

    line: int
    event: PlainData
    effects: list[PlainData]


def read_outcome(path: str | Path) -> Outcome:
    """Read the expected outcome of a trace.

    Raises
    ------
    TraceError
        The file cannot be read or is not a valid outcome.
    """
    try:
        return Outcome.model_validate(jsonc.loads(Path(path).read_text()))
    except (OSError, ValueError) as exc:
        raise TraceError(f'{path}: {exc}') from exc


def replay_trace(path: str | Path) -> Iterator[Step]:
    """Run the events of a trace through the reducer of the recorded process.

    Yields
    ------
    Step
        The effects of creating the state, then one step for each event.

    Raises
    ------
    TraceError
        The trace cannot be read; the text has the line and the reason.
    """
    try:
        lines = Path(path).read_text(encoding='utf-8').splitlines()
    except (OSError, UnicodeDecodeError) as exc:
        raise TraceError(f'{path}: {exc}') from exc
    if not lines:
        raise TraceError(f'{path}: line 1: the trace is empty')
    role, reduce, first_effects = _create_reducer(path, lines[0])
    links_by_conn: dict[int, str] = {}
    yield Step(1, {}, [to_plain(effect) for effect in first_effects])
    for line_number, line in enumerate(lines[1:], start=2):
        event = _read_event(
            path, line_number, line, CODECS_BY_ROLE[role], links_by_conn
        )
        effects = reduce(event)
        for effect in effects:
            if effect.kind == 'connect':
                links_by_conn[effect.conn] = effect.link
        yield Step(
            line_number,
            to_plain(event),
            [to_plain(effect) for effect in effects],
        )


def compare_outcome(steps: list[Step], outcome: Outcome) -> str | None:
    """Return the first difference from the expected outcome, or None."""
    candidates = [
        (step.line, plain)
        for step in steps
        for effect in step.effects
        for plain in _expand_messages(effect)
    ]
    for pattern in outcome.answers:
        answer_effect = {
            'kind': 'send',
            'message': {'kind': 'answer', **pattern},
        }
        lines = _find_matching_lines(candidates, answer_effect)
        if len(lines) != 1:
            return f'answer {pattern}: matches lines {lines}, expected one'
    for pattern in outcome.must:
        if not _find_matching_lines(candidates, pattern):
            return f'must: no effect matches {pattern}'
    for pattern in outcome.never:
        lines = _find_matching_lines(candidates, pattern)
        if lines:
            return f'never: line {lines[0]}: an effect matches {pattern}'
    return None


def _create_reducer(
    path: str | Path, line: str
) -> tuple[str, Callable[[Event], list[Effect]], list[Effect]]:
    try:
        header = TraceHeader(**json.loads(line))
        if header.format != TRACE_FORMAT:
            raise TraceError(
                f'trace format {header.format}: valid is {TRACE_FORMAT}'
            )
        if header.role == 'proxy':
            return 'proxy', *_create_proxy(header)
        if header.role == 'control':
            return 'control', *_create_control(header)
    except (ValueError, TypeError, KeyError, JackdawpostError) as exc:
        raise TraceError(f'{path}: line 1: {exc}') from exc
    raise TraceError(
        f'{path}: line 1: role {header.role!r}: valid are proxy, control'
    )


def _create_proxy(
    header: TraceHeader,
) -> tuple[Callable[[Event], list[Effect]], list[Effect]]:
    settings = ProxySettings.model_validate(header.settings)
    cfg = ProxyConfig.from_settings(settings, header.incarnation)
    rng = random.Random(settings.seed)
    state, effects = new_proxy(cfg, rng, header.now_ms)
    return lambda event: reduce_proxy(state, event), effects


def _create_control(
    header: TraceHeader,
) -> tuple[Callable[[Event], list[Effect]], list[Effect]]:
    settings = ControlSettings.model_validate(header.settings)
    cfg = config_from_settings(settings)
    restored = read_restored(header.restored)
    rng = random.Random(settings.seed)
    state, effects = new_control(cfg, rng, restored, header.now_ms)
    return lambda event: reduce_control(state, event), effects


def _read_event(
    path: str | Path,
    line_number: int,
    line: str,
    codecs: dict[str, FrameCodec],
    links_by_conn: dict[int, str],
) -> Event:
    try:
        value = _restore_bytes(json.loads(line))
        event: Event = EVENT_CODEC.validate(value)
        if isinstance(event, ConnOpened):
            links_by_conn[event.conn] = event.link
        if isinstance(event, Received):
            codec = codecs[links_by_conn[event.conn]]
            event.messages = [codec.validate(m) for m in event.messages]
    except (ValueError, KeyError, ValidationError, JackdawpostError) as exc:
        raise TraceError(f'{path}: line {line_number}: {exc}') from exc
    return event


def _restore_bytes(value: Any) -> Any:
    if isinstance(value, dict):
        if set(value) == {'hex'}:
            return bytes.fromhex(value['hex'])
        return {key: _restore_bytes(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_restore_bytes(item) for item in value]
    return value


def _expand_messages(effect: PlainData) -> Iterator[PlainData]:
    yield effect
    for message in effect.get('messages', ()):
        yield {'kind': 'send', 'conn': effect['conn'], 'message': message}


def _find_matching_lines(
    candidates: list[tuple[int, PlainData]], pattern: PlainData
) -> list[int]:
    return [line for line, plain in candidates if _matches(plain, pattern)]


def _matches(value: Any, pattern: Any) -> bool:
    if isinstance(pattern, dict):
        return isinstance(value, dict) and all(
            key in value and _matches(value[key], item)
            for key, item in pattern.items()
        )
    return bool(value == pattern)
