"""Decoder of the reports that backend servers send to their agent.

Other writers may send reports too. One that lacks a field, or that names
another address, service or data centre than those of the backend server beside
the agent, describes no backend server that the agent could use.
"""

from typing import Annotated
from typing import NamedTuple

import msgspec

from sapphirelift import deployment
from sapphirelift import errors
from sapphirelift.core.l4 import backend
from sapphirelift.core.l4 import messages
from sapphirelift.platform import decoding

_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}
# Largest integer that all JSON decoders represent exactly.
_MAX_INTEGER = (1 << 53) - 1
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)]
_Positive = Annotated[int, msgspec.Meta(ge=1, le=_MAX_INTEGER)]


class Subject(NamedTuple):
    """The backend server whose reports an agent takes.

    Attributes:
        address: Address at which it receives packets.
        service: Its service.
        data_centre: Data centre of its instance.
    """

    address: messages.Address
    service: str
    data_centre: str


class _Body(msgspec.Struct):
    """A report in its JSON format."""

    service: str = msgspec.field(name="Service")
    address: str = msgspec.field(name="Address")
    zone: str = msgspec.field(name="Zone")
    # Version of the server's software; not used.
    version: str = msgspec.field(name="Version")
    slots: _Positive = msgspec.field(name="MaxConcurrency")
    state: str = msgspec.field(name="State")
    # Counts the reports since the backend server started; numbers of
    # different starts are not comparable.
    sequence: _Count = msgspec.field(name="Sequence")
    # Remaining time of the cold phase, not the time elapsed.
    cold_ms: Annotated[float, msgspec.Meta(ge=0, le=_MAX_INTEGER)] = (
        msgspec.field(name="WarmupRemainingMs")
    )
    # Start of the backend server in Unix milliseconds, by its own wall clock,
    # which may jump.
    born: _Positive


class _EndBody(msgspec.Struct):
    """Body of a notice of leaving, which usually has none."""

    # As in a report.
    born: _Positive | None = None


def decode_end(backend_id: str, body: bytes) -> backend.EndNotice:
    """Decodes a notice of leaving.

    Args:
        backend_id: Name of the backend server, from the path of the request.
        body: Body of the request, as JSON; may be empty.

    Raises:
        ReportError: The body cannot be read.
    """
    if not body:
        return backend.EndNotice(backend_id)
    try:
        decoded: _EndBody = decoding.decode(body, _EndBody)
    except errors.UnreadableError as error:
        raise errors.ReportError(str(error)) from error
    return backend.EndNotice(backend_id, decoded.born)


def decode(backend_id: str, body: bytes, *, subject: Subject) -> backend.Report:
    """Decodes a report.

    Args:
        backend_id: Name of the backend server, from the path of the request.
        body: Body of the request, as JSON.
        subject: The backend server that may report.

    Raises:
        ReportError: The report is malformed, or not one of the subject.
    """
    try:
        decoded: _Body = decoding.decode(body, _Body)
        address = deployment.address(decoded.address)
    except (errors.UnreadableError, ValueError) as error:
        raise errors.ReportError(str(error)) from error
    if not backend_id:
        raise errors.ReportError("the backend server has no name")
    reported = Subject(address, decoded.service, decoded.zone)
    if reported != subject:
        raise errors.ReportError(f"of another backend server: {reported}")
    if decoded.state not in _IS_DRAINING_BY_STATE:
        raise errors.ReportError(f"unknown state {decoded.state!r}")
    return backend.Report(
        backend_id=backend_id,
        born_ms=decoded.born,
        number=decoded.sequence,
        service=decoded.service,
        data_centre=decoded.zone,
        slots=decoded.slots,
        is_draining=_IS_DRAINING_BY_STATE[decoded.state],
        cold_ms=int(decoded.cold_ms),
    )
