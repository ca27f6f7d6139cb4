"""Promotion driver: replaces primaries step by step on the control leader.

The committed steps are in the replicated state; the driver keeps only what
the present leader has heard and can be built anew at each of them. It is
level-triggered: `next_command` and `admin_wants` look at the facts of a
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
from jackdawpost.core.control.promotion_facts import AdminWant
from jackdawpost.core.control.promotion_facts import Database
from jackdawpost.core.control.promotion_facts import drive_of
from jackdawpost.core.control.promotion_facts import GroupDrive
from jackdawpost.core.control.promotion_facts import GroupFacts
from jackdawpost.core.control.promotion_facts import Heard
from jackdawpost.core.control.promotion_facts import is_counted
from jackdawpost.core.control.promotion_facts import OpenPromotion
from jackdawpost.core.control.promotion_facts import PromotionDriver

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
    drive = drive_of(driver, facts.name)
    _learn_terms(drive, facts)
    if drive.busy or now_ms < drive.retry_at_ms:
        return None
    promotion = facts.promotion
    if promotion is None:
        return _start(drive, now_ms, facts) or _admit(drive, now_ms, facts)
    _enter(drive, promotion)
    if _must_abandon(driver, drive, now_ms, promotion, facts):
        drive.restart = drive.restart or 'promotion given up'
        return AbandonPromotion(
            group=facts.name, to_term=promotion.to_term, reason=drive.restart
        )
    if promotion.upstream is None:
        return choose_database(drive, now_ms, promotion, facts)
    if drive.promoted and promotion.upstream in facts.databases:
        if facts.databases[promotion.upstream].leaving:
            drive.finished_ms = now_ms
        return FinishPromotion(group=facts.name, to_term=promotion.to_term)
    return None


def _learn_terms(drive: GroupDrive, facts: GroupFacts) -> None:
    terms = [database.term for database in facts.databases.values()]
    drive.highest_term = max(
        [drive.highest_term, facts.last_term, facts.term, *terms]
    )


def _enter(drive: GroupDrive, promotion: OpenPromotion) -> None:
    """Forget what belongs to an earlier promotion."""
    drive.highest_term = max(drive.highest_term, promotion.to_term)
    if drive.heard_term == promotion.to_term:
        return
    drive.heard_term = promotion.to_term
    drive.heard = {}
    drive.enough_since_ms = None
    drive.chosen_since_ms = None
    drive.promoted = False
    drive.outdated = False
    drive.restart = ''
    drive.accept_loss = promotion.accept_loss


def _start(
    drive: GroupDrive, now_ms: float, facts: GroupFacts
) -> StartPromotion | None:
    if not drive.restart:
        drive.accept_loss = False
    reason = _start_reason(drive, now_ms, facts)
    if not reason:
        return None
    return StartPromotion(
        group=facts.name,
        from_term=facts.term,
        to_term=drive.highest_term + 1,
        reason=reason,
        accept_loss=drive.accept_loss,
    )


def _start_reason(drive: GroupDrive, now_ms: float, facts: GroupFacts) -> str:
    if facts.primary is None:
        if facts.term:
            return 'no primary'
        return 'first primary' if _may_begin(drive, facts) else ''
    if drive.restart or facts.failed:
        return drive.restart or facts.failed
    if _is_sealed(facts):
        return 'sealed by a promotion that was given up'
    primary = facts.databases.get(facts.primary)
    if primary is None:
        return ''
    if primary.leaving and _has_successor(facts):
        return '' if _is_paused(drive, now_ms) else 'primary leaving'
    return ''


def _is_sealed(facts: GroupFacts) -> bool:
    """Tell whether a counted database refuses the present term."""
    return any(
        database.term > facts.term and is_counted(facts, database)
        for database in facts.databases.values()
    )


def _may_begin(drive: GroupDrive, facts: GroupFacts) -> bool:
    """Tell whether enough databases are there for the first primary.

    A second attempt, after a choice that failed, waits for no more
    databases than must be heard.
    """
    present = [d for d in facts.databases.values() if d.connected]
    if drive.accept_loss:
        return bool(present)
    return len(present) >= (facts.needed if facts.last_term else facts.size)


def _is_paused(drive: GroupDrive, now_ms: float) -> bool:
    """Tell whether a leaving primary was chosen again a moment ago.

    That happens if only it holds every write; the pause lets another
    database catch up.
    """
    if drive.finished_ms is None:
        return False
    return now_ms < drive.finished_ms + LEAVING_PAUSE_MS


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
    drive = drive_of(driver, group)
    drive.restart = reason
    drive.accept_loss = drive.accept_loss or accept_loss


def _must_abandon(
    driver: PromotionDriver,
    drive: GroupDrive,
    now_ms: float,
    promotion: OpenPromotion,
    facts: GroupFacts,
) -> bool:
    if drive.outdated:
        return True
    if promotion.upstream is None:
        return drive.accept_loss and not promotion.accept_loss
    database = facts.databases.get(promotion.upstream)
    if database is not None and database.data_id != promotion.data_id:
        return True
    if database is not None:
        if database.leads and database.term == promotion.to_term:
            drive.promoted = True
        if drive.promoted:
            return False
    if drive.chosen_since_ms is None:
        drive.chosen_since_ms = now_ms
    return now_ms >= drive.chosen_since_ms + driver.silent_ms


def _admit(
    drive: GroupDrive, now_ms: float, facts: GroupFacts
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
        if primary.heard_ms > drive.joined_ms.setdefault(key, now_ms):
            drive.targets.setdefault(key, primary.received)
        target = drive.targets.get(key)
        if target is None or database.term != facts.term:
            continue
        if database.received >= target:
            return AdmitDatabase(
                group=facts.name, name=name, data_id=database.data_id
            )
    return None


def admin_wants(
    driver: PromotionDriver, facts: GroupFacts
) -> dict[str, AdminWant]:
    """Return the admin request that each upstream of a group owes now."""
    drive = drive_of(driver, facts.name)
    promotion = facts.promotion
    if promotion is None:
        return _follow_wants(drive, facts)
    _enter(drive, promotion)
    if promotion.upstream is None:
        return {
            name: _want(facts, database, 'seal', promotion.to_term)
            for name, database in facts.databases.items()
            if name not in drive.heard
            or drive.heard[name].data_id != database.data_id
        }
    database = facts.databases.get(promotion.upstream)
    if database is None or drive.promoted:
        return {}
    want = _want(facts, database, 'promote', promotion.to_term)
    return {database.name: want}


def _want(
    facts: GroupFacts,
    database: Database,
    action: Literal['seal', 'promote'],
    term: int,
) -> AdminWant:
    return AdminWant(
        group=facts.name,
        upstream=database.name,
        action=action,
        term=term,
        host=database.host,
        port=database.port,
    )


def _follow_wants(
    drive: GroupDrive, facts: GroupFacts
) -> dict[str, AdminWant]:
    primary = facts.databases.get(facts.primary or '')
    if primary is None:
        return {}
    wants = {}
    if primary.term == facts.term and not primary.leads:
        if is_counted(facts, primary):
            wants[primary.name] = _want(facts, primary, 'promote', facts.term)
    for name, database in facts.databases.items():
        if name == primary.name or database.term > facts.term:
            continue
        want = AdminWant(
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
        if behind or want not in drive.followed:
            wants[name] = want
    return wants


def note_sealed(
    driver: PromotionDriver,
    facts: GroupFacts,
    want: AdminWant,
    ok: bool,
    term: int,
    heard: Heard,
) -> None:
    """Take the answer to a seal request."""
    drive = drive_of(driver, facts.name)
    drive.highest_term = max(drive.highest_term, term)
    if drive.heard_term != want.term:
        return
    if ok:
        drive.heard[want.upstream] = heard
    elif term > want.term:
        drive.outdated = True


def note_admin_done(
    driver: PromotionDriver,
    facts: GroupFacts,
    want: AdminWant,
    ok: bool,
    term: int,
) -> None:
    """Take the answer to a promote or follow request."""
    drive = drive_of(driver, facts.name)
    drive.highest_term = max(drive.highest_term, term)
    if want.action == 'follow':
        if ok:
            drive.followed = {
                done
                for done in drive.followed
                if done.upstream != want.upstream
            }
            drive.followed.add(want)
        return
    if drive.heard_term != want.term or facts.promotion is None:
        return
    if ok:
        drive.promoted = True
    elif term > want.term:
        drive.outdated = True


def note_refused(
    driver: PromotionDriver, now_ms: float, facts: GroupFacts, want: AdminWant
) -> None:
    """Note that a chosen database refuses connections.

    A refusal says more than silence, so the time after which the database
    is given up becomes `refused_ms`.
    """
    drive = drive_of(driver, facts.name)
    if want.action != 'promote' or drive.chosen_since_ms is None:
        return
    earliest = now_ms + driver.refused_ms - driver.silent_ms
    drive.chosen_since_ms = min(drive.chosen_since_ms, earliest)


def next_promotion_due_ms(
    driver: PromotionDriver, now_ms: float, facts: GroupFacts
) -> float | None:
    """Return when `next_command` may be due without another input."""
    drive = drive_of(driver, facts.name)
    dues = [drive.retry_at_ms, *facts.lease_holders.values()]
    if drive.finished_ms is not None:
        dues.append(drive.finished_ms + LEAVING_PAUSE_MS)
    if drive.enough_since_ms is not None:
        dues.append(drive.enough_since_ms + CHOICE_GRACE_MS)
    if drive.chosen_since_ms is not None:
        dues.append(drive.chosen_since_ms + driver.silent_ms)
    return min((due for due in dues if due > now_ms), default=None)
