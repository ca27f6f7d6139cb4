"""Promotion driver: replaces primaries step by step on the control leader.

The committed steps are in the replicated state; the driver keeps only what
the present leader has heard and can be built anew at each of them. It is
level-triggered: `next_command` and `admin_requests` look at the facts of a
group and return what is missing for its next step.
"""

from __future__ import annotations

from typing import Literal

from jackdawpost.core.control.commands import AbandonPromotion
from jackdawpost.core.control.commands import AdmitDatabase
from jackdawpost.core.control.commands import ChoosePrimary
from jackdawpost.core.control.commands import FinishPromotion
from jackdawpost.core.control.commands import StartPromotion
from jackdawpost.core.control.promotion_choice import CHOICE_GRACE_MS
from jackdawpost.core.control.promotion_choice import choose_database
from jackdawpost.core.control.promotion_facts import AdminRequest
from jackdawpost.core.control.promotion_facts import Database
from jackdawpost.core.control.promotion_facts import GroupFacts
from jackdawpost.core.control.promotion_facts import GroupProgress
from jackdawpost.core.control.promotion_facts import is_counted
from jackdawpost.core.control.promotion_facts import progress_of
from jackdawpost.core.control.promotion_facts import PromotionDriver
from jackdawpost.core.control.promotion_facts import RunningPromotion
from jackdawpost.core.control.promotion_facts import SealedDatabase

LEAVING_PAUSE_MS = 1_000.0  # between promotions for a primary that leaves
RETRY_MS = 100.0  # after a command that the state machine refused

GroupCommand = (
    StartPromotion
    | ChoosePrimary
    | FinishPromotion
    | AbandonPromotion
    | AdmitDatabase
)


def next_command(
    driver: PromotionDriver, now_ms: float, facts: GroupFacts
) -> GroupCommand | None:
    """Return the command that takes a group one step on, if it is due.

    Nothing is returned while an earlier command of the group is in the log
    and not applied; the caller sets ``busy`` once it has proposed.
    """
    progress = progress_of(driver, facts.name)
    _learn_terms(progress, facts)
    if progress.busy or now_ms < progress.retry_at_ms:
        return None
    promotion = facts.promotion
    if promotion is None:
        return _start(progress, now_ms, facts) or _admit(
            progress, now_ms, facts
        )
    _enter(progress, promotion)
    if _must_abandon(driver, progress, now_ms, promotion, facts):
        progress.restart = progress.restart or 'promotion given up'
        return AbandonPromotion(
            group=facts.name,
            to_term=promotion.to_term,
            reason=progress.restart,
        )
    if promotion.upstream is None:
        return choose_database(progress, now_ms, promotion, facts)
    if progress.promoted and promotion.upstream in facts.databases:
        if facts.databases[promotion.upstream].leaving:
            progress.finished_ms = now_ms
        return FinishPromotion(group=facts.name, to_term=promotion.to_term)
    return None


def _learn_terms(progress: GroupProgress, facts: GroupFacts) -> None:
    terms = [database.term for database in facts.databases.values()]
    progress.highest_term = max(
        [progress.highest_term, facts.last_term, facts.term, *terms]
    )


def _enter(progress: GroupProgress, promotion: RunningPromotion) -> None:
    """Forget what belongs to an earlier promotion."""
    progress.highest_term = max(progress.highest_term, promotion.to_term)
    if progress.sealed_term == promotion.to_term:
        return
    progress.sealed_term = promotion.to_term
    progress.sealed = {}
    progress.enough_since_ms = None
    progress.chosen_since_ms = None
    progress.promoted = False
    progress.outdated = False
    progress.restart = ''
    progress.accept_loss = promotion.accept_loss


def _start(
    progress: GroupProgress, now_ms: float, facts: GroupFacts
) -> StartPromotion | None:
    if not progress.restart:
        progress.accept_loss = False
    reason = _start_reason(progress, now_ms, facts)
    if not reason:
        return None
    return StartPromotion(
        group=facts.name,
        from_term=facts.term,
        to_term=progress.highest_term + 1,
        reason=reason,
        accept_loss=progress.accept_loss,
    )


