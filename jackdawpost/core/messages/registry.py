"""Requests that reach a control process over HTTP, not over a control link.

Operators declare a complete configuration under a version. Upstreams that
support only the statement protocol register themselves.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from jackdawpost.core.control.commands import DeclareObject


@dataclass(slots=True, kw_only=True)
class DeclareConfig:
    """Declare a complete configuration.

    Parameters
    ----------
    version : int
        Version that the operators gave the configuration.
    document : bytes
        Configuration as received, to be returned by `ReadConfig`.
    objects : list of DeclareObject
        Objects of the configuration.
    """

    version: int
    document: bytes
    objects: list[DeclareObject]


@dataclass(slots=True, kw_only=True)
class ReadConfig:
    """Read the newest declared configuration."""


@dataclass(slots=True, kw_only=True)
class Registration:
    """State that an upstream reports of itself, periodically and on change.

    Parameters
    ----------
    started_ms : int
        Unix time of the upstream's start in milliseconds, which identifies
        the incarnation.
    sequence : int
        Number of the report, increasing within an incarnation.
    leads : bool
        The upstream considers itself the primary.
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
    """Deregister an upstream that shuts down.

    Parameters
    ----------
    started_ms : int, optional
        Start time of the incarnation that ends; None for the current one.
    """

    name: str
    started_ms: int | None = None
