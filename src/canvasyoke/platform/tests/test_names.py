"""The platform's names stay inside the adapter."""

import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).resolve().parents[2]
#: Names that the platform's pages use and the product does not: headers, fields of
#: objects and settings, and paths of calls.
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
#: The project's own object API, older than the platform's, happens to use the same path.
OWN_PATHS = {Path("state/_platform_http.py")}


@pytest.mark.parametrize("path", MODULES, ids=lambda path: str(path.relative_to(PACKAGE)))
def test_no_name_of_the_platform_outside_the_adapter(path: Path) -> None:
    found = PATTERN.findall(path.read_text())
    if path.relative_to(PACKAGE) in OWN_PATHS:
        found = [name for name in found if name != "/objects/"]
    assert found == []


def test_the_pattern_finds_a_name() -> None:
    assert PATTERN.search('headers.get("attempt-id")')
    assert not PATTERN.search("the attempt id")
