"""Share of new flows that leave a data centre without room for them."""

import collections
import dataclasses
import math
from collections.abc import Callable
from collections.abc import Iterable

import xxhash

from sapphirelift.core.l4 import agents
from sapphirelift.core.l4 import packet

# Requests in progress for each slot from which flows leave their own data
# centre. The next request is then answered after 2.5 times the work on average,
# half of a latency objective (five times the work), and some take twice that.
SEND_LOAD = 1.5
# Another data centre takes flows up to this load, so that its own callers do
# not pay for it; flows come home below it. Between the two the share stays.
TAKE_LOAD = 1.0
# Time constant of the loads of data centres. Those in heartbeats are averages
# over a second already, which is most of the time in which flows overflow.
LOAD_AVERAGE_MS = 250
# Interval at which loads and shares are updated: that of heartbeats.
UPDATE_MS = 400
# Time in which the share grows if the load stays at twice ``SEND_LOAD``: open
# flows stay where they are, so that the load follows late.
GROWTH_MS = 2000
# Time constant at which flows come home; callers that move come and go within
# seconds.
RETURN_MS = 3000
# Part of the flows that stay at home always, and show whether there is room.
MAX_SHARE = 0.9
# Shares below this one end the overflow.
MIN_SHARE = 0.02

Log = Callable[..., None]


@dataclasses.dataclass(slots=True)
class _Centre:
    """Load of the agents of one service in one data centre.

    Attributes:
        slots: Slots of all agents that may take flows.
        load: Requests for each slot, smoothed; None without recent news.
    """

    slots: float = 0.0
    load: float | None = None

    @property
    def room(self) -> float:
        """Requests that it can take from others."""
        if self.load is None:
            return 0.0
        return max(TAKE_LOAD - self.load, 0.0) * self.slots


@dataclasses.dataclass(slots=True)
class _Service:
    """State of one service.

    Attributes:
        centres: Data centres that can take flows, by name.
        share: Share of new flows that leave the own data centre.
        updated_ms: When it was last updated.
    """

    centres: dict[str, _Centre] = dataclasses.field(default_factory=dict)
    share: float = 0.0
    updated_ms: int | None = None


