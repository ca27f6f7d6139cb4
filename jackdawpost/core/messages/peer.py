"""First message on a link between two control processes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(slots=True, kw_only=True)
class Hello:
    """Names the process that opened the link."""

    name: str
    kind: Literal['hello'] = 'hello'
