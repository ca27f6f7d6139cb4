"""Fault injection: messages of ``/v1/faults`` and their effects."""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import field
from typing import Literal

ALL_PEERS = '*'


@dataclass(slots=True, kw_only=True)
class FaultState:
    """Faults that are currently injected.

    Parameters
    ----------
    isolated : list of str
        Peers whose frames are dropped in both directions; ``'*'`` for all.
    hold_apply : bool
        Whether to stop applying received records; the lag then grows without
        limit.
    slow_ms : float
        Time added to the service time of each statement.
    answer_delay_ms : float
        Delay of each frame of statement answers.
    answer_jitter_ms : float
        Upper bound of an additional random delay. It reorders answers of
        different connections; answers of one connection stay in order.
    late_share : float
        Share of answer frames, 0 to 1, that are delayed by `late_ms`.
    late_ms : float
        Additional delay of a late frame; a useful value exceeds the
        statement timeout.
    """

    isolated: list[str] = field(default_factory=list)
    hold_apply: bool = False
    slow_ms: float = 0.0
    answer_delay_ms: float = 0.0
    answer_jitter_ms: float = 0.0
    late_share: float = 0.0
    late_ms: float = 0.0


@dataclass(slots=True, kw_only=True)
class SetFaults:
    """Request to replace all injected faults by `state`."""

    id: int
    state: FaultState = field(default_factory=FaultState)
    kind: Literal['set_faults'] = 'set_faults'


@dataclass(slots=True, kw_only=True)
class SilenceConnections:
    """Request to drop all further frames of matching open connections.

    The connections stay open and silent until they are closed.

    Parameters
    ----------
    peer : str
        Name of the peer; ``'*'`` matches all.
    purpose : str
        Purpose of the connections; ``'*'`` matches all.
    count : int
        Maximum number of connections to silence; 0 for no limit.
    """

    id: int
    peer: str = ALL_PEERS
    purpose: str = ALL_PEERS
    count: int = 0
    kind: Literal['silence_connections'] = 'silence_connections'


@dataclass(slots=True, kw_only=True)
class WipeDisk:
    """Request to erase all data; the database gets a new ``data_id``."""

    id: int
    kind: Literal['wipe_disk'] = 'wipe_disk'


@dataclass(slots=True, kw_only=True)
class FaultsDone:
    """Answer to a fault request.

    Parameters
    ----------
    state : FaultState
        Faults injected after the request.
    affected : int
        Number of connections silenced or closed by the request.
    """

    id: int
    state: FaultState
    affected: int = 0
    kind: Literal['faults_done'] = 'faults_done'


class FaultInjector:
    """Decides which frames are dropped and how long answers are delayed.

    Parameters
    ----------
    seed : int
        Seed of the random delays.
    """

    def __init__(self, seed: int = 0) -> None:
        self.state = FaultState()
        self.dropped_frames = 0
        self._rng = random.Random(seed)  # noqa: S311 - not for security

    def is_isolated_from(self, peer: str) -> bool:
        """Return whether all frames from and to a peer are dropped."""
        isolated = self.state.isolated
        return bool(isolated) and (peer in isolated or ALL_PEERS in isolated)

    def next_answer_delay_ms(self) -> float:
        """Return the delay for the next frame of statement answers."""
        state = self.state
        delay_ms = state.answer_delay_ms
        if state.answer_jitter_ms:
            delay_ms += self._rng.uniform(0, state.answer_jitter_ms)
        if state.late_share and self._rng.random() < state.late_share:
            delay_ms += state.late_ms
        return delay_ms
