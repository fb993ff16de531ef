"""Forward path of a balancer against a bare eventlet datagram relay.

``python -m sapphirelift.bench.forwarding [SECONDS] [ROUNDS]`` measures both
in turn, each as a process of its own on the loopback interface, in one run.
With ``profile`` as the only argument it profiles the balancer's decisions
without sockets.
"""

import cProfile
import json
import pstats
import socket as stdlib_socket
import statistics
import subprocess
import sys
import time

import eventlet
from eventlet.green import socket

from sapphirelift import _balancer_node
from sapphirelift import messages
from sapphirelift import settings as settings_module
from sapphirelift import wire
from sapphirelift.core import balancer
from sapphirelift.core import keys
from sapphirelift.core import membership
from sapphirelift.core import token

SENDERS = 2
WARM_UP_S = 0.5
PAYLOAD_BYTES = 256
RECEIVE_BYTES = 65_536
FLOW_KEY = b"f" * wire.FLOW_KEY_BYTES
RING = keys.KeyRing(0, {0: b"k" * 32})
START_TIMEOUT_S = 20.0


def flow_datagram(owner: messages.Address) -> bytes:
    """Returns a datagram of an established flow."""
    sealed = token.seal(
        token.Token(owner.ip, owner.port, 1, 2, 3, 4, 0), FLOW_KEY, RING
    )
    request = messages.Request(
        1, 0, 1, 0, 1000, True, "POST", "/echo", b"x" * PAYLOAD_BYTES
    )
    return wire.encode_caller(
        messages.Kind.REQUEST, FLOW_KEY, request, flow_token=sealed
    )


def serve_relay(target_port: int) -> None:
    """Relays every datagram to a port, with nothing in between."""
    incoming = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    outgoing = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    incoming.bind(("127.0.0.1", 0))
    print(incoming.getsockname()[1], flush=True)
    target = ("127.0.0.1", target_port)
    while True:
        data, _ = incoming.recvfrom(RECEIVE_BYTES)
        outgoing.sendto(data, target)


def _free_port() -> int:
    """Returns a port that is free for UDP and TCP; a daemon needs both."""
    while True:
        with (
            stdlib_socket.socket(type=stdlib_socket.SOCK_STREAM) as stream,
            stdlib_socket.socket(type=stdlib_socket.SOCK_DGRAM) as datagrams,
        ):
            stream.bind(("127.0.0.1", 0))
            try:
                datagrams.bind(stream.getsockname())
            except OSError:
                continue
            return stream.getsockname()[1]


def serve_balancer() -> None:
    """Serves a balancer whose platform is down; it forwards by token."""
    free = settings_module.Endpoint("127.0.0.1", 0)
    node = _balancer_node.BalancerNode(
        settings_module.Settings(
            name="balancer-1",
            role="balancer",
            data_centre="etela-a",
            peer=settings_module.Endpoint("127.0.0.1", _free_port()),
            public=free,
            admin=free,
            platform_url="http://127.0.0.1:9",
            cluster_key_hex=RING.keys[0].hex(),
        )
    )
    node.start()
    print(node.public.address.port, flush=True)
    while True:
        eventlet.sleep(60)


def send_forever(port: int, data: bytes) -> None:
    """Sends a datagram as often as the kernel takes it."""
    source = stdlib_socket.socket(
        stdlib_socket.AF_INET, stdlib_socket.SOCK_DGRAM
    )
    source.connect(("127.0.0.1", port))
    while True:
        try:
            source.send(data)
        except ConnectionRefusedError:
            return


def _start(*arguments: str) -> "subprocess.Popen[str]":
    return subprocess.Popen(
        [sys.executable, "-W", "ignore", "-m", __spec__.name, *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )


def measure(mode: str, seconds: float) -> float:
    """Returns the datagrams a second that a relay or balancer passes on.

    More is sent than it can take, so that neither the senders nor a window
    set the rate.
    """
    sink = stdlib_socket.socket(stdlib_socket.AF_INET, stdlib_socket.SOCK_DGRAM)
    sink.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_RCVBUF, 4 << 20)
    sink.bind(("127.0.0.1", 0))
    sink.settimeout(START_TIMEOUT_S)
    address = messages.Address(*sink.getsockname())
    processes = [_start(mode, str(address.port))]
    try:
        assert processes[0].stdout is not None
        port = processes[0].stdout.readline().strip()
        data = flow_datagram(address).hex()
        processes += [_start("send", port, data) for _ in range(SENDERS)]
        sink.recv(RECEIVE_BYTES)
        _count(sink, WARM_UP_S)
        return _count(sink, seconds)
    finally:
        for process in processes:
            process.kill()
            process.wait()


def _count(sink: stdlib_socket.socket, seconds: float) -> float:
    """Returns the datagrams a second that arrive."""
    received = 0
    start_s = time.perf_counter()
    while (elapsed_s := time.perf_counter() - start_s) < seconds:
        for _ in range(100):
            sink.recv(RECEIVE_BYTES)
        received += 100
    return received / elapsed_s


def compare(seconds: float, rounds: int) -> dict[str, float]:
    """Measures relay and balancer in turn; returns medians and their ratio."""
    rates: dict[str, list[float]] = {"relay": [], "balancer": []}
    for _ in range(rounds):
        for mode, measured in rates.items():
            measured.append(measure(mode, seconds))
    relay = statistics.median(rates["relay"])
    forwarding = statistics.median(rates["balancer"])
    return {
        "relay_per_s": round(relay),
        "balancer_per_s": round(forwarding),
        "balancer_over_relay": round(forwarding / relay, 3),
    }


def profile() -> None:
    """Profiles the decisions on 100,000 datagrams of one flow."""
    core = balancer.BalancerCore(
        address=messages.Address("127.0.0.1", 1),
        members=membership.Membership(),
        ring=RING,
    )
    data = flow_datagram(messages.Address("127.0.0.1", 9))
    caller = ("127.0.0.1", 5000)
    profiler = cProfile.Profile()
    start_s = time.perf_counter()
    for _ in range(100_000):
        core.forward(data, caller)
    elapsed_s = time.perf_counter() - start_s
    print(f"{elapsed_s * 10:.2f} us per datagram without the profiler")
    profiler.enable()
    for _ in range(100_000):
        core.forward(data, caller)
    profiler.disable()
    pstats.Stats(profiler).sort_stats("tottime").print_stats(15)


def main() -> None:
    """Entry point."""
    match sys.argv[1:]:
        case ["relay", port]:
            serve_relay(int(port))
        case ["balancer", _]:
            eventlet.monkey_patch(thread=False)
            serve_balancer()
        case ["send", port, data]:
            send_forever(int(port), bytes.fromhex(data))
        case ["profile"]:
            profile()
        case arguments:
            seconds = float(arguments[0]) if arguments else 2.0
            rounds = int(arguments[1]) if len(arguments) > 1 else 3
            print(json.dumps(compare(seconds, rounds)))


if __name__ == "__main__":
    main()
