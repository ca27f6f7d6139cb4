"""Links from operators: change sets, queries and other requests."""

from __future__ import annotations

from typing import Any

from jackdawpost.core.consensus import process as consensus
from jackdawpost.core.control import promotion
from jackdawpost.core.control.commands import ApplyChangeSet
from jackdawpost.core.control.commands import Command
from jackdawpost.core.control.config_check import answer_check
from jackdawpost.core.control.members import begin_removal
from jackdawpost.core.control.members import repeat_approval_requests
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
from jackdawpost.core.control.process import refuse
from jackdawpost.core.control.process import submit
from jackdawpost.core.control.process import WaitingOperator
from jackdawpost.core.control.promotion_choice import missing_databases
from jackdawpost.core.control.state import Applied
from jackdawpost.core.control.state import ChangeAnswer
from jackdawpost.core.control.upstreams import group_facts
from jackdawpost.core.messages.control import NotLeader
from jackdawpost.core.messages.operator import Apply
from jackdawpost.core.messages.operator import Approve
from jackdawpost.core.messages.operator import Check
from jackdawpost.core.messages.operator import Drain
from jackdawpost.core.messages.operator import Members
from jackdawpost.core.messages.operator import OperatorAnswer
from jackdawpost.core.messages.operator import PromoteGroup
from jackdawpost.core.messages.operator import Query
from jackdawpost.core.messages.operator import Table
from jackdawpost.core.outbox import send
from jackdawpost.errors import CommandError


def receive_from_operator(
    state: ControlState, link: LinkState, message: Any
) -> None:
    """Handle one message from an operator; only the leader answers."""
    declared = getattr(message, 'operator', link.peer)
    if link.peer and declared != link.peer:
        reason = f'operator {declared!r}: expected {link.peer!r}'
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
        _handle_change(
            state, leader, link, message, build_change(state.machine, message)
        )
    elif isinstance(message, Drain):
        _handle_change(
            state, leader, link, message, build_drain(state.machine, message)
        )
    elif isinstance(message, (Query, Check)):
        _handle_query(state, leader, link, message)
    elif isinstance(message, Approve):
        repeat_approval_requests(state, message.name)
        send(state, link.conn, answer_approve(state.machine, message))
    elif isinstance(message, PromoteGroup):
        _handle_promotion(state, leader, link, message)
    elif isinstance(message, Members):
        _handle_removal(state, link, message)
    else:
        refuse(state, link, f'{message.kind} is not a message of an operator')


def _handle_change(
    state: ControlState,
    leader: LeaderState,
    link: LinkState,
    message: Apply | Drain,
    command_or_answer: ApplyChangeSet | OperatorAnswer,
) -> None:
    if isinstance(command_or_answer, OperatorAnswer):
        send(state, link.conn, command_or_answer)
        return
    try:
        index = submit(state, '', command_or_answer)
    except CommandError as exc:
        answer = answer_refusal(state.machine, message.id, str(exc))
        send(state, link.conn, answer)
        return
    if index is None:
        send(state, link.conn, NotLeader(leader=None))
        return
    waiting = WaitingOperator(conn=link.conn, request_id=message.id)
    leader.pending_operators.setdefault(index, []).append(waiting)


def _handle_query(
    state: ControlState,
    leader: LeaderState,
    link: LinkState,
    query: Query | Check,
) -> None:
    """Defer the answer until leadership is confirmed, to avoid stale reads."""
    token = leader.next_query_token
    leader.next_query_token -= 1
    leader.pending_queries[token] = (link.conn, query)
    state.consensus_effects.extend(
        consensus.confirm_leadership(state.consensus, state.now_ms, token)
    )


def answer_confirmed_query(
    state: ControlState, leader: LeaderState, token: int
) -> None:
    """Answer the query that waited for this leadership confirmation."""
    pending = leader.pending_queries.pop(token, None)
    if pending is None:
        return
    conn, query = pending
    if isinstance(query, Check):
        send(state, conn, answer_check(state.machine, query))
        return
    answer = answer_query(state.machine, query, leader.versions_in_force)
    if query.what == 'status':
        answer.tables.append(_promotion_table(state, leader))
    send(state, conn, answer)


def _promotion_table(state: ControlState, leader: LeaderState) -> Table:
    """Return a table of what each running promotion waits for."""
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


def _handle_promotion(
    state: ControlState,
    leader: LeaderState,
    link: LinkState,
    message: PromoteGroup,
) -> None:
    command = build_promotion(state.machine, message)
    if isinstance(command, OperatorAnswer):
        send(state, link.conn, command)
        return
    group = state.machine.groups[message.group]
    running = group.promotion
    if message.from_term != group.term:
        text = f'from_term of {message.group!r}: expected {group.term}'
        send(state, link.conn, answer_refusal(state.machine, message.id, text))
        return
    if running is not None and (
        running.accept_loss or not command.accept_loss
    ):
        text = f'a promotion to term {running.to_term} is already running'
        send(state, link.conn, answer_refusal(state.machine, message.id, text))
        return
    promotion.request_promotion(
        leader.driver, message.group, command.reason, command.accept_loss
    )
    waiting = WaitingOperator(conn=link.conn, request_id=message.id)
    leader.pending_promotions.setdefault(message.group, []).append(waiting)
    leader.dirty_groups.add(message.group)


def _handle_removal(
    state: ControlState, link: LinkState, message: Members
) -> None:
    command = build_removal(state.machine, message)
    if isinstance(command, OperatorAnswer):
        send(state, link.conn, command)
        return
    waiting = WaitingOperator(conn=link.conn, request_id=message.id)
    key = (command.name, command.member_id)
    begin_removal(state, key, 'operator', waiting)


def answer_waiting_operators(
    state: ControlState,
    leader: LeaderState,
    index: int,
    command: Command,
    applied: Applied,
) -> None:
    """Answer the operators that waited for a log entry to be applied."""
    waiting = leader.pending_operators.pop(index, [])
    if command.kind == 'start_promotion':
        waiting += leader.pending_promotions.pop(command.group, [])
    for operator in waiting:
        if isinstance(applied.answer, ChangeAnswer):
            answer = answer_change(
                state.machine, operator.request_id, applied.answer
            )
        else:
            answer = answer_command(
                state.machine, operator.request_id, applied.answer
            )
        send(state, operator.conn, answer)


def redirect_waiting_operators(
    state: ControlState, leader: LeaderState
) -> None:
    """Notify waiting operators that this process no longer leads.

    They repeat the request at the next leader, which knows the outcome.
    """
    conns = {conn for conn, _ in leader.pending_queries.values()}
    for waiting in (
        *leader.pending_operators.values(),
        *leader.pending_promotions.values(),
    ):
        conns.update(operator.conn for operator in waiting)
    for operators in leader.removing.values():
        conns.update(operator.conn for operator in operators)
    for conn in sorted(conns):
        send(state, conn, NotLeader(leader=None))
