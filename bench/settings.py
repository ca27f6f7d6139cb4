"""Writes the settings files of a deployment.

``python -m bench.settings`` writes those under ``examples/`` anew.
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
    data: Path,
    *,
    database_settings: dict[str, Any] | None = None,
    proxy_settings: dict[str, Any] | None = None,
    control_settings: dict[str, Any] | None = None,
) -> None:
    """Write one settings file for each process, and ``ctl.json``.

    Parameters
    ----------
    deployment : Deployment
        Sizes and names.
    folder : Path
        Folder for the files.
    take_port : callable
        Returns a port for the next process.
    data : Path
        Folder under which processes with a disk keep their data.
    database_settings, proxy_settings, control_settings : dict, optional
        Settings in addition or in place of the usual ones.
    """
    peers = [
        {'name': f'control-{n}', 'host': LOOPBACK, 'port': allocate_port()}
        for n in range(deployment.control)
    ]
    for number, peer in enumerate(peers):
        settings = {
            **_common(deployment, peer['name'], peer['port'], number),
            'peers': peers,
            'data_dir': str(data / str(peer['name'])),
            **(control_settings or {}),
        }
        _write(folder, settings)
    for number in range(deployment.proxies):
        name = f'proxy-{number}'
        settings = {
            **_common(deployment, name, allocate_port(), number),
            'control': peers,
            'proxy_id': f'id-{name}',
            **(proxy_settings or {}),
        }
        _write(folder, settings)
    for group in list(deployment.groups):
        for number in range(deployment.databases_per_group):
            name = f'{group}-db-{number}'
            settings = {
                **_common(deployment, name, allocate_port(), number),
                'group': group,
                'control': peers,
                'slots': deployment.slots,
                'connections': deployment.connections,
                'opening_ms': deployment.opening_ms,
                'latency_ms': deployment.latency_ms,
                'data_dir': str(data / name),
                **(database_settings or {}),
            }
            _write(folder, settings)
    ctl = {'operator': 'operator-1', 'control': peers}
    (folder / 'ctl.json').write_text(_format(ctl))


def _common(
    deployment: Deployment, name: str, port: int, number: int
) -> dict[str, Any]:
    centres = deployment.data_centres
    return {
        'name': name,
        'data_centre': centres[number % len(centres)],
        'listen': {'host': LOOPBACK, 'port': port},
        'seed': number,
    }


def _write(folder: Path, settings: dict[str, Any]) -> None:
    path = folder / f'{settings["name"]}.json'
    path.write_text(_format(settings))


def _format(settings: dict[str, Any]) -> str:
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
