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
    """Settings of one simulated database; all delays in milliseconds."""

    group: Name = Field(description='Name of the database group.')
    control: list[Peer] = Field(
        default=[], description='Control processes that receive announcements.'
    )
    slots: int = Field(
        default=3, ge=1, description='Maximum number of running statements.'
    )
    connections: int = Field(
        default=20, ge=1, description='Maximum number of open connections.'
    )
    opening_ms: Delay = Field(
        default=0, description='Simulated time to open a connection.'
    )
    service_ms: Delay = Field(
        default=0, description='Simulated execution time of a statement.'
    )
    latency_ms: Delay = Field(
        default=0, description='Simulated one-way latency to peers.'
    )
    peer_latency_ms: dict[str, Delay] = Field(
        default={}, description='One-way latency to single peers, by name.'
    )
    data_dir: str | None = Field(
        default=None,
        description='Folder of log and role; null stores nothing.',
    )
    sync_log: bool = Field(
        default=False,
        description='Sync the log to disk before a write is answered.',
    )
    shipping_delay_ms: Delay = Field(
        default=0, description='Additional one-way latency of replication.'
    )
    apply_lag_ms: Delay = Field(
        default=0, description='Delay from receiving a record to applying it.'
    )
    approve: bool | list[str] = Field(
        default=True,
        description='Newcomers to approve: all, none or a list of names.',
    )
    announce_interval_ms: Milliseconds = 200
    leave_delay_ms: Delay = Field(
        default=1_000,
        description='Time for which a leaving database accepts statements.',
    )
    leave_quiet_ms: Delay = Field(
        default=300, description='Time without statements before shutdown.'
    )
    leave_limit_ms: Delay = Field(
        default=10_000, description='Maximum time from SIGTERM to shutdown.'
    )
