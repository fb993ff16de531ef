"""Which openings a backend server gets, by pattern of load."""

import collections

from sapphirelift.core.l4 import actions
from sapphirelift.core.l4 import admission
from sapphirelift.core.l4 import agent as agent_module
from sapphirelift.core.l4 import backend
from sapphirelift.core.l4 import load_settings
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import terms as terms_module
from sapphirelift.platform import packets
from sapphirelift.standins import flow_ends

NOW_MS = 1_000_000
ROUTE_IP = 0xC6120001
OWN = messages.Address("10.2.0.1", 7720)
FIRST = messages.Address("10.2.0.2", 7720)
SECOND = messages.Address("10.2.0.3", 7720)
URGENT = terms_module.Terms(priority=1, aim_ms=250, timeout_ms=1000)
COMMON = terms_module.Terms(priority=2, aim_ms=250, timeout_ms=900)
# Two slots and 20 ms a request: two openings more find room at once, and 10 ms
# pass from one to the next.
SLOTS = 2
WORK_MS = 20


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


class Desk:
    """The held openings of a server that is kept busy.

    Attributes:
        held: The held openings, oldest first.
        admitted: Ports that were let in, with the time of each.
        refused: Ports that were refused, with the time of each.
        counters: Event counts.
    """

    def __init__(self, *, work_ms: float = WORK_MS) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self.choice = admission.Admission(admission.ByPriority(), self.counters)
        self.held: list[admission.Held] = []
        self.admitted: dict[int, int] = {}
        self.refused: dict[int, int] = {}
        self._work_ms = work_ms

    def room(self, free: int = 0) -> admission.Room:
        """Returns the room at the server."""
        return admission.Room(SLOTS, 2 * SLOTS - free, self._work_ms)

    def offer(
        self,
        port: int,
        terms: terms_module.Terms,
        now_ms: int,
        *,
        cold_wait_ms: int = 0,
    ) -> admission.Refuse | None:
        """Offers an opening; holds it unless it is refused at once."""
        opening = admission.Held(
            flow_of(port), now_ms, now_ms + cold_wait_ms, terms
        )
        refusal = self.choice.on_arrival(
            opening, self.held, self.room(), now_ms
        )
        if refusal is None:
            self.held.append(opening)
        else:
            self.refused[port] = now_ms
        return refusal

    def decide(self, now_ms: int, *, free: int = 0) -> None:
        """Applies the decisions at a time."""
        by_flow = {opening.flow: opening for opening in self.held}
        room = self.room(free)
        for decision in self.choice.decide(self.held, room, now_ms):
            port = decision.flow.caller_port
            match decision:
                case admission.Admit(flow):
                    del by_flow[flow]
                    self.admitted[port] = now_ms
                case admission.Refuse(flow):
                    del by_flow[flow]
                    self.refused[port] = now_ms
                case admission.Postpone(flow, ready_ms):
                    by_flow[flow] = by_flow[flow]._replace(ready_ms=ready_ms)
        self.held = list(by_flow.values())

    def serve(self, now_ms: int, for_ms: int, *, every_ms: int = 10) -> None:
        """Lets one opening in every so often."""
        for at_ms in range(now_ms, now_ms + for_ms, every_ms):
            self.decide(at_ms, free=1)


