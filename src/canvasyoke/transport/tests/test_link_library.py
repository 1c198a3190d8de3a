"""What the links' library must keep to: it waits for what is under way before it frees it.

An entry's process ended while it closed a link whose connection came about at that moment,
and every request that it held ended with it. The library had taken what its own task was
about to complete for cancelled, freed it, and the task then locked a mutex that was gone:

    panic: pthread_mutex_lock: Invalid argument
    nni_task_dispatch <- tcp_dialer_cb <- nni_posix_poll_thr

Closing asks each operation to stop and frees it afterwards. An operation that has begun and
that nobody can cancel any more is about to complete, on another task: stopping it has to wait
for that. With nng 1.11.0 (pynng 0.9.0) it did not, with 1.6.0 (0.8.1) it does; a debugger that
held the poll task there for 100 ms ended a process at its first close of ten, and at none. The
moment is some instructions long, so this test makes it as long as it likes: it begins an
operation and completes it by hand.
"""

import threading

import pynng
from pynng import _nng

_lib, _ffi = _nng.lib, _nng.ffi
#: Seconds that a wrong library gets to say that it is done. A right one cannot be early.
_PATIENCE = 0.5


def test_stopping_waits_for_an_operation_that_is_about_to_complete() -> None:
    order: list[str] = []
    stopped = threading.Event()
    with pynng.Pair1(polyamorous=True):  # the library is running
        handle = _ffi.new("nng_aio **")
        assert _lib.nng_aio_alloc(handle, _ffi.NULL, _ffi.NULL) == 0
        assert _lib.nng_aio_begin(handle[0])

        def stop() -> None:
            _lib.nng_aio_stop(handle[0])
            order.append("stopped")
            stopped.set()

        task = threading.Thread(target=stop)
        task.start()
        stopped.wait(_PATIENCE)
        order.append("completed")
        _lib.nng_aio_finish(handle[0], 0)
        task.join()
    assert order == ["completed", "stopped"]
