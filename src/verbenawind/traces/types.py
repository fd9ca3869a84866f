"""The events of a trace; docs/TRACES.md describes the format."""

from enum import StrEnum

import msgspec

from verbenawind.document import EnvironmentDocument

__all__ = [
    "Ask",
    "Call",
    "DocumentChange",
    "Event",
    "Fault",
    "FaultKind",
    "Header",
    "Publish",
    "Stated",
    "Step",
    "Train",
]

FORMAT = 1


class FaultKind(StrEnum):
    """What a fault does to its target."""

    CRASH_ENGINE = "crash_engine"
    FAIL_SWAPS = "fail_swaps"
    SLOW_ENGINE = "slow_engine"
    CUT_ZONE = "cut_zone"
    KILL_DAEMON = "kill_daemon"
    PAUSE_DAEMON = "pause_daemon"
    STORE_DOWN = "store_down"
    LOSE_SERVICE_ANSWER = "lose_service_answer"


class _Event(msgspec.Struct, frozen=True, kw_only=True, tag_field="event", omit_defaults=True):
    """The base of the events; ``at_s`` counts from the trace's start, in seconds."""

    at_s: float = 0.0


class Header(_Event, frozen=True, kw_only=True, tag="header"):
    """The first line: who ran what where.

    ``engines`` counts engines by pool and ``services`` hosts by plain service; they are spread
    over one availability zone in each of ``regions``, as are the daemons.
    """

    name: str
    user: str
    seed: int
    regions: tuple[str, ...]
    daemons: int
    engines: dict[str, int]
    services: dict[str, int] = {}
    format: int = FORMAT


class DocumentChange(_Event, frozen=True, kw_only=True, tag="document"):
    """A document came into force; the first one is in force from the start."""

    document: EnvironmentDocument
    daemon: int = 0


class Train(_Event, frozen=True, kw_only=True, tag="train"):
    """A trainer takes steps in a closed loop: wait for a step, train, publish a version."""

    trainer: str
    steps: int
    groups: int
    size: int
    max_tokens: int
    train_s: float


class Step(_Event, frozen=True, kw_only=True, tag="step"):
    """A trainer submitted a step; prompts are known by the digest of the whole step."""

    trainer: str
    step: int
    groups: tuple[int, ...]
    max_tokens: int
    digest: str
    seed: int = 0
    daemon: int = 0


class Publish(_Event, frozen=True, kw_only=True, tag="version"):
    """A trainer published its next version."""

    trainer: str
    daemon: int = 0


class Ask(_Event, frozen=True, kw_only=True, tag="ask"):
    """An application caller asked for a generation; ``crashes`` marks one that kills engines.

    Without ``model`` it is the document's first one.
    """

    digest: str
    max_tokens: int
    model: str = ""
    prompt_characters: int = 0
    daemon: int = 0
    crashes: bool = False


class Call(_Event, frozen=True, kw_only=True, tag="call"):
    """An application caller called a plain service; ``key`` is set on bookings."""

    service: str
    digest: str
    key: str = ""
    daemon: int = 0


class Fault(_Event, frozen=True, kw_only=True, tag="fault"):
    """Something failed, for ``duration_s`` where the kind ends by itself.

    ``target`` is the index of an engine, zone or daemon.
    """

    kind: FaultKind
    target: int = 0
    duration_s: float = 0.0


class Stated(_Event, frozen=True, kw_only=True, tag="outcome"):
    """The last line: the outcome that a replay must show, besides that every promise holds.

    ``whole_steps`` counts steps by trainer, ``answered`` the asks and calls with an answer,
    and ``most_runs`` bounds how often a booking ran, by key.
    """

    whole_steps: dict[str, int] = {}
    answered: int = 0
    most_runs: dict[str, int] = {}


Event = Header | DocumentChange | Train | Step | Publish | Ask | Call | Fault | Stated
