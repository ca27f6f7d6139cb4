"""Seeds whose runs have failed before, for the option ``--regressions``.

A change of the weights or draws in `soak.plan` gives a seed a different plan.
Its entry then stays as a record, and the test named in it covers the cause.
"""

from __future__ import annotations

# Seed, length of its faults in seconds, cause and the test that covers it.
REGRESSIONS: tuple[tuple[int, float, str], ...] = (
    (
        7,
        15.0,
        'a write sent to a primary that did not respond was cut off without '
        'an answer at the end of a shutdown; '
        'tests/core/pooler/test_sessions.py, '
        'test_statement_without_answer_gets_its_final_answer_before_the_end',
    ),
    (
        8,
        15.0,
        'not a fault of the product: SIGTERM ended a process by the signal '
        'while Python was still loading the program; the soak test now '
        'accepts that',
    ),
    (
        2,
        15.0,
        'not a fault of the product: when its apply delay was increased, a '
        'stand-in database reverted commits that it had applied, which made '
        'reads look stale',
    ),
)
