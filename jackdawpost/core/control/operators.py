"""Links from operators: changes, queries and requests."""

from __future__ import annotations

from typing import Any

from jackdawpost.core.consensus import process as consensus
from jackdawpost.core.control import promotion
from jackdawpost.core.control.commands import ApplyChangeSet
from jackdawpost.core.control.commands import Command
from jackdawpost.core.control.members import ask_again
from jackdawpost.core.control.members import begin_removal
from jackdawpost.core.control.operator_queries import answer_query
from jackdawpost.core.control.operator_requests import answer_approve
from jackdawpost.core.control.operator_requests import answer_change
from jackdawpost.core.control.operator_requests import answer_command
from jackdawpost.core.control.operator_requests import answer_refusal
from jackdawpost.core.control.operator_requests import build_change
from jackdawpost.core.control.operator_requests import build_drain
from jackdawpost.core.control.operator_requests import build_promotion
from jackdawpost.core.control.operator_requests import build_removal
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import LeaderState
from jackdawpost.core.control.process import LinkState
from jackdawpost.core.control.process import propose
from jackdawpost.core.control.process import refuse
from jackdawpost.core.control.process import WaitingOperator
from jackdawpost.core.control.promotion_choice import missing_databases
from jackdawpost.core.control.state import Applied
from jackdawpost.core.control.state import ChangeAnswer
from jackdawpost.core.control.upstreams import group_facts
from jackdawpost.core.messages.control import NotLeader
from jackdawpost.core.messages.operator import Apply
from jackdawpost.core.messages.operator import Approve
from jackdawpost.core.messages.operator import Drain
from jackdawpost.core.messages.operator import Members
from jackdawpost.core.messages.operator import OperatorAnswer
from jackdawpost.core.messages.operator import PromoteGroup
from jackdawpost.core.messages.operator import Query
from jackdawpost.core.messages.operator import Table
from jackdawpost.core.outbox import send


def receive_from_operator(
    state: ControlState, link: LinkState, message: Any
) -> None:
    """Handle one message of an operator; only the leader answers."""
    stated = getattr(message, 'operator', link.peer)
    if link.peer and stated != link.peer:
        reason = f'request of {stated!r} by operator {link.peer!r}'
        answer = answer_refusal(state.machine, message.id, reason)
        send(state, link.conn, answer)
        refuse(state, link, reason)
        return
    leader = state.leader
    if leader is None or state.draining:
        other = state.consensus.leader
        if other == state.cfg.name:
            other = None
        send(state, link.conn, NotLeader(leader=other))
        return
    if isinstance(message, Apply):
        _take_change(
            state, leader, link, message, build_change(state.machine, message)
        )
    elif isinstance(message, Drain):
        _take_change(
            state, leader, link, message, build_drain(state.machine, message)
        )
    elif isinstance(message, Query):
        _take_query(state, leader, link, message)
    elif isinstance(message, Approve):
        ask_again(state, message.name)
        send(state, link.conn, answer_approve(state.machine, message))
    elif isinstance(message, PromoteGroup):
        _take_promote(state, leader, link, message)
    elif isinstance(message, Members):
        _take_removal(state, link, message)
    else:
        refuse(state, link, f'{message.kind} is no message of an operator')


def _take_change(
    state: ControlState,
    leader: LeaderState,
    link: LinkState,
    message: Apply | Drain,
    built: ApplyChangeSet | OperatorAnswer,
) -> None:
    if isinstance(built, OperatorAnswer):
        send(state, link.conn, built)
        return
    try:
        index = propose(state, '', built)
    except ValueError as exc:
        answer = answer_refusal(state.machine, message.id, str(exc))
        send(state, link.conn, answer)
        return
    if index is None:
        send(state, link.conn, NotLeader(leader=None))
        return
    waiting = WaitingOperator(conn=link.conn, request_id=message.id)
    leader.answers.setdefault(index, []).append(waiting)


