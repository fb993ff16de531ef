"""Record fetch between daemons, over grpc.

grpc runs in its own threads. The server reads only the replica, which is
replaced and never altered in place; the client is called through tpool so
that green threads run on.
"""

from concurrent import futures
from typing import Any
from typing import NamedTuple

import grpc
import msgspec
from eventlet import tpool

from sapphirelift import errors
from sapphirelift import messages
from sapphirelift.core import replica

_SERVICE = "sapphirelift.Records"
_METHOD = "Fetch"
FETCH_TIMEOUT_S = 2.0
_MAX_MESSAGE_BYTES = 64 << 20
_OPTIONS = [
    ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
]


class FetchRequest(NamedTuple):
    """Asks for all changes after ``since``."""

    since: int


_REQUEST_DECODER = msgspec.msgpack.Decoder(FetchRequest)
_REPLY_DECODER = msgspec.msgpack.Decoder(replica.Difference)


class RecordServer:
    """Serves the replica to other daemons."""

    def __init__(
        self, address: messages.Address, held: replica.Replica
    ) -> None:
        self._replica = held
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
        self._server.add_insecure_port(f"{address.ip}:{address.port}")

    def start(self) -> None:
        """Starts to serve."""
        self._server.start()

    def stop(self) -> None:
        """Stops to serve."""
        self._server.stop(grace=None)

    def _fetch(self, request: FetchRequest, context: Any) -> replica.Difference:
        del context
        return self._replica.difference(request.since)


def fetch(address: messages.Address, *, since: int) -> replica.Difference:
    """Fetches changes from another daemon; blocks only the calling task.

    Raises:
        FetchError: The other side did not answer in time.
    """
    return tpool.execute(_fetch_blocking, address, since)


def _fetch_blocking(
    address: messages.Address, since: int
) -> replica.Difference:
    target = f"{address.ip}:{address.port}"
    with grpc.insecure_channel(target, options=_OPTIONS) as channel:
        call = channel.unary_unary(
            f"/{_SERVICE}/{_METHOD}",
            request_serializer=msgspec.msgpack.encode,
            response_deserializer=_REPLY_DECODER.decode,
        )
        try:
            return call(FetchRequest(since), timeout=FETCH_TIMEOUT_S)
        except grpc.RpcError as error:
            raise errors.FetchError(f"{target} did not answer") from error
