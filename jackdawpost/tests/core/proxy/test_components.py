"""Tests of freshness, replica choice, admission, retries and permits."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import pytest

from jackdawpost.core.leases.holder import LeaseHolder
from jackdawpost.core.messages.control import GroupLease
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.proxy.admission import AdmissionQueue
from jackdawpost.core.proxy.admission import FRESH_READ
from jackdawpost.core.proxy.admission import STALE_READ
from jackdawpost.core.proxy.admission import WRITE
from jackdawpost.core.proxy.freshness import FreshnessTracker
from jackdawpost.core.proxy.freshness import MAX_SAMPLES
from jackdawpost.core.proxy.permit_holder import PermitHolder
from jackdawpost.core.proxy.replica_choice import CHOOSERS
from jackdawpost.core.proxy.replica_choice import split_by_freshness
from jackdawpost.core.retry import backoff_ms
from jackdawpost.core.retry import RetryBudget
from jackdawpost.core.retry import slow_start_limit


def at(index: int, term: int = 1) -> LogPosition:
    return LogPosition(term, index)


def test_age_is_unknown_without_a_sample_that_is_covered() -> None:
    tracker = FreshnessTracker(1)
    assert tracker.age_ms(at(5), 100) is None
    tracker.record_sample(100, 1, at(6))
    assert tracker.reached_ms(at(5)) == 100
    assert tracker.reached_ms(at(7)) is None
    assert tracker.age_ms(at(5), 150) is None
    assert tracker.age_ms(at(6), 150) == 50


def test_samples_of_another_term_do_not_count() -> None:
    tracker = FreshnessTracker(2)
    assert not tracker.record_sample(100, 1, at(6))
    assert not tracker.record_sample(100, 3, at(6))
    assert tracker.age_ms(at(9), 150) is None


def test_late_probe_answer_does_not_make_data_look_younger() -> None:
    tracker = FreshnessTracker(1)
    tracker.record_sample(200, 1, at(8))
    assert not tracker.record_sample(100, 1, at(8))
    assert not tracker.record_sample(300, 1, at(7))
    assert tracker.age_ms(at(8), 300) == 100


def test_age_is_never_below_zero() -> None:
    tracker = FreshnessTracker(1)
    tracker.record_sample(200, 1, at(8))
    assert tracker.age_ms(at(8), 150) == 0
    assert tracker.required_position(-1, 200) is None


def test_dropping_samples_only_overestimates_ages() -> None:
    tracker = FreshnessTracker(1)
    for index in range(3 * MAX_SAMPLES):
        tracker.record_sample(index, 1, at(index))
    assert len(tracker) <= MAX_SAMPLES
    now_ms = 3.0 * MAX_SAMPLES
    for index in range(0, 3 * MAX_SAMPLES, 7):
        age_ms = tracker.age_ms(at(index), now_ms)
        assert age_ms is None or age_ms >= now_ms - index


@dataclass
class FakeReplica:
    applied: LogPosition
    leaving: bool = False
    evidence: str = 'up'
    term: int = 1
    outstanding: int = 0
    lag_ms: float = 30


def test_unusable_replicas_are_excluded_and_late_ones_separated() -> None:
    good = FakeReplica(at(9))
    late = FakeReplica(at(3))
    too_late = FakeReplica(at(3), lag_ms=300)
    unusable = [
        FakeReplica(at(9), leaving=True),
        FakeReplica(at(9), evidence='silent'),
        FakeReplica(at(9), term=2),
    ]
    replicas = [late, too_late, *unusable, good]
    ready, catching_up = split_by_freshness(replicas, 1, at(5), at(4), 100)
    assert ready == [good]
    assert catching_up == [late]
    assert split_by_freshness(replicas, 1, at(5), at(4), -1)[1] == []


@pytest.mark.parametrize('name', CHOOSERS)
def test_every_strategy_uses_all_replicas_and_is_deterministic(
    name: str,
) -> None:
    replicas = [FakeReplica(at(i)) for i in range(3)]
    drawn = []
    for _ in range(2):
        rng = Random(7)
        choose = CHOOSERS[name]
        drawn.append([choose(replicas, rng, turn) for turn in range(60)])
    assert drawn[0] == drawn[1]
    assert {r.applied for r in drawn[0]} == {r.applied for r in replicas}
    replicas[0].outstanding = 5
    if name in ('two_choices', 'least_outstanding'):
        chosen = [choose(replicas[:2], rng, turn) for turn in range(20)]
        assert replicas[0] not in chosen


@dataclass
class Item:
    priority: int
    due_ms: float = 1_000
    queued: bool = False


def test_writes_leave_the_queue_before_reads() -> None:
    queue: AdmissionQueue[Item] = AdmissionQueue(10)
    items = [Item(STALE_READ), Item(FRESH_READ), Item(WRITE)]
    for item in items:
        queue.push(item)
    queue.remove(items[1])
    assert queue.pop(FRESH_READ, 0) is None
    assert queue.pop(WRITE, 0) is items[2]
    assert queue.pop(STALE_READ, 0) is items[0]
    assert len(queue) == 0


def test_expired_requests_do_not_accumulate_without_a_primary() -> None:
    queue: AdmissionQueue[Item] = AdmissionQueue(10)
    queue.push(Item(WRITE))
    for _ in range(1_000):
        item = Item(WRITE)
        queue.push(item)
        queue.remove(item)
    assert len(queue) == 1
    assert len(queue._lanes[WRITE]) < 100


def test_full_queue_rejects_reads_and_evicts_one_for_a_write() -> None:
    queue: AdmissionQueue[Item] = AdmissionQueue(2)
    reads = [Item(STALE_READ), Item(STALE_READ)]
    for item in reads:
        queue.push(item)
    assert queue.retry_delay_ms(Item(STALE_READ), 0) is not None
    assert queue.evict_lower_priority(STALE_READ) is None
    assert queue.evict_lower_priority(WRITE) is reads[1]
    assert len(queue) == 1


def test_request_that_cannot_start_in_time_is_rejected_early() -> None:
    queue: AdmissionQueue[Item] = AdmissionQueue(1_000)
    for _ in range(300):
        queue.push(Item(WRITE))
    for now_ms in range(0, 1_000, 10):
        queue.pop(WRITE, now_ms)
    retry_after_ms = queue.retry_delay_ms(Item(WRITE, due_ms=1_100), 1_000)
    assert retry_after_ms is not None and retry_after_ms > 1_000
    assert queue.retry_delay_ms(Item(WRITE, due_ms=9_000), 1_000) is None


def test_retries_are_limited_to_a_share_of_requests() -> None:
    budget = RetryBudget(0.1, reserve=2)
    assert budget.try_spend() and budget.try_spend()
    assert not budget.try_spend()
    for _ in range(11):
        budget.record_request()
    assert budget.try_spend()
    assert not budget.try_spend()


def test_backoff_grows_within_bounds_and_slow_start_ramps() -> None:
    rng = Random(1)
    delays_ms = [backoff_ms(attempt, rng) for attempt in (1, 4, 50)]
    assert 2.5 <= delays_ms[0] <= 5 and 20 <= delays_ms[1] <= 40
    assert 100 <= delays_ms[2] <= 200
    limits = [slow_start_limit(10, ms) for ms in (0, 1_000, 2_000)]
    assert limits == [1, 5, 10]


def grant(holder: LeaseHolder, seq: int, term: int = 1, own: int = 4) -> bool:
    leases = [GroupLease(group='g', term=term)]
    return holder.apply_grant(seq, leases, 1_500, 4, own)


def test_lease_is_valid_from_when_the_report_was_sent() -> None:
    holder = LeaseHolder()
    holder.note_report(1, 1_000)
    assert grant(holder, 1)
    assert holder.is_valid('g', 1, 1_000 + 1_469)
    assert not holder.is_valid('g', 1, 1_000 + 1_470)
    assert not holder.is_valid('g', 2, 1_100)


def test_grant_for_an_older_or_unknown_report_is_ignored() -> None:
    holder = LeaseHolder()
    holder.note_report(1, 1_000)
    holder.note_report(2, 1_400)
    assert grant(holder, 2)
    assert not grant(holder, 1)
    assert not grant(holder, 2)
    assert not grant(holder, 7)


def test_grant_in_flight_during_a_revocation_is_ignored() -> None:
    holder = LeaseHolder()
    holder.note_report(1, 1_000)
    holder.revoke('g', 1)
    assert grant(holder, 1)
    assert not holder.is_valid('g', 1, 1_001)
    holder.note_report(2, 1_002)
    assert grant(holder, 2, term=2)
    assert holder.is_valid('g', 2, 1_003)


def test_older_configuration_is_not_confirmed_by_a_grant() -> None:
    holder = LeaseHolder()
    holder.note_report(1, 1_000)
    assert grant(holder, 1, own=3)
    assert holder.config_until_ms < 1_000
    holder.note_version(4)
    assert holder.config_until_ms == pytest.approx(2_470)


def test_recalled_permit_in_use_is_returned_after_its_statement() -> None:
    permits = PermitHolder()
    permits.add_granted('u', 2)
    assert permits.try_acquire('u') and permits.try_acquire('u')
    permits.recall('u', 1)
    assert permits.return_recalled('u') == 0
    permits.release('u')
    assert not permits.try_acquire('u')
    assert permits.return_recalled('u') == 1
    assert permits.holdings() == {'u': 1}


def test_expired_permits_are_not_used() -> None:
    permits = PermitHolder()
    permits.add_granted('u', 2)
    permits.try_acquire('u')
    permits.invalidate_all()
    assert not permits.try_acquire('u')
    assert permits.return_recalled('u') == 1
    permits.release('u')
    assert not permits.try_acquire('u')
    assert permits.return_recalled('u') == 1
    assert permits.holdings() == {}


def test_only_permits_idle_for_the_whole_interval_are_returned() -> None:
    permits = PermitHolder()
    permits.add_granted('u', 3)
    permits.try_acquire('u')
    permits.try_acquire('u')
    permits.release('u')
    assert permits.return_idle('u') == 1
    assert permits.return_idle('u') == 1
    assert permits.holdings() == {'u': 1}
