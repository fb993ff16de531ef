"""Prometheus metrics, derived from the state dump of a process."""

from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any
from typing import Protocol

import prometheus_client
import prometheus_client.core
import prometheus_client.registry

_Family = prometheus_client.core.Metric
_Counter = prometheus_client.core.CounterMetricFamily
_Gauge = prometheus_client.core.GaugeMetricFamily

# Monotonic counters of the state dump: entry, then metric and help text.
_COUNTERS = {
    "peer_bytes_sent": (
        "peer_sent_bytes",
        "Bytes sent to other daemons and, through balancers, to callers.",
    ),
    "control_bytes_sent": (
        "control_sent_bytes",
        "Bytes of control datagrams sent to other daemons.",
    ),
    "cold_restarts": (
        "cold_restarts",
        "Times that the ramp of the backend server has restarted.",
    ),
    "store_items_skipped": (
        "store_items_skipped",
        "Items of the platform's store that could not be read.",
    ),
    "store_restores": (
        "store_restores",
        "Times that the platform's store has returned from an older copy.",
    ),
}
# Gauges of the state dump: entry, then metric and help text.
_GAUGES = {
    "revision": ("record_revision", "Record revision in force."),
    "flows": ("flows", "Flows owned by the agent."),
    "plain_flows": ("plain_flows", "Flows without a token."),
    "running": ("requests_running", "Requests on the backend server."),
    "queued": ("requests_queued", "Requests waiting for a slot."),
    "admission_limit": (
        "admission_limit_requests",
        "Requests that may run at once.",
    ),
    "utilisation": ("slot_utilisation_ratio", "Busy share of all slots."),
    "cold": ("cold", "Whether the ramp limits the backend server."),
    "withdrawn": ("withdrawn", "Whether the agent's data centre is out."),
    "store_era": ("store_era", "Newest era of the platform's store."),
    "watch_silent": ("watch_silent", "Whether the last watch failed."),
    "platform_reverted": (
        "platform_reverted",
        "Whether the platform is at a lower revision than this process.",
    ),
}
# Tables of counters in the state dump: entry, then metric, label and help text.
_LABELLED_COUNTERS = {
    "counters": ("events", "event", "Events of flows and requests."),
    "record_counters": (
        "record_sync_events",
        "event",
        "Events of the distribution of records.",
    ),
    "record_set": ("record_events", "event", "Events of records."),
    "platform_calls_by_kind": (
        "platform_calls",
        "kind",
        "Calls to the platform.",
    ),
    "platform_failures": (
        "platform_failures",
        "kind",
        "Calls to the platform that failed.",
    ),
    "announcements": ("announcement_events", "event", "Own announcements."),
    "membership": ("membership_events", "event", "Events of membership."),
    "peer_sent_bytes_by_kind": (
        "peer_datagrams_sent_bytes",
        "kind",
        "Bytes of datagrams sent to other daemons.",
    ),
    "peer_datagrams_sent_by_kind": (
        "peer_datagrams_sent",
        "kind",
        "Datagrams sent to other daemons.",
    ),
    "peer_received_by_kind": (
        "peer_datagrams_received",
        "kind",
        "Datagrams received from other daemons.",
    ),
    "task_failures": ("task_failures", "task", "Uncaught errors."),
}
_DROP_PREFIX = "dropped_"


class Dumpable(Protocol):
    """Process whose state can be dumped."""

    def dump(self) -> dict[str, Any]:
        """Returns the state of the process, without secrets."""


class StateCollector(prometheus_client.registry.Collector):
    """Converts the state dump into metrics at each scrape."""

    def __init__(self, node: Dumpable) -> None:
        self._node = node

    def collect(self) -> Iterator[_Family]:
        """Yields all metric families."""
        yield from families(self._node.dump())


def families(state: Mapping[str, Any]) -> Iterator[_Family]:
    """Yields the metric families of a state dump."""
    for entry, (name, text) in _COUNTERS.items():
        if entry in state:
            yield _Counter(f"sapphirelift_{name}", text, state[entry])
    for entry, (name, text) in _GAUGES.items():
        # ``withdrawn`` is a flag of an agent, but a list of data centres at a
        # balancer.
        if isinstance(state.get(entry), int | float):
            yield _Gauge(f"sapphirelift_{name}", text, float(state[entry]))
    for entry, (name, label, text) in _LABELLED_COUNTERS.items():
        yield _labelled_counter(name, text, label, state.get(entry, {}))
    yield _labelled_counter(
        "dropped_datagrams",
        "Datagrams dropped.",
        "reason",
        _drops_by_reason(state),
    )
    yield _labelled_counter(
        "status_events",
        "Events of the status writer.",
        "event",
        state.get("status", {}).get("counters", {}),
    )
    yield _Counter(
        "sapphirelift_keyrings_refused",
        "Keyring records that were not valid.",
        state.get("keyring", {}).get("refused", 0),
    )
    yield _Gauge(
        "sapphirelift_records_refused",
        "Records whose newest version is not in force.",
        len(state.get("refused_records", {})),
    )
    yield _member_gauge(state.get("members", {}))


def _drops_by_reason(state: Mapping[str, Any]) -> dict[str, int]:
    """Returns the dropped datagrams by reason, of sockets and the core."""
    drops = dict(state.get("drops", {}))
    for entry in ("counters", "membership"):
        for name, value in state.get(entry, {}).items():
            if name.startswith(_DROP_PREFIX):
                reason = name.removeprefix(_DROP_PREFIX)
                drops[reason] = drops.get(reason, 0) + value
    return drops


def _labelled_counter(
    name: str, text: str, label: str, values: dict[str, int]
) -> _Family:
    family = _Counter(f"sapphirelift_{name}", text, labels=[label])
    for value_name, value in values.items():
        if not value_name.startswith(_DROP_PREFIX):
            family.add_metric([value_name], value)
    return family


def _member_gauge(members: dict[str, dict[str, Any]]) -> _Family:
    family = _Gauge(
        "sapphirelift_members",
        "Members known, by role and state.",
        labels=["role", "state"],
    )
    counts: dict[tuple[str, str], int] = {}
    for member in members.values():
        state = "suspected" if member["suspected"] else member["state"]
        if state == "up" and member["cold"]:
            state = "cold"
        key = (member["role"], state)
        counts[key] = counts.get(key, 0) + 1
    for key, count in counts.items():
        family.add_metric(list(key), count)
    return family


def exposition(node: Dumpable) -> bytes:
    """Returns the metrics of a process in the Prometheus text format."""
    registry = prometheus_client.CollectorRegistry()
    registry.register(StateCollector(node))
    return prometheus_client.generate_latest(registry)
