"""The daemon's settings: one file in JSON with comments for each host."""

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
    """The base of the settings' parts."""


class LimitSettings(_Settings, frozen=True, kw_only=True):
    """Limits on what a daemon takes in."""

    max_body_bytes: Annotated[
        PositiveInt, Meta(description="Size of a request body, in bytes.")
    ] = (16 * 1024 * 1024)
    max_header_bytes: Annotated[
        PositiveInt, Meta(description="Size of a request's headers, in bytes.")
    ] = (16 * 1024)
    max_connections: Annotated[
        PositiveInt, Meta(description="Connections of callers and operators at once.")
    ] = 4096
    max_requests_in_flight: Annotated[
        PositiveInt, Meta(description="Requests that are worked on at once.")
    ] = 2048
    max_queued_requests: Annotated[
        PositiveInt, Meta(description="Requests that wait for one pool or service.")
    ] = 20_000
    max_explained_requests: Annotated[
        PositiveInt, Meta(description="Requests whose decisions are kept for explain.")
    ] = 8192
    max_tokens_per_generation: Annotated[
        PositiveInt, Meta(description="Tokens that one generation may ask for.")
    ] = 131_072
    max_grades_per_request: Annotated[PositiveInt, Meta(description="Grades in one request.")] = (
        8192
    )
    max_deadline_s: Annotated[
        PositiveFloat, Meta(description="Deadlines beyond this are cut to it, in seconds.")
    ] = 3600.0
    max_poll_wait_s: Annotated[
        PositiveFloat, Meta(description="How long a poll may wait, in seconds.")
    ] = 60.0
    header_timeout_s: Annotated[
        PositiveFloat, Meta(description="Time for a request head to arrive, in seconds.")
    ] = 10.0
    write_timeout_s: Annotated[
        PositiveFloat, Meta(description="For how long a caller may read nothing, in seconds.")
    ] = 30.0
    body_timeout_s: Annotated[
        PositiveFloat, Meta(description="Time for a request body to arrive, in seconds.")
    ] = 20.0


class DaemonSettings(_Settings, frozen=True, kw_only=True):
    """What one daemon needs to know before it can ask anybody."""

    daemon_id: Annotated[DaemonId, Meta(description="The daemon's name, unique among all.")]
    zone: Annotated[NonEmpty, Meta(description="Its availability zone.")]
    region: Annotated[NonEmpty, Meta(description="Its region.")]
    listen: Annotated[
        Address, Meta(description="IP number and port of the HTTP interface; port 0 for any.")
    ]
    peer_listen: Annotated[
        Address, Meta(description="IP number and port for links between daemons.")
    ]
    peer_key: Annotated[
        PeerKey, Meta(description="The key that daemons prove to each other; the same on all.")
    ]
    platform_url: Annotated[
        Url, Meta(description="URL of the platform's table, objects, weights and host list.")
    ]
    operator_token_sha256: Annotated[
        Sha256, Meta(description="SHA-256 of the operators' token, in hexadecimal.")
    ]
    peer_seeds: Annotated[
        tuple[Address, ...], Meta(description="Addresses of some other daemons.")
    ] = ()
    log_level: Annotated[
        Literal["debug", "info", "warning", "error"],
        Meta(description="The least level of lines that are written."),
    ] = "info"
    unready_grace_s: Annotated[
        NonNegativeFloat,
        Meta(description="For how long it still takes work once unready, in seconds."),
    ] = 1.0
    trace_file: Annotated[
        str, Meta(description="File that requests are recorded into; none when empty.")
    ] = ""
    limits: Annotated[LimitSettings, Meta(description="Limits on what it takes in.")] = (
        LimitSettings()
    )


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
        f"{path}: {value!r} is no IP number with a port"
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
