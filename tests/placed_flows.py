"""Agents with given loads, and the flows that a balancer gives them."""

import collections
import random

from sapphirelift.core.l4 import agents
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import placement
from sapphirelift.core.l4 import routes
from sapphirelift.core.l4 import terms
from sapphirelift.core.l4 import watch
from sapphirelift.core.l4 import work

ROUTE = routes.Route(
    "main",
    (routes.Share("shop", 1.0),),
    terms=terms.Terms(0, 120, 1200, is_repeatable=True),
)
STREAM = work.route_number(routes.RouteKey(1, 443))
UPLOAD = work.route_number(routes.RouteKey(2, 443))
WORK_MS = 20.0


class Flows:
    """Placement at one balancer, with the heartbeats that a test gives.

    Attributes:
        now_ms: Current time.
        counters: Event counts by name.
        logged: Events of log lines.
    """

    def __init__(self, *, data_centre: str = "a", is_on: bool = True) -> None:
        """Creates a balancer that knows no agents."""
        self.now_ms = 1_000_000
        self.counters: collections.Counter[str] = collections.Counter()
        self.logged: list[str] = []
        self._agents = agents.Agents()
        self._watch = watch.Watch(
            own=messages.Address("10.1.0.1", 7720), data_centre=data_centre
        )
        self._placement = placement.Placement(
            is_by_expected_time=is_on,
            data_centre=data_centre,
            counters=self.counters,
            log=lambda event, **fields: self.logged.append(event),
        )
        self._rng = random.Random(7)
        self._numbers: collections.Counter[str] = collections.Counter()

    def beat(
        self,
        name: str,
        *,
        data_centre: str = "a",
        slots: int = 1,
        flows: int = 0,
        busy: float = 0.0,
        works: tuple[tuple[int, float], ...] = ((STREAM, WORK_MS),),
        failed_percent: int = 0,
        response_ms: float = 0.0,
    ) -> None:
        """Lets an agent send a heartbeat; ``works`` are by route, in ms."""
        self._numbers[name] += 1
        total_ms = sum(work_ms for _, work_ms in works)
        heartbeat = messages.Heartbeat(
            name=name,
            address=messages.Address(f"10.2.0.{name.split('-')[1]}", 7720),
            incarnation=1,
            number=self._numbers[name],
            service="shop",
            data_centre=data_centre,
            region="region",
            state=agents.READY,
            slots=slots,
            flows=flows,
            busy=busy,
            response_ms=response_ms or total_ms / max(len(works), 1),
            cold_ms=0,
            has_full_table=True,
            work_ms=total_ms / max(len(works), 1),
            work_by_route=tuple(
                value
                for route, work_ms in works
                for value in (route, round(work_ms * 10))
            ),
            failed_percent=failed_percent,
        )
        self._agents.update_from_heartbeat(heartbeat, self.now_ms)

    def rank(self) -> list[agents.KnownAgent]:
        """Returns the agents for a new flow, best first."""
        flow = packet.FlowKey(self._rng.getrandbits(32), 40_000, 1, 443)
        return self._placement.choose(
            flow,
            self._agents,
            self._watch,
            route=ROUTE,
            evacuated=frozenset(),
            now_ms=self.now_ms,
        ).ranked

    def place(self, count: int = 400) -> collections.Counter[str]:
        """Returns how many new flows agents get while loads stay equal."""
        return collections.Counter(self.rank()[0].name for _ in range(count))

    def place_in_centres(self, count: int = 400) -> dict[str, float]:
        """Returns the shares of new flows that data centres get."""
        found = collections.Counter(
            self.rank()[0].heartbeat.data_centre for _ in range(count)
        )
        return {name: found[name] / count for name in found}
