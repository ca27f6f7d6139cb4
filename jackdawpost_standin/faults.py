"""Fault switches of a stand-in database."""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import field
from typing import Literal

ALL_PEERS = '*'


@dataclass(slots=True, kw_only=True)
class FaultState:
    """Faults in force.

    Parameters
    ----------
    isolated : list of str
        Peers whose traffic is dropped in both directions; ``'*'`` for all.
    hold_apply : bool
        Received records are not applied: lag without end.
    slow_ms : float
        Added to the service time of each statement.
    answer_delay_ms : float
        Delay of each frame of statement answers.
    answer_jitter_ms : float
        Further random delay up to this, so that answers leave out of order
        between connections; on one connection they keep their order.
    late_share : float
        Share of answer frames, 0 to 1, that are delayed by `late_ms`.
    late_ms : float
        Delay of a late frame, to be chosen above the statement timeout.
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
    """Replace all switches."""

    id: int
    state: FaultState = field(default_factory=FaultState)
    kind: Literal['set_faults'] = 'set_faults'


@dataclass(slots=True, kw_only=True)
class SilenceConnections:
    """Make the open connections that match silent for good.

    Parameters
    ----------
    peer : str
        Name of the peer; ``'*'`` for all.
    purpose : str
        Purpose of the connections; ``'*'`` for all.
    count : int
        Largest number of connections to silence; 0 for all.
    """

    id: int
    peer: str = ALL_PEERS
    purpose: str = ALL_PEERS
    count: int = 0
    kind: Literal['silence_connections'] = 'silence_connections'


@dataclass(slots=True, kw_only=True)
class WipeDisk:
    """Lose all data; the database returns with a new ``data_id``."""

    id: int
    kind: Literal['wipe_disk'] = 'wipe_disk'


@dataclass(slots=True, kw_only=True)
class FaultsDone:
    """Answer with the switches now in force.

    Parameters
    ----------
    affected : int
        Connections silenced or closed by the request.
    """

    id: int
    state: FaultState
    affected: int = 0
    kind: Literal['faults_done'] = 'faults_done'


class Faults:
    """Answers what the switches mean for traffic and statements.

    Parameters
    ----------
    seed : int
        Seed of the random delays.
    """

    def __init__(self, seed: int = 0) -> None:
        self.state = FaultState()
        self.dropped_frames = 0
        self._rng = random.Random(seed)  # noqa: S311 - not for security

    def blocks(self, peer: str) -> bool:
        """Tell whether all traffic with a peer is dropped."""
        isolated = self.state.isolated
        return bool(isolated) and (peer in isolated or ALL_PEERS in isolated)

    def draw_answer_delay_ms(self) -> float:
        """Return the delay of the next frame of statement answers."""
        state = self.state
        delay_ms = state.answer_delay_ms
        if state.answer_jitter_ms:
            delay_ms += self._rng.uniform(0, state.answer_jitter_ms)
        if state.late_share and self._rng.random() < state.late_share:
            delay_ms += state.late_ms
        return delay_ms
