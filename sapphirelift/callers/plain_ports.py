"""Datagram ports of services whose callers carry no token."""

import functools
from collections.abc import Callable

import eliot

from sapphirelift import messages
from sapphirelift.peers import endpoint

Handler = Callable[[str, bytes, tuple[str, int]], None]


class PlainPorts:
    """Opens and closes the datagram ports as records come into force.

    Attributes:
        failed: Reason by service, for ports that could not be opened.
    """

    def __init__(self, ip: str, handler: Handler) -> None:
        self._ip = ip
        self._handler = handler
        self._open: dict[str, endpoint.Endpoint] = {}
        self.failed: dict[str, str] = {}

    def update(self, wanted: dict[str, int]) -> None:
        """Opens the ports that are missing and closes those left over."""
        for service in [s for s in self.failed if s not in wanted]:
            del self.failed[service]
        for service, opened in list(self._open.items()):
            if wanted.get(service) != opened.address.port:
                opened.stop()
                del self._open[service]
                eliot.log_message("datagram_port_closed", service=service)
        for service, port in wanted.items():
            if service not in self._open:
                self._try_open(service, port)

    def _try_open(self, service: str, port: int) -> None:
        try:
            opened = endpoint.Endpoint(
                messages.Address(self._ip, port),
                functools.partial(self._handler, service),
            )
        except (OSError, OverflowError) as error:
            reason = f"port {port}: {error}"
            if self.failed.get(service) != reason:
                self.failed[service] = reason
                eliot.log_message(
                    "datagram_port_not_opened", service=service, reason=reason
                )
            return
        self.failed.pop(service, None)
        self._open[service] = opened
        opened.start()
        eliot.log_message("datagram_port_opened", service=service, port=port)

    def reply(self, reply: messages.PlainReply) -> None:
        """Sends an answer to a caller from the port of its service."""
        opened = self._open.get(reply.service)
        if opened is not None:
            opened.send(reply.payload, reply.caller)
