"""Actions that the decision core returns for the I/O layer to carry out."""

import dataclasses
from typing import Any

from sapphirelift import messages


@dataclasses.dataclass(frozen=True, slots=True)
class SendPeer:
    """Sends a datagram from the peer socket."""

    address: messages.Address
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SendCaller:
    """Sends a datagram to a caller from the public socket."""

    address: messages.Address
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Starts a request on the backend server.

    Attributes:
        run_id: Id of this run, returned in ``RunFinished``.
        deadline_ms: Time left for the run, from now.
    """

    run_id: int
    request_id: int
    caller: str
    method: str
    path: str
    body: bytes
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRun:
    """Cancels a run that has been started."""

    run_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class FetchRecords:
    """Fetches the record changes since the replica's revision."""

    address: messages.Address


@dataclasses.dataclass(frozen=True, slots=True)
class SendControl:
    """Sends a datagram from the control socket."""

    address: messages.Address
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceControlSocket:
    """Replaces the control socket by one with another source port."""


@dataclasses.dataclass(frozen=True, slots=True)
class MarkMember:
    """Marks the stored object of a silent member, if it is unchanged."""

    key: str
    revision: int
    value: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteMember:
    """Deletes the stored object of a dead member, if it is unchanged."""

    key: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class LogState:
    """Logs a state change.

    Attributes:
        event: Name of the change, for example ``member_suspected``.
        fields: Details of the change.
    """

    event: str
    fields: dict[str, Any]


Action = (
    SendPeer
    | SendCaller
    | SendControl
    | ReplaceControlSocket
    | StartRun
    | CancelRun
    | FetchRecords
    | MarkMember
    | DeleteMember
    | LogState
)
