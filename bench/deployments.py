"""Sizes of the two deployments, as the experiments model them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Deployment:
    """One deployment.

    Parameters
    ----------
    data_centres : tuple of str
        Names of the data centres.
    database : str
        Name of the database; its groups are numbered from 0.
    slots : int
        Statements that a database runs at the same time.
    connections : int
        Connections that a database accepts.
    opening_ms : float
        Time to open a connection, in milliseconds.
    latency_ms : float
        One-way latency between data centres, in milliseconds.
    """

    name: str
    data_centres: tuple[str, str, str]
    database: str
    slots: int
    connections: int
    opening_ms: float
    latency_ms: float = 1.5
    groups: int = 3
    databases_per_group: int = 3
    proxies: int = 4
    control: int = 3

    def group_names(self) -> list[str]:
        """Return the names of the database groups."""
        return [f'{self.database}-{n}' for n in range(self.groups)]


HANDFANG = Deployment(
    name='handfang',
    data_centres=('reykjavik', 'akureyri', 'egilsstadir'),
    database='spares-db',
    slots=3,
    connections=20,
    opening_ms=10,
)
CORDILLERA = Deployment(
    name='cordillera',
    data_centres=('santiago', 'antofagasta', 'concepcion'),
    database='remuneraciones',
    slots=5,
    connections=55,
    opening_ms=30,
)
DEPLOYMENTS = {item.name: item for item in (HANDFANG, CORDILLERA)}
