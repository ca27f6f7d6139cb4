"""Reducer of a control process: takes events and returns effects.

Each event is handled in a fixed order: the state changes, then the consensus
effects that follow are carried out, then the services of the leader run, and
last the timer is set.
"""

from __future__ import annotations

import dataclasses
import random
from typing import Any

from jackdawpost.core.consensus import process as consensus
from jackdawpost.core.control.commands import decode_command
from jackdawpost.core.control.delegation import on_promotion_ended
from jackdawpost.core.control.dump import dump_control
from jackdawpost.core.control.dump import is_healthy
from jackdawpost.core.control.leadership import after_apply
from jackdawpost.core.control.leadership import begin_leadership
from jackdawpost.core.control.leadership import end_leadership
from jackdawpost.core.control.leadership import next_service_due_ms
from jackdawpost.core.control.leadership import run_services
from jackdawpost.core.control.leases import grant_leases
from jackdawpost.core.control.machine import apply_command
from jackdawpost.core.control.machine import decode_snapshot
from jackdawpost.core.control.machine import encode_snapshot
from jackdawpost.core.control.machine import new_machine
from jackdawpost.core.control.operator_requests import answer_refusal
from jackdawpost.core.control.operators import answer_confirmed_query
from jackdawpost.core.control.operators import receive_from_operator
from jackdawpost.core.control.process import config_from_settings
from jackdawpost.core.control.process import ControlConfig
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import LinkState
from jackdawpost.core.control.process import member_state
from jackdawpost.core.control.process import refuse
from jackdawpost.core.control.proxies import on_proxy_closed
from jackdawpost.core.control.proxies import receive_from_proxy
from jackdawpost.core.control.rates import note_removed_proxy
from jackdawpost.core.control.rates import on_rates_confirmed
from jackdawpost.core.control.registry import answer_confirmed_read
from jackdawpost.core.control.registry import receive_request
from jackdawpost.core.control.upstreams import mark_silent_upstreams
from jackdawpost.core.control.upstreams import on_admin_closed
from jackdawpost.core.control.upstreams import on_admin_opened
from jackdawpost.core.control.upstreams import on_upstream_closed
from jackdawpost.core.control.upstreams import receive_admin
from jackdawpost.core.control.upstreams import receive_from_upstream
from jackdawpost.core.control.voters import handle_control_group
from jackdawpost.core.control.voters import send_control_group
from jackdawpost.core.control.voters import update_peer_links
from jackdawpost.core.effects import CancelTimer
from jackdawpost.core.effects import Close
from jackdawpost.core.effects import Effect
from jackdawpost.core.effects import Persist
from jackdawpost.core.effects import SetTimer
from jackdawpost.core.effects import Stop
from jackdawpost.core.events import ConnClosed
from jackdawpost.core.events import ConnOpened
from jackdawpost.core.events import DrainRequested
from jackdawpost.core.events import Event
from jackdawpost.core.events import FrameRejected
from jackdawpost.core.events import Persisted
from jackdawpost.core.events import PersistFailed
from jackdawpost.core.events import PromotionEnded
from jackdawpost.core.events import Received
from jackdawpost.core.events import RequestReceived
from jackdawpost.core.events import SeedsChanged
from jackdawpost.core.events import TimerFired
from jackdawpost.core.messages.consensus import ConsensusMessage
from jackdawpost.core.messages.control import AnnounceAck
from jackdawpost.core.messages.control import NotLeader
from jackdawpost.core.messages.peer import ControlGroup
from jackdawpost.core.messages.peer import Hello
from jackdawpost.core.outbox import log
from jackdawpost.core.outbox import pop_effects
from jackdawpost.core.outbox import send

__all__ = [
    'config_from_settings',
    'ControlConfig',
    'ControlState',
    'dump_control',
    'is_healthy',
    'new_control',
    'reduce_control',
]

