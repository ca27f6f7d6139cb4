"""Messages between the processes of a consensus group."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Literal


@dataclass(slots=True, kw_only=True)
class PreVote:
    """Ask whether a vote in `term` would be granted; binds nobody.

    Parameters
    ----------
    term : int
        Term that the sender would start.
    last_index, last_term : int
        End of the sender's log.
    node_id : str
        Identity of the sender's data folder.
    admitted : bool
        False while the sender's data folder has no right to vote.
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
        Term of the question.
    node_id : str
        Identity of the answering process's data folder.
    admitted : bool
        False while the answering process has no right to vote.
    knows_asker : bool
        The answering process formed the group with the asker's node id.
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
    """Ask for a vote.

    Parameters
    ----------
    transfer : bool
        The present leader asked for this election.
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
    """Entries that follow `prev_index`; without entries a heartbeat.

    Parameters
    ----------
    commit : int
        Commit index of the leader.
    round : int
        Rising number that the answer repeats.
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
    """Answer to `Append`, sent once what it reports is durable.

    Parameters
    ----------
    ok : bool
        The log agrees with the leader's up to `index`.
    index : int
        If not `ok`, the index after which the leader should try next.
    newcomer_id : str
        Node id of a process whose answers count for no quorum, else empty.
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
        Place of `data` in the snapshot and size of the snapshot, in bytes.
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
        Number of bytes received in order.
    done : bool
        The snapshot is installed and durable.
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
    """Start an election at once; sent by a leader that hands over."""

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
