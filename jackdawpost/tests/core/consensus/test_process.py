"""Elections, replication, durability and membership of the consensus core.

Tests call a single core with `_core`, or simulate a whole `Group`.
"""

from __future__ import annotations

import json
import random
import time

import pytest

from jackdawpost.core.consensus.process import change_voters
from jackdawpost.core.consensus.process import confirm_leadership
from jackdawpost.core.consensus.process import ConsensusConfig
from jackdawpost.core.consensus.process import describe
from jackdawpost.core.consensus.process import LeadershipConfirmed
from jackdawpost.core.consensus.process import LeadershipWon
from jackdawpost.core.consensus.process import MAX_COMMAND_BYTES
from jackdawpost.core.consensus.process import new_consensus
from jackdawpost.core.consensus.process import persist_failed
from jackdawpost.core.consensus.process import persisted
from jackdawpost.core.consensus.process import propose
from jackdawpost.core.consensus.process import receive
from jackdawpost.core.consensus.process import RestoredState
from jackdawpost.core.consensus.process import SendToPeer
from jackdawpost.core.consensus.process import tick
from jackdawpost.core.consensus.process import transfer_leadership
from jackdawpost.core.consensus.process import WriteDurably
from jackdawpost.core.consensus.records import COMMAND_ENTRY
from jackdawpost.core.consensus.records import encode_hard_state
from jackdawpost.core.consensus.records import HardState
from jackdawpost.core.consensus.records import make_entry
from jackdawpost.core.messages.consensus import Append
from jackdawpost.core.messages.consensus import AppendAnswer
from jackdawpost.core.messages.consensus import ConsensusMessage
from jackdawpost.core.messages.consensus import PreVote
from jackdawpost.core.messages.consensus import PreVoteAnswer
from jackdawpost.core.messages.consensus import Vote
from jackdawpost.core.messages.consensus import VoteAnswer
from jackdawpost.testing.consensus_group import Group
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import FrameCodec

ABC = ['a', 'b', 'c']


def _core(name='a', voters=('a', 'b', 'c'), **restored):
    cfg = ConsensusConfig(name=name, voters=list(voters))
    rng = random.Random(1)
    return new_consensus(cfg, rng, RestoredState(**restored), 0.0)


def _sent(effects):
    return [item.message for item in effects if isinstance(item, SendToPeer)]


def _write(effects):
    (write,) = [item for item in effects if isinstance(item, WriteDurably)]
    return write


def _entry(index, term, payload=b'x'):
    return make_entry(index, term, COMMAND_ENTRY, payload).raw


def _append(term, prev=(0, 0), entries=(), commit=0):
    return Append(
        term=term,
        prev_index=prev[1],
        prev_term=prev[0],
        commit=commit,
        round=1,
        entries=list(entries),
    )


def test_single_voter_commits_alone():
    """Guards against a stall in a deployment of one control process."""
    group = Group(['a'])
    leader = group.wait_for_leader(limit_ms=100)
    index = group.propose(leader, b'x')
    token = group.confirm(leader)
    group.run(20)
    assert group.applied('a') == [b'x']
    assert group.members['a'].applied_index == index
    assert group.members['a'].confirmed == [token]


def test_group_replicates_and_confirms():
    """Guards against entries missing on some of the processes."""
    group = Group(ABC)
    leader = group.wait_for_leader()
    commands = [b'%d' % number for number in range(200)]
    for command in commands:
        group.propose(leader, command)
    token = group.confirm(leader)
    group.run(300)
    for name in ABC:
        assert group.applied(name) == commands
    assert group.members[leader].confirmed == [token]


def test_group_survives_the_loss_of_its_leader():
    """Guards against an election that takes 1 s or more."""
    group = Group(ABC)
    first = group.wait_for_leader()
    group.propose(first, b'x')
    group.run(100)
    crashed_ms = group.now_ms
    group.crash(first)
    second = group.wait_for_leader()
    assert group.now_ms - crashed_ms < 1_000
    group.propose(second, b'y')
    group.run(50)
    group.start(first)
    group.run(1_000)
    for name in ABC:
        assert group.applied(name) == [b'x', b'y']


