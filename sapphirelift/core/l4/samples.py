"""Latency samples, buffered until they are added to a histogram."""

import collections

# Maximum number of samples per name between two collections, which are one
# second apart. The oldest ones beyond it are dropped.
MAX_SAMPLES = 1024


class Samples:
    """Latency samples in milliseconds, by name."""

    def __init__(self, *names: str) -> None:
        self._latencies: dict[str, collections.deque[int]] = {
            name: collections.deque(maxlen=MAX_SAMPLES) for name in names
        }

    def add(self, name: str, latency_ms: int) -> None:
        """Adds a latency, dropping the oldest one if the buffer is full."""
        self._latencies[name].append(latency_ms)

    def take(self) -> dict[str, list[int]]:
        """Returns and clears the latencies since the last call, by name."""
        taken = {
            name: list(latencies) for name, latencies in self._latencies.items()
        }
        for latencies in self._latencies.values():
            latencies.clear()
        return taken
