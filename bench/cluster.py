"""Starts and stops the processes of one deployment on loopback.

Only experiments and tests use this; no program of the product starts
another one.
"""

from __future__ import annotations

import json
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any
from urllib.error import URLError
from urllib.request import urlopen

import jsonc

from bench.deployments import Deployment
from bench.settings import write_settings
from jackdawpost.client import ProxyAddress

LOOPBACK = '127.0.0.1'
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.02
# Below the range that Linux uses for outgoing connections.
FIXED_PORTS = (10_000, 32_000)
_TAKEN_PORTS: set[int] = set()
MODULES = {
    'control': 'jackdawpost.cli.control',
    'proxy': 'jackdawpost.cli.proxy',
    'database': 'jackdawpost_standin.cli',
}


@dataclass(slots=True)
class Program:
    """One process and where it listens."""

    name: str
    role: str
    port: int
    config: Path
    process: subprocess.Popen[bytes] | None = None
    arguments: list[str] = field(default_factory=list)

    @property
    def running(self) -> bool:
        """Whether the process has been started and not ended."""
        return self.process is not None and self.process.poll() is None


class Cluster:
    """Processes of one deployment.

    Parameters
    ----------
    deployment : Deployment
        Sizes and names.
    folder : Path
        Folder for the logs.
    programs : dict of str to Program
        Programs with their settings files.
    ctl_config : Path
        Settings of ``jackdawpost-ctl``.
    """

    def __init__(
        self,
        deployment: Deployment,
        folder: Path,
        programs: dict[str, Program],
        ctl_config: Path,
    ) -> None:
        self.deployment = deployment
        self.folder = folder
        self.programs = programs
        self.ctl_config = ctl_config

    @classmethod
    def load(
        cls, deployment: Deployment, settings: Path, folder: Path
    ) -> Cluster:
        """Return a cluster with the settings files of a folder."""
        programs = {}
        for config in sorted(settings.glob('*.json')):
            if config.stem in ('ctl', 'changes'):
                continue
            value = jsonc.loads(config.read_text())
            name = value['name']
            role = _role_of(value)
            programs[name] = Program(
                name, role, value['listen']['port'], config
            )
        return cls(deployment, folder, programs, settings / 'ctl.json')

    def names(self, role: str) -> list[str]:
        """Return the names of the programs of one role."""
        return [p.name for p in self.programs.values() if p.role == role]

    def proxy_addresses(self) -> list[ProxyAddress]:
        """Return the addresses of all proxies."""
        return [
            ProxyAddress(LOOPBACK, self.programs[name].port)
            for name in self.names('proxy')
        ]

    def record_traces(self) -> None:
        """Let proxies and control processes record their events."""
        for program in self.programs.values():
            if program.role != 'database':
                trace = self.folder / f'{program.name}.jsonl'
                program.arguments = ['--record', str(trace)]

    def start_all(self) -> None:
        """Start every program."""
        for name in self.programs:
            self.start(name)

    def start(self, name: str) -> None:
        """Start one program; its logs are appended to ``NAME.log``."""
        program = self.programs[name]
        command = [
            sys.executable,
            '-m',
            MODULES[program.role],
            '--config',
            str(program.config),
            *program.arguments,
        ]
        with (self.folder / f'{name}.log').open('ab') as log:
            program.process = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def kill(self, name: str) -> None:
        """Kill a program without warning."""
        self._signal(name, signal.SIGKILL)
        process = self.programs[name].process
        if process is not None:
            process.wait()

    def terminate(self, name: str) -> int:
        """Stop a program gracefully and return its exit code."""
        self._signal(name, signal.SIGTERM)
        process = self.programs[name].process
        return process.wait(STOP_TIMEOUT_S * 4) if process else 0

    def freeze(self, name: str) -> None:
        """Stop a program from running without ending it."""
        self._signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a frozen program go on."""
        self._signal(name, signal.SIGCONT)

    def stop_all(self) -> None:
        """End everything that was started."""
        running = [p for p in self.programs.values() if p.running]
        for program in running:
            self._signal(program.name, signal.SIGCONT)
            self._signal(program.name, signal.SIGKILL)
        for program in running:
            if program.process is not None:
                program.process.wait()

    def read_page(self, name: str, path: str) -> tuple[int, Any]:
        """Return status and JSON of a plain HTTP page; 0 if unreachable."""
        url = f'http://{LOOPBACK}:{self.programs[name].port}{path}'
        try:
            with urlopen(url, timeout=5) as reply:
                return reply.status, json.loads(reply.read())
        except URLError as exc:
            return getattr(exc, 'code', 0) or 0, None
        except OSError:
            return 0, None

    def wait_healthy(self, names: list[str]) -> None:
        """Wait until ``/healthz`` of each program answers 200."""
        deadline = time.monotonic() + START_TIMEOUT_S
        for name in names:
            while self.read_page(name, '/healthz')[0] != 200:
                self._check_waiting(name, deadline)
                time.sleep(POLL_S)

    def run_ctl(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run ``jackdawpost-ctl`` and return what it printed."""
        command = [
            sys.executable,
            '-m',
            'jackdawpost.cli.ctl',
            '--config',
            str(self.ctl_config),
            *arguments,
        ]
        return subprocess.run(
            command, capture_output=True, text=True, timeout=60, check=False
        )

    def _check_waiting(self, name: str, deadline: float) -> None:
        if not self.programs[name].running:
            raise RuntimeError(f'{name} ended: {self._log_tail(name)}')
        if time.monotonic() > deadline:
            raise RuntimeError(
                f'{name} not healthy after {START_TIMEOUT_S:.0f} s: '
                f'{self._log_tail(name)}'
            )

    def _log_tail(self, name: str) -> str:
        text = (self.folder / f'{name}.log').read_text(errors='replace')
        return text[-2_000:]

    def _signal(self, name: str, number: int) -> None:
        program = self.programs[name]
        if program.running and program.process is not None:
            program.process.send_signal(number)


def _role_of(settings: dict[str, Any]) -> str:
    if 'peers' in settings:
        return 'control'
    return 'database' if 'group' in settings else 'proxy'


def take_port() -> int:
    """Return a free TCP port that the system gives to no outgoing connection.

    A port of the ephemeral range may be taken by an outgoing connection
    while its process is down, which then cannot start again.
    """
    while True:
        port = random.SystemRandom().randrange(*FIXED_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        if port not in _TAKEN_PORTS:
            _TAKEN_PORTS.add(port)
            return port


@contextmanager
def run_cluster(
    deployment: Deployment,
    edit_settings: Callable[[Path], None] | None = None,
    record: bool = False,
    **options: Any,
) -> Iterator[Cluster]:
    """Start a deployment in a temporary folder and stop it afterwards.

    Parameters
    ----------
    deployment : Deployment
        Sizes and names.
    edit_settings : callable, optional
        Changes the settings files in a folder before the start.
    record : bool
        Proxies and control processes write traces ``NAME.jsonl``.
    **options
        See `write_settings`.
    """
    with tempfile.TemporaryDirectory(prefix='jackdawpost-') as folder:
        path = Path(folder)
        write_settings(deployment, path, take_port, path, **options)
        if edit_settings is not None:
            edit_settings(path)
        cluster = Cluster.load(deployment, path, path)
        if record:
            cluster.record_traces()
        try:
            cluster.start_all()
            yield cluster
        finally:
            cluster.stop_all()
