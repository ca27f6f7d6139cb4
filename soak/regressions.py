"""Seeds that have failed once, and why; play them with --regressions.

A change of the plan's weights or draws gives a seed another plan: then the
old one stays here as a note, and the test named with it guards the cause.
"""

from __future__ import annotations

# Seed, length of its faults in seconds, cause and guard.
REGRESSIONS: tuple[tuple[int, float, str], ...] = (
    (
        7,
        15.0,
        'a write at a silent primary was cut without an answer at the end of '
        'a shutdown; tests/core/pooler/test_sessions.py, '
        'test_statement_without_answer_gets_its_final_answer_before_the_end',
    ),
    (
        8,
        15.0,
        'not a fault of the product: SIGTERM while Python still loaded the '
        'program ended it by the signal; the soak now expects that',
    ),
    (
        2,
        15.0,
        'not a fault of the product: a stand-in that turned slow took back '
        'what it had applied, so that reads looked stale',
    ),
)
