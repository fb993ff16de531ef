"""TCP ports of services whose records name one."""

from collections.abc import Callable

import eliot

from sapphirelift import messages
from sapphirelift.callers import tcp_entry


class TcpPorts:
    """Opens and closes the TCP ports that the records in force ask for.

    Attributes:
        failed: Reasons why ports could not be opened, by service.
    """

    def __init__(
        self, ip: str, balancer: Callable[[], messages.Address]
    ) -> None:
        """Creates the set of ports, all closed.

        Args:
            ip: Address to listen on.
            balancer: Returns the public address of the balancer to which
                the packets of the flows are sent.
        """
        self.failed: dict[str, str] = {}
        self._ip = ip
        self._balancer = balancer
        self._open: dict[str, tuple[int, tcp_entry.TcpEntry]] = {}
        self._stopping: list[tcp_entry.TcpEntry] = []

    def update(self, wanted: dict[str, int]) -> None:
        """Opens and closes ports so that exactly the wanted ones are open.

        Args:
            wanted: Port numbers by service.
        """
        for service in [s for s in self.failed if s not in wanted]:
            del self.failed[service]
        for service, (port, entry) in list(self._open.items()):
            if wanted.get(service) != port:
                entry.stop()
                del self._open[service]
                self._stopping.append(entry)
                eliot.log_message("tcp_port_closed", service=service)
        self._stopping = [e for e in self._stopping if not e.has_ended]
        for service, port in wanted.items():
            if service not in self._open:
                self._try_open(service, port)

    def _try_open(self, service: str, port: int) -> None:
        try:
            entry = tcp_entry.TcpEntry(
                service=service,
                address=messages.Address(self._ip, port),
                balancer=self._balancer(),
            )
        except (OSError, OverflowError) as error:
            reason = f"port {port}: {error}"
            if self.failed.get(service) != reason:
                self.failed[service] = reason
                eliot.log_message(
                    "tcp_port_not_opened", service=service, reason=reason
                )
            return
        self.failed.pop(service, None)
        entry.start()
        self._open[service] = (port, entry)
        eliot.log_message("tcp_port_opened", service=service, port=port)

    def stop(self) -> None:
        """Closes all ports and waits until the current requests have ended."""
        self.update({})
        for entry in self._stopping:
            entry.wait()
