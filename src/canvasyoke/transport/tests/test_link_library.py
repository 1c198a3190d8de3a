"""Stopping an nng operation waits until its completion, before nng frees the operation.

nng 1.11.0 (pynng 0.9.0) does not wait, and closing a link that is being connected can abort the
process; nng 1.6.0 (pynng 0.8.1) does. See docs/incidents/links-abort.md.
"""

import threading

import pynng
from pynng import _nng

_lib, _ffi = _nng.lib, _nng.ffi
#: Seconds within which a faulty library would return from the stop.
_STOP_TIMEOUT = 0.5


def test_stop_waits_for_an_operation_in_progress() -> None:
    order: list[str] = []
    stopped = threading.Event()
    with pynng.Pair1(polyamorous=True):  # initializes the library
        handle = _ffi.new("nng_aio **")
        assert _lib.nng_aio_alloc(handle, _ffi.NULL, _ffi.NULL) == 0
        assert _lib.nng_aio_begin(handle[0])

        def stop() -> None:
            _lib.nng_aio_stop(handle[0])
            order.append("stopped")
            stopped.set()

        thread = threading.Thread(target=stop)
        thread.start()
        stopped.wait(_STOP_TIMEOUT)
        order.append("completed")
        _lib.nng_aio_finish(handle[0], 0)
        thread.join()
    assert order == ["completed", "stopped"]
