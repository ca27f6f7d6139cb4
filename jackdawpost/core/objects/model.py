"""Configuration objects that operators manage, and their validation.

Each type has two classes: a dataclass such as `GroupObject`, which is kept in
the replicated state, and a pydantic model such as `GroupBody`, which validates
the fields that operators write and fills in defaults.
"""

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

from pydantic import AfterValidator
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import model_validator
from pydantic import ValidationError

from jackdawpost.core.keys import digest_key
from jackdawpost.core.keys import is_valid_key
from jackdawpost.core.keys import MAX_KEY_CHARS
from jackdawpost.core.messages.operator import Fault

NAME_PATTERN = r'^[a-z0-9][a-z0-9.-]{0,62}$'
NAME_FORMAT = (
    '1 to 63 lower-case letters, digits, dots or hyphens, the first one a '
    'letter or digit'
)
MAX_ALLOWANCE_AGE_MS = 86_400_000
MAX_DATABASES = 9
MAX_TIMEOUT_MS = 3_600_000
MAX_KEYS = 64
MAX_RATE_PER_S = 1_000_000.0
MAX_TENANT_WEIGHT = 100

Consistency = Literal['primary', 'bounded_staleness', 'read_your_writes']

_NAME_REGEX = re.compile(NAME_PATTERN)


@dataclass(slots=True, kw_only=True)
class GroupObject:
    """Replicated group of databases.

    Parameters
    ----------
    databases : int
        Number of databases that the group should have.
    write_copies : int
        Databases that must hold a write before it is acknowledged.
    replica_wait_ms : int
        Time that a read may wait on a replica, in milliseconds.
    """

    name: str
    databases: int
    write_copies: int
    replica_wait_ms: int


@dataclass(slots=True, kw_only=True)
class UpstreamObject:
    """Operator's settings for an upstream that announces itself.

    Parameters
    ----------
    group : str, optional
        Group that the upstream must announce. An upstream that announces
        another group is refused.
    drained : bool
        The upstream receives no new requests.
    """

    name: str
    group: str | None = None
    drained: bool = False


@dataclass(slots=True, kw_only=True)
class RuleObject:
    """Routing rule: the groups behind a route and its allowance."""

    name: str
    groups: list[str]
    allowance: str | None = None
    read_only: bool = False


@dataclass(slots=True, kw_only=True)
class AllowanceObject:
    """Staleness allowance: a maximum age, or the allowance to fall back on."""

    name: str
    max_age_ms: int | None = None
    fallback: str | None = None


@dataclass(slots=True, kw_only=True)
class LimitObject:
    """Request limits of one group.

    Parameters
    ----------
    queue_length : int
        Maximum number of queued requests in each proxy.
    max_deadline_ms : int
        Longest deadline that a request may specify, in milliseconds.
    retry_ratio : float
        Retries allowed per request, from 0 to 1.
    """

    name: str
    group: str
    queue_length: int
    max_deadline_ms: int
    retry_ratio: float


