"""Choice of the new primary among the sealed databases of a group.

A sealed database accepts no more records from the old primary.
"""

from __future__ import annotations

from collections.abc import Mapping

from jackdawpost.core.control.commands import ChoosePrimary
from jackdawpost.core.control.promotion_facts import GroupFacts
from jackdawpost.core.control.promotion_facts import GroupProgress
from jackdawpost.core.control.promotion_facts import is_in_database_set
from jackdawpost.core.control.promotion_facts import progress_of
from jackdawpost.core.control.promotion_facts import PromotionDriver
from jackdawpost.core.control.promotion_facts import RunningPromotion
from jackdawpost.core.control.promotion_facts import SealedDatabase

# Grace period for further replicas to be sealed, where a wait costs little.
CHOICE_GRACE_MS = 200.0


def choose_database(
    progress: GroupProgress,
    now_ms: float,
    promotion: RunningPromotion,
    facts: GroupFacts,
) -> ChoosePrimary | None:
    """Return the command that chooses the new primary once that is safe.

    All leases of the old term must have ended and a quorum of databases must
    be sealed; one database is enough if loss is accepted. For each
    acknowledged write, any quorum includes a database that holds it.
    """
    if facts.lease_holders:
        return None
    sealed = counted_sealed(progress, facts)
    if len(sealed) < (1 if promotion.accept_loss else facts.quorum):
        return None
    if progress.enough_since_ms is None:
        progress.enough_since_ms = now_ms
    preferred = {
        n: item
        for n, item in sealed.items()
        if not _is_least_preferred(n, facts)
    }
    if _should_wait(progress, now_ms, promotion, facts, preferred):
        return None
    name = _most_up_to_date(
        preferred if len(preferred) >= facts.quorum else sealed, facts
    )
    return ChoosePrimary(
        group=facts.name,
        to_term=promotion.to_term,
        upstream=name,
        data_id=sealed[name].data_id,
        position=sealed[name].received,
    )


def counted_sealed(
    progress: GroupProgress, facts: GroupFacts
) -> dict[str, SealedDatabase]:
    """Return the sealed databases of the set without those wiped since."""
    usable = {}
    for name, sealed in progress.sealed.items():
        database = facts.databases.get(name)
        if database is not None and database.data_id != sealed.data_id:
            continue
        if facts.database_set.get(name) == sealed.data_id:
            usable[name] = sealed
    return usable


def _is_least_preferred(name: str, facts: GroupFacts) -> bool:
    """Return whether a database is chosen only if the others are no quorum.

    Such databases are the old primary, unannounced databases and leaving ones.
    """
    database = facts.databases.get(name)
    return name == facts.primary or database is None or database.leaving


def _should_wait(
    progress: GroupProgress,
    now_ms: float,
    promotion: RunningPromotion,
    facts: GroupFacts,
    preferred: Mapping[str, SealedDatabase],
) -> bool:
    """Return whether to wait for more databases, which may hold more writes.

    Waiting is worthwhile only if loss is accepted or if the primary is
    leaving and has not failed. Otherwise it would prolong the outage, and the
    quorum already holds every acknowledged write.
    """
    primary = facts.databases.get(facts.primary or '')
    is_planned = (
        primary is not None and primary.leaving and not facts.failure_reason
    )
    if not is_planned and not promotion.accept_loss:
        return False
    missing = [
        name
        for name, database in facts.databases.items()
        if name not in preferred
        and database.connected
        and is_in_database_set(facts, database)
        and not _is_least_preferred(name, facts)
    ]
    since_ms = progress.enough_since_ms or now_ms
    return bool(missing) and now_ms < since_ms + CHOICE_GRACE_MS


def _most_up_to_date(
    candidates: Mapping[str, SealedDatabase], facts: GroupFacts
) -> str:
    return max(
        sorted(candidates),
        key=lambda name: (
            candidates[name].received,
            not _is_least_preferred(name, facts),
        ),
    )


def missing_databases(driver: PromotionDriver, facts: GroupFacts) -> list[str]:
    """Return the databases that a promotion has not sealed yet.

    The list is empty unless a promotion is running that has not chosen an
    upstream.
    """
    if facts.promotion is None or facts.promotion.upstream is not None:
        return []
    sealed = counted_sealed(progress_of(driver, facts.name), facts)
    return sorted(set(facts.database_set) - set(sealed))
