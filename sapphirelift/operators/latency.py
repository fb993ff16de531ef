"""Latency histograms for the metrics page."""

import prometheus_client

# Bounds around the latency objectives of the deployments, 120 ms to 950 ms,
# and the time after which callers give an opening packet up, 1.4 s.
BUCKETS_S = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
    0.15, 0.25, 0.5, 1.0, 1.4, 2.5, 5.0,
)  # fmt: skip


class LatencyHistograms:
    """Histograms by name, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._by_name: dict[str, prometheus_client.Histogram] = {}

    def observe(self, latencies_ms: dict[str, list[int]]) -> None:
        """Adds latencies in milliseconds, by name."""
        for name, values_ms in latencies_ms.items():
            histogram = self._by_name.get(name)
            if histogram is None:
                histogram = self._by_name[name] = prometheus_client.Histogram(
                    f"sapphirelift_{name}_seconds",
                    f"Latency of {name.replace('_', ' ')}.",
                    buckets=BUCKETS_S,
                    registry=self.registry,
                )
            for value_ms in values_ms:
                histogram.observe(value_ms / 1000)

    def exposition(self) -> bytes:
        """Returns the histograms in the text format."""
        return prometheus_client.generate_latest(self.registry)
