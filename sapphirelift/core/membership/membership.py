"""Member table: announcements, heartbeats, suspicion and removal."""

import collections
import dataclasses
from collections.abc import Callable
from collections.abc import Collection
from typing import Any

import xxhash

from sapphirelift import messages
from sapphirelift.core import actions

SUSPECT_AFTER_MS = 2500
MARK_AFTER_MS = 10_000
DELETE_AFTER_MS = 60_000
EJECTION_FLOOR = 0.5
# Ticks come once a second with a jitter of 10%; two seconds between two of
# them mean that this process did not run.
TICK_GAP_MS = 2000
# Repeats a conditional write that conflicted or failed.
REPAIR_INTERVAL_MS = 5000
# A balancer writes at most one mark or deletion in this time. 840 balancers
# then make 280 writes a second when a data centre fails or regions part; the
# platform takes several hundred.
REPAIR_SPACING_MS = 3000
WATCH_CHECKS_PER_TICK = 8
# The design size is 7,840 members.
MAX_MEMBERS = 20_000
MAX_GONE_ADDRESSES = 1024

UP = "up"
DRAINING = "draining"
LEAVING = "leaving"
_RANKS = {UP: 0, DRAINING: 1, LEAVING: 2}


def later_state(left: str, right: str) -> str:
    """Returns the state further on the way out; unknown states count as up.

    >>> later_state("draining", "up")
    'draining'
    """
    return max(left, right, key=lambda state: _RANKS.get(state, 0))


@dataclasses.dataclass(slots=True)
class Member:
    """One process of the system as this process knows it.

    Attributes:
        key: Key of the announcement, empty if heard of directly only.
        revision: Revision of the announcement, 0 if heard of directly only.
        announcement: The announced object, None if heard of directly only.
        heard_ms: Last sign of life. None if none is expected, because this
            process neither watches the member nor is watched by it.
        is_confirmed: Whether the member has been heard at all. Until then it
            is not suspected, but marked after ``MARK_AFTER_MS``.
        load: Busy share of the admission limit, 0 to 1.
        cold: Whether the ramp limits the member's backend server.
        suspected: This process takes the member for dead.
        marked: A watcher has marked the announcement.
    """

    name: str
    role: str
    address: messages.Address
    incarnation: int
    data_centre: str
    service: str
    weight: float
    state: str
    key: str = ""
    revision: int = 0
    announcement: dict[str, Any] | None = None
    heard_ms: int | None = None
    is_confirmed: bool = False
    sequence: int = 0
    load: float = 0.0
    cold: bool = False
    suspected: bool = False
    marked: bool = False
    repair_ms: int | None = None

    @property
    def is_alive(self) -> bool:
        """Whether the member is taken to be alive, in whatever state."""
        return not self.suspected and not self.marked


class MemberTable(dict[str, Member]):
    """Members by name, with an index by role and service.

    Queries take time in proportion to their answer, not to all members.
    """

    def __init__(self) -> None:
        super().__init__()
        self._by_role: dict[str, dict[str, Member]] = {}
        self._by_service: dict[tuple[str, str], dict[str, Member]] = {}

    def __setitem__(self, name: str, member: Member) -> None:
        held = self.get(name)
        if held is not None and (held.role, held.service) != (
            member.role,
            member.service,
        ):
            self._unlink(name, held)
        super().__setitem__(name, member)
        group = (member.role, member.service)
        self._by_role.setdefault(member.role, {})[name] = member
        self._by_service.setdefault(group, {})[name] = member

    def __delitem__(self, name: str) -> None:
        self._unlink(name, self[name])
        super().__delitem__(name)

    def _unlink(self, name: str, held: Member) -> None:
        group = (held.role, held.service)
        del self._by_role[held.role][name]
        del self._by_service[group][name]
        if not self._by_service[group]:
            del self._by_service[group]

    def select(
        self, role: str, service: str | None = None
    ) -> Collection[Member]:
        """Returns the members of a role, or of one service in that role."""
        if service is None:
            return self._by_role.get(role, {}).values()
        return self._by_service.get((role, service), {}).values()


