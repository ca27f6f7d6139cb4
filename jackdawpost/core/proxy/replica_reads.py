"""Dispatch of reads with an accepted age to replicas.

A read that no replica can serve is queued for the primary instead.
"""

from __future__ import annotations

from jackdawpost.core.outbox import count
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.positions import ZERO_POSITION
from jackdawpost.core.proxy.admission import FRESH_READ
from jackdawpost.core.proxy.admission import STALE_READ
from jackdawpost.core.proxy.conns import acquire_conn
from jackdawpost.core.proxy.conns import available_frames
from jackdawpost.core.proxy.conns import is_capacity_requested
from jackdawpost.core.proxy.conns import request_capacity
from jackdawpost.core.proxy.conns import start_frame
from jackdawpost.core.proxy.replica_choice import CHOOSERS
from jackdawpost.core.proxy.replica_choice import split_by_freshness
from jackdawpost.core.proxy.sending import batch_size
from jackdawpost.core.proxy.sending import build_execute
from jackdawpost.core.proxy.sending import refuse_if_too_late
from jackdawpost.core.proxy.state import Group
from jackdawpost.core.proxy.state import ProxyState
from jackdawpost.core.proxy.state import Request
from jackdawpost.core.proxy.state import schedule_dispatch
from jackdawpost.core.proxy.state import Upstream

# Round trip to the replica: a read that is barely fresh enough when it is sent
# would be too old when its answer arrives.
AGE_MARGIN_MS = 20.0
# With fewer waiting reads than replicas, capacity is requested from one
# replica, and from all after this delay: each permit requested in vain costs
# control three messages.
FAN_OUT_DELAY_MS = 10.0


def dispatch_to_replicas(state: ProxyState, group: Group) -> None:
    """Send queued reads with an accepted age, or request capacity."""
    if (
        state.now_ms < group.new_term_grace_until_ms
        and not _has_replica_reports(group)
    ):
        schedule_dispatch(state, group.name, group.new_term_grace_until_ms)
        return
    queue = group.queue
    choose = CHOOSERS[state.cfg.replica_choice]
    while True:
        req = queue.peek(STALE_READ)
        if req is None:
            return
        if refuse_if_too_late(state, group, req):
            continue
        fresh_after = _required_freshness(state, group, req)
        candidates = _candidate_replicas(state, group, req, fresh_after)
        if not candidates:
            queue.remove(req)
            req.priority = FRESH_READ
            queue.push(req)
            count(state, 'reads_without_replica')
            continue
        free = [up for up in candidates if available_frames(state, up)]
        if not free:
            _request_replica_capacity(state, group, candidates, req)
            return
        group.round_robin_count += 1
        chosen = choose(free, state.rng, group.round_robin_count)
        _send_to_replica(state, group, chosen, free, fresh_after)


def _request_replica_capacity(
    state: ProxyState, group: Group, candidates: list[Upstream], first: Request
) -> None:
    """Request capacity from one replica first, and soon from all.

    With at least as many waiting reads as replicas, it is requested from all
    at once.
    """
    waiting = group.queue.count(STALE_READ)
    fan_out_ms = first.arrived_ms + FAN_OUT_DELAY_MS
    if waiting < len(candidates) and state.now_ms < fan_out_ms:
        schedule_dispatch(state, group.name, fan_out_ms)
        requested = [
            up for up in candidates if is_capacity_requested(state, up)
        ]
        if not requested:
            group.round_robin_count += 1
            choose = CHOOSERS[state.cfg.replica_choice]
            requested = [
                choose(candidates, state.rng, group.round_robin_count)
            ]
        candidates = requested
    share = -(-waiting // len(candidates))
    for up in candidates:
        request_capacity(state, up, share)


def _has_replica_reports(group: Group) -> bool:
    """Return whether a sample and a replica of the current term are known."""
    term = group.view.term
    return len(group.freshness) > 0 and any(
        up.term == term and up.name != group.view.primary
        for up in group.upstreams
    )


def _send_to_replica(
    state: ProxyState,
    group: Group,
    up: Upstream,
    free: list[Upstream],
    fresh_after: LogPosition | None,
) -> None:
    queue = group.queue
    waiting = queue.count(STALE_READ)
    size = 1
    if waiting > 1:
        frames = sum(available_frames(state, other) for other in free)
        size = batch_size(waiting, frames)
    conn = acquire_conn(state, up)
    if conn is None:
        raise RuntimeError(
            f'no connection or permit for {up.name!r} in spite of free '
            'capacity'
        )
    batch: list[Request] = []
    messages = []
    while len(batch) < size:
        req = queue.peek(STALE_READ)
        if req is None:
            break
        if batch:
            fresh_after = _required_freshness(state, group, req)
            if up not in _candidate_replicas(state, group, req, fresh_after):
                break
        queue.pop(STALE_READ, state.now_ms)
        batch.append(req)
        messages.append(build_execute(state, group, req, False, fresh_after))
    timeout_ms = max(message.timeout_ms for message in messages)
    start_frame(state, conn, batch, messages, timeout_ms)


def _required_freshness(
    state: ProxyState, group: Group, req: Request
) -> LogPosition | None:
    max_age_ms = req.max_age_ms or 0
    margin_ms = min(AGE_MARGIN_MS, max_age_ms / 4)
    return group.freshness.required_position(
        max_age_ms - margin_ms, state.now_ms
    )


def _candidate_replicas(
    state: ProxyState,
    group: Group,
    req: Request,
    fresh_after: LogPosition | None,
) -> list[Upstream]:
    if fresh_after is None:
        return []
    primary = group.view.primary
    replicas = [
        up
        for up in group.upstreams
        if up.name != primary
        and (
            req.excluded_upstreams is None
            or up.name not in req.excluded_upstreams
        )
    ]
    max_lag_ms = _max_recoverable_lag_ms(state, group, req, fresh_after)
    ready, catching_up = split_by_freshness(
        replicas, group.view.term, req.after, fresh_after, max_lag_ms
    )
    return ready or catching_up


def _max_recoverable_lag_ms(
    state: ProxyState, group: Group, req: Request, fresh_after: LogPosition
) -> float:
    """Return the highest lag that a replica can make up in its wait time."""
    wait_ms = group.view.replica_wait_ms
    if not wait_ms:
        return -1.0
    needed = max(req.after or ZERO_POSITION, fresh_after)
    reached_ms = group.freshness.reached_ms(needed)
    since_ms = 0.0 if reached_ms is None else state.now_ms - reached_ms
    return min((req.max_age_ms or 0) - AGE_MARGIN_MS, since_ms + wait_ms)
