"""The balancer role of the daemon."""

from typing import Any

import eventlet

from sapphirelift import _node
from sapphirelift import messages
from sapphirelift import settings as settings_module
from sapphirelift.core import actions
from sapphirelift.core import balancer
from sapphirelift.core import membership
from sapphirelift.peers import endpoint

QUIET_S = 1.0


class BalancerNode(_node.Node):
    """Sockets and tasks of a balancer."""

    def __init__(self, settings: settings_module.Settings) -> None:
        super().__init__(settings)
        assert settings.public is not None
        self.core = balancer.BalancerCore(
            address=self.peer.address, members=self.members, ring=self.ring
        )
        self.public = endpoint.Endpoint(
            settings.public.address, self._on_caller_datagram
        )

    def start(self) -> None:
        """Starts all tasks."""
        super().start()
        self.public.start()

    def stop(self) -> None:
        """Stops by plan: forwards until callers have gone elsewhere."""
        self.announce_state(membership.LEAVING)
        with eventlet.Timeout(self.settings.stop_timeout_ms / 1000, False):
            seen = -1
            while seen != self.public.datagrams_received:
                seen = self.public.datagrams_received
                eventlet.sleep(QUIET_S)

    def set_withdrawn(self, data_centres: set[str]) -> None:
        """Sets the data centres that operators have taken out."""
        self.core.set_withdrawn(data_centres)

    def dump(self) -> dict[str, Any]:
        """Returns the state of the process, without secrets."""
        return super().dump() | {
            "counters": dict(self.core.counters),
            "withdrawn": sorted(self.core.withdrawn),
        }

    def _on_caller_datagram(
        self, data: bytes, address: tuple[str, int]
    ) -> None:
        action = self.core.on_caller_datagram(data, address)
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
