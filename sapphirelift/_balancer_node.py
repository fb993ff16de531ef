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

QUIET_S = 1.0
WATCHDOG_S = 0.25


class _Named(NamedTuple):
    """A balancer as a target of rendezvous hashing."""

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
            settings.public.ip, self._on_plain
        )
        self.tcp_ports = tcp_ports.TcpPorts(
            settings.public.ip, lambda: self.public.address
        )
        self._epoch = 0
        self._resumed_sequence = 0
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
        """Starts all tasks."""
        super().start()
        self.public.start()
        tasks.spawn("status_writer", self.status_writer.run)
        tasks.spawn("own_clock", self._watch_own_clock)

    def _watch_own_clock(self) -> None:
        """Asks the neighbours for their revision after a freeze."""
        while True:
            eventlet.sleep(WATCHDOG_S)
            self.current_epoch()
            if not self.core.freshness.is_fresh(clock.now_ms()):
                self._beat()

    def current_epoch(self) -> int:
        """Returns a number that changes when the process was frozen."""
        freshness = self.core.freshness
        freshness.observe(clock.now_ms())
        if freshness.gaps != self._epoch:
            self._epoch = freshness.gaps
            self._resumed_sequence = self.heartbeats.sequence + 1
            eliot.log_message("resumed_after_freeze")
            self._beat()
        return self._epoch

    def on_records_read(self, epoch: int) -> None:
        """Called when records asked for in ``epoch`` are in force."""
        if epoch == self.current_epoch():
            self.core.freshness.confirm()

    def on_revision_confirmed(self, sequence: int) -> None:
        """Accepts only answers to heartbeats sent after the last freeze.

        Older answers may have waited in the socket's buffer.
        """
        self.current_epoch()
        if sequence >= self._resumed_sequence:
            self.core.freshness.confirm()

    def apply_changes(self, changes: Iterable[replica.StoredObject]) -> None:
        """Brings changed objects into force."""
        super().apply_changes(changes)
        self._update_ports()

    def _update_ports(self) -> None:
        wanted, tcp = self.records.ports()
        if self.state == membership.UP:
            self.tcp_ports.update(tcp)
        self.plain_ports.update(wanted)
        self.core.plain.tick(set(wanted), clock.now_ms())

    def _on_plain(
        self, service: str, data: bytes, address: tuple[str, int]
    ) -> None:
        action = self.core.on_plain(
            service, data, address, now_ms=clock.now_ms()
        )
        if action is not None:
            self.peer.send(action.data, action.address)

    def stop(self) -> None:
        """Stops by plan: forwards until callers have gone elsewhere."""
        self.announce_state(membership.LEAVING)
        with eventlet.Timeout(self.settings.stop_timeout_ms / 1000, False):
            self.tcp_ports.stop()
            seen = -1
            while seen != self.core.packets:
                seen = self.core.packets
                eventlet.sleep(QUIET_S)

    def on_records(self, records: record_set.RecordSet) -> None:
        """Brings the records in force to the core."""
        self.core.set_withdrawn(records.withdrawn())
        self.core.set_drained(records.drained())

    def _beat(self) -> None:
        super()._beat()
        self._update_ports()

    def dump(self) -> dict[str, Any]:
        """Returns the state of the process, without secrets."""
        return super().dump() | {
            "counters": dict(self.core.counters),
            "withdrawn": sorted(self.core.withdrawn),
            "status": {
                "holds_lease": self.status_writer.lease.holds(clock.now_ms()),
                "term": self.status_writer.lease.term,
                "counters": dict(self.status_writer.counters),
            },
        }

    def on_heartbeat(self, beat: messages.Heartbeat) -> None:
        """Notes the revision that the sender has in force."""
        self.status_writer.board.observe(beat.name, beat.revision)

    def _is_status_candidate(self) -> bool:
        """Whether this is one of the few that compete for the lease."""
        others = self.members.with_role("balancer")
        names = {m.name for m in others} | {self.settings.name}
        chosen = routing.candidates(
            _status_writer.LEASE_KEY.encode(),
            [_Named(name) for name in names],
            count=_status_writer.CANDIDATES,
        )
        return _Named(self.settings.name) in chosen

    def _conditions(self) -> Iterator[status.Condition]:
        name = self.settings.name
        self.status_writer.board.observe(name, self.replica.revision)
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
        now_ms = clock.now_ms()
        packet = self.core.forward(data, address, now_ms=now_ms)
        if packet is not None:
            self.peer.send(*packet)
            return
        if self.core.freshness.gaps != self._epoch:
            # Asks for the revision now and not at the watchdog's next turn.
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
        """Handles a verified datagram other than a heartbeat."""
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

    def carry_out_own(self, action: actions.Action) -> None:
        """Carries out an action that only a balancer has."""
        match action:
            case actions.SendCaller(caller, datagram):
                self.public.send(datagram, caller)
