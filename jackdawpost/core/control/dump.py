"""Health check and state dump of a control process."""

from __future__ import annotations

import dataclasses
from typing import Any

from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.state import DeclaredConfig
from jackdawpost.core.keys import fingerprint
from jackdawpost.core.keys import is_digest

# Names in the dump of the fields that have another name there. Readers of
# dumps rely on these names. Two fields may share one unless they belong to the
# same class.
_DUMP_NAMES = {
    'accounts': 'borrowers',
    'announce_conn': 'session',
    'approvals_requested': 'asked',
    'contact_floor_ms': 'heard_floor_ms',
    'electorate_ms': 'witnesses_ms',
    'excluded_until_ms': 'avoid_ms',
    'last_contact_ms': 'heard_ms',
    'last_tick_ms': 'ticked_ms',
    'next_announce_ms': 'announce_at_ms',
    'next_request_ms': 'ask_ms',
    'next_sweep_ms': 'sweep_ms',
    'not_adopted_until_ms': 'replaced_ms',
    'observations': 'seen',
    'pending_operators': 'answers',
    'pending_promotions': 'promotes',
    'pending_queries': 'queries',
    'pending_reads': 'reads',
    'pending_requests': 'asked',
    'primary_since_ms': 'watched_since_ms',
    'replica_pauses': 'freezes',
    'reporters': 'witnesses',
    'request': 'want',
    'restart_reason': 'restart',
    'sealed': 'heard',
    'sealed_term': 'heard_term',
    'suspect_groups': 'suspects',
    'unreported': 'unheard',
    'upstream_observations': 'sightings',
    'versions_in_force': 'in_force',
    'without_primary_since_ms': 'no_primary_ms',
}


def is_healthy(state: ControlState) -> bool:
    """Return whether the process knows a leader and can write to disk.

    A draining process is not healthy.
    """
    knows_leader = state.consensus.leader is not None
    return knows_leader and not state.draining and not state.storage_failed


def dump_control(state: ControlState) -> dict[str, Any]:
    """Return a snapshot of the state as plain data."""
    core = state.consensus
    return {
        'name': state.cfg.name,
        'now_ms': state.now_ms,
        'healthy': is_healthy(state),
        'draining': state.draining,
        'storage_failed': state.storage_failed,
        'consensus': {
            'role': core.role,
            'leader': core.leader,
            'term': core.term,
            'commit_index': core.commit_index,
            'applied_index': core.applied_index,
            'voters': list(core.voters),
        },
        'machine': _plain(state.machine),
        'links': _plain(state.links),
        'peers': _plain(state.peers),
        'upstreams': _plain(list(state.upstreams.values())),
        'leader': _plain(state.leader),
    }


def _plain(value: Any) -> Any:
    """Return a value as plain data, with sets sorted and bytes in hex.

    Digests of keys are replaced by their fingerprints.
    """
    if isinstance(value, DeclaredConfig):
        return value.describe()
    if isinstance(value, str) and is_digest(value):
        return fingerprint(value)
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            _DUMP_NAMES.get(item.name, item.name): _plain(
                getattr(value, item.name)
            )
            for item in dataclasses.fields(value)
        }
    if isinstance(value, dict):
        return {_plain_key(k): _plain(item) for k, item in value.items()}
    if isinstance(value, set | frozenset):
        return sorted((_plain(item) for item in value), key=repr)
    if isinstance(value, list | tuple):
        return [_plain(item) for item in value]
    if isinstance(value, bytes):
        return value.hex()
    return value


def _plain_key(key: Any) -> str:
    if isinstance(key, tuple):
        return '/'.join(str(part) for part in key)
    return str(key)
