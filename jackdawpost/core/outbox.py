"""Append effects to the outbox of a reducer's state.

While a reducer handles an event, it collects the resulting effects in the
outbox and returns them at the end.
"""

from __future__ import annotations

from typing import Any
from typing import Literal
from typing import Protocol

from jackdawpost.core.effects import CountMetric
from jackdawpost.core.effects import Effect
from jackdawpost.core.effects import LogLine
from jackdawpost.core.effects import ObserveMetric
from jackdawpost.core.effects import Send


class HasOutbox(Protocol):
    """Reducer state that has an outbox.

    Parameters
    ----------
    outbox : list of Effect
        Effects of the event being handled, in order.
    """

    outbox: list[Effect]


def send(state: HasOutbox, conn: int, *messages: Any) -> None:
    """Append a `Send` effect with all messages in one frame."""
    state.outbox.append(Send(conn=conn, messages=list(messages)))


def log(
    state: HasOutbox,
    level: Literal['debug', 'info', 'warning', 'error'],
    event: str,
    **fields: Any,
) -> None:
    """Append a `LogLine` effect."""
    state.outbox.append(LogLine(level=level, event=event, fields=fields))


def count(state: HasOutbox, name: str, by: int = 1) -> None:
    """Append a `CountMetric` effect that adds to a counter."""
    state.outbox.append(CountMetric(name=name, by=by))


def observe(state: HasOutbox, name: str, value_ms: float) -> None:
    """Append an `ObserveMetric` effect that records a duration."""
    state.outbox.append(ObserveMetric(name=name, value_ms=value_ms))


def pop_effects(state: HasOutbox) -> list[Effect]:
    """Return the effects in the outbox and empty it."""
    effects = state.outbox
    state.outbox = []
    return effects
