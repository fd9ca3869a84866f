"""The settings file that the platform provides to each process."""

import os
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from verbenawind.document.loading import conversion_faults
from verbenawind.errors import SettingsInvalid
from verbenawind.kernel.messages import Location, Value
from verbenawind.kernel.wire_types import DurationMs, DurationS, PositiveCount, is_socket_address

__all__ = ["HostSettings", "load_host_settings", "parse_host_settings"]

_PATH_VARIABLE = "VERBENAWIND_SETTINGS"
_MS = 1000.0


class _Section(msgspec.Struct, frozen=True, kw_only=True, rename="kebab"):
    """A table of the settings file; unknown keys are ignored."""


class _Listen(_Section, frozen=True, kw_only=True):
    # The address that callers connect to.
    front: str
    # The address of the load balancer's readiness check.
    ready: str


class _Platform(_Section, frozen=True, kw_only=True):
    address: str
    row_bytes: PositiveCount = 65536
    blob_bytes: PositiveCount = 8 * 1024 * 1024


class _Bounds(_Section, frozen=True, kw_only=True):
    # After an order, how long no other lease holder may give orders to the same engine.
    lease_ms: DurationMs = 3000
    # How long a process has between SIGTERM and SIGKILL.
    grace_s: DurationS = 8
    # How long an engine keeps serving after it has announced that it is leaving.
    drain_ms: DurationMs = 2500
    # How long after its submission a batch job can be read.
    status_s: DurationS = 120
    # Whether engines check the fencing number of an order.
    fencing_required: bool = False


class _File(_Section, frozen=True, kw_only=True):
    node_name: str
    ip: str
    zone: str
    region: str
    internal_ports: tuple[int, int]
    listen: _Listen
    platform: _Platform
    # The region of each availability zone.
    zones: dict[str, str] = {}
    bounds: _Bounds = _Bounds()


class HostSettings(Value, frozen=True, kw_only=True):
    """The settings of one daemon, read before it contacts the platform.

    Addresses are ``IP:port``. ``region_of_zone`` gives the region of a backend server, whose
    registration names only its zone.
    """

    host_name: str
    location: Location
    callers_address: str
    ready_address: str
    peer_address: str
    metrics_address: str
    store_address: str
    max_row_bytes: int
    max_object_bytes: int
    region_of_zone: dict[str, str]
    order_gap_s: float
    stop_grace_s: float
    job_status_s: float


def load_host_settings(path: str | None = None) -> HostSettings:
    """Load and validate the settings of this process.

    Args:
        path: The settings file; by default the path in ``VERBENAWIND_SETTINGS``.

    Raises:
        SettingsInvalid: The file cannot be read or is invalid; all faults are listed.
    """
    name = path or os.environ.get(_PATH_VARIABLE, "")
    if not name:
        raise SettingsInvalid(f"no settings file given: {_PATH_VARIABLE} is not set")
    try:
        text = Path(name).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsInvalid(f"settings file {name!r}: {error.strerror}") from error
    except UnicodeError as error:
        raise SettingsInvalid(f"settings file {name!r}: {error}") from error
    return parse_host_settings(text)


def parse_host_settings(text: str) -> HostSettings:
    """Parse and validate settings in TOML.

    Raises:
        SettingsInvalid: The text is not TOML or is invalid; all faults are listed.
    """
    try:
        raw: dict[str, Any] = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise SettingsInvalid(f"settings: {error}") from error
    if faults := list(conversion_faults(raw, _File, "$", unknown_allowed=True)):
        raise SettingsInvalid("; ".join(faults))
    file = msgspec.convert(raw, _File)
    first, last = file.internal_ports
    addresses = {
        "$.listen.front": file.listen.front,
        "$.listen.ready": file.listen.ready,
        "$.platform.address": file.platform.address,
        "$.internal-ports[0]": f"{file.ip}:{first}",
        "$.internal-ports[1]": f"{file.ip}:{last}",
    }
    if faults := [
        f"{path}: {address!r} is not an IPv4 address and port"
        for path, address in addresses.items()
        if not is_socket_address(address)
    ]:
        raise SettingsInvalid("; ".join(faults))
    if last <= first:
        raise SettingsInvalid(
            f"$.internal-ports: at least two ports are needed, one for peers and one for "
            f"metrics; {first} to {last} is too few"
        )
    return HostSettings(
        host_name=file.node_name,
        location=Location(zone=file.zone, region=file.region),
        callers_address=file.listen.front,
        ready_address=file.listen.ready,
        peer_address=f"{file.ip}:{first}",
        metrics_address=f"{file.ip}:{first + 1}",
        store_address=file.platform.address,
        max_row_bytes=file.platform.row_bytes,
        max_object_bytes=file.platform.blob_bytes,
        region_of_zone=dict(file.zones) | {file.zone: file.region},
        order_gap_s=file.bounds.lease_ms / _MS,
        stop_grace_s=file.bounds.grace_s,
        job_status_s=file.bounds.status_s,
    )
