"""Decoding of the JSON bodies of HTTP requests to a control process.

Operators send the whole configuration, and each database sends reports of its
state. The models list the JSON fields; the functions convert valid bodies
into the request types of the core.
"""

from __future__ import annotations

import json
import re
from ipaddress import ip_address
from typing import Any
from typing import Literal

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import JsonValue

from jackdawpost.core.control.commands import DeclareObject
from jackdawpost.core.keys import digest_caller_key
from jackdawpost.core.keys import is_valid_key
from jackdawpost.core.messages.registry import DeclareConfig
from jackdawpost.core.messages.registry import Registration
from jackdawpost.errors import ProtocolError
from jackdawpost.wire.json_bodies import parse_json_body
from jackdawpost.wire.json_bodies import Text
from jackdawpost.wire.json_bodies import validate_word
from jackdawpost.wire.json_bodies import Word
from jackdawpost.wire.sockets import MAX_PORT

_PORT_PATTERN = re.compile('[1-9][0-9]{0,4}')


class _RequestBody(BaseModel):
    # The platform may add fields, so unknown ones are ignored. Known fields
    # must have the exact type.
    model_config = ConfigDict(extra='ignore', strict=True, frozen=True)


class _Route(_RequestBody):
    name: str
    # Database name that callers give when they open a session.
    database: str = Field(alias='databaseName', min_length=1)
    path: str = Field(default='/', alias='pathPrefix')
    consistency: Literal[
        'primary', 'bounded_staleness', 'read_your_writes'
    ] = Field(alias='type')
    timeout_ms: int = Field(alias='timeoutMs', ge=1)
    objective_ms: int = Field(default=1_000, alias='targetLatencyMs', ge=1)
    priority: int = Field(default=1, ge=0)
    # Name of a database group, not of one of its members.
    group: str = Field(alias='service')
    max_age_ms: int = Field(default=0, alias='maxStalenessMs', ge=0)
    public: bool = True


class _Service(_RequestBody):
    name: Word
    # Limit for each database of the group, over all callers.
    max_connections: int = Field(default=0, alias='maxConnections', ge=0)
    # Number of replicas that must hold a commit before it is acknowledged.
    # The primary's own copy is not counted.
    sync_replicas: int = Field(default=0, alias='syncReplicas', ge=0, le=8)


class _Limits(_RequestBody):
    idle_txn_ms: int = Field(default=0, alias='txnIdleMs', ge=0)


class _Tenant(_RequestBody):
    name: Word
    keys: list[str] = Field(default_factory=list, alias='apiKeys')
    # The core checks the numbers; its faults name the tenant.
    rate_per_s: JsonValue = Field(default=None, alias='ratePerS')
    burst: JsonValue = 0


class _Config(_RequestBody):
    version: int = Field(ge=0, le=2**62)
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = Field(default_factory=_Limits)
    tenants: list[_Tenant] = Field(default_factory=list)


class _Instance(_RequestBody):
    group: Word = Field(alias='service')
    address: str
    # Name of the data centre.
    zone: Text
    slots: int = Field(default=0, ge=0, le=2**62)
    state: Literal['ready', 'draining']
    role: Literal['primary', 'replica'] = Field(alias='dbRole')
    # Number of the report within one incarnation of the database. `born`, the
    # Unix time of its start in ms, identifies the incarnation.
    sequence: int = Field(ge=0, le=2**62)
    born: int = Field(default=0, ge=0, le=2**62)


def decode_config(body: bytes) -> DeclareConfig:
    """Decode the configuration that operators declare.

    Raises
    ------
    DocumentError
        The body is not complete JSON, or a value is missing or invalid.
    """
    config = parse_json_body(_Config, body, secret_fields=['tenants'])
    objects = [_build_group(service) for service in config.services]
    max_ages_ms = {
        route.max_age_ms
        for route in config.routes
        if _has_staleness_limit(route)
    }
    objects += [
        DeclareObject(
            type='allowance',
            name=_allowance_name(max_age_ms),
            body={'max_age_ms': max_age_ms},
        )
        for max_age_ms in sorted(max_ages_ms)
    ]
    objects += [_build_endpoint(route, config) for route in config.routes]
    objects += [_build_tenant(tenant) for tenant in config.tenants]
    return DeclareConfig(
        version=config.version, document=body, objects=objects
    )


def _has_staleness_limit(route: _Route) -> bool:
    return route.consistency != 'primary'


def _allowance_name(max_age_ms: int) -> str:
    return f'age-{max_age_ms}'


def _build_group(service: _Service) -> DeclareObject:
    copy_count = 1 + service.sync_replicas
    body = {
        'databases': copy_count,
        'write_copies': copy_count,
    }
    return DeclareObject(type='group', name=service.name, body=body)


def _build_endpoint(route: _Route, config: _Config) -> DeclareObject:
    connection_limits = {s.name: s.max_connections for s in config.services}
    body: dict[str, Any] = {
        'database': route.database,
        'path': route.path,
        'group': route.group,
        'consistency': route.consistency,
        'timeout_ms': route.timeout_ms,
        'objective_ms': route.objective_ms,
        'priority': route.priority,
        'idle_txn_ms': config.limits.idle_txn_ms,
        'max_connections': connection_limits.get(route.group, 0),
        'public': route.public,
    }
    if _has_staleness_limit(route):
        body['allowance'] = _allowance_name(route.max_age_ms)
    return DeclareObject(type='endpoint', name=route.name, body=body)


def _build_tenant(tenant: _Tenant) -> DeclareObject:
    body = {
        # An empty key is a fault, so an invalid one is replaced by it and
        # does not get into the state or the logs.
        'keys': [
            digest_caller_key(key) if is_valid_key(key) else ''
            for key in tenant.keys
        ],
        'rate_per_s': tenant.rate_per_s,
        'burst': tenant.burst,
    }
    return DeclareObject(type='tenant', name=tenant.name, body=body)


def decode_instance(name: str, body: bytes) -> Registration:
    """Decode the report of a database about its own state.

    Raises
    ------
    ProtocolError
        The body is not valid JSON, or the name or a value is missing or
        invalid.
    """
    validate_word('name', name)
    report = parse_json_body(_Instance, body)
    host, port = _parse_address(report.address)
    return Registration(
        name=name,
        group=report.group,
        host=host,
        port=port,
        data_centre=report.zone,
        slots=report.slots,
        state=report.state,
        started_ms=report.born,
        sequence=report.sequence,
        leads=report.role == 'primary',
    )


def _parse_address(text: str) -> tuple[str, int]:
    """Split IP:PORT; host names are rejected, since nothing resolves them."""
    host, _, port = text.rpartition(':')
    try:
        # The scope of an IPv6 address may be any text.
        if '%' in str(ip_address(host)):
            raise ValueError('expected an address without a scope')
        if not _PORT_PATTERN.fullmatch(port) or int(port) > MAX_PORT:
            raise ValueError(f'expected a port from 1 to {MAX_PORT}')
    except ValueError as exc:
        raise ProtocolError(
            f'malformed address {text!r:.80}, expected IP:PORT'
        ) from exc
    return host, int(port)


def decode_departure(body: bytes) -> int | None:
    """Return the start time in ms of the incarnation of a database that ends.

    None if the body does not name one; the current incarnation ends then.
    """
    if not body:
        return None
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):  # the latter: nested too deeply
        return None
    born = value.get('born') if isinstance(value, dict) else None
    return born if type(born) is int else None
