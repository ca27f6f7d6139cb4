"""What every reducer writes into the outbox of its state."""

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
    """State of a reducer.

    Parameters
    ----------
    outbox : list of Effect
        Effects of the event in progress, in their order.
    """

    outbox: list[Effect]


def send(state: HasOutbox, conn: int, *messages: Any) -> None:
    """Send messages as one frame."""
    state.outbox.append(Send(conn=conn, messages=list(messages)))


def log(
    state: HasOutbox,
    level: Literal['debug', 'info', 'warning', 'error'],
    event: str,
    **fields: Any,
) -> None:
    """Write one structured log line."""
    state.outbox.append(LogLine(level=level, event=event, fields=fields))


def count(state: HasOutbox, name: str, by: int = 1) -> None:
    """Add to a counter."""
    state.outbox.append(CountMetric(name=name, by=by))


def observe(state: HasOutbox, name: str, value_ms: float) -> None:
    """Record a duration in milliseconds."""
    state.outbox.append(ObserveMetric(name=name, value_ms=value_ms))


def pop_effects(state: HasOutbox) -> list[Effect]:
    """Return the effects and leave an empty outbox."""
    effects = state.outbox
    state.outbox = []
    return effects
