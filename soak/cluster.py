"""Control and edge processes, each on its own loopback address."""

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
SHUTDOWN_GRACE_S = 4.0
ZONES = ('a', 'b', 'c')
_HOST_OFFSETS = {'control': 1, 'edge': 11}


@dataclass(slots=True, kw_only=True)
class ProcessRun:
    """Execution of a process from its start to its exit.

    Parameters
    ----------
    started_s : float
        Time of the start on the monotonic clock.
    stop_requested_s : float, optional
        Time at which SIGTERM was sent; None if it was not sent.
    was_killed_or_paused : bool
        A fault has killed or paused the process.
    """

    process: subprocess.Popen[bytes]
    started_s: float = field(default_factory=time.monotonic)
    stop_requested_s: float | None = None
    was_killed_or_paused: bool = False


@dataclass(slots=True, kw_only=True)
class Node:
    """Process with its address, folder and log, kept across restarts.

    Parameters
    ----------
    name : str
        Name of the node, such as ``'edge-1'``.
    role : str
        ``'control'`` or ``'edge'``, the module in `jackdawpost.platform`.
    host : str
        Loopback address.
    folder : Path
        Folder of the settings file, the data and the log.
    log_file : file object
        Standard output and error of the process.
    is_first_start : bool
        False once the data were deleted; setting ``bootstrap``.
    runs : list of ProcessRun
        Executions of the process, the last one at the end.
    """

    name: str
    role: str
    host: str
    folder: Path
    log_file: IO[bytes]
    is_first_start: bool = True
    runs: list[ProcessRun] = field(default_factory=list)

    @property
    def current_run(self) -> ProcessRun | None:
        """Current execution; None if the process is not running."""
        if self.runs and self.runs[-1].process.poll() is None:
            return self.runs[-1]
        return None


class Cluster:
    """Starts, signals and kills the processes of one deployment only.

    Parameters
    ----------
    network : str
        First three parts of the loopback addresses, such as ``'127.30.1'``.
    folder : Path
        Parent of the folders of the processes.
    cloud_api_address : str
        Address of the platform's HTTP API as IP:PORT.
    """

    def __init__(
        self, network: str, folder: Path, cloud_api_address: str
    ) -> None:
        self.cloud_api_address = cloud_api_address
        self.controls = self._create_nodes(
            'control', CONTROL_COUNT, network, folder
        )
        self.edges = self._create_nodes('edge', EDGE_COUNT, network, folder)

    def _create_nodes(
        self, role: str, count: int, network: str, folder: Path
    ) -> list[Node]:
        nodes = []
        for index in range(count):
            name = f'{role}-{index + 1}'
            node_folder = folder / name
            node_folder.mkdir(parents=True)
            nodes.append(
                Node(
                    name=name,
                    role=role,
                    host=f'{network}.{_HOST_OFFSETS[role] + index}',
                    folder=node_folder,
                    log_file=(node_folder / 'log').open('ab'),
                )
            )
        return nodes

    def start_all(self) -> None:
        """Start all processes."""
        for node in [*self.controls, *self.edges]:
            self.start(node)

    def start(self, node: Node) -> None:
        """Start a process if it is not running."""
        if node.current_run is not None:
            return
        settings = self.write_settings(node)
        process = subprocess.Popen(
            [sys.executable, '-m', f'jackdawpost.platform.{node.role}'],
            cwd=ROOT,
            env={**os.environ, 'JACKDAWPOST_SETTINGS': str(settings)},
            stdout=node.log_file,
            stderr=subprocess.STDOUT,
        )
        node.runs.append(ProcessRun(process=process))

    def write_settings(self, node: Node) -> Path:
        """Write the settings file of a process and return its path."""
        seeds = ', '.join(
            f'"{control.host}:{CONTROL_PORT}"' for control in self.controls
        )
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
address = "{self.cloud_api_address}"
[faultTolerance]
machines = 1
[bounds]
graceS = {SHUTDOWN_GRACE_S:g}
'''
        path = node.folder / 'settings.toml'
        path.write_text(text)
        return path

    def reload(self, node: Node) -> None:
        """Rewrite the settings file and send SIGHUP to the process."""
        self.write_settings(node)
        self._signal(node, signal.SIGHUP)

    def stop(self, node: Node) -> None:
        """Send SIGTERM to a process, once per run."""
        process_run = node.current_run
        if process_run is not None and process_run.stop_requested_s is None:
            process_run.stop_requested_s = time.monotonic()
            self._signal(node, signal.SIGTERM)

    def kill(self, node: Node) -> None:
        """Kill a process with SIGKILL and wait for its exit."""
        process_run = node.current_run
        if process_run is not None:
            process_run.was_killed_or_paused = True
            process_run.process.kill()
            process_run.process.wait()

    def wipe(self, node: Node) -> None:
        """Kill a process and delete its data folder."""
        self.kill(node)
        shutil.rmtree(node.folder / 'data', ignore_errors=True)
        node.is_first_start = False

    def pause(self, node: Node) -> None:
        """Suspend a process with SIGSTOP."""
        if node.current_run is not None:
            node.current_run.was_killed_or_paused = True
            self._signal(node, signal.SIGSTOP)

    def resume(self, node: Node) -> None:
        """Resume a suspended process with SIGCONT."""
        self._signal(node, signal.SIGCONT)

    def _signal(self, node: Node, signal_number: int) -> None:
        process_run = node.current_run
        if process_run is not None:
            process_run.process.send_signal(signal_number)

    def close(self) -> None:
        """Kill all processes and close their log files."""
        for node in [*self.controls, *self.edges]:
            self.kill(node)
            node.log_file.close()