TICK_KEY = 'control'
# Time that a draining leader waits for the transfer of its leadership.
TRANSFER_TIMEOUT_MS = 1_500.0
# Time that a draining process waits for the leader to replace it as a voter.
REPLACEMENT_GRACE_MS = 1_000.0


def new_control(
    cfg: ControlConfig,
    rng: random.Random,
    restored: consensus.RestoredState,
    now_ms: float,
) -> tuple[ControlState, list[Effect]]:
    """Return the initial state of a process and its first effects.

    Parameters
    ----------
    cfg : ControlConfig
        Settings.
    rng : random.Random
        Random generator for election timeouts.
    restored : RestoredState
        Hard state, snapshot and log as read from storage.
    now_ms : float
        Current time in milliseconds.
    """
    core = consensus.new_consensus(
        consensus.ConsensusConfig(
            name=cfg.name,
            voters=list(cfg.peers),
            heartbeat_ms=cfg.heartbeat_ms,
            election_min_ms=cfg.election_min_ms,
            election_max_ms=cfg.election_max_ms,
            first_election_min_ms=cfg.first_election_min_ms,
            first_election_max_ms=cfg.first_election_max_ms,
        ),
        rng,
        restored,
        now_ms,
    )
    state = ControlState(
        cfg=cfg, consensus=core, machine=new_machine(), now_ms=now_ms
    )
    state.consensus_effects.extend(consensus.tick(core, now_ms))
    return state, _complete_event(state, is_tick=True)


def reduce_control(state: ControlState, event: Event) -> list[Effect]:
    """Handle one event: update the state in place and return the effects."""
    state.now_ms = max(state.now_ms, event.now_ms)
    if state.stopped:
        return []
    is_tick = isinstance(event, TimerFired)
    if is_tick:
        state.timer_ms = None
        mark_silent_upstreams(state)
        state.consensus_effects.extend(
            consensus.tick(state.consensus, state.now_ms)
        )
    elif isinstance(event, ConnOpened):
        _on_conn_opened(state, event)
    elif isinstance(event, ConnClosed):
        _on_conn_closed(state, event)
    elif isinstance(event, Received):
        _on_received(state, event)
    elif isinstance(event, FrameRejected):
        _on_frame_rejected(state, event)
    elif isinstance(event, DrainRequested):
        _on_drain_requested(state)
    elif isinstance(event, RequestReceived):
        receive_request(state, event)
    elif isinstance(event, SeedsChanged):
        state.cfg = dataclasses.replace(state.cfg, seeds=event.seeds)
    elif isinstance(event, PromotionEnded):
        if state.leader is not None:
            on_promotion_ended(state, state.leader, event)
    else:
        _on_storage(state, event)
    return _complete_event(state, is_tick)


def _on_conn_opened(state: ControlState, event: ConnOpened) -> None:
    leader = state.leader
    if event.link == 'upstream':
        if leader is None or not on_admin_opened(state, leader, event.conn):
            state.outbox.append(
                Close(conn=event.conn, reason='connection no longer needed')
            )
        return
    link = LinkState(
        conn=event.conn,
        link=event.link,
        peer=event.peer,
        last_contact_ms=state.now_ms,
    )
    state.links[event.conn] = link
    if event.link != 'peer':
        return
    group = {*state.cfg.peers, *state.consensus.voters}
    accepts_new_peers = state.cfg.voter_target > 0
    if not accepts_new_peers and event.peer not in group - {state.cfg.name}:
        refuse(state, link, f'peer {event.peer!r} is not in the control group')
        del state.links[event.conn]
        return
    state.peers[event.peer] = event.conn
    state.leaving_peers.discard(event.peer)
    state.notified_group = None


def _on_conn_closed(state: ControlState, event: ConnClosed) -> None:
    leader = state.leader
    if leader is not None and event.conn in leader.admin.conns:
        on_admin_closed(state, leader, event.conn, event.reason)
        return
    link = state.links.get(event.conn)
    if link is None:
        return
    if link.link == 'proxy':
        on_proxy_closed(state, link)
    elif link.link == 'announce':
        on_upstream_closed(state, link)
    del state.links[event.conn]
    if state.peers.get(link.peer) == event.conn:
        del state.peers[link.peer]
        for other in state.links.values():
            if other.link == 'peer' and other.peer == link.peer:
                state.peers[link.peer] = other.conn


