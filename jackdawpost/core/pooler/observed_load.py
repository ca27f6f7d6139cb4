"""Load of an upstream, observed from the durations of statements.

The duration of a statement contains the time that it waited for a slot. It is
separated from the time that statements of this kind take without a wait, so
that an upstream that is busy is told from one that is slow.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

# Assumed until an upstream has answered a statement.
INITIAL_SERVICE_MS = 20.0
# Weights of the latest statement in the moving averages. Queues change within
# a second, the speed of an upstream does not.
WAIT_WEIGHT = 0.2
SERVICE_WEIGHT = 0.05
# The duration without a wait is the lower quartile of a kind: one that only
# few statements undercut, which a single exceptional one does not determine.
# Each statement moves it by the first factor if it took longer, otherwise by
# the second one, so that they balance at the quartile.
RAISE_FACTOR = 1.025
LOWER_FACTOR = 0.925
# Bounds the memory of a pooler whose configuration changes often.
MAX_KINDS = 64


@dataclass(slots=True)
class ObservedLoad:
    """Moving averages of one upstream, as one pooler sees it.

    Parameters
    ----------
    service_ms : float
        Duration of a statement without the wait, with the network.
    wait_ms : float
        Time that a statement waits for a slot.
    answers : int
        Number of statements in the averages.
    answered_ms, refused_ms : float, optional
        Time of the latest answer, and of the latest refusal for lack of a
        slot.
    unqueued_ms : dict of str to float
        Duration without a wait by kind of statement.
    """

    service_ms: float = INITIAL_SERVICE_MS
    wait_ms: float = 0.0
    answers: int = 0
    answered_ms: float | None = None
    refused_ms: float | None = None
    unqueued_ms: dict[str, float] = field(default_factory=dict)


def record_duration(
    load: ObservedLoad, kind: str, duration_ms: float, now_ms: float
) -> None:
    """Record a completed statement of a kind."""
    if kind not in load.unqueued_ms and len(load.unqueued_ms) >= MAX_KINDS:
        load.unqueued_ms.clear()
    unqueued_ms = load.unqueued_ms.get(kind, duration_ms)
    is_longer = duration_ms > unqueued_ms
    unqueued_ms *= RAISE_FACTOR if is_longer else LOWER_FACTOR
    load.unqueued_ms[kind] = unqueued_ms
    service_ms = min(duration_ms, unqueued_ms)
    wait_ms = duration_ms - service_ms
    load.answers += 1
    weight = max(SERVICE_WEIGHT, 1 / load.answers)
    load.service_ms += weight * (service_ms - load.service_ms)
    load.wait_ms += WAIT_WEIGHT * (wait_ms - load.wait_ms)
    load.answered_ms = now_ms
