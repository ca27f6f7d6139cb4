"""Failures of the promotion driver, step by step."""

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


def database(name, **changes):
    values = {
        'name': name,
        'data_id': f'data-{name}',
        'host': '127.0.0.1',
        'port': 1,
        'term': 3,
        'leads': name == 'a',
        'received': LogPosition(3, 10),
        'leaving': False,
        'session': 1,
        'last_contact_ms': 0.0,
    }
    return Database(**{**values, **changes})


def facts(**changes):
    names = ('a', 'b', 'c')
    values = {
        'name': 'g',
        'size': 3,
        'needed': 2,
        'term': 3,
        'last_term': 3,
        'primary': 'a',
        'database_set': {name: f'data-{name}' for name in names},
        'promotion': None,
        'databases': {name: database(name) for name in names},
        'lease_holders': {},
        'failed': '',
    }
    return GroupFacts(**{**values, **changes})


def started(**changes):
    return facts(promotion=RunningPromotion(from_term=3, to_term=4), **changes)


def chosen(**changes):
    choice = RunningPromotion(
        from_term=3, to_term=4, upstream='b', data_id='data-b'
    )
    return facts(promotion=choice, **changes)


def driver():
    return PromotionDriver(refused_ms=200, silent_ms=800)


def hear(drive, known, now_ms=0, **indexes):
    """Let databases answer the seal requests that they owe."""
    requests = promotion.admin_requests(drive, known)
    for name, index in indexes.items():
        sealed = SealedDatabase(
            data_id=f'data-{name}', received=LogPosition(3, index)
        )
        promotion.on_sealed(drive, known, requests[name], True, 4, sealed)
    return promotion.next_command(drive, now_ms, known)


def test_new_term_is_above_every_term_seen():
    # Guards against a term that a sealed database refuses.
    seen = {'a': database('a'), 'b': database('b', term=7)}
    command = promotion.next_command(
        driver(), 0, facts(failed='primary failed', databases=seen)
    )
    assert isinstance(command, StartPromotion)
    assert (command.from_term, command.to_term) == (3, 8)


def test_one_database_too_few_is_not_enough():
    # Guards against losing a write that only the unheard database holds.
    drive = driver()
    assert hear(drive, started(), b=99) is None
    assert missing_databases(drive, started()) == ['a', 'c']
    command = hear(drive, started(), c=100)
    assert isinstance(command, ChoosePrimary)
    assert (command.upstream, command.position) == ('c', LogPosition(3, 100))


def test_no_choice_while_a_proxy_may_hold_a_lease():
    # Guards against a write acknowledged by the replaced primary.
    drive = driver()
    fenced = started(lease_holders={'p': 500.0})
    assert hear(drive, fenced, b=1, c=2) is None
    assert promotion.next_promotion_due_ms(drive, 0, fenced) == 500
    assert isinstance(
        promotion.next_command(drive, 500, started()), ChoosePrimary
    )


def test_wiped_database_does_not_count():
    # Guards against counting a database that lost acknowledged writes.
    drive = driver()
    known = started()
    known.databases['b'].data_id = 'data-new'
    assert hear(drive, known, b=99, c=5) is None
    drive, known = driver(), started()
    requests = promotion.admin_requests(drive, known)
    sealed = SealedDatabase(data_id='data-new', received=LogPosition(3, 99))
    promotion.on_sealed(drive, known, requests['b'], True, 4, sealed)
    assert hear(drive, known, c=5) is None
    known.databases['b'].data_id = 'data-new'
    assert promotion.next_command(drive, 0, known) is None


def test_failed_primary_is_not_chosen_again():
    # Guards against promoting the database that the proxies cannot reach.
    drive = driver()
    known = started(failed='primary failed')
    command = hear(drive, known, a=20, b=10, c=11)
    assert command.upstream == 'c'


def test_old_primary_is_chosen_if_others_are_too_few():
    # Guards against dropping the only database that holds every write.
    drive = driver()
    command = hear(drive, started(), a=20, b=10)
    assert command.upstream == 'a'


def test_leaving_primary_waits_briefly_for_further_replicas():
    # Guards against choosing the leaving database or the replica that is
    # behind because it answered first.
    drive = driver()
    known = started()
    known.databases['a'].leaving = True
    assert hear(drive, known, a=20, b=10) is None
    assert hear(drive, known, 50, c=20).upstream == 'c'


def test_operator_may_accept_loss():
    # Guards against a group that stays without a primary for ever.
    drive = driver()
    blocked = started(databases={'b': database('b')})
    assert hear(drive, blocked, b=5) is None
    promotion.request_promotion(drive, 'g', 'operator', True)
    command = promotion.next_command(drive, 10, blocked)
    assert isinstance(command, AbandonPromotion)
    idle = facts(databases={'b': database('b')}, last_term=4)
    command = promotion.next_command(drive, 11, idle)
    assert isinstance(command, StartPromotion)
    assert (command.to_term, command.accept_loss) == (5, True)
    again = RunningPromotion(from_term=3, to_term=5, accept_loss=True)
    blocked = facts(databases={'b': database('b')}, promotion=again)
    assert hear(drive, blocked, 12, b=5).upstream == 'b'


