"""Shortage of a whole service, as balancers see it and act on it."""

import collections
import dataclasses

from sapphirelift.core.l4 import agents
from sapphirelift.core.l4 import load_settings
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import routes
from sapphirelift.core.l4 import shortage
from sapphirelift.core.l4 import terms
from sapphirelift.core.l4 import watch
from sapphirelift.platform import packets
from sapphirelift.standins import flow_ends
from sapphirelift.standins import packet_network

NOW_MS = 1_000_000
URGENT = terms.Terms(priority=1, aim_ms=250, timeout_ms=1000)
COMMON = terms.Terms(priority=2, aim_ms=250, timeout_ms=800)
URGENT_PORT = 444


def agent(
    number: int, waiting: int, *, heard_ms: int = NOW_MS, unheard_ms: int = 0
) -> agents.KnownAgent:
    """Returns an agent of two slots, as known from a heartbeat."""
    heartbeat = messages.Heartbeat(
        name=f"agent-{number}",
        address=messages.Address(f"10.2.0.{number}", 7720),
        incarnation=1,
        number=1,
        service="shop",
        data_centre="a",
        region="region",
        state=agents.READY,
        slots=2,
        flows=0,
        busy=2.0,
        response_ms=20.0,
        cold_ms=0,
        has_full_table=True,
        unheard_ms=unheard_ms,
        waiting=waiting,
    )
    return agents.KnownAgent(heartbeat, heard_ms, heard_ms)


