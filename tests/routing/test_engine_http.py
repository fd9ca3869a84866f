"""Tests of the engine adapter's reading of streams."""

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
    """Return the length chunk and the end mark."""
    event = GenerationEnded(attempt_id="a", token_count=count, finish_reason="stop")
    return b"data: " + msgspec.json.encode(chunk_payload(event, "m")) + b"\n\ndata: [DONE]\n\n"


def read(reads: list[bytes]) -> list[EngineEvent]:
    """Return the events of a stream that arrives in the given reads."""
    reader = _StreamReader("a", "engine e")
    events = []
    for data in reads:
        reader.feed(data)
        events += reader.take()
    return events


class TestStreamReader:
    def test_tokens_of_one_read_are_one_event(self) -> None:
        """Chunks that follow each other in one read are gathered; the end mark comes last."""
        events = read([line(0, (1, 2)) + line(2, (3,)) + end(3)])
        assert [getattr(event, "token_ids", None) for event in events] == [(1, 2, 3), None]

    def test_versions_are_never_mixed(self) -> None:
        """A change of weights inside one read splits the event."""
        events = read([line(0, (1,)) + line(1, (2,), 2) + end(2)])
        assert [getattr(event, "version", None) for event in events] == [1, 2, None]

    def test_gap_is_kept_visible(self) -> None:
        """Chunks that do not follow each other stay apart, so that the gap is found."""
        events = read([line(0, (1,)) + line(5, (2,))])
        assert [event.start for event in events if isinstance(event, TokensGenerated)] == [0, 5]

    def test_tokens_gather_until_they_are_taken(self) -> None:
        """Several reads that are taken together make one event."""
        reader = _StreamReader("a", "engine e")
        reader.feed(line(0, (1,)))
        reader.feed(line(1, (2,)))
        assert [getattr(event, "token_ids", None) for event in reader.take()] == [(1, 2)]

    @pytest.mark.parametrize("size", [1, 7, 50, 1000])
    def test_any_split_of_the_bytes_reads_the_same(self, size: int) -> None:
        """However the bytes are cut into reads, the tokens and the end are the same."""
        data = line(0, (1, 2)) + line(2, (3,)) + line(3, (4,), 2) + end(4)
        events = read([data[at : at + size] for at in range(0, len(data), size)])
        tokens = [event for event in events if isinstance(event, TokensGenerated)]
        assert [token for event in tokens for token in event.token_ids] == [1, 2, 3, 4]
        assert isinstance(events[-1], GenerationEnded) and events[-1].token_count == 4

    def test_end_mark_without_length_is_truncated(self) -> None:
        """An end mark without the token count is no whole answer."""
        with pytest.raises(StreamTruncated):
            read([line(0, (1,)) + b"data: [DONE]\n\n"])

    def test_undecodable_chunk_fails(self) -> None:
        """A chunk that is no JSON is the engine's failure."""
        with pytest.raises(BackendServerFailed):
            read([b"data: {oops\n"])
