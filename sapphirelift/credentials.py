"""Certificate, key and token files towards the platform and other daemons."""

import pathlib
import ssl
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from sapphirelift import errors


class PlatformCredentials(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """How a process proves itself to the platform, and the platform to it.

    Attributes:
        ca_file: Certificates (PEM) that may sign the platform's; by default
            those of the operating system.
        certificate_file: Client certificate (PEM), with ``key_file``.
        key_file: Private key (PEM) of the client certificate.
        token_file: File with a bearer token, read again for each call.
    """

    ca_file: str = ""
    certificate_file: str = ""
    key_file: str = ""
    token_file: str = ""


class PeerCredentials(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Certificates of record fetches between daemons.

    Attributes:
        ca_file: Certificates (PEM) that sign those of all daemons.
        certificate_file: Certificate (PEM) of this daemon. It must name the
            IP address of the peer socket, which fetching daemons check.
        key_file: Private key (PEM) of the certificate.
    """

    ca_file: str
    certificate_file: str
    key_file: str


class PeerFiles(NamedTuple):
    """Contents of the files of ``PeerCredentials``."""

    ca: bytes
    certificate: bytes
    key: bytes


def read_peer(credentials: PeerCredentials) -> PeerFiles:
    """Reads the files; raises OSError if one cannot be read."""
    return PeerFiles(
        pathlib.Path(credentials.ca_file).read_bytes(),
        pathlib.Path(credentials.certificate_file).read_bytes(),
        pathlib.Path(credentials.key_file).read_bytes(),
    )


def read_token(credentials: PlatformCredentials) -> str:
    """Returns the bearer token; raises OSError or ValueError without one."""
    token = pathlib.Path(credentials.token_file).read_text().strip()
    if not token or not token.isascii() or not token.isprintable():
        raise ValueError("the token file holds no token")
    return token


def platform_context(credentials: PlatformCredentials) -> ssl.SSLContext:
    """Returns a context that checks host name and CA of the platform.

    ``ssl`` is looked up at the call, so that a program whose sockets are
    patched by eventlet gets a context that does not block its tasks.
    """
    context = ssl.create_default_context(cafile=credentials.ca_file or None)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if credentials.certificate_file:
        context.load_cert_chain(
            credentials.certificate_file, credentials.key_file
        )
    return context


def problems(
    url: str,
    platform: PlatformCredentials,
    peer: PeerCredentials | None = None,
) -> Iterator[errors.SettingsError]:
    """Yields what keeps the credentials from being used."""
    is_https = url.lower().startswith("https://")
    yield from _file_problems("platform_credentials", platform)
    if any(msgspec.structs.astuple(platform)) and not is_https:
        yield _problem(
            "platform_url", "credentials need an https:// URL, or remove them"
        )
    if bool(platform.certificate_file) != bool(platform.key_file):
        yield _problem(
            "platform_credentials.key_file",
            "give certificate_file and key_file together",
        )
    elif is_https:
        yield from _load_problems("platform_credentials", platform)
    if platform.token_file:
        try:
            read_token(platform)
        except (OSError, ValueError):
            yield _problem(
                "platform_credentials.token_file", "write one line of ASCII"
            )
    if peer is not None:
        yield from _file_problems("peer_credentials", peer)
        yield from _load_problems(
            "peer_credentials",
            PlatformCredentials(
                peer.ca_file, peer.certificate_file, peer.key_file
            ),
        )


def _file_problems(
    prefix: str, files: PlatformCredentials | PeerCredentials
) -> Iterator[errors.SettingsError]:
    for name, path in msgspec.structs.asdict(files).items():
        if not path and isinstance(files, PlatformCredentials):
            continue
        try:
            pathlib.Path(path).read_bytes()
        except OSError as error:
            yield _problem(
                f"{prefix}.{name}", f"cannot read {path!r}: {error.strerror}"
            )


def _load_problems(
    prefix: str, files: PlatformCredentials
) -> Iterator[errors.SettingsError]:
    try:
        platform_context(files)
    except (OSError, ssl.SSLError):
        yield _problem(
            prefix, "use PEM files, and a key that fits the certificate"
        )


def _problem(field: str, remedy: str) -> errors.SettingsError:
    return errors.SettingsError(
        f"settings: `{field}` cannot be used", remedy=remedy
    )
