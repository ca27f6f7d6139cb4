"""State that control processes publish to proxies and poolers.

Each object is published under a key ``TYPE/NAME``. Every change increments
the version of the published state, and a receiver is sent the changes since
the version that it has (a delta) or the full state.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from typing import Any

from jackdawpost.core.control.state import ControlMachine
from jackdawpost.core.control.state import MAX_TOMBSTONES
from jackdawpost.core.control.state import Member
from jackdawpost.core.control.state import PublishedEntry
from jackdawpost.core.messages.control import ObjectKey
from jackdawpost.core.messages.control import PublishedObject
from jackdawpost.core.messages.control import StateUpdate
from jackdawpost.core.objects.model import object_key
from jackdawpost.core.objects.model import resolve_max_age_ms


@dataclasses.dataclass(slots=True, kw_only=True)
class UpdateCache:
    """Updates to the present version, which many proxies need.

    Parameters
    ----------
    version : int
        Version to which they lead.
    by_base : dict of int to StateUpdate
        Updates by the version from which they lead there.
    """

    version: int = -1
    by_base: dict[int, StateUpdate] = dataclasses.field(default_factory=dict)


def publish_changes(machine: ControlMachine, keys: Iterable[str]) -> bool:
    """Publish the objects that differ from their published form.

    Parameters
    ----------
    machine : ControlMachine
        State to change.
    keys : iterable of str
        Keys ``TYPE/NAME`` of all objects that may have changed.

    Returns
    -------
    bool
        True if the published state changed and its version was incremented.
    """
    changes = {}
    for key in sorted(set(keys)):
        body = _build_body(machine, key)
        entry = machine.published.get(key)
        if body != (entry.body if entry else None):
            changes[key] = body
    if not changes:
        return False
    machine.version += 1
    for key, body in changes.items():
        _store_entry(machine, key, body)
    _trim_tombstones(machine)
    return True


def all_keys(machine: ControlMachine) -> set[str]:
    """Return the keys of all objects that are or should be published."""
    keys = set(machine.published)
    for object_type, name, _ in machine.objects.items():
        keys.add(object_key(object_type, name))
    for name in machine.members:
        keys.update(member_keys(name))
    return keys


def member_keys(name: str) -> list[str]:
    """Return the keys under which a member is published."""
    return [object_key('member', name), object_key('upstream', name)]


def update_since(machine: ControlMachine, version: int) -> StateUpdate:
    """Return the changes to the published state since `version`.

    Parameters
    ----------
    machine : ControlMachine
        State to read.
    version : int
        Version that is in force at the receiver; 0 for none.

    Returns
    -------
    StateUpdate
        A delta, or the full state if `version` is older than the retained
        tombstones or newer than this state.
    """
    full = version < machine.delta_floor or version > machine.version
    since = 0 if full else version
    upserts = []
    for key in reversed(machine.published):
        entry = machine.published[key]
        if entry.version <= since:
            break
        upserts.append(_build_upsert(key, entry))
    removals = []
    for key in reversed(machine.tombstones):
        if full or machine.tombstones[key] <= since:
            break
        removals.append(ObjectKey(**_split_key(key)))
    return StateUpdate(
        from_version=since,
        version=machine.version,
        upserts=upserts[::-1],
        removals=removals[::-1],
        full=full,
    )


def shared_update(
    cache: UpdateCache, machine: ControlMachine, version: int
) -> StateUpdate:
    """Return the changes since `version`, the same object at each call."""
    if cache.version != machine.version:
        cache.version = machine.version
        cache.by_base = {}
    update = cache.by_base.get(version)
    if update is None:
        update = update_since(machine, version)
        cache.by_base[version] = update
    return update


def _store_entry(
    machine: ControlMachine, key: str, body: dict[str, Any] | None
) -> None:
    machine.published.pop(key, None)
    machine.tombstones.pop(key, None)
    if body is None:
        machine.tombstones[key] = machine.version
    else:
        machine.published[key] = PublishedEntry(
            version=machine.version, body=body
        )


def _trim_tombstones(machine: ControlMachine) -> None:
    while len(machine.tombstones) > MAX_TOMBSTONES:
        oldest = next(iter(machine.tombstones))
        machine.delta_floor = machine.tombstones.pop(oldest)


def _build_upsert(key: str, entry: PublishedEntry) -> PublishedObject:
    return PublishedObject(**_split_key(key), body=dict(entry.body))


def _split_key(key: str) -> dict[str, str]:
    object_type, _, name = key.partition('/')
    return {'type': object_type, 'name': name}


def _build_body(machine: ControlMachine, key: str) -> dict[str, Any] | None:
    object_type, _, name = key.partition('/')
    if object_type == 'member':
        return _build_member(machine.members.get(name))
    if object_type == 'upstream':
        return _build_upstream(machine, machine.members.get(name))
    item = machine.objects.table(object_type).get(name)
    if item is None:
        return None
    if object_type == 'group':
        return _build_group(machine, name)
    if object_type == 'allowance':
        age_ms = resolve_max_age_ms(machine.objects, name)
        return {'name': name, 'max_age_ms': age_ms}
    if object_type == 'endpoint':
        return _build_endpoint(machine, name)
    return dataclasses.asdict(item)


def _build_endpoint(machine: ControlMachine, name: str) -> dict[str, Any]:
    body = dataclasses.asdict(machine.objects.endpoints[name])
    del body['path']
    allowance = body.pop('allowance')
    body['max_age_ms'] = (
        resolve_max_age_ms(machine.objects, allowance) if allowance else 0
    )
    return body


def _build_group(machine: ControlMachine, name: str) -> dict[str, Any]:
    group = machine.groups[name]
    body = dataclasses.asdict(machine.objects.groups[name])
    body['term'] = group.term
    body['primary'] = None
    body['database_set'] = dict(group.database_set)
    member = machine.members.get(group.primary or '')
    # The old primary keeps leading until a delegated promotion has ended.
    keeps_old_primary = (
        group.promotion is not None and group.promotion.delegated
    )
    if (
        (group.promotion is None or keeps_old_primary)
        and member is not None
        and member.member_id == group.primary_id
    ):
        body['primary'] = group.primary
    return body


def _build_member(member: Member | None) -> dict[str, Any] | None:
    if member is None:
        return None
    return {
        'name': member.name,
        'member_id': member.member_id,
        'role': member.role,
        'host': member.host,
        'port': member.port,
        'state': 'leaving' if member.leaving else 'joined',
    }


def _build_upstream(
    machine: ControlMachine, member: Member | None
) -> dict[str, Any] | None:
    if member is None or member.role != 'upstream':
        return None
    settings = machine.objects.upstreams.get(member.name)
    drained = settings is not None and settings.drained
    return {
        'name': member.name,
        'group': member.group,
        'data_id': member.member_id,
        'host': member.host,
        'port': member.port,
        'data_centre': member.data_centre,
        'slots': member.slots,
        'connections': member.connections,
        'leaving': member.leaving or drained,
    }
