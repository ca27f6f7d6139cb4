"""Promotion driver: replaces primaries step by step on the control leader.

The committed steps of a promotion are in the replicated state. The driver
keeps only the answers received by the present leader and can be rebuilt
after any step. It is level-triggered: `next_command` and `admin_requests`
derive from the present facts of a group what its next step requires.
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
from jackdawpost.core.control.promotion_facts import is_in_database_set
from jackdawpost.core.control.promotion_facts import progress_of
from jackdawpost.core.control.promotion_facts import PromotionDriver
from jackdawpost.core.control.promotion_facts import RunningPromotion
from jackdawpost.core.control.promotion_facts import SealedDatabase

# Cool-down between two promotions because of a leaving primary.
LEAVING_COOLDOWN_MS = 1_000.0
# Back-off after a command that the state machine has refused.
COMMAND_RETRY_MS = 100.0

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
    """Return the command for the next step of a group, if one is due.

    None is returned while an earlier command of the group is in the log but
    has not been applied. The caller sets `GroupProgress.busy` after it has
    proposed a command.
    """
    progress = progress_of(driver, facts.name)
    _update_highest_term(progress, facts)
    if progress.busy or now_ms < progress.retry_at_ms:
        return None
    promotion = facts.promotion
    if promotion is None:
        return _start_command(progress, now_ms, facts) or _admission_command(
            progress, now_ms, facts
        )
    _reset_for_promotion(progress, promotion)
    if _must_abandon(driver, progress, now_ms, promotion, facts):
        progress.restart_reason = (
            progress.restart_reason or 'promotion abandoned'
        )
        return AbandonPromotion(
            group=facts.name,
            to_term=promotion.to_term,
            reason=progress.restart_reason,
        )
    if promotion.upstream is None:
        return choose_database(progress, now_ms, promotion, facts)
    if progress.promoted and promotion.upstream in facts.databases:
        if facts.databases[promotion.upstream].leaving:
            progress.finished_ms = now_ms
        return FinishPromotion(group=facts.name, to_term=promotion.to_term)
    return None


def _update_highest_term(progress: GroupProgress, facts: GroupFacts) -> None:
    terms = [database.term for database in facts.databases.values()]
    progress.highest_term = max(
        [progress.highest_term, facts.last_term, facts.term, *terms]
    )


def _reset_for_promotion(
    progress: GroupProgress, promotion: RunningPromotion
) -> None:
    """Discard the progress of an earlier promotion."""
    progress.highest_term = max(progress.highest_term, promotion.to_term)
    if progress.sealed_term == promotion.to_term:
        return
    progress.sealed_term = promotion.to_term
    progress.sealed = {}
    progress.enough_since_ms = None
    progress.chosen_since_ms = None
    progress.promoted = False
    progress.outdated = False
    progress.restart_reason = ''
    progress.accept_loss = promotion.accept_loss


def _start_command(
    progress: GroupProgress, now_ms: float, facts: GroupFacts
) -> StartPromotion | None:
    if not progress.restart_reason:
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
        return (
            'first primary'
            if _can_choose_first_primary(progress, facts)
            else ''
        )
    if progress.restart_reason or facts.failure_reason:
        return progress.restart_reason or facts.failure_reason
    if _is_sealed_in_newer_term(facts):
        return 'sealed by an abandoned promotion'
    primary = facts.databases.get(facts.primary)
    if primary is None:
        return ''
    if primary.leaving and _has_candidate(facts):
        return '' if _is_cooling_down(progress, now_ms) else 'primary leaving'
    return ''


def _is_sealed_in_newer_term(facts: GroupFacts) -> bool:
    """Return whether a database of the set has a newer term than the group.

    A promotion that was abandoned has sealed it, and it refuses the present
    term.
    """
    return any(
        database.term > facts.term and is_in_database_set(facts, database)
        for database in facts.databases.values()
    )


def _can_choose_first_primary(
    progress: GroupProgress, facts: GroupFacts
) -> bool:
    """Return whether enough databases are connected for a first primary.

    The first attempt waits for all databases of the group, later attempts
    only for a quorum. One database is enough if loss is accepted.
    """
    connected = [d for d in facts.databases.values() if d.connected]
    if progress.accept_loss:
        return bool(connected)
    return len(connected) >= (facts.quorum if facts.last_term else facts.size)


def _is_cooling_down(progress: GroupProgress, now_ms: float) -> bool:
    """Return whether a leaving database was promoted within the cool-down.

    A leaving database is promoted again if it is the only one that holds
    all writes. The cool-down gives another database time to catch up.
    """
    if progress.finished_ms is None:
        return False
    return now_ms < progress.finished_ms + LEAVING_COOLDOWN_MS


def _has_candidate(facts: GroupFacts) -> bool:
    return any(
        not database.leaving and is_in_database_set(facts, database)
        for database in facts.databases.values()
    )


def request_promotion(
    driver: PromotionDriver, group: str, reason: str, accept_loss: bool
) -> None:
    """Request a promotion for an operator.

    A running promotion continues, except that with `accept_loss` one that
    has not chosen a database is abandoned and restarted with that permission.
    """
    progress = progress_of(driver, group)
    progress.restart_reason = reason
    progress.accept_loss = progress.accept_loss or accept_loss


def _must_abandon(
    driver: PromotionDriver,
    progress: GroupProgress,
    now_ms: float,
    promotion: RunningPromotion,
    facts: GroupFacts,
) -> bool:
    """Return whether to abandon a running promotion.

    Also records in `progress` that the chosen database leads, or the time at
    which its timeout started.
    """
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


def _admission_command(
    progress: GroupProgress, now_ms: float, facts: GroupFacts
) -> AdmitDatabase | None:
    """Return a command to admit a database that has caught up, if any.

    A database has caught up when it reaches a position that the primary
    reported after the database joined. An earlier position is not
    sufficient: a wiped database may have held writes that were acknowledged
    after that position.
    """
    primary = facts.databases.get(facts.primary or '')
    if primary is None or not primary.leads or primary.term != facts.term:
        return None
    for name, database in sorted(facts.databases.items()):
        if is_in_database_set(facts, database) or name == facts.primary:
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
    """Return the admin requests that are pending for a group, by upstream."""
    progress = progress_of(driver, facts.name)
    promotion = facts.promotion
    if promotion is None:
        return _replication_requests(progress, facts)
    _reset_for_promotion(progress, promotion)
    if promotion.upstream is None:
        return {
            name: _build_request(facts, database, 'seal', promotion.to_term)
            for name, database in facts.databases.items()
            if name not in progress.sealed
            or progress.sealed[name].data_id != database.data_id
        }
    database = facts.databases.get(promotion.upstream)
    if database is None or progress.promoted:
        return {}
    request = _build_request(facts, database, 'promote', promotion.to_term)
    return {database.name: request}


def _build_request(
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


def _replication_requests(
    progress: GroupProgress, facts: GroupFacts
) -> dict[str, AdminRequest]:
    """Return the requests that restore replication if no promotion runs.

    A primary that does not lead in its term is promoted again. The other
    databases are to follow it.
    """
    primary = facts.databases.get(facts.primary or '')
    if primary is None:
        return {}
    requests = {}
    if primary.term == facts.term and not primary.leads:
        if is_in_database_set(facts, primary):
            requests[primary.name] = _build_request(
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
            announce_conn=database.announce_conn,
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
    """Handle the answer to a seal request."""
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
    """Handle the answer to a promote or follow request."""
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
    """Shorten the timeout of a chosen database that refuses connections.

    A refused connection is stronger evidence of a failure than a missing
    answer, so `refused_ms` applies from now on instead of `silent_ms`.
    """
    progress = progress_of(driver, facts.name)
    if request.action != 'promote' or progress.chosen_since_ms is None:
        return
    earliest_ms = now_ms + driver.refused_ms - driver.silent_ms
    progress.chosen_since_ms = min(progress.chosen_since_ms, earliest_ms)


def next_promotion_due_ms(
    driver: PromotionDriver, now_ms: float, facts: GroupFacts
) -> float | None:
    """Return when `next_command` may be due without further input."""
    progress = progress_of(driver, facts.name)
    due_times_ms = [progress.retry_at_ms, *facts.lease_holders.values()]
    if progress.finished_ms is not None:
        due_times_ms.append(progress.finished_ms + LEAVING_COOLDOWN_MS)
    if progress.enough_since_ms is not None:
        due_times_ms.append(progress.enough_since_ms + CHOICE_GRACE_MS)
    if progress.chosen_since_ms is not None:
        due_times_ms.append(progress.chosen_since_ms + driver.silent_ms)
    return min((due for due in due_times_ms if due > now_ms), default=None)
