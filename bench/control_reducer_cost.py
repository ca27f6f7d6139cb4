"""Processor time and bytes of a control leader at any size, in one process.

Feeds a single-voter control process with the reports and announcements of
many members and counts the reducer and the codec, but no sockets.
``python -m bench.control_reducer_cost --proxies 720 --databases 1800``
"""

from __future__ import annotations

import argparse
import json
import os
import random
import sys
import time
from collections import Counter
from collections.abc import Sequence
from typing import Any

from bench.experiment_throughput import MIB
from bench.experiment_throughput import read_rss_bytes
from jackdawpost.core.consensus.process import RestoredState
from jackdawpost.core.control import commands
from jackdawpost.core.control.machine import apply_command
from jackdawpost.core.control.machine import new_machine
from jackdawpost.core.control.reducer import ControlConfig
from jackdawpost.core.control.reducer import new_control
from jackdawpost.core.control.reducer import reduce_control
from jackdawpost.core.control.state import ControlMachine
from jackdawpost.core.control.state import MemberApproval
from jackdawpost.core.effects import Effect
from jackdawpost.core.effects import Persist
from jackdawpost.core.effects import Send
from jackdawpost.core.effects import SetTimer
from jackdawpost.core.events import ConnOpened
from jackdawpost.core.events import Persisted
from jackdawpost.core.events import Received
from jackdawpost.core.events import TimerFired
from jackdawpost.core.messages.control import Announce
from jackdawpost.core.messages.control import ProxyReport
from jackdawpost.core.messages.operator import Apply
from jackdawpost.core.messages.operator import Operation
from jackdawpost.core.positions import LogPosition
from jackdawpost.runtime.control_shell import CODECS
from jackdawpost.wire.codec import encode_cbor

DATABASES_PER_GROUP = 3
WATCHED_DATABASES = 8
ROUNDS = 3
REPORT_INTERVAL_MS = 400.0
CHANGES = 20
US_PER_S = 1_000_000
OPERATOR_CONN = 1
FIRST_CONN = 10


class ControlLoop:
    """A control process without sockets and disk.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state to start from.
    """

    def __init__(self, machine: ControlMachine) -> None:
        cfg = ControlConfig(name='control-0', peers=['control-0'])
        self.now_ms = 0.0
        self.sent_bytes: Counter[int] = Counter()
        self._due_ms: dict[str, float] = {}
        restored = RestoredState()
        self.state, effects = new_control(
            cfg, random.Random(1), restored, self.now_ms
        )
        self.state.machine = machine
        self.perform(effects)

    def feed(self, event: Any) -> None:
        """Reduce one event and carry out its effects."""
        self.perform(reduce_control(self.state, event))

    def perform(self, effects: list[Effect]) -> None:
        """Encode what is sent and report every write as synced."""
        for effect in effects:
            if isinstance(effect, Send):
                frame = encode_cbor(effect.messages)
                self.sent_bytes[effect.conn] += len(frame)
            elif isinstance(effect, Persist):
                token = effect.token
                self.feed(Persisted(now_ms=self.now_ms, token=token))
            elif isinstance(effect, SetTimer):
                self._due_ms[effect.key] = effect.due_ms

    def advance(self, duration_ms: float) -> None:
        """Let time pass, firing timers when they are due."""
        end_ms = self.now_ms + duration_ms
        while self._due_ms:
            key = min(self._due_ms, key=self._due_ms.__getitem__)
            due_ms = self._due_ms[key]
            if due_ms > end_ms:
                break
            del self._due_ms[key]
            self.now_ms = max(self.now_ms, due_ms)
            self.feed(TimerFired(now_ms=self.now_ms, key=key))
        self.now_ms = end_ms

    def open(self, conn: int, link: Any) -> None:
        """Accept a connection."""
        self.feed(ConnOpened(now_ms=self.now_ms, conn=conn, link=link))

    def receive(self, conn: int, link: str, frame: bytes) -> None:
        """Decode and reduce a frame."""
        messages = CODECS[link].decode(frame)
        self.feed(Received(now_ms=self.now_ms, conn=conn, messages=messages))


