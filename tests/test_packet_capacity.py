"""Tests of the tools that measure the packet daemon."""

from sapphirelift.bench import packet_capacity
from sapphirelift.bench import placement


class TestPacketCapacity:
    """Message sizes and memory per flow, as in docs/CAPACITY.md."""

    def test_messages_stay_small(self) -> None:
        """Guards against control messages that exceed their budget.

        An agent sends 2.5 heartbeats per second and gets as many answers.
        With 8 balancers that watch it, 300 B for both directions together
        amount to the 6 KB/s that a daemon may use.
        """
        sizes = packet_capacity.message_bytes()
        assert sizes["Heartbeat"] + sizes["HeartbeatAck"] <= 300
        assert sizes["Ask"] + sizes["Answer"] <= 100

    def test_flows_stay_small(self) -> None:
        """Guards against tables that exceed a daemon's memory.

        At the design size a balancer holds 11,000 open flows and an agent
        1,300; a daemon may use 256 MB.
        """
        assert packet_capacity.bytes_per_agent_flow() * 1300 < 16e6
        assert packet_capacity.bytes_per_cached_owner() * 60_000 < 64e6


class TestPlacement:
    """The product's placement policy, compared with simpler ones."""

    def test_least_work_is_the_most_even(self) -> None:
        """Guards against a placement that is worse than hashing only."""
        found = placement.compare()
        ours = found["least_expected_work"]
        hashed = found["rendezvous"]
        assert max(ours["imbalance_max_over_mean"]) <= 1.10
        assert min(hashed["imbalance_max_over_mean"]) > max(
            ours["imbalance_max_over_mean"]
        )
        assert sum(ours["answered_in_time"]) >= sum(hashed["answered_in_time"])
