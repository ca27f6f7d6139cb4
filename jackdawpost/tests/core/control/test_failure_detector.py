"""Failures of the judgement about primaries."""

from __future__ import annotations

from jackdawpost.core.control import failure_detector
from jackdawpost.core.control.failure_detector import FailureDetector

PROXIES = ('p1', 'p2', 'p3', 'p4')


def detector():
    return FailureDetector(refused_ms=200, silent_ms=800, live_ms=1_500)


def tell(found, now_ms, **states):
    for proxy, state in states.items():
        failure_detector.record_evidence(found, now_ms, proxy, {'u': state})


def failed(found, now_ms):
    at_ms = failure_detector.failed_at_ms(found, now_ms, 'u')
    return at_ms is not None and at_ms <= now_ms


def test_half_of_the_proxies_is_not_enough():
    # Guards against a promotion because a rack with two of four proxies is
    # cut off from the primary.
    found = detector()
    for now_ms in range(0, 2_000, 400):
        tell(found, now_ms, p1='refused', p2='refused', p3='up', p4='up')
        assert not failed(found, now_ms)
    tell(found, 2_000, p3='refused')
    assert not failed(found, 2_199)
    assert failed(found, 2_200)


def test_silence_needs_longer_than_refusal():
    # Guards against replacing a primary that pauses for half a second.
    found = detector()
    tell(found, 0, p1='silent', p2='silent', p3='silent', p4='up')
    assert not failed(found, 799)
    assert failed(found, 800)


def test_one_answer_starts_the_time_anew():
    # Guards against flapping: a slow primary that answers now and then.
    found = detector()
    for now_ms in range(0, 4_000, 700):
        state = 'up' if now_ms % 1_400 else 'silent'
        tell(found, now_ms, p1=state, p2=state, p3=state)
        assert not failed(found, now_ms)


def test_change_of_the_objection_does_not_start_anew():
    # Guards against a dead primary that is refused and silent in turns.
    found = detector()
    for now_ms in range(0, 900, 100):
        state = 'silent' if now_ms % 200 else 'refused'
        tell(found, now_ms, p1=state, p2=state, p3=state)
    assert failed(found, 800)


def test_proxy_whose_reports_stop_does_not_vote():
    # Guards against a dead proxy whose last word blocks or decides.
    found = detector()
    tell(found, 0, p1='up', p2='up', p3='up')
    tell(found, 1_000, p4='refused')
    assert not failed(found, 1_499)
    assert failed(found, 1_500)
    assert not failed(found, 2_500)


def test_single_live_proxy_decides():
    # Guards against a deployment with one proxy that never fails over.
    found = detector()
    tell(found, 0, p1='refused')
    assert failed(found, 200)


def test_returning_proxy_starts_from_its_new_reports():
    # Guards against evidence from before a proxy's absence.
    found = detector()
    tell(found, 0, p1='silent')
    tell(found, 1_600, p1='silent')
    assert not failed(found, 1_600)
    assert failed(found, 2_400)


def test_evidence_from_before_its_leadership_does_not_count():
    # Guards against replacing a database again right after its promotion.
    found = detector()
    tell(found, 0, p1='silent')
    failure_detector.watch(found, 'u', 1_000)
    tell(found, 1_000, p1='silent')
    assert not failed(found, 1_700)
    assert failed(found, 1_800)


def test_primary_that_gets_nothing_done_is_replaced():
    # It answers the probes of every proxy.
    found = detector()
    tell(found, 0, p1='stalled', p2='stalled', p3='stalled', p4='up')
    assert not failed(found, 799)
    assert failed(found, 800)
