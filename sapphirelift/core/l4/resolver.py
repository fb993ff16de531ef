"""Joint search for the owners of many flows, on behalf of other balancers.

After an outage the callers of all lost flows send packets within seconds, a
few of them through each balancer. Proving that one flow has no owner takes a
question to every agent, so balancers hand such flows to a few of them, which
ask each agent about all flows at once.
"""

import collections
import dataclasses

import xxhash

from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import sentinels

# A balancer that knows fewer agents asks them itself.
MIN_AGENTS = 32
# One in this many balancers answers for the others. A round of 64 flows takes
# 120 ms while an agent is silent, so that one resolver ends 500 searches a
# second; the callers of 8 balancers send packets on about as many lost flows.
BALANCERS_PER_RESOLVER = 8
# Time between the beginnings of two rounds: short against the 200 ms after
# which callers retransmit, and long enough to collect flows.
ROUND_INTERVAL_MS = 100
# Time for the answers to a round, as for other questions (``lookup``).
ANSWER_MS = 120
# Time that a balancer waits for the outcome before it resolves the flow itself:
# two rounds, their answers and two messages.
OUTCOME_MS = 500
# A resolver that has not answered is not asked again for this long.
UNRESPONSIVE_MS = 5000
# About 1 KB in one datagram.
MAX_FLOWS_PER_ROUND = 64
MAX_PENDING = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class AskAgent:
    """Asks an agent about all flows of the round.

    Attributes:
        number: Number of the round.
    """

    address: messages.Address
    flows: tuple[packet.FlowKey, ...]
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Sends the outcome for one flow to a balancer."""

    balancer: messages.Address
    outcome: messages.Resolved


Step = AskAgent | Reply


@dataclasses.dataclass(slots=True)
class _Round:
    """Questions about some flows that have been sent to all agents.

    Attributes:
        flows: Flows without an owner so far, with the balancers that wait.
        began_ms: When the questions were sent.
        awaited: Agents that have not answered.
        knows_all_agents: Whether all agents were known at the beginning.
        may_own: Whether an agent with an incomplete table may own any flow.
        ended_at: Agents at which some of the flows have ended.
    """

    flows: dict[packet.FlowKey, set[messages.Address]]
    began_ms: int
    awaited: set[messages.Address]
    knows_all_agents: bool
    may_own: bool = False
    ended_at: dict[packet.FlowKey, messages.Address] = dataclasses.field(
        default_factory=dict
    )


def choose(
    flow: packet.FlowKey, balancers: list[messages.Address]
) -> messages.Address:
    """Returns the balancer that searches for the owner of a flow.

    Args:
        flow: The flow.
        balancers: Balancers that may do so, at least one. Balancers that know
            the same ones choose the same resolver.
    """
    count = max(len(balancers) // BALANCERS_PER_RESOLVER, 1)
    digest = xxhash.xxh32_intdigest(repr(tuple(flow)).encode())
    return sentinels.ranked(balancers)[digest % count]


class Resolver:
    """Rounds of questions of one balancer."""

    def __init__(self, counters: collections.Counter[str]) -> None:
        self._counters = counters
        self._pending: dict[packet.FlowKey, set[messages.Address]] = {}
        self._round: _Round | None = None
        self._began_ms = 0
        self._number = 0

    @property
    def has_pending(self) -> bool:
        """Whether a round is in progress or has to be begun."""
        return bool(self._pending) or self._round is not None

    def add(self, flow: packet.FlowKey, balancer: messages.Address) -> None:
        """Adds a flow whose owner a balancer wants to know."""
        if len(self._pending) >= MAX_PENDING and flow not in self._pending:
            self._counters["resolves_dropped_table_full"] += 1
            return
        self._pending.setdefault(flow, set()).add(balancer)

    def is_round_due(self, now_ms: int) -> bool:
        """Returns whether ``begin_round`` is to be called."""
        return (
            bool(self._pending)
            and self._round is None
            and now_ms - self._began_ms >= ROUND_INTERVAL_MS
        )

    def begin_round(
        self,
        agents: list[messages.Address],
        now_ms: int,
        *,
        knows_all_agents: bool,
    ) -> list[Step]:
        """Asks all agents about the pending flows.

        Args:
            agents: Agents that may own a flow.
            now_ms: Current time.
            knows_all_agents: Whether there are no others.
        """
        flows = dict(list(self._pending.items())[:MAX_FLOWS_PER_ROUND])
        for flow in flows:
            del self._pending[flow]
        self._counters["resolver_rounds"] += 1
        self._counters["resolver_flows"] += len(flows)
        self._began_ms = now_ms
        self._number += 1
        self._round = _Round(flows, now_ms, set(agents), knows_all_agents)
        asked: list[Step] = [
            AskAgent(address, tuple(flows), self._number) for address in agents
        ]
        return asked or self._end_round()

    def on_answer(self, answer: messages.AnswerMany) -> list[Step]:
        """Handles the answer of an agent."""
        current = self._round
        if answer.number != self._number:
            # It says nothing about the flows of this round.
            self._counters["resolver_answers_late"] += 1
            return []
        if current is None or answer.agent not in current.awaited:
            return []
        current.awaited.discard(answer.agent)
        current.may_own = current.may_own or not answer.has_full_table
        current.ended_at |= dict.fromkeys(answer.ended, answer.agent)
        steps: list[Step] = []
        for flow in answer.owned:
            for balancer in current.flows.pop(flow, ()):
                found = messages.Resolved(flow, answer.agent, messages.OWNS)
                steps.append(Reply(balancer, found))
        if not current.awaited:
            steps.extend(self._end_round())
        return steps

    def tick(self, now_ms: int) -> list[Step]:
        """Ends a round whose answers are overdue."""
        current = self._round
        if current is None or now_ms - current.began_ms <= ANSWER_MS:
            return []
        return self._end_round()

    def _end_round(self) -> list[Step]:
        current = self._round
        assert current is not None
        self._round = None
        if current.may_own:
            verdict = messages.MAY_OWN
        elif current.awaited or not current.knows_all_agents:
            verdict = messages.UNKNOWN
        else:
            verdict = messages.OWNS_NOT
        nobody = messages.Address("", 0)
        steps: list[Step] = []
        for flow, balancers in current.flows.items():
            outcome = messages.Resolved(flow, nobody, verdict)
            ended_at = current.ended_at.get(flow)
            if ended_at is not None and not current.may_own:
                outcome = messages.Resolved(flow, ended_at, messages.OWNS)
            steps.extend(Reply(balancer, outcome) for balancer in balancers)
        return steps
