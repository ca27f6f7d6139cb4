"""Program of a control process on the platform."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from functools import partial
from typing import Any
from zlib import crc32

import trio

from jackdawpost.core.control.reducer import ControlConfig
from jackdawpost.core.effects import OrderPromotion
from jackdawpost.core.effects import Reply
from jackdawpost.core.effects import SetPeers
from jackdawpost.core.messages.peer import Hello
from jackdawpost.platform.control_api import ControlApi
from jackdawpost.platform.http import serve_http
from jackdawpost.platform.metrics import attach_metrics
from jackdawpost.platform.program import run_program
from jackdawpost.platform.reload import seed_hosts
from jackdawpost.platform.reload import watch_settings
from jackdawpost.platform.settings import load_platform_settings
from jackdawpost.platform.settings import PlatformSettings
from jackdawpost.platform.settings import settings_path
from jackdawpost.platform.settings import split_address
from jackdawpost.runtime.control_shell import ControlSpec
from jackdawpost.runtime.control_shell import PEER_PATH
from jackdawpost.runtime.control_shell import run_control_process
from jackdawpost.runtime.peer_links import PeerLinks
from jackdawpost.runtime.shell import ReducerShell
from jackdawpost.settings.models import Address
from jackdawpost.wire.sockets import PEER_KEEPALIVE_TIMEOUT_MS

# Between regions a heartbeat takes up to 24 ms there and back.
HEARTBEAT_MS = 100
ELECTION_MIN_MS = 500
ELECTION_MAX_MS = 900
# A pre-vote and a vote take two trips between regions and a disk write.
FIRST_ELECTION_MIN_MS = 40
FIRST_ELECTION_MAX_MS = 150
LEASE_MS = 2_000
# A proxy that is frozen or cut off holds up nobody's approval for longer.
MEMBER_EXPIRY_MS = 2_500
# Databases report every second or two; a crashed one may come back.
UPSTREAM_EXPIRY_MS = 60_000
# Proxies report an upstream as silent after 450 ms without an answer, and as
# refused after an attempt to connect: this only has most of them agree.
REFUSED_MS = 150
SILENT_MS = 150
SNAPSHOT_ENTRIES = 500
NODE_ID_FILE = 'node_id'


def build_plan(settings: PlatformSettings, data_dir: str) -> ControlSpec:
    """Return how a control process is started with these settings."""
    seeds = list(seed_hosts(settings))
    is_new = not os.path.exists(os.path.join(data_dir, NODE_ID_FILE))
    # An empty disk forms the group only at the very first start; later it
    # is that of a newcomer, which the group admits.
    forms_group = settings.is_first_start or not is_new
    cfg = ControlConfig(
        name=settings.ip,
        peers=seeds if forms_group else [],
        lease_ms=LEASE_MS,
        heartbeat_ms=HEARTBEAT_MS,
        election_min_ms=ELECTION_MIN_MS,
        election_max_ms=ELECTION_MAX_MS,
        first_election_min_ms=FIRST_ELECTION_MIN_MS,
        first_election_max_ms=FIRST_ELECTION_MAX_MS,
        snapshot_entries=SNAPSHOT_ENTRIES,
        member_expiry_ms=MEMBER_EXPIRY_MS,
        refused_ms=REFUSED_MS,
        silent_ms=SILENT_MS,
        delegated=True,
        holder=settings.node,
        voter_target=2 * settings.tolerates.machines + 1,
        seeds=tuple(seeds),
        upstream_expiry_ms=UPSTREAM_EXPIRY_MS,
    )
    return ControlSpec(
        cfg=cfg,
        name=settings.node,
        listen=Address(host=settings.ip, port=settings.internal_ports[0]),
        data_dir=data_dir,
        seed=crc32(settings.ip.encode()),
        header_settings={},
        is_known_peer=lambda name, peer: bool(name),
        keepalive_timeout_ms=PEER_KEEPALIVE_TIMEOUT_MS,
    )


def run(settings: PlatformSettings) -> int:
    """Run a control process until it is stopped."""
    if settings.bind.control is None or settings.data_dir is None:
        raise SystemExit('a control process needs a control address and disk')
    host, port = split_address(settings.bind.control)
    platform = split_address(settings.api.address) if settings.api else None
    api = ControlApi(settings.bind.control, port, platform)
    peer_links = PeerLinks(
        'peer',
        settings.internal_ports[0],
        PEER_PATH,
        Hello(name=settings.ip),
    )
    spec = build_plan(settings, settings.data_dir)
    spec.effect_handlers = {
        SetPeers: peer_links.set_peers,
        Reply: api.take_reply,
        OrderPromotion: api.order_promotion,
    }

    def attach(shell: ReducerShell) -> Callable[[], Any]:
        api.shell = shell
        peer_links.shell = shell
        return partial(serve_http, host, port, api.serve)

    logging.getLogger('jackdawpost').info(
        'control settings',
        extra={
            'ip': settings.ip,
            'seeds': settings.seeds,
            'first_start': settings.is_first_start,
            'first_voters': spec.cfg.peers,
        },
    )
    return trio.run(
        run_control_process,
        spec,
        None,
        attach,
        watch_settings,
        attach_metrics(settings),
    )


def main() -> int:
    """Run the program and return its exit code."""
    return run_program(lambda: load_platform_settings(settings_path()), run)


if __name__ == '__main__':
    raise SystemExit(main())
