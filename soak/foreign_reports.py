"""Writer of status reports that name no database to use, and odd requests.

It sends them during the whole run. None may change what the deployment does.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any

import trio

from jackdawpost.wire.http import HttpError
from jackdawpost.wire.http import send_request
from soak.cluster import CONTROL_PORT
from soak.platform_standin import call_control
from soak.platform_standin import CONTROL_CALL_TIMEOUT_S
from soak.platform_standin import DatabaseReporter

MEAN_INTERVAL_S = 0.8
FOREIGN_REQUEST = 'foreign-request'
LONG_NAME_CHARS = 800_000
LATER_START_MS = 3_600_000

# Fields that differ from those of the database at the address.
_CHANGES: list[Callable[[DatabaseReporter], dict[str, Any]]] = [
    lambda reporter: {'id': 'e-1', 'service': 'elsewhere'},
    lambda reporter: {'id': 'e-1', 'dbRole': 'primary'},
    lambda reporter: {'id': 'e-1', 'state': 'draining'},
    lambda reporter: {'address': '127.0.0.1:1', 'dbRole': 'primary'},
    lambda reporter: {'service': 'elsewhere'},
    lambda reporter: {
        'id': 'e-2',
        'service': f'{reporter.database.group.name} x '
        f'{reporter.database.name}\r\nQUERY {FOREIGN_REQUEST} WRITE 1 x',
    },
    lambda reporter: {'id': 'e-3', 'service': 'x' * LONG_NAME_CHARS},
    lambda reporter: {'id': 'e%0D%0A4'},
]


async def send_foreign_reports(
    reporters: list[DatabaseReporter], rng: random.Random
) -> None:
    """Send foreign reports and requests until cancelled."""
    while True:
        await trio.sleep(rng.expovariate(1 / MEAN_INTERVAL_S))
        reporter = rng.choice(reporters)
        change = rng.choice([*_CHANGES, None])
        if change is None:
            await _send_head(rng.choice(reporter.hosts))
            continue
        body = {
            **reporter.build_report(),
            'sequence': 1,
            'born': reporter.started_ms + rng.choice([0, LATER_START_MS]),
            **change(reporter),
        }
        path = f'/instances/{body.pop("id", reporter.database.name)}'
        hosts = rng.sample(reporter.hosts, len(reporter.hosts))
        await call_control(hosts, 'PUT', path, json.dumps(body).encode())


async def _send_head(host: str) -> None:
    try:
        await send_request(
            (host, CONTROL_PORT),
            'HEAD',
            '/config',
            [],
            b'',
            CONTROL_CALL_TIMEOUT_S,
        )
    except HttpError:
        return
