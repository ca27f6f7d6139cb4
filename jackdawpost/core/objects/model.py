"""Named objects that operators manage."""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Annotated
from typing import Any
from typing import Literal

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import model_validator
from pydantic import ValidationError

from jackdawpost.core.messages.operator import Fault

NAME_PATTERN = r'^[a-z0-9][a-z0-9.-]{0,62}$'
NAME_RULE = (
    '1 to 63 lower-case letters, digits, dots or hyphens, the first one a '
    'letter or digit'
)
MAX_AGE_LIMIT_MS = 86_400_000
MAX_DATABASES = 9
MAX_TIMEOUT_MS = 3_600_000

Consistency = Literal['primary', 'bounded_staleness', 'read_your_writes']

_NAME = re.compile(NAME_PATTERN)


@dataclass(slots=True, kw_only=True)
class GroupObject:
    """Database group."""

    name: str
    databases: int
    write_copies: int
    replica_wait_ms: int


@dataclass(slots=True, kw_only=True)
class UpstreamObject:
    """Operator settings of an upstream that announces itself.

    Parameters
    ----------
    group : str, optional
        Group that the upstream must announce; another one is refused.
    drained : bool
        The upstream gets no new work.
    """

    name: str
    group: str | None = None
    drained: bool = False


@dataclass(slots=True, kw_only=True)
class RuleObject:
    """Routing rule."""

    name: str
    groups: list[str]
    allowance: str | None = None
    read_only: bool = False


@dataclass(slots=True, kw_only=True)
class AllowanceObject:
    """Staleness allowance with its own age or that of its fallback."""

    name: str
    max_age_ms: int | None = None
    fallback: str | None = None


@dataclass(slots=True, kw_only=True)
class LimitObject:
    """Limits of one group."""

    name: str
    group: str
    queue_length: int
    max_deadline_ms: int
    retry_ratio: float


@dataclass(slots=True, kw_only=True)
class EndpointObject:
    """Named database that sessions of the pooler connect to.

    Parameters
    ----------
    database : str
        Name that callers ask for when they open a session.
    path : str
        Part of the database's name space; no two endpoints share both.
    consistency : {'primary', 'bounded_staleness', 'read_your_writes'}
        What reads may be served from.
    allowance : str, optional
        Age of rows that reads accept; none with ``'primary'``.
    timeout_ms : int
        Longest time of one statement, in milliseconds.
    objective_ms : int
        Latency objective of a whole operation, in milliseconds.
    priority : int
        Urgency; 0 is the highest.
    idle_txn_ms : int
        Longest pause between statements of a transaction; 0 for any.
    max_connections : int
        Connections that each upstream of the group accepts from all proxies
        together; 0 where nobody has said.
    """

    name: str
    database: str
    path: str
    group: str
    consistency: Consistency
    allowance: str | None
    timeout_ms: int
    objective_ms: int
    priority: int
    idle_txn_ms: int
    max_connections: int


NamedObject = (
    GroupObject
    | UpstreamObject
    | RuleObject
    | AllowanceObject
    | LimitObject
    | EndpointObject
)


@dataclass(slots=True, kw_only=True)
class ObjectSet:
    """All named objects by type and name."""

    groups: dict[str, GroupObject] = field(default_factory=dict)
    upstreams: dict[str, UpstreamObject] = field(default_factory=dict)
    rules: dict[str, RuleObject] = field(default_factory=dict)
    allowances: dict[str, AllowanceObject] = field(default_factory=dict)
    limits: dict[str, LimitObject] = field(default_factory=dict)
    endpoints: dict[str, EndpointObject] = field(default_factory=dict)

    def table(self, object_type: str) -> dict[str, Any]:
        """Return the objects of one type by name."""
        tables: dict[str, dict[str, Any]] = {
            'group': self.groups,
            'upstream': self.upstreams,
            'rule': self.rules,
            'allowance': self.allowances,
            'limit': self.limits,
            'endpoint': self.endpoints,
        }
        return tables[object_type]

    def copy(self) -> ObjectSet:
        """Return a copy whose tables can be changed; objects are shared."""
        return ObjectSet(
            groups=dict(self.groups),
            upstreams=dict(self.upstreams),
            rules=dict(self.rules),
            allowances=dict(self.allowances),
            limits=dict(self.limits),
            endpoints=dict(self.endpoints),
        )

    def items(self) -> Iterator[tuple[str, str, NamedObject]]:
        """Yield type, name and object, sorted."""
        for object_type in OBJECT_TYPES:
            table = self.table(object_type)
            for name in sorted(table):
                yield object_type, name, table[name]


class _Body(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)


_Reference = Annotated[str, Field(pattern=NAME_PATTERN)]


class GroupBody(_Body):
    """Fields of a group as operators write them."""

    databases: int = Field(ge=1, le=MAX_DATABASES)
    write_copies: int = Field(default=2, ge=1, le=MAX_DATABASES)
    replica_wait_ms: int = Field(default=50, ge=0, le=60_000)


class UpstreamBody(_Body):
    """Fields of an upstream as operators write them."""

    group: _Reference | None = None
    drained: bool = False


