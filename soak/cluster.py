"""The real programs on loopback addresses of their own."""

from __future__ import annotations

import os
import shutil
import signal
import subprocess
import sys
import time
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import IO

ROOT = Path(__file__).parents[1]
CONTROL_COUNT = 3
EDGE_COUNT = 3
INTERNAL_PORT = 7_240
CONTROL_PORT = 8_229
FRONTEND_PORT = 5_432
READINESS_PORT = 8_081
GRACE_S = 4.0
ZONES = ('a', 'b', 'c')
_HOST_OFFSETS = {'control': 1, 'edge': 11}


@dataclass(slots=True, kw_only=True)
class Life:
    """One run of a process, from its start to its end.

    Parameters
    ----------
    stopped_s : float, optional
        When it was told to stop.
    disturbed : bool
        It was killed or paused.
    """

    process: subprocess.Popen[bytes]
    started_s: float = field(default_factory=time.monotonic)
    stopped_s: float | None = None
    disturbed: bool = False


@dataclass(slots=True, kw_only=True)
class Node:
    """A place for a process: its address, settings, disk and log."""

    name: str
    role: str
    host: str
    folder: Path
    out: IO[bytes]
    is_first_start: bool = True
    lives: list[Life] = field(default_factory=list)

    @property
    def life(self) -> Life | None:
        """The run that has not ended."""
        if self.lives and self.lives[-1].process.poll() is None:
            return self.lives[-1]
        return None


class Cluster:
    """Processes of one deployment; ends only what it has started.

    Parameters
    ----------
    net : str
        First three parts of the loopback addresses, e.g. ``'127.30.1'``.
    platform : str
        Address of the platform's orders as IP:PORT.
    """

    def __init__(self, net: str, folder: Path, platform: str) -> None:
        self.platform = platform
        self.controls = self._nodes('control', CONTROL_COUNT, net, folder)
        self.edges = self._nodes('edge', EDGE_COUNT, net, folder)

    def _nodes(
        self, role: str, number: int, net: str, folder: Path
    ) -> list[Node]:
        nodes = []
        for index in range(number):
            name = f'{role}-{index + 1}'
            place = folder / name
            place.mkdir(parents=True)
            nodes.append(
                Node(
                    name=name,
                    role=role,
                    host=f'{net}.{_HOST_OFFSETS[role] + index}',
                    folder=place,
                    out=(place / 'log').open('ab'),
                )
            )
        return nodes

    def start_all(self) -> None:
        """Start every process."""
        for node in [*self.controls, *self.edges]:
            self.start(node)

    def start(self, node: Node) -> None:
        """Start a process unless it runs."""
        if node.life is not None:
            return
        settings = self.write_settings(node)
        process = subprocess.Popen(
            [sys.executable, '-m', f'jackdawpost.platform.{node.role}'],
            cwd=ROOT,
            env={**os.environ, 'JACKDAWPOST_SETTINGS': str(settings)},
            stdout=node.out,
            stderr=subprocess.STDOUT,
        )
        node.lives.append(Life(process=process))

    def write_settings(self, node: Node) -> Path:
        """Write the platform's settings file of a process."""
        seeds = ', '.join(f'"{c.host}:{CONTROL_PORT}"' for c in self.controls)
        zone = ZONES[int(node.name[-1]) % len(ZONES)]
        is_first = str(node.is_first_start).lower()
        text = f'''
nodeName = "{node.name}"
ip = "{node.host}"
zone = "{zone}"
region = "{zone}"
internalPorts = [{INTERNAL_PORT}, {INTERNAL_PORT + 1}]
seeds = [{seeds}]
bootstrap = {is_first}
dataDir = "{node.folder / 'data'}"
[zones]
a = "a"
b = "b"
c = "c"
[bindAddresses]
control = "{node.host}:{CONTROL_PORT}"
frontend = "{node.host}:{FRONTEND_PORT}"
readiness = "{node.host}:{READINESS_PORT}"
[cloudApi]
address = "{self.platform}"
[faultTolerance]
machines = 1
[bounds]
graceS = {GRACE_S:g}
'''
        path = node.folder / 'settings.toml'
        path.write_text(text)
        return path

    def reload(self, node: Node) -> None:
        """Rewrite the settings and signal it."""
        self.write_settings(node)
        self._signal(node, signal.SIGHUP)

    def stop(self, node: Node) -> None:
        """Ask a process to stop."""
        life = node.life
        if life is not None and life.stopped_s is None:
            life.stopped_s = time.monotonic()
            self._signal(node, signal.SIGTERM)

    def kill(self, node: Node) -> None:
        """Kill a process at once."""
        life = node.life
        if life is not None:
            life.disturbed = True
            life.process.kill()
            life.process.wait()

    def wipe(self, node: Node) -> None:
        """Kill a process and lose its disk."""
        self.kill(node)
        shutil.rmtree(node.folder / 'data', ignore_errors=True)
        node.is_first_start = False

    def pause(self, node: Node) -> None:
        """Freeze a process."""
        if node.life is not None:
            node.life.disturbed = True
            self._signal(node, signal.SIGSTOP)

    def resume(self, node: Node) -> None:
        """Let a frozen process go on."""
        self._signal(node, signal.SIGCONT)

    def _signal(self, node: Node, number: int) -> None:
        life = node.life
        if life is not None:
            life.process.send_signal(number)

    def close(self) -> None:
        """Kill what still runs."""
        for node in [*self.controls, *self.edges]:
            self.kill(node)
            node.out.close()
