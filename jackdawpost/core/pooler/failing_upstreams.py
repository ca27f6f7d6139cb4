"""Ejection of upstreams that fail a share of the reads.

Such an upstream completes enough statements not to be stalled, and its probes
succeed. A failed read counts against it only after the same read has
succeeded on another upstream: the fault is then not in the statement.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from jackdawpost.core.retry import SLOW_START_MIN_FRACTION
from jackdawpost.core.retry import SLOW_START_MS

# Evidence is counted in windows of this length and used for two of them.
WINDOW_MS = 2_500.0
# Least evidence for an ejection.
MIN_ANSWERS = 10
MIN_FAILURES = 5
# Share of failed reads for an ejection. Failures below it, on one of three
# upstreams, are within the budget for repeated reads.
EJECTION_SHARE = 0.2
# The share must also be this many times that of another upstream. A cause
# that affects all upstreams ejects none.
EJECTION_RATIO = 3.0
# Failures that the other upstream would have with the same share. With fewer,
# the difference may be chance.
MIN_EXPECTED_FAILURES = 10
# Length of an ejection, doubled with each further one.
INITIAL_EJECTION_MS = 2_000.0
MAX_EJECTION_MS = 32_000.0
# After this time without an ejection, the next one is short again.
REPETITION_MEMORY_MS = 30_000.0
# Multiples of the golden ratio, modulo 1, spread consecutive statements
# evenly. A statement keeps its value however often it is looked at.
GOLDEN_RATIO = 0.6180339887


@dataclass(slots=True, kw_only=True)
class ReadEvidence:
    """Outcomes of reads on one upstream, and its latest ejection.

    Parameters
    ----------
    answers, failures : int
        Reads that succeeded, and reads that failed and then succeeded on
        another upstream, in the current window.
    earlier_answers, earlier_failures : int
        The same of the window before.
    window_end_ms : float
        End of the current window.
    ejections : int
        Ejections without a long pause between them.
    ejected_until_ms : float
        End of the latest ejection, at which the slow start begins.
    """

    answers: int = 0
    failures: int = 0
    earlier_answers: int = 0
    earlier_failures: int = 0
    window_end_ms: float = 0.0
    ejections: int = 0
    ejected_until_ms: float = -REPETITION_MEMORY_MS


def add_answer(evidence: ReadEvidence, now_ms: float) -> None:
    """Count a read that succeeded."""
    if now_ms >= evidence.window_end_ms:
        _start_window(evidence, now_ms)
    evidence.answers += 1


def add_failure(evidence: ReadEvidence, now_ms: float) -> None:
    """Count a read that failed and then succeeded on another upstream."""
    if now_ms >= evidence.window_end_ms:
        _start_window(evidence, now_ms)
    evidence.failures += 1


def failures_and_total(
    evidence: ReadEvidence, now_ms: float
) -> tuple[int, int]:
    """Return the failed reads and all reads of both windows."""
    if now_ms >= evidence.window_end_ms:
        _start_window(evidence, now_ms)
    failures = evidence.failures + evidence.earlier_failures
    answers = evidence.answers + evidence.earlier_answers
    return failures, failures + answers


def must_eject(
    evidence: ReadEvidence, others: Iterable[ReadEvidence], now_ms: float
) -> bool:
    """Return whether an upstream fails too many reads.

    Parameters
    ----------
    others : iterable of ReadEvidence
        Evidence of the other upstreams that reads can use. Without any, the
        upstream is the last one and is kept.
    """
    failures, total = failures_and_total(evidence, now_ms)
    if failures < MIN_FAILURES or total < MIN_ANSWERS:
        return False
    share = failures / total
    if share < EJECTION_SHARE:
        return False
    for other in others:
        other_failures, other_total = failures_and_total(other, now_ms)
        expected = share * other_total
        if expected < MIN_EXPECTED_FAILURES:
            continue
        if other_failures * EJECTION_RATIO <= expected:
            return True
    return False


def eject(evidence: ReadEvidence, now_ms: float) -> float:
    """Start an ejection, discard the evidence and return the length in ms."""
    if now_ms >= evidence.ejected_until_ms + REPETITION_MEMORY_MS:
        evidence.ejections = 0
    duration_ms = min(
        MAX_EJECTION_MS, INITIAL_EJECTION_MS * 2**evidence.ejections
    )
    evidence.ejections += 1
    evidence.ejected_until_ms = now_ms + duration_ms
    evidence.window_end_ms = 0.0
    evidence.answers = evidence.failures = 0
    evidence.earlier_answers = evidence.earlier_failures = 0
    return duration_ms


def admits(evidence: ReadEvidence, number: int, now_ms: float) -> bool:
    """Return whether an upstream may get the read with this number.

    During the slow start it may get a share of the reads that grows with
    time.
    """
    elapsed_ms = now_ms - evidence.ejected_until_ms
    if elapsed_ms >= SLOW_START_MS:
        return True
    if elapsed_ms < 0:
        return False
    share = max(SLOW_START_MIN_FRACTION, elapsed_ms / SLOW_START_MS)
    return number * GOLDEN_RATIO % 1.0 < share


def _start_window(evidence: ReadEvidence, now_ms: float) -> None:
    is_next = now_ms < evidence.window_end_ms + WINDOW_MS
    evidence.earlier_answers = evidence.answers if is_next else 0
    evidence.earlier_failures = evidence.failures if is_next else 0
    evidence.answers = evidence.failures = 0
    evidence.window_end_ms = now_ms + WINDOW_MS
