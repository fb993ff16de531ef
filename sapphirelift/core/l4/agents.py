"""Liveness, state and load of the agents as known to a balancer."""

import dataclasses
from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

from sapphirelift.core.l4 import heartbeats
from sapphirelift.core.l4 import messages

READY = "ready"
DRAINING = "draining"
# No backend server: none has reported yet, or it has left.
UNAVAILABLE = "unavailable"
# The backend server takes no new flows at the moment, because it is silent,
# does not answer or is about to exit. It may have open ones.
CLOSED = "closed"
# The agent is about to stop; its backend server may continue to run.
LEAVING = "leaving"
# The agent is about to stop, and its backend server has already left.
GONE = "gone"

# An agent counts as suspect after three missed heartbeats in a row, which are
# sent every 400 ms. At longer intervals it does so after as many of them, or
# if it has not answered a hello.
SUSPECT_AFTER_MS = 1300
SUSPECT_AFTER_INTERVALS = 3.25
UNANSWERED_HELLO_MS = 500
# A silent agent counts as lost after this time, if it has been asked for a
# heartbeat meanwhile. A killed process is back within about 2 s, and callers
# give up on requests after 1.2 s or more, so waiting longer has no benefit.
LOST_AFTER_MS = 2500
LOST_AFTER_HELLO_MS = 2000
# One that has never been heard must not have answered this many hellos either:
# a few lost ones in a row happen on a link that loses one datagram in six.
LOST_AFTER_HELLOS = 4
# An agent that stops by plan is back within this time: the platform gives its
# process 6 s to exit, and the next one starts in less than 4 s.
RESTART_MS = 10_000
# An agent that is in use, and whose heartbeat is late by a quarter of its
# interval and this much, is asked for one.
LATE_MS = 200
LATE_INTERVALS = 1.25
# An agent that has not answered an opening packet gets no new flows for this
# long, unless it is heard.
UNANSWERED_OPEN_MS = 3000
# Silent agents are forgotten after this time. Their flows may live for up to
# 60 s by the platform's bounds, so balancers send them hellos until then.
FORGET_AFTER_MS = 60_000
# Incarnations follow the wall clock of an instance, which may be set back, and
# another instance may take over an address. So the order of two incarnations
# counts only for as long as a message of the former one can be under way.
OVERTAKEN_MS = 2000
# The design size is 7,000 agents.
MAX_AGENTS = 10_000


class DepartedAgent(NamedTuple):
    """An agent that has stopped together with its backend server."""

    incarnation: int
    since_ms: int


class UnconfirmedAgent(NamedTuple):
    """An agent known only by its address.

    Attributes:
        found_ms: When its address was found.
        is_stopping: Whether it has announced a planned stop.
        hellos: Number of hellos that it has been sent.
    """

    found_ms: int
    is_stopping: bool
    hellos: int = 0

    def may_own(self, now_ms: int, *, contact_ms: int) -> bool:
        """Returns whether it may own flows: it may live, or start again."""
        waited_ms = now_ms - self.found_ms
        if self.is_stopping:
            return waited_ms <= restart_timeout_ms(contact_ms)
        return waited_ms <= LOST_AFTER_MS or self.hellos < LOST_AFTER_HELLOS


