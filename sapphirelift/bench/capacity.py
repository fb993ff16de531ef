"""Measures memory, CPU time and message sizes by size, and fits slopes.

``python -m sapphirelift.bench.capacity NAME --output=FILE.json`` runs a
measurement; without a name it lists them. CPU times are medians of several
rounds in one process; sockets are bound to loopback.
"""

import functools
import gc
import json
import os
import pathlib
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import fire

from sapphirelift import _agent_node
from sapphirelift import _balancer_node
from sapphirelift import _node
from sapphirelift import errors
from sapphirelift import messages
from sapphirelift import settings
from sapphirelift import wire
from sapphirelift.bench import capacity_model
from sapphirelift.bench import capacity_processes
from sapphirelift.bench import fleet
from sapphirelift.core import keys
from sapphirelift.core.flows import flows
from sapphirelift.core.flows import token
from sapphirelift.core.records import replica
from sapphirelift.core.requests import outcomes
from sapphirelift.core.requests import replies
from sapphirelift.peers import records

ROUNDS = 7
# The design size is the last; the others have the same mix of members.
MEMBERS = (490, 1960, 3920, 7840)
BALANCER_SHARE = 840 / 7840
SERVICES_PER_MEMBER = 2500 / 7840
DATA_CENTRES = 6
_RING = keys.KeyRing(0, {0: bytes(32)})
_CALLER = ("10.1.0.1", 40_000)
_NOW_MS = 1_000_000