class Overflow:
    """Chooses the data centre of each new flow."""

    def __init__(
        self, *, own: str, counters: collections.Counter[str], log: Log
    ) -> None:
        """Creates a state without any loads.

        Args:
            own: Data centre of the balancer; empty for no preference.
            counters: Event counts by name.
            log: Writes a log line, with its fields as keyword arguments.
        """
        self._own = own
        self._counters = counters
        self._log = log
        self._services: dict[str, _Service] = {}

    def keep(self, services: Iterable[str]) -> None:
        """Forgets all other services."""
        for service in self._services.keys() - set(services):
            del self._services[service]

    def share(self, service: str) -> float:
        """Returns the share of new flows that leave the own data centre."""
        found = self._services.get(service)
        return found.share if found is not None else 0.0

    def update(
        self,
        service: str,
        found: list[agents.KnownAgent],
        watched: list[agents.KnownAgent],
        now_ms: int,
    ) -> None:
        """Updates loads and the share if it is time to.

        Args:
            service: The service.
            found: Its agents that may take flows.
            watched: Those of them from which the balancer hears often.
            now_ms: Current time.
        """
        state = self._services.setdefault(service, _Service())
        elapsed_ms = UPDATE_MS
        if state.updated_ms is not None:
            elapsed_ms = now_ms - state.updated_ms
            if elapsed_ms < UPDATE_MS:
                return
        state.updated_ms = now_ms
        self._update_centres(state, found, watched, elapsed_ms, now_ms)
        former = state.share
        state.share = self._next_share(state, elapsed_ms)
        if (former > 0) != (state.share > 0):
            own = state.centres.get(self._own)
            self._log(
                "overflow_began" if state.share else "overflow_ended",
                service=service,
                load=round(own.load or 0.0, 2) if own else None,
                rooms={
                    name: round(centre.room, 1)
                    for name, centre in self._others(state).items()
                },
            )

    def _update_centres(
        self,
        state: _Service,
        found: list[agents.KnownAgent],
        watched: list[agents.KnownAgent],
        elapsed_ms: int,
        now_ms: int,
    ) -> None:
        slots: collections.Counter[str] = collections.Counter()
        for agent in found:
            slots[agent.heartbeat.data_centre] += int(agent.weight)
        heard_slots: collections.Counter[str] = collections.Counter()
        requests: dict[str, float] = collections.defaultdict(float)
        for agent in watched:
            if agent.is_late(now_ms):
                continue
            heartbeat = agent.heartbeat
            heard_slots[heartbeat.data_centre] += int(agent.weight)
            requests[heartbeat.data_centre] += (
                heartbeat.busy + heartbeat.waiting
            )
        weight = 1.0 - math.exp(-elapsed_ms / LOAD_AVERAGE_MS)
        centres: dict[str, _Centre] = {}
        for name, count in slots.items():
            centre = state.centres.get(name, _Centre())
            centre.slots = float(count)
            if heard_slots[name]:
                load = requests[name] / heard_slots[name]
                if centre.load is None:
                    centre.load = load
                centre.load += weight * (load - centre.load)
            elif name != self._own:
                centre.load = None
            centres[name] = centre
        state.centres = centres

    def _next_share(self, state: _Service, elapsed_ms: int) -> float:
        """Returns the share of flows that leave, from the loads now."""
        own = state.centres.get(self._own)
        if own is None or own.load is None:
            # Without servers here, all flows leave in any case.
            return 0.0
        room = sum(centre.room for centre in self._others(state).values())
        share = state.share
        if own.load > SEND_LOAD and room > 0:
            excess = own.load / SEND_LOAD - 1.0
            grown = share + (1.0 - share) * (
                min(excess, 1.0) * min(elapsed_ms / GROWTH_MS, 1.0)
            )
            wanted = max(excess_share(own.load), grown)
            # No more than the others have room for.
            limit = share + room / (own.load * own.slots)
            return min(max(share, wanted), limit, MAX_SHARE)
        if own.load < TAKE_LOAD or not room:
            share *= math.exp(-elapsed_ms / RETURN_MS)
        return share if share >= MIN_SHARE else 0.0

    def _others(self, state: _Service) -> dict[str, _Centre]:
        return {
            name: centre
            for name, centre in state.centres.items()
            if name != self._own
        }

    def choose(self, service: str, flow: packet.FlowKey) -> str:
        """Returns the data centre whose agents come first for a flow.

        All balancers with the same loads choose the same one for a flow, and
        flows spread over the others in proportion to their room.
        """
        state = self._services.get(service)
        if state is None or not self._own:
            return self._own
        if self._own in state.centres and (
            not any(centre.room for centre in self._others(state).values())
            or not leaves(flow, state.share)
        ):
            return self._own
        chosen = self.neighbour(service, flow) or self._own
        if chosen != self._own:
            self._counters["opens_overflowed"] += 1
        return chosen

    def neighbour(self, service: str, flow: packet.FlowKey) -> str:
        """Returns the other data centre that is next for a flow, if any."""
        state = self._services.get(service)
        if state is None:
            return ""
        others = self._others(state)
        if any(centre.room for centre in others.values()):
            weights = {name: centre.room for name, centre in others.items()}
        else:
            weights = {name: centre.slots for name, centre in others.items()}
        return min(
            (name for name, weight in weights.items() if weight > 0),
            key=lambda name: (
                -math.log(_fraction(f"{name} {tuple(flow)}")) / weights[name]
            ),
            default="",
        )


def excess_share(load: float) -> float:
    """Returns the share of flows by which a load is above ``SEND_LOAD``."""
    return max(1.0 - SEND_LOAD / load, 0.0) if load > 0 else 0.0


def leaves(flow: packet.FlowKey, share: float) -> bool:
    """Returns whether a flow is of the share of those that leave.

    The flows of a smaller share are among those of a larger one.
    """
    return _fraction(f"leaves {tuple(flow)}") < share


def _fraction(key: str) -> float:
    """Returns a hash between 0 and 1, excluding both."""
    return (xxhash.xxh32_intdigest(key.encode()) + 0.5) / (1 << 32)
