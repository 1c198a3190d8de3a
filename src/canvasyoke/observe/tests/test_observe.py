import io
import json
import threading
from collections.abc import Iterator

import logbook
import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.observe import LineWriter, Metrics, configure_logging, part_logger
from canvasyoke.state import LogSettings


@pytest.fixture
def stream() -> Iterator[io.StringIO]:
    yield io.StringIO()
    logbook.Handler.stack_manager.pop_application()


def test_text_format(stream: io.StringIO) -> None:
    configure_logging(LogSettings(), "e-1", stream)
    log = part_logger("link")
    log.info("peer is up", peer="ink-1")
    log.debug("not at this level")
    (line,) = stream.getvalue().splitlines()
    assert line.endswith("INFO link: peer is up peer=ink-1")


def test_json_format(stream: io.StringIO) -> None:
    configure_logging(LogSettings(format="json", level="debug"), "e-1", stream)
    part_logger("desk").debug("refused", request_id="r-1", why=ValueError("x"))
    line = json.loads(stream.getvalue())
    assert line["part"] == "desk"
    assert (line["instance"], line["request_id"], line["why"]) == ("e-1", "r-1", "x")


def test_metrics_text_format() -> None:
    metrics = Metrics()
    counter = metrics.counter("c_total", "Counts.", "kind")
    timer = metrics.timer("t_seconds", "Times.")
    metrics.gauge("g", "Now.", lambda: 2)
    counter.add('a"b', 3)
    for duration in range(1, 101):
        timer.record(duration)
    lines = metrics.render().splitlines()
    assert 'c_total{kind="a\\"b"} 3' in lines
    assert "g 2" in lines
    assert "t_seconds_count 100" in lines
    assert timer.quantile(0.5) == pytest.approx(50, rel=0.02)
    assert timer.quantile(0.99) == pytest.approx(99, rel=0.02)


def test_excess_label_values_are_counted_as_other() -> None:
    counter = Metrics().counter("c_total", "Counts.", "kind")
    for number in range(1_000):
        counter.add(str(number))
    assert counter.value("other") == 500


class _BlockedStream(io.StringIO):
    """A stream whose writes block until it is released."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()

    def write(self, text: str) -> int:
        self.released.wait()
        return super().write(text)


def test_put_does_not_block_on_a_stalled_reader() -> None:
    stream = _BlockedStream()
    writer = LineWriter(stream)
    for number in range(30_000):
        writer.put(f"line {number}", important=True)
    assert writer.dropped > 0
    stream.released.set()
    assert writer.flush(20_000)
    writer.put("after", important=True)
    assert writer.flush(20_000)
    lines = stream.getvalue().splitlines()
    assert lines[0] == "line 0"
    assert lines[-1] == "after"
    counts = [json.loads(line)["count"] for line in lines if line.startswith("{")]
    assert sum(counts) == writer.dropped
    assert len(lines) - len(counts) + writer.dropped == 30_001


def test_line_rate_is_limited() -> None:
    clock = ManualClock()
    stream = io.StringIO()
    writer = LineWriter(stream, clock)
    for _second in range(10):
        clock.advance(1_000)
        for _ in range(1_000):
            writer.put("answered", important=False)
    writer.put("lost the store", important=True)
    assert writer.flush(20_000)
    written = stream.getvalue()
    assert written.count("answered") == 1_000 + 9 * 200
    assert "lost the store" in written