class Fit(NamedTuple):
    """A line fitted to measured points.

    Attributes:
        slope: Cost per unit of size.
        intercept: Cost at size 0.
        residual: Root mean square of the vertical distances from the line.
    """

    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Returns the value of the line at a size."""
        return self.intercept + self.slope * size


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """Fits a line by least squares.

    >>> fit([(0, 1), (1, 3), (2, 5)])
    Fit(slope=2.0, intercept=1.0, residual=0.0)
    """
    xs, ys = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    squares = [(y - intercept - slope * x) ** 2 for x, y in points]
    return Fit(slope, intercept, statistics.fmean(squares) ** 0.5)


def member(number: int, members: int) -> replica.StoredObject:
    """Returns the announcement of one member of a fleet.

    Args:
        number: Index of the member; the first ones are balancers.
        members: Number of members of the fleet.
    """
    balancers = round(members * BALANCER_SHARE)
    role = "balancer" if number < balancers else "agent"
    services = max(1, round(members * SERVICES_PER_MEMBER))
    service = f"service-{number % services}" if role == "agent" else ""
    data_centre = f"data-centre-{number % DATA_CENTRES}"
    name = f"{role}-{number}"
    value = {
        "schema_version": 1,
        "name": name,
        "role": role,
        "ip": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}",
        "port": 7000,
        "incarnation": 1_700_000_000_000 + number,
        "data_centre": data_centre,
        "service": service,
        "weight": 1.0,
        "state": "up",
    }
    key = f"members/{role}/{service or data_centre}/{name}"
    return replica.StoredObject(key, number + 1, value)


def service_record(number: int, revision: int) -> replica.StoredObject:
    """Returns a service record."""
    name = f"service-{number}"
    value = {
        "schema_version": 2,
        "kind": "service",
        "name": name,
        "branch": "pihlajakoti",
        "routing": "token",
        "overrides": {"flows.max_per_target": 2000},
        "labels": {"team": f"team-{number % 50}"},
    }
    return replica.StoredObject(f"records/service/{name}", revision, value)


def objects(members: int) -> list[replica.StoredObject]:
    """Returns newly allocated announcements and service records of a fleet."""
    services = max(1, round(members * SERVICES_PER_MEMBER))
    stored_objects = [member(n, members) for n in range(members)]
    stored_objects += [
        service_record(n, members + n + 1) for n in range(services)
    ]
    # Objects received from the platform share no strings; the JSON round trip
    # gives each object its own.
    return [
        item._replace(value=json.loads(json.dumps(item.value)))
        for item in stored_objects
    ]


def _settings(role: str, **values: Any) -> settings.Settings:
    address = {"ip": "127.0.0.1"}
    options = {
        "name": f"{role}-0",
        "role": role,
        "data_centre": "data-centre-0",
        "peer": address | {"port": fleet.free_port()},
        "admin": address | {"port": fleet.free_port()},
        "platform_url": "http://127.0.0.1:9",
        "cluster_key_hex": fleet.CLUSTER_KEY_HEX,
    }
    return settings.parse(json.dumps(options | values).encode())


def _fill(node: _node.Node, members: int) -> None:
    node.state = "leaving"  # Keeps the node from repeating its announcement.
    listed = objects(members)
    node.replica.replace(listed, revision=2 * members, trusted=True)
    node.apply_changes(listed)


def balancer_node(members: int) -> _balancer_node.BalancerNode:
    """Returns an unstarted balancer to which all objects are applied."""
    public = {"ip": "127.0.0.1", "port": fleet.free_port()}
    node = _balancer_node.BalancerNode(_settings("balancer", public=public))
    _fill(node, members)
    return node


def agent_node(members: int) -> _agent_node.AgentNode:
    """Returns an unstarted agent to which all objects are applied."""
    backend = {
        "ip": "127.0.0.1",
        "port": fleet.free_port(),
        "service": "service-1",
        "slots": 4,
    }
    node = _agent_node.AgentNode(_settings("agent", backend=backend))
    _fill(node, members)
    return node


def median_us(call: Callable[[], Any], *, repeat: int = 1) -> float:
    """Returns the median CPU time of a call in microseconds."""
    rounds = []
    for _ in range(ROUNDS):
        started = time.process_time_ns()
        for _ in range(repeat):
            call()
        rounds.append((time.process_time_ns() - started) / repeat / 1000)
    return statistics.median(rounds)


def resident_bytes() -> int:
    """Returns the resident memory of this process in bytes."""
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


def _allocated(build: Callable[[], Any]) -> tuple[float, Any]:
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(size_bytes), built


# Measurements: each function takes a size and returns values by name.


def memory(members: int) -> dict[str, float]:
    """Returns the memory of replica and member table in bytes."""
    before = resident_bytes()
    node = balancer_node(members)
    gc.collect()
    resident = resident_bytes() - before
    del node
    traced, _ = _allocated(lambda: balancer_node(members))
    agent_traced, agent = _allocated(lambda: agent_node(members))
    return {
        "traced_bytes": traced,
        "agent_traced_bytes": agent_traced,
        "agent_members": float(len(agent.members.members)),
        "resident_bytes": float(resident),
        "process_resident_bytes": float(resident_bytes()),
    }


def _apply_watched_heartbeats(
    node: _balancer_node.BalancerNode,
) -> list[messages.Heartbeat]:
    """Applies and returns a heartbeat of each member that a node watches."""
    beats = []
    table = node.members
    for watched_member in list(table.members.values())[1:]:
        if node.heartbeats.watches(watched_member.name):
            beat = messages.Heartbeat(
                watched_member.name,
                watched_member.role,
                *watched_member.address,
                watched_member.incarnation,
                1,
                "up",
                watched_member.data_centre,
                watched_member.service,
                0.5,
                node.replica.revision,
            )
            table.apply_heartbeat(beat, now_ms=_NOW_MS)
            beats.append(beat)
    return beats


def control(members: int) -> dict[str, float]:
    """Returns the CPU time of a balancer's control work in microseconds."""
    node = balancer_node(members)
    beats = _apply_watched_heartbeats(node)
    sequence = iter(range(2, 1_000_000))
    ring, now = node.ring, _NOW_MS

    def receive() -> None:
        beat = beats[0]._replace(sequence=next(sequence))
        body = wire.encode_body(beat)
        data = wire.encode_peer(messages.Kind.HEARTBEAT, body, ring)
        kind, body = wire.decode_peer(data, ring)
        node.heartbeats.on_heartbeat(
            wire.decode_body(kind, body),
            messages.Address("10.0.0.9", 9),
            state="up",
            revision=node.replica.revision,
            now_ms=now,
        )

    def beat() -> None:
        node.heartbeats.next_heartbeats(
            state="up", load=0.1, revision=node.replica.revision, now_ms=now
        )

    def ack() -> None:
        beat()
        reply = messages.HeartbeatAck(
            "balancer-1",
            1_700_000_000_001,
            node.heartbeats.sequence,
            "up",
            node.replica.revision,
        )
        node.heartbeats.on_ack(
            reply,
            messages.Address("10.0.0.1", 7000),
            revision=node.replica.revision,
            now_ms=now,
        )

    revisions = iter(range(3 * members, 10**9))

    def change() -> None:
        changed = service_record(0, next(revisions))
        node.apply_changes(
            node.replica.apply([changed], revision=changed.revision)
        )

    def change_member() -> None:
        changed = member(members - 1, members)._replace(
            revision=next(revisions)
        )
        node.apply_changes(
            node.replica.apply([changed], revision=changed.revision)
        )

    listed = objects(members)

    def full_list() -> None:
        fresh = replica.Replica()
        fresh.replace(listed, revision=2 * members, trusted=True)
        node.apply_changes(listed)

    beat_us = median_us(beat, repeat=5)
    result = {
        "watched_members": float(len(beats)),
        "tick_us": median_us(lambda: node.members.tick(now), repeat=5),
        "beat_us": beat_us,
        "heartbeat_received_us": median_us(receive, repeat=50),
        "ack_us": median_us(ack, repeat=5) - beat_us,
        "ports_us": median_us(node._update_ports, repeat=5),
        "candidate_check_us": median_us(node._is_status_candidate, repeat=5),
        "apply_record_us": median_us(change, repeat=5),
        "apply_member_us": median_us(change_member, repeat=5),
        "full_list_us": median_us(full_list),
        "difference_us": median_us(
            lambda: node.replica.difference(node.replica.revision - 1),
            repeat=5,
        ),
    }
    # Work of a balancer per second; a candidate check runs every 2 s.
    result["control_us_per_s"] = (
        result["tick_us"]
        + result["beat_us"]
        + len(beats) * result["heartbeat_received_us"]
        + 3 * max(0.0, result["ack_us"])
        + result["ports_us"]
        + result["candidate_check_us"] / 2
    )
    return result


