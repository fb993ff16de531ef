"""Daemon settings: a JSON file validated against types."""

import difflib
import ipaddress
import math
import pathlib
import re
from collections.abc import Iterator
from typing import Literal

import msgspec

from sapphirelift import credentials
from sapphirelift import errors
from sapphirelift import messages

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9.-]{0,63}")
# BLAKE2b takes keys of up to 64 bytes.
_MIN_KEY_BYTES = 16
_MAX_KEY_BYTES = 64


class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An IPv4 address and port."""

    ip: str
    port: int

    @property
    def address(self) -> messages.Address:
        """The address as a named tuple."""
        return messages.Address(self.ip, self.port)


class BackendSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an agent for its backend server.

    Attributes:
        slots: Concurrent requests that the warm backend server can run.
        initial_share: Share of the slots available at the start of the ramp,
            above 0 and at most 1.
        ramp_ms: Time in milliseconds in which the share rises to 1; 0 for a
            backend server that is never cold. With 4 slots, the share allows
            a second concurrent request after about half of this time, so it
            should be 2.5 times the cold time of the backend server.
        caller_slot_share: Share of the slots that one caller may occupy while
            others wait.
        queue_requests: Maximum number of requests waiting for a slot.
        reply_cache_bytes: Maximum size of the cache of finished requests,
            from which repeated requests are answered.
        reply_cache_ttl_ms: Time in milliseconds for which they are cached.
        assembly_bytes: Maximum size of the requests that have not started.
        experiment_placement: Places flows and requests by one of
            ``core.flows.baselines``; for measurements only, not for
            production.
        experiment_forgets_replies: Runs repeated requests again, which breaks
            at-most-once execution; for measurements only, not for production.
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
    experiment_placement: Literal[
        "", "random", "round_robin", "plain_hash", "least_loaded_stale"
    ] = ""
    experiment_forgets_replies: bool = False


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one daemon.

    Attributes:
        name: Unique name of the process.
        role: ``balancer`` or ``agent``.
        data_centre: Data centre of the instance.
        peer: Address for other daemons: UDP, and TCP for record fetches.
        public: Address for callers, balancers only.
        admin: HTTP address for metrics, dump and health.
        platform_url: Base URL of the platform's object API.
        cluster_key_hex: Key that authenticates the daemons until a keyring
            record replaces it, as hexadecimal digits.
        neighbours: Peer addresses from which records are fetched when the
            platform is down at start.
        backend: The backend server, agents only.
        platform_credentials: TLS files and bearer token for the platform.
        peer_credentials: TLS files for record fetches between daemons;
            either all daemons have them or none.
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
    platform_credentials: credentials.PlatformCredentials = (
        credentials.PlatformCredentials()
    )
    peer_credentials: credentials.PeerCredentials | None = None
    heartbeat_interval_ms: int = 1000
    stop_timeout_ms: int = 30_000


def load(path: str) -> Settings:
    """Reads and validates a settings file.

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
    """Validates settings given as JSON.

    Raises:
        SettingsError: A field is missing, unknown or of the wrong type.
    """
    try:
        settings = msgspec.json.decode(data, type=Settings)
    except msgspec.MsgspecError as error:
        raise errors.SettingsError(
            f"settings: {error}", remedy=_remedy(str(error))
        ) from error
    for problem in _problems(settings):
        raise problem
    return settings


def _remedy(message: str) -> str:
    """Returns the remedy for a decoding error."""
    unknown = re.search(r"unknown field `(\w+)`", message)
    if unknown is None:
        return "correct the named field"
    known = [
        field
        for struct in (
            Settings,
            BackendSettings,
            Endpoint,
            credentials.PlatformCredentials,
        )
        for field in struct.__struct_fields__
    ]
    similar = difflib.get_close_matches(unknown[1], known, n=1, cutoff=0.6)
    if not similar:
        return "remove it or see the table of settings in docs/OPERATIONS.md"
    return f"did you mean `{similar[0]}`? Names include the unit"


def _problems(settings: Settings) -> Iterator[errors.SettingsError]:
    """Yields violations of rules that the types cannot express."""
    if not _NAME.fullmatch(settings.name):
        yield _problem("name", "use 1 to 64 letters, digits, dots and hyphens")
    if settings.role == "balancer" and settings.public is None:
        yield _problem("public", "a balancer needs an address for callers")
    if settings.role == "agent" and settings.backend is None:
        yield _problem("backend", "an agent needs a backend server")
    if not _is_key(settings.cluster_key_hex):
        yield _problem("cluster_key_hex", "use 32 to 128 hexadecimal digits")
    for field, endpoint in _endpoints(settings):
        if not _is_ipv4(endpoint.ip):
            yield _problem(f"{field}.ip", "use an IPv4 address")
        if not 0 < endpoint.port < 65536:
            yield _problem(f"{field}.port", "use a port from 1 to 65535")
    for field, value in _durations(settings):
        if value <= 0:
            yield _problem(field, "use a duration above 0")
    if settings.backend is not None:
        yield from _backend_problems(settings.backend)
    yield from credentials.problems(
        settings.platform_url,
        settings.platform_credentials,
        settings.peer_credentials,
    )


def _backend_problems(
    backend: BackendSettings,
) -> Iterator[errors.SettingsError]:
    for field in (
        "slots",
        "max_flows",
        "queue_requests",
        "reply_cache_bytes",
        "reply_cache_ttl_ms",
        "assembly_bytes",
    ):
        if getattr(backend, field) < 1:
            yield _problem(f"backend.{field}", "set it to 1 or more")
    for field in ("initial_share", "caller_slot_share"):
        if not 0.0 < getattr(backend, field) <= 1.0:
            yield _problem(f"backend.{field}", "set it above 0 and at most 1")
    if not 0.0 <= backend.weight < math.inf:
        yield _problem("backend.weight", "set it to 0 or a number above it")
    if backend.ramp_ms < 0:
        yield _problem("backend.ramp_ms", "set it to 0 or more milliseconds")


def _problem(field: str, remedy: str) -> errors.SettingsError:
    return errors.SettingsError(
        f"settings: `{field}` is missing or out of range", remedy=remedy
    )


def _is_key(digits: str) -> bool:
    try:
        return _MIN_KEY_BYTES <= len(bytes.fromhex(digits)) <= _MAX_KEY_BYTES
    except ValueError:
        return False


def _is_ipv4(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def _endpoints(settings: Settings) -> Iterator[tuple[str, Endpoint]]:
    yield "peer", settings.peer
    yield "admin", settings.admin
    if settings.public is not None:
        yield "public", settings.public
    for index, neighbour in enumerate(settings.neighbours):
        yield f"neighbours[{index}]", neighbour
    if settings.backend is not None:
        backend = settings.backend
        yield "backend", Endpoint(backend.ip, backend.port)


def _durations(settings: Settings) -> Iterator[tuple[str, int]]:
    for field in Settings.__struct_fields__:
        if field.endswith("_ms"):
            yield field, getattr(settings, field)
