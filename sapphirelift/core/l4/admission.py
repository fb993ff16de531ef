"""Admission of openings: which ones a backend server gets, and when.

An opening that would find no room at the server is held at the agent. Pure
decisions: the agent tells what is held and what room there is, and carries out
what is decided.
"""

import collections
import dataclasses
import math
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
# Share of its route's timeout for which an opening is held: callers make up to
# three tries, so each may take a third of the time that they have.
HOLD_SHARE = 1 / 3
# Time from letting an opening in to its answer, without the server's work:
# acceptance, request and answer, each 6 ms to a caller and back at the most.
TRANSIT_MS = 12
# Requests' work that a flow let in may find before its own, see
# ``EXTRA_OPENS_PER_SLOT``, and its own.
WORKS_TO_ANSWER = 2
# Of the openings that compete for room, one in this many is of a less urgent
# priority, so that its callers are not refused each of their three tries.
URGENT_RUN = 3
# An opening that is held is given up early only if its expected wait exceeds
# the rest of its holding time by this factor: work on single requests differs
# from the average by about half.
CERTAIN_FACTOR = 1.5
# Openings given up early in one decision. Decisions are made every 20 ms and
# with each answer, so callers that are refused come back spread over time.
EARLY_REFUSALS = 2
# Openings held at most. The quickest servers (4 slots, 5 ms a request) serve
# 480 in the longest holding time.
MAX_HELD = 512
# Priorities with a counter of their own.
COUNTED_PRIORITIES = 8


class Room(NamedTuple):
    """Room at the backend server.

    Attributes:
        slots: Number of requests that it runs concurrently.
        requests: Number of requests in progress or about to arrive.
        work_ms: Average time that it works on a request; 0.0 if unknown.
    """

    slots: int
    requests: int
    work_ms: float = 0.0

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

    def wait_ms(self, before: int) -> float:
        """Returns the expected time until an opening has room.

        Args:
            before: Number of openings that go before it.
        """
        excess = max(before + 1 - self.free, 0)
        return excess * self.work_ms / max(self.slots, 1)


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


class Postpone(NamedTuple):
    """Changes when the rate of a cold server lets a held opening in.

    Attributes:
        flow: The flow.
        ready_ms: The new time.
    """

    flow: packet.FlowKey
    ready_ms: int


Decision = Admit | Refuse | Postpone


@dataclasses.dataclass(frozen=True, slots=True)
class NewestFirst:
    """One holding time for all routes; the newest opening goes first (LIFO).

    Callers of older ones are already late. Serving them first would make the
    newer ones late as well.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class ByPriority:
    """Priority first, then what can still be in time, by its deadline.

    Each opening is held for a time that follows its route's timeout. Those
    that are late go last within their priority, newest first. One in
    ``URGENT_RUN + 1`` is of a less urgent priority, if any waits.
    """


Order = NewestFirst | ByPriority


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
        # Openings let in while less urgent ones have waited.
        self._urgent_run = 0

    def hold_ms(self, terms: terms_module.Terms) -> int:
        """Returns the maximum time for which an opening is held."""
        match self._order:
            case ByPriority() if terms.timeout_ms:
                return min(round(terms.timeout_ms * HOLD_SHARE), MAX_HOLD_MS)
            case _:
                return MAX_HOLD_MS

    def load(
        self, terms: terms_module.Terms, held: Iterable[Held], room: Room
    ) -> float:
        """Returns the requests per slot that an opening finds before it."""
        match self._order:
            case ByPriority():
                before = sum(h.terms.priority <= terms.priority for h in held)
            case NewestFirst():
                before = 0
        return room._replace(requests=room.requests + before).load

    def on_arrival(
        self, arrived: Held, held: Iterable[Held], room: Room, now_ms: int
    ) -> Refuse | None:
        """Returns why an opening can't be held, None if it can.

        A caller that can't be served hears it at once.

        Args:
            arrived: The opening; ``ready_ms`` is when the rate of a cold
                server would let it in after those held.
            held: The held openings.
            room: Room at the server.
            now_ms: Current time.
        """
        limit_ms = self.hold_ms(arrived.terms)
        match self._order:
            case NewestFirst():
                wait_ms = arrived.ready_ms - now_ms
                if wait_ms > limit_ms:
                    return Refuse(arrived.flow, "cold", wait_ms)
                return None
            case ByPriority():
                others = [h for h in held if h.flow != arrived.flow]
                waits = _Waits([*others, arrived], room, now_ms)
        refusal = waits.refusal(arrived, limit_ms)
        if refusal is not None:
            self._counters[f"opens_refused_at_once_{refusal.reason}"] += 1
        elif waits.of(arrived) > 0:
            label = _label(arrived.terms.priority)
            self._counters[f"opens_held_priority_{label}"] += 1
        return refusal

    def decide(
        self, held: Iterable[Held], room: Room, now_ms: int
    ) -> list[Decision]:
        """Returns what becomes of the held openings now.

        Args:
            held: The held openings, oldest first.
            room: Room at the server.
            now_ms: Current time.
        """
        openings = list(held)
        match self._order:
            case NewestFirst():
                return _decide_newest_first(openings, room, now_ms)
            case ByPriority():
                return self._decide_by_priority(openings, room, now_ms)

    def _decide_by_priority(
        self, held: list[Held], room: Room, now_ms: int
    ) -> list[Decision]:
        decided: list[Decision] = []
        waiting: list[Held] = []
        expired: list[Held] = []
        for opening in held:
            limit_ms = self.hold_ms(opening.terms)
            is_expired = now_ms - opening.held_ms > limit_ms
            (expired if is_expired else waiting).append(opening)
        for opening in expired:
            retry_ms = round(room.wait_ms(len(waiting)))
            decided.append(Refuse(opening.flow, "overloaded", retry_ms))
            self._counters["opens_refused_after_hold"] += 1
        # Those that remain take the earlier times from the expired ones.
        times_ms = sorted(opening.ready_ms for opening in held)
        waits = _Waits(waiting, room, now_ms, times_ms)
        waiting = list(waits.in_order)
        due = sum(ready_ms <= now_ms for ready_ms in times_ms)
        admitted = min(max(room.free, 0), due, len(waiting))
        for _ in range(admitted):
            decided.append(Admit(self._take_next(waiting).flow))
        given_up = self._give_up_early(waiting, waits, now_ms)
        decided.extend(given_up)
        left = waiting[: len(waiting) - len(given_up)]
        for opening, ready_ms in zip(left, times_ms[admitted:], strict=False):
            if opening.ready_ms != ready_ms and (
                max(opening.ready_ms, ready_ms) > now_ms
            ):
                decided.append(Postpone(opening.flow, ready_ms))
        return decided

    def _take_next(self, waiting: list[Held]) -> Held:
        """Removes and returns the opening that is let in next."""
        best = waiting[0]
        less_urgent = next(
            (h for h in waiting if h.terms.priority > best.terms.priority), None
        )
        if less_urgent is None:
            self._urgent_run = 0
        elif self._urgent_run >= URGENT_RUN:
            self._urgent_run = 0
            best = less_urgent
        else:
            self._urgent_run += 1
        waiting.remove(best)
        return best

    def _give_up_early(
        self, waiting: list[Held], waits: "_Waits", now_ms: int
    ) -> list[Refuse]:
        """Returns the last openings, if they certainly can't be served."""
        given_up: list[Refuse] = []
        for opening in reversed(waiting[-EARLY_REFUSALS:]):
            left_ms = opening.held_ms + self.hold_ms(opening.terms) - now_ms
            refusal = waits.refusal(opening, CERTAIN_FACTOR * left_ms)
            if refusal is None:
                break
            given_up.append(refusal)
            self._counters["opens_refused_early"] += 1
        return given_up


