"""Tests that the platform's names are used only in its adapter."""

import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).resolve().parents[2]
#: Headers, fields of objects and settings, and paths that only the platform defines.
NAMES = (
    "Attempt-Id Request-Deadline Prompt-Prefix Last-Event-Id Response-Seal Expect-Instance "
    "Expect-Version Server-Load Server-Leaving Server-Limit Not-Executed Instance-Id "
    "Token-Usage At-Server Length-Hint "
    "TrafficSplit PathPrefix TargetLatencyMs TimeoutMs MaxAttempts AllowAnonymous "
    "SessionAffinity StreamResume ApiKeys HealthPath MaxConnections MaxHeaderBytes "
    "MaxBodyBytes HeaderTimeoutMs IdleTimeoutMs ColdRemainingMs NodeName MachineClass "
    "InternalPortRange CpuShare MemoryMb MaxFds LinkMbps RequireFencing FaultTolerance "
    "HeartbeatMs SeedLagS CatchUpS AddrReuseS ContactMs AckTimeoutMs MaxSkewMs DrainMs GraceS "
    "LossSlackMs ConfigApplyMs RollbackSlackMs StrictRevoke RevokeMs RetryBudgetRatio "
    "RetryWindowS RecoveryS ExpectedRev WaitMs HistoryS KvCapacityTokens TokenKvBytes KvUsed "
    "KvTotal BusySlots CANVASYOKE_BOOT"
).split()
PATTERN = re.compile(
    "|".join(rf"(?<![\w-]){re.escape(name)}(?![\w-])" for name in NAMES)
    + r"|/objects/|/picked|\"/order\"",
    re.IGNORECASE,
)
MODULES = sorted(
    path
    for path in PACKAGE.rglob("*.py")
    if "tests" not in path.parts and path.parent != PACKAGE / "platform"
)
#: Client of the project's own object API, which uses the same path.
OBJECT_API_CLIENTS = {Path("state/_platform_http.py")}


@pytest.mark.parametrize("path", MODULES, ids=lambda path: str(path.relative_to(PACKAGE)))
def test_no_platform_names_outside_the_adapter(path: Path) -> None:
    found = PATTERN.findall(path.read_text())
    if path.relative_to(PACKAGE) in OBJECT_API_CLIENTS:
        found = [name for name in found if name != "/objects/"]
    assert found == []


def test_the_pattern_finds_a_name() -> None:
    assert PATTERN.search('headers.get("attempt-id")')
    assert not PATTERN.search("the attempt id")
