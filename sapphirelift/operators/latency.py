"""Latency histograms for the metrics page.

``prometheus_client`` is imported only when the metrics are requested, because
its import takes a tenth of the CPU time of the start of a process.
"""

import bisect
from collections.abc import Iterator
from typing import Any

# Upper bounds, chosen around the latency objectives of the deployments, 120 ms
# to 950 ms, and the time after which callers give up an opening packet, 1.4 s.
BUCKETS_S = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
    0.15, 0.25, 0.5, 1.0, 1.4, 2.5, 5.0,
)  # fmt: skip


class LatencyHistograms:
    """Latency histograms by name, as a ``prometheus_client`` collector."""

    def __init__(self) -> None:
        # Number of latencies per bucket; the last bucket has no upper bound.
        self._counts: dict[str, list[int]] = {}
        self._sums_s: dict[str, float] = {}

    def observe(self, latencies_ms: dict[str, list[int]]) -> None:
        """Adds latencies in milliseconds, by histogram name."""
        for name, values_ms in latencies_ms.items():
            counts = self._counts.setdefault(name, [0] * (len(BUCKETS_S) + 1))
            for value_ms in values_ms:
                counts[bisect.bisect_left(BUCKETS_S, value_ms / 1000)] += 1
            total_s = self._sums_s.get(name, 0.0)
            self._sums_s[name] = total_s + sum(values_ms) / 1000

    def collect(self) -> Iterator[Any]:
        """Yields the histograms as metric families."""
        from prometheus_client import core  # noqa: PLC0415
        from prometheus_client import utils  # noqa: PLC0415

        bounds = [*map(utils.floatToGoString, BUCKETS_S), "+Inf"]
        for name, counts in self._counts.items():
            cumulative_count = 0
            buckets = []
            for bound, count in zip(bounds, counts, strict=True):
                cumulative_count += count
                buckets.append((bound, cumulative_count))
            yield core.HistogramMetricFamily(
                f"sapphirelift_{name}_seconds",
                f"Latency of {name.replace('_', ' ')}.",
                buckets=buckets,
                sum_value=self._sums_s[name],
            )

    def exposition(self) -> bytes:
        """Returns the histograms in the Prometheus text format."""
        import prometheus_client  # noqa: PLC0415

        registry = prometheus_client.CollectorRegistry()
        registry.register(self)
        return prometheus_client.generate_latest(registry)
