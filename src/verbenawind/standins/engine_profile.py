"""How a stand-in engine behaves: its tokens, lengths, speed, limits and fault knobs."""

import math
import zlib
from random import Random

__all__ = ["LONG_MARK", "EngineFaults", "EngineProfile", "expected_token", "natural_length"]

LONG_MARK = "[long]"
_LONG_FACTOR = 4
_VOCABULARY = 50_000


def expected_token(model: str, version: int, prompt: str, seed: int, index: int) -> int:
    """Return the token that *version* produces at *index*; outsiders check labels with it."""
    return zlib.crc32(f"{model}|{version}|{prompt}|{seed}|{index}".encode()) % _VOCABULARY


def natural_length(prompt: str, seed: int, median_tokens: int = 48, sigma: float = 0.8) -> int:
    """Return the heavy-tailed length at which a generation ends by itself, in tokens.

    Prompts with LONG_MARK have longer answers.
    """
    if LONG_MARK in prompt:
        median_tokens *= _LONG_FACTOR
    normal = Random(f"{prompt}|{seed}").gauss(0.0, sigma)
    return max(1, round(median_tokens * math.exp(normal)))


class EngineProfile:
    """The speed and limits of a stand-in engine.

    Args:
        max_running: Size of the continuous batch.
        tick_s: Time of one batch step, in seconds.
        tokens_per_tick: Tokens that each running request gets in one step.
        prefill_tokens_per_s: Prompt characters read per second when no prefix is cached.
        prefix_blocks: How many prefix blocks the cache holds.
        load_lag_s: How late the reported load is, in seconds.
        event_lag_s: How late cache events appear, in seconds.
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
    """Fault knobs of a stand-in engine.

    ``stalled`` freezes the batch; ``unreachable`` refuses connections; ``drop_end_mark`` ends
    streams without their mark; ``fail_next_swaps`` makes that many activations stop halfway;
    ``version_report_lag_s`` makes the status name an old version for a while after a swap;
    ``event_gap_rate`` is the share of cache events that get lost.
    """

    __slots__ = (
        "drop_end_mark",
        "event_gap_rate",
        "fail_next_swaps",
        "stalled",
        "unreachable",
        "version_report_lag_s",
    )

    def __init__(self) -> None:
        self.stalled = False
        self.unreachable = False
        self.drop_end_mark = False
        self.fail_next_swaps = 0
        self.version_report_lag_s = 0.0
        self.event_gap_rate = 0.1
