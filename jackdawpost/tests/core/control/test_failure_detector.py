"""Failure detector: majority of the proxies, timeouts, ignored reports."""

from __future__ import annotations

from jackdawpost.core.control import failure_detector
from jackdawpost.core.control.failure_detector import FailureDetector

PROXIES = ('p1', 'p2', 'p3', 'p4')


def make_detector():
    return FailureDetector(refused_ms=200, silent_ms=800, live_ms=1_500)


def record_states(detector, now_ms, **states):
    for proxy, state in states.items():
        failure_detector.record_evidence(detector, now_ms, proxy, {'u': state})


def has_failed(detector, now_ms):
    at_ms = failure_detector.failed_at_ms(detector, now_ms, 'u')
    return at_ms is not None and at_ms <= now_ms


def test_half_of_the_proxies_is_no_majority():
    # Guards against a promotion when a partition separates two of four
    # proxies, such as a rack, from the primary.
    detector = make_detector()
    for now_ms in range(0, 2_000, 400):
        record_states(
            detector, now_ms, p1='refused', p2='refused', p3='up', p4='up'
        )
        assert not has_failed(detector, now_ms)
    record_states(detector, 2_000, p3='refused')
    assert not has_failed(detector, 2_199)
    assert has_failed(detector, 2_200)


def test_silent_timeout_is_longer_than_refused_timeout():
    # Guards against replacing a primary that pauses for half a second.
    detector = make_detector()
    record_states(detector, 0, p1='silent', p2='silent', p3='silent', p4='up')
    assert not has_failed(detector, 799)
    assert has_failed(detector, 800)


def test_up_report_restarts_the_timeout():
    # Guards against flapping with a slow primary that answers occasionally.
    detector = make_detector()
    for now_ms in range(0, 4_000, 700):
        state = 'up' if now_ms % 1_400 else 'silent'
        record_states(detector, now_ms, p1=state, p2=state, p3=state)
        assert not has_failed(detector, now_ms)


def test_change_between_refused_and_silent_keeps_the_timeout():
    # Guards against keeping a dead primary that is reported as refused and
    # as silent by turns.
    detector = make_detector()
    for now_ms in range(0, 900, 100):
        state = 'silent' if now_ms % 200 else 'refused'
        record_states(detector, now_ms, p1=state, p2=state, p3=state)
    assert has_failed(detector, 800)


def test_proxy_without_recent_report_does_not_vote():
    # Guards against counting the last report of a dead proxy for or against
    # a failure.
    detector = make_detector()
    record_states(detector, 0, p1='up', p2='up', p3='up')
    record_states(detector, 1_000, p4='refused')
    assert not has_failed(detector, 1_499)
    assert has_failed(detector, 1_500)
    assert not has_failed(detector, 2_500)


def test_single_live_proxy_is_a_majority():
    # Guards against a deployment with one proxy that never fails over.
    detector = make_detector()
    record_states(detector, 0, p1='refused')
    assert has_failed(detector, 200)


def test_returning_proxy_starts_without_old_observations():
    # Guards against a timeout that includes the time in which the proxy did
    # not report.
    detector = make_detector()
    record_states(detector, 0, p1='silent')
    record_states(detector, 1_600, p1='silent')
    assert not has_failed(detector, 1_600)
    assert has_failed(detector, 2_400)


def test_observations_before_the_promotion_are_ignored():
    # Guards against replacing a database immediately after its promotion.
    detector = make_detector()
    record_states(detector, 0, p1='silent')
    failure_detector.set_primary_since(detector, 'u', 1_000)
    record_states(detector, 1_000, p1='silent')
    assert not has_failed(detector, 1_700)
    assert has_failed(detector, 1_800)


def test_stalled_primary_fails_after_the_silent_timeout():
    # Guards against keeping a primary that answers the probes of every proxy
    # but completes no statements.
    detector = make_detector()
    record_states(
        detector, 0, p1='stalled', p2='stalled', p3='stalled', p4='up'
    )
    assert not has_failed(detector, 799)
    assert has_failed(detector, 800)


def test_majority_of_those_that_watch_a_replica_decides_on_it():
    # In a large deployment only the proxies of a region watch its replicas.
    detector = make_detector()
    record = failure_detector.record_evidence
    record(detector, 0, 'p1', {'u': 'up', 'replica': 'refused'})
    record(detector, 0, 'p2', {'u': 'up'})
    record(detector, 0, 'p3', {'u': 'up'})
    assert failure_detector.is_refused(detector, 10, 'replica')
    assert failure_detector.is_doubted(detector, 10, 'replica')
    record(detector, 20, 'p2', {'u': 'up', 'replica': 'up'})
    assert not failure_detector.is_refused(detector, 30, 'replica')
    assert not failure_detector.is_doubted(detector, 30, 'replica')
    record(detector, 40, 'p3', {'u': 'up', 'replica': 'silent'})
    assert not failure_detector.is_refused(detector, 50, 'replica')
    assert failure_detector.is_doubted(detector, 50, 'replica')
