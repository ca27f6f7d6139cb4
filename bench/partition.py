"""Partitions on loopback: relays that go silent and the stand-ins' faults."""

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
    """Forwards TCP connections until told to fall silent.

    While silent it accepts connections and holds their bytes back. They
    arrive late when it forwards again, as TCP retransmits them after a
    partition.
    """

    def __init__(self, port: int, target_port: int) -> None:
        self.port = port
        self.target_port = target_port
        self._forwards = trio.Event()
        self._forwards.set()

    def set_partitioned(self, silent: bool) -> None:
        """Hold all bytes back, or forward them again."""
        if silent:
            self._forwards = trio.Event()
        else:
            self._forwards.set()

    async def run(self) -> None:
        """Serve until cancelled."""
        await trio.serve_tcp(self._serve, self.port, host=LOOPBACK)

    async def _serve(self, near: trio.SocketStream) -> None:
        try:
            async with (
                await trio.open_tcp_stream(LOOPBACK, self.target_port) as far,
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(self._copy, near, far)
                await self._copy(far, near)
                nursery.cancel_scope.cancel()
        except (OSError, trio.BrokenResourceError):
            return

    async def _copy(
        self, source: trio.SocketStream, sink: trio.SocketStream
    ) -> None:
        try:
            async for data in source:
                await self._forwards.wait()
                await sink.send_all(data)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await trio.aclose_forcefully(sink)


def relay_control_links(folder: Path, proxy: str) -> list[PartitionRelay]:
    """Put a relay between a proxy and each control process.

    Parameters
    ----------
    folder : Path
        Folder with the settings files; that of the proxy is changed.
    proxy : str
        Name of the proxy.
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
    """Drop the traffic of a database with the named peers only."""
    state = FaultState(isolated=peers)
    await send_fault(cluster, name, SetFaults(id=1, state=state))


async def silence_peer(
    cluster: Cluster, name: str, peer: str, purpose: str
) -> int:
    """Silence open connections of a peer; return how many there were."""
    request = SilenceConnections(id=1, peer=peer, purpose=purpose)
    done = await send_fault(cluster, name, request)
    return int(done.affected)


async def send_fault(cluster: Cluster, name: str, request: Any) -> Any:
    """Send a fault request to a database and return the answer."""
    port = cluster.programs[name].port
    async with open_link(LOOPBACK, port, FAULTS_PATH) as link:
        link.post(encode_cbor([request]))
        return _CODEC.decode(await link.receive())[0]
