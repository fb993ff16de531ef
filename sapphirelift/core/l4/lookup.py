"""Search for the owner of a flow that is not in a balancer's cache.

The agents are first asked whether they own the flow. If none does, but some
have an incomplete flow table and may own it, the packet itself is sent to them
one after the other as a probe. A backend server that does not have the flow
returns it; one that has it may answer the caller, or stay silent like one that
has failed.
"""

import collections
import dataclasses

from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import ownership
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import resolver

# Number of agents asked at once at first. Each further wave is twice as large,
# so that the number of round trips grows with the logarithm of the number of
# agents.
FIRST_WAVE_SIZE = 8
# Time for answers to one wave or probe: several round trips between data
# centres (1 ms each), and a stall of up to 100 ms of an instance that has used
# up its CPU quota.
ANSWER_MS = 120
# Maximum duration of a search: a few retransmissions of a caller, the first of
# which comes after 200 ms at the earliest.
LIFETIME_MS = 1500
MAX_LOOKUPS = 4096
# The platform allows two packets of a flow to reach other backend servers in
# 2 s without one that reaches its own. While an agent that may own the flow is
# silent, no more are sent as probes in this time, and none if the agent is
# being restarted by plan.
PROBES_BESIDE_SILENT = 2
PROBE_WINDOW_MS = 2500
MAX_PACKETS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class SendAsk:
    """Asks an agent whether it owns the flow."""

    address: messages.Address
    flow: packet.FlowKey


@dataclasses.dataclass(frozen=True, slots=True)
class SendResolve:
    """Hands the search to the balancer that resolves flows for others."""

    flow: packet.FlowKey


