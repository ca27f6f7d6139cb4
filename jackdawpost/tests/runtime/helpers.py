"""Runs daemons on loopback in the process of a test."""

from __future__ import annotations

import json
import logging
import socket
from contextlib import asynccontextmanager

import trio

from jackdawpost.cli.operator_link import send_request
from jackdawpost.client import open_session
from jackdawpost.client import ProxyAddress
from jackdawpost.core.messages.operator import Apply
from jackdawpost.core.messages.operator import Operation
from jackdawpost.errors import JackdawpostError
from jackdawpost.runtime.control_shell import run_control
from jackdawpost.runtime.proxy_shell import run_proxy
from jackdawpost.settings.models import ControlSettings
from jackdawpost.settings.models import CtlSettings
from jackdawpost.settings.models import Peer
from jackdawpost.settings.models import ProxySettings
from jackdawpost_standin.process import StandinDatabase
from jackdawpost_standin.settings import StandinSettings

HOST = '127.0.0.1'
START_TIMEOUT_S = 5.0


def common_settings(name, port, tls):
    """Return the settings common to all daemons."""
    settings = {
        'name': name,
        'data_centre': 'dc-1',
        'listen': {'host': HOST, 'port': port},
    }
    if tls is not None:
        settings['tls'] = tls.model_dump()
    return settings


async def start_control(nursery, folder, tls=None, name='control-1'):
    """Start a control process and return its TCP port."""
    port = find_free_port()
    peer = {'name': name, 'host': HOST, 'port': port}
    settings = {
        **common_settings(name, port, tls),
        'peers': [peer],
        'data_dir': str(folder / f'data-{port}'),
    }
    nursery.start_soon(
        run_control, ControlSettings.model_validate_json(json.dumps(settings))
    )
    await wait_listening(port)
    return port


async def start_proxy(nursery, control_port, tls=None, **options):
    """Start a proxy and return its TCP port."""
    port = find_free_port()
    name = options.pop('name', 'proxy-1')
    record = options.pop('record', None)
    settings = {
        **common_settings(name, port, tls),
        'control': [{'name': 'control-1', 'host': HOST, 'port': control_port}],
        'proxy_id': f'id-{name}',
        **options,
    }
    nursery.start_soon(
        run_proxy,
        ProxySettings.model_validate_json(json.dumps(settings)),
        record,
    )
    await wait_listening(port)
    return port


def find_free_port():
    """Return a TCP port that was free when it was checked."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


async def wait_listening(port):
    """Wait until a TCP port accepts connections."""
    with trio.fail_after(START_TIMEOUT_S):
        while True:
            try:
                stream = await trio.open_tcp_stream(HOST, port)
            except OSError:
                await trio.sleep(0.01)
                continue
            await stream.aclose()
            return


async def start_system(
    nursery, folder, issue_tls=lambda common_name: None, record=None
):
    """Start a control process, a proxy and a group of two databases.

    Parameters
    ----------
    issue_tls : callable
        Returns the TLS settings for a common name, or None without TLS.
    record : str, optional
        Trace file of the proxy.

    Returns
    -------
    tuple of int
        TCP ports of the proxy and of the control process.
    """
    control = await start_control(
        nursery, folder, issue_tls('control.control-1')
    )
    ctl = CtlSettings(
        control=[Peer(name='control-1', host=HOST, port=control)],
        operator='ada',
        tls=issue_tls('operator.ada'),
    )
    operations = [
        Operation(action='create', type=kind, name='orders', body=body)
        for kind, body in (
            ('group', {'databases': 2}),
            ('rule', {'groups': ['orders']}),
        )
    ]
    change = Apply(
        id=1,
        change_id='first',
        base_revision=0,
        operations=operations,
        operator='ada',
    )
    assert (await send_request(ctl, change)).status == 'accepted'
    for name in ('db-1', 'db-2'):
        settings = {
            **common_settings(name, 1, issue_tls(f'upstream.{name}')),
            'group': 'orders',
            'control': [ctl.control[0].model_dump()],
            # With few slots, transactions of one caller would starve another.
            'slots': 64,
            'connections': 200,
        }
        cfg = StandinSettings.model_validate_json(json.dumps(settings))
        await nursery.start(StandinDatabase(cfg, port=0).run)
    proxy = await start_proxy(
        nursery, control, issue_tls('proxy.proxy-1'), record=record
    )
    return proxy, control


async def create_table(session):
    """Create a table; retry until the system can serve a write."""
    with trio.fail_after(3 * START_TIMEOUT_S):
        while True:
            try:
                return await session.write(
                    'orders',
                    'create table if not exists t (x)',
                    request_key='create',
                )
            except JackdawpostError:
                await trio.sleep(0.05)


async def wait_for_first_write(port):
    """Wait until the system behind a proxy can serve a write."""
    async with open_session([ProxyAddress(HOST, port)]) as session:
        await create_table(session)


class LogCapture(logging.Handler):
    """Logging handler that stores all records."""

    def __init__(self):
        super().__init__(logging.DEBUG)
        self.records = []

    def emit(self, record):
        """Store a record."""
        self.records.append(record)

    async def wait(self, event, text=''):
        """Wait for a record with this event and text; return it."""
        with trio.fail_after(START_TIMEOUT_S):
            while True:
                for record in self.records:
                    if record.getMessage() == event and text in str(
                        record.__dict__
                    ):
                        return record
                await trio.sleep(0.01)


@asynccontextmanager
async def daemons():
    """Yield a nursery for daemons, which is cancelled on exit."""
    async with trio.open_nursery() as nursery:
        yield nursery
        nursery.cancel_scope.cancel()
