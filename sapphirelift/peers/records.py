"""Record fetches between daemons over gRPC.

gRPC runs its own threads. The server only reads the replica, whose state is
replaced as a whole and never modified in place. The client is called through
tpool so that other green threads keep running.

Requests and replies are authenticated with the key from the settings: the
replica contains the keyring record, and an instance that starts during an
outage has no other key yet. With certificates the connection also uses mutual
TLS; without them it is not encrypted.
"""

import hmac
import secrets
from concurrent import futures
from typing import Any
from typing import NamedTuple

import grpc
import msgspec
from eventlet import tpool

from sapphirelift import credentials as credentials_module
from sapphirelift import errors
from sapphirelift import messages
from sapphirelift.core import keys
from sapphirelift.core.records import replica

_SERVICE = "sapphirelift.Records"
_METHOD = "Fetch"
FETCH_TIMEOUT_S = 2.0
_MAC_BYTES = 16
_NONCE_BYTES = 16
_MAX_MESSAGE_BYTES = 64 << 20
_OPTIONS = [
    ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
]


class FetchRequest(NamedTuple):
    """Requests all changes after the revision ``since``.

    Attributes:
        nonce: Random bytes covered by the MAC of the reply.
        mac: MAC over the server's address, ``since`` and ``nonce``.
    """

    since: int
    nonce: bytes
    mac: bytes


class FetchReply(NamedTuple):
    """An encoded ``Difference`` and a MAC over the nonce and it."""

    difference: bytes
    mac: bytes


_REQUEST_DECODER = msgspec.msgpack.Decoder(FetchRequest)
_REPLY_DECODER = msgspec.msgpack.Decoder(FetchReply)
_DIFFERENCE_DECODER = msgspec.msgpack.Decoder(replica.Difference)


def _request_mac(key: bytes, target: str, since: int, nonce: bytes) -> bytes:
    data = f"fetch {target} {since} ".encode() + nonce
    return keys.keyed_hash(key, data, _MAC_BYTES)


def _reply_mac(key: bytes, nonce: bytes, difference: bytes) -> bytes:
    return keys.keyed_hash(key, b"reply " + nonce + difference, _MAC_BYTES)


class RecordServer:
    """Serves the replica to other daemons."""

    def __init__(
        self,
        address: messages.Address,
        served: replica.Replica,
        *,
        key: bytes,
        credentials: credentials_module.PeerCredentials | None = None,
    ) -> None:
        self._replica = served
        self._key = key
        self._target = f"{address.ip}:{address.port}"
        self._server = grpc.server(
            futures.ThreadPoolExecutor(max_workers=2), options=_OPTIONS
        )
        handler = grpc.unary_unary_rpc_method_handler(
            self._fetch,
            request_deserializer=_REQUEST_DECODER.decode,
            response_serializer=msgspec.msgpack.encode,
        )
        self._server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    _SERVICE, {_METHOD: handler}
                ),
            )
        )
        try:
            if credentials is None:
                self._server.add_insecure_port(self._target)
            else:
                self._server.add_secure_port(
                    self._target, _server_credentials(credentials)
                )
        except RuntimeError as error:
            raise errors.BindError(f"TCP {self._target}") from error

    def start(self) -> None:
        """Starts the server."""
        self._server.start()

    def stop(self) -> None:
        """Stops the server and cancels requests in progress."""
        self._server.stop(grace=None)

    def _fetch(self, request: FetchRequest, context: Any) -> FetchReply:
        since, nonce, mac = request
        expected = _request_mac(self._key, self._target, since, nonce)
        if not hmac.compare_digest(expected, mac):
            context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong key")
        difference = msgspec.msgpack.encode(self._replica.difference(since))
        return FetchReply(difference, _reply_mac(self._key, nonce, difference))


def _server_credentials(
    credentials: credentials_module.PeerCredentials,
) -> grpc.ServerCredentials:
    """Returns credentials that are reloaded when certificate files change."""

    def load() -> grpc.ServerCertificateConfiguration:
        files = credentials_module.read_peer(credentials)
        return grpc.ssl_server_certificate_configuration(
            [(files.key, files.certificate)], root_certificates=files.ca
        )

    def reload() -> grpc.ServerCertificateConfiguration | None:
        try:
            return load()
        except OSError:
            return None  # Keeps the current certificates.

    return grpc.dynamic_ssl_server_credentials(
        load(), reload, require_client_authentication=True
    )


def _channel(
    target: str, credentials: credentials_module.PeerCredentials | None
) -> grpc.Channel:
    if credentials is None:
        return grpc.insecure_channel(target, options=_OPTIONS)
    try:
        files = credentials_module.read_peer(credentials)
    except OSError as error:
        raise errors.FetchError(
            f"cannot read peer_credentials: {error.strerror}"
        ) from error
    return grpc.secure_channel(
        target,
        grpc.ssl_channel_credentials(files.ca, files.key, files.certificate),
        options=_OPTIONS,
    )


def fetch(
    address: messages.Address,
    *,
    since: int,
    key: bytes,
    credentials: credentials_module.PeerCredentials | None = None,
) -> replica.Difference:
    """Fetches changes from another daemon; blocks only the calling greenlet.

    Raises:
        FetchError: The certificate files cannot be read, the daemon did not
            answer in time or refused the request, or its reply is malformed
            or authenticated with another key.
    """
    return tpool.execute(_fetch_blocking, address, since, key, credentials)


def _fetch_blocking(
    address: messages.Address,
    since: int,
    key: bytes,
    credentials: credentials_module.PeerCredentials | None,
) -> replica.Difference:
    target = f"{address.ip}:{address.port}"
    nonce = secrets.token_bytes(_NONCE_BYTES)
    request = FetchRequest(
        since, nonce, _request_mac(key, target, since, nonce)
    )
    with _channel(target, credentials) as channel:
        call = channel.unary_unary(
            f"/{_SERVICE}/{_METHOD}",
            request_serializer=msgspec.msgpack.encode,
            response_deserializer=_REPLY_DECODER.decode,
        )
        try:
            reply = call(request, timeout=FETCH_TIMEOUT_S)
        except grpc.RpcError as error:
            raise errors.FetchError(f"fetch from {target} failed") from error
    expected = _reply_mac(key, nonce, reply.difference)
    if not hmac.compare_digest(expected, reply.mac):
        raise errors.FetchError(f"reply from {target} has an invalid MAC")
    try:
        return _DIFFERENCE_DECODER.decode(reply.difference)
    except msgspec.MsgspecError as error:
        raise errors.FetchError(f"reply from {target} is malformed") from error
