"""Compares one balancer's forwarding rate with that of a bare relay.

``python -m sapphirelift.bench.forwarding relay LISTEN_PORT TARGET_PORT`` is
the bare eventlet datagram relay, and ``... send PORT FILE SECONDS`` sends
the datagrams of a file repeatedly; the measurement starts both.
"""

import pathlib
import random
import socket
import sys
import threading
import time
from typing import Any

import eventlet
import msgspec
from eventlet.green import socket as green_socket

from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.bench import fleet as fleet_module
from sapphirelift.bench import monitor
from sapphirelift.bench import results
from sapphirelift.core import keys
from sapphirelift.core.flows import token

NAME = "forwarding"
SUMMARY = "one balancer at its highest rate, beside a bare datagram relay"
FLOWS = 20_000
SETTLE_S = 1.0
_SOCKET_BYTES = 4 << 20
_NOT_FORWARDED = (messages.Kind.HEARTBEAT, messages.Kind.HEARTBEAT_ACK)
# A balancer that keeps even a small entry per flow exceeds this.
MEMORY_BYTES_PER_FLOW = 16.0
BOUNDS = (
    results.Bound("forwarding_ratio", ">=", 0.5),
    results.Bound("memory_bytes_per_flow", "<=", MEMORY_BYTES_PER_FLOW),
)


class _CountingSocket:
    """Counts the datagrams that arrive at a stand-in for an agent."""

    def __init__(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BYTES
        )
        self.socket.bind(("127.0.0.1", 0))
        self.address = messages.Address(*self.socket.getsockname())
        self.count = 0
        threading.Thread(target=self._receive, daemon=True).start()

    def _receive(self) -> None:
        buffer = bytearray(wire.MAX_DATAGRAM_BYTES)
        while True:
            size = self.socket.recv_into(buffer)
            # Excludes the balancer's own heartbeats.
            self.count += size > 0 and buffer[2] not in _NOT_FORWARDED


def _datagrams(owner: messages.Address, rng: random.Random) -> list[bytes]:
    """Returns a PING for each of ``FLOWS`` flows that ``owner`` owns."""
    ring = keys.KeyRing(0, {0: bytes.fromhex(fleet_module.CLUSTER_KEY_HEX)})
    datagrams = []
    for serial in range(FLOWS):
        flow_key = rng.randbytes(wire.FLOW_KEY_BYTES)
        sealed = token.seal(
            token.Token(
                owner_ip=owner.ip,
                owner_port=owner.port,
                incarnation=1,
                service_id=keys.service_id("jasen-kauppa"),
                data_centre_id=keys.data_centre_id("etela-a"),
                serial=serial,
                key_id=ring.current_id,
            ),
            flow_key,
            ring,
        )
        ping = messages.Ping(0)
        datagrams.append(
            wire.encode_caller(
                messages.Kind.PING, flow_key, ping, flow_token=sealed
            )
        )
    return datagrams


def _measure_rate(
    fleet: fleet_module.Fleet,
    sink: _CountingSocket,
    *,
    name: str,
    port: int,
    duration_s: float,
) -> float:
    """Returns the rate at which datagrams arrive at the sink, per second."""
    path = str(fleet.directory / "datagrams.json")
    fleet.spawn(
        name,
        "-m",
        "sapphirelift.bench.forwarding",
        "send",
        str(port),
        path,
        str(duration_s + 2 * SETTLE_S),
    )
    time.sleep(2 * SETTLE_S)
    count, begin_s = sink.count, time.monotonic()
    time.sleep(duration_s - SETTLE_S)
    rate = (sink.count - count) / (time.monotonic() - begin_s)
    fleet.wait_exit(name)
    return rate


def run(
    directory: pathlib.Path, *, seed: int, duration_s: float
) -> dict[str, Any]:
    """Runs both measurements and returns the result in its saved form.

    Args:
        directory: Directory for logs and the file of datagrams.
        seed: Seed of the flow keys.
        duration_s: Sending time of each measurement.
    """
    fleet = fleet_module.Fleet(directory)
    try:
        return _run(fleet, seed, duration_s)
    finally:
        fleet.close()


def _run(
    fleet: fleet_module.Fleet, seed: int, duration_s: float
) -> dict[str, Any]:
    sink = _CountingSocket()
    datagrams = _datagrams(sink.address, random.Random(seed))
    (fleet.directory / "datagrams.json").write_bytes(
        msgspec.json.encode(datagrams)
    )
    fleet.start_platform()
    fleet.start_balancer("balancer-1")
    fleet_module.wait_until(lambda: fleet.dump("balancer-1")["revision"] > 0)
    pid = fleet.processes["balancer-1"].pid
    _, memory_kb = monitor.usage(pid)
    balancer = _measure_rate(
        fleet,
        sink,
        name="send-1",
        port=fleet.public["balancer-1"].port,
        duration_s=duration_s,
    )
    _, loaded_kb = monitor.usage(pid)
    port = fleet_module.free_port()
    fleet.spawn(
        "relay",
        "-m",
        "sapphirelift.bench.forwarding",
        "relay",
        str(port),
        str(sink.address.port),
    )
    time.sleep(SETTLE_S)
    relay = _measure_rate(
        fleet, sink, name="send-2", port=port, duration_s=duration_s
    )
    figures: dict[str, Any] = {
        "forwarded_per_s": round(balancer),
        "relay_per_s": round(relay),
        "forwarding_ratio": round(balancer / relay, 3) if relay else None,
        "flows": FLOWS,
        "memory_bytes_per_flow": round((loaded_kb - memory_kb) * 1024 / FLOWS),
    }
    return {
        "figures": figures,
        "bounds": [bound.check(figures) for bound in BOUNDS],
    }


def _relay(listen_port: int, target_port: int) -> None:
    """Forwards every datagram unchanged."""
    receiver = green_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BYTES)
    receiver.bind(("127.0.0.1", listen_port))
    sender = green_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    target = ("127.0.0.1", target_port)
    while True:
        data, _ = receiver.recvfrom(wire.MAX_DATAGRAM_BYTES + 1)
        sender.sendto(data, target)


def _send(port: int, path: str, duration_s: float) -> None:
    text = pathlib.Path(path).read_bytes()
    datagrams = msgspec.json.decode(text, type=list[bytes])
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    target = ("127.0.0.1", port)
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        for start in range(0, len(datagrams), 200):
            for data in datagrams[start : start + 200]:
                sender.sendto(data, target)
            if time.monotonic() >= end_s:
                return


def main(arguments: list[str]) -> None:
    """Runs the relay or the sender, as the arguments say."""
    match arguments:
        case ["relay", listen_port, target_port]:
            eventlet.monkey_patch(thread=False)
            _relay(int(listen_port), int(target_port))
        case ["send", port, path, duration_s]:
            _send(int(port), path, float(duration_s))
        case _:
            print(__doc__, file=sys.stderr)
            sys.exit(2)


if __name__ == "__main__":
    main(sys.argv[1:])
