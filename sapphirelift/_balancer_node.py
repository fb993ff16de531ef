"""The balancer role of the daemon."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import eliot
import eventlet

from sapphirelift import _node
from sapphirelift import _status_writer
from sapphirelift import clock
from sapphirelift import messages
from sapphirelift import settings as settings_module
from sapphirelift import tasks
from sapphirelift import wire
from sapphirelift.callers import plain_ports
from sapphirelift.callers import tcp_ports
from sapphirelift.core import actions
from sapphirelift.core.flows import balancer
from sapphirelift.core.flows import routing
from sapphirelift.core.membership import membership
from sapphirelift.core.membership import status
from sapphirelift.core.records import record_set
from sapphirelift.core.records import replica
from sapphirelift.peers import endpoint
from sapphirelift.platform import client

# Time without packets after which a balancer that shuts down exits.
QUIET_PERIOD_S = 1.0
PAUSE_CHECK_INTERVAL_S = 0.25


class _HashTarget(NamedTuple):
    """A balancer as a candidate for rendezvous hashing."""

    name: str
    weight: float = 1.0


class BalancerNode(_node.Node):
    """Sockets and tasks of a balancer."""

    def __init__(self, settings: settings_module.Settings) -> None:
        super().__init__(settings)
        assert settings.public is not None
        self.core = balancer.BalancerCore(
            address=self.peer.address,
            members=self.members,
            ring=self.ring,
            incarnation=self.incarnation,
        )
        self.plain_ports = plain_ports.PlainPorts(
            settings.public.ip, self._on_plain_datagram
        )
        self.tcp_ports = tcp_ports.TcpPorts(
            settings.public.ip, lambda: self.public.address
        )
        self._epoch = 0
        self._first_sequence_after_pause = 0
        self.public = endpoint.Endpoint(
            settings.public.address, self._on_caller_datagram
        )
        self.status_writer = _status_writer.StatusWriter(
            client.ObjectClient(
                settings.platform_url,
                name=settings.name,
                rng=self.rng,
                credentials=settings.platform_credentials,
            ),
            name=settings.name,
            incarnation=self.incarnation,
            is_candidate=self._is_status_candidate,
            members=lambda: self.members.members.keys(),
            conditions=self._conditions,
            rng=self.rng,
        )

    def start(self) -> None:
        """Starts the sockets, the admin server and the tasks."""
        super().start()
        self.public.start()
        tasks.spawn("status_writer", self.status_writer.run)
        tasks.spawn("own_clock", self._watch_for_pauses)

    def _watch_for_pauses(self) -> None:
        """Detects pauses and sends heartbeats until the records are fresh.

        The watchers answer them with their record revision.
        """
        while True:
            eventlet.sleep(PAUSE_CHECK_INTERVAL_S)
            self.current_epoch()
            if not self.core.freshness.is_fresh(clock.boot_ms()):
                self._send_heartbeats()

    def current_epoch(self) -> int:
        """Returns a number that changes after each pause of the process."""
        freshness = self.core.freshness
        freshness.observe(clock.boot_ms())
        if freshness.gaps != self._epoch:
            self._epoch = freshness.gaps
            self._first_sequence_after_pause = self.heartbeats.sequence + 1
            eliot.log_message("resumed_after_freeze")
            self._send_heartbeats()
        return self._epoch

    def on_records_read(self, epoch: int) -> None:
        """Accepts a read of the records that began after the last pause."""
        if epoch == self.current_epoch():
            self.core.freshness.confirm()

    def on_revision_confirmed(self, sequence: int) -> None:
        """Accepts only answers to heartbeats sent after the last pause.

        Older answers may have been in the socket's buffer during the pause.
        """
        self.current_epoch()
        if sequence >= self._first_sequence_after_pause:
            self.core.freshness.confirm()

    def apply_changes(self, changes: Iterable[replica.StoredObject]) -> None:
        """Applies changed objects, then opens and closes service ports."""
        super().apply_changes(changes)
        self._update_ports()

    def _update_ports(self) -> None:
        datagram_ports, stream_ports = self.records.ports()
        if self.state == membership.UP:
            self.tcp_ports.update(stream_ports)
        self.plain_ports.update(datagram_ports)
        self.core.plain.tick(set(datagram_ports), clock.boot_ms())

    def _on_plain_datagram(
        self, service: str, data: bytes, address: tuple[str, int]
    ) -> None:
        action = self.core.on_plain(
            service, data, address, now_ms=clock.boot_ms()
        )
        if action is not None:
            self.peer.send(action.data, action.address)

    def stop(self) -> None:
        """Shuts down gracefully: forwards until callers have moved away."""
        self.announce_state(membership.LEAVING)
        with eventlet.Timeout(self.settings.stop_timeout_ms / 1000, False):
            self.tcp_ports.stop()
            last_packets = -1
            while last_packets != self.core.packets:
                last_packets = self.core.packets
                eventlet.sleep(QUIET_PERIOD_S)

    def on_records(self, records: record_set.RecordSet) -> None:
        """Passes withdrawn data centres and drained agents to the core."""
        self.core.set_withdrawn(records.withdrawn())
        self.core.set_drained(records.drained())

    def _send_heartbeats(self) -> None:
        super()._send_heartbeats()
        self._update_ports()

    def dump(self) -> dict[str, Any]:
        """Returns the state for the admin dump, without secrets."""
        return super().dump() | {
            "counters": dict(self.core.counters),
            "withdrawn": sorted(self.core.withdrawn),
            "status": {
                "holds_lease": self.status_writer.lease.holds(clock.boot_ms()),
                "term": self.status_writer.lease.term,
                "counters": dict(self.status_writer.counters),
            },
        }

    def on_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Records the revision that the sender has applied."""
        self.status_writer.status_builder.observe(
            heartbeat.name, heartbeat.revision
        )

    def _is_status_candidate(self) -> bool:
        """Returns whether this balancer may compete for the status lease."""
        others = self.members.with_role("balancer")
        names = {m.name for m in others} | {self.settings.name}
        candidates = routing.candidates(
            _status_writer.LEASE_KEY.encode(),
            [_HashTarget(name) for name in names],
            count=_status_writer.CANDIDATES,
        )
        return _HashTarget(self.settings.name) in candidates

    def _conditions(self) -> Iterator[status.Condition]:
        name = self.settings.name
        self.status_writer.status_builder.observe(name, self.replica.revision)
        for member in self.members.members.values():
            if member.suspected:
                yield status.Condition(
                    "member_suspected", member.name, "no heartbeat"
                )
            if member.cold:
                yield status.Condition(
                    "member_cold", member.name, "ramp after a start or failure"
                )
            if member.state != membership.UP:
                yield status.Condition(
                    "member_stopping", member.name, member.state
                )
        for data_centre in self.core.withdrawn:
            yield status.Condition(
                "data_centre_withdrawn", data_centre, "withdrawn by its record"
            )
        for key, reason in self.records.refused.items():
            yield status.Condition("record_refused", key, reason)
        for agent in self.core.drained:
            yield status.Condition(
                "backend_server_drained", agent, "drained by its record"
            )
        for kind, failed in (
            ("tcp_port_not_opened", self.tcp_ports.failed),
            ("datagram_port_not_opened", self.plain_ports.failed),
        ):
            for service, reason in failed.items():
                yield status.Condition(kind, f"{name} {service}", reason)
        if self.sync.watch_silent:
            yield status.Condition(
                "platform_watch_silent", name, "no answer to the last watch"
            )
        if self.sync.platform_reverted:
            yield status.Condition(
                "platform_reverted",
                name,
                "the platform is at a lower revision than the one in force",
            )

    def _on_caller_datagram(
        self, data: bytes, address: tuple[str, int]
    ) -> None:
        now_ms = clock.boot_ms()
        packet = self.core.forward(data, address, now_ms=now_ms)
        if packet is not None:
            self.peer.send(*packet)
            return
        if self.core.freshness.gaps != self._epoch:
            # Sends heartbeats now instead of at the next check for pauses.
            self.current_epoch()
        action = self.core.on_caller_datagram(data, address, now_ms=now_ms)
        match action:
            case actions.SendPeer(agent, datagram):
                self.peer.send(datagram, agent)
            case actions.SendCaller(caller, datagram):
                self.public.send(datagram, caller)

    def on_peer_datagram(
        self, kind: int, body: bytes, sender: messages.Address
    ) -> None:
        """Handles an authenticated datagram that is no heartbeat or ack."""
        del sender
        if kind == messages.Kind.PLAIN_REPLY:
            self.plain_ports.reply(wire.decode_body(kind, body))
            return
        if kind != messages.Kind.RELAY:
            self._count_drop("unexpected_kind")
            return
        action = self.core.on_relay(body)
        if action is not None:
            self.public.send(action.data, action.address)

    def carry_out_role_action(self, action: actions.Action) -> None:
        """Carries out an action that is specific to balancers."""
        match action:
            case actions.SendCaller(caller, datagram):
                self.public.send(datagram, caller)
