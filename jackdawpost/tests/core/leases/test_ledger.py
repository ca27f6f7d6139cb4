"""Lease ledger: writes are not acknowledged on two primaries at once."""

from __future__ import annotations

from jackdawpost.core.leases import ledger as lease_ledger
from jackdawpost.core.leases.ledger import LeaseLedger
from jackdawpost.core.leases.ledger import PendingReport


def make_ledger(**changes):
    values = {'duration_ms': 1_500, 'clock_margin': 0.02, 'elected_ms': 0}
    return LeaseLedger(**{**values, **changes})


def make_report(received_ms, incarnation='i1', proxy='p'):
    return PendingReport(
        proxy=proxy,
        incarnation=incarnation,
        conn=1,
        seq=1,
        received_ms=received_ms,
    )


def test_report_during_confirmation_waits_for_next_confirmation():
    # Guards against a grant confirmed by a heartbeat from before the report:
    # a leader that was deposed since may have had that heartbeat answered.
    ledger = make_ledger()
    lease_ledger.note_report(ledger, 10, 'p', 'i1', 1, 1)
    first = lease_ledger.start_confirmation(ledger)
    lease_ledger.note_report(ledger, 11, 'q', 'i1', 2, 1)
    lease_ledger.note_report(ledger, 12, 'p', 'i1', 1, 2)
    assert lease_ledger.start_confirmation(ledger) is None
    answered = lease_ledger.confirmed(ledger, first)
    assert [(r.proxy, r.seq) for r in answered] == [('p', 1)]
    second = lease_ledger.start_confirmation(ledger)
    answered = lease_ledger.confirmed(ledger, second)
    assert [(r.proxy, r.seq) for r in answered] == [('q', 1), ('p', 2)]
    assert lease_ledger.confirmed(ledger, first) == []


def test_lease_end_includes_clock_margin():
    # Guards against a proxy whose clock is 2% slow and that acknowledges
    # writes after the leader considers its lease expired.
    ledger = make_ledger()
    lease_ledger.record_grant(ledger, make_report(10_000), {'g': 3})
    lease_ledger.revoke(ledger, 'g', 3)
    assert lease_ledger.holders(ledger, 11_529, 'g', 3) == {'p': 11_530}
    assert lease_ledger.holders(ledger, 11_530, 'g', 3) == {}


def test_new_leader_assumes_leases_of_proxies_without_answer():
    # Guards against a promotion by a new leader while leases granted by its
    # predecessor are still in force.
    ledger = make_ledger(elected_ms=5_000, assumed={'p', 'q'})
    assert set(lease_ledger.holders(ledger, 5_001, 'g', 3)) == {'p', 'q'}
    lease_ledger.revoke(ledger, 'g', 3)
    lease_ledger.note_revoked(ledger, 'p', 'i1', 'g', 3)
    assert lease_ledger.holders(ledger, 6_529, 'g', 3) == {'q': 6_530}
    assert lease_ledger.holders(ledger, 6_530, 'g', 3) == {}


def test_revocation_answer_without_revocation_is_ignored():
    # Guards against an unsolicited or forged answer that releases a lease
    # before it has expired.
    ledger = make_ledger(assumed={'p'})
    lease_ledger.note_revoked(ledger, 'p', 'i1', 'g', 3)
    assert lease_ledger.holders(ledger, 1, 'g', 3) == {'p': 1_530}


def test_revocation_answer_releases_only_leases_of_its_process():
    # Guards against releasing the lease of a suspended proxy process because
    # the process that replaced it has answered.
    ledger = make_ledger(elected_ms=-10_000)
    lease_ledger.record_grant(ledger, make_report(0, 'i1'), {'g': 3})
    lease_ledger.revoke(ledger, 'g', 3)
    lease_ledger.note_revoked(ledger, 'p', 'i2', 'g', 3)
    assert lease_ledger.holders(ledger, 1, 'g', 3) == {'p': 1_530}
    lease_ledger.note_revoked(ledger, 'p', 'i1', 'g', 3)
    assert lease_ledger.holders(ledger, 1, 'g', 3) == {}


def test_revoked_term_is_not_granted_again():
    # Guards against a report confirmed after the revocation that would renew
    # the lease while the leader relies on the revocation.
    ledger = make_ledger(elected_ms=-10_000)
    lease_ledger.revoke(ledger, 'g', 3)
    grant = lease_ledger.record_grant(ledger, make_report(0), {'g': 3, 'h': 1})
    assert [(lease.group, lease.term) for lease in grant] == [('h', 1)]
    assert lease_ledger.holders(ledger, 1, 'g', 3) == {}
    grant = lease_ledger.record_grant(ledger, make_report(1), {'g': 4})
    assert [lease.term for lease in grant] == [4]


def test_older_report_does_not_shorten_recorded_lease():
    # Guards against a delayed older report that moves the recorded end of
    # the lease to an earlier time.
    ledger = make_ledger(elected_ms=-10_000)
    lease_ledger.record_grant(ledger, make_report(100), {'g': 1})
    lease_ledger.record_grant(ledger, make_report(50), {'g': 1})
    assert lease_ledger.holders(ledger, 1_600, 'g', 1) == {'p': 1_630}
