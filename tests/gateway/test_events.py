"""Tests of parsing event streams incrementally."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenawind.errors import BackendServerFailed
from verbenawind.gateway.events import EventReader, StreamEvent

BODY = b"id: 1\ndata: a b\n\nweights: 7\nid: 2\ndata: c\ndata: d\n\nid: 3\ndata:\n\n"


def read(pieces: list[bytes]) -> list[StreamEvent]:
    """Return the events of a body that arrives in pieces."""
    reader = EventReader("weights")
    return [event for piece in pieces for event in reader.feed(piece)]


class TestReader:
    def test_complete_body(self) -> None:
        """Ids, multi-line data and versions are parsed."""
        events = read([BODY])
        assert [(e.event_id, e.data, e.version) for e in events] == [
            (1, "a b", None),
            (2, "c\nd", 7),
            (3, "", None),
        ]
        assert b"".join(event.raw for event in events) == BODY

    @given(st.lists(st.integers(0, len(BODY)), max_size=12))
    def test_result_does_not_depend_on_chunks(self, cuts: list[int]) -> None:
        """The events do not depend on how the body is divided into chunks."""
        ends = [*sorted(cuts), len(BODY)]
        pieces = [BODY[a:b] for a, b in zip([0, *ends], ends, strict=False)]
        assert read(pieces) == read([BODY])

    def test_incomplete_event_is_pending(self) -> None:
        """An incomplete event is not returned, but reported as pending."""
        reader = EventReader("weights")
        assert reader.feed(b"id: 1\ndata: a\n") == []
        assert reader.pending
        assert len(reader.feed(b"\n")) == 1 and not reader.pending

    def test_malformed_stream_is_refused(self) -> None:
        """A malformed event raises an error."""
        for body in (
            b"nonsense\n\n",
            b"id: x\ndata: a\n\n",
            b"data: a\n\n",
            b"id: 1\ndata: \xff\n\n",
        ):
            with pytest.raises(BackendServerFailed):
                read([body])
