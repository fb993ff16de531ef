"""Prometheus metrics, collected from the state of a process."""

from collections.abc import Iterator
from typing import Any
from typing import Protocol

import prometheus_client
import prometheus_client.core
import prometheus_client.registry

_Family = prometheus_client.core.Metric
_Counter = prometheus_client.core.CounterMetricFamily
_Gauge = prometheus_client.core.GaugeMetricFamily

# Entries of the state dump that are numbers which only go up.
_COUNTERS = {
    "platform_calls": ("platform_calls", "Calls to the platform."),
    "peer_bytes_sent": (
        "peer_sent_bytes",
        "Bytes sent to other daemons and, through balancers, to callers.",
    ),
    "control_bytes_sent": (
        "control_sent_bytes",
        "Bytes of control datagrams sent to other daemons.",
    ),
}
# Entries of the state dump that go up and down.
_GAUGES = {
    "revision": ("record_revision", "Record revision in force."),
    "flows": ("flows", "Flows owned by the agent."),
    "running": ("requests_running", "Requests on the backend server."),
    "queued": ("requests_queued", "Requests waiting for a slot."),
    "limit": ("admission_limit_requests", "Current admission limit."),
}


class Dumpable(Protocol):
    """A process whose state can be read."""

    def dump(self) -> dict[str, Any]:
        """Returns the state of the process, without secrets."""


class StateCollector(prometheus_client.registry.Collector):
    """Turns the state dump into metrics at each scrape."""

    def __init__(self, node: Dumpable) -> None:
        self._node = node

    def collect(self) -> Iterator[_Family]:
        """Yields all metric families."""
        state = self._node.dump()
        for entry, (name, text) in _COUNTERS.items():
            if entry in state:
                yield _Counter(f"sapphirelift_{name}", text, state[entry])
        for entry, (name, text) in _GAUGES.items():
            if entry in state:
                yield _Gauge(f"sapphirelift_{name}", text, state[entry])
        yield _labelled(
            "events", "Events by name.", "event", state.get("counters", {})
        )
        yield _labelled(
            "dropped_datagrams",
            "Datagrams dropped by reason.",
            "reason",
            state.get("drops", {}),
        )
        yield _member_family(state.get("members", {}))


def _labelled(
    name: str, text: str, label: str, values: dict[str, int]
) -> _Family:
    family = _Counter(f"sapphirelift_{name}", text, labels=[label])
    for value_name, value in values.items():
        family.add_metric([value_name], value)
    return family


def _member_family(members: dict[str, dict[str, Any]]) -> _Family:
    family = _Gauge(
        "sapphirelift_members",
        "Members known, by role and state.",
        labels=["role", "state"],
    )
    counts: dict[tuple[str, str], int] = {}
    for member in members.values():
        state = "suspected" if member["suspected"] else member["state"]
        key = (member["role"], state)
        counts[key] = counts.get(key, 0) + 1
    for key, count in counts.items():
        family.add_metric(list(key), count)
    return family


def exposition(node: Dumpable) -> bytes:
    """Returns the metrics of a process in the text format."""
    registry = prometheus_client.CollectorRegistry()
    registry.register(StateCollector(node))
    return prometheus_client.generate_latest(registry)
