"""Settings of one VM, read from a YAML file and validated.

All errors of a file are reported at once. The package `configuration` has the
documents that the platform publishes for all VMs.
"""

import dataclasses
import ipaddress
import pathlib
from typing import Self

import pydantic
import pydantic_core
import yaml

from . import ids


class _StrictModel(pydantic.BaseModel):
    """An immutable model that rejects unknown keys."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Address(_StrictModel):
    """An IP address and a port."""

    host: str
    port: int = pydantic.Field(ge=1, le=65535)

    @pydantic.field_validator('host')
    @classmethod
    def _is_ip_number(cls, value: str) -> str:
        ipaddress.ip_address(value)
        return value

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


class PlatformSettings(_StrictModel):
    """Address of the platform and how its documents are watched."""

    url: str = pydantic.Field(pattern=r'^https?://')
    # Time that one watch request waits for a change, in seconds.
    watch_s: float = pydantic.Field(default=20.0, gt=0, le=30)


class Limits(_StrictModel):
    """Limits on the requests that this process holds, and timeouts."""

    max_body_bytes: int = pydantic.Field(default=16 * 1024 * 1024, gt=0)
    # Timeout for receiving the body of a request, in seconds.
    body_s: float = pydantic.Field(default=10.0, gt=0)
    max_requests: int = pydantic.Field(default=2000, gt=0)
    max_requests_per_account: int = pydantic.Field(default=1500, gt=0)
    # Total size of request bodies held at the same time, in bytes.
    held_body_bytes: int = pydantic.Field(default=64 * 1024 * 1024, gt=0)
    # Time without a read by the caller after which a request gives up its
    # engine, until the caller reads again, in seconds.
    reader_pause_s: float = pydantic.Field(default=2.0, gt=0)
    # Grace period for requests in progress at a shutdown, in seconds.
    grace_s: float = pydantic.Field(default=30.0, ge=0)

    @pydantic.model_validator(mode='after')
    def _body_limits_fit(self) -> Self:
        if self.max_body_bytes > self.held_body_bytes:
            raise ValueError(
                'max_body_bytes is larger than held_body_bytes, '
                'so a body of that size could never be accepted'
            )
        return self


class Telemetry(_StrictModel):
    """Destination of metrics, sampling of traces, and log level."""

    statsd: Address | None = None
    # Fraction of requests whose spans are logged, 0 to 1. The spans of a
    # request whose traceparent header has the sampled flag are always logged.
    trace_share: float = pydantic.Field(default=0.05, ge=0, le=1)
    log_level: str = pydantic.Field(
        default='INFO', pattern='^(DEBUG|INFO|WARNING|ERROR)$'
    )


class Settings(_StrictModel):
    """All settings of one VM."""

    vm_id: str = pydantic.Field(pattern=r'^[a-z0-9][a-z0-9-]*$')
    zone: str = pydantic.Field(min_length=1)
    region: str = pydantic.Field(min_length=1)
    # Address that callers connect to.
    callers: Address
    # Address that other entry processes connect to.
    peers: Address
    platform: PlatformSettings
    # Peers to fetch documents from at the start, and until the first list of
    # VMs is in force, in case the platform cannot be read or returns documents
    # older than those in force on the peers.
    known_peers: tuple[Address, ...] = ()
    limits: Limits = Limits()
    telemetry: Telemetry = Telemetry()
    # Name of the policy in `routing.policies` that chooses engines.
    policy: str = 'estimate'

    @pydantic.model_validator(mode='after')
    def _addresses_differ(self) -> Self:
        if self.callers == self.peers:
            raise ValueError('callers and peers have the same address')
        return self

    @property
    def typed_vm_id(self) -> ids.VmId:
        """The id of the VM."""
        return ids.VmId(self.vm_id)

    @property
    def typed_zone(self) -> ids.ZoneName:
        """The VM's availability zone."""
        return ids.ZoneName(self.zone)


@dataclasses.dataclass(frozen=True)
class SettingsError:
    """One error in a settings file."""

    path: pathlib.Path
    key: str
    reason: str

    def __str__(self) -> str:
        return f'{self.path}: {self.key}: {self.reason}'


def load_settings(path: pathlib.Path) -> Settings | list[SettingsError]:
    """Returns the settings in a file, or all errors found in it."""
    try:
        raw = yaml.safe_load(path.read_text())
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as exc:
        return [SettingsError(path, '(file)', _one_line(exc))]
    if not isinstance(raw, dict):
        return [
            SettingsError(path, '(file)', 'the top level is not a mapping')
        ]
    try:
        return Settings.model_validate(raw)
    except pydantic.ValidationError as exc:
        return [_settings_error(path, error) for error in exc.errors()]


def _settings_error(
    path: pathlib.Path, error: pydantic_core.ErrorDetails
) -> SettingsError:
    key = '.'.join(str(part) for part in error['loc']) or '(whole)'
    return SettingsError(path, key, error['msg'])


def _one_line(exc: Exception) -> str:
    return ' '.join(str(exc).split())
