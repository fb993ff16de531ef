"""Measures memory, message sizes and processing time of the packet daemon.

``python -m sapphirelift.bench.packet_capacity`` prints the figures as JSON.
The daemon's cores run on the in-memory network, so sockets are not measured.
"""

import json
import time
import tracemalloc
from collections.abc import Callable

from sapphirelift.core.l4 import flow_table
from sapphirelift.core.l4 import heartbeats
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet
from sapphirelift.platform import packets
from sapphirelift.standins import flow_ends
from sapphirelift.standins import packet_network

FLOWS = (2000, 8000)
REPEATS = 2000


def message_bytes() -> dict[str, int]:
    """Returns the size of each control message in bytes."""
    network = packet_network.Network(1)
    host = network.add_agent()
    balancer = network.add_balancer()
    network.run(1000)
    sent: dict[str, int] = {}
    host.agent.send_heartbeats(network.now_ms + heartbeats.MIN_INTERVAL_MS)
    balancer.core.acknowledge_watched()
    balancer.core.add_peer(messages.Address("10.9.0.1", 1), network.now_ms)
    for core in (host.core, balancer.core):
        for action in core.drain_actions():
            message = getattr(action, "message", None)
            if message is not None:
                name = type(message).__name__
                sent[name] = len(messages.encode(message))
    flow = flow_of_port(1)
    address = host.address
    for extra in (
        host.agent.heartbeat(network.now_ms),
        messages.Opened(flow, address, 1 << 31, 1000),
        messages.Ask(flow),
        messages.Answer(flow, address, messages.OWNS_NOT),
    ):
        sent[type(extra).__name__] = len(messages.encode(extra))
    data = flow_ends.from_caller(flow, flow_ends.ACK)
    deliver = messages.Deliver(balancer.address, data)
    sent["Deliver beside its packet"] = len(messages.encode(deliver)) - len(
        data
    )
    return sent


def flow_of_port(port: int) -> packet.FlowKey:
    """Returns the flow key of a caller's port.

    Ports above 15 bits continue with the next caller address.
    """
    return packet.FlowKey(
        packets.ip_number("100.64.0.1") + (port >> 15),
        port & 0x7FFF,
        packet_network.ROUTE_IP,
        packet_network.ROUTE_PORT,
    )


def bytes_per_agent_flow() -> float:
    """Returns the memory per flow of an agent's flow table."""

    def fill(count: int) -> int:
        tracemalloc.start()
        table = flow_table.FlowTable()
        before = tracemalloc.get_traced_memory()[0]
        for port in range(count):
            address = messages.Address("10.1.0.1", 7720)
            flow = flow_table.Flow(flow_table.Phase.OPEN, address, port)
            table.add(flow_of_port(port), flow)
        used_bytes = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        return used_bytes

    return (fill(FLOWS[1]) - fill(FLOWS[0])) / (FLOWS[1] - FLOWS[0])


def bytes_per_cached_owner() -> float:
    """Returns the memory per flow of a balancer's cache of owners."""

    def fill(count: int) -> int:
        network = packet_network.Network(1)
        host = network.add_agent()
        core = network.add_balancer().core
        network.run(500)
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        for port in range(count):
            flow = flow_of_port(port)
            data = flow_ends.from_caller(flow, flow_ends.ACK)
            core.on_packet(packets.decode_from_caller(data), network.now_ms)
            answer = messages.Answer(flow, host.address, messages.OWNS)
            core.on_message(answer, network.now_ms)
            core.drain_actions()
        used_bytes = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        return used_bytes

    return (fill(FLOWS[1]) - fill(FLOWS[0])) / (FLOWS[1] - FLOWS[0])


def _us_per_call(call: Callable[[int], None]) -> float:
    started = time.perf_counter()
    for number in range(REPEATS):
        call(number)
    return (time.perf_counter() - started) / REPEATS * 1e6


def times_us(agents: int) -> dict[str, float]:
    """Returns a balancer's processing times in microseconds.

    Args:
        agents: Number of agents of the service.
    """
    network = packet_network.Network(1)
    for _ in range(agents):
        network.add_agent()
    core = network.add_balancer().core
    network.run(1000)
    host = next(iter(network.agents.values()))
    heartbeats = [host.agent.heartbeat(network.now_ms) for _ in range(REPEATS)]

    def open_flow(number: int) -> None:
        data = flow_ends.from_caller(flow_of_port(number), flow_ends.SYN)
        core.on_packet(packets.decode_from_caller(data), network.now_ms)
        opened = messages.Opened(flow_of_port(number), host.address, 1, 1)
        core.on_message(opened, network.now_ms)
        core.drain_actions()

    def forward(number: int) -> None:
        data = flow_ends.from_caller(flow_of_port(number), flow_ends.ACK)
        core.on_packet(packets.decode_from_caller(data), network.now_ms)
        core.drain_actions()

    def receive_heartbeat(number: int) -> None:
        core.on_message(heartbeats[number], network.now_ms)
        core.drain_actions()

    return {
        "open": _us_per_call(open_flow),
        "forward": _us_per_call(forward),
        "heartbeat": _us_per_call(receive_heartbeat),
    }


def main() -> None:
    """Prints all figures."""
    figures = {
        "message_bytes": message_bytes(),
        "bytes_per_agent_flow": round(bytes_per_agent_flow()),
        "bytes_per_cached_owner": round(bytes_per_cached_owner()),
        "times_us": {
            str(count): {k: round(v, 1) for k, v in times_us(count).items()}
            for count in (3, 12, 48)
        },
    }
    print(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
