"""Settings of the packet daemon: a JSON file validated against types."""

import ipaddress
import pathlib
from typing import Literal

import msgspec

from sapphirelift import errors
from sapphirelift.core.l4 import load_settings
from sapphirelift.core.l4 import messages


class Deployment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one daemon.

    Attributes:
        name: Unique name of the instance.
        role: ``balancer`` or ``agent``.
        ip: IPv4 address of the instance.
        data_centre: Data centre of the instance.
        region: Region of the data centre.
        packets: ``IP:PORT`` on which packets of callers arrive. Callers
            receive packets on the same port number.
        readiness: ``IP:PORT`` of the readiness check.
        reports: ``IP:PORT`` for reports of the backend server, agents only.
        outbound: ``IP:PORT`` for packets of the backend server, agents only.
        backend: ``IP:PORT`` of the backend server, agents only.
        service: Service of the backend server, agents only.
        internal_ports: First and last port for traffic between daemons; the
            first is used for datagrams and the last for HTTP.
        metrics: Further ``IP:PORT`` that serves the HTTP pages to operators;
            empty for none.
        platform: ``IP:PORT`` of the platform's object store.
        report_interval_ms: Interval of the backend server's reports.
        stop_timeout_s: Time from the stop signal until the process must have
            exited.
        contact_ms: Time without contact after which an instance counts as
            lost.
        is_first_start: Whether the whole system starts for the first time.
        load: Decisions under load that the deployment asks for.
    """

    name: str
    role: Literal["balancer", "agent"]
    ip: str
    data_centre: str
    region: str
    packets: str
    readiness: str
    internal_ports: tuple[int, int]
    platform: str
    report_interval_ms: float
    stop_timeout_s: float
    contact_ms: float
    is_first_start: bool = False
    metrics: str = ""
    reports: str = ""
    outbound: str = ""
    backend: str = ""
    service: str = ""
    load: load_settings.LoadSettings = load_settings.LoadSettings()

    @property
    def daemon_address(self) -> messages.Address:
        """Address at which this daemon receives messages of other daemons."""
        return messages.Address(self.ip, self.internal_ports[0])

    @property
    def admin_address(self) -> messages.Address:
        """Address at which this daemon serves state, metrics and replica."""
        return messages.Address(self.ip, self.internal_ports[1])


def address(text: str) -> messages.Address:
    """Parses an address of the form ``IP:PORT``.

    >>> address("10.1.0.2:80")
    Address(ip='10.1.0.2', port=80)

    Raises:
        ValueError: The text does not have this form.
    """
    ip, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdecimal() and 0 < int(port) < 1 << 16):
        raise ValueError(f"not of the form IP:PORT: {text!r}")
    return messages.Address(str(ipaddress.IPv4Address(ip)), int(port))


def is_settings(value: object) -> bool:
    """Returns whether JSON is meant to be settings of a packet daemon."""
    return isinstance(value, dict) and {"role", "packets"} <= value.keys()


def load(path: str) -> Deployment:
    """Reads and validates a settings file.

    Raises:
        SettingsError: The file cannot be read or a field is wrong.
    """
    try:
        return parse(pathlib.Path(path).read_bytes())
    except OSError as error:
        raise errors.SettingsError(
            f"cannot read {path}: {error.strerror}",
            remedy="name a readable file with --settings",
        ) from error


def parse(data: bytes) -> Deployment:
    """Validates settings given as JSON.

    Raises:
        SettingsError: A field is missing, unknown or of the wrong type.
    """
    try:
        settings = msgspec.json.decode(data, type=Deployment)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f"settings: {error}", remedy="correct the named field"
        ) from error
    required = ["packets", "readiness", "platform"]
    if settings.role == "agent":
        required += ["reports", "outbound", "backend"]
        if not settings.service:
            raise _problem("service", "set the service of the backend server")
    for field in required:
        try:
            address(getattr(settings, field))
        except ValueError as error:
            raise _problem(field, "use IP:PORT") from error
    first, last = settings.internal_ports
    if not 0 < first <= last < 65536:
        raise _problem("internal_ports", "set the first and the last port")
    for field in ("report_interval_ms", "stop_timeout_s", "contact_ms"):
        if getattr(settings, field) <= 0:
            raise _problem(field, "use a duration above 0")
    return settings


def _problem(field: str, remedy: str) -> errors.SettingsError:
    return errors.SettingsError(
        f"settings: `{field}` is missing or out of range", remedy=remedy
    )
