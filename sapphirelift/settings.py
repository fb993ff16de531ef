"""Daemon settings: a JSON file checked against types."""

import pathlib
from typing import Literal

import msgspec

from sapphirelift import errors
from sapphirelift import messages


class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An IPv4 address and port."""

    ip: str
    port: int

    @property
    def address(self) -> messages.Address:
        """The same as a plain tuple."""
        return messages.Address(self.ip, self.port)


class BackendSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The backend server beside an agent."""

    ip: str
    port: int
    service: str
    slots: int = 4
    max_flows: int = 2000
    weight: float = 1.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one daemon.

    Attributes:
        name: Unique name of the process.
        role: ``balancer`` or ``agent``.
        data_centre: Data centre of the instance.
        peer: Socket towards other daemons: UDP, and TCP for record fetches.
        public: Socket towards callers, balancers only.
        admin: HTTP port for metrics, dump and health.
        platform_url: Base URL of the platform's object API.
        cluster_key_hex: Key that authenticates the daemons until a keyring
            record replaces it, as hexadecimal digits.
        neighbours: Peer addresses asked for records when the platform is
            down at start.
        backend: The backend server, agents only.
    """

    name: str
    role: Literal["balancer", "agent"]
    data_centre: str
    peer: Endpoint
    admin: Endpoint
    platform_url: str
    cluster_key_hex: str
    public: Endpoint | None = None
    neighbours: tuple[Endpoint, ...] = ()
    backend: BackendSettings | None = None
    heartbeat_interval_ms: int = 1000
    stop_timeout_ms: int = 30_000


def load(path: str) -> Settings:
    """Reads and checks a settings file.

    Raises:
        SettingsError: The file cannot be read or a field is wrong.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise errors.SettingsError(
            f"cannot read {path}: {error.strerror}",
            remedy="name a readable file with --settings",
        ) from error
    return parse(data)


def parse(data: bytes) -> Settings:
    """Checks settings given as JSON.

    Raises:
        SettingsError: A field is missing, unknown or of the wrong type.
    """
    try:
        settings = msgspec.json.decode(data, type=Settings)
    except msgspec.MsgspecError as error:
        raise errors.SettingsError(
            f"settings: {error}", remedy="correct the field named"
        ) from error
    _check_role(settings)
    return settings


def _check_role(settings: Settings) -> None:
    if settings.role == "balancer" and settings.public is None:
        raise errors.SettingsError(
            "settings: `public` is missing",
            remedy="a balancer needs an address towards callers",
        )
    if settings.role == "agent" and settings.backend is None:
        raise errors.SettingsError(
            "settings: `backend` is missing",
            remedy="an agent needs a backend server",
        )