def _take_query(
    state: ControlState, leader: LeaderState, link: LinkState, query: Query
) -> None:
    """Answer once leadership is confirmed, so that nothing stale is shown."""
    token = leader.next_query_token
    leader.next_query_token -= 1
    leader.queries[token] = (link.conn, query)
    state.queue.extend(
        consensus.confirm_leadership(state.consensus, state.now_ms, token)
    )


def answer_confirmed_query(
    state: ControlState, leader: LeaderState, token: int
) -> None:
    """Answer the query that a confirmation of leadership was for."""
    found = leader.queries.pop(token, None)
    if found is None:
        return
    conn, query = found
    answer = answer_query(state.machine, query, leader.versions_in_force)
    if query.what == 'status':
        answer.tables.append(_promotion_table(state, leader))
    send(state, conn, answer)


def _promotion_table(state: ControlState, leader: LeaderState) -> Table:
    """Say what each promotion under way waits for."""
    rows: list[list[Any]] = []
    for name in sorted(state.machine.groups):
        facts = group_facts(state, leader, name)
        if facts is None or facts.promotion is None:
            continue
        missing = missing_databases(leader.driver, facts)
        rows.append(
            [
                name,
                facts.promotion.to_term,
                facts.promotion.upstream,
                ', '.join(sorted(facts.lease_holders)),
                ', '.join(missing),
            ]
        )
    return Table(
        name='promotions',
        columns=['group', 'to_term', 'chosen', 'leases', 'not_heard'],
        rows=rows,
    )


def _take_promote(
    state: ControlState,
    leader: LeaderState,
    link: LinkState,
    message: PromoteGroup,
) -> None:
    built = build_promotion(state.machine, message)
    if isinstance(built, OperatorAnswer):
        send(state, link.conn, built)
        return
    group = state.machine.groups[message.group]
    running = group.promotion
    if message.from_term != group.term:
        text = f'{message.group!r} is in term {group.term}'
        send(state, link.conn, answer_refusal(state.machine, message.id, text))
        return
    if running is not None and (running.accept_loss or not built.accept_loss):
        text = f'promotion to term {running.to_term} is under way'
        send(state, link.conn, answer_refusal(state.machine, message.id, text))
        return
    promotion.request_promotion(
        leader.driver, message.group, built.reason, built.accept_loss
    )
    waiting = WaitingOperator(conn=link.conn, request_id=message.id)
    leader.pending_promotions.setdefault(message.group, []).append(waiting)
    leader.dirty_groups.add(message.group)


def _take_removal(
    state: ControlState, link: LinkState, message: Members
) -> None:
    built = build_removal(state.machine, message)
    if isinstance(built, OperatorAnswer):
        send(state, link.conn, built)
        return
    waiting = WaitingOperator(conn=link.conn, request_id=message.id)
    key = (built.name, built.member_id)
    begin_removal(state, key, 'operator', waiting)


def answer_applied(
    state: ControlState,
    leader: LeaderState,
    index: int,
    command: Command,
    applied: Applied,
) -> None:
    """Answer the operators that waited for a log entry."""
    waiting = leader.answers.pop(index, [])
    if command.kind == 'start_promotion':
        waiting += leader.pending_promotions.pop(command.group, [])
    for entry in waiting:
        if isinstance(applied.answer, ChangeAnswer):
            answer = answer_change(
                state.machine, entry.request_id, applied.answer
            )
        else:
            answer = answer_command(
                state.machine, entry.request_id, applied.answer
            )
        send(state, entry.conn, answer)


def release_operators(state: ControlState, leader: LeaderState) -> None:
    """Send waiting operators to the next leader, which knows the outcome."""
    conns = {conn for conn, _ in leader.queries.values()}
    for waiting in (
        *leader.answers.values(),
        *leader.pending_promotions.values(),
    ):
        conns.update(entry.conn for entry in waiting)
    for operators in leader.removing.values():
        conns.update(entry.conn for entry in operators)
    for conn in sorted(conns):
        send(state, conn, NotLeader(leader=None))
