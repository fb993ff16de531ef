"""Questions to a backend server that has started: which flows it has."""

import collections

from sapphirelift.core.l4 import flow_table
from sapphirelift.core.l4 import packet

# Flows of which the backend server is asked in one tick. A socket's default
# buffer holds about 270 small packets.
QUESTIONS_PER_TICK = 64


class Questions:
    """Open flows of which the server has yet to show that it has them.

    It returns a packet of a flow that it does not have, and ignores the copy
    of an acknowledgement on one that it has.
    """

    def __init__(self, flows: flow_table.FlowTable) -> None:
        """Creates an empty list of questions on the flows of a table."""
        self._flows = flows
        self._keys: collections.deque[packet.FlowKey] = collections.deque()

    def __len__(self) -> int:
        return len(self._keys)

    def add_open_flows(self) -> None:
        """Adds a question on each open flow."""
        self._keys.extend(
            key
            for key, flow in self._flows
            if flow.phase is flow_table.Phase.OPEN
        )

    def take(self) -> list[bytes]:
        """Returns copies of some callers' last acknowledgements."""
        count = min(len(self._keys), QUESTIONS_PER_TICK)
        asked = [self._flows.get(self._keys.popleft()) for _ in range(count)]
        return [
            flow.caller_ack
            for flow in asked
            if flow is not None
            and flow.phase is flow_table.Phase.OPEN
            and flow.caller_ack
        ]
