"""Find entries of a valid configuration that are probably mistakes.

Unlike the faults of `checks`, findings are no reason to reject a
configuration. They name entries that can never match, and limits that
contradict each other or the size of the deployment.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Literal

from jackdawpost.core.connection_shares import RESERVED_CONNECTIONS
from jackdawpost.core.objects.model import EndpointObject
from jackdawpost.core.objects.model import object_key
from jackdawpost.core.objects.model import ObjectSet
from jackdawpost.core.objects.model import TenantObject

# Lowest mean run time of the statements of the known deployments. Slower
# statements only lower the capacity of a group.
MIN_STATEMENT_MS = 2.5

FindingKind = Literal['never_matches', 'contradiction']


@dataclass(slots=True, kw_only=True)
class DeploymentSize:
    """Size of the deployment, as far as it is known.

    Parameters
    ----------
    proxies : int
        Number of proxies; 0 if unknown.
    slots : dict of str to int
        Slots of all databases of a group by its name, without groups whose
        slots are unknown.
    """

    proxies: int = 0
    slots: Mapping[str, int] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class Finding:
    """Probable mistake in a valid configuration.

    Parameters
    ----------
    kind : {'never_matches', 'contradiction'}
        An entry that can never match, or contradictory limits.
    object : str
        ``TYPE/NAME`` of the object.
    field : str
        Field of the object; empty for the whole object.
    message : str
        Human-readable explanation with the values; keys are never quoted.
    """

    kind: FindingKind
    object: str
    field: str
    message: str


def find_mistakes(
    objects: ObjectSet,
    size: DeploymentSize,
    broken: Collection[str] = (),
) -> list[Finding]:
    """Return the findings on a complete set of objects, in a fixed order.

    Parameters
    ----------
    objects : ObjectSet
        All objects of the configuration.
    size : DeploymentSize
        Size of the deployment.
    broken : collection of str
        ``TYPE/NAME`` of objects with faults. They were built from their valid
        fields alone, so that findings on them could be wrong.
    """
    findings = [
        *_find_shadowed_endpoints(objects),
        *_find_unreachable_endpoints(objects, broken),
        *_find_unused_allowances(objects, broken),
        *_find_unused_tenants(objects, broken),
        *_find_short_timeouts(objects),
        *_find_connection_limits(objects, size),
        *_find_unreachable_rates(objects, size),
    ]
    return [item for item in findings if item.object not in broken]


def _sorted_endpoints(objects: ObjectSet) -> list[EndpointObject]:
    return [objects.endpoints[name] for name in sorted(objects.endpoints)]


def _sorted_tenants(objects: ObjectSet) -> list[TenantObject]:
    return [objects.tenants[name] for name in sorted(objects.tenants)]


def _is_any_broken(broken: Collection[str], object_type: str) -> bool:
    return any(key.startswith(object_key(object_type, '')) for key in broken)


def _find_shadowed_endpoints(objects: ObjectSet) -> Iterator[Finding]:
    """Find endpoints of one database; a session names only the database."""
    first_by_database: dict[str, EndpointObject] = {}
    for item in _sorted_endpoints(objects):
        first = first_by_database.setdefault(item.database, item)
        # The same path, too, is a fault.
        if first is not item and first.path != item.path:
            yield Finding(
                kind='never_matches',
                object=object_key('endpoint', item.name),
                field='database',
                message=f'{item.database!r} is also the database of endpoint '
                f'{first.name!r}; sessions name no path, so only one of both '
                'is ever used',
            )


def _find_unreachable_endpoints(
    objects: ObjectSet, broken: Collection[str]
) -> Iterator[Finding]:
    if _is_any_broken(broken, 'tenant'):
        return
    if any(item.keys for item in objects.tenants.values()):
        return
    for item in _sorted_endpoints(objects):
        if not item.public:
            yield Finding(
                kind='never_matches',
                object=object_key('endpoint', item.name),
                field='public',
                message='False: callers need the key of a tenant, and none of '
                f'the {len(objects.tenants)} tenants has a key',
            )


def _find_unused_allowances(
    objects: ObjectSet, broken: Collection[str]
) -> Iterator[Finding]:
    # A broken object may have lost the field that refers to the allowance.
    if any(
        _is_any_broken(broken, referrer)
        for referrer in ('rule', 'endpoint', 'allowance')
    ):
        return
    used: set[str | None] = set()
    used.update(item.allowance for item in objects.rules.values())
    used.update(item.allowance for item in objects.endpoints.values())
    used.update(item.fallback for item in objects.allowances.values())
    for name in sorted(objects.allowances):
        if name not in used:
            yield Finding(
                kind='never_matches',
                object=object_key('allowance', name),
                field='',
                message='no rule, endpoint or allowance refers to it; only '
                'reads that name it themselves can use it',
            )


def _find_unused_tenants(
    objects: ObjectSet, broken: Collection[str]
) -> Iterator[Finding]:
    needs_no_key = not _is_any_broken(broken, 'endpoint') and all(
        item.public for item in objects.endpoints.values()
    )
    for item in _sorted_tenants(objects):
        key = object_key('tenant', item.name)
        if not item.keys:
            yield Finding(
                kind='never_matches',
                object=key,
                field='keys',
                message='the tenant has no keys, so no caller belongs to it',
            )
        elif needs_no_key:
            yield Finding(
                kind='never_matches',
                object=key,
                field='keys',
                message='all endpoints are public and need no key, so no '
                'caller belongs to the tenant',
            )
        if item.rate_per_s is None and item.burst > 0:
            yield Finding(
                kind='contradiction',
                object=key,
                field='burst',
                message=f'{item.burst:g}: has no effect without rate_per_s',
            )


def _find_short_timeouts(objects: ObjectSet) -> Iterator[Finding]:
    for item in _sorted_endpoints(objects):
        if item.timeout_ms < item.objective_ms:
            yield Finding(
                kind='contradiction',
                object=object_key('endpoint', item.name),
                field='timeout_ms',
                message=f'{item.timeout_ms}: is below objective_ms, '
                f'{item.objective_ms}',
            )


def _find_connection_limits(
    objects: ObjectSet, size: DeploymentSize
) -> Iterator[Finding]:
    lowest_by_group = _lowest_connection_limits(objects)
    # One proxy is the least that a deployment can have.
    proxies = max(1, size.proxies)
    for item in _sorted_endpoints(objects):
        limit = item.max_connections
        if not limit:
            continue
        key = object_key('endpoint', item.name)
        lowest = lowest_by_group[item.group]
        if limit > lowest.max_connections:
            yield Finding(
                kind='contradiction',
                object=key,
                field='max_connections',
                message=f'{limit}: endpoint {lowest.name!r} of the same group '
                f'{item.group!r} has {lowest.max_connections}, which applies '
                'to the whole group',
            )
        if lowest is item and limit - RESERVED_CONNECTIONS < proxies:
            yield Finding(
                kind='contradiction',
                object=key,
                field='max_connections',
                message=f'{limit}: {RESERVED_CONNECTIONS} are reserved, and '
                f'{proxies} proxies need one each on every database of group '
                f'{item.group!r}; valid are at least '
                f'{proxies + RESERVED_CONNECTIONS}',
            )


def _lowest_connection_limits(
    objects: ObjectSet,
) -> dict[str, EndpointObject]:
    """Return the endpoint with the lowest limit by the name of its group."""
    lowest: dict[str, EndpointObject] = {}
    for item in _sorted_endpoints(objects):
        if not item.max_connections:
            continue
        other = lowest.setdefault(item.group, item)
        if item.max_connections < other.max_connections:
            lowest[item.group] = item
    return lowest


def _find_unreachable_rates(
    objects: ObjectSet, size: DeploymentSize
) -> Iterator[Finding]:
    """Find rates above the capacity of all groups that tenants can use."""
    groups = sorted(
        {item.group for item in objects.endpoints.values() if not item.public}
    )
    if not groups or any(group not in size.slots for group in groups):
        return
    slots = sum(size.slots[group] for group in groups)
    capacity_per_s = slots * 1_000 / MIN_STATEMENT_MS
    for item in _sorted_tenants(objects):
        if item.rate_per_s is not None and item.rate_per_s > capacity_per_s:
            yield Finding(
                kind='contradiction',
                object=object_key('tenant', item.name),
                field='rate_per_s',
                message=f'{item.rate_per_s:g}: the groups that tenants use '
                f'({", ".join(groups)}) run at most {capacity_per_s:g} '
                f'statements per second: {slots} slots, '
                f'{MIN_STATEMENT_MS:g} ms for each statement',
            )
