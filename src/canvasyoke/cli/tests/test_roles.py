"""Exit of role processes."""

from __future__ import annotations

import subprocess
import sys

import pytest

#: A role whose threads wait on pynng sockets while it exits.
ROLE_SCRIPT = """
import sys, threading
import pynng
from canvasyoke.cli._roles import _run

def receive():
    with pynng.Pair1(polyamorous=True, recv_timeout=1) as socket:
        socket.listen("tcp://127.0.0.1:0")
        waiting.wait()
        while True:
            try:
                socket.recv()
            except pynng.Timeout:
                pass

def role():
    for _ in range(16):
        threading.Thread(target=receive, daemon=True).start()
    waiting.wait()
    print("the last line")
    return code

code = int(sys.argv[1])
waiting = threading.Barrier(17)
sys.exit(_run(role))
"""


@pytest.mark.parametrize("code", [0, 0, 0, 0, 1])
def test_exit_code_is_kept_while_threads_wait_on_sockets(code: int) -> None:
    completed = subprocess.run(
        [sys.executable, "-c", ROLE_SCRIPT, str(code)], capture_output=True, text=True, check=False
    )
    assert (completed.returncode, completed.stdout, completed.stderr) == (
        code,
        "the last line\n",
        "",
    )