def build_machine(proxies: int, databases: int) -> ControlMachine:
    """Return a machine with this many joined members."""
    machine = new_machine()
    groups = databases // DATABASES_PER_GROUP
    operations = [
        Operation(
            action='create',
            type='group',
            name=f'g{n}',
            body={'databases': 3, 'write_copies': 2},
        )
        for n in range(groups)
    ]
    apply_command(
        machine,
        1,
        commands.ApplyChangeSet(
            change_id='groups',
            base_revision=0,
            operations=operations,
            operator='bench',
        ),
    )
    for number in range(proxies):
        _join(machine, 'proxy', f'p{number}', '')
    for number in range(databases):
        group = f'g{number // DATABASES_PER_GROUP}'
        _join(machine, 'upstream', f'd{number}', group)
    for number in range(groups):
        _promote(machine, number)
    return machine


def _promote(machine: ControlMachine, number: int) -> None:
    group = f'g{number}'
    name = f'd{number * DATABASES_PER_GROUP}'
    for command in (
        commands.StartPromotion(
            group=group,
            from_term=0,
            to_term=1,
            reason='bench',
            accept_loss=False,
        ),
        commands.ChoosePrimary(
            group=group,
            to_term=1,
            upstream=name,
            data_id=f'id-{name}',
            position=LogPosition(0, 0),
        ),
        commands.FinishPromotion(group=group, to_term=1),
    ):
        apply_command(machine, 1, command)


def _join(machine: ControlMachine, role: Any, name: str, group: str) -> None:
    announce = commands.AnnounceMember(
        role=role,
        name=name,
        member_id=f'id-{name}',
        host='127.0.0.1',
        port=9_000,
        data_centre='dc',
        group=group,
        slots=5 if group else 0,
        connections=55 if group else 0,
    )
    apply_command(machine, 1, announce)
    newcomer = machine.newcomers.get(name)
    if newcomer is None:
        return
    # The approvals of all but one member are entered directly, since
    # applying each of them is not what is measured here.
    *others, last = list(machine.members)
    for member in others:
        member_id = machine.members[member].member_id
        newcomer.approvals[member] = MemberApproval(
            member_id=member_id, checked='bench'
        )
    approve = commands.ApproveMember(
        member=last,
        member_id=machine.members[last].member_id,
        newcomer=name,
        newcomer_id=f'id-{name}',
        checked='bench',
        version=0,
    )
    apply_command(machine, 1, approve)


def measure(proxies: int, databases: int) -> dict[str, Any]:
    """Return the cost of each kind of message at one size."""
    started_s = time.thread_time()
    loop = ControlLoop(build_machine(proxies, databases))
    built_s = time.thread_time() - started_s
    loop.advance(2_000)
    conns = {f'p{n}': FIRST_CONN + n for n in range(proxies)}
    databases_by_conn = {FIRST_CONN + proxies + n: n for n in range(databases)}
    for conn in conns.values():
        loop.open(conn, 'proxy')
    for conn in databases_by_conn:
        loop.open(conn, 'announce')
    loop.open(OPERATOR_CONN, 'operator')
    first_s = _time_reports(loop, conns, 1, databases)
    first_bytes = sum(loop.sent_bytes[conn] for conn in conns.values())
    _time_announcements(loop, databases_by_conn)
    loop.advance(REPORT_INTERVAL_MS)
    loop.sent_bytes.clear()
    report_s = announce_s = 0.0
    for number in range(ROUNDS):
        report_s += _time_reports(loop, conns, 2 + number, databases)
        announce_s += _time_announcements(loop, databases_by_conn)
        loop.advance(REPORT_INTERVAL_MS)
    grant_bytes = sum(loop.sent_bytes[conn] for conn in conns.values())
    _time_reports(loop, conns, 2 + ROUNDS, databases)
    loop.sent_bytes.clear()
    change_s = _time_changes(loop)
    change_bytes = sum(loop.sent_bytes[conn] for conn in conns.values())
    return {
        'proxies': proxies,
        'databases': databases,
        'build_s': round(built_s, 2),
        'first_report_us': _per(first_s, proxies),
        'first_load_bytes': round(first_bytes / proxies),
        'report_us': _per(report_s, ROUNDS * proxies),
        'grant_bytes': round(grant_bytes / ROUNDS / proxies),
        'announce_us': _per(announce_s, ROUNDS * databases),
        'change_us': _per(change_s, CHANGES),
        'change_bytes_per_proxy': round(change_bytes / CHANGES / proxies),
        'rss_mib': round(read_rss_bytes_of_self() / MIB, 1),
    }