def _start_reason(
    progress: GroupProgress, now_ms: float, facts: GroupFacts
) -> str:
    if facts.primary is None:
        if facts.term:
            return 'no primary'
        return 'first primary' if _may_begin(progress, facts) else ''
    if progress.restart or facts.failed:
        return progress.restart or facts.failed
    if _is_sealed(facts):
        return 'sealed by a promotion that was given up'
    primary = facts.databases.get(facts.primary)
    if primary is None:
        return ''
    if primary.leaving and _has_successor(facts):
        return '' if _is_paused(progress, now_ms) else 'primary leaving'
    return ''


def _is_sealed(facts: GroupFacts) -> bool:
    """Tell whether a counted database refuses the present term."""
    return any(
        database.term > facts.term and is_counted(facts, database)
        for database in facts.databases.values()
    )


def _may_begin(progress: GroupProgress, facts: GroupFacts) -> bool:
    """Tell whether enough databases are there for the first primary.

    A second attempt, after a choice that failed, waits for no more
    databases than must be heard.
    """
    present = [d for d in facts.databases.values() if d.connected]
    if progress.accept_loss:
        return bool(present)
    return len(present) >= (facts.needed if facts.last_term else facts.size)


def _is_paused(progress: GroupProgress, now_ms: float) -> bool:
    """Tell whether a leaving primary was chosen again a moment ago.

    That happens if only it holds every write; the pause lets another
    database catch up.
    """
    if progress.finished_ms is None:
        return False
    return now_ms < progress.finished_ms + LEAVING_PAUSE_MS


def _has_successor(facts: GroupFacts) -> bool:
    return any(
        not database.leaving and is_counted(facts, database)
        for database in facts.databases.values()
    )


def request_promotion(
    driver: PromotionDriver, group: str, reason: str, accept_loss: bool
) -> None:
    """Start a promotion on an operator's request, or let one go on.

    With `accept_loss` a promotion that has heard too few databases is given
    up and started again with that permission.
    """
    progress = progress_of(driver, group)
    progress.restart = reason
    progress.accept_loss = progress.accept_loss or accept_loss


def _must_abandon(
    driver: PromotionDriver,
    progress: GroupProgress,
    now_ms: float,
    promotion: RunningPromotion,
    facts: GroupFacts,
) -> bool:
    if progress.outdated:
        return True
    if promotion.upstream is None:
        return progress.accept_loss and not promotion.accept_loss
    database = facts.databases.get(promotion.upstream)
    if database is not None and database.data_id != promotion.data_id:
        return True
    if database is not None:
        if database.leads and database.term == promotion.to_term:
            progress.promoted = True
        if progress.promoted:
            return False
    if progress.chosen_since_ms is None:
        progress.chosen_since_ms = now_ms
    return now_ms >= progress.chosen_since_ms + driver.silent_ms


def _admit(
    progress: GroupProgress, now_ms: float, facts: GroupFacts
) -> AdmitDatabase | None:
    """Admit a database that has reached a position of the primary.

    A position heard before the database joined proves nothing: a wiped
    database may have held writes that were acknowledged after it.
    """
    primary = facts.databases.get(facts.primary or '')
    if primary is None or not primary.leads or primary.term != facts.term:
        return None
    for name, database in sorted(facts.databases.items()):
        if is_counted(facts, database) or name == facts.primary:
            continue
        key = (name, database.data_id, facts.term)
        if primary.last_contact_ms > progress.joined_ms.setdefault(
            key, now_ms
        ):
            progress.targets.setdefault(key, primary.received)
        target = progress.targets.get(key)
        if target is None or database.term != facts.term:
            continue
        if database.received >= target:
            return AdmitDatabase(
                group=facts.name, name=name, data_id=database.data_id
            )
    return None


