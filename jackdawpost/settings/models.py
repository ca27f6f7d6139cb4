"""Models of the settings files of the proxy, control and ctl programs.

The fields are the keys of the files. Their descriptions are printed in the
settings page.
"""

from __future__ import annotations

from ipaddress import ip_address
from typing import Annotated
from typing import Literal

from pydantic import AfterValidator
from pydantic import Field
from pydantic import model_validator

from jackdawpost.settings.loader import SettingsModel

MIN_LEASE_REPORT_INTERVALS = 3
DEFAULT_MAX_STATEMENT_MS = 10_000


def _check_ip(value: str) -> str:
    ip_address(value)
    return value


Name = Annotated[str, Field(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$')]
Host = Annotated[str, AfterValidator(_check_ip)]
Port = Annotated[int, Field(ge=1, le=65_535)]
Milliseconds = Annotated[int, Field(ge=1, le=3_600_000)]


class Address(SettingsModel):
    """IP address and port of a process."""

    host: Host
    port: Port


class Peer(Address):
    """Name and address of a control process."""

    name: Name


class TlsSettings(SettingsModel):
    """Paths of PEM files: certificate and key of this process, and authority.

    The common name of the certificate is ``ROLE.NAME``, for example
    ``proxy.proxy-1``. The authority signs the certificates of all roles.
    """

    certificate: str
    key: str
    authority: str


class ProcessSettings(SettingsModel):
    """Settings that all daemons have in common."""

    name: Name
    data_centre: str = Field(min_length=1)
    listen: Address
    tls: TlsSettings | None = None
    log_level: Literal['debug', 'info', 'warning', 'error'] = 'info'
    seed: int = Field(
        default=0,
        ge=0,
        description='Seed of the random generator for jitter and random '
        'choices.',
    )


class IntakeSettings(SettingsModel):
    """Limits on what clients make a process hold."""

    memory_limit_mb: int | None = Field(
        default=None,
        ge=1,
        description='Memory of this process, in MB; by default that of the '
        'machine or container. A third of what exceeds 64 MB, at least 8 and '
        'at most 256 MB, is for data of clients that waits to be read, run or '
        'sent.',
    )
    max_fds: int | None = Field(
        default=None,
        ge=1,
        description='Open descriptors of this process; at most, and by '
        'default, the limit of the operating system. An eighth of them, at '
        'least 24 and at most 128, is not available to clients.',
    )
    max_connections_per_address: int = Field(
        default=8_192,
        ge=1,
        description='Connections from one IP address.',
    )
    start_timeout_ms: Milliseconds = Field(
        default=10_000,
        description='Time for the first message of a connection.',
    )
    message_timeout_ms: Milliseconds = Field(
        default=15_000,
        description='Time in which an incomplete message must grow by 1 KiB.',
    )
    unread_timeout_ms: Milliseconds = Field(
        default=15_000,
        description='Time in which a client must read some of its unsent '
        'answers.',
    )


class ProxySettings(ProcessSettings, IntakeSettings):
    """Settings of ``jackdawpost-proxy``."""

    control: list[Peer] = Field(min_length=1, max_length=7)
    proxy_id: Name = Field(
        description='Identity of this proxy, the same after a restart.'
    )
    replica_choice: Literal[
        'random', 'round_robin', 'two_choices', 'least_outstanding'
    ] = 'two_choices'
    probe_interval_ms: Milliseconds = 100
    probe_timeout_ms: Milliseconds = 300
    report_interval_ms: Milliseconds = 400
    upstream_open_timeout_ms: Milliseconds = 1_000
    drain_serve_ms: Milliseconds = Field(
        default=1_000,
        description='Time for which a draining proxy serves new requests.',
    )
    drain_limit_ms: Milliseconds = Field(
        default=30_000,
        description='Time after which a draining proxy rolls back open '
        'transactions.',
    )
    max_callers: int = Field(default=10_000, ge=1)
    ask_caller_certificate: bool = Field(
        default=False,
        description='With `tls`, require callers to present a certificate '
        'that the authority has signed.',
    )
    max_in_flight_per_caller: int = Field(default=64, ge=1)
    max_statement_ms: Milliseconds = Field(
        default=DEFAULT_MAX_STATEMENT_MS,
        description='Longest run time of a statement. Must be the same in '
        'all processes.',
    )
    idle_txn_ms: Milliseconds = Field(
        default=10_000,
        description='Longest time that a transaction may be idle between '
        'statements.',
    )


class ControlSettings(ProcessSettings, IntakeSettings):
    """Settings of ``jackdawpost-control``."""

    peers: list[Peer] = Field(min_length=1, max_length=7)
    data_dir: str = Field(min_length=1)
    lease_ms: Milliseconds = 1_500
    report_interval_ms: Milliseconds = 400
    clock_margin: float = Field(
        default=0.02,
        ge=0,
        le=0.5,
        description='Largest difference in clock rate between two machines, '
        'as a fraction.',
    )
    heartbeat_ms: Milliseconds = 50
    election_min_ms: Milliseconds = 300
    election_max_ms: Milliseconds = 600
    snapshot_entries: int = Field(
        default=5_000,
        ge=10,
        description='Number of applied log entries after which the log is '
        'compacted.',
    )
    member_expiry_ms: Milliseconds = 30_000
    refused_ms: Milliseconds = 200
    silent_ms: Milliseconds = 800
    max_statement_ms: Milliseconds = Field(
        default=DEFAULT_MAX_STATEMENT_MS,
        description='Longest run time of a statement. The slots of a lost '
        'proxy are granted again only after this time. Must be the same in '
        'all processes.',
    )

    @model_validator(mode='after')
    def _check_relations(self) -> ControlSettings:
        if self.name not in {peer.name for peer in self.peers}:
            raise ValueError(
                f'expected peers to include this process, named {self.name!r}'
            )
        if len(self.peers) % 2 == 0:
            raise ValueError('expected 1, 3, 5 or 7 peers')
        if (
            self.lease_ms
            < MIN_LEASE_REPORT_INTERVALS * self.report_interval_ms
        ):
            raise ValueError(
                'expected lease_ms of at least '
                f'{MIN_LEASE_REPORT_INTERVALS} times report_interval_ms'
            )
        if self.election_min_ms < 4 * self.heartbeat_ms:
            raise ValueError(
                'expected election_min_ms of at least 4 times heartbeat_ms'
            )
        if self.election_max_ms <= self.election_min_ms:
            raise ValueError('expected election_max_ms above election_min_ms')
        return self


class CtlSettings(SettingsModel):
    """Settings of ``jackdawpost-ctl``."""

    control: list[Peer] = Field(min_length=1, max_length=7)
    operator: Name
    tls: TlsSettings | None = None
    timeout_ms: Milliseconds = 5_000
