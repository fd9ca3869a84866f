"""Trace events. The file format is documented in docs/TRACES.md."""

from enum import StrEnum

import msgspec

from verbenawind.document import EnvironmentDocument

__all__ = [
    "DocumentChange",
    "Event",
    "ExpectedOutcome",
    "Fault",
    "FaultKind",
    "GenerationRequested",
    "Header",
    "ServiceCalled",
    "StepSubmitted",
    "TrainingLoop",
    "VersionPublished",
]

FORMAT = 1


class FaultKind(StrEnum):
    """The kinds of faults that a trace can inject."""

    CRASH_ENGINE = "crash_engine"
    FAIL_SWAPS = "fail_swaps"
    SLOW_ENGINE = "slow_engine"
    CUT_ZONE = "cut_zone"
    KILL_DAEMON = "kill_daemon"
    PAUSE_DAEMON = "pause_daemon"
    STORE_DOWN = "store_down"
    LOSE_SERVICE_ANSWER = "lose_service_answer"


class _Event(msgspec.Struct, frozen=True, kw_only=True, tag_field="event", omit_defaults=True):
    """Base class of events; ``at_s`` is the time since the start of the trace, in seconds."""

    at_s: float = 0.0


class Header(_Event, frozen=True, kw_only=True, tag="header"):
    """The first line: the user and the deployment on which the trace runs.

    ``engines`` is the number of engines by pool and ``services`` the number of hosts by plain
    service. Engines, hosts and daemons are distributed round-robin over ``regions``, each of which
    has one availability zone.
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
    """A document became active; the first one is active from the start."""

    document: EnvironmentDocument
    daemon: int = 0


class TrainingLoop(_Event, frozen=True, kw_only=True, tag="train"):
    """A closed-loop trainer: for each step it waits for samples, trains and publishes a version."""

    trainer: str
    steps: int
    groups: int
    size: int
    max_tokens: int
    train_s: float


class StepSubmitted(_Event, frozen=True, kw_only=True, tag="step"):
    """A trainer submitted a step; ``digest`` covers all prompt groups and replaces the prompts."""

    trainer: str
    step: int
    groups: tuple[int, ...]
    max_tokens: int
    digest: str
    seed: int = 0
    daemon: int = 0


class VersionPublished(_Event, frozen=True, kw_only=True, tag="version"):
    """A trainer published its next version."""

    trainer: str
    daemon: int = 0


class GenerationRequested(_Event, frozen=True, kw_only=True, tag="ask"):
    """An application caller requested a generation.

    ``crashes`` marks a request that crashes the engine that runs it. An empty ``model`` selects
    the first model of the document.
    """

    digest: str
    max_tokens: int
    model: str = ""
    prompt_characters: int = 0
    daemon: int = 0
    crashes: bool = False


class ServiceCalled(_Event, frozen=True, kw_only=True, tag="call"):
    """An application caller called a plain service.

    ``key`` identifies a non-idempotent call and is empty for idempotent ones.
    """

    service: str
    digest: str
    key: str = ""
    daemon: int = 0


class Fault(_Event, frozen=True, kw_only=True, tag="fault"):
    """A fault to inject; kinds that last are removed after ``duration_s``.

    ``target`` is the index of an engine, zone or daemon, depending on the kind.
    """

    kind: FaultKind
    target: int = 0
    duration_s: float = 0.0


class ExpectedOutcome(_Event, frozen=True, kw_only=True, tag="outcome"):
    """The last line: the outcome that a replay must produce, in addition to every guarantee.

    ``whole_steps`` is the number of complete steps by trainer, ``answered`` the minimum number of
    successful generation and service calls, and ``most_runs`` the maximum number of times that
    a non-idempotent call may run, by key.
    """

    whole_steps: dict[str, int] = {}
    answered: int = 0
    most_runs: dict[str, int] = {}


Event = (
    Header
    | DocumentChange
    | TrainingLoop
    | StepSubmitted
    | VersionPublished
    | GenerationRequested
    | ServiceCalled
    | Fault
    | ExpectedOutcome
)
