"""Computes control traffic and platform calls at the design size.

Message sizes are measured on encoded datagrams; rates are derived from the
intervals that the modules define. Write rates include attempts that end in a
conflict.
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
# Instances behind one switch; an assumption, as the design size gives none.
INSTANCES_PER_RACK = 40
_RING = keys.KeyRing(0, {0: bytes(32)})
_NAME = "etela-suomi-etela-a-0417"
_SERVICE = "jasen-kauppa"
_INCARNATION = 1_700_000_000_000_000_000


def datagram_bytes(kind: int, body: tuple[Any, ...]) -> int:
    """Returns the size of a peer datagram including IP and UDP headers."""
    data = wire.encode_peer(kind, wire.encode_body(body), _RING)
    return len(data) + load.UDP_IP_HEADER_BYTES


def message_bytes() -> dict[str, int]:
    """Returns the size of each control message in bytes."""
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
    """Returns an agent's maximum load report traffic in bytes per second."""
    interval_ms = max(
        load.REPORT_INTERVAL_MS,
        math.ceil(peers * size_bytes * 1000 / load.REPORT_BYTES_PER_S),
    )
    return peers * size_bytes * 1000 / interval_ms


def control_bytes() -> dict[str, float]:
    """Returns the control bytes per second of one process, by role."""
    size = message_bytes()
    beat, ack = size["heartbeat"], size["heartbeat_ack"]
    watched = MEMBERS * heartbeats.WATCHERS / BALANCERS
    watchers_per_member = heartbeats.WATCHERS
    peers = min(load.SAMPLED_PEERS, math.ceil(AGENTS / SERVICES) - 1)
    reports = load_bytes_per_s(peers, size["load_report"])
    return {
        "watched_per_balancer": watched,
        "balancer_sent": watchers_per_member * beat + watched * ack,
        "balancer_received": watched * beat + watchers_per_member * ack,
        "agent_sent": watchers_per_member * beat + reports,
        "agent_sent_wide_service": watchers_per_member * beat
        + load_bytes_per_s(load.SAMPLED_PEERS, size["load_report"]),
        "agent_received": watchers_per_member * ack + reports,
    }


def object_bytes() -> dict[str, float]:
    """Returns the maximum status object size, with one revision per process."""
    value = {uuid.uuid4().hex[:24]: 5_000_000 for _ in range(MEMBERS)}
    return {"status_if_all_observed": float(len(wire.encode_body((value,))))}


def platform_calls() -> dict[str, float]:
    """Returns platform calls per second by case, role and kind.

    Every change of an object ends all pending watches. A client makes at most
    ``CALLS_PER_S`` calls per second, so one call returns several changes that
    follow each other closely.
    """
    watch_renewals_per_s = BALANCERS / (_record_sync.WATCH_WAIT_MS / 1000)
    max_watch_calls_per_s = BALANCERS * client.CALLS_PER_S
    status_reads = _status_writer.CANDIDATES / _status_writer.INTERVAL_S
    status_writes = 2 / _status_writer.INTERVAL_S
    watchers = heartbeats.WATCHERS
    # A restart writes two announcements: its end and the new incarnation. A
    # failed member is marked and deleted by up to three watchers, and its
    # successor writes an announcement.
    announcements = (2 * RESTARTS + FAILURES) / DAY_S
    repairs = 2 * watchers * FAILURES / DAY_S
    changes = CONFIG_CHANGES / DAY_S + announcements + 2 * FAILURES / DAY_S
    repair_spacing_s = getattr(membership, "REPAIR_SPACING_MS", 0) / 1000

    def marks_per_s(silent: float, balancers: float) -> float:
        """Returns the peak rate of marks of silent members.

        Without a repair spacing, all attempts fall into one second.
        """
        attempts = silent * watchers
        return (
            min(attempts, balancers / repair_spacing_s)
            if repair_spacing_s
            else (min(attempts, balancers * client.BURST_CALLS))
        )

    def reannouncements_per_s(members: float) -> float:
        """Returns the announcement rate when members reconnect together."""
        return members / _announcer.reannouncement_window_s(round(members))

    data_centre = MEMBERS / DATA_CENTRES
    remaining_balancers = BALANCERS * (1 - 1 / DATA_CENTRES)
    outage_delay_s = _record_sync.MAX_DELAY_S
    figures = {
        "ordinary day: balancer watch renewals": watch_renewals_per_s,
        "ordinary day: balancer watches ended by changes": changes * BALANCERS,
        "ordinary day: announcement reads": announcements,
        "ordinary day: announcement writes": announcements,
        "ordinary day: marks and deletions": repairs,
        "ordinary day: configuration writes": CONFIG_CHANGES / DAY_S,
        "ordinary day: lease reads": status_reads,
        "ordinary day: lease and status writes": status_writes,
        "rack failure: marks, peak": marks_per_s(INSTANCES_PER_RACK, BALANCERS),
        "rack failure: watches, peak": max_watch_calls_per_s,
        "data centre fails: marks, peak": marks_per_s(
            data_centre, remaining_balancers
        ),
        "data centre fails: watches, peak": max_watch_calls_per_s
        * remaining_balancers
        / BALANCERS,
        "data centre returns: announcement reads": reannouncements_per_s(
            data_centre
        ),
        "data centre returns: announcement writes": reannouncements_per_s(
            data_centre
        ),
        "data centre returns: watches, peak": max_watch_calls_per_s,
        "platform outage ends: watches and lists": BALANCERS / outage_delay_s,
        "platform outage ends: announcement writes": reannouncements_per_s(
            (RESTARTS + FAILURES) / 24
        ),
        "regions apart: marks, peak": marks_per_s(MEMBERS / 2, BALANCERS / 2),
        "regions apart: watches, peak": max_watch_calls_per_s / 2,
        "regions meet: announcement writes": reannouncements_per_s(MEMBERS / 2),
        "regions meet: watches, peak": max_watch_calls_per_s,
    }
    return {key: float(value) for key, value in figures.items()}


def figures() -> dict[str, float]:
    """Returns all figures by name."""
    values_by_name: dict[str, float] = {}
    for group, values in (
        ("bytes", message_bytes()),
        ("bytes/s", control_bytes()),
        ("object bytes", object_bytes()),
        ("calls/s", platform_calls()),
    ):
        values_by_name |= {
            f"{group}: {key}": float(v) for key, v in values.items()
        }
    return values_by_name