def open_members(members: int) -> dict[str, float]:
    """Returns the CPU time of an OPEN in microseconds.

    Args:
        members: Number of members in the table.
    """
    node = balancer_node(members)
    rng = random.Random(1)
    # A service's first OPEN after a change of the members costs more.
    service = f"service-{members // 4 % round(members * SERVICES_PER_MEMBER)}"
    body = messages.Open(service, 0)

    def route() -> None:
        key = rng.randbytes(16)
        data = wire.encode_caller(messages.Kind.OPEN, key, body)
        node.core.on_caller_datagram(data, _CALLER, now_ms=_NOW_MS)

    def route_after_change() -> None:
        node.members.version += 1
        route()

    return {
        "open_us": median_us(route, repeat=50),
        "open_after_change_us": median_us(route_after_change, repeat=5),
    }


def open_targets(targets: int) -> dict[str, float]:
    """Returns the CPU time of an OPEN in microseconds.

    Args:
        targets: Number of targets of the service.
    """
    node = balancer_node(490)
    for number in range(targets):
        item = member(400, 490)
        value = dict(item.value or {})
        value |= {"name": f"t{number}", "service": "wide", "port": 9000}
        value["ip"] = f"10.9.{number >> 8}.{number & 255}"
        node.members.apply_announcement(value, revision=10_000, key="t")
    rng = random.Random(1)

    def route() -> None:
        key = rng.randbytes(16)
        data = wire.encode_caller(
            messages.Kind.OPEN, key, messages.Open("wide", 0)
        )
        node.core.on_caller_datagram(data, _CALLER, now_ms=_NOW_MS)

    return {"open_us": median_us(route, repeat=20)}


def packet(payload_bytes: int) -> dict[str, float]:
    """Returns the CPU time of a forwarded packet in microseconds."""
    node = balancer_node(490)
    key = bytes(range(16))
    opened = token.Token("10.0.0.1", 7000, 1, 1, 1, 1, 0)
    sealed = token.seal(opened, key, node.ring)
    data = wire.encode_caller(
        messages.Kind.PING, key, messages.Ping(1), flow_token=sealed
    ) + bytes(payload_bytes)
    assert node.core.forward(data, _CALLER, now_ms=_NOW_MS) is not None
    return {
        "packet_us": median_us(
            lambda: node.core.forward(data, _CALLER, now_ms=_NOW_MS),
            repeat=2000,
        )
    }


def flow_memory(count: int) -> dict[str, float]:
    """Returns the memory in bytes of flows and of cached replies."""

    def open_flows() -> list[flows.Flow]:
        return [
            flows.Flow(
                n.to_bytes(16),
                (n + count).to_bytes(48),
                messages.Address(f"10.1.{n >> 8}.{n & 255}", n),
                messages.Address("10.0.0.1", 7000),
                n,
            )
            for n in range(count)
        ]

    flow_bytes, flows_by_key = _allocated(
        lambda: {f.flow_key: f for f in open_flows()}
    )

    def build_reply_cache() -> replies.ReplyCache:
        reply_cache = replies.ReplyCache(
            max_bytes=1 << 30, ttl_ms=30_000, per_flow=count
        )
        for n, flow in enumerate(flows_by_key.values()):
            state = flows.RequestState(
                request_id=n + 1000,
                flow_key=flow.flow_key,
                method="GET",
                path="/" + str(n),
                idempotent=True,
                deadline_at_ms=n,
                receiver=None,
            )
            state.outcome = outcomes.Answered(200, bytes(100))
            state.finished_ms = n
            flow.requests[state.request_id] = state
            reply_cache.add(flow, state)
        return reply_cache

    reply_bytes, _ = _allocated(build_reply_cache)
    # A balancer routes the OPEN of that many new flows.
    node = balancer_node(490)
    rng = random.Random(2)
    body = messages.Open("service-1", 0)

    def open_random_flows() -> None:
        for _ in range(count):
            data = wire.encode_caller(
                messages.Kind.OPEN, rng.randbytes(16), body
            )
            node.core.on_caller_datagram(data, _CALLER, now_ms=_NOW_MS)

    open_random_flows()
    balancer_bytes, _ = _allocated(open_random_flows)
    return {
        "agent_flow_bytes": flow_bytes,
        "agent_reply_bytes": reply_bytes,
        "balancer_flow_bytes": balancer_bytes,
    }


