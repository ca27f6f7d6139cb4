"""Requests to control that come without a link of their own.

Operators declare the whole configuration under a version, and upstreams that
speak only the statement protocol register themselves.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from jackdawpost.core.control.commands import DeclareObject


@dataclass(slots=True, kw_only=True)
class DeclareConfig:
    """Put a whole configuration in force.

    Parameters
    ----------
    version : int
        Version that the operators gave it.
    document : bytes
        The configuration as it was received, to be read back.
    """

    version: int
    document: bytes
    objects: list[DeclareObject]


@dataclass(slots=True, kw_only=True)
class ReadConfig:
    """Read the newest configuration back."""


@dataclass(slots=True, kw_only=True)
class Registration:
    """What an upstream says of itself, regularly and on changes.

    Parameters
    ----------
    started_ms : int
        Unix time of its start in milliseconds; it tells incarnations apart.
    sequence : int
        Rises with each report of an incarnation.
    leads : bool
        It believes that it is the primary.
    """

    name: str
    group: str
    host: str
    port: int
    data_centre: str
    slots: int
    state: Literal['ready', 'draining']
    started_ms: int
    sequence: int
    leads: bool


@dataclass(slots=True, kw_only=True)
class Departure:
    """An upstream ends.

    Parameters
    ----------
    started_ms : int, optional
        Incarnation that ends; None for the present one.
    """

    name: str
    started_ms: int | None = None
