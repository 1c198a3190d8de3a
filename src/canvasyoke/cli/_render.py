"""Text output of the status, quarantine and audit commands."""

from __future__ import annotations

import datetime
from collections.abc import Sequence

import msgspec

from canvasyoke.protocol import QuarantinedRequest, Status, TargetStatus
from canvasyoke.state import AuditEntry


def render_status(data: bytes) -> str:
    """Format the JSON status of an entry as text."""
    status = msgspec.json.decode(data, type=Status)
    entry = status.entry
    lines = [
        f"entry {entry.instance} in {entry.domain}: generation {entry.generation}, "
        f"{entry.in_flight} requests held, platform {'up' if entry.platform else 'DOWN'}"
        f"{', leaving' if entry.leaving else ''}",
        "",
        f"{'target':<20}{'domain':<14}{'service':<14}{'state':<10}"
        f"{'gen':>4}{'running':>9}{'queued':>8}{'keys':>6}",
    ]
    for target in status.targets:
        lines.append(
            f"{target.instance:<20}{target.domain:<14}{target.service:<14}{_target_state(target):<10}"
            f"{target.generation:>4}{f'{target.running}/{target.slots}':>9}"
            f"{target.queued:>8}{target.key_slots:>6}"
        )
    for group in status.groups:
        lines += [
            "",
            f"group {group.group}: map {group.epoch}.{group.number} on "
            f"{group.ranks_on_map} of {group.ranks} ranks, skew {group.skew:.2f}, "
            f"{group.moves} moves under way, owner {group.owner or 'none'}",
        ]
    lines += ["", *(f"! {finding}" for finding in status.findings or [])]
    lines += [] if status.findings else ["nothing is wrong"]
    return "\n".join(lines)


def _target_state(target: TargetStatus) -> str:
    if not target.connected:
        return "no link"
    if target.leaving:
        return "leaving"
    if not target.healthy:
        return "down"
    return "ejected" if target.ejected else "up"


def render_quarantine(data: bytes) -> str:
    """Format the JSON list of quarantined and suspected traits as text."""
    listed = msgspec.json.decode(data, type=list[QuarantinedRequest])
    ordered = sorted(listed, key=lambda each: (not each.is_blamed, -len(each.runs)))
    return "\n".join(map(_render_trait, ordered)) or "no backend has ended under a request"


def _render_trait(trait: QuarantinedRequest) -> str:
    state = "kept from backends" if trait.is_blamed else "suspected"
    text = f"{trait.fingerprint} {state}: {len(trait.runs)} ended ({', '.join(trait.runs)})"
    if trait.answers:
        text += f", {trait.answers} answers since the first"
    if trait.is_blamed:
        text += f"; once mended: --release {trait.fingerprint}"
    return text


def render_audit(entries: Sequence[AuditEntry]) -> str:
    """Format the audit trail as text, in the given order."""
    lines = []
    for entry in entries:
        timestamp = datetime.datetime.fromtimestamp(entry.wall / 1_000, datetime.UTC)
        subject = entry.subject or "fleet"
        why = f" ({entry.why})" if entry.why else ""
        lines.append(
            f"{timestamp:%Y-%m-%dT%H:%M:%SZ} {entry.who}: {entry.action} of {subject} "
            f"{entry.before} -> {entry.after} {entry.outcome}: {', '.join(entry.changed)}{why}"
        )
    return "\n".join(lines) or "the trail is empty"