@pytest.mark.parametrize('seed', range(5))
def test_rejoining_process_does_not_disrupt_the_leader(seed):
    """Guards against an election when an isolated process reconnects.

    Without pre-votes it would return with a higher term.
    """
    group = Group(ABC, seed)
    leader = group.wait_for_leader()
    follower = next(name for name in ABC if name != leader)
    term = group.state(leader).term
    group.isolate(follower)
    group.run(60_000)
    group.propose(leader, b'x')
    group.heal()
    group.run(3_000)
    assert len(group.elections) == 1
    assert group.state(leader).term == term
    assert group.applied(follower) == [b'x']


def test_voter_in_contact_with_a_leader_denies_pre_votes():
    """Guards against an election when a link fails in one direction.

    A process that receives no heartbeats can still send requests.
    """
    state = _core('b')
    write = _write(receive(state, 0.0, 'a', _append(1)))
    persisted(state, 1.0, write.token)
    request = PreVote(term=2, last_index=9, last_term=1, admitted=True)
    (refusal,) = _sent(receive(state, 299.0, 'c', request))
    (grant,) = _sent(receive(state, 301.0, 'c', request))
    assert (refusal.granted, grant.granted) == (False, True)
    ignored = receive(
        state, 200.0, 'c', Vote(term=2, last_index=9, last_term=1)
    )
    assert ignored == []
    assert state.term == 1


def test_isolated_leader_steps_down_and_confirms_nothing():
    """Guards against leases granted by a deposed leader."""
    group = Group(ABC)
    old = group.wait_for_leader()
    group.isolate(old)
    tokens = [group.confirm(old)]
    group.run(2_000)
    tokens.append(group.confirm(old))
    assert group.state(old).role == 'follower'
    assert group.members[old].leadership_events[-1].term == 1
    assert group.leader() != old
    group.heal()
    group.run(2_000)
    assert not set(tokens) & set(group.members[old].confirmed)


def test_frozen_leader_confirms_nothing_after_its_successor_won():
    """Guards against confirmations by a leader that was suspended.

    It resumes after another process has been elected.
    """
    group = Group(ABC)
    old = group.wait_for_leader()
    group.confirm(old)
    group.freeze(old)
    group.run(2_000, lambda: len(group.elections) > 1)
    late = group.confirm(old)
    group.thaw(old)
    group.run(1_000)
    assert late not in group.members[old].confirmed
    assert group.state(old).role == 'follower'
    assert len(group.elections) == 2


def test_confirmation_needs_a_heartbeat_sent_after_the_call():
    """Guards against a confirmation by answers to earlier heartbeats."""
    group = Group(ABC)
    leader = group.wait_for_leader()
    group.run(100)
    group.confirm(leader)
    # The answers to the first round are in flight when the second
    # confirmation is requested.
    group.run(2)
    sent = []
    group._send = lambda name, effect: sent.append(effect)
    token = group.confirm(leader)
    group.run(20)
    assert token not in group.members[leader].confirmed


def test_answers_wait_for_durability():
    """Guards against votes and entries lost in a crash after the answer."""
    state = _core('b')
    vote = Vote(term=1, last_index=0, last_term=0)
    effects = receive(state, 0.0, 'a', vote)
    assert _sent(effects) == []
    token = _write(effects).token
    assert [item.granted for item in _sent(persisted(state, 1.0, token))]
    append = _append(1, entries=[_entry(1, 1)])
    effects = receive(state, 2.0, 'a', append)
    assert _sent(effects) == []
    (answer,) = _sent(persisted(state, 3.0, _write(effects).token))
    assert (answer.ok, answer.index) == (True, 1)


def test_vote_in_a_known_term_survives_a_restart():
    """Guards against a second vote if only the vote changed, not the term."""
    state = _core('b')
    write = _write(receive(state, 0.0, 'a', _append(5)))
    persisted(state, 1.0, write.token)
    vote = Vote(term=5, last_index=0, last_term=0)
    write = _write(receive(state, 900.0, 'a', vote))
    restarted = _core('b', hard_state=write.hard_state)
    (answer,) = _sent(receive(restarted, 0.0, 'c', vote))
    assert not answer.granted