def admin_requests(
    driver: PromotionDriver, facts: GroupFacts
) -> dict[str, AdminRequest]:
    """Return the admin request that each upstream of a group owes now."""
    progress = progress_of(driver, facts.name)
    promotion = facts.promotion
    if promotion is None:
        return _follow_requests(progress, facts)
    _enter(progress, promotion)
    if promotion.upstream is None:
        return {
            name: _request(facts, database, 'seal', promotion.to_term)
            for name, database in facts.databases.items()
            if name not in progress.sealed
            or progress.sealed[name].data_id != database.data_id
        }
    database = facts.databases.get(promotion.upstream)
    if database is None or progress.promoted:
        return {}
    request = _request(facts, database, 'promote', promotion.to_term)
    return {database.name: request}


def _request(
    facts: GroupFacts,
    database: Database,
    action: Literal['seal', 'promote'],
    term: int,
) -> AdminRequest:
    return AdminRequest(
        group=facts.name,
        upstream=database.name,
        action=action,
        term=term,
        host=database.host,
        port=database.port,
    )


def _follow_requests(
    progress: GroupProgress, facts: GroupFacts
) -> dict[str, AdminRequest]:
    primary = facts.databases.get(facts.primary or '')
    if primary is None:
        return {}
    requests = {}
    if primary.term == facts.term and not primary.leads:
        if is_counted(facts, primary):
            requests[primary.name] = _request(
                facts, primary, 'promote', facts.term
            )
    for name, database in facts.databases.items():
        if name == primary.name or database.term > facts.term:
            continue
        request = AdminRequest(
            group=facts.name,
            upstream=name,
            action='follow',
            term=facts.term,
            host=database.host,
            port=database.port,
            primary=primary.name,
            primary_host=primary.host,
            primary_port=primary.port,
            session=database.session,
        )
        behind = database.term < facts.term or database.leads
        if behind or request not in progress.followed:
            requests[name] = request
    return requests


def on_sealed(
    driver: PromotionDriver,
    facts: GroupFacts,
    request: AdminRequest,
    ok: bool,
    term: int,
    sealed: SealedDatabase,
) -> None:
    """Take the answer to a seal request."""
    progress = progress_of(driver, facts.name)
    progress.highest_term = max(progress.highest_term, term)
    if progress.sealed_term != request.term:
        return
    if ok:
        progress.sealed[request.upstream] = sealed
    elif term > request.term:
        progress.outdated = True


def on_admin_done(
    driver: PromotionDriver,
    facts: GroupFacts,
    request: AdminRequest,
    ok: bool,
    term: int,
) -> None:
    """Take the answer to a promote or follow request."""
    progress = progress_of(driver, facts.name)
    progress.highest_term = max(progress.highest_term, term)
    if request.action == 'follow':
        if ok:
            progress.followed = {
                done
                for done in progress.followed
                if done.upstream != request.upstream
            }
            progress.followed.add(request)
        return
    if progress.sealed_term != request.term or facts.promotion is None:
        return
    if ok:
        progress.promoted = True
    elif term > request.term:
        progress.outdated = True


def on_connection_refused(
    driver: PromotionDriver,
    now_ms: float,
    facts: GroupFacts,
    request: AdminRequest,
) -> None:
    """Note that a chosen database refuses connections.

    A refusal says more than silence, so the time after which the database
    is given up becomes `refused_ms`.
    """
    progress = progress_of(driver, facts.name)
    if request.action != 'promote' or progress.chosen_since_ms is None:
        return
    earliest = now_ms + driver.refused_ms - driver.silent_ms
    progress.chosen_since_ms = min(progress.chosen_since_ms, earliest)


def next_promotion_due_ms(
    driver: PromotionDriver, now_ms: float, facts: GroupFacts
) -> float | None:
    """Return when `next_command` may be due without another input."""
    progress = progress_of(driver, facts.name)
    dues = [progress.retry_at_ms, *facts.lease_holders.values()]
    if progress.finished_ms is not None:
        dues.append(progress.finished_ms + LEAVING_PAUSE_MS)
    if progress.enough_since_ms is not None:
        dues.append(progress.enough_since_ms + CHOICE_GRACE_MS)
    if progress.chosen_since_ms is not None:
        dues.append(progress.chosen_since_ms + driver.silent_ms)
    return min((due for due in dues if due > now_ms), default=None)
