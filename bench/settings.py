"""Writes the settings files of a deployment.

``python -m bench.settings`` rewrites the files under ``examples/``.
"""

from __future__ import annotations

import itertools
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from bench.deployments import Deployment
from bench.deployments import DEPLOYMENTS

LOOPBACK = '127.0.0.1'
FIRST_PORTS = {'handfang': 7_100, 'cordillera': 7_200}


def write_settings(
    deployment: Deployment,
    folder: Path,
    allocate_port: Callable[[], int],
    data_folder: Path,
    *,
    database_settings: dict[str, Any] | None = None,
    proxy_settings: dict[str, Any] | None = None,
    control_settings: dict[str, Any] | None = None,
) -> None:
    """Write a settings file for each process, and ``ctl.json``.

    Parameters
    ----------
    deployment : Deployment
        Names of the groups and numbers of processes.
    folder : Path
        Folder for the files.
    allocate_port : callable
        Return a port for the next process.
    data_folder : Path
        Folder for the data folders of control processes and databases.
    database_settings, proxy_settings, control_settings : dict, optional
        Settings that extend or override the default ones.
    """
    peers = [
        {'name': f'control-{n}', 'host': LOOPBACK, 'port': allocate_port()}
        for n in range(deployment.control)
    ]
    for number, peer in enumerate(peers):
        settings = {
            **_common_settings(deployment, peer['name'], peer['port'], number),
            'peers': peers,
            'data_dir': str(data_folder / str(peer['name'])),
            **(control_settings or {}),
        }
        _write_file(folder, settings)
    for number in range(deployment.proxies):
        name = f'proxy-{number}'
        settings = {
            **_common_settings(deployment, name, allocate_port(), number),
            'control': peers,
            'proxy_id': f'id-{name}',
            **(proxy_settings or {}),
        }
        _write_file(folder, settings)
    for group in list(deployment.groups):
        for number in range(deployment.databases_per_group):
            name = f'{group}-db-{number}'
            settings = {
                **_common_settings(deployment, name, allocate_port(), number),
                'group': group,
                'control': peers,
                'slots': deployment.slots,
                'connections': deployment.connections,
                'opening_ms': deployment.opening_ms,
                'latency_ms': deployment.latency_ms,
                'data_dir': str(data_folder / name),
                **(database_settings or {}),
            }
            _write_file(folder, settings)
    ctl = {'operator': 'operator-1', 'control': peers}
    (folder / 'ctl.json').write_text(_format_json(ctl))


def _common_settings(
    deployment: Deployment, name: str, port: int, number: int
) -> dict[str, Any]:
    data_centres = deployment.data_centres
    return {
        'name': name,
        'data_centre': data_centres[number % len(data_centres)],
        'listen': {'host': LOOPBACK, 'port': port},
        'seed': number,
    }


def _write_file(folder: Path, settings: dict[str, Any]) -> None:
    path = folder / f'{settings["name"]}.json'
    path.write_text(_format_json(settings))


def _format_json(settings: dict[str, Any]) -> str:
    return json.dumps(settings, indent=2) + '\n'


def _write_examples() -> None:
    for deployment in DEPLOYMENTS.values():
        folder = Path('examples') / deployment.name
        folder.mkdir(parents=True, exist_ok=True)
        ports = itertools.count(FIRST_PORTS[deployment.name])
        write_settings(
            deployment,
            folder,
            ports.__next__,
            Path('run') / deployment.name,
            database_settings={'service_ms': 5, 'apply_lag_ms': 200},
        )


if __name__ == '__main__':
    _write_examples()