def _elected_leader(**restored):
    """Return core a, elected by b, and the token of its first write."""
    state = _core('a', **restored)
    effects = tick(state, 700.0)
    request = _sent(effects)[0]
    term = request.term
    grant = PreVoteAnswer(term=term - 1, asked_term=term, granted=True)
    token = _write(receive(state, 701.0, 'b', grant)).token
    persisted(state, 702.0, token)
    grant = VoteAnswer(term=term, granted=True)
    effects = receive(state, 703.0, 'b', grant)
    assert state.role == 'leader'
    return state, _write(effects).token


def _ack(state, index, **fields):
    answer = AppendAnswer(
        term=state.term,
        ok=True,
        index=index,
        round=state.heartbeat_round,
        **fields,
    )
    return receive(state, 704.0, 'b', answer)


def test_leader_counts_its_own_log_only_once_durable():
    """Guards against an entry committed while on only one disk of three."""
    state, token = _elected_leader()
    _ack(state, 1)
    assert state.commit_index == 0
    effects = persisted(state, 705.0, token)
    assert state.commit_index == 1
    assert LeadershipWon(term=1) in effects


def test_entry_of_an_earlier_term_is_not_committed_by_replica_count():
    """Guards against a committed entry that a later leader overwrites."""
    hard = HardState(2, None, 'a')
    entries = [_entry(1, 1), _entry(2, 2)]
    state, token = _elected_leader(
        hard_state=encode_hard_state(hard), entries=entries
    )
    persisted(state, 704.0, token)
    _ack(state, 2)
    assert state.commit_index == 0
    _ack(state, 3)
    assert state.commit_index == 3


def test_peer_without_right_to_vote_is_in_no_quorum():
    """Guards against commits and leases that rely on a wiped disk."""
    state, token = _elected_leader()
    persisted(state, 704.0, token)
    _ack(state, 1, newcomer_id='new')
    assert state.commit_index == 0
    _ack(state, 1)
    assert state.commit_index == 1
    confirm_leadership(state, 704.0, 7)
    confirmed = LeadershipConfirmed(token=7)
    assert confirmed not in _ack(state, 1, newcomer_id='new')
    assert confirmed in _ack(state, 1)


def test_heartbeat_is_answered_while_a_write_is_slow():
    """Guards against treating a process with a slow disk as lost."""
    state = _core('b')
    first = receive(state, 0.0, 'a', _append(1))
    persisted(state, 1.0, _write(first).token)
    receive(state, 2.0, 'a', _append(1, entries=[_entry(1, 1)]))
    (answer,) = _sent(receive(state, 3.0, 'a', _append(1, prev=(1, 1))))
    assert (answer.ok, answer.index) == (True, 0)


def test_vote_is_kept_after_a_failed_write():
    """Guards against a second vote in a term after a disk failure."""
    state = _core('b')
    vote = Vote(term=5, last_index=0, last_term=0)
    persisted(state, 1.0, _write(receive(state, 0.0, 'a', vote)).token)
    effects = receive(state, 2.0, 'a', _append(5, entries=[_entry(1, 5)]))
    assert _sent(persist_failed(state, 3.0, _write(effects).token)) == []
    assert receive(state, 4.0, 'c', vote) == []
    retry = _write(tick(state, 400.0))
    assert retry.entries == [_entry(1, 5)]
    assert retry.truncate_from == 1
    assert _sent(persisted(state, 401.0, retry.token)) == []
    (answer,) = _sent(receive(state, 900.0, 'c', vote))
    assert not answer.granted


def test_leader_steps_down_when_its_disk_fails():
    """Guards against a leader that continues without a durable log."""
    group = Group(ABC)
    old = group.wait_for_leader()
    group.members[old].disk.failing_writes = 1
    group.propose(old, b'x')
    group.run(10)
    assert group.state(old).role == 'follower'
    new = group.wait_for_leader()
    group.propose(new, b'y')
    group.run(2_000)
    assert {tuple(group.applied(name)) for name in ABC} == {
        tuple(group.applied(new))
    }
    assert group.applied(new)[-1] == b'y'


@pytest.mark.parametrize('after_sync', [False, True])
@pytest.mark.parametrize('number', range(1, 9))
def test_crash_at_each_write(number, after_sync):
    """Guards against votes and acknowledgements before a write completes."""
    group = Group(ABC, seed=number)
    for name in ('a', 'b'):
        group.members[name].disk.writes_until_crash = number
        group.members[name].disk.crash_after_sync = after_sync
    for count in range(12):
        group.run(150)
        for name, member in group.members.items():
            if member.state is None:
                group.start(name)
            group.propose(name, b'%d' % count)
    leader = group.wait_for_leader()
    group.propose(leader, b'last')
    group.run(500)
    for name in ABC:
        assert group.applied(name)[-1] == b'last'
        assert group.applied(name) == group.applied(leader)


