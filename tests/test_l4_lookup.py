"""Owner searches, without a network."""

import collections

from sapphirelift.core.l4 import lookup
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet

FLOW = packet.FlowKey(0x64400001, 4000, 0xC6120001, 443)
BEGIN_MS = 1_000_000


def _agents(count: int) -> list[messages.Address]:
    return [messages.Address(f"10.2.0.{n}", 7720) for n in range(1, count + 1)]


def _packet() -> packet.Packet:
    return packet.Packet(
        FLOW, False, True, False, False, False, 1, 1, 7, b"request"
    )


def _asked(steps: list[lookup.Step]) -> list[messages.Address]:
    return [step.address for step in steps if isinstance(step, lookup.SendAsk)]


class _Search:
    """A search among many agents and its latest steps."""

    def __init__(self, agents: int) -> None:
        self.lookups = lookup.Lookups(collections.Counter())
        self.steps = self.lookups.begin(_packet(), _agents(agents), BEGIN_MS)

    def answer(self, now_ms: int, verdict: str = messages.OWNS_NOT) -> None:
        """Answers for all agents of the latest wave."""
        steps = []
        for address in _asked(self.steps):
            answer = messages.Answer(FLOW, address, verdict)
            steps += self.lookups.on_answer(answer, now_ms)
        self.steps = steps


class TestWaves:
    """Searches that ask agents in waves."""

    def test_each_wave_has_its_own_time_to_answer(self) -> None:
        """Guards against agents counted as silent because others were slow.

        Instances that stall for up to 100 ms answer each wave late.
        """
        search = _Search(20)
        search.answer(BEGIN_MS + 100)
        assert _asked(search.steps)
        assert search.lookups.tick(BEGIN_MS + 140) == []
        search.answer(BEGIN_MS + 200)
        while _asked(search.steps):
            search.answer(BEGIN_MS + 300)
        (end,) = search.steps
        assert isinstance(end, lookup.NoOwner)
        assert end.silent == 0

    def test_waves_grow(self) -> None:
        """Guards against searches with a round trip for every 8 agents.

        This happens when a balancer starts and gets flows of 250 agents.
        """
        search = _Search(250)
        waves = 0
        while _asked(search.steps):
            waves += 1
            search.answer(BEGIN_MS + waves)
        assert waves <= 6

    def test_each_probe_has_its_own_time_to_come_back(self) -> None:
        """Guards against taking a probed backend server for the owner too soon.

        Restarted agents may take 100 ms to return packets.
        """
        search = _Search(2)
        search.answer(BEGIN_MS + 100, messages.MAY_OWN)
        (probe,) = search.steps
        assert isinstance(probe, lookup.Probe)
        (second,) = search.lookups.on_missed(
            FLOW, probe.address, _packet(), BEGIN_MS + 180
        )
        assert isinstance(second, lookup.Probe)
        assert search.lookups.tick(BEGIN_MS + 280) == []
        (found,) = search.lookups.tick(BEGIN_MS + 320)
        assert isinstance(found, lookup.Found)
        assert found.address == second.address
