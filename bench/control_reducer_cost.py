"""Measures processor time and sent bytes of a control leader at any scale.

One control process, the only voter, receives the reports and announcements of
many members within this process. The measurement covers the reducer and the
codec, but no sockets and no disk.
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
DATABASES_PER_REPORT = 8
MEASURED_ROUNDS = 3
REPORT_INTERVAL_MS = 400.0
MEASURED_CHANGES = 20
US_PER_SECOND = 1_000_000
OPERATOR_CONN = 1
FIRST_CONN = 10


class InMemoryControl:
    """A control process that runs without sockets and disk.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state to start from.
    """

    def __init__(self, machine: ControlMachine) -> None:
        cfg = ControlConfig(name='control-0', peers=['control-0'])
        self.now_ms = 0.0
        self.sent_bytes: Counter[int] = Counter()
        self._timer_due_ms: dict[str, float] = {}
        restored = RestoredState()
        self.state, effects = new_control(
            cfg, random.Random(1), restored, self.now_ms
        )
        self.state.machine = machine
        self.execute_effects(effects)

    def apply_event(self, event: Any) -> None:
        """Apply one event and execute its effects."""
        self.execute_effects(reduce_control(self.state, event))

    def execute_effects(self, effects: list[Effect]) -> None:
        """Count the sent bytes, confirm disk writes and set timers."""
        for effect in effects:
            if isinstance(effect, Send):
                frame = encode_cbor(effect.messages)
                self.sent_bytes[effect.conn] += len(frame)
            elif isinstance(effect, Persist):
                token = effect.token
                self.apply_event(Persisted(now_ms=self.now_ms, token=token))
            elif isinstance(effect, SetTimer):
                self._timer_due_ms[effect.key] = effect.due_ms

    def advance_clock(self, duration_ms: float) -> None:
        """Advance the simulated clock and fire the timers that are due."""
        end_ms = self.now_ms + duration_ms
        while self._timer_due_ms:
            key = min(self._timer_due_ms, key=self._timer_due_ms.__getitem__)
            due_ms = self._timer_due_ms[key]
            if due_ms > end_ms:
                break
            del self._timer_due_ms[key]
            self.now_ms = max(self.now_ms, due_ms)
            self.apply_event(TimerFired(now_ms=self.now_ms, key=key))
        self.now_ms = end_ms

    def open_connection(self, conn: int, link: Any) -> None:
        """Open an incoming connection."""
        self.apply_event(ConnOpened(now_ms=self.now_ms, conn=conn, link=link))

    def receive(self, conn: int, link: str, frame: bytes) -> None:
        """Decode a frame and apply its messages."""
        messages = CODECS[link].decode(frame)
        self.apply_event(
            Received(now_ms=self.now_ms, conn=conn, messages=messages)
        )


def build_machine(proxies: int, databases: int) -> ControlMachine:
    """Return a replicated state in which all members have joined."""
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
        _add_member(machine, 'proxy', f'p{number}', '')
    for number in range(databases):
        group = f'g{number // DATABASES_PER_GROUP}'
        _add_member(machine, 'upstream', f'd{number}', group)
    for number in range(groups):
        _complete_promotion(machine, number)
    return machine


def _complete_promotion(machine: ControlMachine, number: int) -> None:
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


def _add_member(
    machine: ControlMachine, role: Any, name: str, group: str
) -> None:
    announcement = commands.AnnounceMember(
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
    apply_command(machine, 1, announcement)
    newcomer = machine.newcomers.get(name)
    if newcomer is None:
        return
    # The approvals of all members but one are inserted directly: applying
    # them as commands is not part of the measurement.
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
    """Return the cost of each kind of message for one deployment size."""
    started_s = time.thread_time()
    control = InMemoryControl(build_machine(proxies, databases))
    build_s = time.thread_time() - started_s
    control.advance_clock(2_000)
    conn_by_proxy = {f'p{n}': FIRST_CONN + n for n in range(proxies)}
    databases_by_conn = {FIRST_CONN + proxies + n: n for n in range(databases)}
    for conn in conn_by_proxy.values():
        control.open_connection(conn, 'proxy')
    for conn in databases_by_conn:
        control.open_connection(conn, 'announce')
    control.open_connection(OPERATOR_CONN, 'operator')
    first_reports_s = _measure_reports(control, conn_by_proxy, 1, databases)
    first_reply_bytes = sum(
        control.sent_bytes[conn] for conn in conn_by_proxy.values()
    )
    _measure_announcements(control, databases_by_conn)
    control.advance_clock(REPORT_INTERVAL_MS)
    control.sent_bytes.clear()
    report_s = announce_s = 0.0
    for number in range(MEASURED_ROUNDS):
        report_s += _measure_reports(
            control, conn_by_proxy, 2 + number, databases
        )
        announce_s += _measure_announcements(control, databases_by_conn)
        control.advance_clock(REPORT_INTERVAL_MS)
    grant_bytes = sum(
        control.sent_bytes[conn] for conn in conn_by_proxy.values()
    )
    _measure_reports(control, conn_by_proxy, 2 + MEASURED_ROUNDS, databases)
    control.sent_bytes.clear()
    change_s = _measure_changes(control)
    change_bytes = sum(
        control.sent_bytes[conn] for conn in conn_by_proxy.values()
    )
    return {
        'proxies': proxies,
        'databases': databases,
        'build_s': round(build_s, 2),
        'first_report_us': _mean_us(first_reports_s, proxies),
        'first_load_bytes': round(first_reply_bytes / proxies),
        'report_us': _mean_us(report_s, MEASURED_ROUNDS * proxies),
        'grant_bytes': round(grant_bytes / MEASURED_ROUNDS / proxies),
        'announce_us': _mean_us(announce_s, MEASURED_ROUNDS * databases),
        'change_us': _mean_us(change_s, MEASURED_CHANGES),
        'change_bytes_per_proxy': round(
            change_bytes / MEASURED_CHANGES / proxies
        ),
        'rss_mib': round(read_own_rss_bytes() / MIB, 1),
    }


def _mean_us(spent_s: float, count: int) -> float:
    return round(spent_s / max(1, count) * US_PER_SECOND, 1)


def read_own_rss_bytes() -> int:
    """Return the resident memory of this process, in bytes."""
    return read_rss_bytes(os.getpid())


def _measure_reports(
    control: InMemoryControl,
    conn_by_proxy: dict[str, int],
    seq: int,
    databases: int,
) -> float:
    frames = []
    for number, (name, conn) in enumerate(conn_by_proxy.items()):
        reported_names = [
            f'd{(DATABASES_PER_REPORT * number + k) % databases}'
            for k in range(DATABASES_PER_REPORT)
        ]
        report = ProxyReport(
            proxy=name,
            proxy_id=f'id-{name}',
            incarnation='1',
            seq=seq,
            host='127.0.0.1',
            port=9_000,
            data_centre='dc',
            version=0 if seq == 1 else control.state.machine.version,
            holdings={reported_names[0]: 1},
            evidence=dict.fromkeys(reported_names, 'up'),
        )
        frames.append((conn, encode_cbor([report])))
    started_s = time.thread_time()
    for conn, frame in frames:
        control.receive(conn, 'proxy', frame)
    control.advance_clock(60)
    return time.thread_time() - started_s


def _measure_announcements(
    control: InMemoryControl, databases_by_conn: dict[int, int]
) -> float:
    frames = []
    for conn, number in databases_by_conn.items():
        announcement = Announce(
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
        frames.append((conn, encode_cbor([announcement])))
    started_s = time.thread_time()
    for conn, frame in frames:
        control.receive(conn, 'announce', frame)
    return time.thread_time() - started_s


def _measure_changes(control: InMemoryControl) -> float:
    started_s = time.thread_time()
    for number in range(MEASURED_CHANGES):
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
        control.receive(OPERATOR_CONN, 'operator', encode_cbor([apply]))
        control.advance_clock(10)
    return time.thread_time() - started_s


def main(argv: Sequence[str] | None = None) -> int:
    """Measure one deployment size and print one line of JSON."""
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
