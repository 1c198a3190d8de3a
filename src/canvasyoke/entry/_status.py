"""Builds the status report of an entry: its view of the fleet, and findings for operators."""

from __future__ import annotations

from canvasyoke.entry._target_client import TargetClient
from canvasyoke.entry._target_pool import TargetPool
from canvasyoke.protocol import EntryStatus, GroupStatus, Status, TargetStatus
from canvasyoke.state import ConfigView


def collect_status(entry: EntryStatus, pool: TargetPool, view: ConfigView) -> Status:
    """Return the status of the fleet as seen by one entry."""
    targets = [_target_status(target) for target in pool.all()]
    groups = _group_status(pool, view)
    return Status(entry, targets, groups, _collect_findings(entry, targets, groups, view))


def _target_status(target: TargetClient) -> TargetStatus:
    report = target.report
    return TargetStatus(
        instance=target.instance,
        domain=report.domain if report else "",
        service=report.service if report else "",
        connected=target.connected,
        fault=target.fault,
        leaving=bool(report and report.leaving) or target.drained,
        healthy=bool(report and report.healthy),
        ejected=target.ejection.ejected,
        generation=report.generation if report else 0,
        running=report.running if report else 0,
        queued=report.queued if report else 0,
        slots=report.slots if report else 0,
        key_slots=len(report.homes) if report else 0,
    )


def _group_status(pool: TargetPool, view: ConfigView) -> list[GroupStatus]:
    groups = []
    for name, group in sorted(view.current.groups.items()):
        reports = [t.report for t in pool.all() if t.report and t.report.group == name]
        newest_map = max(((r.map_epoch, r.map_number) for r in reports), default=(0, 0))
        owner = next((r for r in reports if r.owner), None)
        groups.append(
            GroupStatus(
                group=name,
                owner=owner.instance if owner else "",
                epoch=newest_map[0],
                number=newest_map[1],
                ranks_on_map=sum((r.map_epoch, r.map_number) == newest_map for r in reports),
                ranks=group.model.ranks,
                skew=(owner.skew if owner else 0) / 1_000,
                moves=owner.moves if owner else 0,
            )
        )
    return groups


def _collect_findings(
    entry: EntryStatus,
    targets: list[TargetStatus],
    groups: list[GroupStatus],
    view: ConfigView,
) -> list[str]:
    findings = []
    if not entry.generation:
        findings.append("no configuration is in force: apply one with `canvasyoke apply`")
    if not entry.platform:
        findings.append("the platform does not answer: what is in force stays; check its API")
    known = {t.instance for t in targets}
    for name in sorted(set(view.current.engines) - known):
        findings.append(f"engine {name} is configured but not in the instance list: start it")
    for target in targets:
        findings.extend(_target_findings(target, entry.generation))
    findings.extend(_key_slot_findings(targets, view))
    for group in groups:
        if not group.owner:
            findings.append(f"group {group.group} has no owner: its experts stay where they are")
        if group.ranks_on_map < group.ranks:
            behind = group.ranks - group.ranks_on_map
            findings.append(f"group {group.group}: {behind} of {group.ranks} ranks off the map")
    return findings


def _key_slot_findings(targets: list[TargetStatus], view: ConfigView) -> list[str]:
    """Return a finding for each service with key slots that no connected target holds."""
    findings = []
    for name, service in sorted(view.current.services.items()):
        held = sum(t.key_slots for t in targets if t.service == name and t.connected)
        if service.accepts_non_repeatable and held < service.model.key_slots:
            findings.append(
                f"service {name}: {held} of {service.model.key_slots} key slots are held by "
                "targets linked here; other keyed requests get not_home; check the platform "
                "and the service's targets"
            )
    return findings


def _target_findings(target: TargetStatus, generation: int) -> list[str]:
    name = target.instance
    if not target.connected:
        return [f"target {name} cannot be reached: {target.fault or 'no link yet'}"]
    findings = []
    if not target.healthy:
        findings.append(f"target {name}: its backend does not answer; look at the engine there")
    if target.ejected:
        findings.append(f"target {name} is passed over after failures; it is probed in turn")
    if target.generation < generation:
        findings.append(f"target {name} is at generation {target.generation}, not {generation}")
    return findings