class TestPriorities:
    """Streams (common) that crowd out bookings (urgent)."""

    def test_urgent_one_passes_a_full_queue(self) -> None:
        """A booking comes while streams wait for all the time they have."""
        desk = Desk()
        for port in range(1, 60):
            desk.offer(port, COMMON, NOW_MS)
        assert desk.offer(100, URGENT, NOW_MS + 1) is None
        desk.decide(NOW_MS + 2, free=1)
        assert list(desk.admitted) == [100]

    def test_unused_room_goes_to_others(self) -> None:
        """Streams alone: nothing is kept free for bookings."""
        desk = Desk()
        for port in range(1, 10):
            desk.offer(port, COMMON, NOW_MS)
        desk.decide(NOW_MS + 1, free=4)
        assert len(desk.admitted) == 4

    def test_less_urgent_ones_keep_a_share(self) -> None:
        """Bookings alone could fill the server: streams get one in four."""
        desk = Desk()
        for port in range(1, 21):
            desk.offer(port, URGENT, NOW_MS)
        for port in range(101, 105):
            desk.offer(port, COMMON, NOW_MS)
        desk.serve(NOW_MS, 160)
        streams = [port for port in desk.admitted if port > 100]
        assert len(desk.admitted) == 16 and len(streams) == 4

    def test_what_can_be_in_time_goes_first(self) -> None:
        """An older opening that is late already waits for a newer one."""
        desk = Desk()
        desk.offer(1, COMMON, NOW_MS)
        desk.offer(2, COMMON, NOW_MS + 150)
        desk.offer(3, COMMON, NOW_MS + 160)
        desk.serve(NOW_MS + 230, 30)
        assert list(desk.admitted) == [2, 3, 1]

    def test_holding_time_follows_the_route(self) -> None:
        """A caller refused after its hold has time for another try."""
        choice = Desk().choice
        assert choice.hold_ms(COMMON) == 300
        patient = COMMON._replace(timeout_ms=8000)
        assert choice.hold_ms(patient) == admission.MAX_HOLD_MS
        assert choice.hold_ms(terms_module.Terms()) == admission.MAX_HOLD_MS


class TestTooMany:
    """A burst of three times what a server can take while it holds them."""

    def burst(self) -> Desk:
        """Offers 90 openings at once; 30 are let in in 300 ms."""
        desk = Desk()
        for port in range(90):
            desk.offer(port, COMMON, NOW_MS)
        return desk

    def test_excess_hears_it_at_once(self) -> None:
        """What can't be served is not held; the rest is served."""
        desk = self.burst()
        assert len(desk.refused) == 60
        desk.serve(NOW_MS + 10, 300)
        assert len(desk.admitted) == 30
        count = desk.counters["opens_refused_at_once_overloaded"]
        assert count == 60

    def test_refusal_says_when_there_is_room(self) -> None:
        """The time after which a try would be held long enough."""
        desk = self.burst()
        refusal = desk.offer(200, COMMON, NOW_MS)
        assert refusal is not None and refusal.retry_after_ms == 10
        desk.serve(NOW_MS + 10, 10)
        assert desk.offer(201, COMMON, NOW_MS + 10) is None

    def test_server_that_stalls(self) -> None:
        """Callers held by a server that stops are not sent back in a wave."""
        desk = self.burst()
        refused = len(desk.refused)
        desk._work_ms = 20 * WORK_MS
        desk.decide(NOW_MS + 100)
        count = len(desk.refused) - refused
        assert count == admission.EARLY_REFUSALS

    def test_unknown_work(self) -> None:
        """Without a measure nobody is refused at once."""
        desk = Desk(work_ms=0.0)
        for port in range(90):
            assert desk.offer(port, COMMON, NOW_MS) is None

    def test_number_is_bounded(self) -> None:
        """A flood of openings at an agent that has measured nothing."""
        desk = Desk(work_ms=0.0)
        for port in range(admission.MAX_HELD + 5):
            desk.offer(port, COMMON, NOW_MS)
        assert len(desk.held) == admission.MAX_HELD
        assert desk.offer(2000, URGENT, NOW_MS) is None


