import threading

import pytest

from canvasyoke._actor import CriticalActor


class Fragile(CriticalActor):
    def work(self, value: int) -> int:
        return 10 // value


def test_failure_of_an_actor_reaches_the_hook(monkeypatch: pytest.MonkeyPatch) -> None:
    failed: list[type[BaseException]] = []
    seen = threading.Event()

    def hook(args: threading.ExceptHookArgs) -> None:
        failed.append(args.exc_type)
        seen.set()

    monkeypatch.setattr(threading, "excepthook", hook)
    actor = Fragile.start().proxy()
    assert actor.work(5).get() == 2
    actor.work.defer(0)
    assert seen.wait(5)
    assert failed == [ZeroDivisionError]


def test_failure_that_somebody_waits_for_is_theirs() -> None:
    actor = Fragile.start()
    with pytest.raises(ZeroDivisionError):
        actor.proxy().work(0).get()
    assert actor.is_alive()
    actor.stop()
