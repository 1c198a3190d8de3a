"""The templates of the deploy folder give valid settings, also where the platform tells less."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import pytest

from canvasyoke.state import DirectSettings, MachineSettings, RanksSettings, load_settings

DEPLOY = Path(__file__).resolve().parents[4] / "deploy"
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
GAP = re.compile(r"\{\{([\w.]+)\}\}")
FIELDS = {
    "NodeName": "front-1",
    "Zone": "nbo-a",
    "Ip": "10.1.0.40",
    "app": "10.1.0.40:8300",
    "Listen.Front": "10.1.0.40:8227",
    "Listen.Readiness": "10.1.0.40:8220",
    "InternalPortRange.0": "7340",
    "InternalPortRange.1": "7341",
    "Platform.Address": "10.200.1.7:8223",
    "Bounds.RetryBudgetRatio": "0.2",
    "Bounds.RetryWindowS": "10",
    "Bounds.BudgetSlack": "92",
}
LIMITS = {"Limits.MemoryMb": "168", "Limits.MaxFds": "1124"}
DEFAULTS = MachineSettings()


@pytest.mark.parametrize(("name", "model"), [("entry", DirectSettings), ("ranks", RanksSettings)])
@pytest.mark.parametrize(
    ("limits", "memory", "descriptors"),
    [
        (LIMITS, 168.0, 1_124),
        ({}, DEFAULTS.memory_mb, DEFAULTS.descriptors),
        ({"Limits.MemoryMb": "168"}, 168.0, DEFAULTS.descriptors),
        ({"Limits.MaxFds": "1124"}, DEFAULTS.memory_mb, 1_124),
    ],
)
def test_a_process_starts_whether_or_not_its_machine_is_described(
    tmp_path: Path,
    name: str,
    model: Any,
    limits: dict[str, str],
    memory: float,
    descriptors: int,
) -> None:
    fields = FIELDS | limits
    template = (DEPLOY / f"{name}.yaml").read_text()
    text = SECTION.sub(lambda match: match[2] if match[1] in fields else "", template)
    path = tmp_path / "settings.yaml"
    path.write_text(GAP.sub(lambda match: fields[match[1]], text))
    settings = load_settings(str(path), model)
    assert not isinstance(settings, list), settings
    assert (settings.machine.memory_mb, settings.machine.descriptors) == (memory, descriptors)
