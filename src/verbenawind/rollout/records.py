"""Rows that rollouts keep in the table service, and their keys."""

import msgspec

from verbenawind.kernel.messages import Value
from verbenawind.kernel.rollouts import DeliveredGrade, DeliveredGroup

__all__ = [
    "VERSION_ITEM",
    "LogEntry",
    "LogHead",
    "LogPayload",
    "StepRecord",
    "VersionRecord",
    "head_key",
    "log_key",
    "log_prefix",
    "step_key",
    "step_prefix",
    "version_key",
    "version_prefix",
]

VERSION_ITEM = "version"
"""Kind of the spread items that announce published versions; the body is a VersionRecord."""


class StepRecord(Value, frozen=True, kw_only=True):
    """An accepted step; its submission is the object ``object_key``."""

    step: int
    digest: str
    samples_expected: int
    object_key: str


class LogHead(Value, frozen=True, kw_only=True):
    """The last sequence number of a trainer's delivery log."""

    sequence: int


class LogEntry(Value, frozen=True, kw_only=True):
    """One entry of a trainer's delivery log; its payload is the object ``object_key``."""

    object_key: str
    groups: tuple[tuple[int, int], ...] = ()


class LogPayload(Value, frozen=True, kw_only=True):
    """What a log entry delivers."""

    groups: tuple[DeliveredGroup, ...] = ()
    grades: tuple[DeliveredGrade, ...] = ()


class VersionRecord(Value, frozen=True, kw_only=True):
    """The newest published version of a model; ``published_at_s`` is a Unix time in seconds."""

    model: str
    version: int
    weights_uri: str
    published_at_s: float = 0.0


def step_prefix(environment: str, trainer: str) -> str:
    """Return the prefix of a trainer's step rows."""
    return f"rollout/{environment}/{trainer}/step/"


def step_key(environment: str, trainer: str, step: int) -> str:
    """Return the key of a step row."""
    return f"{step_prefix(environment, trainer)}{step:012}"


def head_key(environment: str, trainer: str) -> str:
    """Return the key of a delivery log's head row."""
    return f"rollout/{environment}/{trainer}/head"


def log_prefix(environment: str, trainer: str) -> str:
    """Return the prefix of a delivery log's rows."""
    return f"rollout/{environment}/{trainer}/log/"


def log_key(environment: str, trainer: str, sequence: int) -> str:
    """Return the key of a delivery log's row."""
    return f"{log_prefix(environment, trainer)}{sequence:012}"


def version_prefix(environment: str) -> str:
    """Return the prefix of an environment's newest-version rows."""
    return f"version/{environment}/"


def version_key(environment: str, model: str) -> str:
    """Return the key of a model's newest-version row."""
    return f"{version_prefix(environment)}{model}"


def decode_log_head(value: bytes) -> LogHead:
    """Return the log head in a row's value."""
    return msgspec.json.decode(value, type=LogHead)
