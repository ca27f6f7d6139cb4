"""Decoding of the JSON bodies of HTTP requests to a control process."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from jackdawpost.core.control.commands import DeclareObjects
from jackdawpost.core.control.machine import apply_command
from jackdawpost.core.control.machine import decode_snapshot
from jackdawpost.core.control.machine import encode_snapshot
from jackdawpost.core.control.machine import new_machine
from jackdawpost.core.keys import digest_caller_key
from jackdawpost.errors import DocumentError
from jackdawpost.errors import ProtocolError
from jackdawpost.platform.documents import decode_config
from jackdawpost.platform.documents import decode_departure
from jackdawpost.platform.documents import decode_instance


def _route(name='r-1', **fields):
    return {
        'name': name,
        'databaseName': name,
        'pathPrefix': '/',
        'type': 'primary',
        'timeoutMs': 1_000,
        'targetLatencyMs': 400,
        'priority': 1,
        'service': 'pool',
        'maxAttempts': 2,
        **fields,
    }


def _config(version=7, routes=None, **fields):
    return {
        'version': version,
        'routes': [_route()] if routes is None else routes,
        'services': [
            {'name': 'pool', 'maxConnections': 21, 'syncReplicas': 1}
        ],
        'limits': {'txnIdleMs': 3_000},
        **fields,
    }


def _apply_config(machine, index, config):
    request = decode_config(json.dumps(config).encode())
    command = DeclareObjects(
        version=request.version,
        document=request.document,
        objects=request.objects,
    )
    return apply_command(machine, index, command)


def test_routes_are_converted_to_endpoints_with_limits_of_their_group():
    machine = new_machine()
    route = _route('r-2', type='read_your_writes', maxStalenessMs=2_500)
    applied = _apply_config(machine, 1, _config(routes=[_route(), route]))
    assert applied.answer.accepted and applied.changed
    body = machine.published['endpoint/r-2'].body
    assert body['max_age_ms'] == 2_500
    assert body['max_connections'] == 21
    assert body['idle_txn_ms'] == 3_000
    assert machine.objects.groups['pool'].write_copies == 2


@pytest.mark.parametrize(
    'changed_fields',
    [
        {'routes': [_route(service='other')]},
        {'routes': [_route(timeoutMs=0)]},
        {'routes': [_route(), _route('r-2', databaseName='r-1')]},
        {'routes': [_route(), _route()]},
        {'routes': [_route(type='sometimes')]},
        {'version': '7'},
        {'version': True},
        {'services': None},
    ],
)
def test_invalid_configuration_is_rejected_as_a_whole(changed_fields):
    machine = new_machine()
    _apply_config(machine, 1, _config(version=1))
    before = encode_snapshot(machine)
    try:
        applied = _apply_config(machine, 2, {**_config(), **changed_fields})
    except ProtocolError:
        return
    assert not applied.answer.accepted and applied.answer.faults
    machine.applied_index = 1
    assert encode_snapshot(machine) == before


def _tenant(name='shop', keys=('the-secret',), **fields):
    return {'name': name, 'apiKeys': list(keys), **fields}


def test_tenants_are_converted_to_objects_without_their_keys():
    # Guards against a plain key in the replicated state, and against an
    # endpoint that is open because its setting was lost.
    machine = new_machine()
    routes = [_route(public=False)]
    tenants = [_tenant(ratePerS=40, burst=10.5), _tenant('idle', keys=[])]
    config = _config(routes=routes, tenants=tenants)
    assert _apply_config(machine, 1, config).answer.accepted
    shop = machine.published['tenant/shop'].body
    assert shop['keys'] == [digest_caller_key('the-secret')]
    assert (shop['rate_per_s'], shop['burst']) == (40, 10.5)
    idle = machine.published['tenant/idle'].body
    assert (idle['keys'], idle['rate_per_s'], idle['burst']) == ([], None, 0)
    assert machine.published['endpoint/r-1'].body['public'] is False
    assert 'the-secret' not in repr(machine.objects)


@pytest.mark.parametrize(
    ('tenants', 'expected'),
    [
        ([_tenant(), _tenant('other')], 'is that of tenant'),
        ([_tenant(), _tenant(keys=['x'])], 'shop name: is used twice'),
        ([_tenant(keys=[''])], 'shop keys.0: a key is not valid'),
        ([_tenant(keys=['the-secret a'])], 'shop keys.0: a key is not valid'),
        ([_tenant(keys=[150 * 'the-secret'])], 'shop keys.0: a key is not'),
        ([_tenant(keys=[7])], 'tenants.0.apiKeys.0: Input should be'),
        ([{'name': 'shop', 'apiKeys': 'the-secret'}], 'tenants.0.apiKeys: '),
        (['the-secret'], 'tenants.0: '),
        ({'shop': 'the-secret'}, 'tenants: '),
        ([_tenant(name='')], 'tenants.0.name: '),
        ([_tenant(ratePerS=0)], 'shop rate_per_s: 0: '),
        ([_tenant(ratePerS=-2.5)], 'shop rate_per_s: -2.5: '),
        ([_tenant(ratePerS='fast')], "shop rate_per_s: 'fast': "),
        ([_tenant(ratePerS=True)], 'shop rate_per_s: True: '),
        ([_tenant(ratePerS=float('nan'))], 'shop rate_per_s: nan: '),
        ([_tenant(burst=-1)], 'shop burst: -1: '),
        ([_tenant(burst=None)], 'shop burst: None: '),
    ],
)
def test_invalid_tenant_is_rejected_without_quoting_a_key(tenants, expected):
    # Guards against a limit that is not in force because its value was
    # ignored, and against a key in the answer to the operator.
    machine = new_machine()
    try:
        applied = _apply_config(machine, 1, _config(tenants=tenants))
    except ProtocolError as exc:
        text = str(exc)
    else:
        assert not applied.answer.accepted
        text = '; '.join(
            f'{fault.object} {fault.field}: {fault.message}'
            for fault in applied.answer.faults
        )
    assert expected in text
    assert 'the-secret' not in text
    assert machine.declared is None and not machine.objects.tenants


def test_error_names_the_place_and_the_value():
    # Guards against an operator who has to search a large document for the
    # value that is wrong.
    config = _config(routes=[_route(), _route('r-2', timeoutMs='1 s')])
    with pytest.raises(DocumentError) as caught:
        decode_config(json.dumps(config).encode())
    [(path, text)] = caught.value.problems
    assert path == 'routes.1.timeoutMs' and text.startswith("'1 s': ")


def test_incomplete_document_with_keys_is_rejected_without_quoting_them():
    # Guards against an error that quotes the whole document.
    body = json.dumps(_config(tenants=[_tenant()])).encode()
    for length in (len(body) - 1, body.index(b'secret') + 3):
        with pytest.raises(ProtocolError) as caught:
            decode_config(body[:length])
        assert 'secret' not in str(caught.value)


@settings(derandomize=True, max_examples=60)
@given(st.integers(min_value=0, max_value=400))
def test_truncated_configuration_is_rejected(length):
    body = json.dumps(_config()).encode()
    if length < len(body):
        with pytest.raises(ProtocolError):
            decode_config(body[:length])


def test_highest_version_wins_and_lower_ones_are_accepted_without_effect():
    # Guards against the rejection of a change that is sent again, and against
    # a stored version whose content is replaced.
    machine = new_machine()
    _apply_config(machine, 1, _config(version=7))
    stored = machine.declared.document
    for version in (7, 6):
        other = _config(version=version, routes=[])
        applied = _apply_config(machine, 2, other)
        assert applied.answer.accepted and not applied.changed
    assert machine.declared.document == stored
    assert 'endpoint/r-1' in machine.published


def test_declared_configuration_survives_a_snapshot():
    machine = new_machine()
    _apply_config(machine, 1, _config(version=7))
    restored = decode_snapshot(encode_snapshot(machine))
    assert restored.declared == machine.declared
    assert _apply_config(restored, 2, _config(version=7)).answer.accepted


def test_removed_route_is_withdrawn_from_proxies():
    machine = new_machine()
    _apply_config(machine, 1, _config(version=7))
    _apply_config(machine, 2, _config(version=8, routes=[]))
    assert 'endpoint/r-1' not in machine.published
    assert 'endpoint/r-1' in machine.tombstones


def test_instance_is_decoded():
    body = {
        'service': 'pool',
        'address': '10.1.0.9:8080',
        'zone': 'rvk-a',
        'version': 'v1',
        'slots': 3,
        'state': 'draining',
        'coldRemainingMs': 0,
        'dbRole': 'primary',
        'sequence': 4,
        'born': 1_700_000_000_000,
    }
    report = decode_instance('i-1', json.dumps(body).encode())
    assert (report.host, report.port) == ('10.1.0.9', 8080)
    assert (report.state, report.leads) == ('draining', True)
    assert report.started_ms == 1_700_000_000_000
    for key in ('service', 'address', 'state', 'dbRole', 'sequence'):
        incomplete = {k: v for k, v in body.items() if k != key}
        with pytest.raises(ProtocolError):
            decode_instance('i-1', json.dumps(incomplete).encode())
    for changed_fields in (
        {'sequence': 'x'},
        {'state': 'odd'},
        {'address': 'x'},
    ):
        with pytest.raises(ProtocolError):
            decode_instance(
                'i-1', json.dumps({**body, **changed_fields}).encode()
            )


def test_malformed_departure_identifies_no_incarnation():
    # `born`, the start time of a database, identifies its incarnation: the run
    # of the process from one start to the next.
    assert decode_departure(b'') is None
    assert decode_departure(b'\xff{') is None
    assert decode_departure(b'{"born": "x"}') is None
    assert decode_departure(b'{"born": 5}') == 5


@pytest.mark.parametrize(
    'address',
    [
        '127.0.0.1\ufffd:5432',
        'localhost:5432',
        'a..b:5432',
        '10.1.0.9',
        '10.1.0.9:',
        '10.1.0.9:0',
        '10.1.0.9:65536',
        '10.1.0.9:-1',
        '10.1.0.9:\u0665\u0664\u0663\u0662',
        '10.1.0.9:' + 5_000 * '1',
        '10.1.0.9 :5432',
        'fe80::1%any text:5432',
    ],
)
def test_report_without_a_usable_address_is_rejected(address):
    # Proxies connect to a reported address, so an invalid one would reach the
    # resolver of each of them.
    with pytest.raises(ProtocolError, match='expected IP:PORT'):
        _decode_report(address=address)


def _decode_report(name='i-1', **changed_fields):
    body = {
        'service': 'pool',
        'address': '10.1.0.9:5432',
        'zone': 'rvk-a',
        'state': 'ready',
        'dbRole': 'replica',
        'sequence': 1,
        **changed_fields,
    }
    return decode_instance(name, json.dumps(body).encode())


UNUSABLE_WORDS = [
    '',
    'a b',
    'a\r\nQUERY 1 WRITE b c',
    'a\n',
    '\x85',
    'x' * 256,
]


@pytest.mark.parametrize('text', UNUSABLE_WORDS)
def test_text_that_is_not_one_field_of_a_line_is_rejected(text):
    # Guards against a name or group whose rest becomes a statement, and
    # against texts that are too long for the control log.
    assert _decode_report(name='i-2', service='g', zone='a b')
    for fields in ({'name': text}, {'service': text}):
        with pytest.raises(ProtocolError):
            _decode_report(**fields)
    for config in (
        _config(services=[{'name': text}], routes=[_route(service=text)]),
        _config(tenants=[_tenant(name=text)]),
    ):
        with pytest.raises(ProtocolError):
            decode_config(json.dumps(config).encode())
    with pytest.raises(ProtocolError):
        _decode_report(zone='x' * 256)


def test_departure_nested_too_deeply_names_no_incarnation():
    # Guards against a body of 100 KB that ended the control process.
    assert decode_departure(b'[' * 100_000) is None
