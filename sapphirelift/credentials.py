"""Certificate, key and token files for the platform and other daemons."""

import pathlib
import ssl
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from sapphirelift import errors


class PlatformCredentials(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Files for mutual authentication between a process and the platform.

    Attributes:
        ca_file: CA certificates (PEM) trusted to sign the platform's
            certificate; by default those of the operating system.
        certificate_file: Client certificate (PEM), with ``key_file``.
        key_file: Private key (PEM) of the client certificate.
        token_file: File with a bearer token; read again for each call.
    """

    ca_file: str = ""
    certificate_file: str = ""
    key_file: str = ""
    token_file: str = ""


class PeerCredentials(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """TLS files for record fetches between daemons.

    Attributes:
        ca_file: CA certificates (PEM) that sign those of all daemons.
        certificate_file: Certificate (PEM) of this daemon. It must be issued
            for the IP address of the peer socket; fetching daemons verify it.
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
    """Reads the files.

    Raises:
        OSError: A file cannot be read.
    """
    return PeerFiles(
        pathlib.Path(credentials.ca_file).read_bytes(),
        pathlib.Path(credentials.certificate_file).read_bytes(),
        pathlib.Path(credentials.key_file).read_bytes(),
    )


def read_token(credentials: PlatformCredentials) -> str:
    """Returns the bearer token.

    Raises:
        OSError: The file cannot be read.
        ValueError: The file contains no printable ASCII token.
    """
    token = pathlib.Path(credentials.token_file).read_text().strip()
    if not token or not token.isascii() or not token.isprintable():
        raise ValueError("the token file contains no printable ASCII token")
    return token


def platform_context(credentials: PlatformCredentials) -> ssl.SSLContext:
    """Returns a TLS context that verifies the platform's CA and host name.

    ``ssl`` is resolved at call time: after eventlet has patched the sockets
    of the program, the context does not block the other green threads.
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
    """Yields an error for each setting that makes the credentials unusable."""
    is_https = url.lower().startswith("https://")
    yield from _file_problems("platform_credentials", platform)
    if any(msgspec.structs.astuple(platform)) and not is_https:
        yield _problem(
            "platform_url", "use an https:// URL or remove the credentials"
        )
    if bool(platform.certificate_file) != bool(platform.key_file):
        yield _problem(
            "platform_credentials.key_file",
            "set certificate_file and key_file together",
        )
    elif is_https:
        yield from _load_problems("platform_credentials", platform)
    if platform.token_file:
        try:
            read_token(platform)
        except (OSError, ValueError):
            yield _problem(
                "platform_credentials.token_file",
                "name a readable file with one line of printable ASCII",
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
            prefix, "use PEM files and a key that matches the certificate"
        )


def _problem(field: str, remedy: str) -> errors.SettingsError:
    return errors.SettingsError(
        f"settings: `{field}` cannot be used", remedy=remedy
    )
