"""Admission of openings: which ones a backend server gets, and when.

An opening that would find no room at the server is held at the agent. Pure
decisions: the agent tells what is held and what room there is, and carries out
what is decided.
"""

import collections
import dataclasses
from collections.abc import Iterable
from typing import NamedTuple

from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import terms as terms_module

# Maximum time an opening packet is held: half of the shortest request deadline
# (1.2 s), so that a caller refused after it has time to try again.
MAX_HOLD_MS = 600
# A backend server queues requests beyond its slots. With twice as many requests
# as slots, the last one completes after twice the time of one request. This
# meets the latency objective (five times that time) on a cold server too.
EXTRA_OPENS_PER_SLOT = 1.0


class Room(NamedTuple):
    """Room at the backend server.

    Attributes:
        slots: Number of requests that it runs concurrently.
        requests: Number of requests in progress or about to arrive.
    """

    slots: int
    requests: int

    @property
    def load(self) -> float:
        """Requests per slot."""
        return self.requests / max(self.slots, 1)

    @property
    def free(self) -> int:
        """Number of flows that the server can accept now.

        A new flow sends a request immediately. With more requests than its
        slots and a few extra, the server would shed it.
        """
        extra = max(round(self.slots * EXTRA_OPENS_PER_SLOT), 1)
        return self.slots + extra - self.requests


class Held(NamedTuple):
    """A held opening.

    Attributes:
        flow: The flow to be opened.
        held_ms: Since when it is held.
        ready_ms: When the rate of a cold server lets it in.
        terms: Urgency of its route.
    """

    flow: packet.FlowKey
    held_ms: int
    ready_ms: int
    terms: terms_module.Terms = terms_module.Terms()


class Admit(NamedTuple):
    """Sends a held opening to the backend server."""

    flow: packet.FlowKey


class Refuse(NamedTuple):
    """Gives up a held opening.

    Attributes:
        flow: The flow.
        reason: Short label.
        retry_after_ms: Time after which there may be room; 0 if unknown.
    """

    flow: packet.FlowKey
    reason: str
    retry_after_ms: int = 0


Decision = Admit | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class NewestFirst:
    """One holding time for all routes; the newest opening goes first (LIFO).

    Callers of older ones are already late. Serving them first would make the
    newer ones late as well.
    """


Order = NewestFirst


class Admission:
    """Chooses among the held openings of one backend server."""

    def __init__(
        self, order: Order, counters: collections.Counter[str]
    ) -> None:
        """Creates the choice.

        Args:
            order: Which opening goes first.
            counters: Where decisions are counted.
        """
        self._order = order
        self._counters = counters

    def hold_ms(self, terms: terms_module.Terms) -> int:
        """Returns the maximum time for which an opening is held."""
        del terms
        return MAX_HOLD_MS

    def decide(
        self, held: Iterable[Held], room: Room, now_ms: int
    ) -> list[Decision]:
        """Returns which held openings to admit or give up now.

        Args:
            held: The held openings, oldest first.
            room: Room at the server.
            now_ms: Current time.
        """
        decided: list[Decision] = []
        free = room.free
        for opening in reversed(list(held)):
            if now_ms - opening.held_ms > MAX_HOLD_MS:
                decided.append(Refuse(opening.flow, "overloaded"))
            elif now_ms >= opening.ready_ms and free > 0:
                decided.append(Admit(opening.flow))
                free -= 1
        return decided


class Onward(NamedTuple):
    """An opening that is passed on.

    Attributes:
        agent: Address of the next agent.
        offer: What it is offered.
    """

    agent: messages.Address
    offer: messages.Open


def pass_on_if_busy(
    offer: messages.Open, *, own: messages.Address, load: float
) -> Onward | None:
    """Passes an opening on if the flow would have to wait for a slot.

    Balancers have slightly outdated loads, whereas an agent knows its own
    exactly. Once all candidates have been offered the flow, the least busy one
    takes it.

    Args:
        offer: The opening.
        own: Address of the agent that has been offered it.
        load: Requests per slot at this agent.

    Returns:
        Where the opening goes, None if it stays here.
    """
    is_settled = not offer.unoffered and offer.least_busy is None
    if load < 1.0 or is_settled:
        return None
    if offer.least_busy is None or load < offer.least_load:
        offer = offer._replace(least_busy=own, least_load=load)
    if offer.unoffered:
        next_agent = offer.others[0]
        offer = offer._replace(unoffered=offer.unoffered - 1)
    elif offer.least_busy == own or offer.least_busy is None:
        return None
    else:
        next_agent = offer.least_busy
        offer = offer._replace(least_busy=None)
    others = tuple(other for other in offer.others if other != next_agent)
    return Onward(next_agent, offer._replace(others=(*others, own)))


def pass_on(offer: messages.Open) -> Onward | None:
    """Passes an opening on to the next candidate, None if there is none."""
    if not offer.others:
        return None
    onward = offer._replace(
        others=tuple(offer.others[1:]),
        unoffered=max(offer.unoffered - 1, 0),
    )
    return Onward(offer.others[0], onward)
