"""Summary of the system for operators, from status and member objects."""

from typing import Any

from sapphirelift.core import record_set
from sapphirelift.platform import client

MEMBERS = "members/"
STATUS = "status/"


def summary(platform: client.ObjectClient) -> dict[str, Any]:
    """Reads what is in force where and what needs attention.

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
        elif item.key.startswith(MEMBERS):
            members.append(item.value)
        elif item.key.startswith(STATUS):
            status[item.key.removeprefix(STATUS)] = item.value
    return {
        "store_revision": listing.revision,
        "newest_record_revision": newest_record,
        "withdrawn_data_centres": sorted(records.withdrawn()),
        "drained_backend_servers": sorted(records.drained()),
        "refused_records": records.refused,
        "members": {
            member["name"]: f"{member['role']} {member['state']}"
            for member in members
        },
        "status": status,
    }