def test_accepted_loss_holds_for_one_promotion():
    # Guards against a later promotion that inherits the permission.
    drive = driver()
    again = RunningPromotion(from_term=3, to_term=4, accept_loss=True)
    promotion.next_command(drive, 0, facts(promotion=again))
    command = promotion.next_command(drive, 1, facts(failed='failed'))
    assert not command.accept_loss


def test_new_leader_goes_on_with_the_committed_choice():
    # Guards against a second choice of another database in the same term.
    drive = driver()
    assert promotion.next_command(drive, 0, chosen()) is None
    requests = promotion.admin_requests(drive, chosen())
    assert list(requests) == ['b']
    assert (requests['b'].action, requests['b'].term) == ('promote', 4)
    promotion.on_admin_done(drive, chosen(), requests['b'], True, 4)
    command = promotion.next_command(drive, 1, chosen())
    assert isinstance(command, FinishPromotion)


def test_chosen_database_that_dies_is_given_up():
    # Guards against a group that waits for a dead database for ever.
    drive = driver()
    assert promotion.next_command(drive, 0, chosen()) is None
    request = promotion.admin_requests(drive, chosen())['b']
    promotion.on_connection_refused(drive, 10, chosen(), request)
    assert promotion.next_command(drive, 209, chosen()) is None
    command = promotion.next_command(drive, 210, chosen())
    assert isinstance(command, AbandonPromotion)
    # The machine leaves the group without a primary after a choice.
    lone = facts(primary=None, last_term=4)
    command = promotion.next_command(drive, 211, lone)
    assert isinstance(command, StartPromotion)
    assert command.to_term == 5


def test_restart_after_a_seal_by_an_abandoned_promotion():
    # Guards against a group whose replicas refuse the present term after
    # a leader died between giving up and starting again.
    known = facts()
    known.databases['b'].term = 4
    command = promotion.next_command(driver(), 0, known)
    assert isinstance(command, StartPromotion)
    assert command.to_term == 5


def test_database_that_knows_a_higher_term_ends_the_attempt():
    # Guards against asking with a term that is refused for ever.
    drive = driver()
    request = promotion.admin_requests(drive, started())['b']
    sealed = SealedDatabase(data_id='data-b', received=LogPosition(3, 1))
    promotion.on_sealed(drive, started(), request, False, 9, sealed)
    command = promotion.next_command(drive, 0, started())
    assert isinstance(command, AbandonPromotion)
    command = promotion.next_command(drive, 1, facts(last_term=4))
    assert command.to_term == 10


def test_others_follow_and_are_told_again_when_they_return():
    # Guards against a returning old primary that keeps its own history.
    drive = driver()
    known = facts()
    known.databases['c'].leads = True
    requests = promotion.admin_requests(drive, known)
    assert {n: w.action for n, w in requests.items()} == {
        'b': 'follow',
        'c': 'follow',
    }
    promotion.on_admin_done(drive, known, requests['b'], True, 3)
    promotion.on_admin_done(drive, known, requests['c'], True, 3)
    assert list(promotion.admin_requests(drive, known)) == ['c']
    known = facts()
    assert promotion.admin_requests(drive, known) == {}
    known.databases['b'].session = 2
    assert list(promotion.admin_requests(drive, known)) == ['b']


def test_admission_needs_a_position_heard_after_the_join():
    # Guards against counting a wiped database before it holds the writes
    # that were acknowledged with its old data.
    drive = driver()
    known = facts(database_set={'a': 'data-a', 'b': 'data-b', 'c': 'old'})
    assert promotion.next_command(drive, 100, known) is None
    known.databases['a'].last_contact_ms = 150
    known.databases['a'].received = LogPosition(3, 50)
    assert promotion.next_command(drive, 151, known) is None
    known.databases['c'].received = LogPosition(3, 50)
    known.databases['c'].term = 2
    assert promotion.next_command(drive, 160, known) is None
    known.databases['c'].term = 3
    command = promotion.next_command(drive, 170, known)
    assert isinstance(command, AdmitDatabase)
    assert (command.name, command.data_id) == ('c', 'data-c')


def test_refused_command_is_not_repeated_at_once():
    # Guards against a log that fills with commands that have no effect.
    drive = driver()
    progress_of(drive, 'g').retry_at_ms = 100
    known = facts(failed='failed')
    assert promotion.next_command(drive, 99, known) is None
    assert promotion.next_command(drive, 100, known) is not None
