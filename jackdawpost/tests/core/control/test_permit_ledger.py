"""Grants and recalls of slot permits: limits, fairness and thrashing."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from jackdawpost.core.control import permit_ledger
from jackdawpost.core.control.permit_ledger import MIN_HOLD_MS
from jackdawpost.core.control.permit_ledger import PermitLedger

SLOTS = 3
RESERVATION_MS = 500.0


def make_ledger(**changes):
    ledger = PermitLedger(**{'ready_ms': 0, **changes})
    permit_ledger.set_slots(ledger, {'u': SLOTS})
    return ledger


def demand(ledger, now_ms, **wanted):
    for proxy, count in wanted.items():
        permit_ledger.record_demand(ledger, now_ms, proxy, 'u', count)
    return decide(ledger, now_ms)


def decide(ledger, now_ms):
    return [
        (d.action, d.proxy, d.count)
        for d in permit_ledger.decide_permits(ledger, now_ms)
    ]


def test_free_permits_are_granted_at_once():
    # Guards against unused permits while a proxy waits.
    assert demand(make_ledger(), 1, p1=3) == [('grant', 'p1', 3)]


def test_permit_is_recalled_from_proxy_with_most_permits():
    # Guards against starvation by a proxy that demanded all permits first.
    ledger = make_ledger()
    demand(ledger, 0, p1=3)
    assert demand(ledger, 100, p2=1) == [('recall', 'p1', 1)]
    assert decide(ledger, 101) == []
    permit_ledger.record_return(ledger, 102, 'p1', 'u', 1)
    assert decide(ledger, 102) == [('grant', 'p2', 1)]


def test_permit_in_demand_is_held_for_the_minimum_time():
    # Guards against thrashing: a recall before the permit has been used.
    ledger = make_ledger()
    demand(ledger, 0, p1=3)
    assert demand(ledger, 5, p2=1) == []
    due_ms = permit_ledger.next_permit_due_ms(ledger, 5, 'u')
    assert due_ms == MIN_HOLD_MS
    assert decide(ledger, due_ms) == [('recall', 'p1', 1)]


def test_unused_permit_is_recalled_at_once():
    # Guards against applying the minimum time to a proxy without demand.
    ledger = make_ledger()
    demand(ledger, 0, p1=1, p2=1, p3=1)
    demand(ledger, 1, p2=0)
    assert demand(ledger, 2, p4=1) == [('recall', 'p2', 1)]


def test_proxies_with_one_permit_take_turns():
    # Guards against starvation of a fourth proxy at an upstream with three
    # slots.
    ledger = make_ledger()
    served = {}
    now_ms = 0.0
    decisions = demand(ledger, now_ms, p1=2, p2=2, p3=2, p4=2)
    for _ in range(40):
        for action, proxy, count in decisions:
            if action == 'grant':
                served[proxy] = served.get(proxy, 0) + count
            else:
                permit_ledger.record_return(ledger, now_ms, proxy, 'u', count)
        now_ms += MIN_HOLD_MS / 2
        decisions = decide(ledger, now_ms)
    assert len(served) == 4
    assert max(served.values()) - min(served.values()) <= 2


def test_proxy_with_outstanding_recall_gets_a_free_permit():
    # Guards against an unresponsive connection, whose permit cannot be
    # returned, that blocks all other statements of its proxy at the upstream.
    ledger = make_ledger()
    demand(ledger, 0, p1=1, p2=1, p3=1)
    ((action, recalled_proxy, _),) = demand(ledger, 100, p4=1)
    assert action == 'recall'
    other = next(name for name in ('p1', 'p2', 'p3') if name != recalled_proxy)
    for name in ('p4', other):
        permit_ledger.record_demand(ledger, 110, name, 'u', 0)
    permit_ledger.record_return(ledger, 120, other, 'u', 1)
    assert demand(ledger, 130, **{recalled_proxy: 2}) == [
        ('grant', recalled_proxy, 1)
    ]
    assert ledger.upstreams['u'].accounts[recalled_proxy].recalled == 0


def test_permits_of_a_disconnected_proxy_stay_reserved():
    # Guards against granting a slot whose statement is still running.
    ledger = make_ledger()
    permit_ledger.record_holdings(ledger, 'p1', 'i1', {})
    demand(ledger, 0, p1=3)
    permit_ledger.reserve_permits(ledger, 'p1', 1_000)
    assert demand(ledger, 1, p2=1) == []
    assert permit_ledger.next_permit_due_ms(ledger, 1, 'u') == 1_000
    assert decide(ledger, 999) == []
    assert decide(ledger, 1_000) == [('grant', 'p2', 1)]


def test_holdings_on_a_new_connection_replace_recorded_ones():
    # Guards against a permit leak when a grant on the old connection is lost.
    ledger = make_ledger()
    permit_ledger.record_holdings(ledger, 'p1', 'i1', {})
    demand(ledger, 0, p1=3)
    permit_ledger.reserve_permits(ledger, 'p1', 10_000)
    permit_ledger.record_holdings(ledger, 'p1', 'i1', {'u': 1})
    assert demand(ledger, 1, p2=2) == [('grant', 'p2', 2)]


def test_new_process_does_not_release_permits_of_the_old_one():
    # Guards against granting too many permits while statements of a killed
    # process are still running.
    ledger = make_ledger()
    permit_ledger.record_holdings(ledger, 'p1', 'i1', {})
    demand(ledger, 0, p1=2)
    permit_ledger.reserve_permits(ledger, 'p1', 1_000)
    permit_ledger.record_holdings(ledger, 'p1', 'i2', {})
    assert demand(ledger, 1, p1=3) == [('grant', 'p1', 1)]


def test_new_leader_grants_nothing_before_holdings_are_known():
    # Guards against granting permits that an earlier leader has granted.
    ledger = make_ledger(ready_ms=1_530, unreported={'p1', 'p2'})
    permit_ledger.record_holdings(ledger, 'p1', 'i1', {'u': 1})
    assert demand(ledger, 10, p1=3) == []
    permit_ledger.record_holdings(ledger, 'p2', 'i1', {'u': 1})
    assert decide(ledger, 11) == [('grant', 'p1', 1)]
    late = make_ledger(ready_ms=1_530, unreported={'p1', 'p2'})
    assert demand(late, 1_529, p1=1) == []
    assert decide(late, 1_530) == [('grant', 'p1', 1)]


class ProxySimulation:
    """Proxies connected by links that deliver in order.

    It counts the permits in use, including those of killed processes.
    """

    def __init__(self):
        self.now_ms = 0.0
        self.ledger = make_ledger()
        self.held = dict.fromkeys(('p1', 'p2', 'p3'), 0)
        self.incarnations = dict.fromkeys(self.held, 1)
        self.in_flight = {proxy: [] for proxy in self.held}
        self.killed_processes = []
        for proxy in self.held:
            permit_ledger.record_holdings(self.ledger, proxy, '1', {})

    def apply_decisions(self):
        for d in permit_ledger.decide_permits(self.ledger, self.now_ms):
            self.in_flight[d.proxy].append(d)
        self.killed_processes = [
            entry for entry in self.killed_processes if self.now_ms < entry[0]
        ]
        used = sum(self.held.values()) + sum(
            entry[1] for entry in self.killed_processes
        )
        assert used <= SLOTS
        assert permit_ledger.granted_count(self.ledger.upstreams['u']) <= SLOTS

    def step(self, action, proxy, count):
        self.now_ms += 7
        if action == 'demand':
            permit_ledger.record_demand(
                self.ledger, self.now_ms, proxy, 'u', count
            )
        elif action == 'deliver' and self.in_flight[proxy]:
            self.deliver(proxy, self.in_flight[proxy].pop(0))
        elif action == 'return':
            self.return_permits(proxy, min(count, self.held[proxy]))
        elif action in ('reconnect', 'restart'):
            self.reconnect(proxy, action == 'restart')
        elif action == 'wait':
            self.now_ms += RESERVATION_MS
        self.apply_decisions()

    def deliver(self, proxy, decision):
        if decision.action == 'grant':
            self.held[proxy] += decision.count
        else:
            self.return_permits(proxy, min(decision.count, self.held[proxy]))

    def return_permits(self, proxy, count):
        self.held[proxy] -= count
        permit_ledger.record_return(
            self.ledger, self.now_ms, proxy, 'u', count
        )

    def reconnect(self, proxy, is_restart):
        self.in_flight[proxy].clear()
        until_ms = self.now_ms + RESERVATION_MS
        permit_ledger.reserve_permits(self.ledger, proxy, until_ms)
        if is_restart:
            self.killed_processes.append((until_ms, self.held[proxy]))
            self.held[proxy] = 0
            self.incarnations[proxy] += 1
        permit_ledger.record_holdings(
            self.ledger,
            proxy,
            str(self.incarnations[proxy]),
            {'u': self.held[proxy]},
        )


ACTIONS = st.sampled_from(
    ['demand', 'deliver', 'return', 'reconnect', 'restart', 'wait']
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(
            ACTIONS, st.sampled_from(['p1', 'p2', 'p3']), st.integers(0, 4)
        ),
        min_size=20,
        max_size=60,
    )
)
def test_permits_in_use_never_exceed_the_slots(steps):
    # Guards against granting too many permits under any order of demands,
    # delayed grants, returns, reconnects, and restarts during statements.
    simulation = ProxySimulation()
    for step in steps:
        simulation.step(*step)