def fetch(changed: int) -> dict[str, float]:
    """Measures a fetch of changed objects over gRPC.

    Client and server run in this process, so the CPU time covers both.
    """
    server_replica = replica.Replica()
    listed = objects(7840)
    server_replica.replace(listed, revision=20_000, trusted=True)
    server_replica.apply(
        [member(n, 7840)._replace(revision=20_001 + n) for n in range(changed)],
        revision=20_000 + changed,
    )
    address = messages.Address("127.0.0.1", fleet.free_port())
    key = bytes(32)
    credentials = None
    server = records.RecordServer(address, server_replica, key=key)
    server.start()
    since = 20_000
    try:
        call = functools.partial(
            records._fetch_blocking, address, since, key, credentials
        )
        call()
        started = time.perf_counter()
        cpu_us = median_us(call, repeat=5)
        wall_us = (time.perf_counter() - started) * 1e6 / ROUNDS / 5
        body = wire.encode_body(server_replica.difference(since))
        return {
            "fetch_cpu_both_us": cpu_us,
            "fetch_wall_us": wall_us,
            "fetch_bytes": float(len(body)),
            "full_bytes": float(
                len(wire.encode_body(server_replica.difference(0)))
            ),
        }
    finally:
        server.stop()


class Measurement(NamedTuple):
    """A measurement, its sizes and the design size that the fit is read at."""

    run: Callable[[int], dict[str, float]]
    sizes: tuple[int, ...]
    design_size: int


MEASUREMENTS = {
    "memory": Measurement(memory, MEMBERS, 7840),
    "control": Measurement(control, MEMBERS, 7840),
    "open-members": Measurement(open_members, MEMBERS, 7840),
    "open-targets": Measurement(open_targets, (3, 30, 100, 300, 1000), 3),
    "packet": Measurement(packet, (0, 300, 1200), 300),
    "flow-memory": Measurement(flow_memory, (1000, 2000, 4000), 1314),
    "fetch": Measurement(fetch, (1, 100, 1000, 7000), 1),
    "watched": Measurement(capacity_processes.watched, (7, 14, 28), 28),
    "propagation": Measurement(capacity_processes.propagation, (3, 6, 12), 12),
}


def measure(measurement: Measurement) -> dict[str, Any]:
    """Runs a measurement at all its sizes and fits a line to each value."""
    rows = {size: measurement.run(size) for size in measurement.sizes}
    fits = {}
    for name in next(iter(rows.values())):
        points = [(float(size), row[name]) for size, row in rows.items()]
        line = fit(points)
        fits[name] = line._asdict() | {
            "at_design_size": line.at(measurement.design_size)
        }
    return {
        "design_size": measurement.design_size,
        "rows": {str(size): row for size, row in rows.items()},
        "fits": fits,
    }


def _table(name: str, result: dict[str, Any]) -> Iterator[str]:
    sizes = list(result["rows"])
    yield f"{name}; sizes {', '.join(sizes)}"
    for value, line in result["fits"].items():
        row = "".join(f"{result['rows'][s][value]:>13.5g}" for s in sizes)
        yield (
            f"  {value:<24}{row}  slope {line['slope']:.4g}"
            f" residual {line['residual']:.3g}"
        )


def main(name: str = "", output: str | None = None) -> str:
    """Runs a measurement and returns it as a table.

    Args:
        name: Name of a measurement, or ``model`` for bytes and platform
            calls at the design size; lists all if empty.
        output: JSON file to write the result to.
    """
    if not name:
        return "\n".join([*MEASUREMENTS, "model"])
    if name == "model":
        result = capacity_model.figures()
        lines = [f"{key:<52}{value:>12.5g}" for key, value in result.items()]
    elif name in MEASUREMENTS:
        result = measure(MEASUREMENTS[name])
        lines = list(_table(name, result))
    else:
        raise errors.RecordError(
            f"measurement '{name}' does not exist",
            remedy="run without a name to list them",
        )
    if output:
        pathlib.Path(output).write_text(json.dumps(result, indent=1))
    return "\n".join(lines)


if __name__ == "__main__":
    fire.Fire(main)
