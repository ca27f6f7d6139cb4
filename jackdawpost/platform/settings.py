"""Settings file that the platform writes for each process, in TOML.

The aliases are the keys of the file.
"""

from __future__ import annotations

import os
import tomllib
from typing import Annotated
from typing import Any

from pydantic import AfterValidator
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError
from pydantic.alias_generators import to_camel

from jackdawpost.errors import ConfigError
from jackdawpost.settings.loader import to_config_error
from jackdawpost.settings.models import IntakeSettings

SETTINGS_VARIABLE = 'JACKDAWPOST_SETTINGS'


class _Table(BaseModel):
    # The platform may add keys at any time, so unknown ones are ignored.
    model_config = ConfigDict(extra='ignore', frozen=True)


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(':')
    if not host or not port.isdecimal():
        raise ValueError('expected IP:PORT')
    return value


AddressText = Annotated[str, AfterValidator(_check_address)]


class BindAddresses(_Table):
    """Addresses to listen on; which ones are set depends on the role."""

    frontend: AddressText | None = None
    readiness: AddressText | None = None
    control: AddressText | None = None


class FaultTolerance(_Table):
    """Number of machines that may fail at the same time."""

    machines: int = Field(default=1, ge=0)


class Bounds(_Table):
    """Time limits that the platform sets for the processes."""

    drain_ms: float = Field(default=7_000, gt=0, alias='drainMs')
    grace_s: float = Field(default=6, gt=0, alias='graceS')
    # Whether the platform and the databases refuse a replaced primary and an
    # outdated fencing token by themselves.
    has_fencing: bool = Field(default=False, alias='requireFencing')
    # Sliding window of the rate limits of tenants, and by how much operations
    # may exceed them: a share, and a number besides.
    quota_window_s: float = Field(default=5, gt=0, alias='quotaWindowS')
    quota_overage: float = Field(default=0.1, ge=0, alias='quotaOverage')
    quota_slack: float = Field(default=20, ge=0, alias='quotaSlack')


class Limits(IntakeSettings):
    """Limits of the machine, and on what clients make a process hold."""

    model_config = ConfigDict(extra='ignore', alias_generator=to_camel)

    memory_limit_mb: int | None = Field(default=None, ge=1, alias='memoryMb')
    max_sessions_per_tenant: int = Field(default=8_192, ge=1)


class PlatformApi(_Table):
    """Address of the platform's own API, which promotes databases."""

    address: AddressText


class PlatformSettings(_Table):
    """Settings of one process.

    Parameters
    ----------
    node : str
        Name of this process.
    zone, region : str
        Data centre of this process, and the region that contains it.
    internal_ports : tuple of int
        First and last port of the range for use between processes.
    seeds : list of str
        Addresses of control processes to connect to first, as IP:PORT.
    is_first_start : bool
        True at the first start of the whole system, when nothing is stored.
    zones : dict of str to str
        Region of each data centre.
    """

    node: str = Field(alias='nodeName', min_length=1)
    ip: str
    zone: str
    region: str
    internal_ports: tuple[int, int] = Field(alias='internalPorts')
    seeds: list[AddressText]
    is_first_start: bool = Field(default=False, alias='bootstrap')
    data_dir: str | None = Field(default=None, alias='dataDir')
    zones: dict[str, str] = Field(default_factory=dict)
    bind: BindAddresses = Field(alias='bindAddresses')
    tolerates: FaultTolerance = Field(
        default_factory=FaultTolerance, alias='faultTolerance'
    )
    bounds: Bounds = Field(default_factory=Bounds)
    limits: Limits = Field(default_factory=Limits)
    api: PlatformApi | None = Field(default=None, alias='cloudApi')


def settings_path() -> str:
    """Return the path of the settings file, from the environment.

    Raises
    ------
    ConfigError
        The environment variable is missing or empty.
    """
    path = os.environ.get(SETTINGS_VARIABLE, '')
    if not path:
        raise ConfigError(
            SETTINGS_VARIABLE, '', path, 'expected the path of a settings file'
        )
    return path


def load_platform_settings(path: str) -> PlatformSettings:
    """Read and validate the settings file.

    Raises
    ------
    ConfigError
        The file is not readable TOML, or values are invalid. The error names
        all invalid values.
    """
    try:
        with open(path, 'rb') as file:
            value: dict[str, Any] = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise ConfigError(
            path, '', str(exc), 'expected a readable TOML file'
        ) from exc
    try:
        return PlatformSettings.model_validate(value)
    except ValidationError as exc:
        raise to_config_error(path, exc) from exc


def split_address(address: str) -> tuple[str, int]:
    """Split an address of the form IP:PORT into host and port."""
    host, _, port = address.rpartition(':')
    return host, int(port)
