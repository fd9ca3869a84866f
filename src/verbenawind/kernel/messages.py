"""Typed messages about requests, backend servers and orders that pass between the parts."""

from collections.abc import Mapping
from enum import StrEnum

import msgspec

__all__ = [
    "BackendKind",
    "BackendServer",
    "CacheEvents",
    "EngineEvent",
    "EngineOrder",
    "EngineStatus",
    "GenerateRequest",
    "GenerationAttempt",
    "GenerationEnded",
    "HostEntry",
    "HostRole",
    "HostState",
    "Location",
    "ModelStatus",
    "OrderKind",
    "ScoringRequest",
    "ScoringResponse",
    "ServiceRequest",
    "ServiceResponse",
    "SwapState",
    "TokensGenerated",
    "VersionSpan",
    "WeightManifest",
    "WorkKind",
]


class Value(msgspec.Struct, frozen=True, kw_only=True):
    """The base of immutable messages; they convert to and from built-in types by msgspec."""


class WorkKind(StrEnum):
    """Whose work a request is; the queue gives applications their reserve."""

    APPLICATION = "application"
    ROLLOUT = "rollout"


class BackendKind(StrEnum):
    """What kind of backend server a host runs."""

    ENGINE = "engine"
    SERVICE = "service"
    SCORING = "scoring"


class HostRole(StrEnum):
    """What the platform's host list says a host is for."""

    DAEMON = "daemon"
    ENGINE = "engine"
    SERVICE = "service"
    SCORING = "scoring"


class HostState(StrEnum):
    """Whether the platform keeps a host or is about to take it away."""

    LIVE = "live"
    LEAVING = "leaving"


class SwapState(StrEnum):
    """Where an engine stands in a change of one model's weights."""

    IDLE = "idle"
    STAGING = "staging"
    SWAPPING = "swapping"
    FAILED = "failed"


class OrderKind(StrEnum):
    """What an order asks of an engine; each is declarative and monotonic."""

    STAGE = "stage"
    ACTIVATE = "activate"


class Location(Value, frozen=True, kw_only=True):
    """The availability zone and region of a host."""

    zone: str
    region: str


class HostEntry(Value, frozen=True, kw_only=True):
    """One host in the platform's lagging list.

    ``group`` is the pool of an engine or the name of a service; ``address`` is ``IP:port``.
    """

    host_id: str
    role: HostRole
    group: str
    address: str
    location: Location
    state: HostState = HostState.LIVE
    incarnation: int = 1


class BackendServer(Value, frozen=True, kw_only=True):
    """A backend server as routing sees it."""

    server_id: str
    kind: BackendKind
    group: str
    address: str
    location: Location
    incarnation: int = 1


class ModelStatus(Value, frozen=True, kw_only=True):
    """The weights of one model (or adapter) on one engine.

    ``active_version`` is None while the engine cannot name a definite version.
    """

    model: str
    active_version: int | None
    staged_versions: tuple[int, ...] = ()
    swap_state: SwapState = SwapState.IDLE


class EngineStatus(Value, frozen=True, kw_only=True):
    """What an engine reports of itself; the load figures lag."""

    server_id: str
    incarnation: int
    models: tuple[ModelStatus, ...]
    running: int
    waiting: int
    max_running: int
    leaving: bool = False
    fencing_number: int = 0

    def model(self, name: str) -> ModelStatus | None:
        """Return the status of the model called *name*, if the engine serves it."""
        return next((status for status in self.models if status.model == name), None)


class VersionSpan(Value, frozen=True, kw_only=True):
    """The half-open range of token indexes that one weight version produced."""

    version: int
    start: int
    end: int


class GenerateRequest(Value, frozen=True, kw_only=True):
    """One generation that a caller or a step asks for.

    ``deadline_s`` is on the daemon's monotonic clock. ``min_version`` is the oldest weight
    version that may serve it, None when any may. ``environment`` is ``name/stage``.
    ``reconnect`` says that the caller sent the request before and wants the rest of its answer.
    ``resumable`` says that a sample that comes again under its id is the same draw, whose tokens
    still count; ``move`` that it shall leave the engine that it ran on.
    """

    request_id: str
    environment: str
    caller: str
    kind: WorkKind
    model: str
    pool: str
    prompt: str
    max_tokens: int
    seed: int
    deadline_s: float
    temperature: float = 1.0
    priority: int = 0
    min_version: int | None = None
    expected_tokens: int = 0
    reconnect: bool = False
    resumable: bool = False
    move: bool = False


class GenerationAttempt(Value, frozen=True, kw_only=True):
    """One hand-over of a request to one engine; ``held_token_ids`` were produced before."""

    attempt_id: str
    request_id: str
    model: str
    prompt: str
    max_tokens: int
    seed: int
    temperature: float = 1.0
    held_token_ids: tuple[int, ...] = ()


class TokensGenerated(Value, frozen=True, kw_only=True):
    """A stretch of tokens from one weight version, starting at token index ``start``."""

    attempt_id: str
    start: int
    token_ids: tuple[int, ...]
    text: str
    version: int | None


class GenerationEnded(Value, frozen=True, kw_only=True):
    """The end mark of a generation; ``token_count`` includes held tokens."""

    attempt_id: str
    token_count: int
    finish_reason: str


EngineEvent = TokensGenerated | GenerationEnded


class EngineOrder(Value, frozen=True, kw_only=True):
    """An order to an engine: bring ``model`` to at least ``version``.

    ``timeout_s`` bounds the order on the engine too; ``weights_uri`` names the weights.
    """

    order_id: str
    kind: OrderKind
    model: str
    version: int
    fencing_number: int
    weights_uri: str
    timeout_s: float
    drain_first: bool = False


class CacheEvents(Value, frozen=True, kw_only=True):
    """Prefix-cache events of an engine after a position; they come late and with gaps."""

    position: int
    added_prefix_hashes: tuple[int, ...] = ()
    removed_prefix_hashes: tuple[int, ...] = ()
    gap: bool = False


class ServiceRequest(Value, frozen=True, kw_only=True):
    """A call to a plain service."""

    request_id: str
    environment: str
    caller: str
    service: str
    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    deadline_s: float
    idempotent: bool
    idempotency_key: str | None = None
    priority: int = 0


class ServiceResponse(Value, frozen=True, kw_only=True):
    """The whole answer of a plain service."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class ScoringRequest(Value, frozen=True, kw_only=True):
    """Asks a scoring service to grade one sample."""

    sample_id: str
    prompt: str
    text: str


class ScoringResponse(Value, frozen=True, kw_only=True):
    """The grade of one sample."""

    sample_id: str
    value: float


class WeightManifest(Value, frozen=True, kw_only=True):
    """What the weight store says of one version."""

    model: str
    version: int
    size_bytes: int
    uri: str
