"""Settings of ``jackdawpost-standin-database``."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from jackdawpost.settings.models import Milliseconds
from jackdawpost.settings.models import Name
from jackdawpost.settings.models import Peer
from jackdawpost.settings.models import ProcessSettings

Delay = Annotated[float, Field(ge=0, le=3_600_000)]


class StandinSettings(ProcessSettings):
    """Settings of one stand-in database; all delays in milliseconds."""

    group: Name = Field(description='Database group.')
    control: list[Peer] = Field(
        default=[], description='Control processes to announce to.'
    )
    slots: int = Field(default=3, ge=1, description='Running statements.')
    connections: int = Field(default=20, ge=1, description='Open connections.')
    opening_ms: Delay = Field(
        default=0, description='Time to open a connection.'
    )
    service_ms: Delay = Field(
        default=0, description='Time that a statement holds its slot.'
    )
    latency_ms: Delay = Field(
        default=0, description='One-way latency to every peer.'
    )
    peer_latency_ms: dict[str, Delay] = Field(
        default={}, description='One-way latency to a peer, by its name.'
    )
    data_dir: str | None = Field(
        default=None, description='Folder of the log; none keeps no data.'
    )
    sync_log: bool = Field(
        default=False, description='Sync the log before answering a write.'
    )
    shipping_delay_ms: Delay = Field(
        default=0, description='Delay before a record counts as received.'
    )
    apply_lag_ms: Delay = Field(
        default=0, description='Delay before a received record is applied.'
    )
    approve: bool | list[str] = Field(
        default=True, description='Newcomers that this member approves.'
    )
    announce_interval_ms: Milliseconds = 200
    leave_delay_ms: Delay = Field(
        default=1_000,
        description='Time for which a leaving database takes new work.',
    )
    leave_quiet_ms: Delay = Field(
        default=300, description='Time without statements before the end.'
    )
    leave_limit_ms: Delay = Field(
        default=10_000, description='Longest time from SIGTERM to the end.'
    )
