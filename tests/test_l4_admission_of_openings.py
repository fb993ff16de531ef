"""Which openings a backend server gets, by pattern of load."""

import collections

from sapphirelift.core.l4 import admission
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet

NOW_MS = 1_000_000
ROUTE_IP = 0xC6120001
OWN = messages.Address("10.2.0.1", 7720)
FIRST = messages.Address("10.2.0.2", 7720)
SECOND = messages.Address("10.2.0.3", 7720)


def flow_of(port: int) -> packet.FlowKey:
    """Returns the flow from a caller's port."""
    return packet.FlowKey(0x64400001, port, ROUTE_IP, 443)


def admitted(decided: list[admission.Decision]) -> list[int]:
    """Returns the ports of the openings that are let in, in order."""
    return [
        decision.flow.caller_port
        for decision in decided
        if isinstance(decision, admission.Admit)
    ]


def refused(decided: list[admission.Decision]) -> list[int]:
    """Returns the ports of the openings that are given up, in order."""
    return [
        decision.flow.caller_port
        for decision in decided
        if isinstance(decision, admission.Refuse)
    ]


class TestNewestFirst:
    """The choice without priorities."""

    def held(self, *ages_ms: int) -> list[admission.Held]:
        """Returns openings held for these times, from ports 1, 2, ..."""
        return [
            admission.Held(flow_of(port), NOW_MS - age_ms, NOW_MS - age_ms)
            for port, age_ms in enumerate(ages_ms, start=1)
        ]

    def decide(
        self, held: list[admission.Held], *, requests: int
    ) -> list[admission.Decision]:
        """Decides at a server of two slots."""
        choice = admission.Admission(
            admission.NewestFirst(), collections.Counter()
        )
        return choice.decide(held, admission.Room(2, requests), NOW_MS)

    def test_newest_goes_first(self) -> None:
        """A queue whose oldest callers are late already."""
        decided = self.decide(self.held(300, 200, 100), requests=2)
        assert admitted(decided) == [3, 2]
        assert refused(decided) == []

    def test_held_too_long(self) -> None:
        """Callers that would give up before they are served."""
        held = self.held(admission.MAX_HOLD_MS + 1, admission.MAX_HOLD_MS)
        decided = self.decide(held, requests=4)
        assert refused(decided) == [1]
        assert admitted(decided) == []

    def test_cold_server(self) -> None:
        """A cold server that takes openings at a rate."""
        held = [
            admission.Held(flow_of(1), NOW_MS, NOW_MS),
            admission.Held(flow_of(2), NOW_MS, NOW_MS + 50),
        ]
        assert admitted(self.decide(held, requests=0)) == [1]


class TestPassingOn:
    """An opening that visits agents without a free slot."""

    def offer(self) -> messages.Open:
        """Returns an opening first offered, with two other candidates."""
        return messages.Open(
            "shop", OWN, (FIRST, SECOND), False, b"", unoffered=2
        )

    def test_least_busy_takes_it(self) -> None:
        """All three are full: it ends at the least busy one."""
        first = admission.pass_on_if_busy(self.offer(), own=OWN, load=1.0)
        assert first is not None and first.agent == FIRST
        second = admission.pass_on_if_busy(first.offer, own=FIRST, load=2.0)
        assert second is not None and second.agent == SECOND
        third = admission.pass_on_if_busy(second.offer, own=SECOND, load=1.5)
        assert third is not None and third.agent == OWN
        last = admission.pass_on_if_busy(third.offer, own=OWN, load=2.0)
        assert last is None

    def test_free_slot(self) -> None:
        """An agent with a free slot keeps it."""
        offer = self.offer()
        assert admission.pass_on_if_busy(offer, own=OWN, load=0.5) is None