def test_lagging_follower_gets_a_snapshot_in_chunks():
    """Guards against a follower that cannot catch up after a compaction."""
    group = Group(ABC)
    leader = group.wait_for_leader()
    follower = next(name for name in ABC if name != leader)
    group.isolate(follower)
    for count in range(10):
        group.propose(leader, b'%d' % count * 60_000)
    group.run(200)
    group.compact(leader)
    group.propose(leader, b'after')
    group.loss = 0.2
    group.heal()
    group.run(3_000)
    assert group.applied(follower) == group.applied(leader)
    assert group.state(follower).snapshot_index > 0
    group.crash(follower)
    group.start(follower)
    group.run(1_000)
    assert group.applied(follower) == group.applied(leader)


def test_voters_are_added_and_removed():
    """Guards against a new voter in a quorum before it has the log."""
    group = Group(ABC)
    leader = group.wait_for_leader()
    group.propose(leader, b'x')
    group.add_process('d', [*ABC, 'd'])
    group.isolate('d')
    group.call(leader, change_voters, 'd', None)
    group.run(500)
    assert group.state(leader).learners == ['d']
    assert group.state(leader).voters == ABC
    group.call(leader, change_voters, 'e', None)
    assert group.state(leader).learners == ['d', 'e']
    group.run(100)
    group.call(leader, change_voters, None, 'e')
    group.heal()
    group.run(500)
    assert group.state('d').voters == ['a', 'b', 'c', 'd']
    assert group.applied('d') == [b'x']
    group.call(leader, change_voters, None, leader)
    group.run(300)
    assert group.leader() not in (None, leader)
    assert leader not in group.state('d').voters
    group.run(3_000)
    assert len(group.elections) == 2


def test_second_voter_change_waits_for_the_first():
    """Guards against two voter sets whose quorums do not overlap."""
    group = Group(ABC)
    leader = group.wait_for_leader()
    group.call(leader, change_voters, 'd', None)
    group.call(leader, change_voters, None, 'a')
    assert 'not committed' in group.state(leader).last_refusal
    assert group.state(leader).voters == ABC


def test_transfer_is_fast_and_refuses_proposals():
    """Guards against waiting for an election timeout at each shutdown."""
    group = Group(ABC)
    old = group.wait_for_leader()
    group.run(100)
    target = next(name for name in ABC if name != old)
    started_ms = group.now_ms
    group.call(old, transfer_leadership, target)
    assert group.propose(old, b'x') is None
    group.run(1_000, lambda: group.leader() == target)
    assert group.now_ms - started_ms < 100
    assert [
        type(item).__name__ for item in group.members[old].leadership_events
    ] == [
        'LeadershipWon',
        'LeadershipLost',
    ]


def test_transfer_to_a_crashed_process_is_abandoned():
    """Guards against a leader that refuses proposals forever."""
    group = Group(ABC)
    leader = group.wait_for_leader()
    target = next(name for name in ABC if name != leader)
    group.crash(target)
    group.call(leader, transfer_leadership, target)
    group.run(700)
    assert group.propose(leader, b'x') is not None


def test_voter_removed_while_it_is_the_transfer_target():
    """Guards against a KeyError of the leader during a transfer.

    If the removal of the transfer target is accepted, the next answer raises
    KeyError, because the leader no longer tracks the target. Found by random
    faults (trial seed 743).
    """
    group = Group(ABC)
    leader = group.wait_for_leader()
    target = next(name for name in ABC if name != leader)
    group.isolate(target)
    group.propose(leader, b'x')
    group.call(leader, transfer_leadership, target)
    group.call(leader, change_voters, None, target)
    assert 'transfer is in progress' in group.state(leader).last_refusal
    group.run(1_000)
    group.call(leader, change_voters, None, target)
    group.run(100)
    assert target not in group.state(leader).voters


