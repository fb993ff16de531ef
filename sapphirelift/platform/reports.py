"""Decoder of the reports that backend servers send to their agent."""

import msgspec

from sapphirelift import errors
from sapphirelift.core.l4 import backend

_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}


class _Body(msgspec.Struct):
    """A report in its JSON format."""

    service: str = msgspec.field(name="Service")
    zone: str = msgspec.field(name="Zone")
    slots: int = msgspec.field(name="MaxConcurrency")
    state: str = msgspec.field(name="State")
    # Counts the reports since the backend server started; numbers of
    # different starts are not comparable.
    sequence: int = msgspec.field(name="Sequence")
    # Remaining time of the cold phase, not the time elapsed.
    cold_ms: float = msgspec.field(name="WarmupRemainingMs", default=0)
    # Start of the backend server in Unix milliseconds, by its own wall clock,
    # which may jump.
    born: int = 0


def decode(backend_id: str, body: bytes) -> backend.Report:
    """Decodes a report.

    Args:
        backend_id: Name of the backend server, from the path of the request.
        body: Body of the request, as JSON.

    Raises:
        ReportError: The report is malformed or does not identify a backend
            server.
    """
    try:
        decoded = msgspec.json.decode(body, type=_Body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.ReportError(str(error)) from error
    if not backend_id or not decoded.service or decoded.slots < 1:
        raise errors.ReportError(
            "name or service is empty, or concurrency is below 1"
        )
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
        cold_ms=max(int(decoded.cold_ms), 0),
    )
