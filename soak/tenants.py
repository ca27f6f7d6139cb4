"""Tenants of the soak test, the history of their keys, and their invariants.

Each version of the configuration may remove or add keys. A version that was
sent may be in force from then on, even without an acknowledgement. It is in
force at an edge once it, or a newer one, has been acknowledged and could be
delivered for `KEY_DELAY_S`.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from collections import Counter
from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Protocol

from jackdawpost_standin.line_database import ReceivedStatement

# Rate per second and burst of each tenant. An ordinary caller runs about 25
# operations per second, so that its tenant stays below the rate.
RATES = {'north': (1_000.0, 100), 'south': (200.0, 40), 'hot': (40.0, 20)}
# Number of ordinary callers of each tenant.
CALLER_COUNTS = {'north': 8, 'south': 3, 'hot': 1}
PUBLIC_DATABASES = frozenset({'orders'})
KEYS_PER_TENANT = 3  # the first one is never removed
UNKNOWN_KEY = 'unknown'
UNKNOWN_KEY_SHARE = 0.05  # of the sessions
ANY_KEY_SHARE = 0.25  # of the sessions; the key may have been removed
KEY_CHANGE_SHARE = 0.5  # of the versions
KEY_DELAY_S = 4.0
WINDOW_S = 5.0
WINDOW_OVERAGE = 0.1
WINDOW_SLACK = 20


class TenantOperation(Protocol):
    """Operation of a caller, as far as tenants are concerned."""

    edge: str
    tenant: str
    key: str
    requests: list[str]
    outcome: str
    ended_s: float


@dataclass(frozen=True)
class SessionStart:
    """Answer to the start of a session with a key."""

    key: str
    edge: str
    at_s: float
    is_ready: bool


@dataclass
class KeyVersion:
    """Keys of one version, with the times of its sending and acknowledgement.

    Parameters
    ----------
    sent_s : float
        Time of the first sending, on the monotonic clock.
    accepted_s : float, optional
        Time of the acknowledgement; None if there was none.
    """

    keys: frozenset[str]
    sent_s: float
    accepted_s: float | None = None


@dataclass(frozen=True)
class Outage:
    """Time in which an edge may not receive versions; any edge if empty."""

    edge: str
    start_s: float
    end_s: float


@dataclass
class KeyHistory:
    """Keys of all versions that were sent.

    Parameters
    ----------
    keys : set of str
        Keys of the latest version.
    versions : dict of int to KeyVersion
        Versions by number.
    outages : list of Outage
        Times in which versions may not be delivered.
    """

    keys: set[str] = field(
        default_factory=lambda: {key for name in RATES for key in _keys(name)}
    )
    versions: dict[int, KeyVersion] = field(default_factory=dict)
    outages: list[Outage] = field(default_factory=list)

    def change(self, rng: random.Random) -> None:
        """Remove or add one key in a share of the calls.

        The keys stay until the first acknowledgement, so that sessions are
        open when they are removed.
        """
        is_accepted = any(v.accepted_s for v in self.versions.values())
        if is_accepted and rng.random() < KEY_CHANGE_SHARE:
            self.keys ^= {rng.choice(_keys(rng.choice(list(RATES)))[1:])}

    def choose(self, rng: random.Random, tenant: str) -> str:
        """Return a key for a session: mostly one in force and removable."""
        draw = rng.random()
        if draw < UNKNOWN_KEY_SHARE:
            return UNKNOWN_KEY
        if draw < UNKNOWN_KEY_SHARE + ANY_KEY_SHARE:
            return rng.choice(_keys(tenant))
        usable = [key for key in _keys(tenant) if key in self.keys]
        return rng.choice(usable[1:] or usable)

    def possible(self, edge: str, at_s: float) -> list[frozenset[str]]:
        """Return the keys of each version that an edge may use at a time."""
        delivered = [
            number
            for number, version in self.versions.items()
            if version.accepted_s is not None
            and self._delivery_s(edge, version.accepted_s, at_s) > KEY_DELAY_S
        ]
        oldest = max(delivered, default=0)
        return [
            version.keys
            for number, version in self.versions.items()
            if number >= oldest and version.sent_s <= at_s
        ]

    def _delivery_s(self, edge: str, start_s: float, end_s: float) -> float:
        """Return the time between two times that is not in an outage."""
        total_s = 0.0
        for outage in sorted(self.outages, key=lambda o: o.start_s):
            if outage.edge in ('', edge) and start_s < outage.end_s:
                total_s += max(0.0, min(end_s, outage.start_s) - start_s)
                start_s = min(end_s, outage.end_s)
        return total_s + max(0.0, end_s - start_s)


def _keys(tenant: str) -> list[str]:
    return [f'{tenant}-key-{index}' for index in range(KEYS_PER_TENANT)]


def build_tenants(keys: Iterable[str]) -> list[dict[str, Any]]:
    """Return the part of the configuration with the given keys."""
    return [
        {
            'name': name,
            'apiKeys': [key for key in _keys(name) if key in keys],
            'ratePerS': rate_per_s,
            'burst': burst,
        }
        for name, (rate_per_s, burst) in RATES.items()
    ]


def find_tenant_violations(
    operations: Iterable[TenantOperation],
    starts: Iterable[SessionStart],
    statements: Iterable[ReceivedStatement],
    arrivals: Mapping[str, float],
    history: KeyHistory,
) -> list[str]:
    """Return a description of each violation of an invariant of tenants.

    Parameters
    ----------
    statements : iterable of ReceivedStatement
        Statements that the databases have received.
    arrivals : dict of str to float
        Times at which the relays received requests, on the monotonic clock.
    """
    violations = []
    owners = {
        request: operation
        for operation in operations
        for request in operation.requests
    }
    first_s: dict[int, tuple[float, str]] = {}
    for statement in statements:
        owner = owners.get(statement.request)
        if owner is None:
            continue  # sent by a pooler on its own
        at_s = arrivals.get(statement.request, statement.at_s)
        first = (at_s, owner.tenant)
        first_s[id(owner)] = min(first, first_s.get(id(owner), first))
        if statement.peer != (owner.tenant or owner.edge):
            violations.append(
                f'tenant: {statement} ran on a connection of another peer '
                f'than that of its caller: {owner}'
            )
        if owner.key and not any(
            owner.key in keys for keys in history.possible(owner.edge, at_s)
        ):
            violations.append(
                f'key: {statement} arrived at {at_s:.3f} with a key that is '
                f'not in force: {owner}'
            )
    violations += _find_misjudged_keys(owners.values(), starts, history)
    return violations + _find_exceeded_rates(first_s.values())


def _find_misjudged_keys(
    operations: Iterable[TenantOperation],
    starts: Iterable[SessionStart],
    history: KeyHistory,
) -> list[str]:
    """Find sessions of keys not in force, and refusals of keys in force."""
    refusals = [
        SessionStart(op.key, op.edge, op.ended_s, False)
        for op in operations
        if op.outcome == 'UNAUTH'
    ]
    violations = []
    for start in [*starts, *refusals]:
        known = [
            start.key in keys
            for keys in history.possible(start.edge, start.at_s)
        ]
        if start.is_ready and not any(known):
            violations.append(f'key: session of a key not in force: {start}')
        elif not start.is_ready and known and all(known):
            violations.append(f'key: refusal of a key in force: {start}')
    return violations


def _find_exceeded_rates(
    first_arrivals: Iterable[tuple[float, str]],
) -> list[str]:
    """Find windows with more operations of a tenant than its limit."""
    times: dict[str, list[float]] = defaultdict(list)
    for at_s, tenant in sorted(first_arrivals):
        times[tenant].append(at_s)
    highest: Counter[str] = Counter()
    for tenant, arrivals in times.items():
        for index, at_s in enumerate(arrivals):
            count = index + 1 - bisect_left(arrivals, at_s - WINDOW_S)
            highest[tenant] = max(highest[tenant], count)
    violations = []
    for tenant, (rate_per_s, burst) in RATES.items():
        limit = (rate_per_s * WINDOW_S + burst) * (1 + WINDOW_OVERAGE)
        if highest[tenant] > limit + WINDOW_SLACK:
            violations.append(
                f'rate: {highest[tenant]} operations of tenant {tenant!r} in '
                f'{WINDOW_S:g} s, expected at most {limit + WINDOW_SLACK:g}'
            )
    return violations
