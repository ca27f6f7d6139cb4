"""Decisions of the promotion driver at each step of a promotion."""

from __future__ import annotations

from jackdawpost.core.control import promotion
from jackdawpost.core.control.commands import AbandonPromotion
from jackdawpost.core.control.commands import AdmitDatabase
from jackdawpost.core.control.commands import ChoosePrimary
from jackdawpost.core.control.commands import FinishPromotion
from jackdawpost.core.control.commands import StartPromotion
from jackdawpost.core.control.promotion_choice import missing_databases
from jackdawpost.core.control.promotion_facts import Database
from jackdawpost.core.control.promotion_facts import GroupFacts
from jackdawpost.core.control.promotion_facts import progress_of
from jackdawpost.core.control.promotion_facts import PromotionDriver
from jackdawpost.core.control.promotion_facts import RunningPromotion
from jackdawpost.core.control.promotion_facts import SealedDatabase
from jackdawpost.core.positions import LogPosition


def make_database(name, **changes):
    values = {
        'name': name,
        'data_id': f'data-{name}',
        'host': '127.0.0.1',
        'port': 1,
        'term': 3,
        'leads': name == 'a',
        'received': LogPosition(3, 10),
        'leaving': False,
        'announce_conn': 1,
        'last_contact_ms': 0.0,
    }
    return Database(**{**values, **changes})


def make_facts(**changes):
    names = ('a', 'b', 'c')
    values = {
        'name': 'g',
        'size': 3,
        'quorum': 2,
        'term': 3,
        'last_term': 3,
        'primary': 'a',
        'database_set': {name: f'data-{name}' for name in names},
        'promotion': None,
        'databases': {name: make_database(name) for name in names},
        'lease_holders': {},
        'failure_reason': '',
    }
    return GroupFacts(**{**values, **changes})


def started_facts(**changes):
    return make_facts(
        promotion=RunningPromotion(from_term=3, to_term=4), **changes
    )


def chosen_facts(**changes):
    choice = RunningPromotion(
        from_term=3, to_term=4, upstream='b', data_id='data-b'
    )
    return make_facts(promotion=choice, **changes)


def make_driver():
    return PromotionDriver(refused_ms=200, silent_ms=800)


def answer_seal_requests(driver, facts, now_ms=0, **indexes):
    """Answer the pending seal requests and return the next command.

    Parameters
    ----------
    indexes : int
        Index of the last position received, by name of the database.
    """
    requests = promotion.admin_requests(driver, facts)
    for name, index in indexes.items():
        sealed = SealedDatabase(
            data_id=f'data-{name}', received=LogPosition(3, index)
        )
        promotion.on_sealed(driver, facts, requests[name], True, 4, sealed)
    return promotion.next_command(driver, now_ms, facts)


def test_new_term_is_above_every_reported_term():
    # Guards against a term that a sealed database refuses.
    databases = {'a': make_database('a'), 'b': make_database('b', term=7)}
    command = promotion.next_command(
        make_driver(),
        0,
        make_facts(failure_reason='primary failed', databases=databases),
    )
    assert isinstance(command, StartPromotion)
    assert (command.from_term, command.to_term) == (3, 8)


def test_no_choice_without_a_quorum():
    # Guards against losing a write that only an unsealed database holds.
    driver = make_driver()
    assert answer_seal_requests(driver, started_facts(), b=99) is None
    assert missing_databases(driver, started_facts()) == ['a', 'c']
    command = answer_seal_requests(driver, started_facts(), c=100)
    assert isinstance(command, ChoosePrimary)
    assert (command.upstream, command.position) == ('c', LogPosition(3, 100))


def test_no_choice_while_a_proxy_may_hold_a_lease():
    # Guards against a write that is acknowledged on the replaced primary and
    # that the chosen database lacks.
    driver = make_driver()
    facts = started_facts(lease_holders={'p': 500.0})
    assert answer_seal_requests(driver, facts, b=1, c=2) is None
    assert promotion.next_promotion_due_ms(driver, 0, facts) == 500
    assert isinstance(
        promotion.next_command(driver, 500, started_facts()), ChoosePrimary
    )


def test_wiped_database_is_not_part_of_the_quorum():
    # Guards against counting a database that has lost acknowledged writes.
    driver = make_driver()
    facts = started_facts()
    facts.databases['b'].data_id = 'data-new'
    assert answer_seal_requests(driver, facts, b=99, c=5) is None
    driver, facts = make_driver(), started_facts()
    requests = promotion.admin_requests(driver, facts)
    sealed = SealedDatabase(data_id='data-new', received=LogPosition(3, 99))
    promotion.on_sealed(driver, facts, requests['b'], True, 4, sealed)
    assert answer_seal_requests(driver, facts, c=5) is None
    facts.databases['b'].data_id = 'data-new'
    assert promotion.next_command(driver, 0, facts) is None


def test_failed_primary_is_not_chosen_again():
    # Guards against promoting a database that the proxies cannot reach.
    driver = make_driver()
    facts = started_facts(failure_reason='primary failed')
    command = answer_seal_requests(driver, facts, a=20, b=10, c=11)
    assert command.upstream == 'c'


def test_old_primary_is_chosen_if_others_are_no_quorum():
    # Guards against excluding the only database that holds every write.
    driver = make_driver()
    command = answer_seal_requests(driver, started_facts(), a=20, b=10)
    assert command.upstream == 'a'


def test_leaving_primary_waits_a_grace_period_for_replicas():
    # Guards against choosing the leaving database, or a replica that lags but
    # answered first.
    driver = make_driver()
    facts = started_facts()
    facts.databases['a'].leaving = True
    assert answer_seal_requests(driver, facts, a=20, b=10) is None
    assert answer_seal_requests(driver, facts, 50, c=20).upstream == 'c'