def test_wiped_voter_is_in_no_quorum_until_added_again():
    """Guards against double votes and lost entries after a wiped disk."""
    group = Group(ABC)
    group.wait_for_leader()
    group.run(500)
    group.wipe('c')
    group.run(1_000)
    leader = group.wait_for_leader()
    other = next(name for name in 'ab' if name != leader)
    group.crash(other)
    group.run(5_000)
    assert group.leader() is None
    group.start(other)
    leader = group.wait_for_leader()
    group.call(leader, change_voters, None, 'c')
    group.run(200)
    group.call(leader, change_voters, 'c', None)
    group.run(500)
    assert group.state('c').voters == ABC
    group.crash(other)
    group.run(2_000)
    assert group.leader() in (leader, 'c')


def test_data_folder_of_another_process_does_not_vote():
    """Guards against votes cast with a swapped data folder."""
    group = Group(ABC)
    group.wait_for_leader()
    group.run(500)
    state = _core('b', **_fields(group.members['a'].disk.restore()))
    vote = Vote(term=99, last_index=99, last_term=98)
    assert receive(state, 0.0, 'c', vote) == []
    assert state.term < 99


def test_data_folder_with_another_node_id_does_not_vote():
    """Guards against a single control process that leads with a new disk."""
    cfg = ConsensusConfig(name='a', voters=['a'], node_id='lost')
    state = new_consensus(
        cfg, random.Random(1), RestoredState(node_id='new'), 0.0
    )
    assert tick(state, 10_000.0) == []
    assert state.role == 'follower'
    cfg.node_id = 'new'
    restored = RestoredState(node_id='new')
    state = new_consensus(cfg, random.Random(1), restored, 0.0)
    assert state.role == 'follower'
    assert _write(tick(state, 0.0)).hard_state is not None


def test_known_ids_are_stored_in_order():
    """Guards against a difference in replayed traces due to hash order."""
    names = ['a', *'gfedcb']
    group = Group(names)
    group.wait_for_leader()
    for name in names:
        known = list(group.state(name).hard.known_ids)
        assert known == sorted(known)


def _fields(restored):
    names = ('hard_state', 'snapshot', 'entries', 'node_id')
    return {name: getattr(restored, name) for name in names}


def test_group_bootstraps_once_all_first_voters_run():
    """Guards against a wiped process that is treated as a first voter."""
    group = Group(ABC)
    group.crash('c')
    group.run(2_000)
    assert group.leader() is None
    group.start('c')
    started_ms = group.now_ms
    group.wait_for_leader()
    assert group.now_ms - started_ms < 1_000


def test_proposals_are_batched():
    """Guards against one append message per proposal."""
    group = Group(ABC)
    leader = group.wait_for_leader()
    group.run(100)
    sent = []
    real_send = group._send

    def record(name, effect):
        if isinstance(effect.message, Append) and effect.message.entries:
            sent.append(effect)
        real_send(name, effect)

    group._send = record
    for count in range(1_000):
        group.propose(leader, b'%d' % count)
    group.run(100)
    assert len(group.applied(leader)) == 1_000
    assert len(sent) < 40


def test_long_log_is_restored_fast():
    """Guards against a restart that takes longer than 2 s.

    Measures CPU time, which excludes the time used by other processes.
    """
    entries = [_entry(index, 1) for index in range(1, 20_001)]
    started = time.process_time()
    state = _core(entries=entries)
    assert time.process_time() - started < 1.0
    assert state.last_index == 20_000


def test_description_is_json_compatible():
    """Guards against a state dump that cannot be written as JSON."""
    state, _ = _elected_leader()
    plain = json.loads(json.dumps(describe(state)))
    assert (plain['role'], plain['term']) == ('leader', 1)
    assert sorted(plain['peers']) == ['b', 'c']


def test_too_long_command_is_refused():
    """Guards against an entry larger than a frame."""
    with pytest.raises(ValueError, match='expected at most'):
        propose(_core(), 0.0, bytes(MAX_COMMAND_BYTES + 1))


def test_messages_survive_an_encoding_round_trip():
    """Guards against messages that peers reject as malformed."""
    codec = FrameCodec(*ConsensusMessage.__args__)
    message = _append(1, entries=[_entry(1, 1)], commit=3)
    answer = AppendAnswer(term=1, index=4, round=2, ok=True)
    assert codec.decode(encode_cbor([message, answer])) == [message, answer]
