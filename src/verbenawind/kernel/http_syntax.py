"""What RFC 9110 and RFC 9112 allow in the parts of an HTTP/1.1 message."""

import re

__all__ = [
    "is_field_name",
    "is_field_value",
    "is_request_target",
    "is_visible_ascii",
    "parse_decimal",
]

# RFC 9110, 5.6.2: token.
_FIELD_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
# RFC 9110, 5.5: visible characters and obs-text, with white space only between them.
_FIELD_VALUE = re.compile(
    r"(?:[\x21-\x7e\x80-\xff](?:[\t \x21-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?)?"
)
# RFC 9112, 3.2.1: origin-form, which has no fragment.
_REQUEST_TARGET = re.compile(r"/[\x21\x22\x24-\x7e]*")
_VISIBLE_ASCII = re.compile(r"[\x21-\x7e]+")
# As many digits as a 64-bit integer holds.
_DECIMAL = re.compile(r"[0-9]{1,18}")


def is_field_name(text: str) -> bool:
    """Return whether a text may be the name of a header."""
    return _FIELD_NAME.fullmatch(text) is not None


def is_field_value(text: str) -> bool:
    """Return whether a text may be the value of a header; each character stands for one byte."""
    return _FIELD_VALUE.fullmatch(text) is not None


def is_request_target(text: str) -> bool:
    """Return whether a text may be the path and query of a request."""
    return _REQUEST_TARGET.fullmatch(text) is not None


def is_visible_ascii(text: str) -> bool:
    """Return whether a text has visible ASCII characters only, and at least one."""
    return _VISIBLE_ASCII.fullmatch(text) is not None


def parse_decimal(text: str) -> int | None:
    """Return the value of a decimal number of up to 18 digits, None for any other text."""
    return int(text) if _DECIMAL.fullmatch(text) else None
