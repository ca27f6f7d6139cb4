"""Measures the processor time of the proxy's reducer per statement.

The reducer runs in this process without network connections.

Run ``python -m bench.proxy_reducer_cost [STATEMENTS] [CALLERS]``.
"""

from __future__ import annotations

import sys
import time
from typing import Any

from jackdawpost.core.effects import Effect
from jackdawpost.core.events import Event
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.proxy.reducer import reduce_proxy
from jackdawpost.core.proxy.state import ProxyState
from jackdawpost.testing.proxy_simulation import ProxySimulation

POSITION = LogPosition(1, 10)
IN_FLIGHT = 4
STATEMENT_KINDS: dict[str, dict[str, Any]] = {
    'write': {'access': 'write'},
    'fresh read': {'access': 'read'},
    'stale read': {'access': 'read', 'max_age_ms': 5_000},
}


class ReducerTimer:
    """Sums the processor time in the reducer, including control traffic."""

    def __init__(self) -> None:
        self.processor_time_s = 0.0

    def reduce(self, state: ProxyState, event: Event) -> list[Effect]:
        """Apply an event and add its processor time."""
        started_s = time.thread_time()
        effects = reduce_proxy(state, event)
        self.processor_time_s += time.thread_time() - started_s
        return effects


def measure(
    name: str, statements: int, sim: ProxySimulation, callers: list[int]
) -> None:
    """Print the processor time of one kind of statement.

    In each simulated millisecond the next `IN_FLIGHT` callers send one
    statement each, and the upstream answers all of them.
    """
    fields = dict(STATEMENT_KINDS[name])
    send_statement = sim.write if fields.pop('access') == 'write' else sim.read
    timer = ReducerTimer()
    sim.reduce = timer.reduce
    answered = 0
    for number in range(statements):
        conn = callers[number % len(callers)]
        send_statement(conn, number + 1, **fields)
        if number % IN_FLIGHT != IN_FLIGHT - 1:
            continue
        while sim.statements:
            upstream_conn, message = sim.statements.pop(0)
            sim.reply(upstream_conn, message, position=POSITION)
        sim.advance(1)
    for messages in sim.answers.values():
        answered += sum(m.outcome == 'done' for m in messages)
        messages.clear()
    print(
        f'{name}: '
        f'{timer.processor_time_s / statements * 1e6:.1f} us per statement, '
        f'{answered} of {statements} done'
    )


def main() -> None:
    """Measure writes, fresh reads and stale reads."""
    statements = int(sys.argv[1]) if len(sys.argv) > 1 else 20_000
    caller_count = int(sys.argv[2]) if len(sys.argv) > 2 else 5_300
    sim = ProxySimulation()
    sim.start()
    callers = [sim.connect_caller() for _ in range(caller_count)]
    for name in STATEMENT_KINDS:
        measure(name, statements, sim, callers)


if __name__ == '__main__':
    main()
