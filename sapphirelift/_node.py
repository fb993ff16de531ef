"""What both roles of the daemon share."""

import random
from collections.abc import Iterable
from typing import Any

import eliot
import eventlet

from sapphirelift import clock
from sapphirelift import errors
from sapphirelift import messages
from sapphirelift import settings as settings_module
from sapphirelift import wire
from sapphirelift.core import actions
from sapphirelift.core import heartbeats
from sapphirelift.core import keys
from sapphirelift.core import membership
from sapphirelift.core import replica
from sapphirelift.operators import admin
from sapphirelift.peers import endpoint
from sapphirelift.peers import records
from sapphirelift.platform import client

WATCH_WAIT_MS = 10_000
MAX_BACKOFF_S = 5.0
MIN_BACKOFF_S = 0.1
DATA_CENTRES = "records/data_centre/"
MEMBERS = "members/"


class Node:
    """Replica, membership, heartbeats and tasks of one daemon."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self.settings = settings
        self.incarnation = clock.new_incarnation()
        self.rng = random.Random(self.incarnation)
        self.ring = keys.KeyRing(
            0, {0: bytes.fromhex(settings.cluster_key_hex)}
        )
        self.state = membership.UP
        self.replica = replica.Replica()
        self.members = membership.Membership()
        self.peer = endpoint.Endpoint(
            settings.peer.address, self._on_peer_datagram
        )
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
        self.platform = client.ObjectClient(settings.platform_url)
        self.record_server = records.RecordServer(
            self.peer.address, self.replica
        )
        self.admin = admin.AdminServer(settings.admin.address, self)
        self._fetching = False
        self.drops: dict[str, int] = {}

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
    def is_ready(self) -> bool:
        """Whether the process wants new work."""
        return self.state == membership.UP and self.replica.revision > 0

    def start(self) -> None:
        """Starts all tasks."""
        self.record_server.start()
        self.peer.start()
        self.admin.start()
        eventlet.spawn(self._beat_forever)
        eventlet.spawn(self._follow_platform)
        eventlet.spawn(self._announce)

    def dump(self) -> dict[str, Any]:
        """Returns the state of the process, without secrets."""
        return {
            "name": self.settings.name,
            "role": self.settings.role,
            "incarnation": self.incarnation,
            "state": self.state,
            "revision": self.replica.revision,
            "platform_calls": self.platform.calls,
            "peer_bytes_sent": self.peer.bytes_sent,
            "peer_sent_bytes_by_kind": _by_kind(self.peer.sent_bytes_by_kind),
            "peer_received_by_kind": _by_kind(self.peer.received_by_kind),
            "drops": self.drops,
            "members": {
                m.name: {
                    "role": m.role,
                    "state": m.state,
                    "suspected": m.suspected,
                    "incarnation": m.incarnation,
                }
                for m in self.members.members.values()
            },
        }

    # Records.

    def apply_changes(self, changes: Iterable[replica.StoredObject]) -> None:
        """Brings changed objects into force."""
        for change in changes:
            if change.key.startswith(MEMBERS):
                self._apply_member(change)
        out = {
            item.key.removeprefix(DATA_CENTRES)
            for item in self.replica.items(DATA_CENTRES)
            if item.value is not None and item.value.get("withdrawn")
        }
        self.set_withdrawn(out)

    def set_withdrawn(self, data_centres: set[str]) -> None:
        """Sets the data centres that operators have taken out."""
        raise NotImplementedError

    def _apply_member(self, change: replica.StoredObject) -> None:
        if change.value is None:
            name = change.key.rsplit("/", 1)[1]
            self.members.remove(name, revision=change.revision)
        else:
            self.members.apply_announcement(
                change.value, revision=change.revision
            )

    def _apply_listing(self, listing: client.Listing) -> None:
        if listing.complete:
            changes = self.replica.replace(
                listing.objects, revision=listing.revision
            )
        else:
            changes = self.replica.apply(
                listing.objects, revision=listing.revision
            )
        if changes:
            self.apply_changes(changes)

    def _follow_platform(self) -> None:
        """Keeps the replica up to date; balancers watch, agents list once."""
        backoff_s = MIN_BACKOFF_S
        while True:
            try:
                if self.replica.revision == 0:
                    self._apply_listing(self.platform.list_objects(""))
                    if self.settings.role == "agent":
                        return
                else:
                    self._apply_listing(
                        self.platform.watch(
                            "",
                            since=self.replica.revision,
                            wait_ms=WATCH_WAIT_MS,
                        )
                    )
                backoff_s = MIN_BACKOFF_S
            except errors.PlatformUnavailableError:
                if self.replica.revision == 0:
                    self._fetch_from_neighbours()
                eventlet.sleep(backoff_s * self.rng.uniform(0.5, 1.5))
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    def _fetch_from_neighbours(self) -> None:
        for neighbour in self.settings.neighbours:
            self.fetch_records(neighbour.address)

    def fetch_records(self, address: messages.Address) -> None:
        """Fetches the changes since the replica's revision."""
        if self._fetching:
            return
        self._fetching = True
        try:
            reply = records.fetch(address, since=self.replica.revision)
            changes = self.replica.apply(reply.objects, revision=reply.revision)
            self.apply_changes(changes)
        except errors.FetchError:
            self._count_drop("fetch_failed")
        finally:
            self._fetching = False

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

    def _announce(self) -> None:
        """Writes the announcement until the platform has accepted it."""
        backoff_s = MIN_BACKOFF_S
        announced_state = self.state
        while True:
            try:
                self.platform.put(self._member_key, self._announcement())
                if announced_state == self.state:
                    return
                announced_state = self.state
            except errors.SapphireliftError:
                eventlet.sleep(backoff_s * self.rng.uniform(0.5, 1.5))
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    def _beat_forever(self) -> None:
        while True:
            self._beat()
            interval_s = self.settings.heartbeat_interval_ms / 1000
            eventlet.sleep(interval_s * self.rng.uniform(0.9, 1.1))

    def _beat(self) -> None:
        self.carry_out(
            self.heartbeats.beat(
                state=self.state,
                load=self.load,
                revision=self.replica.revision,
            )
        )
        for member in self.members.tick(clock.now_ms()):
            eliot.log_message("member_suspected", name=member.name)

    def announce_state(self, state: str) -> None:
        """Changes the state and tells watchers and platform."""
        self.state = state
        eliot.log_message("state_changed", state=state)
        self._beat()
        eventlet.spawn(self._announce)

    # Datagrams.

    def _on_peer_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            kind, body = wire.decode_peer(data, self.ring)
            sender = messages.Address(*address)
            match kind:
                case messages.Kind.HEARTBEAT:
                    out = self.heartbeats.on_heartbeat(
                        wire.decode_body(kind, body),
                        sender,
                        state=self.state,
                        revision=self.replica.revision,
                        now_ms=clock.now_ms(),
                    )
                    self.carry_out(out)
                case messages.Kind.HEARTBEAT_ACK:
                    out = self.heartbeats.on_ack(
                        wire.decode_body(kind, body),
                        sender,
                        revision=self.replica.revision,
                        now_ms=clock.now_ms(),
                    )
                    self.carry_out(out)
                case _:
                    self.on_peer_datagram(kind, body, sender)
        except errors.DatagramError as error:
            self._count_drop(error.reason)

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
                case actions.FetchRecords(address):
                    eventlet.spawn(self.fetch_records, address)
                case actions.LogState(event, fields):
                    eliot.log_message(event, **fields)
                case _:
                    self.carry_out_own(action)

    def carry_out_own(self, action: actions.Action) -> None:
        """Carries out an action that only one role has."""
        raise NotImplementedError


def _by_kind(counts: list[int]) -> dict[str, int]:
    """Names the kinds whose count is not zero."""
    return {k.name: counts[k] for k in messages.Kind if counts[k]}
