"""Statement connections: limits, opening and return of an upstream."""

from __future__ import annotations

from jackdawpost.core.effects import Close
from jackdawpost.core.events import ConnOpened
from jackdawpost.core.messages.caller import Begin
from jackdawpost.core.messages.control import PublishedObject
from jackdawpost.core.messages.control import StateUpdate
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.proxy.conns import SILENT_MARGIN_MS
from jackdawpost.core.proxy.reducer import reduce_proxy
from jackdawpost.core.tokens import encode_token
from jackdawpost.core.tokens import SessionToken
from jackdawpost.testing.fake_proxy_world import ProxyWorld
from jackdawpost.testing.fake_proxy_world import ROUTE


def add_proxies(world: ProxyWorld, number: int) -> None:
    world.version += 1
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
    world.from_control(
        StateUpdate(
            from_version=world.version - 1,
            version=world.version,
            upserts=members,
        )
    )


def test_at_most_two_connections_open_at_a_time(world: ProxyWorld) -> None:
    world.upstreams['db-1'].reachable = 'silent'
    for conn in [world.caller() for _ in range(9)]:
        world.read(conn)
    up = world.state.upstreams['db-1']
    assert (up.opening, len(up.conns)) == (2, 2)
    world.advance(1_000)
    assert up.opening <= 2


def test_new_primary_is_not_opened_by_all_proxies_at_once(
    world: ProxyWorld,
) -> None:
    world.promote('db-2')
    world.write(world.caller())
    assert not world.work
    world.advance(20)
    assert world.conn_names[world.take()[0]] == 'db-2'


def test_new_primary_is_connected_to_before_the_lease_arrives(
    world: ProxyWorld,
) -> None:
    world.control_answers = False
    world.promote('db-2')
    world.write(world.caller())
    world.advance(25)
    assert world.state.upstreams['db-2'].idle
    assert not world.work


def test_one_read_asks_one_replica_for_a_permit_and_soon_all(
    world: ProxyWorld,
) -> None:
    world.lends = False
    world.read(world.caller(), max_age_ms=900)
    world.read(world.caller(), 1)

    def asked() -> list[str]:
        demands = [m for m in world.control_sent if m.kind == 'permit_demand']
        return sorted({m.upstream for m in demands} - {'db-1'})

    assert len(asked()) == 1
    world.advance(10)
    assert asked() == ['db-2', 'db-3']


def test_refused_openings_are_not_repeated_without_pause(
    world: ProxyWorld,
) -> None:
    up = world.state.upstreams['db-1']
    world.upstreams['db-1'].reachable = 'refused'
    world.write(world.caller(), deadline_ms=60_000)
    tried = world.state.last_conn
    world.advance(1_000)
    assert up.open_failures > 3
    assert tried - world.state.last_conn < 40


def test_connections_above_a_lowered_limit_are_closed(
    world: ProxyWorld,
) -> None:
    callers = [world.caller() for _ in range(3)]
    for conn in callers:
        world.read(conn)
    for up_conn, message in list(world.work):
        world.reply(up_conn, message)
    up = world.state.upstreams['db-1']
    assert len(up.conns) == 3
    add_proxies(world, 6)
    assert len(up.conns) == 2
    assert up.idle


def test_returning_upstream_starts_slowly(world: ProxyWorld) -> None:
    world.fail('db-1')
    world.upstreams['db-1'].reachable = 'yes'
    world.upstreams['db-1'].answers_probes = True
    world.advance(200)
    for conn in [world.caller() for _ in range(9)]:
        world.read(conn)
    assert len({up_conn for up_conn, _ in world.work}) == 1
    world.advance(2_000)
    assert world.state.upstreams['db-1'].evidence == 'up'


def test_connection_to_other_data_than_published_is_not_used(
    world: ProxyWorld,
) -> None:
    world.upstreams['db-1'].reachable = 'silent'
    world.write(world.caller())
    (conn,) = world.state.upstreams['db-1'].conns
    effects = reduce_proxy(
        world.state,
        ConnOpened(
            now_ms=world.now_ms,
            conn=conn,
            link='upstream',
            peer='db-1',
            purpose='statements',
            data_id='wiped',
        ),
    )
    assert [e.conn for e in effects if isinstance(e, Close)] == [conn]
    assert conn not in world.state.conns


def test_exhausted_retry_budget_ends_retries(world: ProxyWorld) -> None:
    budget = world.state.groups['spares'].budget
    while budget.try_spend():
        pass
    conn = world.caller()
    world.write(conn)
    world.cut(world.take()[0])
    assert world.answer(conn).outcome == 'unknown'
    assert not world.work


def test_callers_above_the_limit_are_closed(world: ProxyWorld) -> None:
    world.state.cfg.max_callers = 1
    world.caller()
    second = world.caller()
    assert second in world.closed


def test_write_whose_position_has_no_room_in_the_token_is_not_run(
    world: ProxyWorld,
) -> None:
    names = [f'g{i}' for i in range(16)]
    groups = world.state.groups
    for name in names:
        groups[name] = groups['spares']
    entries = tuple((name, LogPosition(1, 1)) for name in names)
    token = encode_token(SessionToken(entries))
    conn = world.caller()
    world.write(conn, session=token)
    assert world.answer(conn).error.code == 'invalid_token'
    world.ask(conn, Begin(id=2, route=ROUTE, session=token))
    assert world.answer(conn).error.code == 'invalid_token'
    del groups['g4']
    world.write(conn, 3, session=token)
    assert world.take()


def test_permit_of_an_abandoned_statement_is_held_until_its_timeout(
    world: ProxyWorld,
) -> None:
    """Guards against more statements at an upstream than it has slots.

    The upstream goes on with an abandoned statement until its timeout.
    """
    world.write(world.caller(), deadline_ms=200)
    world.take()
    account = world.state.permits.account('db-1')
    world.advance(210)
    assert (account.held, account.in_use) == (1, 1)
    world.advance(SILENT_MARGIN_MS + 100)
    assert (account.held, account.in_use) == (0, 0)


def test_permit_of_a_lost_transaction_is_held_until_the_roll_back(
    world: ProxyWorld,
) -> None:
    """Guards against a slot that a transaction still occupies."""
    conn = world.caller()
    world.ask(conn, Begin(id=1, route=ROUTE))
    up_conn, message = world.take()
    world.reply(up_conn, message)
    world.cut(conn)
    account = world.state.permits.account('db-1')
    assert account.in_use == 1
    world.advance(SILENT_MARGIN_MS + 100)
    assert (account.held, account.in_use) == (0, 0)