@dataclasses.dataclass(slots=True)
class KnownAgent:
    """State of one agent as known to a balancer.

    Attributes:
        heartbeat: Newest heartbeat.
        last_heard_ms: When the newest sign of life was received.
        heartbeat_ms: When the newest heartbeat was received.
        flows: Most recently reported number of open flows.
        opens_since: Number of unanswered opening packets sent since the
            newest heartbeat.
        unanswered_ms: When an opening packet last timed out, None if none has
            since the newest heartbeat or answer.
        asked_ms: When the agent was first asked for a sign of life since it
            was last heard; None if it has not been asked.
        used_ms: When a packet was last forwarded to it; 0 if none has been.
        interval_ms: Interval at which it has been asked for heartbeats.
        questioned_ms: When it was first asked about a flow since it was last
            heard; None if it has not been.
    """

    heartbeat: messages.Heartbeat
    last_heard_ms: int
    heartbeat_ms: int
    flows: int = 0
    opens_since: int = 0
    unanswered_ms: int | None = None
    asked_ms: int | None = None
    used_ms: int = 0
    interval_ms: int = heartbeats.MIN_INTERVAL_MS
    questioned_ms: int | None = None

    @property
    def name(self) -> str:
        """Unique name, for rendezvous hashing."""
        return self.heartbeat.name

    @property
    def weight(self) -> float:
        """Relative share of new flows among the agents of the service."""
        return float(max(self.heartbeat.slots, 1))

    @property
    def address(self) -> messages.Address:
        """Address at which it receives messages."""
        return self.heartbeat.address

    @property
    def is_cold(self) -> bool:
        """Whether its backend server is cold, as after a start."""
        return self.heartbeat.cold_ms > 0

    def is_alive(self, now_ms: int) -> bool:
        """Returns whether heartbeats have been received recently."""
        silent_ms = now_ms - self.last_heard_ms
        if silent_ms <= SUSPECT_AFTER_MS:
            return True
        limit_ms = SUSPECT_AFTER_INTERVALS * self.interval_ms
        return silent_ms <= limit_ms and not self._is_unanswered_for(
            UNANSWERED_HELLO_MS, now_ms
        )

    def is_late(self, now_ms: int) -> bool:
        """Returns whether a heartbeat or an answer is overdue."""
        questioned_ms = self.questioned_ms
        if questioned_ms is not None and now_ms - questioned_ms > LATE_MS:
            return True
        limit_ms = LATE_INTERVALS * self.interval_ms + LATE_MS
        return now_ms - self.last_heard_ms > limit_ms

    def _is_unanswered_for(self, duration_ms: int, now_ms: int) -> bool:
        return (
            self.asked_ms is not None and now_ms - self.asked_ms > duration_ms
        )

    def on_asked(self, now_ms: int) -> None:
        """Records that the agent has been asked for a sign of life."""
        if self.asked_ms is None:
            self.asked_ms = now_ms

    def on_questioned(self, now_ms: int) -> None:
        """Records a question about a flow; without an answer it is late."""
        if self.questioned_ms is None:
            self.questioned_ms = now_ms

    def on_heard(self, now_ms: int) -> None:
        """Records a sign of life."""
        self.last_heard_ms = now_ms
        self.unanswered_ms = None
        self.asked_ms = None
        self.questioned_ms = None

    def hears_balancer(self) -> bool:
        """Returns whether packets of the balancer reach the agent."""
        limit_ms = max(
            SUSPECT_AFTER_MS,
            SUSPECT_AFTER_INTERVALS * self.interval_ms,
        )
        return self.heartbeat.unheard_ms <= limit_ms

    def may_own(self, now_ms: int, *, contact_ms: int) -> bool:
        """Returns whether the agent may own a flow without a known owner.

        Args:
            now_ms: Current time.
            contact_ms: Time without heartbeats after which an instance that
                has announced a stop counts as lost.
        """
        if self.is_alive(now_ms):
            return True
        silent_ms = now_ms - self.last_heard_ms
        match self.heartbeat.state:
            case "unavailable":
                # Without a backend server, there are no flows.
                return False
            case "leaving":
                return silent_ms <= restart_timeout_ms(contact_ms)
            case _:
                return silent_ms <= LOST_AFTER_MS or not (
                    self._is_unanswered_for(LOST_AFTER_HELLO_MS, now_ms)
                )

    def may_open(self, now_ms: int) -> bool:
        """Returns whether the agent may be given new flows."""
        return (
            self.heartbeat.state == READY
            and self.is_alive(now_ms)
            and self.hears_balancer()
            and (
                self.unanswered_ms is None
                or now_ms - self.unanswered_ms > UNANSWERED_OPEN_MS
            )
        )


