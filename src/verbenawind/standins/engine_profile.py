"""The behaviour of a stand-in engine: token function, output lengths, speed, limits and faults."""

import math
import zlib
from random import Random

__all__ = ["LONG_MARKER", "EngineFaults", "EngineProfile", "expected_token", "natural_length"]

LONG_MARKER = "[long]"
_LONG_OUTPUT_FACTOR = 4
_VOCABULARY_SIZE = 50_000


def expected_token(model: str, version: int, prompt: str, seed: int, index: int) -> int:
    """Return the token that *version* generates at *index*; tests verify version labels with it."""
    return zlib.crc32(f"{model}|{version}|{prompt}|{seed}|{index}".encode()) % _VOCABULARY_SIZE


def natural_length(prompt: str, seed: int, median_tokens: int = 48, sigma: float = 0.8) -> int:
    """Return the log-normal length at which a generation stops by itself, in tokens.

    Prompts that contain LONG_MARKER have longer outputs.
    """
    if LONG_MARKER in prompt:
        median_tokens *= _LONG_OUTPUT_FACTOR
    normal = Random(f"{prompt}|{seed}").gauss(0.0, sigma)
    return max(1, round(median_tokens * math.exp(normal)))


class EngineProfile:
    """The speed and limits of a stand-in engine.

    Args:
        max_running: Maximum number of requests in the batch.
        tick_s: Duration of one batch step, in seconds.
        tokens_per_tick: Tokens generated for each running request in one batch step.
        prefill_tokens_per_s: Prefill rate; uncached prompt characters count as tokens.
        prefix_blocks: Capacity of the prefix cache, in blocks.
        load_lag_s: Delay of the reported load, in seconds.
        event_lag_s: Delay of cache events, in seconds.
    """

    __slots__ = (
        "event_lag_s",
        "load_lag_s",
        "max_running",
        "prefill_tokens_per_s",
        "prefix_blocks",
        "tick_s",
        "tokens_per_tick",
    )

    def __init__(
        self,
        *,
        max_running: int = 16,
        tick_s: float = 0.02,
        tokens_per_tick: int = 2,
        prefill_tokens_per_s: float = 40_000.0,
        prefix_blocks: int = 4096,
        load_lag_s: float = 0.5,
        event_lag_s: float = 1.0,
    ) -> None:
        self.max_running = max_running
        self.tick_s = tick_s
        self.tokens_per_tick = tokens_per_tick
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.prefix_blocks = prefix_blocks
        self.load_lag_s = load_lag_s
        self.event_lag_s = event_lag_s


class EngineFaults:
    """Faults to inject into a stand-in engine.

    ``stalled`` stops the batch from progressing; ``unreachable`` refuses connections;
    ``drop_end_marker`` ends streams without an end marker; ``fail_next_swaps`` is the number of
    activations that fail midway; ``version_report_lag_s`` is the time after a swap for which the
    status still reports the previous version; ``event_gap_rate`` is the fraction of cache events
    that are lost.
    """

    __slots__ = (
        "drop_end_marker",
        "event_gap_rate",
        "fail_next_swaps",
        "stalled",
        "unreachable",
        "version_report_lag_s",
    )

    def __init__(self) -> None:
        self.stalled = False
        self.unreachable = False
        self.drop_end_marker = False
        self.fail_next_swaps = 0
        self.version_report_lag_s = 0.0
        self.event_gap_rate = 0.1
