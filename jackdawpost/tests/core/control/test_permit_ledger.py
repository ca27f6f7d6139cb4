"""Failures of the permit ledger: too many lent, unfair, thrashing."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from jackdawpost.core.control import permit_ledger
from jackdawpost.core.control.permit_ledger import MIN_HOLD_MS
from jackdawpost.core.control.permit_ledger import PermitLedger

SLOTS = 3
LOST_MS = 500.0


def ledger(**changes):
    permits = PermitLedger(**{'ready_ms': 0, **changes})
    permit_ledger.set_slots(permits, {'u': SLOTS})
    return permits


def demand(permits, now_ms, **wanted):
    for proxy, count in wanted.items():
        permit_ledger.record_demand(permits, now_ms, proxy, 'u', count)
    return decide(permits, now_ms)


def decide(permits, now_ms):
    return [
        (d.action, d.proxy, d.count)
        for d in permit_ledger.decide_permits(permits, now_ms)
    ]


def test_free_permits_go_out_at_once():
    # Guards against permits that lie idle while a proxy waits.
    assert demand(ledger(), 1, p1=3) == [('grant', 'p1', 3)]


def test_waiting_proxy_gets_one_from_the_one_with_most():
    # Guards against starvation by a proxy that came first.
    permits = ledger()
    demand(permits, 0, p1=3)
    assert demand(permits, 100, p2=1) == [('recall', 'p1', 1)]
    assert decide(permits, 101) == []
    permit_ledger.record_return(permits, 102, 'p1', 'u', 1)
    assert decide(permits, 102) == [('grant', 'p2', 1)]


def test_holder_keeps_a_permit_for_the_minimum_time():
    # Guards against thrashing: a recall before any work was done.
    permits = ledger()
    demand(permits, 0, p1=3)
    assert demand(permits, 5, p2=1) == []
    due_ms = permit_ledger.next_permit_due_ms(permits, 5, 'u')
    assert due_ms == MIN_HOLD_MS
    assert decide(permits, due_ms) == [('recall', 'p1', 1)]


def test_idle_holder_has_nothing_to_keep():
    # Guards against the minimum time protecting a proxy without demand.
    permits = ledger()
    demand(permits, 0, p1=1, p2=1, p3=1)
    demand(permits, 1, p2=0)
    assert demand(permits, 2, p4=1) == [('recall', 'p2', 1)]


def test_proxies_with_one_permit_take_turns():
    # Guards against a fourth proxy that never gets one of three slots.
    permits = ledger()
    served = {}
    now_ms = 0.0
    decisions = demand(permits, now_ms, p1=2, p2=2, p3=2, p4=2)
    for _ in range(40):
        for action, proxy, count in decisions:
            if action == 'grant':
                served[proxy] = served.get(proxy, 0) + count
            else:
                permit_ledger.record_return(permits, now_ms, proxy, 'u', count)
        now_ms += MIN_HOLD_MS / 2
        decisions = decide(permits, now_ms)
    assert len(served) == 4
    assert max(served.values()) - min(served.values()) <= 2


def test_proxy_that_owes_a_stuck_permit_gets_a_free_one():
    # Guards against a silent connection that stops all other work of its
    # proxy at the upstream: its permit cannot be returned.
    permits = ledger()
    demand(permits, 0, p1=1, p2=1, p3=1)
    ((action, owing, _),) = demand(permits, 100, p4=1)
    assert action == 'recall'
    other = next(name for name in ('p1', 'p2', 'p3') if name != owing)
    for name in ('p4', other):
        permit_ledger.record_demand(permits, 110, name, 'u', 0)
    permit_ledger.record_return(permits, 120, other, 'u', 1)
    assert demand(permits, 130, **{owing: 2}) == [('grant', owing, 1)]
    assert permits.upstreams['u'].accounts[owing].recalled == 0


def test_permits_of_a_lost_proxy_are_kept_back():
    # Guards against lending a slot whose statement still runs.
    permits = ledger()
    permit_ledger.record_holdings(permits, 'p1', 'i1', {})
    demand(permits, 0, p1=3)
    permit_ledger.record_lost(permits, 'p1', 1_000)
    assert demand(permits, 1, p2=1) == []
    assert permit_ledger.next_permit_due_ms(permits, 1, 'u') == 1_000
    assert decide(permits, 999) == []
    assert decide(permits, 1_000) == [('grant', 'p2', 1)]


def test_holdings_on_a_new_connection_replace_the_account():
    # Guards against permits leaked by a grant that the old connection lost.
    permits = ledger()
    permit_ledger.record_holdings(permits, 'p1', 'i1', {})
    demand(permits, 0, p1=3)
    permit_ledger.record_lost(permits, 'p1', 10_000)
    permit_ledger.record_holdings(permits, 'p1', 'i1', {'u': 1})
    assert demand(permits, 1, p2=2) == [('grant', 'p2', 2)]


def test_new_process_does_not_free_permits_of_the_old_one():
    # Guards against over-lending while statements of a killed process run.
    permits = ledger()
    permit_ledger.record_holdings(permits, 'p1', 'i1', {})
    demand(permits, 0, p1=2)
    permit_ledger.record_lost(permits, 'p1', 1_000)
    permit_ledger.record_holdings(permits, 'p1', 'i2', {})
    assert demand(permits, 1, p1=3) == [('grant', 'p1', 1)]


def test_new_leader_lends_nothing_before_it_knows_the_holdings():
    # Guards against lending what an earlier leader has lent already.
    permits = ledger(ready_ms=1_530, unreported={'p1', 'p2'})
    permit_ledger.record_holdings(permits, 'p1', 'i1', {'u': 1})
    assert demand(permits, 10, p1=3) == []
    permit_ledger.record_holdings(permits, 'p2', 'i1', {'u': 1})
    assert decide(permits, 11) == [('grant', 'p1', 1)]
    late = ledger(ready_ms=1_530, unreported={'p1', 'p2'})
    assert demand(late, 1_529, p1=1) == []
    assert decide(late, 1_530) == [('grant', 'p1', 1)]


class World:
    """Proxies with in-order links; counts the permits truly in use."""

    def __init__(self):
        self.now_ms = 0.0
        self.ledger = ledger()
        self.held = dict.fromkeys(('p1', 'p2', 'p3'), 0)
        self.processes = dict.fromkeys(self.held, 1)
        self.down = {proxy: [] for proxy in self.held}
        self.zombies = []
        for proxy in self.held:
            permit_ledger.record_holdings(self.ledger, proxy, '1', {})

    def settle(self):
        for d in permit_ledger.decide_permits(self.ledger, self.now_ms):
            self.down[d.proxy].append(d)
        self.zombies = [z for z in self.zombies if self.now_ms < z[0]]
        used = sum(self.held.values()) + sum(z[1] for z in self.zombies)
        assert used <= SLOTS
        assert permit_ledger.granted_count(self.ledger.upstreams['u']) <= SLOTS

    def step(self, action, proxy, count):
        self.now_ms += 7
        if action == 'demand':
            permit_ledger.record_demand(
                self.ledger, self.now_ms, proxy, 'u', count
            )
        elif action == 'deliver' and self.down[proxy]:
            self.deliver(proxy, self.down[proxy].pop(0))
        elif action == 'return':
            self.give_back(proxy, min(count, self.held[proxy]))
        elif action in ('reconnect', 'restart'):
            self.reconnect(proxy, action == 'restart')
        elif action == 'wait':
            self.now_ms += LOST_MS
        self.settle()

    def deliver(self, proxy, decision):
        if decision.action == 'grant':
            self.held[proxy] += decision.count
        else:
            self.give_back(proxy, min(decision.count, self.held[proxy]))

    def give_back(self, proxy, count):
        self.held[proxy] -= count
        permit_ledger.record_return(
            self.ledger, self.now_ms, proxy, 'u', count
        )

    def reconnect(self, proxy, is_restart):
        self.down[proxy].clear()
        until_ms = self.now_ms + LOST_MS
        permit_ledger.record_lost(self.ledger, proxy, until_ms)
        if is_restart:
            self.zombies.append((until_ms, self.held[proxy]))
            self.held[proxy] = 0
            self.processes[proxy] += 1
        permit_ledger.record_holdings(
            self.ledger,
            proxy,
            str(self.processes[proxy]),
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
    # Guards against over-lending under any order of demands, late grants,
    # returns, reconnects and restarts with statements still running.
    world = World()
    for step in steps:
        world.step(*step)
