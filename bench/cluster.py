"""Starts and stops the processes of a deployment on the loopback interface.

Only the demo, the experiments and tests use this module. The installed
programs never start one another.
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
HEALTHY_TIMEOUT_S = 30.0
TERMINATE_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02
# Below the default range of ephemeral ports on Linux.
LISTEN_PORT_RANGE = (10_000, 32_000)
_ALLOCATED_PORTS: set[int] = set()
MODULES = {
    'control': 'jackdawpost.cli.control',
    'proxy': 'jackdawpost.cli.proxy',
    'database': 'jackdawpost_standin.cli',
}


@dataclass(slots=True)
class Program:
    """One process, its port and its settings file."""

    name: str
    role: str
    port: int
    config: Path
    process: subprocess.Popen[bytes] | None = None
    arguments: list[str] = field(default_factory=list)

    @property
    def running(self) -> bool:
        """True while the process runs."""
        return self.process is not None and self.process.poll() is None


class Cluster:
    """The processes of one deployment.

    Parameters
    ----------
    deployment : Deployment
        Names of the groups and numbers of processes.
    folder : Path
        Folder for the logs and traces.
    programs : dict of str to Program
        Programs by their names.
    ctl_config : Path
        Settings file of ``jackdawpost-ctl``.
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
        """Return the cluster that the settings files in a folder describe."""
        programs = {}
        for config in sorted(settings.glob('*.json')):
            if config.stem in ('ctl', 'changes'):
                continue
            value = jsonc.loads(config.read_text())
            name = value['name']
            role = _get_role(value)
            programs[name] = Program(
                name, role, value['listen']['port'], config
            )
        return cls(deployment, folder, programs, settings / 'ctl.json')

    def names(self, role: str) -> list[str]:
        """Return the names of the programs with the given role."""
        return [p.name for p in self.programs.values() if p.role == role]

    def proxy_addresses(self) -> list[ProxyAddress]:
        """Return the addresses of all proxies."""
        return [
            ProxyAddress(LOOPBACK, self.programs[name].port)
            for name in self.names('proxy')
        ]

    def enable_trace_recording(self) -> None:
        """Make proxies and control processes record traces when started."""
        for program in self.programs.values():
            if program.role != 'database':
                trace = self.folder / f'{program.name}.jsonl'
                program.arguments = ['--record', str(trace)]

    def start_all(self) -> None:
        """Start every program."""
        for name in self.programs:
            self.start(name)

    def start(self, name: str) -> None:
        """Start one program and append its output to ``NAME.log``."""
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
        """Kill a program with SIGKILL and wait for its end."""
        self._send_signal(name, signal.SIGKILL)
        process = self.programs[name].process
        if process is not None:
            process.wait()

    def terminate(self, name: str) -> int:
        """Stop a program with SIGTERM and return its exit code."""
        self._send_signal(name, signal.SIGTERM)
        process = self.programs[name].process
        return process.wait(TERMINATE_TIMEOUT_S * 4) if process else 0

    def suspend(self, name: str) -> None:
        """Suspend a program with SIGSTOP."""
        self._send_signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended program with SIGCONT."""
        self._send_signal(name, signal.SIGCONT)

    def stop_all(self) -> None:
        """Kill all running programs, including suspended ones."""
        running = [p for p in self.programs.values() if p.running]
        for program in running:
            self._send_signal(program.name, signal.SIGCONT)
            self._send_signal(program.name, signal.SIGKILL)
        for program in running:
            if program.process is not None:
                program.process.wait()

    def fetch_json(self, name: str, path: str) -> tuple[int, Any]:
        """Return the HTTP status and the JSON body of a page of a program.

        The status is 0 if the program does not answer. The body is None
        without an answer or with an error status.
        """
        url = f'http://{LOOPBACK}:{self.programs[name].port}{path}'
        try:
            with urlopen(url, timeout=5) as reply:
                return reply.status, json.loads(reply.read())
        except URLError as exc:
            return getattr(exc, 'code', 0) or 0, None
        except OSError:
            return 0, None

    def wait_healthy(self, names: list[str]) -> None:
        """Wait until ``/healthz`` of each program returns status 200."""
        deadline = time.monotonic() + HEALTHY_TIMEOUT_S
        for name in names:
            while self.fetch_json(name, '/healthz')[0] != 200:
                self._check_startup(name, deadline)
                time.sleep(POLL_INTERVAL_S)

    def run_ctl(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run ``jackdawpost-ctl`` and return its exit code and output."""
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

    def _check_startup(self, name: str, deadline: float) -> None:
        if not self.programs[name].running:
            raise RuntimeError(
                f'{name} ended before it was healthy; log: '
                f'{self._read_log_tail(name)}'
            )
        if time.monotonic() > deadline:
            raise RuntimeError(
                f'{name} not healthy after {HEALTHY_TIMEOUT_S:.0f} s; log: '
                f'{self._read_log_tail(name)}'
            )

    def _read_log_tail(self, name: str) -> str:
        text = (self.folder / f'{name}.log').read_text(errors='replace')
        return text[-2_000:]

    def _send_signal(self, name: str, number: int) -> None:
        program = self.programs[name]
        if program.running and program.process is not None:
            program.process.send_signal(number)


def _get_role(settings: dict[str, Any]) -> str:
    if 'peers' in settings:
        return 'control'
    return 'database' if 'group' in settings else 'proxy'


def allocate_port() -> int:
    """Return a free TCP port outside the range of ephemeral ports.

    An outgoing connection can occupy an ephemeral port while the process that
    listens on it is down. The process then cannot start again. No port is
    returned twice.
    """
    while True:
        port = random.SystemRandom().randrange(*LISTEN_PORT_RANGE)
        with socket.socket() as sock:
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                continue
        if port not in _ALLOCATED_PORTS:
            _ALLOCATED_PORTS.add(port)
            return port


@contextmanager
def run_cluster(
    deployment: Deployment,
    edit_settings: Callable[[Path], None] | None = None,
    record: bool = False,
    **options: Any,
) -> Iterator[Cluster]:
    """Run a deployment in a temporary folder and stop it on exit.

    Parameters
    ----------
    deployment : Deployment
        Names of the groups and numbers of processes.
    edit_settings : callable, optional
        Called with the folder of the settings files before the start, to
        change them.
    record : bool
        Record traces of proxies and control processes in ``NAME.jsonl``.
    **options
        Keyword arguments of `write_settings`.
    """
    with tempfile.TemporaryDirectory(prefix='jackdawpost-') as folder:
        path = Path(folder)
        write_settings(deployment, path, allocate_port, path, **options)
        if edit_settings is not None:
            edit_settings(path)
        cluster = Cluster.load(deployment, path, path)
        if record:
            cluster.enable_trace_recording()
        try:
            cluster.start_all()
            yield cluster
        finally:
            cluster.stop_all()
