"""Change sets that race, are sent again, or must not be accepted."""

from __future__ import annotations

import json

import pytest

from jackdawpost.core.control.machine import decode_snapshot
from jackdawpost.core.control.machine import encode_snapshot
from jackdawpost.core.objects import change_sets
from jackdawpost.tests.core.control.machine_driver import build_group
from jackdawpost.tests.core.control.machine_driver import create
from jackdawpost.tests.core.control.machine_driver import Driver
from jackdawpost.tests.core.control.machine_driver import operation

AGES = ('allowance', 'reports')


def _configured():
    driver = build_group()
    answer = driver.change(
        'base',
        create(*AGES, max_age_ms=500),
        create('allowance', 'shops', fallback='reports'),
        create('rule', 'sales', groups=['orders'], allowance='shops'),
        create('limit', 'orders', group='orders'),
    )
    assert answer.accepted, answer.faults
    return driver


def test_second_of_two_changes_with_equal_base_names_the_winner():
    # Guards against the later operator silently undoing the earlier change.
    driver = _configured()
    base = driver.machine.revision
    amend = operation('amend', *AGES, max_age_ms=100)
    assert driver.change('a', amend, base=base, operator='ada').accepted
    amend = operation('amend', *AGES, max_age_ms=900)
    answer = driver.change('b', amend, base=base, operator='bo')
    assert not answer.accepted
    assert answer.revision == base + 1
    assert answer.faults[0].field == 'base_revision'
    assert str(base + 1) in answer.faults[0].message
    assert "'a' of 'ada'" in answer.faults[0].message
    assert driver.machine.objects.allowances['reports'].max_age_ms == 100


@pytest.mark.parametrize('base_step', [1, 100])
def test_base_revision_of_the_future_is_rejected(base_step):
    # Guards against accepting a change written against another deployment.
    driver = _configured()
    base = driver.machine.revision + base_step
    answer = driver.change('a', create('group', 'g', databases=1), base=base)
    assert [fault.field for fault in answer.faults] == ['base_revision']


@pytest.mark.parametrize('restart', [False, True])
@pytest.mark.parametrize('accepted', [False, True])
def test_resend_gets_the_first_answer(restart, accepted):
    # Guards against applying a change twice after a lost answer, and against
    # forgetting answers when a process restarts from a snapshot.
    driver = _configured()
    item = create('group', 'stock', databases=3 if accepted else 0)
    first = driver.change('a', item)
    assert first.accepted is accepted
    driver.change('later', operation('amend', *AGES, max_age_ms=7))
    before = driver.state_without_index()
    if restart:
        driver.machine = decode_snapshot(encode_snapshot(driver.machine))
    again = driver.change('a', item)
    assert again.duplicate
    again.duplicate = False
    assert again == first
    assert driver.state_without_index() == before


def test_reused_change_id_with_other_content_is_refused():
    # Guards against telling an operator that a change was accepted which was
    # never applied, and against losing the first answer.
    driver = _configured()
    first = create('group', 'stock', databases=3)
    assert driver.change('a', first).accepted
    other = create('group', 'returns', databases=3)
    answer = driver.change('a', other)
    assert not answer.accepted and not answer.duplicate
    assert answer.faults[0].field == 'change_id'
    assert 'returns' not in driver.machine.objects.groups
    assert driver.change('a', first).accepted


def test_answers_and_history_keep_the_latest(monkeypatch):
    # Guards against growing without bound, and against dropping the newest.
    monkeypatch.setattr(change_sets, 'MAX_CHANGE_ANSWERS', 3)
    monkeypatch.setattr(change_sets, 'MAX_HISTORY', 2)
    driver = Driver()
    for number in range(5):
        item = create('group', f'g{number}', databases=3)
        assert driver.change(f'c{number}', item).accepted
    assert list(driver.machine.answers) == ['c2', 'c3', 'c4']
    assert [e.revision for e in driver.machine.history] == [4, 5]


# Each line guards against accepting one kind of faulty operation: action,
# object, body, and the place that the fault must name for the operator.
FAULTY = r"""
create queue/q           {}                              queue/q type
create group/G           {"databases": 3}                group/G name
create group/orders      {"databases": 3}                group/orders
amend  group/x           {}                              group/x
delete group/x           {}                              group/x
delete limit/orders      {"group": "x"}                  limit/orders body
create group/g           {"databases": 3, "colour": 1}   group/g colour
create group/g           {}                              group/g databases
create group/g           {"databases": 0}                group/g databases
create group/g           {"databases": 10}               group/g databases
create group/g           {"databases": true}             group/g databases
create group/g           {"databases": "3"}              group/g databases
create group/g           {"databases": 1}                group/g write_copies
amend  group/orders      {"write_copies": 4}             group/orders write_copies
amend  group/orders      {"write_copies": 0}             group/orders write_copies
amend  group/orders      {"replica_wait_ms": -1}         group/orders replica_wait_ms
amend  allowance/reports {"max_age_ms": -1}              allowance/reports max_age_ms
amend  allowance/reports {"max_age_ms": null}            allowance/reports
amend  allowance/reports {"fallback": "shops"}           allowance/reports
amend  allowance/reports {"max_age_ms": null, "fallback": "shops"} allowance/reports fallback
create allowance/a       {"fallback": "a"}               allowance/a fallback
create allowance/a       {"fallback": "x"}               allowance/a fallback
create rule/r            {"groups": ["orders", "x"]}     rule/r groups.1
create rule/r            {"groups": ["orders\n"]}        rule/r groups.0
create rule/r            {"groups": []}                  rule/r groups
create rule/r            {"groups": ["orders", "orders"]} rule/r groups
amend  rule/sales        {"allowance": "x"}              rule/sales allowance
amend  rule/sales        {"read_only": 1}                rule/sales read_only
amend  limit/orders      {"retry_ratio": 1.5}            limit/orders retry_ratio
amend  limit/orders      {"retry_ratio": NaN}            limit/orders retry_ratio
amend  limit/orders      {"retry_ratio": "1"}            limit/orders retry_ratio
amend  limit/orders      {"queue_length": 0}             limit/orders queue_length
amend  limit/orders      {"max_deadline_ms": 60001}      limit/orders max_deadline_ms
create limit/x           {"group": "orders"}             limit/x group
create limit/x           {"group": "x"}                  limit/x group
delete allowance/reports {}                              allowance/reports
create upstream/db-1     {"group": "x"}                  upstream/db-1 group
create upstream/db-1     {"group": "fine"}               upstream/db-1 group
create upstream/db-1     {"drained": 1}                  upstream/db-1 drained
"""  # noqa: E501


