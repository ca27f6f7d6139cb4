"""Changes of the voter set as control processes start, stop and fail."""

from __future__ import annotations

import pytest

from jackdawpost.core.effects import SetPeers
from jackdawpost.core.events import ConnClosed
from jackdawpost.core.events import DrainRequested
from jackdawpost.tests.core.control.fakes import SimulatedCluster

NAMES = ['c1', 'c2', 'c3']


def _start(target=3):
    cluster = SimulatedCluster(
        [], voter_target=target, delegated=True, seeds=('c1',)
    )
    for number, name in enumerate(NAMES):
        cluster.start_process(name, NAMES, 100 + number, f'disk-{name}')
    for left, right in (('c1', 'c2'), ('c1', 'c3'), ('c2', 'c3')):
        cluster.link_processes(left, right)
    assert cluster.run(5_000, lambda: cluster.leader() is not None)
    cluster.run(1_000)
    return cluster


def _join(cluster, name, node_id):
    """Start a process with an empty disk and link it to the others."""
    cluster.start_process(name, [], hash(name) % 1_000, node_id)
    for other in list(cluster.controls):
        if other != name and other not in cluster.stopped:
            cluster.link_processes(name, other)


def _voters(cluster):
    return cluster.leader().consensus.voters


def test_initial_voters_are_written_to_the_log():
    # Guards against a group whose voters a later process can only take from
    # the settings.
    cluster = _start()
    for state in cluster.controls.values():
        assert state.consensus.voter_sets[-1][0] > 0


def test_voter_that_lost_its_disk_votes_again():
    cluster = _start()
    follower = next(n for n in NAMES if n != cluster.leader().cfg.name)
    cluster.stop_process(follower)
    cluster.run(500)
    _join(cluster, follower, 'disk-new')
    cluster.run(2_000)
    assert sorted(_voters(cluster)) == NAMES
    core = cluster.controls[follower].consensus
    assert core.hard.admitted_as == follower
    other = next(
        n for n in NAMES if n not in (follower, cluster.leader().cfg.name)
    )
    cluster.stop_process(other)
    cluster.run(1_500)
    assert cluster.leader() is not None


def test_lost_voter_is_replaced_by_a_new_process():
    cluster = _start()
    lost = next(n for n in NAMES if n != cluster.leader().cfg.name)
    cluster.stop_process(lost)
    _join(cluster, 'c4', 'disk-c4')
    cluster.run(4_000)
    assert lost not in _voters(cluster)
    assert len(_voters(cluster)) == 3 and 'c4' in _voters(cluster)


def test_lost_leader_is_replaced_by_a_new_process():
    cluster = _start()
    lost = cluster.leader().cfg.name
    cluster.stop_process(lost)
    _join(cluster, 'c4', 'disk-c4')
    cluster.run(6_000)
    assert cluster.leader().cfg.name != lost
    assert lost not in _voters(cluster) and 'c4' in _voters(cluster)


def test_lost_voter_without_a_replacement_stays_a_voter():
    # Guards against a voter set that shrinks to one voter after two more
    # losses, one after another.
    cluster = _start()
    lost = next(n for n in NAMES if n != cluster.leader().cfg.name)
    cluster.stop_process(lost)
    cluster.run(6_000)
    assert sorted(_voters(cluster)) == NAMES


def test_stopping_voter_is_replaced_by_a_waiting_process():
    # Guards against a group that tolerates no failure until the stopped voter
    # counts as lost.
    cluster = _start()
    _join(cluster, 'c4', 'disk-c4')
    cluster.run(1_000)
    assert sorted(_voters(cluster)) == NAMES
    leaving = next(n for n in NAMES if n != cluster.leader().cfg.name)
    cluster.feed(leaving, DrainRequested(now_ms=cluster.now_ms))
    cluster.run(900)
    assert 'c4' in _voters(cluster)
    assert leaving not in _voters(cluster)


