"""Member table: announcements, heartbeats, failure detection and removal."""

import collections
import dataclasses
import ipaddress
from collections.abc import Callable
from collections.abc import Collection
from typing import Annotated
from typing import Any

import msgspec
import xxhash

from sapphirelift import messages
from sapphirelift.core import actions
from sapphirelift.core import revisions

SUSPECT_AFTER_MS = 2500
MARK_AFTER_MS = 10_000
DELETE_AFTER_MS = 60_000
EJECTION_FLOOR = 0.5
# Ticks run once a second with 10% jitter; a gap of two seconds means that this
# process was not scheduled.
TICK_GAP_MS = 2000
# Delay before a conditional write that conflicted or failed is repeated.
REPAIR_INTERVAL_MS = 5000
# Minimum time between two marks or deletions written by one balancer. With 840
# balancers this limits the platform to 280 writes per second when a data centre
# fails or regions are partitioned; the platform accepts several hundred.
REPAIR_SPACING_MS = 3000
WATCH_CHECKS_PER_TICK = 8
# The design size is 7,840 members.
MAX_MEMBERS = 20_000
MAX_REMOVED_ADDRESSES = 1024

UP = "up"
DRAINING = "draining"
LEAVING = "leaving"
_RANKS = {UP: 0, DRAINING: 1, LEAVING: 2}


def later_state(left: str, right: str) -> str:
    """Returns the state closer to leaving; unknown states rank as ``up``.

    >>> later_state("draining", "up")
    'draining'
    """
    return max(left, right, key=lambda state: _RANKS.get(state, 0))


def _is_of_earlier_era(older: int, newer: int) -> bool:
    """Returns whether the first of two revisions is of an earlier era.

    >>> _is_of_earlier_era(20, revisions.of_store(7, era=2))
    True
    >>> _is_of_earlier_era(0, revisions.of_store(7, era=2))  # no revision
    False
    """
    return older > 0 and revisions.era_of(older) < revisions.era_of(newer)


class Announcement(msgspec.Struct):
    """Contents of the object by which a process announces itself.

    Attributes:
        suspected: Whether a watcher has marked it.
    """

    name: str
    role: str
    ip: str
    port: Annotated[int, msgspec.Meta(gt=0, lt=1 << 16)]
    incarnation: int
    data_centre: str
    service: str
    weight: Annotated[float, msgspec.Meta(ge=0)]
    state: str
    suspected: bool = False


def parse_announcement(value: dict[str, Any]) -> Announcement | None:
    """Returns the contents of an announcement; None if it is malformed."""
    try:
        announced = msgspec.convert(value, Announcement)
        # A host name would cause a DNS lookup for each datagram.
        ipaddress.IPv4Address(announced.ip)
    except (msgspec.ValidationError, ValueError):
        return None
    return announced


