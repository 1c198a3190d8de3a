import io
import json
from collections.abc import Iterator

import logbook
import pytest

from canvasyoke.observe import Metrics, part_logger, set_up_logs
from canvasyoke.state import LogSettings


@pytest.fixture
def stream() -> Iterator[io.StringIO]:
    yield io.StringIO()
    logbook.Handler.stack_manager.pop_application()


def test_text_lines_have_a_fixed_prefix(stream: io.StringIO) -> None:
    set_up_logs(LogSettings(), "e-1", stream)
    log = part_logger("link")
    log.info("peer is up", peer="ink-1")
    log.debug("not at this level")
    (line,) = stream.getvalue().splitlines()
    assert line.endswith("INFO link: peer is up peer=ink-1")


def test_json_lines_can_be_read_back(stream: io.StringIO) -> None:
    set_up_logs(LogSettings(format="json", level="debug"), "e-1", stream)
    part_logger("desk").debug("refused", request_id="r-1", why=ValueError("x"))
    line = json.loads(stream.getvalue())
    assert line["part"] == "desk"
    assert (line["instance"], line["request_id"], line["why"]) == ("e-1", "r-1", "x")


def test_metrics_are_rendered_as_text() -> None:
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


def test_label_values_are_bounded() -> None:
    counter = Metrics().counter("c_total", "Counts.", "kind")
    for number in range(1_000):
        counter.add(str(number))
    assert counter.value("other") == 500
