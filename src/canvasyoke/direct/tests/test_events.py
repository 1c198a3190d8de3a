"""Server-sent events are split wherever they are cut, and none is collected without end."""

from __future__ import annotations

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from canvasyoke.direct._events import EventSplitter

_TEXT = b"id: 1\ndata: a\n\n\nid: 2\n\n\n\ndata: b"


@settings(max_examples=200, deadline=None, derandomize=True)
@given(cuts=st.lists(st.integers(0, len(_TEXT)), max_size=8).map(sorted))
def test_events_do_not_depend_on_where_they_are_cut(cuts: list[int]) -> None:
    splitter = EventSplitter()
    bounds = [0, *cuts, len(_TEXT)]
    pieces = [_TEXT[begin:end] for begin, end in itertools.pairwise(bounds)]
    events = [event for piece in pieces for event in splitter.feed(piece)]
    assert events == [b"id: 1\ndata: a\n\n", b"\nid: 2\n\n", b"\n\n"]
    assert splitter.has_partial_event


def test_an_event_without_end_is_too_large() -> None:
    """Guards against a buffer that grows for as long as bytes come."""
    splitter = EventSplitter()
    pieces = 0
    while not splitter.is_event_too_large:
        assert splitter.feed(b"a" * 64_000) == []
        pieces += 1
        assert pieces < 1_000
    assert splitter.feed(b"\n\n")
    assert not splitter.is_event_too_large