@dataclasses.dataclass(slots=True)
class Member:
    """A process of the cluster as seen by this process.

    Attributes:
        key: Key of the announcement, empty if known from heartbeats only.
        revision: Revision of the announcement, 0 if known from heartbeats
            only.
        announcement: The announced object, None if known from heartbeats
            only.
        last_heard_ms: Time of the last heartbeat or acknowledgement. None if
            none is expected because this process neither watches the member
            nor is watched by it.
        is_confirmed: Whether a heartbeat or acknowledgement has ever arrived.
            Until then the timeout is ``MARK_AFTER_MS`` instead of
            ``SUSPECT_AFTER_MS``.
        load: Used fraction of the admission limit, 0 to 1.
        cold: Whether the cold-start ramp limits the member's backend server.
        suspected: Whether this process considers the member dead.
        marked: Whether a watcher has marked the announcement as suspected.
        next_repair_ms: Earliest time of the next mark or deletion; None if
            none has been written since the member was last heard.
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
    last_heard_ms: int | None = None
    is_confirmed: bool = False
    sequence: int = 0
    load: float = 0.0
    cold: bool = False
    suspected: bool = False
    marked: bool = False
    next_repair_ms: int | None = None

    @property
    def is_alive(self) -> bool:
        """Whether the member is considered alive, regardless of its state."""
        return not self.suspected and not self.marked


class MemberTable(dict[str, Member]):
    """Members by name, indexed by role and service.

    The cost of a query is proportional to its result, not to the table size.
    """

    def __init__(self) -> None:
        super().__init__()
        self._by_role: dict[str, dict[str, Member]] = {}
        self._by_service: dict[tuple[str, str], dict[str, Member]] = {}

    def __setitem__(self, name: str, member: Member) -> None:
        existing = self.get(name)
        if existing is not None and (existing.role, existing.service) != (
            member.role,
            member.service,
        ):
            self._unlink(name, existing)
        super().__setitem__(name, member)
        group = (member.role, member.service)
        self._by_role.setdefault(member.role, {})[name] = member
        self._by_service.setdefault(group, {})[name] = member

    def __delitem__(self, name: str) -> None:
        self._unlink(name, self[name])
        super().__delitem__(name)

    def _unlink(self, name: str, existing: Member) -> None:
        group = (existing.role, existing.service)
        del self._by_role[existing.role][name]
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


def _watches_none(name: str) -> bool:
    del name
    return False


class Membership:
    """Tracks members from announcements and heartbeats, and detects failures.

    Attributes:
        watches: Returns whether this process expects to hear from a member.
            Without this check, a member that switches to other watchers would
            be suspected by those that it no longer sends heartbeats to.
        version: Incremented whenever the set of usable members may have
            changed.
    """

    def __init__(
        self,
        *,
        own_name: str = "",
        repairs: bool = False,
        watches: Callable[[str], bool] = _watches_none,
    ) -> None:
        self.members = MemberTable()
        # Members with ``last_heard_ms`` set; a tick checks only these.
        self._monitored: dict[str, Member] = {}
        self._last_repair_ms: int | None = None
        self.watches = watches
        self.version = 0
        self.counters: collections.Counter[str] = collections.Counter()
        self._own_name = own_name
        self._repairs = repairs
        self._by_address: dict[messages.Address, str] = {}
        self._removed_addresses: collections.OrderedDict[
            messages.Address, None
        ] = collections.OrderedDict()
        self._check_queue: list[str] = []
        self._last_tick_ms: int | None = None

    # Announcements.

    def apply_announcement(
        self, value: dict[str, Any], *, revision: int, key: str = ""
    ) -> None:
        """Applies an announcement read from the platform, unless malformed."""
        announced = parse_announcement(value)
        if announced is None:
            self.counters["announcements_refused"] += 1
            return
        existing = self.members.get(announced.name)
        if existing is not None and existing.revision > revision:
            return
        if (
            existing is not None
            and existing.incarnation > announced.incarnation
        ):
            # A heartbeat of a later incarnation arrived before its
            # announcement. The object of the earlier incarnation is kept so
            # that it can be deleted.
            existing.key, existing.revision = key, revision
            existing.announcement = value
            return
        if existing is None and len(self.members) >= MAX_MEMBERS:
            self.counters["dropped_members_full"] += 1
            return
        member = Member(
            name=announced.name,
            role=announced.role,
            address=messages.Address(announced.ip, announced.port),
            incarnation=announced.incarnation,
            data_centre=announced.data_centre,
            service=announced.service,
            weight=announced.weight,
            state=announced.state,
            key=key,
            revision=revision,
            announcement=value,
            marked=announced.suspected,
        )
        if existing is not None and existing.incarnation == member.incarnation:
            member.last_heard_ms = existing.last_heard_ms
            member.is_confirmed = existing.is_confirmed
            member.sequence = existing.sequence
            member.load = existing.load
            member.cold = existing.cold
            member.suspected = existing.suspected
            member.next_repair_ms = existing.next_repair_ms
            member.state = later_state(existing.state, member.state)
        self._store(member)

    def remove(self, name: str, *, revision: int) -> None:
        """Removes a member whose announcement was deleted."""
        existing = self.members.get(name)
        if existing is not None and existing.revision < revision:
            self._forget(existing)

    def on_deleted(self, name: str, *, revision: int, now_ms: int) -> None:
        """Handles an announcement that the platform no longer has.

        The store may have lost it in its return from an older copy. A member
        in service then stays, known from heartbeats only, until it has
        announced itself again or is silent.

        Args:
            name: Name of the member.
            revision: Revision at which the announcement is missing.
            now_ms: Current time.
        """
        existing = self.members.get(name)
        if (
            existing is None
            or not existing.is_alive
            or existing.state != UP
            or not _is_of_earlier_era(existing.revision, revision)
        ):
            self.remove(name, revision=revision)
            return
        existing.key, existing.revision = "", 0
        existing.announcement = None
        if existing.last_heard_ms is None:
            existing.last_heard_ms = now_ms
            existing.is_confirmed = False
            self._monitored[name] = existing
        self.counters["announcements_lost"] += 1

    def _forget(self, member: Member) -> None:
        del self.members[member.name]
        self._monitored.pop(member.name, None)
        self.version += 1
        if self._by_address.get(member.address) == member.name:
            del self._by_address[member.address]
            self._removed_addresses[member.address] = None
            if len(self._removed_addresses) > MAX_REMOVED_ADDRESSES:
                self._removed_addresses.popitem(last=False)

    def _store(self, member: Member) -> None:
        """Inserts or replaces a member, which becomes the address's owner."""
        other = self.members.get(self._by_address.get(member.address, ""))
        if other is not None and other.name != member.name:
            # A new process on the same address proves that the old one ended.
            other.suspected = True
        existing = self.members.get(member.name)
        if existing is not None and existing.address != member.address:
            self._by_address.pop(existing.address, None)
        self._by_address[member.address] = member.name
        self._removed_addresses.pop(member.address, None)
        self.members[member.name] = member
        if member.last_heard_ms is None:
            self._monitored.pop(member.name, None)
        else:
            self._monitored[member.name] = member
        self.version += 1

    # Heartbeats and acknowledgements.

    def apply_heartbeat(
        self, heartbeat: messages.Heartbeat, *, now_ms: int
    ) -> bool:
        """Applies a heartbeat; returns False if it was dropped.

        Replays are dropped, as are new members when the table is full.
        """
        existing = self.members.get(heartbeat.name)
        if existing is None and len(self.members) >= MAX_MEMBERS:
            self.counters["dropped_members_full"] += 1
            return False
        if existing is not None and (
            heartbeat.incarnation,
            heartbeat.sequence,
        ) <= (
            existing.incarnation,
            existing.sequence,
        ):
            self.counters["dropped_replayed"] += 1
            return False
        if (
            existing is not None
            and existing.incarnation == heartbeat.incarnation
            and existing.address == (heartbeat.ip, heartbeat.port)
        ):
            self._refresh(existing, heartbeat, now_ms)
            return True
        member = Member(
            name=heartbeat.name,
            role=heartbeat.role,
            address=messages.Address(heartbeat.ip, heartbeat.port),
            incarnation=heartbeat.incarnation,
            data_centre=heartbeat.data_centre,
            service=heartbeat.service,
            weight=existing.weight if existing is not None else 1.0,
            state=heartbeat.state,
            last_heard_ms=now_ms,
            is_confirmed=True,
            sequence=heartbeat.sequence,
            load=heartbeat.load,
            cold=heartbeat.cold,
        )
        if existing is not None:
            # The key is kept so that the object of an earlier incarnation can
            # still be marked and deleted.
            member.key = existing.key
            member.revision = existing.revision
            member.announcement = existing.announcement
        self._store(member)
        return True

    def _refresh(
        self, existing: Member, heartbeat: messages.Heartbeat, now_ms: int
    ) -> None:
        state = later_state(existing.state, heartbeat.state)
        if state != existing.state or not existing.is_alive:
            self.version += 1
        existing.state = state
        existing.sequence = heartbeat.sequence
        existing.load = heartbeat.load
        existing.cold = heartbeat.cold
        self._record_contact(existing, now_ms)

    def _record_contact(self, member: Member, now_ms: int) -> None:
        if not member.is_alive:
            self.version += 1
        member.last_heard_ms = now_ms
        self._monitored[member.name] = member
        member.is_confirmed = True
        member.suspected = False
        member.marked = False
        member.next_repair_ms = None

    def apply_ack(self, ack: messages.HeartbeatAck, *, now_ms: int) -> None:
        """Records a watcher's acknowledgement as proof that it is alive."""
        existing = self.members.get(ack.name)
        if existing is None or existing.incarnation != ack.incarnation:
            return
        state = later_state(existing.state, ack.state)
        if state != existing.state:
            self.version += 1
        existing.state = state
        self._record_contact(existing, now_ms)

    # Failure detection.

    def tick(self, now_ms: int) -> list[actions.Action]:
        """Suspects silent members, and marks and deletes their objects.

        If more than ``EJECTION_FLOOR`` of the watched members appear dead at
        the same time, a local fault is assumed and no member is ejected.
        """
        self._compensate_tick_gap(now_ms)
        self._monitor_unheard(now_ms)
        silent = self._silent_members(now_ms)
        if self._apply_ejection_floor(silent, now_ms):
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
                if now_ms - (member.last_heard_ms or 0) > DELETE_AFTER_MS:
                    self._forget(member)
            elif self._repairs and not self._is_repair_too_early(now_ms):
                repairs = self._repair(member, now_ms)
                if repairs:
                    self._last_repair_ms = now_ms
                out.extend(repairs)
        return out

    def _is_repair_too_early(self, now_ms: int) -> bool:
        last_ms = self._last_repair_ms
        return last_ms is not None and now_ms - last_ms < REPAIR_SPACING_MS

    def _repair_order(self, member: Member) -> tuple[int, int]:
        """Sort key: next repair time, then a hash that differs per watcher.

        The time keeps a write that fails repeatedly from blocking the writes
        for other members. Without the hash, watchers of the same members
        would write the same objects at the same time, and all but one of the
        writes would conflict.
        """
        pair = f"{self._own_name} {member.name}"
        return member.next_repair_ms or 0, xxhash.xxh64_intdigest(pair.encode())

    def _apply_ejection_floor(self, silent: list[Member], now_ms: int) -> bool:
        """Clears recent suspicions if too many members are silent at once.

        Members silent for longer than ``MARK_AFTER_MS`` while suspected are
        considered permanently dead, and draining or leaving members are
        expected to stop; neither kind is counted.

        Returns:
            Whether ``EJECTION_FLOOR`` was exceeded.
        """
        recent = [
            m
            for m in silent
            if m.state == UP
            and not (
                m.suspected and now_ms - (m.last_heard_ms or 0) > MARK_AFTER_MS
            )
        ]
        alive = sum(
            m.last_heard_ms is not None and m.state == UP and not m.suspected
            for m in self._monitored.values()
        )
        watched = alive + sum(m.suspected for m in recent)
        if len(recent) <= EJECTION_FLOOR * watched:
            return False
        for member in recent:
            self.version += member.suspected
            member.suspected = False
        return True

    def _compensate_tick_gap(self, now_ms: int) -> None:
        """Extends the time limits by the time this process did not run."""
        last_ms, self._last_tick_ms = self._last_tick_ms, now_ms
        if last_ms is None or now_ms - last_ms < TICK_GAP_MS:
            return
        gap_ms = now_ms - last_ms
        self.counters["tick_gaps"] += 1
        for member in self._monitored.values():
            if member.last_heard_ms is not None:
                member.last_heard_ms = min(
                    now_ms, member.last_heard_ms + gap_ms
                )

    def _monitor_unheard(self, now_ms: int) -> None:
        """Starts monitoring watched members that have never been heard.

        Each call checks ``WATCH_CHECKS_PER_TICK`` members.
        """
        if not self._check_queue:
            self._check_queue = list(self.members)
        for _ in range(min(WATCH_CHECKS_PER_TICK, len(self._check_queue))):
            member = self.members.get(self._check_queue.pop())
            if (
                member is not None
                and member.last_heard_ms is None
                and member.name != self._own_name
                and self.watches(member.name)
            ):
                member.last_heard_ms = now_ms
                member.is_confirmed = False
                self._monitored[member.name] = member

    def _silent_members(self, now_ms: int) -> list[Member]:
        silent = []
        for member in list(self._monitored.values()):
            if member.last_heard_ms is None or member.name == self._own_name:
                continue
            limit_ms = SUSPECT_AFTER_MS
            if not member.is_confirmed:
                limit_ms = MARK_AFTER_MS
            if now_ms - member.last_heard_ms <= limit_ms:
                continue
            if not member.suspected and not self.watches(member.name):
                if not member.key:
                    # No deletion of an announcement would remove it.
                    self._forget(member)
                    continue
                member.last_heard_ms = None
                del self._monitored[member.name]
                continue
            silent.append(member)
        return sorted(silent, key=self._repair_order)

    def _repair(self, member: Member, now_ms: int) -> list[actions.Action]:
        """Returns the write that marks or deletes a silent member's object."""
        value = member.announcement
        silent_ms = now_ms - (member.last_heard_ms or 0)
        if value is None:
            return []
        if member.next_repair_ms is not None and now_ms < member.next_repair_ms:
            return []
        if silent_ms > DELETE_AFTER_MS:
            member.next_repair_ms = now_ms + REPAIR_INTERVAL_MS
            return [actions.DeleteMember(member.key, member.revision)]
        if silent_ms > MARK_AFTER_MS and not value.get("suspected", False):
            member.next_repair_ms = now_ms + REPAIR_INTERVAL_MS
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
        """Returns the members of a role that are alive and in state ``up``.

        Args:
            role: ``agent`` or ``balancer``.
            service: Restricts the result to one service; None for all.
            suspected: Whether to include unmarked members that this process
                suspects.
        """
        return [
            m
            for m in self.members.select(role, service)
            if m.state == UP and not m.marked and (suspected or not m.suspected)
        ]

    def return_path(
        self, preferred: messages.Address, flow_key: bytes
    ) -> messages.Address:
        """Returns the address of the balancer that relays an answer.

        This is ``preferred``, the sender of the flow's last packet, unless it
        is suspected, marked, draining, leaving or removed. A balancer that is
        not in the table yet is used, because its packet has just arrived.
        """
        member = self.members.get(self._by_address.get(preferred, ""))
        if member is None:
            if preferred not in self._removed_addresses:
                return preferred
        elif member.is_alive and member.state == UP:
            return preferred
        live = self.with_role("balancer")
        if not live:
            return preferred
        return live[int.from_bytes(flow_key[:4]) % len(live)].address
