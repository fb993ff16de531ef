"""Base class of the balancer and agent roles of the daemon."""

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

MEMBER_PREFIX = "members/"
CONTROL_KINDS = (
    messages.Kind.HEARTBEAT,
    messages.Kind.HEARTBEAT_ACK,
    messages.Kind.LOAD,
)


class Node:
    """Record replica, membership, heartbeats and tasks of a daemon."""

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
            on_new_era=self._repeat_announcement,
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
        # Heartbeats are sent from a separate socket. It is replaced when no
        # watcher answers any more; the peer socket and its address stay.
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
        self._lost_members = 0

    @property
    def service(self) -> str:
        """Service of the backend server; empty on a balancer."""
        backend = self.settings.backend
        return backend.service if backend is not None else ""

    @property
    def load(self) -> float:
        """Share of the admission limit in use, from 0 to 1."""
        return 0.0

    @property
    def is_cold(self) -> bool:
        """Whether the cold-start ramp still limits the backend server."""
        return False

    @property
    def is_ready(self) -> bool:
        """Whether the daemon is up and holds a record set."""
        return self.state == membership.UP and self.replica.revision > 0

    def start(self) -> None:
        """Starts the sockets, the admin server and the tasks."""
        self.sync.start()
        self.peer.start()
        self.control.start()
        self.admin.start()
        tasks.spawn("heartbeats", self._run_heartbeats)
        self.announcer.announce()

    def dump(self) -> dict[str, Any]:
        """Returns the state for the admin dump, without secrets."""
        sent_by_kind = _sum_by_kind(
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
            "peer_received_by_kind": _sum_by_kind(
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
        previous, self.control = self.control, self._new_control_socket()
        self.control.inherit_counters(previous)
        self.control.start()
        previous.stop()
        self._count_drop("control_socket_silent")

    def current_epoch(self) -> int:
        """Returns a number that changes after each pause of the process.

        Only a balancer detects pauses.
        """
        return 0

    def on_records_read(self, epoch: int) -> None:
        """Called when records requested in ``epoch`` have been applied."""

    def on_revision_confirmed(self, sequence: int) -> None:
        """Called when a watcher reports no newer record revision.

        Args:
            sequence: Sequence number of the acknowledged heartbeat.
        """

    # Records.

    def apply_changes(self, changes: Iterable[replica.StoredObject]) -> None:
        """Applies changed objects to the membership and the records."""
        changes = list(changes)
        self._lost_members = sum(map(_is_member_lost, changes))
        for change in changes:
            # A malformed object must not block the changes after it.
            try:
                self._apply_change(change)
            except Exception:
                tasks.report("apply_change")
        self.on_records(self.records)

    def _apply_change(self, change: replica.StoredObject) -> None:
        if change.key.startswith(MEMBER_PREFIX):
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
        """Passes the current records to the core."""
        raise NotImplementedError

    def _apply_member(self, change: replica.StoredObject) -> None:
        if change.key == self._member_key and self.state == membership.UP:
            self.announcer.on_change(change, affected=self._lost_members)
        if change.value is None:
            name = change.key.rsplit("/", 1)[1]
            self.members.on_deleted(
                name, revision=change.revision, now_ms=clock.boot_ms()
            )
        else:
            self.members.apply_announcement(
                change.value, revision=change.revision, key=change.key
            )

    # Announcement and heartbeats.

    @property
    def _member_key(self) -> str:
        group = self.service or self.settings.data_centre
        role, name = self.settings.role, self.settings.name
        return f"{MEMBER_PREFIX}{role}/{group}/{name}"

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

    def _repeat_announcement(self) -> None:
        members = sum(1 for _ in self.replica.items(MEMBER_PREFIX))
        self.announcer.announce_again(affected=members)

    def _run_heartbeats(self) -> None:
        while True:
            self.carry_out(self.members.tick(clock.boot_ms()))
            self._send_heartbeats()
            interval_s = self.settings.heartbeat_interval_ms / 1000
            eventlet.sleep(interval_s * self.rng.uniform(0.9, 1.1))

    def _send_heartbeats(self) -> None:
        self.carry_out(
            self.heartbeats.next_heartbeats(
                state=self.state,
                load=self.load,
                cold=self.is_cold,
                revision=self.replica.revision,
                now_ms=clock.boot_ms(),
            )
        )

    def announce_state(self, state: str) -> None:
        """Changes the state and publishes it to watchers and platform."""
        self.state = state
        eliot.log_message("state_changed", state=state)
        self._send_heartbeats()
        self.announcer.announce()

    # Datagrams.

    def _on_peer_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            kind, body = wire.decode_peer(data, self.ring)
            sender = messages.Address(*address)
            match kind:
                case messages.Kind.HEARTBEAT:
                    heartbeat = wire.decode_body(kind, body)
                    requested = self.heartbeats.on_heartbeat(
                        heartbeat,
                        sender,
                        state=self.state,
                        revision=self.replica.revision,
                        now_ms=clock.boot_ms(),
                    )
                    if requested:  # empty for a replayed heartbeat
                        self.on_heartbeat(heartbeat)
                    self.carry_out(requested)
                case messages.Kind.HEARTBEAT_ACK:
                    ack = wire.decode_body(kind, body)
                    requested = self.heartbeats.on_ack(
                        ack,
                        sender,
                        revision=self.replica.revision,
                        now_ms=clock.boot_ms(),
                    )
                    if not requested:
                        self.on_revision_confirmed(ack.sequence)
                    self.carry_out(requested)
                case _:
                    self.on_peer_datagram(kind, body, sender)
        except errors.DatagramError as error:
            self._count_drop(error.reason)
            if error.reason == "unknown_key":
                self.sync.resync()

    def on_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Called for each accepted heartbeat."""

    def on_peer_datagram(
        self, kind: int, body: bytes, sender: messages.Address
    ) -> None:
        """Handles an authenticated datagram that is no heartbeat or ack."""
        raise NotImplementedError

    def _count_drop(self, reason: str) -> None:
        self.drops[reason] = self.drops.get(reason, 0) + 1

    def carry_out(self, requested: Iterable[actions.Action]) -> None:
        """Carries out the actions that the core requests."""
        for action in requested:
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
                    self.carry_out_role_action(action)

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

    def carry_out_role_action(self, action: actions.Action) -> None:
        """Carries out an action that is specific to the role."""
        raise NotImplementedError


def _is_member_lost(change: replica.StoredObject) -> bool:
    """Returns whether a change marks a member as suspected or deletes it."""
    if not change.key.startswith(MEMBER_PREFIX):
        return False
    return change.value is None or bool(change.value.get("suspected"))


def _sum_by_kind(*counts: list[int]) -> dict[str, int]:
    """Adds up counters per datagram kind, keyed by the kind's name."""
    totals = [sum(column) for column in zip(*counts, strict=True)]
    return {kind.name: totals[kind] for kind in messages.Kind if totals[kind]}
