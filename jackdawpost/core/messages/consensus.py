"""Messages between the members of a consensus group.

The protocol is Raft with pre-vote, leadership transfer and snapshots sent in
chunks.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Literal


@dataclass(slots=True, kw_only=True)
class PreVote:
    """Ask if a vote in `term` would be granted; no vote is cast.

    Parameters
    ----------
    term : int
        Term in which the sender would start an election.
    last_index, last_term : int
        Index and term of the last entry in the sender's log.
    node_id : str
        Identity of the sender's data folder.
    admitted : bool
        The sender's data folder has the right to vote.
    """

    term: int
    last_index: int
    last_term: int
    node_id: str = ''
    admitted: bool = False
    kind: Literal['pre_vote'] = 'pre_vote'


@dataclass(slots=True, kw_only=True)
class PreVoteAnswer:
    """Answer to `PreVote`.

    Parameters
    ----------
    term : int
        Current term of the answering process.
    asked_term : int
        Term of the `PreVote` that is answered.
    node_id : str
        Identity of the answering process's data folder.
    admitted : bool
        The answering process's data folder has the right to vote.
    knows_asker : bool
        The answering process formed the group with the node id of the
        `PreVote`.
    """

    term: int
    asked_term: int
    granted: bool = False
    node_id: str = ''
    admitted: bool = False
    knows_asker: bool = False
    kind: Literal['pre_vote_answer'] = 'pre_vote_answer'


@dataclass(slots=True, kw_only=True)
class Vote:
    """Request a vote in an election.

    Parameters
    ----------
    transfer : bool
        The current leader requested this election to transfer leadership.
    """

    term: int
    last_index: int
    last_term: int
    transfer: bool = False
    kind: Literal['vote'] = 'vote'


@dataclass(slots=True, kw_only=True)
class VoteAnswer:
    """Answer to `Vote`, sent once the vote is durable."""

    term: int
    granted: bool = False
    kind: Literal['vote_answer'] = 'vote_answer'


@dataclass(slots=True, kw_only=True)
class Append:
    """Append entries after `prev_index`; a heartbeat if there are none.

    Parameters
    ----------
    commit : int
        Commit index of the leader.
    round : int
        Increasing number that the answer repeats.
    entries : list of bytes
        Encoded log entries.
    """

    term: int
    prev_index: int
    prev_term: int
    commit: int
    round: int
    entries: list[bytes] = field(default_factory=list)
    kind: Literal['append'] = 'append'


@dataclass(slots=True, kw_only=True)
class AppendAnswer:
    """Answer to `Append`, sent once the reported entries are durable.

    Parameters
    ----------
    ok : bool
        The log matches the leader's up to `index`.
    index : int
        Last matching index. If not `ok`, the index after which the leader
        should try next.
    newcomer_id : str
        Node id of a process that has no right to vote and whose answers count
        towards no quorum; empty for a voter.
    """

    term: int
    index: int
    round: int
    ok: bool = False
    newcomer_id: str = ''
    kind: Literal['append_answer'] = 'append_answer'


@dataclass(slots=True, kw_only=True)
class SnapshotChunk:
    """Part of an encoded snapshot.

    Parameters
    ----------
    index : int
        Last log index that the snapshot covers.
    offset, total : int
        Offset of `data` in the snapshot and size of the snapshot, in bytes.
    """

    term: int
    index: int
    offset: int
    total: int
    round: int
    data: bytes
    kind: Literal['install_snapshot'] = 'install_snapshot'


@dataclass(slots=True, kw_only=True)
class SnapshotChunkAnswer:
    """Answer to `SnapshotChunk`.

    Parameters
    ----------
    offset : int
        Number of consecutive bytes received from the start.
    done : bool
        The snapshot is installed and durable.
    newcomer_id : str
        As in `AppendAnswer`.
    """

    term: int
    index: int
    offset: int
    round: int
    done: bool = False
    newcomer_id: str = ''
    kind: Literal['install_snapshot_answer'] = 'install_snapshot_answer'


@dataclass(slots=True, kw_only=True)
class TimeoutNow:
    """Start an election at once; sent by a leader to transfer leadership."""

    term: int
    kind: Literal['timeout_now'] = 'timeout_now'


ConsensusMessage = (
    PreVote
    | PreVoteAnswer
    | Vote
    | VoteAnswer
    | Append
    | AppendAnswer
    | SnapshotChunk
    | SnapshotChunkAnswer
    | TimeoutNow
)