def _never(name: str) -> bool:
    del name
    return False


class Membership:
    """Members by name, from announcements and heartbeats.

    Attributes:
        watches: Tells whether this process expects to hear from a member.
            Without this check, a member that changes its watchers would be
            suspected by those that it no longer sends to.
        version: Changes whenever the set of usable members may have changed.
    """

    def __init__(
        self,
        *,
        own_name: str = "",
        repairs: bool = False,
        watches: Callable[[str], bool] = _never,
    ) -> None:
        self.members = MemberTable()
        # Those with a last sign of life, the only ones that a tick looks at.
        self._heard: dict[str, Member] = {}
        self._repair_ms: int | None = None
        self.watches = watches
        self.version = 0
        self.counters: collections.Counter[str] = collections.Counter()
        self._own_name = own_name
        self._repairs = repairs
        self._by_address: dict[messages.Address, str] = {}
        self._gone: collections.OrderedDict[messages.Address, None] = (
            collections.OrderedDict()
        )
        self._check_queue: list[str] = []
        self._ticked_ms: int | None = None

    # Announcements.

    def apply_announcement(
        self, value: dict[str, Any], *, revision: int, key: str = ""
    ) -> None:
        """Takes over an announcement read from the platform."""
        held = self.members.get(value["name"])
        if held is not None and held.revision > revision:
            return
        if held is not None and held.incarnation > value["incarnation"]:
            # Heard of directly before its announcement; the object of the
            # earlier incarnation is kept in mind for its deletion.
            held.key, held.revision = key, revision
            held.announcement = value
            return
        if held is None and len(self.members) >= MAX_MEMBERS:
            self.counters["dropped_members_full"] += 1
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
            key=key,
            revision=revision,
            announcement=value,
            marked=bool(value.get("suspected", False)),
        )
        if held is not None and held.incarnation == member.incarnation:
            member.heard_ms = held.heard_ms
            member.is_confirmed = held.is_confirmed
            member.sequence = held.sequence
            member.load = held.load
            member.cold = held.cold
            member.suspected = held.suspected
            member.repair_ms = held.repair_ms
            member.state = later_state(held.state, member.state)
        self._store(member)

    def remove(self, name: str, *, revision: int) -> None:
        """Removes a member whose announcement was deleted."""
        held = self.members.get(name)
        if held is not None and held.revision < revision:
            self._forget(held)

    def _forget(self, member: Member) -> None:
        del self.members[member.name]
        self._heard.pop(member.name, None)
        self.version += 1
        if self._by_address.get(member.address) == member.name:
            del self._by_address[member.address]
            self._gone[member.address] = None
            if len(self._gone) > MAX_GONE_ADDRESSES:
                self._gone.popitem(last=False)

    def _store(self, member: Member) -> None:
        """Replaces a member; the address then belongs to nobody else."""
        other = self.members.get(self._by_address.get(member.address, ""))
        if other is not None and other.name != member.name:
            # A process on the same address proves that the former one ended.
            other.suspected = True
        held = self.members.get(member.name)
        if held is not None and held.address != member.address:
            self._by_address.pop(held.address, None)
        self._by_address[member.address] = member.name
        self._gone.pop(member.address, None)
        self.members[member.name] = member
        if member.heard_ms is None:
            self._heard.pop(member.name, None)
        else:
            self._heard[member.name] = member
        self.version += 1

    # Signs of life.

    def apply_heartbeat(self, beat: messages.Heartbeat, *, now_ms: int) -> bool:
        """Takes over a heartbeat; returns False if it is a replay."""
        held = self.members.get(beat.name)
        if held is None and len(self.members) >= MAX_MEMBERS:
            self.counters["dropped_members_full"] += 1
            return False
        if held is not None and (beat.incarnation, beat.sequence) <= (
            held.incarnation,
            held.sequence,
        ):
            self.counters["dropped_replayed"] += 1
            return False
        if (
            held is not None
            and held.incarnation == beat.incarnation
            and held.address == (beat.ip, beat.port)
        ):
            self._refresh(held, beat, now_ms)
            return True
        member = Member(
            name=beat.name,
            role=beat.role,
            address=messages.Address(beat.ip, beat.port),
            incarnation=beat.incarnation,
            data_centre=beat.data_centre,
            service=beat.service,
            weight=held.weight if held is not None else 1.0,
            state=beat.state,
            heard_ms=now_ms,
            is_confirmed=True,
            sequence=beat.sequence,
            load=beat.load,
            cold=beat.cold,
        )
        if held is not None:
            # The key stays, so that the object of an earlier incarnation can
            # still be marked and deleted.
            member.key = held.key
            member.revision = held.revision
            member.announcement = held.announcement
        self._store(member)
        return True

    def _refresh(
        self, held: Member, beat: messages.Heartbeat, now_ms: int
    ) -> None:
        state = later_state(held.state, beat.state)
        if state != held.state or not held.is_alive:
            self.version += 1
        held.state = state
        held.sequence = beat.sequence
        held.load = beat.load
        held.cold = beat.cold
        self._record_contact(held, now_ms)

    def _record_contact(self, member: Member, now_ms: int) -> None:
        if not member.is_alive:
            self.version += 1
        member.heard_ms = now_ms
        self._heard[member.name] = member
        member.is_confirmed = True
        member.suspected = False
        member.marked = False
        member.repair_ms = None

    def apply_ack(self, ack: messages.HeartbeatAck, *, now_ms: int) -> None:
        """Takes over a watcher's answer as a sign of life."""
        held = self.members.get(ack.name)
        if held is None or held.incarnation != ack.incarnation:
            return
        state = later_state(held.state, ack.state)
        if state != held.state:
            self.version += 1
        held.state = state
        self._record_contact(held, now_ms)

    # Failure detection.

    def tick(self, now_ms: int) -> list[actions.Action]:
        """Suspects silent members, and marks and deletes their objects.

        When more than ``EJECTION_FLOOR`` of the watched members look dead
        at once, the fault is taken to be on this side and nothing is done.
        """
        self._forgive_own_gap(now_ms)
        self._adopt_unwatched(now_ms)
        silent = self._silent(now_ms)
        if self._at_floor(silent, now_ms):
            self.counters["ejection_floor"] += 1
            return []
        out: list[actions.Action] = []
        for member in silent:
            if not member.suspected:
                member.suspected = True
                self.version += 1
                out.append(
                    actions.LogState("member_suspected", {"name": member.name})
                )
            if not member.key:
                if now_ms - (member.heard_ms or 0) > DELETE_AFTER_MS:
                    self._forget(member)
            elif self._repairs and not self._is_spacing(now_ms):
                repairs = self._repair(member, now_ms)
                if repairs:
                    self._repair_ms = now_ms
                out.extend(repairs)
        return out

    def _is_spacing(self, now_ms: int) -> bool:
        last_ms = self._repair_ms
        return last_ms is not None and now_ms - last_ms < REPAIR_SPACING_MS

    def _order(self, member: Member) -> tuple[int, int]:
        """Orders by last repair, then differently at each watcher.

        A write that keeps failing must not hold up those of other members.
        Watchers of the same members would otherwise write the same objects at
        the same time, and all but one write would conflict.
        """
        pair = f"{self._own_name} {member.name}"
        return member.repair_ms or 0, xxhash.xxh64_intdigest(pair.encode())

    def _at_floor(self, silent: list[Member], now_ms: int) -> bool:
        """Applies the ejection floor; spares the members if it is reached.

        Members suspected for longer than ``MARK_AFTER_MS`` are dead for good
        and members that leave fall silent by plan; neither is counted.
        """
        recent = [
            m
            for m in silent
            if m.state == UP
            and not (m.suspected and now_ms - (m.heard_ms or 0) > MARK_AFTER_MS)
        ]
        alive = sum(
            m.heard_ms is not None and m.state == UP and not m.suspected
            for m in self._heard.values()
        )
        watched = alive + sum(m.suspected for m in recent)
        if len(recent) <= EJECTION_FLOOR * watched:
            return False
        for member in recent:
            self.version += member.suspected
            member.suspected = False
        return True

    def _forgive_own_gap(self, now_ms: int) -> None:
        """Does not blame members for time in which this process stood."""
        last_ms, self._ticked_ms = self._ticked_ms, now_ms
        if last_ms is None or now_ms - last_ms < TICK_GAP_MS:
            return
        gap_ms = now_ms - last_ms
        self.counters["tick_gaps"] += 1
        for member in self._heard.values():
            if member.heard_ms is not None:
                member.heard_ms = min(now_ms, member.heard_ms + gap_ms)

    def _adopt_unwatched(self, now_ms: int) -> None:
        """Finds members that this process watches but never heard."""
        if not self._check_queue:
            self._check_queue = list(self.members)
        for _ in range(min(WATCH_CHECKS_PER_TICK, len(self._check_queue))):
            member = self.members.get(self._check_queue.pop())
            if (
                member is not None
                and member.heard_ms is None
                and member.name != self._own_name
                and self.watches(member.name)
            ):
                member.heard_ms = now_ms
                member.is_confirmed = False
                self._heard[member.name] = member

    def _silent(self, now_ms: int) -> list[Member]:
        silent = []
        for member in list(self._heard.values()):
            if member.heard_ms is None or member.name == self._own_name:
                continue
            limit_ms = SUSPECT_AFTER_MS
            if not member.is_confirmed:
                limit_ms = MARK_AFTER_MS
            if now_ms - member.heard_ms <= limit_ms:
                continue
            if not member.suspected and not self.watches(member.name):
                member.heard_ms = None
                del self._heard[member.name]
                continue
            silent.append(member)
        return sorted(silent, key=self._order)

    def _repair(self, member: Member, now_ms: int) -> list[actions.Action]:
        """Marks or deletes the object of a silent member."""
        value = member.announcement
        silent_ms = now_ms - (member.heard_ms or 0)
        if value is None:
            return []
        if member.repair_ms is not None and now_ms < member.repair_ms:
            return []
        if silent_ms > DELETE_AFTER_MS:
            member.repair_ms = now_ms + REPAIR_INTERVAL_MS
            return [actions.DeleteMember(member.key, member.revision)]
        if silent_ms > MARK_AFTER_MS and not value.get("suspected", False):
            member.repair_ms = now_ms + REPAIR_INTERVAL_MS
            marked = value | {"suspected": True, "suspected_by": self._own_name}
            return [actions.MarkMember(member.key, member.revision, marked)]
        return []

    # Queries.

    def with_role(
        self,
        role: str,
        *,
        service: str | None = None,
        suspected: bool = False,
    ) -> list[Member]:
        """Returns the members of a role that are up and alive.

        Args:
            role: ``agent`` or ``balancer``.
            service: Only those of this service; None for all.
            suspected: Include members that only this process suspects.
        """
        return [
            m
            for m in self.members.select(role, service)
            if m.state == UP and not m.marked and (suspected or not m.suspected)
        ]

    def return_path(
        self, preferred: messages.Address, flow_key: bytes
    ) -> messages.Address:
        """Returns the balancer to relay an answer through.

        It is the one that sent the flow's last packet unless that one is
        suspected, gone or leaving. One that is not in the table yet is used:
        its packet has just arrived.
        """
        member = self.members.get(self._by_address.get(preferred, ""))
        if member is None:
            if preferred not in self._gone:
                return preferred
        elif member.is_alive and member.state == UP:
            return preferred
        live = self.with_role("balancer")
        if not live:
            return preferred
        return live[int.from_bytes(flow_key[:4]) % len(live)].address
