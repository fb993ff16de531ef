"""Latencies that the decisions have seen, until a histogram takes them."""

import collections

# Between two collections a second apart; more are left out.
MAX_SAMPLES = 1024


class Samples:
    """Latencies in milliseconds, by name."""

    def __init__(self, *names: str) -> None:
        self._held: dict[str, collections.deque[int]] = {
            name: collections.deque(maxlen=MAX_SAMPLES) for name in names
        }

    def add(self, name: str, latency_ms: int) -> None:
        """Adds a latency; the oldest one makes room."""
        self._held[name].append(latency_ms)

    def take(self) -> dict[str, list[int]]:
        """Returns the latencies since the last call, by name."""
        taken = {name: list(held) for name, held in self._held.items()}
        for held in self._held.values():
            held.clear()
        return taken
