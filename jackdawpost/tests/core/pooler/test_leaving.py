"""How long a leaving primary receives statements.

Its time counts from the record of its departure, not from the moment at which
a pooler learns of it.
"""

from __future__ import annotations

import pytest

from jackdawpost.core.messages.session import Done
from jackdawpost.testing.pooler_simulation import default_endpoints
from jackdawpost.testing.pooler_simulation import PoolerSimulation

WORK_MS = 5_000  # PoolerConfig.leaving_work_ms of the simulation
START_MS = 200  # time that a simulation runs at its start


def _is_served(sim):
    conn = sim.open('orders')
    return isinstance(sim.call(conn, 'READ 1'), Done)


@pytest.mark.parametrize('age_ms', [0, 3_000, 4_500, 5_000, 60_000])
def test_restarted_pooler_counts_from_the_record_of_the_departure(age_ms):
    # Guards against statements that reach a primary long after its departure
    # was acknowledged, from a pooler that has started since.
    sim = PoolerSimulation(leaving={'db-1': age_ms})
    started_ms = sim.now_ms - START_MS
    end_ms = started_ms + WORK_MS - age_ms
    assert _is_served(sim) == (sim.now_ms < end_ms)
    sim.advance(max(0, end_ms - sim.now_ms))
    assert not _is_served(sim)


def test_pooler_that_is_told_no_time_sends_nothing():
    # A new leader does not know when an earlier one recorded the departure.
    sim = PoolerSimulation(leaving={'db-1': None})
    assert not _is_served(sim)


@pytest.mark.parametrize('delay_ms, is_served', [(0, True), (9_000, False)])
def test_pooler_counts_from_its_last_confirmed_state(delay_ms, is_served):
    # Guards against an update that is delayed on its way, or that a pooler
    # receives after it was cut off.
    sim = PoolerSimulation()
    sim.advance(1_000)
    sim.grants_leases = False
    sim.advance(delay_ms)
    sim.databases['db-1'].leaving = True
    sim.publish(default_endpoints())
    assert _is_served(sim) == is_served


def test_time_that_arrives_after_the_update_counts():
    sim = PoolerSimulation(leaving={'db-1': None})
    assert not _is_served(sim)
    sim.untold_leaving_ms = {'db-1': 1_000}
    sim.advance(600)  # until the next report
    assert _is_served(sim)
    sim.advance(WORK_MS)
    assert not _is_served(sim)


def test_time_in_a_second_answer_to_a_report_counts():
    # A proxy that joins gets one: its report has been answered already.
    sim = PoolerSimulation(leaving={'db-1': None})
    sim.untold_leaving_ms = {'db-1': 1_000}
    assert sim.state.report_seq == sim.state.last_grant_seq
    sim.send_grant()
    assert _is_served(sim)


def test_departure_that_is_withdrawn_is_forgotten():
    sim = PoolerSimulation(leaving={'db-1': 60_000})
    assert not _is_served(sim)
    sim.databases['db-1'].leaving = False
    sim.publish(default_endpoints())
    sim.advance(500)
    assert _is_served(sim)
