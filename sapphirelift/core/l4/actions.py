"""What the decisions ask the I/O layer to do."""

import dataclasses
from typing import Any

from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet


@dataclasses.dataclass(frozen=True, slots=True)
class SendDaemon:
    """Sends a message to another daemon."""

    address: messages.Address
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class SendCaller:
    """Sends a backend server's packet to its caller."""

    packet: packet.Packet


@dataclasses.dataclass(frozen=True, slots=True)
class SendBackend:
    """Gives a caller's packet to the backend server of this instance."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ResetCaller:
    """Ends a flow at the caller.

    Attributes:
        sequence: What the caller expects next from the other end.
    """

    flow: packet.FlowKey
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class FetchReplica:
    """Fetches configuration and evacuations from another balancer."""

    address: messages.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Log:
    """Writes a log line.

    Attributes:
        event: Name of the decision or of the change of what is believed.
        fields: Inputs that decided it, their age or revision, the outcome.
    """

    event: str
    fields: dict[str, Any]


Action = (
    SendDaemon | SendCaller | SendBackend | ResetCaller | FetchReplica | Log
)