@pytest.mark.parametrize('line', FAULTY.strip().splitlines())
def test_faulty_change_set_changes_nothing(line):
    action, key, rest = line.split(maxsplit=2)
    body, end = json.JSONDecoder().raw_decode(rest)
    faulty_object, _, field = rest[end:].strip().partition(' ')
    driver = _configured()
    published = dict(driver.machine.published)
    objects = list(driver.machine.objects.items())
    item = operation(action, *key.split('/'), **body)
    answer = driver.change('a', create('group', 'fine', databases=3), item)
    assert not answer.accepted
    places = [(fault.object, fault.field) for fault in answer.faults]
    assert (faulty_object, field) in places
    assert driver.machine.published == published
    assert list(driver.machine.objects.items()) == objects


def test_one_reject_lists_every_fault_without_false_ones():
    # Guards against one round trip per fault, and against reporting a group
    # as missing only because its own fields are faulty.
    driver = _configured()
    answer = driver.change(
        'a',
        create('group', 'stock', databases=0, colour=1),
        create('rule', 'stock', groups=['stock', 'x'], size=1),
        create('limit', 'stock', group='stock', queue_length=0),
    )
    assert sorted((f.object, f.field) for f in answer.faults) == [
        ('group/stock', 'colour'),
        ('group/stock', 'databases'),
        ('limit/stock', 'queue_length'),
        ('rule/stock', 'groups.1'),
        ('rule/stock', 'size'),
    ]


def test_empty_doubled_and_oversized_change_sets_are_rejected():
    # Guards against a revision without a change, and against an order of
    # operations that decides the result.
    driver = _configured()
    assert driver.change('a').faults[0].field == 'operations'
    item = operation('amend', *AGES, max_age_ms=1)
    assert not driver.change('b', item, item).accepted
    many = [create('group', f'g{n}', databases=3) for n in range(1_001)]
    assert driver.change('c', *many).faults[0].field == 'operations'
    assert not driver.change('d', item, operator='').accepted
    assert not driver.change('', item).accepted


def test_draining_the_last_upstream_of_a_group_is_rejected():
    # Guards against a group that can never have a primary.
    driver = build_group()
    drains = [
        create('upstream', f'db-{number}', drained=True)
        for number in (1, 2, 3)
    ]
    answer = driver.change('all', *drains)
    assert [f.object for f in answer.faults] == ['group/orders']
    assert driver.change('two', *drains[:2]).accepted
    assert not driver.change('last', drains[2]).accepted
    body = driver.machine.published['upstream/db-1'].body
    assert body['leaving'] is True


def test_group_in_use_cannot_be_deleted_and_keeps_its_term():
    # Guards against a group created again under the same name at term 0,
    # whose writes sealed upstreams would refuse.
    driver = build_group(databases=('db-1',))
    delete = operation('delete', 'group', 'orders')
    assert driver.change('a', delete).faults[0].object == 'group/orders'
    driver.machine.groups['orders'].term = 4
    driver.machine.groups['orders'].last_term = 6
    driver.remove('db-1', 'db-1-data', 'left')
    assert driver.change('b', delete).accepted
    assert 'group/orders' not in driver.machine.published
    item = create('group', 'orders', databases=3)
    assert driver.change('c', item).accepted
    assert driver.machine.groups['orders'].last_term == 6


def test_amend_keeps_other_fields_and_null_resets_one():
    # Guards against an amend that drops settings it does not name.
    driver = _configured()
    item = operation('amend', 'rule', 'sales', read_only=True)
    assert driver.change('a', item).accepted
    rule = driver.machine.objects.rules['sales']
    assert (rule.allowance, rule.read_only) == ('shops', True)
    item = operation('amend', 'rule', 'sales', allowance=None)
    assert driver.change('b', item).accepted
    assert driver.machine.objects.rules['sales'].allowance is None


def test_fallback_is_published_as_its_current_age():
    # Guards against proxies that keep the age of a fallback amended later.
    driver = _configured()
    driver.change('a', operation('amend', *AGES, max_age_ms=250))
    body = driver.machine.published['allowance/shops'].body
    assert body == {'name': 'shops', 'max_age_ms': 250}
