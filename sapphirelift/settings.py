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
    """The backend server beside an agent.

    Attributes:
        slots: Requests that the warm backend server runs at once.
        initial_share: Share of the slots allowed at the start of the ramp,
            above 0 and at most 1.
        ramp_ms: Time in milliseconds in which the share rises to 1; 0 for a
            backend server that is never cold. The share allows a second
            request at once after about half of it (4 slots), so it should be
            2.5 times the cold time of the backend server.
        caller_slot_share: Share of the slots that one caller may hold while
            others wait.
        queue_requests: Requests that may wait for a slot.
        reply_cache_bytes: Bytes of finished requests kept for repetition.
        reply_cache_ttl_ms: Time in milliseconds for which they are kept.
        assembly_bytes: Bytes of requests that have not been started.
    """

    ip: str
    port: int
    service: str
    slots: int = 4
    max_flows: int = 2000
    weight: float = 1.0
    initial_share: float = 0.1
    ramp_ms: int = 8000
    caller_slot_share: float = 0.5
    queue_requests: int = 256
    reply_cache_bytes: int = 16 << 20
    reply_cache_ttl_ms: int = 30_000
    assembly_bytes: int = 32 << 20


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
    if settings.backend is not None:
        _check_backend(settings.backend)


def _check_backend(backend: BackendSettings) -> None:
    for field in ("slots", "queue_requests", "reply_cache_ttl_ms"):
        if getattr(backend, field) < 1:
            raise errors.SettingsError(
                f"settings: `backend.{field}` is below 1",
                remedy="set it to 1 or more",
            )
    for field in ("initial_share", "caller_slot_share"):
        if not 0.0 < getattr(backend, field) <= 1.0:
            raise errors.SettingsError(
                f"settings: `backend.{field}` is not a share",
                remedy="set it above 0 and at most 1",
            )
    if backend.ramp_ms < 0:
        raise errors.SettingsError(
            "settings: `backend.ramp_ms` is negative",
            remedy="set it to 0 or more milliseconds",
        )
