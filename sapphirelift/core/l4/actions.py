"""Actions that the decision logic requests from the I/O layer."""

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
    """Sends a packet of the backend server to its caller."""

    packet: packet.Packet


@dataclasses.dataclass(frozen=True, slots=True)
class SendBackend:
    """Sends a caller's packet to the backend server of this instance."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CheckBackend:
    """Checks after a time whether the backend server accepts connections."""

    after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResetCaller:
    """Resets a flow at the caller.

    Attributes:
        flow: The flow.
        sequence: Next sequence number that the caller expects.
    """

    flow: packet.FlowKey
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class FetchReplica:
    """Fetches configuration and evacuations from another balancer."""

    address: messages.Address


@dataclasses.dataclass(frozen=True, slots=True)
class RenewWatches:
    """Begins the watches of the store again, over new connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class Log:
    """Writes a log line.

    Attributes:
        event: Name of the decision or of the change in known state.
        fields: Inputs of the decision, their age or revision, and the outcome.
    """

    event: str
    fields: dict[str, Any]


Action = (
    SendDaemon
    | SendCaller
    | SendBackend
    | CheckBackend
    | ResetCaller
    | FetchReplica
    | RenewWatches
    | Log
)
