"""Validate a complete set of configuration objects before it is activated.

The checks cover references between objects and the current members. The fields
of each object are validated before, by `parse_object`.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field

from jackdawpost.core.control.state import ControlMachine
from jackdawpost.core.control.state import Member
from jackdawpost.core.keys import fingerprint
from jackdawpost.core.messages.operator import Fault
from jackdawpost.core.objects.model import AllowanceObject
from jackdawpost.core.objects.model import EndpointObject
from jackdawpost.core.objects.model import LimitObject
from jackdawpost.core.objects.model import NamedObject
from jackdawpost.core.objects.model import object_key
from jackdawpost.core.objects.model import ObjectSet
from jackdawpost.core.objects.model import RuleObject
from jackdawpost.core.objects.model import UpstreamObject


@dataclass(slots=True, kw_only=True)
class Candidate:
    """Objects of a change set or declared configuration, not yet active.

    Parameters
    ----------
    objects : ObjectSet
        All objects after the change, including unchanged ones.
    touched : set of str
        ``TYPE/NAME`` of every object that the change set or declared
        configuration names.
    broken : set of str
        ``TYPE/NAME`` of objects with invalid fields. References to them are
        not reported as missing, which would hide the actual fault.
    deleted : set of str
        ``TYPE/NAME`` of objects that the change set deletes.
    """

    objects: ObjectSet
    touched: set[str] = field(default_factory=set)
    broken: set[str] = field(default_factory=set)
    deleted: set[str] = field(default_factory=set)


def check_objects(
    machine: ControlMachine, candidate: Candidate
) -> list[Fault]:
    """Return all faults of the resulting objects, in a fixed order."""
    faults = _check_references(candidate)
    faults.extend(_check_cycles(candidate))
    faults.extend(_check_rules_and_limits(candidate))
    faults.extend(_check_endpoints(candidate))
    faults.extend(_check_tenants(candidate))
    faults.extend(_check_groups(candidate))
    faults.extend(_check_drained_groups(machine, candidate))
    faults.extend(_check_upstreams(machine, candidate))
    faults.extend(_check_deleted_groups(machine, candidate))
    return faults


def _iter_references(item: NamedObject) -> Iterator[tuple[str, str]]:
    if isinstance(item, RuleObject):
        for index, name in enumerate(item.groups):
            yield f'groups.{index}', object_key('group', name)
        if item.allowance is not None:
            yield 'allowance', object_key('allowance', item.allowance)
    elif isinstance(item, AllowanceObject):
        if item.fallback is not None:
            yield 'fallback', object_key('allowance', item.fallback)
    elif isinstance(item, EndpointObject):
        yield 'group', object_key('group', item.group)
        if item.allowance is not None:
            yield 'allowance', object_key('allowance', item.allowance)
    elif isinstance(item, (LimitObject, UpstreamObject)):
        if item.group is not None:
            yield 'group', object_key('group', item.group)


def _check_references(candidate: Candidate) -> list[Fault]:
    faults = []
    referrers: dict[str, list[str]] = {}
    for object_type, name, item in candidate.objects.items():
        key = object_key(object_type, name)
        for field_path, target in _iter_references(item):
            if _exists(candidate, target):
                continue
            if target in candidate.deleted:
                referrers.setdefault(target, []).append(
                    f'{key} ({field_path})'
                )
                continue
            faults.append(
                Fault(
                    object=key,
                    field=field_path,
                    message=f'no {target} exists',
                )
            )
    for target in sorted(referrers):
        message = f'still used by {", ".join(referrers[target])}'
        faults.append(Fault(object=target, field='', message=message))
    return faults


def _exists(candidate: Candidate, key: str) -> bool:
    object_type, _, name = key.partition('/')
    return key in candidate.broken or name in candidate.objects.table(
        object_type
    )


def _check_cycles(candidate: Candidate) -> list[Fault]:
    faults = []
    for name in sorted(candidate.objects.allowances):
        path = _follow_fallback_chain(candidate.objects, name)
        if len(path) > 1 and path[-1] == name:
            faults.append(
                Fault(
                    object=object_key('allowance', name),
                    field='fallback',
                    message=f'cycle: {" -> ".join(path)}',
                )
            )
    return faults


def _follow_fallback_chain(objects: ObjectSet, name: str) -> list[str]:
    path = [name]
    while True:
        allowance = objects.allowances.get(path[-1])
        if allowance is None or allowance.fallback is None:
            return path
        seen = allowance.fallback in path
        path.append(allowance.fallback)
        if seen:
            return path


def _check_rules_and_limits(candidate: Candidate) -> list[Fault]:
    faults = []
    for name in sorted(candidate.objects.rules):
        groups = candidate.objects.rules[name].groups
        for group in sorted({g for g in groups if groups.count(g) > 1}):
            faults.append(
                Fault(
                    object=object_key('rule', name),
                    field='groups',
                    message=f'group {group!r} is listed more than once',
                )
            )
    limit_by_group: dict[str, str] = {}
    for name in sorted(candidate.objects.limits):
        group = candidate.objects.limits[name].group
        other = limit_by_group.setdefault(group, name)
        if other != name:
            faults.append(
                Fault(
                    object=object_key('limit', name),
                    field='group',
                    message=f'group {group!r} has limit {other!r} already',
                )
            )
    return faults


def _check_endpoints(candidate: Candidate) -> list[Fault]:
    faults = []
    endpoint_by_address: dict[tuple[str, str], str] = {}
    for name in sorted(candidate.objects.endpoints):
        item = candidate.objects.endpoints[name]
        other = endpoint_by_address.setdefault(
            (item.database, item.path), name
        )
        if other != name:
            faults.append(
                Fault(
                    object=object_key('endpoint', name),
                    field='database',
                    message=f'{item.database!r} with path {item.path!r} is '
                    f'that of endpoint {other!r}',
                )
            )
    return faults


def _check_tenants(candidate: Candidate) -> list[Fault]:
    """Check that a key belongs to one tenant; the key itself is not named."""
    faults = []
    tenant_by_key: dict[str, str] = {}
    for name in sorted(candidate.objects.tenants):
        for key in dict.fromkeys(candidate.objects.tenants[name].keys):
            other = tenant_by_key.setdefault(key, name)
            if other != name:
                faults.append(
                    Fault(
                        object=object_key('tenant', name),
                        field='keys',
                        message=f'the key with fingerprint {fingerprint(key)} '
                        f'is that of tenant {other!r}',
                    )
                )
    return faults


def _check_groups(candidate: Candidate) -> list[Fault]:
    faults = []
    for name in sorted(candidate.objects.groups):
        group = candidate.objects.groups[name]
        key = object_key('group', name)
        if group.write_copies > group.databases:
            faults.append(
                Fault(
                    object=key,
                    field='write_copies',
                    message=f'{group.write_copies}: valid is 1 to the '
                    f"group's databases, {group.databases}",
                )
            )
    return faults


def _check_drained_groups(
    machine: ControlMachine, candidate: Candidate
) -> list[Fault]:
    # Upstreams join and leave independently of change sets, so a group may
    # have lost its last undrained upstream already. A change set is rejected
    # for this only if it names an upstream of the group.
    touched_groups = set()
    for key in candidate.touched:
        object_type, _, name = key.partition('/')
        member = machine.members.get(name)
        if object_type == 'upstream' and member is not None:
            touched_groups.add(member.group)
    faults = []
    for group in sorted(touched_groups & set(candidate.objects.groups)):
        names = [
            member.name for member in _list_joined_upstreams(machine, group)
        ]
        if all(_is_drained(candidate, name) for name in names):
            faults.append(
                Fault(
                    object=object_key('group', group),
                    field='',
                    message='no possible primary: all its upstreams are '
                    f'drained ({", ".join(names)})',
                )
            )
    return faults


def _is_drained(candidate: Candidate, upstream: str) -> bool:
    settings = candidate.objects.upstreams.get(upstream)
    return settings is not None and settings.drained


def _list_joined_upstreams(
    machine: ControlMachine, group: str
) -> list[Member]:
    return [
        machine.members[name]
        for name in sorted(machine.members)
        if machine.members[name].role == 'upstream'
        and machine.members[name].group == group
    ]


def _check_upstreams(
    machine: ControlMachine, candidate: Candidate
) -> list[Fault]:
    faults = []
    for name in sorted(candidate.objects.upstreams):
        key = object_key('upstream', name)
        if key not in candidate.touched:
            continue
        expected = candidate.objects.upstreams[name].group
        for member in _find_members_and_newcomers(machine, name):
            if member.role != 'upstream':
                message = f'{name!r} is the name of a {member.role}'
                faults.append(Fault(object=key, field='', message=message))
            elif expected is not None and member.group != expected:
                message = f'{expected!r}: it announces {member.group!r}'
                faults.append(
                    Fault(object=key, field='group', message=message)
                )
    return faults


def _find_members_and_newcomers(
    machine: ControlMachine, name: str
) -> list[Member]:
    found = []
    if name in machine.members:
        found.append(machine.members[name])
    if name in machine.newcomers:
        found.append(machine.newcomers[name].member)
    return found


def _check_deleted_groups(
    machine: ControlMachine, candidate: Candidate
) -> list[Fault]:
    faults = []
    for key in sorted(candidate.deleted):
        object_type, _, name = key.partition('/')
        if object_type != 'group':
            continue
        members = _list_joined_upstreams(machine, name)
        if members:
            names = ', '.join(member.name for member in members)
            message = f'still used by joined upstreams: {names}'
            faults.append(Fault(object=key, field='', message=message))
        if machine.groups[name].promotion is not None:
            message = 'a promotion is running'
            faults.append(Fault(object=key, field='', message=message))
    return faults
