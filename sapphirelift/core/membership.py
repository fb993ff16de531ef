"""Member table and failure detection by heartbeats."""

import dataclasses
from typing import Any

from sapphirelift import messages

SUSPECT_AFTER_MS = 2500
EJECTION_FLOOR = 0.5

UP = "up"
DRAINING = "draining"
LEAVING = "leaving"


@dataclasses.dataclass(slots=True)
class Member:
    """One process of the system as this process knows it.

    Attributes:
        revision: Revision of the announcement, 0 if heard of directly only.
        heard_ms: Time of the last heartbeat, None if there was none.
        load: Busy share of the admission limit, 0 to 1.
    """

    name: str
    role: str
    address: messages.Address
    incarnation: int
    data_centre: str
    service: str
    weight: float
    state: str
    revision: int = 0
    heard_ms: int | None = None
    sequence: int = 0
    load: float = 0.0
    suspected: bool = False


class Membership:
    """Members by name, from announcements and heartbeats."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}

    def apply_announcement(
        self, value: dict[str, Any], *, revision: int
    ) -> None:
        """Takes over an announcement read from the platform."""
        held = self.members.get(value["name"])
        if held is not None and held.incarnation > value["incarnation"]:
            return
        member = Member(
            name=value["name"],
            role=value["role"],
            address=messages.Address(value["ip"], value["port"]),
            incarnation=value["incarnation"],
            data_centre=value["data_centre"],
            service=value["service"],
            weight=value["weight"],
            state=value["state"],
            revision=revision,
        )
        if held is not None and held.incarnation == member.incarnation:
            member.heard_ms = held.heard_ms
            member.sequence = held.sequence
            member.load = held.load
            member.suspected = held.suspected
        self.members[member.name] = member

    def remove(self, name: str, *, revision: int) -> None:
        """Removes a member whose announcement was deleted."""
        held = self.members.get(name)
        if held is not None and held.revision < revision:
            del self.members[name]

    def apply_heartbeat(self, beat: messages.Heartbeat, *, now_ms: int) -> bool:
        """Takes over a heartbeat; returns False if it is a replay."""
        held = self.members.get(beat.name)
        if held is not None:
            if beat.incarnation < held.incarnation:
                return False
            if (
                beat.incarnation == held.incarnation
                and beat.sequence <= held.sequence
            ):
                return False
        member = Member(
            name=beat.name,
            role=beat.role,
            address=messages.Address(beat.ip, beat.port),
            incarnation=beat.incarnation,
            data_centre=beat.data_centre,
            service=beat.service,
            weight=held.weight if held is not None else 1.0,
            state=beat.state,
            revision=held.revision if held is not None else 0,
            heard_ms=now_ms,
            sequence=beat.sequence,
            load=beat.load,
        )
        self.members[beat.name] = member
        return True

    def apply_ack(self, ack: messages.HeartbeatAck, *, now_ms: int) -> None:
        """Takes over a watcher's answer as a sign of life."""
        held = self.members.get(ack.name)
        if held is None or held.incarnation != ack.incarnation:
            return
        held.heard_ms = now_ms
        held.state = ack.state
        held.suspected = False

    def tick(self, now_ms: int) -> list[Member]:
        """Suspects members that are silent; returns those newly suspected.

        When more than ``EJECTION_FLOOR`` of the watched members look dead
        at once, the fault is taken to be on this side and none is suspected.
        """
        watched = [m for m in self.members.values() if m.heard_ms is not None]
        silent = [
            m for m in watched if now_ms - (m.heard_ms or 0) > SUSPECT_AFTER_MS
        ]
        if len(silent) > EJECTION_FLOOR * len(watched):
            return []
        fresh = [m for m in silent if not m.suspected]
        for member in fresh:
            member.suspected = True
        return fresh

    def with_role(self, role: str) -> list[Member]:
        """Returns the members of a role that are up and not suspected."""
        return [
            m
            for m in self.members.values()
            if m.role == role and m.state == UP and not m.suspected
        ]
