"""The daemon's settings: one file in JSON with comments for each host."""

import ipaddress
from pathlib import Path
from typing import Annotated, Any, Literal

import jsonc
import msgspec
from msgspec import Meta

from verbenawind.document.loading import convert_all
from verbenawind.errors import SettingsInvalid

__all__ = ["DaemonSettings", "LimitSettings", "load_settings", "parse_settings"]

Address = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
Url = Annotated[str, Meta(pattern=r"^http://[0-9a-fA-F.:\[\]]+(/.*)?$")]
PositiveInt = Annotated[int, Meta(ge=1)]
PositiveFloat = Annotated[float, Meta(gt=0.0)]
Sha256 = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]


class _Settings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The base of the settings' parts."""


class LimitSettings(_Settings, frozen=True, kw_only=True):
    """Limits on what a daemon takes in."""

    max_body_bytes: PositiveInt = 16 * 1024 * 1024
    max_header_bytes: PositiveInt = 16 * 1024
    max_connections: PositiveInt = 4096
    max_requests_in_flight: PositiveInt = 2048
    max_queued_requests: PositiveInt = 20_000
    max_explained_requests: PositiveInt = 8192
    max_tokens_per_generation: PositiveInt = 131_072
    max_grades_per_request: PositiveInt = 8192
    max_deadline_s: PositiveFloat = 3600.0
    max_poll_wait_s: PositiveFloat = 60.0
    header_timeout_s: PositiveFloat = 10.0
    body_timeout_s: PositiveFloat = 20.0


class DaemonSettings(_Settings, frozen=True, kw_only=True):
    """What one daemon needs to know before it can ask anybody."""

    daemon_id: Annotated[str, Meta(min_length=1, max_length=64)]
    zone: Annotated[str, Meta(min_length=1)]
    region: Annotated[str, Meta(min_length=1)]
    listen: Address
    peer_listen: Address
    peer_key: Annotated[str, Meta(min_length=16)]
    platform_url: Url
    operator_token_sha256: Sha256
    peer_seeds: tuple[Address, ...] = ()
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    unready_grace_s: Annotated[float, Meta(ge=0.0)] = 1.0
    trace_file: str = ""
    limits: LimitSettings = LimitSettings()


def load_settings(path: str) -> DaemonSettings:
    """Return the checked settings in the file at *path*.

    Raises:
        SettingsInvalid: The file cannot be read or has faults; all of them are listed.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsInvalid(f"settings file {path!r}: {error.strerror}") from error
    return parse_settings(text)


def parse_settings(text: str) -> DaemonSettings:
    """Return the checked settings in *text*, JSON with comments.

    Raises:
        SettingsInvalid: The text is no JSON or has faults; all of them are listed.
    """
    try:
        raw = jsonc.loads(text)
    except ValueError as error:
        raise SettingsInvalid(f"$: not JSON with comments: {error}") from error
    faults = [*convert_all(raw, DaemonSettings, "$"), *_address_faults(raw)]
    if faults:
        raise SettingsInvalid("; ".join(faults))
    return msgspec.convert(raw, DaemonSettings)


def _address_faults(raw: Any) -> list[str]:
    if not isinstance(raw, dict):
        return []
    faults = []
    for name in ("listen", "peer_listen"):
        host = str(raw.get(name, "")).rpartition(":")[0].strip("[]")
        try:
            ipaddress.ip_address(host)
        except ValueError:
            if name in raw:
                faults.append(f"$.{name}: {raw[name]!r} is no IP number with a port")
    return faults