class RuleBody(_Body):
    """Fields of a rule as operators write them."""

    groups: list[_Reference] = Field(min_length=1, max_length=1_000)
    allowance: _Reference | None = None
    read_only: bool = False


class AllowanceBody(_Body):
    """Fields of an allowance as operators write them."""

    max_age_ms: int | None = Field(default=None, ge=0, le=MAX_AGE_LIMIT_MS)
    fallback: _Reference | None = None

    @model_validator(mode='after')
    def _check_one_source(self) -> AllowanceBody:
        if (self.max_age_ms is None) == (self.fallback is None):
            raise ValueError('valid is exactly one of max_age_ms and fallback')
        return self


class LimitBody(_Body):
    """Fields of a limit as operators write them."""

    group: _Reference
    queue_length: int = Field(default=256, ge=1, le=100_000)
    max_deadline_ms: int = Field(default=60_000, ge=1, le=60_000)
    retry_ratio: float = Field(default=0.1, ge=0, le=1, allow_inf_nan=False)


class EndpointBody(_Body):
    """Fields of an endpoint as operators write them."""

    database: str = Field(min_length=1, max_length=255)
    path: str = Field(default='/', max_length=255)
    group: _Reference
    consistency: Consistency = 'primary'
    allowance: _Reference | None = None
    timeout_ms: int = Field(ge=1, le=MAX_TIMEOUT_MS)
    objective_ms: int = Field(default=1_000, ge=1, le=MAX_TIMEOUT_MS)
    priority: int = Field(default=1, ge=0, le=1_000)
    idle_txn_ms: int = Field(default=0, ge=0, le=MAX_TIMEOUT_MS)
    max_connections: int = Field(default=0, ge=0, le=1_000_000)

    @model_validator(mode='after')
    def _check_allowance(self) -> EndpointBody:
        if (self.consistency == 'primary') != (self.allowance is None):
            raise ValueError(
                'valid is an allowance unless consistency is primary'
            )
        return self


_BODIES: Mapping[str, type[_Body]] = {
    'group': GroupBody,
    'upstream': UpstreamBody,
    'rule': RuleBody,
    'allowance': AllowanceBody,
    'limit': LimitBody,
    'endpoint': EndpointBody,
}

_OBJECTS: Mapping[str, type[Any]] = {
    'group': GroupObject,
    'upstream': UpstreamObject,
    'rule': RuleObject,
    'allowance': AllowanceObject,
    'limit': LimitObject,
    'endpoint': EndpointObject,
}

OBJECT_TYPES = tuple(_BODIES)


def object_key(object_type: str, name: str) -> str:
    """Return ``TYPE/NAME``."""
    return f'{object_type}/{name}'


def is_valid_name(name: str) -> bool:
    """Tell whether an object may have this name."""
    return _NAME.fullmatch(name) is not None


def field_names(object_type: str) -> list[str]:
    """Return the fields of a type, the name first."""
    return [item.name for item in dataclasses.fields(_OBJECTS[object_type])]


def object_body(item: NamedObject) -> dict[str, Any]:
    """Return the fields of an object without its name."""
    body = dataclasses.asdict(item)
    del body['name']
    return body


def parse_object(
    object_type: str, name: str, body: dict[str, Any]
) -> tuple[NamedObject | None, list[Fault]]:
    """Validate the fields of one object.

    Parameters
    ----------
    object_type : str
        One of `OBJECT_TYPES`.
    name : str
        Name of the object.
    body : dict
        Fields as operators write them.

    Returns
    -------
    tuple
        The object, and every fault of its fields. With faults, the object is
        what the valid fields give, for finding further faults, or None.
    """
    model_type = _BODIES[object_type]
    faults: list[Fault] = []
    try:
        model = model_type.model_validate(body)
    except ValidationError as exc:
        valid = ', '.join(model_type.model_fields)
        faults = _list_faults(object_key(object_type, name), exc, valid)
        bad_fields = {fault.field.partition('.')[0] for fault in faults}
        rest = {k: v for k, v in body.items() if k not in bad_fields}
        try:
            model = model_type.model_validate(rest)
        except ValidationError:
            return None, faults
    return _OBJECTS[object_type](name=name, **model.model_dump()), faults


def resolve_max_age_ms(objects: ObjectSet, name: str) -> int:
    """Return the age of an allowance, following its fallbacks.

    Parameters
    ----------
    objects : ObjectSet
        Validated objects: references exist and form no cycle.
    name : str
        Name of the allowance.

    Returns
    -------
    int
        Age in milliseconds.
    """
    allowance = objects.allowances[name]
    while allowance.max_age_ms is None:
        assert allowance.fallback is not None
        allowance = objects.allowances[allowance.fallback]
    return allowance.max_age_ms


def _list_faults(
    key: str, exc: ValidationError, valid_fields: str
) -> list[Fault]:
    faults = []
    for error in exc.errors(include_url=False):
        place = '.'.join(str(part)[:80] for part in error['loc'])
        message = error['msg'].removeprefix('Value error, ')
        if error['type'] == 'extra_forbidden':
            message = f'unknown field: valid are {valid_fields}'
        elif error['type'] not in ('missing', 'value_error'):
            message = f'{error["input"]!r:.80}: {message}'
        faults.append(Fault(object=key, field=place, message=message))
    return faults