def _per(spent_s: float, number: int) -> float:
    return round(spent_s / max(1, number) * US_PER_S, 1)


def read_rss_bytes_of_self() -> int:
    """Return the resident memory of this process in bytes."""

    return read_rss_bytes(os.getpid())


def _time_reports(
    loop: ControlLoop, conns: dict[str, int], seq: int, databases: int
) -> float:
    frames = []
    for number, (name, conn) in enumerate(conns.items()):
        watched = [
            f'd{(WATCHED_DATABASES * number + k) % databases}'
            for k in range(WATCHED_DATABASES)
        ]
        report = ProxyReport(
            proxy=name,
            proxy_id=f'id-{name}',
            incarnation='1',
            seq=seq,
            host='127.0.0.1',
            port=9_000,
            data_centre='dc',
            version=0 if seq == 1 else loop.state.machine.version,
            holdings={watched[0]: 1},
            evidence=dict.fromkeys(watched, 'up'),
        )
        frames.append((conn, encode_cbor([report])))
    started_s = time.thread_time()
    for conn, frame in frames:
        loop.receive(conn, 'proxy', frame)
    loop.advance(60)
    return time.thread_time() - started_s


def _time_announcements(loop: ControlLoop, conns: dict[int, int]) -> float:
    frames = []
    for conn, number in conns.items():
        announce = Announce(
            name=f'd{number}',
            group=f'g{number // DATABASES_PER_GROUP}',
            data_id=f'id-d{number}',
            host='127.0.0.1',
            port=9_000,
            data_centre='dc',
            slots=5,
            connections=55,
            term=1,
            leads=number % DATABASES_PER_GROUP == 0,
            received=LogPosition(1, 1),
        )
        frames.append((conn, encode_cbor([announce])))
    started_s = time.thread_time()
    for conn, frame in frames:
        loop.receive(conn, 'announce', frame)
    return time.thread_time() - started_s


def _time_changes(loop: ControlLoop) -> float:
    started_s = time.thread_time()
    for number in range(CHANGES):
        operation = Operation(
            action='amend' if number else 'create',
            type='allowance',
            name='changing',
            body={'max_age_ms': 1_000 + number},
        )
        apply = Apply(
            id=number,
            change_id=f'change-{number}',
            base_revision=1 + number,
            operations=[operation],
            operator='bench',
        )
        loop.receive(OPERATOR_CONN, 'operator', encode_cbor([apply]))
        loop.advance(10)
    return time.thread_time() - started_s


def main(argv: Sequence[str] | None = None) -> int:
    """Measure one size and print one JSON line."""
    parser = argparse.ArgumentParser(
        prog='python -m bench.control_reducer_cost'
    )
    parser.add_argument('--proxies', type=int, required=True)
    parser.add_argument('--databases', type=int, required=True)
    args = parser.parse_args(argv)
    print(json.dumps(measure(args.proxies, args.databases)))
    return 0


if __name__ == '__main__':
    sys.exit(main())
