"""Commands that ask an entry end although its answer does not."""

from __future__ import annotations

import threading

import pytest

from canvasyoke.cli import _operator, main
from fakes.endless_answer import DRIPS, FLOODS, EndlessAnswer, EndlessPeer

_PATIENCE = 20
ANSWERS = {
    "interim answers": FLOODS["interim answers"],
    "trailers": FLOODS["trailers"],
    "length that is never reached": FLOODS["length that is never reached"],
    "slow header line": DRIPS["header line"],
    "slow length": DRIPS["length"],
    "slow trailers": DRIPS["trailers"],
}


@pytest.mark.parametrize("command", ["status", "quarantine"])
@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
def test_a_command_whose_answer_has_no_end_is_refused(
    monkeypatch: pytest.MonkeyPatch, command: str, answer: EndlessAnswer
) -> None:
    """Guards against a command that an operator has to interrupt."""
    monkeypatch.setattr(_operator, "_STATUS_TIMEOUT", 300)
    peer = EndlessPeer(answer)
    codes: list[int] = []
    argv = [command, "--entry", peer.address]
    caller = threading.Thread(target=lambda: codes.append(main(argv)), daemon=True)
    caller.start()
    caller.join(_PATIENCE)
    peer.close()
    assert codes == [1]
