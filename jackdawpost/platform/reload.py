"""Reload of the settings file, on SIGHUP or when the file has changed.

Only the seeds, the addresses of the control processes to connect to first, are
taken from the reloaded file. The process receives them as `SeedsChanged`.
"""

from __future__ import annotations

import logging
import os
import signal
from collections.abc import Callable
from functools import partial

import trio

from jackdawpost.core.events import SeedsChanged
from jackdawpost.errors import ConfigError
from jackdawpost.platform.settings import load_platform_settings
from jackdawpost.platform.settings import PlatformSettings
from jackdawpost.platform.settings import settings_path
from jackdawpost.platform.settings import split_address
from jackdawpost.runtime.shell import ReducerShell
from jackdawpost.runtime.timers import read_now_ms

LOG = logging.getLogger('jackdawpost')
POLL_INTERVAL_S = 1.0


def seed_hosts(settings: PlatformSettings) -> tuple[str, ...]:
    """Return the IP addresses of the seeds, without their ports."""
    return tuple(split_address(seed)[0] for seed in settings.seeds)


def watch_settings(shell: ReducerShell) -> Callable[[], object]:
    """Return a coroutine function that reloads the settings until cancelled.

    After each reload it dispatches the seeds to the shell of the process.
    """
    path = settings_path()

    def reload(cause: str) -> None:
        try:
            settings = load_platform_settings(path)
        except ConfigError as exc:
            # The process keeps its settings until the file is valid again.
            LOG.error('reload_refused', extra={'detail': str(exc)})
            return
        seeds = seed_hosts(settings)
        LOG.info('reloaded', extra={'cause': cause, 'seeds': list(seeds)})
        shell.dispatch(SeedsChanged(now_ms=read_now_ms(), seeds=seeds))

    return partial(_watch, path, reload)


async def _watch(path: str, reload: Callable[[str], None]) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_signal, reload)
        nursery.start_soon(_watch_file, path, reload)


async def _watch_signal(reload: Callable[[str], None]) -> None:
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            reload('signal')


async def _watch_file(path: str, reload: Callable[[str], None]) -> None:
    last_version = _read_file_version(path)
    while True:
        await trio.sleep(POLL_INTERVAL_S)
        version = _read_file_version(path)
        if version != last_version:
            last_version = version
            reload('file changed')


def _read_file_version(path: str) -> tuple[int, int] | None:
    try:
        status = os.stat(path)
    except OSError as exc:
        LOG.warning('settings_unreadable', extra={'detail': str(exc)})
        return None
    return status.st_mtime_ns, status.st_size
