"""Simulates network partitions between processes on loopback.

Relays hold back the traffic between a proxy and the control processes.
Databases drop traffic on request through their fault interface.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import trio

from bench.cluster import allocate_port
from bench.cluster import Cluster
from bench.cluster import LOOPBACK
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.link import open_link
from jackdawpost_standin.faults import FaultsDone
from jackdawpost_standin.faults import FaultState
from jackdawpost_standin.faults import SetFaults
from jackdawpost_standin.faults import SilenceConnections

CHUNK_BYTES = 1 << 16
FAULTS_PATH = '/v1/faults'

_CODEC = FrameCodec(FaultsDone)


class PartitionRelay:
    """TCP relay that can hold back all bytes to simulate a partition.

    During a partition it still accepts connections. After the partition it
    delivers the held bytes, as TCP would retransmit them.
    """

    def __init__(self, port: int, target_port: int) -> None:
        self.port = port
        self.target_port = target_port
        self._forwarding = trio.Event()
        self._forwarding.set()

    def set_partitioned(self, partitioned: bool) -> None:
        """Start or end a partition."""
        if partitioned:
            self._forwarding = trio.Event()
        else:
            self._forwarding.set()

    async def run(self) -> None:
        """Forward connections until cancelled."""
        await trio.serve_tcp(self._serve, self.port, host=LOOPBACK)

    async def _serve(self, client: trio.SocketStream) -> None:
        try:
            async with (
                await trio.open_tcp_stream(
                    LOOPBACK, self.target_port
                ) as target,
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(self._forward, client, target)
                await self._forward(target, client)
                nursery.cancel_scope.cancel()
        except (OSError, trio.BrokenResourceError):
            return

    async def _forward(
        self, source: trio.SocketStream, sink: trio.SocketStream
    ) -> None:
        try:
            async for data in source:
                await self._forwarding.wait()
                await sink.send_all(data)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await trio.aclose_forcefully(sink)


def relay_control_links(folder: Path, proxy: str) -> list[PartitionRelay]:
    """Configure a proxy to reach each control process through a relay.

    Parameters
    ----------
    folder : Path
        Folder with the settings files. The file of the proxy is changed.
    proxy : str
        Name of the proxy.

    Returns
    -------
    list of PartitionRelay
        One relay for each control process; the caller has to run them.
    """
    path = folder / f'{proxy}.json'
    settings = json.loads(path.read_text())
    relays = []
    for peer in settings['control']:
        relays.append(PartitionRelay(allocate_port(), peer['port']))
        peer['port'] = relays[-1].port
    path.write_text(json.dumps(settings))
    return relays


async def isolate_database(
    cluster: Cluster, name: str, peers: list[str]
) -> None:
    """Make a database drop all traffic with the given peers and no others."""
    state = FaultState(isolated=peers)
    await send_fault_request(cluster, name, SetFaults(id=1, state=state))


async def silence_peer(
    cluster: Cluster, name: str, peer: str, purpose: str
) -> int:
    """Silence the open connections of a peer for one purpose.

    Returns
    -------
    int
        Number of silenced connections.
    """
    request = SilenceConnections(id=1, peer=peer, purpose=purpose)
    done = await send_fault_request(cluster, name, request)
    return int(done.affected)


async def send_fault_request(cluster: Cluster, name: str, request: Any) -> Any:
    """Send a request to the fault interface of a database."""
    port = cluster.programs[name].port
    async with open_link(LOOPBACK, port, FAULTS_PATH) as link:
        link.post(encode_cbor([request]))
        return _CODEC.decode(await link.receive())[0]
