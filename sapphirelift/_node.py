"""What both roles of the daemon share."""

import random
from collections.abc import Iterable
from typing import Any

import eliot
import eventlet

from sapphirelift import _announcer
from sapphirelift import _key_rotation
from sapphirelift import _record_sync
from sapphirelift import clock
from sapphirelift import errors
from sapphirelift import messages
from sapphirelift import settings as settings_module
from sapphirelift import tasks
from sapphirelift import wire
from sapphirelift.core import actions
from sapphirelift.core import keys
from sapphirelift.core.membership import heartbeats
from sapphirelift.core.membership import membership
from sapphirelift.core.records import keyring
from sapphirelift.core.records import record_set
from sapphirelift.core.records import replica
from sapphirelift.operators import admin
from sapphirelift.peers import endpoint

MEMBERS = "members/"
CONTROL_KINDS = (
    messages.Kind.HEARTBEAT,
    messages.Kind.HEARTBEAT_ACK,
    messages.Kind.LOAD,
)


class Node:
    """Replica, membership, heartbeats and tasks of one daemon."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self.settings = settings
        self.incarnation = clock.new_incarnation()
        self.rng = random.Random(self.incarnation)
        self.ring = keys.KeyRing(
            0, {0: bytes.fromhex(settings.cluster_key_hex)}
        )
        self.rotation = _key_rotation.KeyRotation(self.ring)
        self.state = membership.UP
        self.sync = _record_sync.RecordSync(
            settings,
            on_changes=self.apply_changes,
            epoch=self.current_epoch,
            on_read=self.on_records_read,
            rng=self.rng,
        )
        self.replica = self.sync.replica
        self.records = record_set.RecordSet()
        self.members = membership.Membership(
            own_name=settings.name, repairs=settings.role == "balancer"
        )
        self.peer = endpoint.Endpoint(
            settings.peer.address, self._on_peer_datagram
        )
        # Heartbeats leave from a socket of their own, which is replaced when
        # its path goes silent; the peer address stays.
        self.control = self._new_control_socket()
        self.heartbeats = heartbeats.Heartbeats(
            name=settings.name,
            role=settings.role,
            address=self.peer.address,
            incarnation=self.incarnation,
            data_centre=settings.data_centre,
            service=self.service,
            members=self.members,
            ring=self.ring,
            neighbours=[n.address for n in settings.neighbours],
        )
        self.announcer = _announcer.Announcer(
            self.sync.platform,
            key=self._member_key,
            announcement=self._announcement,
            rng=self.rng,
        )
        self.admin = admin.AdminServer(settings.admin.address, self)
        self.drops: dict[str, int] = {}
        self._members_affected = 0

    @property
    def service(self) -> str:
        """Service of the backend server, empty for a balancer."""
        backend = self.settings.backend
        return backend.service if backend is not None else ""

    @property
    def load(self) -> float:
        """Busy share of the admission limit, 0 to 1."""
        return 0.0

    @property
    def is_cold(self) -> bool:
        """Whether the ramp limits the backend server."""
        return False

    @property
    def is_ready(self) -> bool:
        """Whether the process wants new work."""
        return self.state == membership.UP and self.replica.revision > 0

    def start(self) -> None:
        """Starts all tasks."""
        self.sync.start()
        self.peer.start()
        self.control.start()
        self.admin.start()
        tasks.spawn("heartbeats", self._beat_forever)
        self.announcer.announce()

    def dump(self) -> dict[str, Any]:
        """Returns the state of the process, without secrets."""
        sent_by_kind = _by_kind(
            self.peer.sent_bytes_by_kind, self.control.sent_bytes_by_kind
        )
        return {
            "name": self.settings.name,
            "role": self.settings.role,
            "incarnation": self.incarnation,
            "state": self.state,
            "announcements": dict(self.announcer.counters),
            "keyring": {
                "current_id": self.ring.current_id,
                "ids": sorted(self.ring.keys),
                "refused": self.rotation.refused,
            },
            "peer_bytes_sent": self.peer.bytes_sent,
            "control_bytes_sent": sum(
                sent_by_kind.get(kind.name, 0) for kind in CONTROL_KINDS
            ),
            "peer_sent_bytes_by_kind": sent_by_kind,
            "peer_received_by_kind": _by_kind(
                self.peer.received_by_kind, self.control.received_by_kind
            ),
            "drops": self.drops,
            "task_failures": dict(tasks.failures),
            "refused_records": dict(self.records.refused),
            "drained": sorted(self.records.drained()),
            "record_set": dict(self.records.counters),
            "membership": dict(self.members.counters),
            "members": {
                m.name: {
                    "role": m.role,
                    "state": m.state,
                    "suspected": m.suspected,
                    "marked": m.marked,
                    "cold": m.cold,
                    "incarnation": m.incarnation,
                }
                for m in self.members.members.values()
            },
        } | self.sync.dump()

    def _new_control_socket(self) -> endpoint.Endpoint:
        return endpoint.Endpoint(
            messages.Address(self.settings.peer.ip, 0), self._on_peer_datagram
        )

    def _replace_control_socket(self) -> None:
        former, self.control = self.control, self._new_control_socket()
        self.control.inherit_counters(former)
        self.control.start()
        former.stop()
        self._count_drop("control_socket_silent")

    def current_epoch(self) -> int:
        """Returns a number that changes when the process was frozen."""
        return 0

    def on_records_read(self, epoch: int) -> None:
        """Called when records asked for in ``epoch`` are in force."""

    def on_revision_confirmed(self, sequence: int) -> None:
        """Called when a watcher knows no newer revision than this process.

        Args:
            sequence: Sequence number of the heartbeat that it answers.
        """

    # Records.

    def apply_changes(self, changes: Iterable[replica.StoredObject]) -> None:
        """Brings changed objects into force."""
        changes = list(changes)
        self._members_affected = sum(map(_is_member_lost, changes))
        for change in changes:
            # An object of unknown form must not keep the others from force.
            try:
                self._apply_change(change)
            except Exception:
                tasks.report("apply_change")
        self.on_records(self.records)

    def _apply_change(self, change: replica.StoredObject) -> None:
        if change.key.startswith(MEMBERS):
            self._apply_member(change)
        elif change.key.startswith(record_set.PREFIX):
            self._apply_record(change)

    def _apply_record(self, change: replica.StoredObject) -> None:
        reason = self.records.refused.get(change.key)
        self.records.apply(change)
        refused = self.records.refused.get(change.key)
        if refused is not None and refused != reason:
            eliot.log_message("record_refused", key=change.key, reason=refused)
        if change.key == keyring.KEY:
            self.rotation.apply(change)

    def on_records(self, records: record_set.RecordSet) -> None:
        """Brings the records in force to the core."""
        raise NotImplementedError

    def _apply_member(self, change: replica.StoredObject) -> None:
        if change.key == self._member_key and self.state == membership.UP:
            self.announcer.on_change(change, affected=self._members_affected)
        if change.value is None:
            name = change.key.rsplit("/", 1)[1]
            self.members.remove(name, revision=change.revision)
        else:
            self.members.apply_announcement(
                change.value, revision=change.revision, key=change.key
            )

    # Announcement and heartbeats.

    @property
    def _member_key(self) -> str:
        group = self.service or self.settings.data_centre
        role, name = self.settings.role, self.settings.name
        return f"{MEMBERS}{role}/{group}/{name}"

    def _announcement(self) -> dict[str, Any]:
        backend = self.settings.backend
        return {
            "schema_version": 1,
            "name": self.settings.name,
            "role": self.settings.role,
            "ip": self.peer.address.ip,
            "port": self.peer.address.port,
            "incarnation": self.incarnation,
            "data_centre": self.settings.data_centre,
            "service": self.service,
            "weight": backend.weight if backend is not None else 1.0,
            "state": self.state,
        }

    def _beat_forever(self) -> None:
        while True:
            self.carry_out(self.members.tick(clock.now_ms()))
            self._beat()
            interval_s = self.settings.heartbeat_interval_ms / 1000
            eventlet.sleep(interval_s * self.rng.uniform(0.9, 1.1))

    def _beat(self) -> None:
        self.carry_out(
            self.heartbeats.beat(
                state=self.state,
                load=self.load,
                cold=self.is_cold,
                revision=self.replica.revision,
                now_ms=clock.now_ms(),
            )
        )

    def announce_state(self, state: str) -> None:
        """Changes the state and tells watchers and platform."""
        self.state = state
        eliot.log_message("state_changed", state=state)
        self._beat()
        self.announcer.announce()

    # Datagrams.

    def _on_peer_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            kind, body = wire.decode_peer(data, self.ring)
            sender = messages.Address(*address)
            match kind:
                case messages.Kind.HEARTBEAT:
                    beat = wire.decode_body(kind, body)
                    out = self.heartbeats.on_heartbeat(
                        beat,
                        sender,
                        state=self.state,
                        revision=self.replica.revision,
                        now_ms=clock.now_ms(),
                    )
                    if out:  # empty for a replay
                        self.on_heartbeat(beat)
                    self.carry_out(out)
                case messages.Kind.HEARTBEAT_ACK:
                    ack = wire.decode_body(kind, body)
                    out = self.heartbeats.on_ack(
                        ack,
                        sender,
                        revision=self.replica.revision,
                        now_ms=clock.now_ms(),
                    )
                    if not out:
                        self.on_revision_confirmed(ack.sequence)
                    self.carry_out(out)
                case _:
                    self.on_peer_datagram(kind, body, sender)
        except errors.DatagramError as error:
            self._count_drop(error.reason)
            if error.reason == "unknown_key":
                self.sync.resync()

    def on_heartbeat(self, beat: messages.Heartbeat) -> None:
        """Sees each heartbeat that was accepted."""

    def on_peer_datagram(
        self, kind: int, body: bytes, sender: messages.Address
    ) -> None:
        """Handles a verified datagram other than a heartbeat."""
        raise NotImplementedError

    def _count_drop(self, reason: str) -> None:
        self.drops[reason] = self.drops.get(reason, 0) + 1

    def carry_out(self, wanted: Iterable[actions.Action]) -> None:
        """Carries out actions of the core."""
        for action in wanted:
            match action:
                case actions.SendPeer(address, data):
                    self.peer.send(data, address)
                case actions.SendControl(address, data):
                    self.control.send(data, address)
                case actions.ReplaceControlSocket():
                    self._replace_control_socket()
                case actions.MarkMember(key, revision, value):
                    eventlet.spawn(self._mark_member, key, revision, value)
                case actions.DeleteMember(key, revision):
                    eventlet.spawn(self._delete_member, key, revision)
                case actions.FetchRecords(address):
                    eventlet.spawn(self.sync.fetch, address)
                case actions.LogState(event, fields):
                    eliot.log_message(event, **fields)
                case _:
                    self.carry_out_own(action)

    def _mark_member(
        self, key: str, revision: int, value: dict[str, Any]
    ) -> None:
        try:
            self.sync.platform.put(key, value, expected_revision=revision)
        except errors.ConflictError:
            self._count_drop("mark_conflict")
        except errors.PlatformUnavailableError:
            self._count_drop("mark_failed")

    def _delete_member(self, key: str, revision: int) -> None:
        try:
            self.sync.platform.delete(key, expected_revision=revision)
        except errors.ConflictError:
            self._count_drop("delete_conflict")
        except errors.PlatformUnavailableError:
            self._count_drop("delete_failed")

    def carry_out_own(self, action: actions.Action) -> None:
        """Carries out an action that only one role has."""
        raise NotImplementedError


def _is_member_lost(change: replica.StoredObject) -> bool:
    """Tells whether a change marks or deletes a member."""
    if not change.key.startswith(MEMBERS):
        return False
    return change.value is None or bool(change.value.get("suspected"))


def _by_kind(*counts: list[int]) -> dict[str, int]:
    """Returns the sums of counts by the name of the datagram kind."""
    totals = [sum(pair) for pair in zip(*counts, strict=True)]
    return {kind.name: totals[kind] for kind in messages.Kind if totals[kind]}
