"""Bodies of the platform's calls, decoded into requests to control."""

from __future__ import annotations

import json
from typing import Any
from typing import Literal

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from jackdawpost.core.control.commands import DeclareObject
from jackdawpost.core.messages.registry import DeclareConfig
from jackdawpost.core.messages.registry import Registration
from jackdawpost.errors import ProtocolError

MAX_SHOWN_ERRORS = 5


class _Body(BaseModel):
    # The platform may add fields; the types of those known must be right.
    model_config = ConfigDict(extra='ignore', strict=True, frozen=True)


class _Route(_Body):
    name: str
    # The name that sessions ask for.
    database: str = Field(alias='databaseName', min_length=1)
    path: str = Field(default='/', alias='pathPrefix')
    consistency: Literal[
        'primary', 'bounded_staleness', 'read_your_writes'
    ] = Field(alias='type')
    timeout_ms: int = Field(alias='timeoutMs', ge=1)
    objective_ms: int = Field(default=1_000, alias='targetLatencyMs', ge=1)
    priority: int = Field(default=1, ge=0)
    # The database group, not one of its members.
    group: str = Field(alias='service')
    max_age_ms: int = Field(default=0, alias='maxStalenessMs', ge=0)


class _Service(_Body):
    name: str
    # For each database of the group, all callers together.
    max_connections: int = Field(default=0, alias='maxConnections', ge=0)
    # Replicas that hold a commit before it is acknowledged; these are copies
    # beside the primary's.
    sync_replicas: int = Field(default=0, alias='syncReplicas', ge=0, le=8)


class _Limits(_Body):
    idle_txn_ms: int = Field(default=0, alias='txnIdleMs', ge=0)


class _Config(_Body):
    version: int = Field(ge=0, le=2**62)
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = Field(default_factory=_Limits)


class _Instance(_Body):
    group: str = Field(alias='service', min_length=1)
    address: str
    # The data centre.
    zone: str = Field(min_length=1)
    slots: int = Field(default=0, ge=0)
    state: Literal['ready', 'draining']
    role: Literal['primary', 'replica'] = Field(alias='dbRole')
    # Counts the reports of one incarnation, which `born` names.
    sequence: int = Field(ge=0)
    born: int = Field(default=0, ge=0)


def decode_config(body: bytes) -> DeclareConfig:
    """Decode the desired state of the operators.

    Raises
    ------
    ProtocolError
        The body cannot be read in full, or a value is invalid.
    """
    config = _validate(_Config, body)
    objects = [_group(service) for service in config.services]
    ages = {route.max_age_ms for route in config.routes if _has_age(route)}
    objects += [
        DeclareObject(
            type='allowance', name=_age_name(age), body={'max_age_ms': age}
        )
        for age in sorted(ages)
    ]
    objects += [_endpoint(route, config) for route in config.routes]
    return DeclareConfig(
        version=config.version, document=body, objects=objects
    )


def _has_age(route: _Route) -> bool:
    return route.consistency != 'primary'


def _age_name(age_ms: int) -> str:
    return f'age-{age_ms}'


def _group(service: _Service) -> DeclareObject:
    copies = 1 + service.sync_replicas
    body = {
        'databases': copies,
        'write_copies': copies,
    }
    return DeclareObject(type='group', name=service.name, body=body)


def _endpoint(route: _Route, config: _Config) -> DeclareObject:
    connections = {s.name: s.max_connections for s in config.services}
    body: dict[str, Any] = {
        'database': route.database,
        'path': route.path,
        'group': route.group,
        'consistency': route.consistency,
        'timeout_ms': route.timeout_ms,
        'objective_ms': route.objective_ms,
        'priority': route.priority,
        'idle_txn_ms': config.limits.idle_txn_ms,
        'max_connections': connections.get(route.group, 0),
    }
    if _has_age(route):
        body['allowance'] = _age_name(route.max_age_ms)
    return DeclareObject(type='endpoint', name=route.name, body=body)


def decode_instance(name: str, body: bytes) -> Registration:
    """Decode what a database says of itself.

    Raises
    ------
    ProtocolError
        The body cannot be read, or a value is missing or invalid.
    """
    instance = _validate(_Instance, body)
    host, _, port = instance.address.rpartition(':')
    if not host or not port.isdecimal():
        raise ProtocolError(
            f'address {instance.address!r:.80}: valid is IP:PORT'
        )
    return Registration(
        name=name,
        group=instance.group,
        host=host,
        port=int(port),
        data_centre=instance.zone,
        slots=instance.slots,
        state=instance.state,
        started_ms=instance.born,
        sequence=instance.sequence,
        leads=instance.role == 'primary',
    )


def decode_departure(body: bytes) -> int | None:
    """Return which incarnation ends, or None if the body does not say."""
    if not body:
        return None
    try:
        value = json.loads(body)
    except ValueError:
        return None
    born = value.get('born') if isinstance(value, dict) else None
    return born if type(born) is int else None


def _validate(model: type[Any], body: bytes) -> Any:
    try:
        return model.model_validate_json(body)
    except ValidationError as exc:
        errors = exc.errors(include_url=False)[:MAX_SHOWN_ERRORS]
        texts = [
            f'{".".join(str(part) for part in error["loc"])}: {error["msg"]}'
            for error in errors
        ]
        raise ProtocolError('; '.join(texts)) from exc
