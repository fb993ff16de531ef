"""Heartbeats to watchers, and what is learnt from heartbeats and answers."""

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
# A member still sends to watchers that it suspects, so that these do not
# suspect it in turn when only their answers are lost.
MAX_RECIPIENTS = 6
# An answer to an older heartbeat says nothing about the watcher now.
ACK_WINDOW = 3
# Sequence numbers of the last answers, by watcher; a daemon sends to a few.
MAX_ACKED = 256
CONTROL_SILENCE_MS = 3000


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
        self._recipients: set[str] = set()
        self._unanswered_ms: int | None = None
        self._first_unanswered = 0
        self._acked: dict[tuple[str, int], int] = {}
        self._balancers: list[_Watcher] = []
        self._own_ranking: list[_Watcher] = []
        self._version = -1
        members.watches = self.watches

    def set_incarnation(self, incarnation: int) -> None:
        """Sends as another incarnation from now on."""
        self._beat = self._beat._replace(incarnation=incarnation)

    def watchers(self) -> list[messages.Address]:
        """Returns the peers that watch this member.

        The neighbours of the settings stand in while no balancer is known.
        """
        self._update()
        chosen = []
        alive = 0
        for watcher in self._own_ranking:
            if alive == WATCHERS:
                break
            chosen.append(watcher)
            alive += self.members.members[watcher.name].is_alive
        self._recipients = {w.name for w in chosen}
        return [w.address for w in chosen] or self._neighbours

    def _update(self) -> None:
        """Takes over the balancers and their ranking after a change.

        At 840 balancers the ranking takes about a millisecond, too much for
        each heartbeat and each check of a member.
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
        own = self._beat.name
        self._own_ranking = routing.candidates(
            own.encode(),
            [b for b in balancers if b.name != own],
            count=MAX_RECIPIENTS,
        )

    def watches(self, name: str) -> bool:
        """Tells whether this process expects to hear from a member.

        It hears answers of the members that it sends heartbeats to, and a
        balancer hears heartbeats of those that it is a watcher of.
        """
        if name in self._recipients:
            return True
        if self._beat.role != "balancer":
            return False
        own = _Watcher(self._beat.name, 1.0, self.address)
        self._update()
        key = name.encode()
        own_score = routing.score(key, own)
        better = (
            None
            for m in self._balancers
            if m.name not in (name, own.name)
            and routing.score(key, m) > own_score
        )
        # Most members have three better watchers among the first few.
        return sum(1 for _ in itertools.islice(better, WATCHERS)) < WATCHERS

    @property
    def sequence(self) -> int:
        """Sequence number of the last heartbeat."""
        return self._beat.sequence

    @property
    def address(self) -> messages.Address:
        """Peer address of this process."""
        return messages.Address(self._beat.ip, self._beat.port)

    def beat(
        self,
        *,
        state: str,
        load: float,
        revision: int,
        now_ms: int,
        cold: bool = False,
    ) -> list[actions.Action]:
        """Returns the next heartbeat for each watcher.

        If no watcher has answered for ``CONTROL_SILENCE_MS``, the path from
        the control socket may have gone silent; it is replaced.
        """
        self._beat = self._beat._replace(
            sequence=self._beat.sequence + 1,
            state=state,
            load=load,
            revision=revision,
            cold=cold,
        )
        data = wire.encode_peer(
            messages.Kind.HEARTBEAT, wire.encode_body(self._beat), self.ring
        )
        out: list[actions.Action] = []
        recipients = self.watchers()
        if self._unanswered_ms is None and recipients:
            self._unanswered_ms = now_ms
            self._first_unanswered = self._beat.sequence
        elif (
            self._unanswered_ms is not None
            and now_ms - self._unanswered_ms >= CONTROL_SILENCE_MS
        ):
            out.append(actions.ReplaceControlSocket())
            self._unanswered_ms = now_ms
            self._first_unanswered = self._beat.sequence
        out.extend(actions.SendControl(a, data) for a in recipients)
        return out

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
            # The sender's port is that of its control socket.
            out.append(
                actions.FetchRecords(messages.Address(beat.ip, beat.port))
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
        """Takes over the answer of a watcher; drops replayed ones."""
        oldest = max(0, self._beat.sequence - ACK_WINDOW)
        last = self._acked.get((ack.name, ack.incarnation), oldest)
        if not max(oldest, last) < ack.sequence <= self._beat.sequence:
            raise errors.DatagramError("replayed")
        if len(self._acked) >= MAX_ACKED:
            del self._acked[next(iter(self._acked))]
        self._acked[(ack.name, ack.incarnation)] = ack.sequence
        if ack.sequence >= self._first_unanswered:
            self._unanswered_ms = None
        self.members.apply_ack(ack, now_ms=now_ms)
        if ack.revision > revision:
            return [actions.FetchRecords(sender)]
        return []
