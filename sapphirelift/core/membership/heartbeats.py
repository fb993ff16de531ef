"""Sending and receiving of heartbeats and their acknowledgements."""

import itertools
from collections.abc import Sequence
from typing import NamedTuple

from sapphirelift import errors
from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import actions
from sapphirelift.core import keys
from sapphirelift.core.flows import routing
from sapphirelift.core.membership import membership

WATCHERS = 3
# A member keeps sending to watchers that it suspects. Otherwise they would
# suspect it in turn when only their acknowledgements are lost.
MAX_RECIPIENTS = 6
# An acknowledgement of an older heartbeat is no proof that the watcher is
# still alive.
ACK_WINDOW = 3
# Watchers whose last acknowledged sequence number is kept; a daemon sends
# heartbeats to only a few.
MAX_ACKED = 256
CONTROL_SILENCE_MS = 3000


class _Watcher(NamedTuple):
    """A balancer as a candidate of rendezvous hashing."""

    name: str
    weight: float
    address: messages.Address


class Heartbeats:
    """Sends this member's heartbeats and acknowledges those of others."""

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
        self._heartbeat = messages.Heartbeat(
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
        self._recipients: set[str] = set()
        self._unanswered_since_ms: int | None = None
        self._first_unanswered = 0
        self._last_acked: dict[tuple[str, int], int] = {}
        self._balancers: list[_Watcher] = []
        self._own_ranking: list[_Watcher] = []
        self._version = -1
        members.watches = self.watches

    def set_incarnation(self, incarnation: int) -> None:
        """Sets the incarnation that later heartbeats carry."""
        self._heartbeat = self._heartbeat._replace(incarnation=incarnation)

    def watchers(self) -> list[messages.Address]:
        """Returns the addresses of the peers that watch this member.

        Falls back to the configured neighbours while no balancer is known.
        """
        self._update()
        selected = []
        alive = 0
        for watcher in self._own_ranking:
            if alive == WATCHERS:
                break
            selected.append(watcher)
            alive += self.members.members[watcher.name].is_alive
        self._recipients = {w.name for w in selected}
        return [w.address for w in selected] or self._neighbours

    def _update(self) -> None:
        """Recomputes the ranking of the balancers after the set has changed.

        With 840 balancers the ranking takes about a millisecond, too long to
        repeat for each heartbeat and each check of a member.
        """
        if self._version == self.members.version:
            return
        self._version = self.members.version
        balancers = [
            _Watcher(m.name, 1.0, m.address)
            for m in self.members.with_role("balancer", suspected=True)
        ]
        if balancers == self._balancers:
            return
        self._balancers = balancers
        own = self._heartbeat.name
        self._own_ranking = routing.candidates(
            own.encode(),
            [b for b in balancers if b.name != own],
            count=MAX_RECIPIENTS,
        )

    def watches(self, name: str) -> bool:
        """Returns whether this process expects to hear from a member.

        It expects acknowledgements from members that it sends heartbeats to.
        A balancer also expects heartbeats from members that it watches.
        """
        if name in self._recipients:
            return True
        if self._heartbeat.role != "balancer":
            return False
        own = _Watcher(self._heartbeat.name, 1.0, self.address)
        self._update()
        key = name.encode()
        own_score = routing.score(key, own)
        higher_scored = (
            None
            for m in self._balancers
            if m.name not in (name, own.name)
            and routing.score(key, m) > own_score
        )
        # For most members the search ends early: three balancers with a higher
        # score are among the first few.
        return (
            sum(1 for _ in itertools.islice(higher_scored, WATCHERS)) < WATCHERS
        )

    @property
    def sequence(self) -> int:
        """Sequence number of the last heartbeat."""
        return self._heartbeat.sequence

    @property
    def address(self) -> messages.Address:
        """Peer address of this process."""
        return messages.Address(self._heartbeat.ip, self._heartbeat.port)

    def next_heartbeats(
        self,
        *,
        state: str,
        load: float,
        revision: int,
        now_ms: int,
        cold: bool = False,
    ) -> list[actions.Action]:
        """Returns the next heartbeat for each watcher.

        If no watcher has acknowledged a heartbeat for ``CONTROL_SILENCE_MS``,
        the network path of the control socket may be broken, and the socket
        is replaced.
        """
        self._heartbeat = self._heartbeat._replace(
            sequence=self._heartbeat.sequence + 1,
            state=state,
            load=load,
            revision=revision,
            cold=cold,
        )
        data = wire.encode_peer(
            messages.Kind.HEARTBEAT,
            wire.encode_body(self._heartbeat),
            self.ring,
        )
        out: list[actions.Action] = []
        recipients = self.watchers()
        if self._unanswered_since_ms is None and recipients:
            self._unanswered_since_ms = now_ms
            self._first_unanswered = self._heartbeat.sequence
        elif (
            self._unanswered_since_ms is not None
            and now_ms - self._unanswered_since_ms >= CONTROL_SILENCE_MS
        ):
            out.append(actions.ReplaceControlSocket())
            self._unanswered_since_ms = now_ms
            self._first_unanswered = self._heartbeat.sequence
        out.extend(actions.SendControl(a, data) for a in recipients)
        return out

    def on_heartbeat(
        self,
        heartbeat: messages.Heartbeat,
        sender: messages.Address,
        *,
        state: str,
        revision: int,
        now_ms: int,
    ) -> list[actions.Action]:
        """Applies a heartbeat and acknowledges it.

        Fetches the records of a sender with a newer revision.
        """
        if not self.members.apply_heartbeat(heartbeat, now_ms=now_ms):
            return []
        ack = messages.HeartbeatAck(
            name=self._heartbeat.name,
            incarnation=self._heartbeat.incarnation,
            sequence=heartbeat.sequence,
            state=state,
            revision=revision,
        )
        data = wire.encode_peer(
            messages.Kind.HEARTBEAT_ACK, wire.encode_body(ack), self.ring
        )
        out: list[actions.Action] = [actions.SendPeer(sender, data)]
        if heartbeat.revision > revision:
            # ``sender`` has the port of the control socket; records are
            # fetched from the address in the heartbeat.
            out.append(
                actions.FetchRecords(
                    messages.Address(heartbeat.ip, heartbeat.port)
                )
            )
        return out

    def on_ack(
        self,
        ack: messages.HeartbeatAck,
        sender: messages.Address,
        *,
        revision: int,
        now_ms: int,
    ) -> list[actions.Action]:
        """Applies a watcher's acknowledgement.

        Raises:
            DatagramError: The acknowledgement is replayed or too old.
        """
        oldest = max(0, self._heartbeat.sequence - ACK_WINDOW)
        last = self._last_acked.get((ack.name, ack.incarnation), oldest)
        if not max(oldest, last) < ack.sequence <= self._heartbeat.sequence:
            raise errors.DatagramError("replayed")
        if len(self._last_acked) >= MAX_ACKED:
            del self._last_acked[next(iter(self._last_acked))]
        self._last_acked[(ack.name, ack.incarnation)] = ack.sequence
        if ack.sequence >= self._first_unanswered:
            self._unanswered_since_ms = None
        self.members.apply_ack(ack, now_ms=now_ms)
        if ack.revision > revision:
            return [actions.FetchRecords(sender)]
        return []
