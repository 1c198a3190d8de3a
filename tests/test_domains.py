"""A partitioned domain serves what it can reach and recovers."""

from functools import partial

from fakes.launcher import Fleet, wait_until
from tests.caller import Caller, all_runs


def links(fleet: Fleet, entry: str) -> dict[str, bool]:
    """Return whether an entry is connected to each target."""
    return {t["instance"]: t["connected"] for t in fleet.status(entry)["targets"]}


def all_linked(fleet: Fleet, entry: str) -> bool:
    """Return whether an entry is connected to all targets."""
    return all(links(fleet, entry).values())


def test_cut_domain_serves_itself_and_heals(slow_fleet: Fleet) -> None:
    fleet, caller = slow_fleet, Caller(slow_fleet)
    fleet.partition_domain("nbo-b")
    own = {"inkmodel-2": True, "shelf-api-2": True, "inkmodel-1": False, "shelf-api-1": False}
    wait_until(lambda: links(fleet, "nbo-b-entry-1") == own, "only its own targets", 10)
    other = {name: not linked for name, linked in own.items()}
    wait_until(lambda: links(fleet, "nbo-a-entry-1") == other, "the same on the other side", 10)
    for entry in fleet.ports.entries:
        assert caller.generate("cut", 4, entry).status == 200
    keys = [caller.new_key() for _ in range(6)]
    outcomes = {}
    for key in keys:
        answers = [caller.save(key, entry=entry, wait=2).outcome for entry in fleet.ports.entries]
        outcomes[key] = answers
    if any("not_run" in answers for answers in outcomes.values()):
        findings = [f for e in fleet.ports.entries for f in fleet.status(e)["findings"]]
        assert any("key slots are held" in finding for finding in findings)
    runs = all_runs(fleet)
    for key, answers in outcomes.items():
        assert runs.get(key, 0) == answers.count("answered") <= 1
        assert set(answers) <= {"answered", "not_run"}
    fleet.partition_domain("nbo-b", cut=False)
    for entry in fleet.ports.entries:
        wait_until(partial(all_linked, fleet, entry), "all links are back", 15)
    assert caller.generate("healed", 4).status == 200
    assert fleet.in_force_everywhere(1)
