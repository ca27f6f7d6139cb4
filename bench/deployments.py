"""Sizes of the two deployments that the experiments run."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes, limits and latencies of one deployment.

    Parameters
    ----------
    data_centres : tuple of str
        Names of the data centres.
    groups : tuple of str
        Names of the database groups.
    slots : int
        Statements that a database runs concurrently.
    connections : int
        Maximum number of connections to a database.
    opening_ms : float
        Time a database takes to open a connection, in milliseconds.
    latency_ms : float
        One-way latency between data centres, in milliseconds.
    databases_per_group : int
        Number of databases in each group.
    proxies, control : int
        Numbers of proxies and of control processes.
    """

    name: str
    data_centres: tuple[str, str, str]
    groups: tuple[str, ...]
    slots: int
    connections: int
    opening_ms: float
    latency_ms: float = 1.5
    databases_per_group: int = 3
    proxies: int = 4
    control: int = 3


HANDFANG = Deployment(
    name='handfang',
    data_centres=('reykjavik', 'akureyri', 'egilsstadir'),
    groups=('orders', 'stock', 'returns'),
    slots=3,
    connections=20,
    opening_ms=10,
)
CORDILLERA = Deployment(
    name='cordillera',
    data_centres=('santiago', 'antofagasta', 'concepcion'),
    groups=('remuneraciones-1', 'remuneraciones-2', 'remuneraciones-3'),
    slots=5,
    connections=55,
    opening_ms=30,
)
DEPLOYMENTS = {item.name: item for item in (HANDFANG, CORDILLERA)}
