"""Tests of the fault-injecting proxy."""

import socket
import threading
import urllib.error

import pytest

from sapphirelift.standins import fault_proxy
from tests import processes


def echo_udp() -> socket.socket:
    """Returns a UDP socket that echoes every datagram."""
    server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    server.bind(("127.0.0.1", 0))

    def run() -> None:
        while True:
            try:
                data, address = server.recvfrom(2000)
            except OSError:
                return
            server.sendto(data, address)

    threading.Thread(target=run, daemon=True).start()
    return server


def udp_client(address: tuple[str, int]) -> socket.socket:
    """Returns a UDP socket connected to the proxy, from a new port."""
    client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    client.connect(address)
    client.settimeout(0.5)
    return client


def count_received(client: socket.socket) -> int:
    """Counts datagrams until none arrives for 0.5 s."""
    count = 0
    try:
        while client.recv(2000):
            count += 1
    except TimeoutError:
        return count


class TestInjector:
    """Random decisions about datagrams."""

    def test_decisions_are_reproducible_from_the_seed(self) -> None:
        """Guards against a run that cannot be reproduced from its seed."""
        decisions = []
        for _ in range(2):
            injector = fault_proxy.FaultInjector(7)
            injector.faults = fault_proxy.Faults(
                drop=0.2, duplicate=0.2, reorder=0.2
            )
            decisions.append(
                [injector.delays_ms("to_target") for _ in range(99)]
            )
        assert decisions[0] == decisions[1]
        assert {len(delays) for delays in decisions[0]} == {0, 1, 2}
        assert any(20.0 in delays for delays in decisions[0])

    def test_other_direction_is_unaffected(self) -> None:
        """Guards against faults that also affect the other direction."""
        injector = fault_proxy.FaultInjector(1)
        injector.faults = fault_proxy.Faults(drop=1, direction="to_target")
        assert injector.delays_ms("to_target") == []
        assert injector.delays_ms("from_target") == [0.0]


class TestUdp:
    """Datagrams through a running proxy."""

    def test_drop_duplicate_and_silence(self, fleet: processes.Fleet) -> None:
        """Guards against faults that are counted but not applied."""
        server = echo_udp()
        listen = fleet.start_fault_proxy(
            "faults", target=server.getsockname(), kind="udp"
        )
        client = udp_client(listen)
        client.send(b"a")
        assert count_received(client) == 1
        fleet.set_faults("faults", duplicate=1, direction="to_target")
        client.send(b"b")
        assert count_received(client) == 2
        fleet.set_faults("faults", drop=1)
        client.send(b"c")
        assert count_received(client) == 0
        fleet.set_faults("faults")
        processes.post_json(fleet.fault_admin_ports["faults"], "/silence", {})
        client.send(b"d")
        other = udp_client(listen)
        other.send(b"e")
        assert (count_received(client), count_received(other)) == (0, 1)
        server.close()


class TestTcp:
    """TCP connections through a running proxy."""

    def test_cut_and_silence(self, fleet: processes.Fleet) -> None:
        """Guards against a cut or silence that also hits new connections."""
        fleet.start_platform()
        target = ("127.0.0.1", fleet.platform_port)
        listen = fleet.start_fault_proxy("faults", target=target, kind="tcp")
        admin = fleet.fault_admin_ports["faults"]
        request = b"GET /calls HTTP/1.1\r\nHost: a\r\n\r\n"
        old = socket.create_connection(listen)
        old.settimeout(0.5)
        old.sendall(request)
        assert old.recv(2000).startswith(b"HTTP/1.1 200")
        processes.post_json(admin, "/silence", {})
        old.sendall(request)
        with pytest.raises(TimeoutError):
            old.recv(2000)
        assert processes.get_json(listen.port, "/calls") == {}
        processes.post_json(admin, "/cut", {})
        assert old.recv(2000) == b""
        assert processes.get_json(listen.port, "/calls") == {}

    def test_datagram_faults_are_refused(self, fleet: processes.Fleet) -> None:
        """Guards against TCP faults that are accepted but have no effect."""
        fleet.start_fault_proxy("faults", target=("127.0.0.1", 9), kind="tcp")
        with pytest.raises(urllib.error.HTTPError):
            fleet.set_faults("faults", drop=0.5)