def _decide_newest_first(
    held: list[Held], room: Room, now_ms: int
) -> list[Decision]:
    decided: list[Decision] = []
    free = room.free
    for opening in reversed(held):
        if now_ms - opening.held_ms > MAX_HOLD_MS:
            decided.append(Refuse(opening.flow, "overloaded"))
        elif now_ms >= opening.ready_ms and free > 0:
            decided.append(Admit(opening.flow))
            free -= 1
    return decided


class _Waits:
    """Expected waits of openings that are let in by priority.

    Attributes:
        in_order: The openings, those let in first in front.
    """

    def __init__(
        self,
        held: list[Held],
        room: Room,
        now_ms: int,
        ready_times_ms: list[int] | None = None,
    ) -> None:
        """Puts openings in order.

        Args:
            held: The openings.
            room: Room at the server.
            now_ms: Current time.
            ready_times_ms: When the rate of a cold server lets one in,
                ascending; by default the times of the openings. They belong
                to the openings together: the first one in order goes at the
                first of them.
        """
        self._room = room
        self._now_ms = now_ms
        self.in_order = sorted(held, key=self._order)
        self._ready_times_ms = ready_times_ms or sorted(
            opening.ready_ms for opening in held
        )
        self._positions = {
            opening.flow: position
            for position, opening in enumerate(self.in_order)
        }

    def _order(self, opening: Held) -> tuple[int, bool, int]:
        terms = opening.terms
        due_ms = opening.held_ms + (terms.aim_ms or MAX_HOLD_MS)
        answered_ms = (
            self._now_ms + TRANSIT_MS + WORKS_TO_ANSWER * self._room.work_ms
        )
        if answered_ms > due_ms:
            return terms.priority, True, -opening.held_ms
        return terms.priority, False, due_ms

    def of(self, opening: Held) -> float:
        """Returns the expected time until an opening is let in."""
        position = self._positions[opening.flow]
        return max(self._room.wait_ms(position), self._cold_wait_ms(position))

    def _cold_wait_ms(self, position: int) -> int:
        return max(self._ready_times_ms[position] - self._now_ms, 0)

    def refusal(self, opening: Held, limit_ms: float) -> Refuse | None:
        """Returns the refusal of an opening that would wait for too long."""
        wait_ms = self.of(opening)
        position = self._positions[opening.flow]
        if wait_ms <= limit_ms and position < MAX_HELD:
            return None
        is_cold = self._cold_wait_ms(position) > limit_ms
        return Refuse(
            opening.flow,
            "cold" if is_cold else "overloaded",
            max(math.ceil(wait_ms - limit_ms), 0),
        )


def _label(priority: int) -> str:
    """Returns the name of a priority in counters, of a bounded number."""
    if priority == terms_module.UNKNOWN_PRIORITY:
        return "unknown"
    if priority >= COUNTED_PRIORITIES:
        return f"{COUNTED_PRIORITIES}_and_later"
    return str(priority)


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
