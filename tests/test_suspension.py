"""Suspended instances of the caller protocol.

The monotonic clock stands still while an instance is suspended.
"""

import random

import pytest

from sapphirelift import _status_writer
from sapphirelift import clock
from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.bench import capacity
from sapphirelift.platform import client

SUSPENDED_MS = 10_000
CALLER = ("127.0.0.1", 9)


@pytest.fixture
def boot_ms(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Clocks of which only the one since the boot advances."""
    found_ms = [1_000_000]
    monkeypatch.setattr(clock, "boot_ms", lambda: found_ms[0])
    monkeypatch.setattr(clock, "now_ms", lambda: 1_000_000)
    return found_ms


class TestSuspendedBalancer:
    """Packets and leases of before the suspension."""

    # Guards against packets for a data centre withdrawn during a suspension.
    def test_queued_packets_are_dropped(self, boot_ms: list[int]) -> None:
        """The balancer has to compare its records first."""
        node = capacity.balancer_node(20)
        opening = messages.Open("service-0", 0)
        data = wire.encode_caller(messages.Kind.OPEN, b"f" * 16, opening)
        node._on_caller_datagram(data, CALLER)
        assert not node.core.counters["dropped_stale_records"]
        boot_ms[0] += SUSPENDED_MS
        node._on_caller_datagram(data, CALLER)
        assert node.core.counters["dropped_stale_records"] == 1

    # Guards against a status written on a lease that has run out.
    def test_lease_runs_out(self, boot_ms: list[int]) -> None:
        """Another balancer may hold the lease by now."""
        writer = _status_writer.StatusWriter(
            client.ObjectClient("http://127.0.0.1:1"),
            name="a",
            incarnation=1,
            is_candidate=lambda: False,
            members=list,
            conditions=list,
            rng=random.Random(1),
        )
        writer.lease.on_written(5, started_ms=boot_ms[0])
        writes: list[int] = []
        writer.write_status = lambda: writes.append(1)
        writer._acquire_or_renew = lambda: None
        writer.step()
        assert len(writes) == 1
        boot_ms[0] += SUSPENDED_MS
        writer.step()
        assert len(writes) == 1
