"""Types of the fields that other programs write; decoders reject what is out of bounds."""

import ipaddress
from typing import Annotated

from msgspec import Meta

from verbenawind.kernel.http_syntax import parse_decimal

__all__ = [
    "Count",
    "DurationMs",
    "DurationS",
    "Identifier",
    "Int64",
    "PositiveCount",
    "is_socket_address",
]

_MAX_INT64 = 2**63 - 1
_MAX_IDENTIFIER_LENGTH = 128
_MAX_POSITIVE_COUNT = 2**31 - 1
_MAX_PORT = 65535
# A thousand years; longer times overflow the clocks' types.
_MAX_DURATION_S = 1000 * 365 * 24 * 3600

Int64 = Annotated[int, Meta(ge=-(2**63), le=_MAX_INT64)]
Count = Annotated[int, Meta(ge=0, le=_MAX_INT64)]
PositiveCount = Annotated[int, Meta(ge=1, le=_MAX_POSITIVE_COUNT)]
DurationMs = Annotated[float, Meta(ge=0, le=1000 * _MAX_DURATION_S)]
DurationS = Annotated[float, Meta(ge=0, le=_MAX_DURATION_S)]
# The id of a request, batch job or server, which travels in headers and in keys of rows.
Identifier = Annotated[
    str, Meta(pattern=r"^[\x21-\x7e]+\Z", min_length=1, max_length=_MAX_IDENTIFIER_LENGTH)
]


def is_socket_address(text: str) -> bool:
    """Return whether a text is ``IP:port`` with an IPv4 address, as the platform uses."""
    host, _, port_text = text.rpartition(":")
    port = parse_decimal(port_text)
    if port is None or not 1 <= port <= _MAX_PORT:
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
