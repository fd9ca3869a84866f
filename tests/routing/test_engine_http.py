"""Tests of the stream parser of the HTTP engine adapter."""

import msgspec
import pytest

from verbenawind.errors import BackendServerFailed, StreamTruncated
from verbenawind.kernel.messages import EngineEvent, GenerationEnded, TokensGenerated
from verbenawind.plugins.engine_http import _StreamReader, chunk_payload


def line(start: int, token_ids: tuple[int, ...], version: int | None = 1) -> bytes:
    """Return one token chunk as an engine sends it."""
    event = TokensGenerated(
        attempt_id="a", start=start, token_ids=token_ids, text="x" * len(token_ids), version=version
    )
    return b"data: " + msgspec.json.encode(chunk_payload(event, "m")) + b"\n\n"


def end(count: int) -> bytes:
    """Return the chunk with the token count, followed by the end marker."""
    event = GenerationEnded(attempt_id="a", token_count=count, finish_reason="stop")
    return b"data: " + msgspec.json.encode(chunk_payload(event, "m")) + b"\n\ndata: [DONE]\n\n"


def read(reads: list[bytes]) -> list[EngineEvent]:
    """Return the events parsed from a stream that arrives in the given reads."""
    reader = _StreamReader("a", "engine e")
    events = []
    for data in reads:
        reader.feed(data)
        events += reader.take()
    return events


class TestStreamReader:
    def test_tokens_of_one_read_are_one_event(self) -> None:
        """Consecutive chunks in one read are merged into one event; the end event comes last."""
        events = read([line(0, (1, 2)) + line(2, (3,)) + end(3)])
        assert [getattr(event, "token_ids", None) for event in events] == [(1, 2, 3), None]

    def test_event_never_mixes_weight_versions(self) -> None:
        """A change of the weight version within one read starts a new event."""
        events = read([line(0, (1,)) + line(1, (2,), 2) + end(2)])
        assert [getattr(event, "version", None) for event in events] == [1, 2, None]

    def test_chunks_around_a_gap_are_not_merged(self) -> None:
        """Chunks that are not consecutive are not merged, so that the gap can be detected."""
        events = read([line(0, (1,)) + line(5, (2,))])
        assert [event.start for event in events if isinstance(event, TokensGenerated)] == [0, 5]

    def test_tokens_are_merged_until_taken(self) -> None:
        """Several reads before one ``take`` result in one event."""
        reader = _StreamReader("a", "engine e")
        reader.feed(line(0, (1,)))
        reader.feed(line(1, (2,)))
        assert [getattr(event, "token_ids", None) for event in reader.take()] == [(1, 2)]

    @pytest.mark.parametrize("size", [1, 7, 50, 1000])
    def test_any_split_of_the_bytes_reads_the_same(self, size: int) -> None:
        """The tokens and the end event do not depend on how the bytes are split into reads."""
        data = line(0, (1, 2)) + line(2, (3,)) + line(3, (4,), 2) + end(4)
        events = read([data[at : at + size] for at in range(0, len(data), size)])
        tokens = [event for event in events if isinstance(event, TokensGenerated)]
        assert [token for event in tokens for token in event.token_ids] == [1, 2, 3, 4]
        assert isinstance(events[-1], GenerationEnded) and events[-1].token_count == 4

    def test_end_marker_without_length_is_truncated(self) -> None:
        """An end marker without the token count means that the stream was truncated."""
        with pytest.raises(StreamTruncated):
            read([line(0, (1,)) + b"data: [DONE]\n\n"])

    def test_undecodable_chunk_fails(self) -> None:
        """A chunk that is not valid JSON is reported as a failure of the engine."""
        with pytest.raises(BackendServerFailed):
            read([b"data: {oops\n"])