class View:
    """A balancer's view of one service.

    Attributes:
        shortage: The shortage.
        now_ms: Current time.
        offered: Openings that passed, by priority.
    """

    def __init__(self) -> None:
        self.shortage = shortage.Shortage()
        self.now_ms = NOW_MS
        self.offered: collections.Counter[int] = collections.Counter()

    def see(self, *waiting: int, for_ms: int = 200) -> None:
        """Looks at agents with so much waiting, for a time."""
        for _ in range(for_ms // shortage.UPDATE_MS):
            self.now_ms += shortage.UPDATE_MS
            known = [
                agent(number, count, heard_ms=self.now_ms)
                for number, count in enumerate(waiting)
            ]
            self.shortage.update(known, self.now_ms)

    def offer(self, priority: int, *, is_taken: bool) -> bool:
        """Offers an opening; returns whether it was refused here."""
        if self.shortage.refuses(priority):
            return True
        self.offered[priority] += 1
        if not is_taken:
            self.shortage.on_refused(priority)
        return False

    def run_short(self, *, for_ms: int = 3000) -> None:
        """All agents are full: they take bookings and one stream in ten."""
        for _ in range(for_ms // shortage.UPDATE_MS):
            self.see(10, 10, 10)
            for number in range(20):
                self.offer(COMMON.priority, is_taken=number < 2)
                self.offer(URGENT.priority, is_taken=True)


class TestShortage:
    """A service all of whose agents are full."""

    def test_least_urgent_are_refused(self) -> None:
        """Agents take all bookings, and one stream in ten."""
        view = View()
        view.run_short()
        assert view.shortage.is_on
        assert view.shortage.share(URGENT.priority) == 0.0
        assert view.shortage.share(COMMON.priority) > 0.5

    def test_urgent_follow(self) -> None:
        """Bookings alone are too many: streams are refused before them."""
        view = View()
        for _ in range(5):
            view.see(10, 10, 10)
            for _ in range(20):
                view.offer(COMMON.priority, is_taken=False)
                view.offer(URGENT.priority, is_taken=False)
        streams = view.shortage.share(COMMON.priority)
        assert 0 < streams < shortage.MAX_SHARE
        assert view.shortage.share(URGENT.priority) == 0.0
        for _ in range(20):
            view.see(10, 10, 10)
            for _ in range(20):
                view.offer(COMMON.priority, is_taken=False)
                view.offer(URGENT.priority, is_taken=False)
        assert view.shortage.share(URGENT.priority) > 0.0

    def test_refusals_are_spread(self) -> None:
        """Callers return at once, so there is no wave of refusals."""
        view = View()
        view.run_short()
        share = view.shortage.share(COMMON.priority)
        answers = [view.shortage.refuses(COMMON.priority) for _ in range(100)]
        for first in range(90):
            count = sum(answers[first : first + 10])
            assert abs(count - 10 * share) <= 1.0

    def test_some_always_pass(self) -> None:
        """Agents refuse all: one in ten still shows when there is room."""
        view = View()
        for _ in range(50):
            view.see(10, 10, 10)
            for _ in range(20):
                view.offer(COMMON.priority, is_taken=False)
        passed = [not view.shortage.refuses(COMMON.priority) for _ in range(50)]
        assert sum(passed) == 5

    def test_agents_that_take_what_passes(self) -> None:
        """Openings wait, but agents refuse none: nor does the balancer."""
        view = View()
        for _ in range(10):
            view.see(10, 10, 10)
            for _ in range(20):
                assert not view.offer(COMMON.priority, is_taken=True)

    def test_burst_at_one_agent(self) -> None:
        """One agent of five is full for a moment."""
        view = View()
        view.see(9, 0, 0, 0, 0, for_ms=400)
        assert not view.shortage.is_on


class TestEnd:
    """Recovery from a shortage."""

    def test_callers_are_let_in_again(self) -> None:
        """Agents have room again: after one look nobody is refused."""
        view = View()
        view.run_short()
        view.see(0, 0, 0)
        assert not view.shortage.is_on
        assert not any(view.shortage.refuses(2) for _ in range(100))

    def test_shortage_lasts_through_a_dip(self) -> None:
        """Half a request waits per slot: neither begins nor ends one."""
        view = View()
        view.see(1, 1, 1, for_ms=4000)
        assert not view.shortage.is_on
        view.run_short()
        view.see(1, 1, 1, for_ms=4000)
        assert view.shortage.is_on

    def test_no_openings_for_long(self) -> None:
        """Callers come back after a pause: the old figures say nothing."""
        view = View()
        view.run_short()
        view.now_ms += 10_000
        view.see(0, 0, 0)
        assert not view.offer(COMMON.priority, is_taken=True)


class TestOldNews:
    """News of load that is one-way or old never refuses anybody."""

    def refused(self, known: list[agents.KnownAgent]) -> int:
        """Returns how many of 50 openings are refused in a former shortage."""
        view = View()
        view.run_short()
        assert view.shortage.is_on
        view.shortage.update(known, view.now_ms + shortage.UPDATE_MS)
        return sum(view.shortage.refuses(2) for _ in range(50))

    def test_old(self) -> None:
        """Two of three agents have not been heard for longer than usual."""
        late_ms = NOW_MS + 3200 - shortage.STALE_MS - 1
        known = [agent(n, 10, heard_ms=late_ms) for n in range(2)]
        known.append(agent(3, 10, heard_ms=NOW_MS + 3200))
        assert self.refused(known) == 0

    def test_one_way(self) -> None:
        """Agents are heard, but they don't hear this balancer."""
        known = [
            agent(n, 10, heard_ms=NOW_MS + 3200, unheard_ms=5000)
            for n in range(3)
        ]
        assert self.refused(known) == 0

    def test_none(self) -> None:
        """All agents are gone from view."""
        assert self.refused([]) == 0


class TestNetwork:
    """Balancers and agents of a service with half the room that it needs."""

    def network(self, *, is_on: bool = True) -> packet_network.Network:
        """Returns three agents of one slot, with a route for bookings."""
        net = packet_network.Network(
            1,
            has_slots=True,
            load=load_settings.LoadSettings(admits_by_priority=is_on),
        )
        plain = packet_network.configuration()
        (key, route) = next(iter(plain.routes.items()))
        net.configuration = dataclasses.replace(
            plain,
            routes={
                key: dataclasses.replace(route, terms=COMMON),
                routes.RouteKey(key.ip, URGENT_PORT): dataclasses.replace(
                    route, terms=URGENT
                ),
            },
        )
        for _ in range(3):
            net.add_agent(slots=1)
        for _ in range(2):
            net.add_balancer()
        net.run(1000)
        return net

    def overload(
        self, net: packet_network.Network, *, for_ms: int
    ) -> list[flow_ends.CallerFlow]:
        """Opens 300 flows a second for 150 requests; one in six books."""
        flows = []
        for number in range(for_ms * 300 // 1000):
            is_urgent = number % 6 == 0
            flow = net.open_flow(
                port=URGENT_PORT if is_urgent else packet_network.ROUTE_PORT
            )
            flow.opens_with_request = True
            flows.append(flow)
            net.run(3 if number % 3 else 4)
            for former in flows[-100:]:
                if former.answers:
                    former.close()
        return flows

    def bookings_in_time(self, *, is_on: bool) -> float:
        """Returns the share of bookings answered within their aim."""
        net = self.network(is_on=is_on)
        flows = self.overload(net, for_ms=2000)
        aim_ago = flows[: -(URGENT.aim_ms * 300 // 1000)]
        bookings = [f for f in aim_ago if f.flow.route_port == URGENT_PORT]
        return sum(f.answers for f in bookings) / len(bookings)

    def test_streams_do_not_crowd_out_bookings(self) -> None:
        """Bookings need a third of the room, streams more than all."""
        assert self.bookings_in_time(is_on=True) == 1.0

    def test_fewer_agents_are_visited(self) -> None:
        """Full agents hand openings to each other in vain."""
        hops = {}
        for is_on in (False, True):
            net = self.network(is_on=is_on)
            self.overload(net, for_ms=2000)
            hops[is_on] = net.hops
        assert hops[True] < 0.8 * hops[False]

    def test_shortage_is_logged_and_ends(self) -> None:
        """Callers that come when it is over are all served."""
        net = self.network()
        self.overload(net, for_ms=2000)
        begun = net.logged("shortage_begun")
        assert {line.fields["service"] for line in begun} == {"shop"}
        net.run(1500)
        later = [net.open_flow() for _ in range(2)]
        net.run(1000)
        assert [flow.state for flow in later] == ["open", "open"]
        ended = net.logged("shortage_ended")
        assert ended and all(line.fields["lasted_ms"] > 0 for line in ended)

    def test_new_balancer(self) -> None:
        """The balancers that knew the shortage die: new ones let callers in.

        They learn of the shortage from heartbeats and refusals again.
        """
        net = self.network()
        self.overload(net, for_ms=2000)
        for ip in list(net.balancers):
            net.add_balancer(ip)
        net.run(100)
        self.overload(net, for_ms=400)
        counters = [b.core.counters for b in net.balancers.values()]
        assert all(c["opens_refused_shortage"] == 0 for c in counters)
        self.overload(net, for_ms=2500)
        assert any(c["shortage_begun"] for c in counters)

    def test_switched_off(self) -> None:
        """Without the setting a balancer refuses nothing of its own."""
        net = self.network(is_on=False)
        self.overload(net, for_ms=2000)
        counters = [b.core.counters for b in net.balancers.values()]
        assert all(c["opens_refused_shortage"] == 0 for c in counters)
        assert not net.logged("shortage_begun")


def opening(port: int, *, copies: int = 0) -> packet.Packet:
    """Returns an opening packet, sent after so many copies of it."""
    flow = packet.FlowKey(1, port, 3, 4)
    data = flow_ends.from_caller(
        flow, flow_ends.SYN, sequence=port, acknowledged=copies
    )
    return packets.decode_from_caller(data)


class TestCopies:
    """Copies of opening packets that come to another balancer."""

    def test_copy_is_not_refused(self) -> None:
        """A reset could reach a flow that has opened through the first one."""
        own = messages.Address("10.1.0.1", 7720)
        shortages = shortage.Shortages(
            agents.Agents(),
            watch.Watch(own=own, data_centre=""),
            collections.Counter(),
            lambda event, **_: None,
            load_settings.LoadSettings(admits_by_priority=True),
        )
        view = View()
        view.run_short()
        shortages._by_service["s"] = view.shortage
        route = routes.Route("r", (routes.Share("s", 1.0),), terms=COMMON)
        answers = [
            shortages.refuses(opening(port, copies=copies), route, view.now_ms)
            for port in range(20)
            for copies in (0, 1, 2)
        ]
        assert any(answers[::3])
        assert not any(answers[1::3]) and not any(answers[2::3])


class TestServices:
    """The view over many services."""

    def test_number_is_bounded(self) -> None:
        """Services come and go with configurations."""
        log: list[str] = []
        own = messages.Address("10.1.0.1", 7720)
        shortages = shortage.Shortages(
            agents.Agents(),
            watch.Watch(own=own, data_centre=""),
            collections.Counter(),
            lambda event, **_: log.append(event),
            load_settings.LoadSettings(admits_by_priority=True),
        )
        for number in range(shortage.MAX_SERVICES + 5):
            route = routes.Route("r", (routes.Share(f"s{number}", 1.0),))
            assert not shortages.refuses(opening(1), route, NOW_MS)
        assert len(shortages._by_service) <= shortage.MAX_SERVICES
        assert log == []
