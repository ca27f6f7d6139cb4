"""Choice of the database that leads next."""

from __future__ import annotations

from collections.abc import Mapping

from jackdawpost.core.control.commands import ChoosePrimary
from jackdawpost.core.control.promotion_facts import GroupFacts
from jackdawpost.core.control.promotion_facts import GroupProgress
from jackdawpost.core.control.promotion_facts import is_counted
from jackdawpost.core.control.promotion_facts import progress_of
from jackdawpost.core.control.promotion_facts import PromotionDriver
from jackdawpost.core.control.promotion_facts import RunningPromotion
from jackdawpost.core.control.promotion_facts import SealedDatabase

CHOICE_GRACE_MS = 200.0  # for further replicas where waiting costs little


def choose_database(
    progress: GroupProgress,
    now_ms: float,
    promotion: RunningPromotion,
    facts: GroupFacts,
) -> ChoosePrimary | None:
    """Return the choice of the next primary once it is safe.

    It needs every lease of the old term to have ended and enough sealed
    databases: one of them holds each acknowledged write, and a sealed
    database takes no more records from the old primary.
    """
    if facts.lease_holders:
        return None
    sealed = counted_sealed(progress, facts)
    if len(sealed) < (1 if promotion.accept_loss else facts.needed):
        return None
    if progress.enough_since_ms is None:
        progress.enough_since_ms = now_ms
    others = {n: h for n, h in sealed.items() if not _is_avoided(n, facts)}
    if _should_wait(progress, now_ms, promotion, facts, others):
        return None
    name = _best(others if len(others) >= facts.needed else sealed, facts)
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
    """Return the sealed databases whose data counts for the choice."""
    counted = {}
    for name, sealed in progress.sealed.items():
        database = facts.databases.get(name)
        if database is not None and database.data_id != sealed.data_id:
            continue
        if facts.database_set.get(name) == sealed.data_id:
            counted[name] = sealed
    return counted


def _is_avoided(name: str, facts: GroupFacts) -> bool:
    """Tell whether a database is to be replaced rather than chosen."""
    database = facts.databases.get(name)
    return name == facts.primary or database is None or database.leaving


def _should_wait(
    progress: GroupProgress,
    now_ms: float,
    promotion: RunningPromotion,
    facts: GroupFacts,
    others: Mapping[str, SealedDatabase],
) -> bool:
    """Wait a little for further databases that may hold more.

    A dead primary is never worth it: the databases needed for the choice
    already include every acknowledged write.
    """
    primary = facts.databases.get(facts.primary or '')
    leaving = primary is not None and primary.leaving and not facts.failed
    if not leaving and not promotion.accept_loss:
        return False
    missing = [
        name
        for name, database in facts.databases.items()
        if name not in others
        and database.connected
        and is_counted(facts, database)
        and not _is_avoided(name, facts)
    ]
    since_ms = progress.enough_since_ms or now_ms
    return bool(missing) and now_ms < since_ms + CHOICE_GRACE_MS


def _best(candidates: Mapping[str, SealedDatabase], facts: GroupFacts) -> str:
    return max(
        sorted(candidates),
        key=lambda name: (
            candidates[name].received,
            not _is_avoided(name, facts),
        ),
    )


def missing_databases(driver: PromotionDriver, facts: GroupFacts) -> list[str]:
    """Return the databases that a blocked promotion has not heard."""
    if facts.promotion is None or facts.promotion.upstream is not None:
        return []
    sealed = counted_sealed(progress_of(driver, facts.name), facts)
    return sorted(set(facts.database_set) - set(sealed))
