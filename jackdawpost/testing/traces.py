"""Reads recorded traces, replays them and compares stated outcomes."""

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
CODECS = {'proxy': PROXY_CODECS, 'control': CONTROL_CODECS}

Plain = dict[str, Any]


class Outcome(BaseModel):
    """Stated outcome of a trace, written from a requirement.

    A pattern matches an effect if every field of the pattern equals or,
    for maps, matches that of the effect. A `send` effect is also tried with
    each of its messages alone under the key ``message``.

    Parameters
    ----------
    requirement : str
        What the trace proves.
    answers : list of dict
        Answers to callers: each pattern must match exactly one.
    must : list of dict
        Patterns that at least one effect matches.
    never : list of dict
        Patterns that no effect matches.
    """

    model_config = ConfigDict(extra='forbid')

    format: int
    requirement: str
    answers: list[Plain] = []
    must: list[Plain] = []
    never: list[Plain] = []


@dataclass(slots=True)
class Step:
    """One event and its effects, as plain data.

    Parameters
    ----------
    line : int
        Line of the event in the trace, counted from 1.
    """

    line: int
    event: Plain
    effects: list[Plain]


def read_outcome(path: str | Path) -> Outcome:
    """Read a stated outcome.

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
    """Feed a trace to the reducer that it was recorded from.

    Yields
    ------
    Step
        One for each event.

    Raises
    ------
    TraceError
        The trace is unreadable; names the line and the reason.
    """
    try:
        lines = Path(path).read_text(encoding='utf-8').splitlines()
    except (OSError, UnicodeDecodeError) as exc:
        raise TraceError(f'{path}: {exc}') from exc
    if not lines:
        raise TraceError(f'{path}: line 1: the trace is empty')
    role, reduce, first_effects = _create_state(path, lines[0])
    links: dict[int, str] = {}
    yield Step(1, {}, [to_plain(effect) for effect in first_effects])
    for number, line in enumerate(lines[1:], start=2):
        event = _read_event(path, number, line, CODECS[role], links)
        effects = reduce(event)
        for effect in effects:
            if effect.kind == 'connect':
                links[effect.conn] = effect.link
        yield Step(
            number, to_plain(event), [to_plain(effect) for effect in effects]
        )


def compare_outcome(steps: list[Step], outcome: Outcome) -> str | None:
    """Return the first difference to a stated outcome, or None."""
    candidates = [
        (step.line, plain)
        for step in steps
        for effect in step.effects
        for plain in _expand(effect)
    ]
    for pattern in outcome.answers:
        wrapped = {'kind': 'send', 'message': {'kind': 'answer', **pattern}}
        lines = _lines_matching(candidates, wrapped)
        if len(lines) != 1:
            return f'answer {pattern}: found at lines {lines}, valid is one'
    for pattern in outcome.must:
        if not _lines_matching(candidates, pattern):
            return f'no effect matches {pattern}'
    for pattern in outcome.never:
        lines = _lines_matching(candidates, pattern)
        if lines:
            return f'line {lines[0]}: an effect matches {pattern}'
    return None


def _create_state(
    path: str | Path, line: str
) -> tuple[str, Callable[[Event], list[Effect]], list[Effect]]:
    try:
        header = TraceHeader(**json.loads(line))
        if header.format != TRACE_FORMAT:
            raise TraceError(
                f'format {header.format}: valid is {TRACE_FORMAT}'
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
    number: int,
    line: str,
    codecs: dict[str, FrameCodec],
    links: dict[int, str],
) -> Event:
    try:
        value = _restore_bytes(json.loads(line))
        event: Event = EVENT_CODEC.validate(value)
        if isinstance(event, ConnOpened):
            links[event.conn] = event.link
        if isinstance(event, Received):
            codec = codecs[links[event.conn]]
            event.messages = [codec.validate(m) for m in event.messages]
    except (ValueError, KeyError, ValidationError, JackdawpostError) as exc:
        raise TraceError(f'{path}: line {number}: {exc}') from exc
    return event


def _restore_bytes(value: Any) -> Any:
    if isinstance(value, dict):
        if set(value) == {'hex'}:
            return bytes.fromhex(value['hex'])
        return {key: _restore_bytes(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_restore_bytes(item) for item in value]
    return value


def _expand(effect: Plain) -> Iterator[Plain]:
    yield effect
    for message in effect.get('messages', ()):
        yield {'kind': 'send', 'conn': effect['conn'], 'message': message}


def _lines_matching(
    candidates: list[tuple[int, Plain]], pattern: Plain
) -> list[int]:
    return [line for line, plain in candidates if _matches(plain, pattern)]


def _matches(value: Any, pattern: Any) -> bool:
    if isinstance(pattern, dict):
        return isinstance(value, dict) and all(
            key in value and _matches(value[key], item)
            for key, item in pattern.items()
        )
    return bool(value == pattern)
