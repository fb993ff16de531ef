"""Collects the actions that result from handling one event."""

from collections.abc import Callable

from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import actions
from sapphirelift.core import keys
from sapphirelift.core.flows import flows

# Maps the balancer of a flow's last packet and the flow key to the balancer
# that relays the answer.
ReturnPath = Callable[[messages.Address, bytes], messages.Address]


def _last_balancer(
    balancer: messages.Address, flow_key: bytes
) -> messages.Address:
    del flow_key
    return balancer


class Outbox:
    """Encodes an agent's datagrams and collects them during an event."""

    def __init__(
        self,
        ring: keys.KeyRing,
        *,
        return_path: ReturnPath = _last_balancer,
    ) -> None:
        self.ring = ring
        self.return_path = return_path
        self._actions: list[actions.Action] = []

    def take(self) -> list[actions.Action]:
        """Returns the collected actions and empties the outbox."""
        taken, self._actions = self._actions, []
        return taken

    def add(self, action: actions.Action) -> None:
        """Adds an action."""
        self._actions.append(action)

    def reply(
        self, flow: flows.Flow, kind: int, body: tuple[object, ...]
    ) -> None:
        """Sends a datagram to the caller of a flow."""
        data = wire.encode_caller(
            kind, flow.flow_key, body, flow_token=flow.token
        )
        balancer = self.return_path(flow.balancer, flow.flow_key)
        self.relay(balancer, flow.caller, data)

    def relay(
        self,
        balancer: messages.Address,
        caller: messages.Address,
        data: bytes,
    ) -> None:
        """Sends a datagram to a caller through a balancer."""
        body = wire.encode_forward(caller, data)
        self.send_peer(balancer, messages.Kind.RELAY, body)

    def send_peer(
        self, address: messages.Address, kind: int, body: bytes
    ) -> None:
        """Sends a datagram to another process of the system."""
        data = wire.encode_peer(kind, body, self.ring)
        self.add(actions.SendPeer(address, data))
