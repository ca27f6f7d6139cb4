"""Entry point of a control process that runs on the platform.

Converts the platform's settings into the configuration of the process, and
connects the HTTP API, the links to other control processes, the metrics and
the reload of the settings file to it.
"""

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
from jackdawpost.wire.http import serve_http
from jackdawpost.wire.sockets import PEER_KEEPALIVE_TIMEOUT_MS

# The round trip of a heartbeat between regions takes up to 24 ms.
HEARTBEAT_MS = 100
ELECTION_MIN_MS = 500
ELECTION_MAX_MS = 900
# Bounds of the election timeout until the first contact with a leader. A
# pre-vote and a vote take two trips between regions and a disk write.
FIRST_ELECTION_MIN_MS = 40
FIRST_ELECTION_MAX_MS = 150
LEASE_MS = 2_000
# Validity of write leases, where the platform does not fence. Proxies go on
# writing for this time without control, and a promotion waits for this time
# for a proxy that does not answer.
WRITE_LEASE_MS = 4_000
# A silent member is removed after this time. It limits how long a suspended or
# disconnected proxy can delay an operation that needs the approval of all
# members.
MEMBER_EXPIRY_MS = 2_500
# Databases report every one or two seconds. A crashed one may restart before
# it is removed.
UPSTREAM_EXPIRY_MS = 60_000
UPSTREAM_SILENCE_MS = 3_000
# Time for which reports of a failed upstream must persist. Proxies report an
# upstream as silent after 450 ms without an answer, and as refused right after
# a failed connection attempt; this adds the time in which the reports of most
# proxies arrive.
REFUSED_MS = 150
SILENT_MS = 150
SNAPSHOT_ENTRIES = 500
MS_PER_SECOND = 1_000
NODE_ID_FILE = 'node_id'


def build_control_spec(
    settings: PlatformSettings, data_dir: str
) -> ControlSpec:
    """Return the specification of the control process to run."""
    seeds = list(seed_hosts(settings))
    is_new_node = not os.path.exists(os.path.join(data_dir, NODE_ID_FILE))
    # A process with an empty disk takes part in forming the group only at
    # the first start of the system. Later it is a new member and waits until
    # the existing group admits it.
    may_bootstrap = settings.is_first_start or not is_new_node
    has_fencing = settings.bounds.has_fencing
    cfg = ControlConfig(
        name=settings.ip,
        peers=seeds if may_bootstrap else [],
        lease_ms=LEASE_MS if has_fencing else WRITE_LEASE_MS,
        report_ttl_ms=LEASE_MS,
        heartbeat_ms=HEARTBEAT_MS,
        election_min_ms=ELECTION_MIN_MS,
        election_max_ms=ELECTION_MAX_MS,
        first_election_min_ms=FIRST_ELECTION_MIN_MS,
        first_election_max_ms=FIRST_ELECTION_MAX_MS,
        snapshot_entries=SNAPSHOT_ENTRIES,
        member_expiry_ms=MEMBER_EXPIRY_MS,
        refused_ms=REFUSED_MS,
        silent_ms=SILENT_MS,
        delegated=True,  # the platform carries out promotions
        write_leases=not has_fencing,
        holder=settings.node,
        voter_target=2 * settings.tolerates.machines + 1,
        seeds=tuple(seeds),
        upstream_expiry_ms=UPSTREAM_EXPIRY_MS,
        upstream_silence_ms=UPSTREAM_SILENCE_MS,
        rate_window_ms=settings.bounds.quota_window_s * MS_PER_SECOND,
        rate_overage=settings.bounds.quota_overage,
        rate_slack=settings.bounds.quota_slack,
    )
    return ControlSpec(
        cfg=cfg,
        name=settings.node,
        listen=Address(host=settings.ip, port=settings.internal_ports[0]),
        data_dir=data_dir,
        seed=crc32(settings.ip.encode()),  # of the random generator
        header_settings={},
        # Accepts each peer that sends a name. Without TLS there is no
        # certificate to check.
        is_known_peer=lambda name, peer: bool(name),
        keepalive_timeout_ms=PEER_KEEPALIVE_TIMEOUT_MS,
        intake=settings.limits,
    )


def run(settings: PlatformSettings) -> int:
    """Run a control process until it is stopped."""
    if settings.bind.control is None or settings.data_dir is None:
        raise SystemExit(
            'a control process needs bindAddresses.control and dataDir in its '
            'settings'
        )
    host, port = split_address(settings.bind.control)
    promotion_address = (
        split_address(settings.api.address) if settings.api else None
    )
    api = ControlApi(settings.bind.control, port, promotion_address)
    peer_links = PeerLinks(
        'peer',
        settings.internal_ports[0],
        PEER_PATH,
        Hello(name=settings.ip),
    )
    spec = build_control_spec(settings, settings.data_dir)
    spec.effect_handlers = {
        SetPeers: peer_links.set_peers,
        Reply: api.handle_reply,
        OrderPromotion: api.order_promotion,
    }

    def attach(shell: ReducerShell) -> Callable[[], Any]:
        api.shell = shell
        peer_links.shell = shell
        return partial(
            serve_http, host, port, api.serve, shell.guard, 'control'
        )

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
    """Load the settings, run the process and return its exit code."""
    return run_program(lambda: load_platform_settings(settings_path()), run)


if __name__ == '__main__':
    raise SystemExit(main())
