"""Bytes of control messages and platform calls at the design size.

Message sizes are those of encoded datagrams; rates follow from the intervals
that the modules define. Writes count every attempt, also those that conflict.
"""

import math
import uuid
from typing import Any

from sapphirelift import _announcer
from sapphirelift import _record_sync
from sapphirelift import _status_writer
from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import keys
from sapphirelift.core.flows import load
from sapphirelift.core.membership import heartbeats
from sapphirelift.core.membership import membership
from sapphirelift.platform import client

BALANCERS = 840
AGENTS = 7000
SERVICES = 2500
MEMBERS = BALANCERS + AGENTS
DATA_CENTRES = 6
FLOWS = 9_200_000
DAY_S = 86_400
CONFIG_CHANGES = 2700
FAILURES = 27
RESTARTS = 1200
# Instances behind one switch; the design size does not name it.
RACK = 40
_RING = keys.KeyRing(0, {0: bytes(32)})
_NAME = "etela-suomi-etela-a-0417"
_SERVICE = "jasen-kauppa"
_INCARNATION = 1_700_000_000_000_000_000


def datagram_bytes(kind: int, body: tuple[Any, ...]) -> int:
    """Returns the size of a peer datagram with its IP and UDP headers."""
    data = wire.encode_peer(kind, wire.encode_body(body), _RING)
    return len(data) + load.UDP_IP_HEADER_BYTES


def message_bytes() -> dict[str, int]:
    """Returns the size of each control message."""
    address = messages.Address("10.200.100.100", 17_000)
    beat = messages.Heartbeat(
        _NAME,
        "agent",
        *address,
        _INCARNATION,
        100_000,
        membership.UP,
        "etela-a",
        _SERVICE,
        0.53,
        5_000_000,
    )
    ack = messages.HeartbeatAck(
        _NAME, _INCARNATION, 100_000, membership.UP, 5_000_000
    )
    report = messages.Load(
        _NAME,
        _SERVICE,
        *address,
        _INCARNATION,
        100_000,
        membership.UP,
        3,
        4.0,
        2,
        0.71,
        1314,
        4,
    )
    return {
        "heartbeat": datagram_bytes(messages.Kind.HEARTBEAT, beat),
        "heartbeat_ack": datagram_bytes(messages.Kind.HEARTBEAT_ACK, ack),
        "load_report": datagram_bytes(messages.Kind.LOAD, report),
    }


def load_bytes_per_s(peers: int, size_bytes: int) -> float:
    """Returns the most that an agent sends in load reports."""
    spacing_ms = max(
        load.REPORT_INTERVAL_MS,
        math.ceil(peers * size_bytes * 1000 / load.REPORT_BYTES_PER_S),
    )
    return peers * size_bytes * 1000 / spacing_ms


def control_bytes() -> dict[str, float]:
    """Returns control bytes a second of one process, by role."""
    size = message_bytes()
    beat, ack = size["heartbeat"], size["heartbeat_ack"]
    watched = MEMBERS * heartbeats.WATCHERS / BALANCERS
    own = heartbeats.WATCHERS
    peers = min(load.SAMPLED_PEERS, math.ceil(AGENTS / SERVICES) - 1)
    reports = load_bytes_per_s(peers, size["load_report"])
    return {
        "watched_per_balancer": watched,
        "balancer_sent": own * beat + watched * ack,
        "balancer_received": watched * beat + own * ack,
        "agent_sent": own * beat + reports,
        "agent_sent_wide_service": own * beat
        + load_bytes_per_s(load.SAMPLED_PEERS, size["load_report"]),
        "agent_received": own * ack + reports,
    }


def object_bytes() -> dict[str, float]:
    """Returns the largest status object, one revision per process."""
    value = {uuid.uuid4().hex[:24]: 5_000_000 for _ in range(MEMBERS)}
    return {"status_if_all_observed": float(len(wire.encode_body((value,))))}


def platform_calls() -> dict[str, float]:
    """Returns platform calls a second by case, role and kind.

    Every change of an object ends all waiting watches; a client makes at most
    ``CALLS_PER_S`` calls a second, so changes in quick succession arrive
    together.
    """
    waiting = BALANCERS / (_record_sync.WATCH_WAIT_MS / 1000)
    most = BALANCERS * client.CALLS_PER_S
    status_reads = _status_writer.CANDIDATES / _status_writer.INTERVAL_S
    status_writes = 2 / _status_writer.INTERVAL_S
    watchers = heartbeats.WATCHERS
    # A restart announces its end and its next incarnation; a failure is
    # marked and deleted by up to three watchers, and a successor announces.
    announcements = (2 * RESTARTS + FAILURES) / DAY_S
    repairs = 2 * watchers * FAILURES / DAY_S
    changes = CONFIG_CHANGES / DAY_S + announcements + 2 * FAILURES / DAY_S
    per_repair_s = getattr(membership, "REPAIR_SPACING_MS", 0) / 1000

    def marks_per_s(silent: float, balancers: float) -> float:
        """Returns the peak of marks; without a spacing all in one second."""
        attempts = silent * watchers
        return (
            min(attempts, balancers / per_repair_s)
            if per_repair_s
            else (min(attempts, balancers * client.BURST_CALLS))
        )

    def repeats_per_s(members: float) -> float:
        """Returns the announcements when members come back together."""
        return members / _announcer.reannouncement_window_s(round(members))

    data_centre = MEMBERS / DATA_CENTRES
    left = BALANCERS * (1 - 1 / DATA_CENTRES)
    outage_delay_s = _record_sync.MAX_DELAY_S
    figures = {
        "ordinary day: balancer watch renewals": waiting,
        "ordinary day: balancer watches ended by changes": changes * BALANCERS,
        "ordinary day: announcement reads": announcements,
        "ordinary day: announcement writes": announcements,
        "ordinary day: marks and deletions": repairs,
        "ordinary day: configuration writes": CONFIG_CHANGES / DAY_S,
        "ordinary day: lease reads": status_reads,
        "ordinary day: lease and status writes": status_writes,
        "rack failure: marks, peak": marks_per_s(RACK, BALANCERS),
        "rack failure: watches, peak": most,
        "data centre fails: marks, peak": marks_per_s(data_centre, left),
        "data centre fails: watches, peak": most * left / BALANCERS,
        "data centre returns: announcement reads": repeats_per_s(data_centre),
        "data centre returns: announcement writes": repeats_per_s(data_centre),
        "data centre returns: watches, peak": most,
        "platform outage ends: watches and lists": BALANCERS / outage_delay_s,
        "platform outage ends: announcement writes": repeats_per_s(
            (RESTARTS + FAILURES) / 24
        ),
        "regions apart: marks, peak": marks_per_s(MEMBERS / 2, BALANCERS / 2),
        "regions apart: watches, peak": most / 2,
        "regions meet: announcement writes": repeats_per_s(MEMBERS / 2),
        "regions meet: watches, peak": most,
    }
    return {key: float(value) for key, value in figures.items()}


def figures() -> dict[str, float]:
    """Returns all figures by name."""
    out: dict[str, float] = {}
    for group, values in (
        ("bytes", message_bytes()),
        ("bytes/s", control_bytes()),
        ("object bytes", object_bytes()),
        ("calls/s", platform_calls()),
    ):
        out |= {f"{group}: {key}": float(v) for key, v in values.items()}
    return out
