"""Messages between control processes other than those of consensus."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(slots=True, kw_only=True)
class Hello:
    """Introduce the process that opened the link.

    Parameters
    ----------
    name : str
        Name of the process.
    leaving : bool
        The process is shutting down.
    """

    name: str
    leaving: bool = False
    kind: Literal['hello'] = 'hello'


@dataclass(slots=True, kw_only=True)
class ControlGroup:
    """Leader and voters of the control group, sent to all connected processes.

    Parameters
    ----------
    leader : str
        Leader known to the sender.
    voters : list of str
        Voting members of the control group.
    """

    leader: str
    voters: list[str]
    kind: Literal['control_group'] = 'control_group'
