"""System summary for operators, from the objects in the platform."""

import collections
import datetime
from typing import Any

from sapphirelift.core.membership import membership
from sapphirelift.core.records import record_set
from sapphirelift.platform import client

MEMBERS_PREFIX = "members/"
STATUS_KEY = "status/cluster"
# Member states that come from conditions in the status object, because the
# member's own object does not show them. The most severe state is last.
_CONDITION_STATES = {"member_cold": "cold", "member_suspected": "suspected"}
MAX_LISTED = 20


class Summary(dict[str, Any]):
    """Full summary for programs; ``overview`` shortens it for people."""

    def overview(self) -> dict[str, Any]:
        """Returns the summary with counts in place of long lists."""
        shown = dict(self)
        members = shown.pop("members")
        counts = collections.Counter((m["role"], m["state"]) for m in members)
        shown["members"] = [
            {"role": role, "state": state, "count": count}
            for (role, state), count in sorted(counts.items())
        ]
        for state in ("cold", "draining", "leaving", "suspected"):
            names = [m["name"] for m in members if m["state"] == state]
            if names:
                shown[state] = _shortened(names)
        shown["conditions"] = [
            {name: value for name, value in row.items() if name != "since_ms"}
            for row in shown["conditions"]
        ]
        processes = shown.pop("processes")
        revisions = collections.Counter(p["revision"] for p in processes)
        shown["processes"] = [
            {"revision_in_force": revision, "processes": count}
            for revision, count in sorted(revisions.items())
        ]
        behind = [p["name"] for p in processes if not p["has_newest"]]
        if behind:
            shown["behind"] = _shortened(behind)
        return shown


def summary(platform: client.ObjectClient) -> Summary:
    """Reads members, revisions in force and conditions from the platform.

    Raises:
        PlatformUnavailableError: No usable answer.
    """
    listing = platform.list_objects("")
    records = record_set.RecordSet()
    members: list[dict[str, Any]] = []
    status: dict[str, Any] = {}
    newest_record = 0
    for item in listing.objects:
        if item.value is None:
            continue
        if item.key.startswith(record_set.PREFIX):
            records.apply(item)
            newest_record = max(newest_record, item.revision)
        elif item.key.startswith(MEMBERS_PREFIX):
            if membership.parse_announcement(item.value) is not None:
                members.append(item.value)
        elif item.key == STATUS_KEY:
            status = item.value
    conditions = status.get("conditions", [])
    processes = [
        {
            "name": name,
            "revision": revision,
            "has_newest": revision >= newest_record,
        }
        for name, revision in status.get("observed_revisions", {}).items()
    ]
    return Summary(
        store_revision=listing.revision,
        newest_record_revision=newest_record,
        processes_with_newest=sum(p["has_newest"] for p in processes),
        processes_observed=len(processes),
        processes_not_observed=status.get("members_not_observed", 0),
        status_writer=status.get("writer", ""),
        status_term=status.get("term", 0),
        processes=processes,
        members=_members(members, conditions),
        withdrawn_data_centres=sorted(records.withdrawn()),
        drained_backend_servers=sorted(records.drained()),
        refused_records=[
            {"record": key, "reason": reason}
            for key, reason in sorted(records.refused.items())
        ],
        conditions=[
            c | {"since": _iso_time(c["since_ms"])} for c in conditions
        ],
    )


def _members(
    announced: list[dict[str, Any]], conditions: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Returns the members sorted by name, each with its most severe state."""
    reported = {
        (condition["kind"], condition["subject"]) for condition in conditions
    }
    rows = []
    for member in announced:
        state = "suspected" if member.get("suspected") else member["state"]
        for kind, condition_state in _CONDITION_STATES.items():
            if (kind, member["name"]) in reported and (
                condition_state == "suspected" or state == "up"
            ):
                state = condition_state
        rows.append(
            {
                "name": member["name"],
                "role": member["role"],
                "service": member["service"],
                "data_centre": member["data_centre"],
                "state": state,
            }
        )
    return sorted(rows, key=lambda row: row["name"])


def _shortened(names: list[str]) -> list[str]:
    if len(names) <= MAX_LISTED:
        return names
    more = f"and {len(names) - MAX_LISTED} more (see --output=json)"
    return [*names[:MAX_LISTED], more]


def _iso_time(since_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(since_ms / 1000, datetime.UTC)
    return moment.isoformat(timespec="seconds")