class TestColdReturn:
    """All callers return at once to cold servers after an outage."""

    def test_urgent_one_takes_an_early_time(self) -> None:
        """The rate of a cold server is spent on bookings first."""
        desk = Desk(work_ms=1.0)
        for port in range(1, 6):
            desk.offer(port, COMMON, NOW_MS, cold_wait_ms=50 * port)
        desk.offer(100, URGENT, NOW_MS, cold_wait_ms=300)
        for after_ms in range(0, 320, 20):
            desk.decide(NOW_MS + after_ms, free=4)
        assert desk.admitted[100] == NOW_MS + 60
        assert [t - NOW_MS for t in desk.admitted.values()] == [
            *(60, 100, 160, 200, 260, 300)
        ]

    def test_beyond_the_rate(self) -> None:
        """An opening whose turn comes too late is refused as cold."""
        desk = Desk(work_ms=1.0)
        refusal = desk.offer(1, COMMON, NOW_MS, cold_wait_ms=301)
        assert refusal is not None
        assert (refusal.reason, refusal.retry_after_ms) == ("cold", 1)


class TestAgent:
    """An agent that admits by priority."""

    def agent(self, *, admits_by_priority: bool = True) -> agent_module.Agent:
        """Returns an agent whose server of one slot is full."""
        core = agent_module.Agent(
            agent_module.Identity("a", OWN, 1, "shop", "dc", "region"),
            report_interval_ms=1000,
            started_unix_ms=NOW_MS,
            is_first_start=True,
            now_ms=NOW_MS,
            load=load_settings.LoadSettings(
                admits_by_priority=admits_by_priority
            ),
        )
        report = backend.Report("b", NOW_MS, 1, "shop", "dc", 1, False, 0)
        core.on_report(report, NOW_MS)
        core._requests.active = 2
        core._requests._average = 2.0
        core._requests.server_ms = 80.0
        core.drain_actions()
        return core

    def offer(
        self,
        core: agent_module.Agent,
        port: int,
        *,
        others: tuple[messages.Address, ...] = (),
    ) -> list[messages.Message]:
        """Offers the opening of a stream; returns the messages sent."""
        data = flow_ends.from_caller(flow_of(port), flow_ends.SYN, sequence=9)
        core.on_open(
            messages.Open("shop", FIRST, others, False, data, terms=COMMON),
            packets.decode_from_caller(data),
            NOW_MS,
        )
        return self.sent(core)

    def sent(self, core: agent_module.Agent) -> list[messages.Message]:
        """Returns the messages sent since the last call."""
        return [
            action.message
            for action in core.drain_actions()
            if isinstance(action, actions.SendDaemon)
        ]

    def test_callers_hear_at_once(self) -> None:
        """A full server, 40 ms a request: 7 find room within 300 ms."""
        core = self.agent()
        answers = [self.offer(core, port)[-1] for port in range(10)]
        held = [a for a in answers if isinstance(a, messages.Held)]
        refusals = [a for a in answers if isinstance(a, messages.Refused)]
        assert [h.wait_ms for h in held] == [300] * 7
        assert [r.reason for r in refusals] == ["overloaded"] * 3
        assert refusals[0].retry_after_ms == 20
        assert core.heartbeat(NOW_MS).waiting == 7

    def test_switched_off(self) -> None:
        """Without the setting all are held, for as long as before."""
        core = self.agent(admits_by_priority=False)
        answers = [self.offer(core, port)[-1] for port in range(10)]
        assert all(isinstance(answer, messages.Held) for answer in answers)

    def test_agent_leaves_by_plan(self) -> None:
        """Openings that it holds are offered to the others, load by load."""
        core = self.agent()
        self.offer(core, 1, others=(SECOND, FIRST))
        core.leave(NOW_MS)
        onward = [m for m in self.sent(core) if isinstance(m, messages.Open)]
        assert [(o.others, o.unoffered) for o in onward] == [((FIRST,), 1)]
        assert onward[0].terms == COMMON

    def test_agent_was_paused(self) -> None:
        """Openings held over a pause are refused: their callers have gone."""
        core = self.agent()
        core.observe(0, NOW_MS)
        self.offer(core, 1)
        core.observe(10_000, NOW_MS + 10_000)
        refusals = [
            m for m in self.sent(core) if isinstance(m, messages.Refused)
        ]
        assert [r.reason for r in refusals] == ["stale"]