def test_operator_may_accept_loss_of_writes():
    # Guards against a group that never gets a primary again.
    driver = make_driver()
    facts = started_facts(databases={'b': make_database('b')})
    assert answer_seal_requests(driver, facts, b=5) is None
    promotion.request_promotion(driver, 'g', 'operator', True)
    command = promotion.next_command(driver, 10, facts)
    assert isinstance(command, AbandonPromotion)
    without_promotion = make_facts(
        databases={'b': make_database('b')}, last_term=4
    )
    command = promotion.next_command(driver, 11, without_promotion)
    assert isinstance(command, StartPromotion)
    assert (command.to_term, command.accept_loss) == (5, True)
    with_loss = RunningPromotion(from_term=3, to_term=5, accept_loss=True)
    facts = make_facts(
        databases={'b': make_database('b')}, promotion=with_loss
    )
    assert answer_seal_requests(driver, facts, 12, b=5).upstream == 'b'


def test_accepted_loss_applies_to_one_promotion_only():
    # Guards against a later promotion that inherits the permission.
    driver = make_driver()
    with_loss = RunningPromotion(from_term=3, to_term=4, accept_loss=True)
    promotion.next_command(driver, 0, make_facts(promotion=with_loss))
    command = promotion.next_command(
        driver, 1, make_facts(failure_reason='failed')
    )
    assert not command.accept_loss


def test_new_leader_continues_with_the_committed_choice():
    # Guards against choosing another database in the same term.
    driver = make_driver()
    assert promotion.next_command(driver, 0, chosen_facts()) is None
    requests = promotion.admin_requests(driver, chosen_facts())
    assert list(requests) == ['b']
    assert (requests['b'].action, requests['b'].term) == ('promote', 4)
    promotion.on_admin_done(driver, chosen_facts(), requests['b'], True, 4)
    command = promotion.next_command(driver, 1, chosen_facts())
    assert isinstance(command, FinishPromotion)


def test_promotion_of_unreachable_database_is_abandoned():
    # Guards against a group that waits forever for a dead database.
    driver = make_driver()
    assert promotion.next_command(driver, 0, chosen_facts()) is None
    request = promotion.admin_requests(driver, chosen_facts())['b']
    promotion.on_connection_refused(driver, 10, chosen_facts(), request)
    assert promotion.next_command(driver, 209, chosen_facts()) is None
    command = promotion.next_command(driver, 210, chosen_facts())
    assert isinstance(command, AbandonPromotion)
    # Abandoning after the choice leaves the group without a primary.
    without_primary = make_facts(primary=None, last_term=4)
    command = promotion.next_command(driver, 211, without_primary)
    assert isinstance(command, StartPromotion)
    assert command.to_term == 5


def test_restart_after_a_seal_by_an_abandoned_promotion():
    # Guards against a group whose replicas refuse the present term because a
    # leader died after it abandoned a promotion and before it restarted it.
    facts = make_facts()
    facts.databases['b'].term = 4
    command = promotion.next_command(make_driver(), 0, facts)
    assert isinstance(command, StartPromotion)
    assert command.to_term == 5


def test_promotion_is_abandoned_if_a_database_has_a_newer_term():
    # Guards against repeating a request whose term is always refused.
    driver = make_driver()
    request = promotion.admin_requests(driver, started_facts())['b']
    sealed = SealedDatabase(data_id='data-b', received=LogPosition(3, 1))
    promotion.on_sealed(driver, started_facts(), request, False, 9, sealed)
    command = promotion.next_command(driver, 0, started_facts())
    assert isinstance(command, AbandonPromotion)
    command = promotion.next_command(driver, 1, make_facts(last_term=4))
    assert command.to_term == 10


def test_replicas_get_follow_requests_again_on_reconnect():
    # Guards against a reconnected old primary that keeps a diverged log.
    driver = make_driver()
    facts = make_facts()
    facts.databases['c'].leads = True
    requests = promotion.admin_requests(driver, facts)
    assert {n: request.action for n, request in requests.items()} == {
        'b': 'follow',
        'c': 'follow',
    }
    promotion.on_admin_done(driver, facts, requests['b'], True, 3)
    promotion.on_admin_done(driver, facts, requests['c'], True, 3)
    assert list(promotion.admin_requests(driver, facts)) == ['c']
    facts = make_facts()
    assert promotion.admin_requests(driver, facts) == {}
    facts.databases['b'].announce_conn = 2
    assert list(promotion.admin_requests(driver, facts)) == ['b']


def test_admission_needs_a_position_reported_after_the_join():
    # Guards against counting a wiped database before it holds the writes that
    # were acknowledged while it had its old data.
    driver = make_driver()
    facts = make_facts(database_set={'a': 'data-a', 'b': 'data-b', 'c': 'old'})
    assert promotion.next_command(driver, 100, facts) is None
    facts.databases['a'].last_contact_ms = 150
    facts.databases['a'].received = LogPosition(3, 50)
    assert promotion.next_command(driver, 151, facts) is None
    facts.databases['c'].received = LogPosition(3, 50)
    facts.databases['c'].term = 2
    assert promotion.next_command(driver, 160, facts) is None
    facts.databases['c'].term = 3
    command = promotion.next_command(driver, 170, facts)
    assert isinstance(command, AdmitDatabase)
    assert (command.name, command.data_id) == ('c', 'data-c')


def test_refused_command_is_not_repeated_at_once():
    # Guards against filling the log with commands that are refused.
    driver = make_driver()
    progress_of(driver, 'g').retry_at_ms = 100
    facts = make_facts(failure_reason='failed')
    assert promotion.next_command(driver, 99, facts) is None
    assert promotion.next_command(driver, 100, facts) is not None
