"""Heartbeats to watchers, and what is learnt from heartbeats and answers."""

from collections.abc import Sequence
from typing import NamedTuple

from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import actions
from sapphirelift.core import keys
from sapphirelift.core import membership
from sapphirelift.core import routing

WATCHERS = 3


class _Watcher(NamedTuple):
    """A balancer as a target of rendezvous hashing."""

    name: str
    weight: float
    address: messages.Address


class Heartbeats:
    """Sends this member's heartbeats and answers those of others."""

    def __init__(
        self,
        *,
        name: str,
        role: str,
        address: messages.Address,
        incarnation: int,
        data_centre: str,
        service: str,
        members: membership.Membership,
        ring: keys.KeyRing,
        neighbours: Sequence[messages.Address] = (),
    ) -> None:
        self.members = members
        self.ring = ring
        self._beat = messages.Heartbeat(
            name=name,
            role=role,
            ip=address.ip,
            port=address.port,
            incarnation=incarnation,
            sequence=0,
            state=membership.UP,
            data_centre=data_centre,
            service=service,
            load=0.0,
            revision=0,
        )
        self._neighbours = list(neighbours)

    def watchers(self) -> list[messages.Address]:
        """Returns the peers that watch this member.

        The neighbours of the settings stand in while no balancer is known.
        """
        others = [
            _Watcher(m.name, 1.0, m.address)
            for m in self.members.with_role("balancer")
            if m.name != self._beat.name
        ]
        key = self._beat.name.encode()
        chosen = routing.candidates(key, others, count=WATCHERS)
        return [w.address for w in chosen] or self._neighbours

    def beat(
        self, *, state: str, load: float, revision: int
    ) -> list[actions.SendPeer]:
        """Returns the next heartbeat for each watcher."""
        self._beat = self._beat._replace(
            sequence=self._beat.sequence + 1,
            state=state,
            load=load,
            revision=revision,
        )
        data = wire.encode_peer(
            messages.Kind.HEARTBEAT, wire.encode_body(self._beat), self.ring
        )
        return [actions.SendPeer(a, data) for a in self.watchers()]

    def on_heartbeat(
        self,
        beat: messages.Heartbeat,
        sender: messages.Address,
        *,
        state: str,
        revision: int,
        now_ms: int,
    ) -> list[actions.Action]:
        """Takes over a heartbeat and answers it."""
        if not self.members.apply_heartbeat(beat, now_ms=now_ms):
            return []
        ack = messages.HeartbeatAck(
            name=self._beat.name,
            incarnation=self._beat.incarnation,
            sequence=beat.sequence,
            state=state,
            revision=revision,
        )
        data = wire.encode_peer(
            messages.Kind.HEARTBEAT_ACK, wire.encode_body(ack), self.ring
        )
        out: list[actions.Action] = [actions.SendPeer(sender, data)]
        if beat.revision > revision:
            out.append(actions.FetchRecords(sender))
        return out

    def on_ack(
        self,
        ack: messages.HeartbeatAck,
        sender: messages.Address,
        *,
        revision: int,
        now_ms: int,
    ) -> list[actions.Action]:
        """Takes over the answer of a watcher."""
        self.members.apply_ack(ack, now_ms=now_ms)
        if ack.revision > revision:
            return [actions.FetchRecords(sender)]
        return []