@dataclass(slots=True, kw_only=True)
class EndpointObject:
    """Named database that callers of the session pooler connect to.

    Parameters
    ----------
    database : str
        Database name that callers give when they open a session.
    path : str
        Path prefix in the database's namespace. No two endpoints have the
        same database and path.
    consistency : {'primary', 'bounded_staleness', 'read_your_writes'}
        Consistency level of reads.
    allowance : str, optional
        Allowance that gives the maximum age of rows read; None with
        consistency ``'primary'``.
    timeout_ms : int
        Maximum run time of one statement, in milliseconds.
    objective_ms : int
        Latency objective of a whole operation, in milliseconds. A statement
        that succeeds but takes longer, from arrival to answer, is logged.
    priority : int
        Priority of requests; 0 is the highest.
    idle_txn_ms : int
        Maximum time between statements of a transaction, in milliseconds; 0
        for no limit.
    max_connections : int
        Connections that each upstream of the group accepts from all proxies
        together; 0 if not specified.
    public : bool
        Callers need no key. Otherwise the key of a caller must belong to a
        tenant.
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
    public: bool = True


@dataclass(slots=True, kw_only=True)
class TenantObject:
    """Organisation whose callers share keys and limits.

    Parameters
    ----------
    keys : list of str
        Digests of its keys, see `jackdawpost.core.keys`.
    rate_per_s : float, optional
        Operations per second that its callers may run over all proxies; None
        for no limit.
    burst : float
        Operations above the rate that may run at once.
    weight : int
        Share of the upstreams while callers of several tenants wait,
        relative to the other tenants.
    """

    name: str
    keys: list[str]
    rate_per_s: float | None
    burst: float
    weight: int


NamedObject = (
    GroupObject
    | UpstreamObject
    | RuleObject
    | AllowanceObject
    | LimitObject
    | EndpointObject
    | TenantObject
)


@dataclass(slots=True, kw_only=True)
class ObjectSet:
    """All configuration objects by type and name."""

    groups: dict[str, GroupObject] = field(default_factory=dict)
    upstreams: dict[str, UpstreamObject] = field(default_factory=dict)
    rules: dict[str, RuleObject] = field(default_factory=dict)
    allowances: dict[str, AllowanceObject] = field(default_factory=dict)
    limits: dict[str, LimitObject] = field(default_factory=dict)
    endpoints: dict[str, EndpointObject] = field(default_factory=dict)
    tenants: dict[str, TenantObject] = field(default_factory=dict)

    def table(self, object_type: str) -> dict[str, Any]:
        """Return the mutable table of one type, keyed by object name."""
        tables: dict[str, dict[str, Any]] = {
            'group': self.groups,
            'upstream': self.upstreams,
            'rule': self.rules,
            'allowance': self.allowances,
            'limit': self.limits,
            'endpoint': self.endpoints,
            'tenant': self.tenants,
        }
        return tables[object_type]

    def copy(self) -> ObjectSet:
        """Return a copy with its own tables that shares the objects."""
        return ObjectSet(
            groups=dict(self.groups),
            upstreams=dict(self.upstreams),
            rules=dict(self.rules),
            allowances=dict(self.allowances),
            limits=dict(self.limits),
            endpoints=dict(self.endpoints),
            tenants=dict(self.tenants),
        )

    def items(self) -> Iterator[tuple[str, str, NamedObject]]:
        """Yield type, name and object, sorted by name within each type."""
        for object_type in OBJECT_TYPES:
            table = self.table(object_type)
            for name in sorted(table):
                yield object_type, name, table[name]


class _BodyModel(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)


_ObjectName = Annotated[str, Field(pattern=NAME_PATTERN)]


class GroupBody(_BodyModel):
    """Validation model of the fields of a group."""

    databases: int = Field(ge=1, le=MAX_DATABASES)
    write_copies: int = Field(default=2, ge=1, le=MAX_DATABASES)
    replica_wait_ms: int = Field(default=50, ge=0, le=60_000)


class UpstreamBody(_BodyModel):
    """Validation model of the fields of an upstream."""

    group: _ObjectName | None = None
    drained: bool = False


class RuleBody(_BodyModel):
    """Validation model of the fields of a rule."""

    groups: list[_ObjectName] = Field(min_length=1, max_length=1_000)
    allowance: _ObjectName | None = None
    read_only: bool = False


class AllowanceBody(_BodyModel):
    """Validation model of the fields of an allowance."""

    max_age_ms: int | None = Field(default=None, ge=0, le=MAX_ALLOWANCE_AGE_MS)
    fallback: _ObjectName | None = None

    @model_validator(mode='after')
    def _check_age_or_fallback(self) -> AllowanceBody:
        if (self.max_age_ms is None) == (self.fallback is None):
            raise ValueError('valid is exactly one of max_age_ms and fallback')
        return self


class LimitBody(_BodyModel):
    """Validation model of the fields of a limit."""

    group: _ObjectName
    queue_length: int = Field(default=256, ge=1, le=100_000)
    max_deadline_ms: int = Field(default=60_000, ge=1, le=60_000)
    retry_ratio: float = Field(default=0.1, ge=0, le=1, allow_inf_nan=False)


class EndpointBody(_BodyModel):
    """Validation model of the fields of an endpoint."""

    database: str = Field(min_length=1, max_length=255)
    path: str = Field(default='/', max_length=255)
    group: _ObjectName
    consistency: Consistency = 'primary'
    allowance: _ObjectName | None = None
    timeout_ms: int = Field(ge=1, le=MAX_TIMEOUT_MS)
    objective_ms: int = Field(default=1_000, ge=1, le=MAX_TIMEOUT_MS)
    priority: int = Field(default=1, ge=0, le=1_000)
    idle_txn_ms: int = Field(default=0, ge=0, le=MAX_TIMEOUT_MS)
    max_connections: int = Field(default=0, ge=0, le=1_000_000)
    public: bool = True

    @model_validator(mode='after')
    def _check_allowance(self) -> EndpointBody:
        if (self.consistency == 'primary') != (self.allowance is None):
            raise ValueError(
                'valid is an allowance unless consistency is primary'
            )
        return self


def _check_key(key: str) -> str:
    if not is_valid_key(key):
        raise ValueError(
            f'valid is a key of 1 to {MAX_KEY_CHARS} characters without spaces'
        )
    return digest_key(key)


_KeyDigest = Annotated[str, AfterValidator(_check_key)]


class TenantBody(_BodyModel):
    """Validation model of the fields of a tenant."""

    keys: list[_KeyDigest] = Field(default_factory=list, max_length=MAX_KEYS)
    rate_per_s: float | None = Field(
        default=None, gt=0, le=MAX_RATE_PER_S, allow_inf_nan=False
    )
    # A default of 0 would stay an integer. A snapshot restores it as a float,
    # and is rejected because it then differs from its bytes.
    burst: float = Field(
        default=0.0, ge=0, le=MAX_RATE_PER_S, allow_inf_nan=False
    )
    weight: int = Field(default=1, ge=1, le=MAX_TENANT_WEIGHT)


_BODY_MODELS: Mapping[str, type[_BodyModel]] = {
    'group': GroupBody,
    'upstream': UpstreamBody,
    'rule': RuleBody,
    'allowance': AllowanceBody,
    'limit': LimitBody,
    'endpoint': EndpointBody,
    'tenant': TenantBody,
}

_DATACLASSES: Mapping[str, type[Any]] = {
    'group': GroupObject,
    'upstream': UpstreamObject,
    'rule': RuleObject,
    'allowance': AllowanceObject,
    'limit': LimitObject,
    'endpoint': EndpointObject,
    'tenant': TenantObject,
}

OBJECT_TYPES = tuple(_BODY_MODELS)


def object_key(object_type: str, name: str) -> str:
    """Return the key ``TYPE/NAME`` of an object."""
    return f'{object_type}/{name}'


def is_valid_name(name: str) -> bool:
    """Return whether a name has the format required of object names."""
    return _NAME_REGEX.fullmatch(name) is not None


def field_names(object_type: str) -> list[str]:
    """Return the field names of an object type, ``name`` first."""
    return [
        item.name for item in dataclasses.fields(_DATACLASSES[object_type])
    ]


def object_body(item: NamedObject) -> dict[str, Any]:
    """Return the fields of an object except its name."""
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
        The object and all faults of its fields. If there are faults, the
        object is built from the valid fields alone, for further checks, or
        is None if that is impossible.
    """
    model_type = _BODY_MODELS[object_type]
    faults: list[Fault] = []
    try:
        model = model_type.model_validate(body)
    except ValidationError as exc:
        field_list = ', '.join(model_type.model_fields)
        faults = _convert_validation_error(
            object_key(object_type, name), exc, field_list
        )
        bad_fields = {fault.field.partition('.')[0] for fault in faults}
        valid_body = {k: v for k, v in body.items() if k not in bad_fields}
        try:
            model = model_type.model_validate(valid_body)
        except ValidationError:
            return None, faults
    return _DATACLASSES[object_type](name=name, **model.model_dump()), faults


def resolve_max_age_ms(objects: ObjectSet, name: str) -> int:
    """Return the maximum age of an allowance, following its fallbacks.

    Parameters
    ----------
    objects : ObjectSet
        Validated objects: fallbacks exist and form no cycle.
    name : str
        Name of the allowance.

    Returns
    -------
    int
        Maximum age in milliseconds.
    """
    allowance = objects.allowances[name]
    while allowance.max_age_ms is None:
        assert allowance.fallback is not None
        allowance = objects.allowances[allowance.fallback]
    return allowance.max_age_ms


def _convert_validation_error(
    key: str, exc: ValidationError, field_list: str
) -> list[Fault]:
    faults = []
    for error in exc.errors(include_url=False):
        field_path = '.'.join(str(part)[:80] for part in error['loc'])
        message = error['msg'].removeprefix('Value error, ')
        if error['type'] == 'extra_forbidden':
            message = f'unknown field: valid are {field_list}'
        elif error['loc'][:1] == ('keys',):
            # The value may be a key, which must not appear in a message.
            message = f'a key is not valid: {message}'
        elif error['type'] not in ('missing', 'value_error'):
            message = f'{error["input"]!r:.80}: {message}'
        faults.append(Fault(object=key, field=field_path, message=message))
    return faults
