"""UDP ports of services whose callers send datagrams without a token."""

import functools
from collections.abc import Callable

import eliot

from sapphirelift import messages
from sapphirelift.peers import endpoint

# Called with the service name, the payload and the address of the caller.
Handler = Callable[[str, bytes, tuple[str, int]], None]


class PlainPorts:
    """Opens and closes the UDP ports that the records in force ask for.

    Attributes:
        failed: Reasons why ports could not be opened, by service.
    """

    def __init__(self, ip: str, handler: Handler) -> None:
        self._ip = ip
        self._handler = handler
        self._open: dict[str, endpoint.Endpoint] = {}
        self.failed: dict[str, str] = {}

    def update(self, wanted: dict[str, int]) -> None:
        """Opens and closes ports so that exactly the wanted ones are open.

        Args:
            wanted: Port numbers by service.
        """
        for service in [s for s in self.failed if s not in wanted]:
            del self.failed[service]
        for service, port_endpoint in list(self._open.items()):
            if wanted.get(service) != port_endpoint.address.port:
                port_endpoint.stop()
                del self._open[service]
                eliot.log_message("datagram_port_closed", service=service)
        for service, port in wanted.items():
            if service not in self._open:
                self._try_open(service, port)

    def _try_open(self, service: str, port: int) -> None:
        try:
            port_endpoint = endpoint.Endpoint(
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
        self._open[service] = port_endpoint
        port_endpoint.start()
        eliot.log_message("datagram_port_opened", service=service, port=port)

    def reply(self, reply: messages.PlainReply) -> None:
        """Sends a reply to a caller from the port of its service."""
        port_endpoint = self._open.get(reply.service)
        if port_endpoint is not None:
            port_endpoint.send(reply.payload, reply.caller)