@dataclasses.dataclass(frozen=True, slots=True)
class ResolverSilent:
    """The resolver of a flow has not answered in time."""

    flow: packet.FlowKey
    address: messages.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """The owner of the flow has been found.

    Attributes:
        address: Address of the owner.
        packets: Packets buffered during the search, to be sent to the owner.
        took_ms: Duration of the search.
    """

    flow: packet.FlowKey
    address: messages.Address
    packets: list[packet.Packet]
    took_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Sends a packet to an agent that may own the flow."""

    address: messages.Address
    packet: packet.Packet


@dataclasses.dataclass(frozen=True, slots=True)
class NoOwner:
    """No agent owns the flow.

    Attributes:
        packets: Packets buffered during the search.
        silent: Number of agents that did not answer and may own the flow.
        has_asked_all: Whether all agents were known when the search began.
        belief: What was believed about the owner before the search.
    """

    flow: packet.FlowKey
    packets: list[packet.Packet]
    silent: int
    has_asked_all: bool
    belief: ownership.Belief | None = None


Step = SendAsk | SendResolve | ResolverSilent | Found | Probe | NoOwner


@dataclasses.dataclass(slots=True)
class _Lookup:
    """State of one search.

    Attributes:
        packets: Most recent packets of the flow.
        started_ms: When the search began.
        asked_ms: When the last wave or probe was sent.
        unasked: Agents that have not been asked yet.
        knows_all_agents: Whether all agents were known at the beginning.
        awaiting_answer: Agents asked that have not answered yet.
        possible_owners: Agents that answered that they may own the flow.
        probed_agent: Agent to which the packet has been sent as a probe, None
            if there is none.
        delivered: Packets sent to each agent as probes. Sent again, they would
            pass for further requests.
        silent: Number of agents that did not answer in time.
        next_wave: Number of agents in the next wave.
        can_resolve: Whether a resolver may be asked after the first wave.
        is_resolving: Whether the search waits for a resolver.
        resolver: The resolver that was asked, None if none has been.
        has_waited: Whether a resolver has left the search unanswered.
        ended_at: Agent at which the flow has ended, None if none has said so.
            It owns the flow unless another agent has one of the same port.
        belief: What was believed about the owner before the search.
        is_owner_stopping: Whether a possible owner is being restarted by plan.
    """

    packets: collections.deque[packet.Packet]
    started_ms: int
    asked_ms: int
    unasked: list[messages.Address]
    knows_all_agents: bool
    awaiting_answer: set[messages.Address] = dataclasses.field(
        default_factory=set
    )
    possible_owners: list[messages.Address] = dataclasses.field(
        default_factory=list
    )
    probed_agent: messages.Address | None = None
    delivered: dict[messages.Address, list[packet.Packet]] = dataclasses.field(
        default_factory=dict
    )
    silent: int = 0
    next_wave: int = FIRST_WAVE_SIZE
    can_resolve: bool = False
    is_resolving: bool = False
    resolver: messages.Address | None = None
    has_waited: bool = False
    ended_at: messages.Address | None = None
    belief: ownership.Belief | None = None
    is_owner_stopping: bool = False

    def probe(self, probed: packet.Packet) -> Probe:
        """Returns the step that sends a packet to the probed agent."""
        assert self.probed_agent is not None
        self.delivered.setdefault(self.probed_agent, []).append(probed)
        return Probe(self.probed_agent, probed)

    def undelivered(self, agent: messages.Address) -> list[packet.Packet]:
        """Returns the packets that an agent has not got as probes."""
        delivered = self.delivered.get(agent, [])
        return [found for found in self.packets if found not in delivered]


class Lookups:
    """Owner searches of one balancer."""

    def __init__(self, counters: collections.Counter[str]) -> None:
        self._counters = counters
        self._lookups: dict[packet.FlowKey, _Lookup] = {}
        # Times of the last probes of each flow.
        self._probe_times_ms: collections.OrderedDict[
            packet.FlowKey, collections.deque[int]
        ] = collections.OrderedDict()

    @property
    def has_pending(self) -> bool:
        """Whether a search is in progress."""
        return bool(self._lookups)

    def is_probing(self, flow: packet.FlowKey) -> bool:
        """Returns whether an agent is being probed for the flow."""
        search = self._lookups.get(flow)
        return search is not None and search.probed_agent is not None

    def begin(
        self,
        received: packet.Packet,
        agents: list[messages.Address],
        now_ms: int,
        *,
        without: messages.Address | None = None,
        knows_all_agents: bool = True,
        can_resolve: bool = False,
        belief: ownership.Belief | None = None,
        is_owner_stopping: bool = False,
    ) -> list[Step]:
        """Begins a search for the owner of a flow that is not searched yet.

        Args:
            received: The packet.
            agents: Agents that may own its flow, likeliest first.
            now_ms: Current time.
            without: Agent that is known not to own the flow.
            knows_all_agents: Whether all existing agents are known.
            can_resolve: Whether a resolver may be asked if none of the
                likeliest agents owns the flow.
            belief: What has been believed about its owner until now.
            is_owner_stopping: Whether an agent that may own it is being
                restarted by plan.
        """
        if len(self._lookups) >= MAX_LOOKUPS:
            self._counters["lookups_dropped_table_full"] += 1
            return []
        self._counters["lookups"] += 1
        self._lookups[received.flow] = _Lookup(
            collections.deque([received], maxlen=MAX_PACKETS),
            now_ms,
            now_ms,
            [agent for agent in agents if agent != without],
            knows_all_agents,
            can_resolve=can_resolve,
            belief=belief,
            is_owner_stopping=is_owner_stopping,
        )
        return self._advance(received.flow, now_ms)

    def is_searching(self, flow: packet.FlowKey) -> bool:
        """Returns whether the owner of a flow is being searched."""
        return flow in self._lookups

    def add_packet(self, received: packet.Packet, now_ms: int) -> list[Step]:
        """Adds a packet to the current search for its flow."""
        search = self._lookups[received.flow]
        search.packets.append(received)
        if search.probed_agent is not None and self._may_probe(
            received.flow, search, now_ms
        ):
            return [search.probe(received)]
        return []

    def cancel(self, flow: packet.FlowKey) -> None:
        """Ends the search for the owner of a flow, without an outcome."""
        self._lookups.pop(flow, None)

    def on_resolve_sent(
        self, flow: packet.FlowKey, address: messages.Address
    ) -> None:
        """Records which resolver has been asked about a flow."""
        search = self._lookups.get(flow)
        if search is not None:
            search.resolver = address

    def on_resolved(
        self, resolved: messages.Resolved, now_ms: int
    ) -> list[Step]:
        """Handles the outcome of a resolver."""
        search = self._lookups.get(resolved.flow)
        if search is None or not search.is_resolving:
            return []
        search.is_resolving = False
        match resolved.verdict:
            case messages.OWNS:
                del self._lookups[resolved.flow]
                took_ms = now_ms - search.started_ms
                packets = search.undelivered(resolved.agent)
                return [Found(resolved.flow, resolved.agent, packets, took_ms)]
            case messages.MAY_OWN:
                # The agents that may own it have to be probed one by one.
                return self._advance(resolved.flow, now_ms)
        if search.ended_at is not None:
            return self._end_at(resolved.flow, search.ended_at, now_ms)
        del self._lookups[resolved.flow]
        # The resolver has asked every agent, the first wave included.
        is_certain = resolved.verdict == messages.OWNS_NOT
        return [
            NoOwner(
                resolved.flow,
                list(search.packets),
                silent=0 if is_certain else 1,
                has_asked_all=is_certain,
                belief=search.belief,
            )
        ]

    def on_answer(self, answer: messages.Answer, now_ms: int) -> list[Step]:
        """Handles the answer of an agent."""
        search = self._lookups.get(answer.flow)
        if search is None:
            return []
        if answer.verdict == messages.OWNS:
            del self._lookups[answer.flow]
            took_ms = now_ms - search.started_ms
            packets = search.undelivered(answer.agent)
            return [Found(answer.flow, answer.agent, packets, took_ms)]
        if answer.agent not in search.awaiting_answer:
            return []
        search.awaiting_answer.discard(answer.agent)
        if answer.verdict == messages.MAY_OWN:
            search.possible_owners.append(answer.agent)
        elif answer.verdict == messages.ENDED:
            search.ended_at = answer.agent
        return self._advance(answer.flow, now_ms)

    def on_missed(
        self,
        flow: packet.FlowKey,
        agent: messages.Address,
        received: packet.Packet,
        now_ms: int,
    ) -> list[Step]:
        """Handles a packet returned by a probed agent."""
        search = self._lookups.get(flow)
        if search is None:
            return []
        if search.probed_agent != agent:
            return []
        if agent in search.possible_owners:
            search.possible_owners.remove(agent)
        search.probed_agent = None
        if not search.packets:
            search.packets.append(received)
        return self._advance(flow, now_ms)

    def tick(self, now_ms: int) -> list[Step]:
        """Ends searches that took too long and advances overdue ones."""
        steps: list[Step] = []
        for flow, search in list(self._lookups.items()):
            if now_ms - search.started_ms > LIFETIME_MS:
                del self._lookups[flow]
                self._counters["lookups_timed_out"] += 1
            elif search.is_resolving:
                if now_ms - search.asked_ms > resolver.OUTCOME_MS:
                    steps.append(self._on_unresolved(flow, search, now_ms))
            elif now_ms - search.asked_ms > ANSWER_MS:
                if search.probed_agent is not None:
                    # Not returned, so the backend server may have the flow. To
                    # ask the others too would cost a search for each packet
                    # while many servers are away at once.
                    steps.extend(
                        self._end_at(flow, search.probed_agent, now_ms)
                    )
                    continue
                search.silent += len(search.awaiting_answer)
                search.awaiting_answer.clear()
                steps.extend(self._advance(flow, now_ms))
        return steps

    def _on_unresolved(
        self, flow: packet.FlowKey, search: _Lookup, now_ms: int
    ) -> Step:
        """Gives a search without an outcome to another resolver, once."""
        if search.has_waited or search.resolver is None:
            del self._lookups[flow]
            self._counters["lookups_unresolved"] += 1
            return NoOwner(
                flow,
                list(search.packets),
                silent=1,
                has_asked_all=False,
                belief=search.belief,
            )
        search.has_waited = True
        search.asked_ms = now_ms
        return ResolverSilent(flow, search.resolver)

    def _end_at(
        self, flow: packet.FlowKey, agent: messages.Address, now_ms: int
    ) -> list[Step]:
        """Ends the search at an agent that has not said that it owns it."""
        search = self._lookups.pop(flow)
        took_ms = now_ms - search.started_ms
        return [Found(flow, agent, search.undelivered(agent), took_ms)]

    def _may_probe(
        self, flow: packet.FlowKey, search: _Lookup, now_ms: int
    ) -> bool:
        """Returns whether to send a packet as a probe, and counts it if so."""
        times_ms = self._probe_times_ms.pop(flow, None)
        if times_ms is None:
            times_ms = collections.deque(maxlen=PROBES_BESIDE_SILENT)
        self._probe_times_ms[flow] = times_ms
        if len(self._probe_times_ms) > MAX_LOOKUPS:
            self._probe_times_ms.popitem(last=False)
        is_at_limit = (
            len(times_ms) == PROBES_BESIDE_SILENT
            and now_ms - times_ms[0] <= PROBE_WINDOW_MS
        )
        if search.silent and (is_at_limit or search.is_owner_stopping):
            self._counters["probes_withheld"] += 1
            return False
        times_ms.append(now_ms)
        return True

    def _advance(self, flow: packet.FlowKey, now_ms: int) -> list[Step]:
        search = self._lookups[flow]
        if search.awaiting_answer:
            return []
        if (
            search.can_resolve
            and search.next_wave > FIRST_WAVE_SIZE
            and not search.possible_owners
        ):
            search.can_resolve = False
            search.is_resolving = True
            search.asked_ms = now_ms
            return [SendResolve(flow)]
        if search.unasked:
            wave = search.unasked[: search.next_wave]
            del search.unasked[: search.next_wave]
            search.next_wave *= 2
            search.awaiting_answer.update(wave)
            search.asked_ms = now_ms
            return [SendAsk(address, flow) for address in wave]
        if search.possible_owners and self._may_probe(flow, search, now_ms):
            search.probed_agent = search.possible_owners[0]
            search.asked_ms = now_ms
            return [search.probe(search.packets[-1])]
        if search.ended_at is not None:
            return self._end_at(flow, search.ended_at, now_ms)
        del self._lookups[flow]
        return [
            NoOwner(
                flow,
                list(search.packets),
                search.silent,
                search.knows_all_agents,
                search.belief,
            )
        ]