def _on_received(state: ControlState, event: Received) -> None:
    for message in event.messages:
        leader = state.leader
        if leader is not None and event.conn in leader.admin.conns:
            receive_admin(state, leader, event.conn, message)
            continue
        link = state.links.get(event.conn)
        if link is None or link.is_refused:
            return
        link.last_contact_ms = state.now_ms
        _handle_message(state, link, message)
        _run_consensus_effects(state)


def _handle_message(
    state: ControlState, link: LinkState, message: Any
) -> None:
    if link.link == 'peer':
        if isinstance(message, ControlGroup):
            handle_control_group(state, message)
            return
        if isinstance(message, Hello):
            state.leaving_peers.add(link.peer)
            return
        if not isinstance(message, ConsensusMessage):
            refuse(state, link, f'{message.kind} is not a message of a peer')
            return
        effects = consensus.receive(
            state.consensus, state.now_ms, link.peer, message
        )
        state.consensus_effects.extend(effects)
    elif link.link == 'proxy':
        receive_from_proxy(state, link, message)
    elif link.link == 'announce':
        receive_from_upstream(state, link, message)
    elif link.link == 'operator':
        receive_from_operator(state, link, message)
    else:
        refuse(state, link, f'no message is accepted on a {link.link} link')


def _on_frame_rejected(state: ControlState, event: FrameRejected) -> None:
    link = state.links.get(event.conn)
    if link is None:
        log(state, 'warning', 'frame_rejected', detail=event.detail)
        return
    if link.link == 'operator':
        answer = answer_refusal(state.machine, event.request_id, event.detail)
        send(state, event.conn, answer)
    refuse(state, link, event.detail)


def _on_drain_requested(state: ControlState) -> None:
    if state.draining:
        return
    state.draining = True
    state.transfer_deadline_ms = state.now_ms + TRANSFER_TIMEOUT_MS
    state.replacement_deadline_ms = state.now_ms + REPLACEMENT_GRACE_MS
    log(state, 'info', 'draining', leads=state.leader is not None)
    if state.cfg.voter_target:
        for conn in state.peers.values():
            send(state, conn, Hello(name=state.cfg.name, leaving=True))
    effects = consensus.transfer_leadership(
        state.consensus, state.now_ms, None
    )
    state.consensus_effects.extend(effects)


def _on_storage(state: ControlState, event: Event) -> None:
    if isinstance(event, Persisted):
        state.storage_failed = False
        effects = consensus.persisted(
            state.consensus, state.now_ms, event.token
        )
        state.consensus_effects.extend(effects)
    elif isinstance(event, PersistFailed):
        state.storage_failed = True
        log(state, 'error', 'persist_failed', detail=event.detail)
        effects = consensus.persist_failed(
            state.consensus, state.now_ms, event.token
        )
        state.consensus_effects.extend(effects)


def _complete_event(state: ControlState, is_tick: bool) -> list[Effect]:
    """Carry out the consequences of an event and return its effects."""
    _run_consensus_effects(state)
    if state.leader is not None:
        run_services(state, state.leader, is_tick)
        _run_consensus_effects(state)
    _notify_leader_change(state)
    send_control_group(state)
    update_peer_links(state)
    _stop_when_drained(state)
    _set_timer(state)
    return pop_effects(state)


def _run_consensus_effects(state: ControlState) -> None:
    while state.consensus_effects:
        _run_consensus_effect(state, state.consensus_effects.popleft())


