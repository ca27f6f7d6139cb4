"""Failures of lease bookkeeping that would break H2."""

from __future__ import annotations

from jackdawpost.core.control import lease_ledger
from jackdawpost.core.control.lease_ledger import LeaseLedger
from jackdawpost.core.control.lease_ledger import PendingReport


def ledger(**changes):
    values = {'duration_ms': 1_500, 'clock_margin': 0.02, 'elected_ms': 0}
    return LeaseLedger(**{**values, **changes})


def report(received_ms, incarnation='i1', proxy='p'):
    return PendingReport(
        proxy=proxy,
        incarnation=incarnation,
        conn=1,
        seq=1,
        received_ms=received_ms,
    )


def test_report_during_a_confirmation_waits_for_the_next_one():
    # Guards against a grant confirmed by a heartbeat sent before the
    # report, which a deposed leader could still have had answered.
    leases = ledger()
    lease_ledger.note_report(leases, 10, 'p', 'i1', 1, 1)
    first = lease_ledger.start_confirmation(leases)
    lease_ledger.note_report(leases, 11, 'q', 'i1', 2, 1)
    lease_ledger.note_report(leases, 12, 'p', 'i1', 1, 2)
    assert lease_ledger.start_confirmation(leases) is None
    answered = lease_ledger.confirmed(leases, first)
    assert [(r.proxy, r.seq) for r in answered] == [('p', 1)]
    second = lease_ledger.start_confirmation(leases)
    answered = lease_ledger.confirmed(leases, second)
    assert [(r.proxy, r.seq) for r in answered] == [('q', 1), ('p', 2)]
    assert lease_ledger.confirmed(leases, first) == []


def test_lease_is_waited_out_with_the_clock_margin():
    # Guards against a proxy whose clock is 2% slow and still acknowledges
    # writes when the leader thinks that its lease has ended.
    leases = ledger()
    lease_ledger.record_grant(leases, report(10_000), {'g': 3})
    lease_ledger.revoke(leases, 'g', 3)
    assert lease_ledger.holders(leases, 11_529, 'g', 3) == {'p': 11_530}
    assert lease_ledger.holders(leases, 11_530, 'g', 3) == {}


def test_new_leader_waits_for_proxies_that_have_not_answered():
    # Guards against a promotion by a new leader while leases of its
    # predecessor are in force.
    leases = ledger(elected_ms=5_000, assumed={'p', 'q'})
    assert set(lease_ledger.holders(leases, 5_001, 'g', 3)) == {'p', 'q'}
    lease_ledger.revoke(leases, 'g', 3)
    lease_ledger.note_revoked(leases, 'p', 'i1', 'g', 3)
    assert lease_ledger.holders(leases, 6_529, 'g', 3) == {'q': 6_530}
    assert lease_ledger.holders(leases, 6_530, 'g', 3) == {}


def test_answer_without_revocation_releases_nothing():
    # Guards against a stray or forged answer that ends the wait early.
    leases = ledger(assumed={'p'})
    lease_ledger.note_revoked(leases, 'p', 'i1', 'g', 3)
    assert lease_ledger.holders(leases, 1, 'g', 3) == {'p': 1_530}


def test_new_process_does_not_answer_for_the_old_one():
    # Guards against a frozen proxy process whose lease is released by the
    # process that replaced it.
    leases = ledger(elected_ms=-10_000)
    lease_ledger.record_grant(leases, report(0, 'i1'), {'g': 3})
    lease_ledger.revoke(leases, 'g', 3)
    lease_ledger.note_revoked(leases, 'p', 'i2', 'g', 3)
    assert lease_ledger.holders(leases, 1, 'g', 3) == {'p': 1_530}
    lease_ledger.note_revoked(leases, 'p', 'i1', 'g', 3)
    assert lease_ledger.holders(leases, 1, 'g', 3) == {}


def test_revoked_term_is_never_granted_again():
    # Guards against a report confirmed after the revocation that would
    # bring the lease back behind the leader's own fence.
    leases = ledger(elected_ms=-10_000)
    lease_ledger.revoke(leases, 'g', 3)
    grant = lease_ledger.record_grant(leases, report(0), {'g': 3, 'h': 1})
    assert [(lease.group, lease.term) for lease in grant] == [('h', 1)]
    assert lease_ledger.holders(leases, 1, 'g', 3) == {}
    grant = lease_ledger.record_grant(leases, report(1), {'g': 4})
    assert [lease.term for lease in grant] == [4]


def test_shorter_wait_never_replaces_a_longer_one():
    # Guards against a delayed older report that shortens the wait.
    leases = ledger(elected_ms=-10_000)
    lease_ledger.record_grant(leases, report(100), {'g': 1})
    lease_ledger.record_grant(leases, report(50), {'g': 1})
    assert lease_ledger.holders(leases, 1_600, 'g', 1) == {'p': 1_630}
