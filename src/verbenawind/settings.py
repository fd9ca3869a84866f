"""The daemon's settings file, JSON with comments, one for each host."""

import ipaddress
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from verbenawind.document.loading import conversion_faults, parse_jsonc
from verbenawind.errors import SettingsInvalid

__all__ = ["DaemonSettings", "LimitSettings", "load_settings", "parse_settings"]

Address = Annotated[str, Meta(min_length=1)]
Url = Annotated[str, Meta(pattern=r"^http://[0-9a-fA-F.:\[\]]+(/.*)?$")]
DaemonId = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
NonEmpty = Annotated[str, Meta(min_length=1)]
NonNegativeFloat = Annotated[float, Meta(ge=0.0)]
PeerKey = Annotated[str, Meta(min_length=16)]
PositiveInt = Annotated[int, Meta(ge=1)]
PositiveFloat = Annotated[float, Meta(gt=0.0)]
Sha256 = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]

_MAX_PORT = 65_535


class _Settings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of the sections of the settings; unknown fields are errors."""


class LimitSettings(_Settings, frozen=True, kw_only=True):
    """Limits on requests and connections."""

    max_body_bytes: Annotated[
        PositiveInt, Meta(description="Maximum size of a request body, in bytes.")
    ] = (16 * 1024 * 1024)
    max_header_bytes: Annotated[
        PositiveInt, Meta(description="Maximum size of a request's headers, in bytes.")
    ] = (16 * 1024)
    max_connections: Annotated[
        PositiveInt,
        Meta(description="Maximum number of open connections of callers and operators."),
    ] = 4096
    max_requests_in_flight: Annotated[
        PositiveInt, Meta(description="Maximum number of requests in flight.")
    ] = 2048
    max_queued_requests: Annotated[
        PositiveInt, Meta(description="Maximum number of requests queued for a pool or service.")
    ] = 20_000
    max_explained_requests: Annotated[
        PositiveInt,
        Meta(description="Number of recent requests whose decisions are kept for explain."),
    ] = 8192
    max_tokens_per_generation: Annotated[
        PositiveInt, Meta(description="Maximum number of tokens that a generation may request.")
    ] = 131_072
    max_grades_per_request: Annotated[
        PositiveInt, Meta(description="Maximum number of grades in a request.")
    ] = 8192
    max_deadline_s: Annotated[
        PositiveFloat, Meta(description="Longer deadlines are reduced to this, in seconds.")
    ] = 3600.0
    max_poll_wait_s: Annotated[
        PositiveFloat, Meta(description="Maximum wait of a long poll, in seconds.")
    ] = 60.0
    header_timeout_s: Annotated[
        PositiveFloat, Meta(description="Time limit for receiving a request head, in seconds.")
    ] = 10.0
    write_timeout_s: Annotated[
        PositiveFloat,
        Meta(
            description="A connection closes if its caller reads nothing for this long, in seconds."
        ),
    ] = 30.0
    body_timeout_s: Annotated[
        PositiveFloat, Meta(description="Time limit for receiving a request body, in seconds.")
    ] = 20.0


class DaemonSettings(_Settings, frozen=True, kw_only=True):
    """The settings of one daemon, read before it contacts the platform and its peers."""

    daemon_id: Annotated[
        DaemonId, Meta(description="Name of the daemon, unique among all daemons.")
    ]
    zone: Annotated[NonEmpty, Meta(description="Availability zone of the daemon.")]
    region: Annotated[NonEmpty, Meta(description="Region of the daemon.")]
    listen: Annotated[
        Address,
        Meta(description="IP address and port of the HTTP interface; port 0 means any free port."),
    ]
    peer_listen: Annotated[
        Address, Meta(description="IP address and port for links between daemons.")
    ]
    peer_key: Annotated[
        PeerKey,
        Meta(description="Shared key with which daemons authenticate; the same on all of them."),
    ]
    platform_url: Annotated[
        Url,
        Meta(description="URL of the platform's table, object store, weight store and host list."),
    ]
    operator_token_sha256: Annotated[
        Sha256, Meta(description="SHA-256 digest of the operators' token, in hexadecimal.")
    ]
    peer_seeds: Annotated[
        tuple[Address, ...],
        Meta(description="Addresses of some other daemons, used to join the group of daemons."),
    ] = ()
    log_level: Annotated[
        Literal["debug", "info", "warning", "error"],
        Meta(description="Minimum level of log lines."),
    ] = "info"
    unready_grace_s: Annotated[
        NonNegativeFloat,
        Meta(description="How long the daemon still accepts work once unready, in seconds."),
    ] = 1.0
    trace_file: Annotated[
        str, Meta(description="File in which requests are recorded; empty for none.")
    ] = ""
    limits: Annotated[LimitSettings, Meta(description="Limits on requests and connections.")] = (
        LimitSettings()
    )


def load_settings(path: str) -> DaemonSettings:
    """Load and validate the settings in the file at *path*.

    Raises:
        SettingsInvalid: The file cannot be read or is invalid; all faults are listed.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsInvalid(f"settings file {path!r}: {error.strerror}") from error
    return parse_settings(text)


def parse_settings(text: str) -> DaemonSettings:
    """Parse and validate settings in JSON with comments.

    Raises:
        SettingsInvalid: The text is not JSON or is invalid; all faults are listed.
    """
    raw, faults = parse_jsonc(text)
    if raw is not None:
        faults += [*conversion_faults(raw, DaemonSettings, "$"), *_address_faults(raw)]
    if faults:
        raise SettingsInvalid("; ".join(faults))
    return msgspec.convert(raw, DaemonSettings)


def _address_faults(raw: Any) -> list[str]:
    if not isinstance(raw, dict):
        return []
    named = [(f"$.{name}", raw[name]) for name in ("listen", "peer_listen") if name in raw]
    seeds = raw.get("peer_seeds")
    if isinstance(seeds, list):
        named += [(f"$.peer_seeds[{index}]", seed) for index, seed in enumerate(seeds)]
    return [
        f"{path}: {value!r} is not an IP address with a port"
        for path, value in named
        if isinstance(value, str) and not _is_address(value)
    ]


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isdigit() and int(port) <= _MAX_PORT