def _run_consensus_effect(state: ControlState, effect: Any) -> None:
    if isinstance(effect, consensus.SendToPeer):
        conn = state.peers.get(effect.peer)
        if conn is not None:
            send(state, conn, effect.message)
    elif isinstance(effect, consensus.WriteDurably):
        state.outbox.append(
            Persist(
                token=effect.token,
                hard_state=effect.hard_state,
                truncate_from=effect.truncate_from,
                entries=effect.entries,
                snapshot=effect.snapshot,
            )
        )
    elif isinstance(effect, consensus.ApplyEntry):
        _apply_entry(state, effect)
    elif isinstance(effect, consensus.InstallSnapshot):
        state.machine = decode_snapshot(effect.snapshot)
        state.applied_since_snapshot = 0
    elif isinstance(effect, consensus.LeadershipWon):
        begin_leadership(state, effect.term)
    elif isinstance(effect, consensus.LeadershipLost):
        end_leadership(state, effect.term)
    elif isinstance(effect, consensus.LeadershipConfirmed):
        _on_leadership_confirmed(state, effect.token)


def _on_leadership_confirmed(state: ControlState, token: int) -> None:
    if state.leader is None:
        return
    if on_rates_confirmed(state, state.leader, token):
        return
    if token < 0 and answer_confirmed_read(state, state.leader, token):
        return
    if token < 0:
        answer_confirmed_query(state, state.leader, token)
    else:
        grant_leases(state, state.leader, token)


def _apply_entry(state: ControlState, entry: consensus.ApplyEntry) -> None:
    if entry.command is not None:
        command = decode_command(entry.command)
        applied = apply_command(state.machine, entry.index, command)
        note_removed_proxy(state, command)
        if state.leader is not None:
            after_apply(state, state.leader, entry.index, command, applied)
    state.applied_since_snapshot += 1
    if state.applied_since_snapshot >= state.cfg.snapshot_entries:
        state.applied_since_snapshot = 0
        effects = consensus.compact(
            state.consensus,
            state.now_ms,
            entry.index,
            encode_snapshot(state.machine),
        )
        state.consensus_effects.extend(effects)


def _notify_leader_change(state: ControlState) -> None:
    """Notify connected proxies and upstreams of a change of leader."""
    current = state.consensus.leader
    if current == state.notified_leader:
        return
    state.notified_leader = current
    for link in state.links.values():
        if link.link == 'proxy' and current != state.cfg.name:
            send(state, link.conn, NotLeader(leader=current))
        elif link.link == 'announce' and link.name:
            membership = member_state(state, link.name, link.member_id)
            send(
                state, link.conn, AnnounceAck(state=membership, leader=current)
            )


def _stop_when_drained(state: ControlState) -> None:
    if not state.draining or state.stopped:
        return
    is_sole_voter = state.consensus.voters == [state.cfg.name]
    can_transfer = state.consensus.role == 'leader' and not is_sole_voter
    if can_transfer and state.now_ms < state.transfer_deadline_ms:
        return
    if state.cfg.voter_target and state.now_ms < state.replacement_deadline_ms:
        # The leader may replace this process as a voter meanwhile.
        return
    if state.leader is not None:
        end_leadership(state, state.leader.term)
    state.stopped = True
    log(state, 'info', 'stopping', voters=list(state.consensus.voters))
    state.outbox.append(Stop())


def _set_timer(state: ControlState) -> None:
    if state.stopped:
        state.outbox.append(CancelTimer(key=TICK_KEY))
        return
    due_times_ms = [consensus.next_due_ms(state.consensus)]
    if state.leader is not None:
        due_ms = next_service_due_ms(state, state.leader)
        due_times_ms += [due_ms] if due_ms is not None else []
    if state.cfg.voter_target and state.leader is not None:
        due_times_ms.append(max(state.voters_due_ms, state.now_ms + 1))
    if state.draining:
        due_times_ms += [
            state.transfer_deadline_ms,
            state.replacement_deadline_ms,
        ]
    next_ms = max(min(due_times_ms), state.now_ms)
    if next_ms != state.timer_ms:
        state.timer_ms = next_ms
        state.outbox.append(SetTimer(key=TICK_KEY, due_ms=next_ms))