def restart_timeout_ms(contact_ms: int) -> int:
    """Returns for how long an agent that stops by plan may own flows.

    Args:
        contact_ms: Time without contact after which an instance counts as
            lost.
    """
    return max(contact_ms, RESTART_MS)


def is_outdated(incarnation: int, *, newest: int, newest_age_ms: int) -> bool:
    """Returns whether a message is of an earlier start than the newest one.

    Args:
        incarnation: Incarnation that the message names.
        newest: Incarnation that was heard last at the address.
        newest_age_ms: Time since then.
    """
    return incarnation < newest and newest_age_ms <= OVERTAKEN_MS


class Agents:
    """Table of the agents from which heartbeats have been received."""

    def __init__(self) -> None:
        self._by_address: dict[messages.Address, KnownAgent] = {}
        self._by_service: dict[str, dict[messages.Address, KnownAgent]] = {}

    def __len__(self) -> int:
        return len(self._by_address)

    def __iter__(self) -> Iterator[KnownAgent]:
        return iter(self._by_address.values())

    def get(self, address: messages.Address) -> KnownAgent | None:
        """Returns the agent at an address, or None."""
        return self._by_address.get(address)

    def services(self) -> list[str]:
        """Returns the services of all agents."""
        return list(self._by_service)

    def of_services(self, services: Iterable[str]) -> list[KnownAgent]:
        """Returns all agents of the given services, including silent ones."""
        found: list[KnownAgent] = []
        for service in services:
            found.extend(self._by_service.get(service, {}).values())
        return found

    def update_from_heartbeat(
        self, heartbeat: messages.Heartbeat, now_ms: int
    ) -> KnownAgent | None:
        """Adds or updates an agent from a heartbeat.

        Outdated heartbeats are ignored.

        Returns:
            The previous state of the agent, None if it was unknown.
        """
        known = self._by_address.get(heartbeat.address)
        if known is None:
            if len(self._by_address) < MAX_AGENTS:
                self._add_new(heartbeat, now_ms)
            return None
        newest = known.heartbeat
        if heartbeat.incarnation == newest.incarnation:
            if heartbeat.number <= newest.number:
                return known
        elif is_outdated(
            heartbeat.incarnation,
            newest=newest.incarnation,
            newest_age_ms=now_ms - known.heartbeat_ms,
        ):
            return known
        previous = dataclasses.replace(known)
        if heartbeat.service != newest.service:
            self.remove(heartbeat.address)
            self._add_new(heartbeat, now_ms)
            return previous
        known.heartbeat = heartbeat
        known.heartbeat_ms = now_ms
        known.flows = heartbeat.flows
        known.opens_since = 0
        known.on_heard(now_ms)
        return previous

    def forget_silent(self, now_ms: int) -> list[KnownAgent]:
        """Removes and returns agents silent for ``FORGET_AFTER_MS``.

        Agents that have been asked for rare heartbeats get more time.
        """
        silent = [
            agent
            for agent in self._by_address.values()
            if now_ms - agent.last_heard_ms
            > max(FORGET_AFTER_MS, SUSPECT_AFTER_INTERVALS * agent.interval_ms)
        ]
        for agent in silent:
            self.remove(agent.address)
        return silent

    def _add_new(self, heartbeat: messages.Heartbeat, now_ms: int) -> None:
        agent = KnownAgent(heartbeat, now_ms, now_ms, heartbeat.flows)
        self._by_address[agent.address] = agent
        service = agent.heartbeat.service
        self._by_service.setdefault(service, {})[agent.address] = agent

    def remove(self, address: messages.Address) -> None:
        """Removes an agent that is in the table."""
        agent = self._by_address.pop(address)
        service = self._by_service[agent.heartbeat.service]
        del service[address]
        if not service:
            del self._by_service[agent.heartbeat.service]
