"""Messages between control processes beside those of consensus."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(slots=True, kw_only=True)
class Hello:
    """Names the process that opened the link.

    Parameters
    ----------
    leaving : bool
        The process is about to stop.
    """

    name: str
    leaving: bool = False
    kind: Literal['hello'] = 'hello'


@dataclass(slots=True, kw_only=True)
class ControlGroup:
    """Tells a process outside the control group who forms it.

    Parameters
    ----------
    leader : str
        Leader as the sender knows it.
    """

    leader: str
    voters: list[str]
    kind: Literal['control_group'] = 'control_group'