def test_process_outside_the_group_knows_the_leader_and_the_voters():
    cluster = _start()
    _join(cluster, 'c4', 'disk-c4')
    cluster.run(1_500)
    state = cluster.controls['c4']
    assert state.group_leader == cluster.leader().cfg.name
    assert state.group_voters == NAMES


def test_processes_open_links_to_the_voters_and_the_seeds():
    cluster = _start()
    requests = [
        effect
        for _, name, effect in cluster.effects
        if isinstance(effect, SetPeers) and name == 'c1'
    ]
    assert requests[-1].peers == ['c2', 'c3']
    _join(cluster, 'c4', 'disk-c4')
    cluster.run(1_500)
    requests = [
        effect
        for _, name, effect in cluster.effects
        if isinstance(effect, SetPeers) and name == 'c4'
    ]
    assert set(requests[-1].peers) >= set(NAMES)


class SelfLinkingCluster(SimulatedCluster):
    """Control processes linked only as their `SetPeers` effects request."""

    def __init__(self, **cfg_fields):
        self.requested_peers = {}
        self.open_links = {}
        super().__init__([], **cfg_fields)

    def perform(self, name, effects):
        super().perform(name, effects)
        for effect in effects:
            if isinstance(effect, SetPeers):
                self.requested_peers[name] = set(effect.peers)
                self.schedule(5, lambda: self._update_links(name))

    def stop_process(self, name):
        super().stop_process(name)
        self.requested_peers.pop(name, None)
        for pair in [pair for pair in self.open_links if name in pair]:
            del self.open_links[pair]
            self.schedule(5, lambda pair=pair: self._update_links(pair[0]))

    def _update_links(self, name):
        requested = self.requested_peers.get(name, set())
        for pair in [p for p in self.open_links if p[0] == name]:
            if pair[1] not in requested:
                left_conn, right_conn = self.open_links.pop(pair)
                for own, conn in zip(
                    pair, (left_conn, right_conn), strict=True
                ):
                    self.remote_ends.pop((own, conn), None)
                    closed = ConnClosed(now_ms=self.now_ms, conn=conn)
                    self.feed(own, closed)
        for peer in requested:
            if (name, peer) in self.open_links:
                continue
            if peer not in self.controls or peer in self.stopped:
                self.schedule(100, lambda: self._update_links(name))
                continue
            last_conn = next(self.conn_numbers)
            self.link_processes(name, peer)
            self.open_links[name, peer] = (last_conn + 1, last_conn + 2)


def _start_self_linking():
    # Every process opens links to the seeds. One voter is not a seed, so that
    # the links between voters are tested as well.
    seeds = ('c1', 'c2')
    cluster = SelfLinkingCluster(voter_target=3, delegated=True, seeds=seeds)
    for number, name in enumerate(NAMES):
        cluster.start_process(name, NAMES, 100 + number, f'disk-{name}')
    assert cluster.run(5_000, lambda: cluster.leader() is not None)
    cluster.run(1_000)
    return cluster


@pytest.mark.parametrize('lost', NAMES)
@pytest.mark.parametrize('down_ms', [50, 500, 5_000])
@pytest.mark.parametrize('wait_ms', [0, 300])
def test_voter_with_an_empty_disk_reconnects_to_the_group(
    lost, down_ms, wait_ms
):
    # Guards against a voter with an empty disk that receives the old voters,
    # counts itself among them and waits for links from the processes whose
    # names sort first, which have removed it.
    cluster = _start_self_linking()
    cluster.stop_process(lost)
    cluster.run(down_ms)
    cluster.run(3_000, lambda: cluster.leader() is not None)
    # Delays the next change of the voters, as an earlier change would.
    cluster.leader().voters_due_ms = cluster.now_ms + wait_ms
    cluster.start_process(lost, [], 7, 'disk-new')
    cluster.run(6_000)
    assert sorted(_voters(cluster)) == NAMES
    assert cluster.controls[lost].consensus.hard.admitted_as == lost
