import threading

import pytest

from canvasyoke._actor import CriticalActor


class DividingActor(CriticalActor):
    def divide(self, value: int) -> int:
        return 10 // value


def test_unhandled_exception_calls_excepthook(monkeypatch: pytest.MonkeyPatch) -> None:
    exception_types: list[type[BaseException]] = []
    hook_called = threading.Event()

    def hook(args: threading.ExceptHookArgs) -> None:
        exception_types.append(args.exc_type)
        hook_called.set()

    monkeypatch.setattr(threading, "excepthook", hook)
    actor = DividingActor.start().proxy()
    assert actor.divide(5).get() == 2
    actor.divide.defer(0)
    assert hook_called.wait(5)
    assert exception_types == [ZeroDivisionError]


def test_exception_of_awaited_call_is_raised_in_caller() -> None:
    actor = DividingActor.start()
    with pytest.raises(ZeroDivisionError):
        actor.proxy().divide(0).get()
    assert actor.is_alive()
    actor.stop()
