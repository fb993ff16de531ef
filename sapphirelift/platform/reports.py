"""Heartbeats that backend servers send to the agent beside them."""

import msgspec

from sapphirelift import errors
from sapphirelift.core.l4 import backend

_STATES = {"ready": False, "draining": True}


class _Body(msgspec.Struct):
    """A heartbeat as it is on the wire."""

    service: str = msgspec.field(name="Service")
    zone: str = msgspec.field(name="Zone")
    slots: int = msgspec.field(name="MaxConcurrency")
    state: str = msgspec.field(name="State")
    # Counts the calls of one start; says nothing across starts.
    sequence: int = msgspec.field(name="Sequence")
    # How much longer it is cold, not how long it has been.
    cold_ms: float = msgspec.field(name="WarmupRemainingMs", default=0)
    # Unix milliseconds by the sender's wall clock, which may jump.
    born: int = 0


def decode(backend_id: str, body: bytes) -> backend.Report:
    """Decodes a heartbeat.

    Args:
        backend_id: Name in the path of the call.
        body: JSON.

    Raises:
        ReportError: It is no heartbeat, so that it names nobody.
    """
    try:
        decoded = msgspec.json.decode(body, type=_Body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.ReportError(str(error)) from error
    if not backend_id or not decoded.service or decoded.slots < 1:
        raise errors.ReportError("empty name, service or concurrency")
    if decoded.state not in _STATES:
        raise errors.ReportError(f"unknown state {decoded.state!r}")
    return backend.Report(
        backend_id=backend_id,
        born_ms=decoded.born,
        number=decoded.sequence,
        service=decoded.service,
        data_centre=decoded.zone,
        slots=decoded.slots,
        is_draining=_STATES[decoded.state],
        cold_ms=max(int(decoded.cold_ms), 0),
    )
