"""Tests of statement connections: limits, opening, recovery, permits."""

from __future__ import annotations

from jackdawpost.core.effects import Close
from jackdawpost.core.events import ConnOpened
from jackdawpost.core.messages.caller import Begin
from jackdawpost.core.messages.control import PublishedObject
from jackdawpost.core.messages.control import StateUpdate
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.proxy.conns import ANSWER_GRACE_MS
from jackdawpost.core.proxy.reducer import reduce_proxy
from jackdawpost.core.tokens import encode_token
from jackdawpost.core.tokens import SessionToken
from jackdawpost.testing.proxy_simulation import ProxySimulation
from jackdawpost.testing.proxy_simulation import ROUTE


def add_proxies(sim: ProxySimulation, number: int) -> None:
    sim.version += 1
    members = [
        PublishedObject(
            type='member',
            name=f'proxy-{i}',
            body={
                'name': f'proxy-{i}',
                'member_id': f'id-{i}',
                'role': 'proxy',
                'host': '127.0.0.1',
                'port': 7000 + i,
                'state': 'joined',
            },
        )
        for i in range(number)
    ]
    sim.deliver_from_control(
        StateUpdate(
            from_version=sim.version - 1,
            version=sim.version,
            upserts=members,
        )
    )


def test_at_most_two_connections_open_at_a_time(sim: ProxySimulation) -> None:
    sim.upstreams['db-1'].reachable = 'silent'
    for conn in [sim.connect_caller() for _ in range(9)]:
        sim.read(conn)
    up = sim.state.upstreams['db-1']
    assert (up.opening, len(up.conns)) == (2, 2)
    sim.advance(1_000)
    assert up.opening <= 2


def test_connections_to_a_new_primary_are_opened_with_jitter(
    sim: ProxySimulation,
) -> None:
    sim.promote('db-2')
    sim.write(sim.connect_caller())
    assert not sim.statements
    sim.advance(20)
    assert sim.conn_upstreams[sim.pop_statement()[0]] == 'db-2'


def test_new_primary_is_connected_before_the_lease_arrives(
    sim: ProxySimulation,
) -> None:
    sim.control_answers = False
    sim.promote('db-2')
    sim.write(sim.connect_caller())
    sim.advance(25)
    assert sim.state.upstreams['db-2'].idle
    assert not sim.statements


def test_one_read_requests_a_permit_of_one_replica_and_then_of_all(
    sim: ProxySimulation,
) -> None:
    sim.grants_permits = False
    sim.read(sim.connect_caller(), max_age_ms=900)
    sim.read(sim.connect_caller(), 1)

    def requested() -> list[str]:
        demands = [m for m in sim.control_sent if m.kind == 'permit_demand']
        return sorted({m.upstream for m in demands} - {'db-1'})

    assert len(requested()) == 1
    sim.advance(10)
    assert requested() == ['db-2', 'db-3']


def test_refused_connections_are_retried_with_backoff(
    sim: ProxySimulation,
) -> None:
    up = sim.state.upstreams['db-1']
    sim.upstreams['db-1'].reachable = 'refused'
    sim.write(sim.connect_caller(), deadline_ms=60_000)
    conn_id_before = sim.state.last_conn_id
    sim.advance(1_000)
    assert up.open_failures > 3
    assert conn_id_before - sim.state.last_conn_id < 40


def test_connections_above_a_lowered_limit_are_closed(
    sim: ProxySimulation,
) -> None:
    callers = [sim.connect_caller() for _ in range(3)]
    for conn in callers:
        sim.read(conn)
    for up_conn, message in list(sim.statements):
        sim.reply(up_conn, message)
    up = sim.state.upstreams['db-1']
    assert len(up.conns) == 3
    add_proxies(sim, 6)
    assert len(up.conns) == 2
    assert up.idle


def test_recovered_upstream_gets_a_slow_start(sim: ProxySimulation) -> None:
    sim.fail_upstream('db-1')
    sim.upstreams['db-1'].reachable = 'yes'
    sim.upstreams['db-1'].answers_probes = True
    sim.advance(200)
    for conn in [sim.connect_caller() for _ in range(9)]:
        sim.read(conn)
    assert len({up_conn for up_conn, _ in sim.statements}) == 1
    sim.advance(2_000)
    assert sim.state.upstreams['db-1'].evidence == 'up'


def test_connection_to_other_data_than_published_is_not_used(
    sim: ProxySimulation,
) -> None:
    sim.upstreams['db-1'].reachable = 'silent'
    sim.write(sim.connect_caller())
    (conn,) = sim.state.upstreams['db-1'].conns
    effects = reduce_proxy(
        sim.state,
        ConnOpened(
            now_ms=sim.now_ms,
            conn=conn,
            link='upstream',
            peer='db-1',
            purpose='statements',
            data_id='wiped',
        ),
    )
    assert [e.conn for e in effects if isinstance(e, Close)] == [conn]
    assert conn not in sim.state.conns


def test_exhausted_retry_budget_ends_retries(sim: ProxySimulation) -> None:
    budget = sim.state.groups['spares'].retry_budget
    while budget.try_spend():
        pass
    conn = sim.connect_caller()
    sim.write(conn)
    sim.disconnect(sim.pop_statement()[0])
    assert sim.pop_answer(conn).outcome == 'unknown'
    assert not sim.statements


def test_callers_above_the_limit_are_closed(sim: ProxySimulation) -> None:
    sim.state.cfg.max_callers = 1
    sim.connect_caller()
    second = sim.connect_caller()
    assert second in sim.closed_conns


def test_write_is_refused_if_the_token_has_no_room_for_its_position(
    sim: ProxySimulation,
) -> None:
    names = [f'g{i}' for i in range(16)]
    groups = sim.state.groups
    for name in names:
        groups[name] = groups['spares']
    entries = tuple((name, LogPosition(1, 1)) for name in names)
    token = encode_token(SessionToken(entries))
    conn = sim.connect_caller()
    sim.write(conn, session=token)
    assert sim.pop_answer(conn).error.code == 'invalid_token'
    sim.send_requests(conn, Begin(id=2, route=ROUTE, session=token))
    assert sim.pop_answer(conn).error.code == 'invalid_token'
    del groups['g4']
    sim.write(conn, 3, session=token)
    assert sim.pop_statement()


def test_permit_of_an_abandoned_statement_is_held_until_its_timeout(
    sim: ProxySimulation,
) -> None:
    """Guards against more statements at an upstream than it has slots.

    The upstream continues an abandoned statement until its timeout.
    """
    sim.write(sim.connect_caller(), deadline_ms=200)
    sim.pop_statement()
    account = sim.state.permits.account('db-1')
    sim.advance(210)
    assert (account.held, account.in_use) == (1, 1)
    sim.advance(ANSWER_GRACE_MS + 100)
    assert (account.held, account.in_use) == (0, 0)


def test_permit_of_a_lost_transaction_is_held_until_the_rollback(
    sim: ProxySimulation,
) -> None:
    """Guards against a new statement for a slot that is still in use.

    The upstream rolls the transaction back only when it detects the loss.
    """
    conn = sim.connect_caller()
    sim.send_requests(conn, Begin(id=1, route=ROUTE))
    up_conn, message = sim.pop_statement()
    sim.reply(up_conn, message)
    sim.disconnect(conn)
    account = sim.state.permits.account('db-1')
    assert account.in_use == 1
    sim.advance(ANSWER_GRACE_MS + 100)
    assert (account.held, account.in_use) == (0, 0)
