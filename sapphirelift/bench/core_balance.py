"""Simulates load balancing between agent cores on a virtual clock.

``python -m sapphirelift.bench.core_balance [SECONDS]`` compares the load
table with the baselines. A run is deterministic for its seed. Columns:
maximum over mean busy time of the backend servers, mean and p99 latency in
milliseconds, share of transferred requests, and load report bytes that one
agent sends per second.
"""

import collections
import heapq
import itertools
import random
import sys
from typing import Any

from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import actions
from sapphirelift.core import agent
from sapphirelift.core import keys
from sapphirelift.core import limits
from sapphirelift.core.flows import baselines
from sapphirelift.core.flows import load
from sapphirelift.core.flows import routing
from sapphirelift.core.membership import membership
from sapphirelift.core.requests import outcomes
from sapphirelift.core.requests import transfer

AGENTS = 7
SLOTS = 4
FLOWS = 140
WORK_MS = 40.0
WARM_UP_MS = 5000
# Finished requests count against this limit while their replies are cached,
# so the default would drop requests of busy flows.
MAX_REQUESTS = 100_000
_BALANCER = messages.Address("10.0.0.100", 1)
_CALLER = messages.Address("10.1.0.1", 1)
_RING = keys.KeyRing(0, {0: bytes(32)})
_Kind = messages.Kind


class Experiment:
    """A discrete event simulation of agents and flows of uneven rates."""

    def __init__(
        self,
        table: type[load.LoadTable],
        *,
        utilisation: float,
        slow_factor: float = 1.0,
        rate_sigma: float = 1.2,
        seed: int = 1,
    ) -> None:
        self._rng = random.Random(seed)
        self._queue: list[tuple[float, int, Any]] = []
        self._sequence = itertools.count()
        self._now_ms = 0.0
        self._load_report_bytes = 0
        self._latencies: list[float] = []
        self._sent: dict[tuple[bytes, int], float] = {}
        self._tokens: dict[bytes, tuple[bytes, messages.Address]] = {}
        self._cores: dict[messages.Address, agent.AgentCore] = {}
        self._slowdown: dict[messages.Address, float] = {}
        self._busy_ms: dict[messages.Address, float] = {}
        members = membership.Membership()
        for index in range(AGENTS):
            self._add_agent(index, members, table, seed)
        self._slowdown[messages.Address("10.0.0.0", 1)] = slow_factor
        weights = [
            self._rng.lognormvariate(0, rate_sigma) for _ in range(FLOWS)
        ]
        speed = sum(1 / slow for slow in self._slowdown.values())
        rate_per_ms = utilisation * SLOTS * speed / WORK_MS / sum(weights)
        for number, weight in enumerate(weights):
            targets = list(members.members.values())
            key = self._rng.randbytes(16)
            chosen = [m.address for m in routing.candidates(key, targets)]
            self._schedule(1000 + number * 10, self._open, key, chosen)
            self._schedule(2500, self._request, key, 1, rate_per_ms * weight)

    def _add_agent(
        self,
        index: int,
        members: membership.Membership,
        table: type[load.LoadTable],
        seed: int,
    ) -> None:
        name, address = f"agent-{index}", messages.Address(f"10.0.0.{index}", 1)
        members.members[name] = membership.Member(
            name, "agent", address, 1, "a", "s", 1.0, "up"
        )
        rng = random.Random(seed * 100 + index)
        core = self._cores[address] = agent.AgentCore(
            agent.AgentIdentity(name, address, 1, "s", "a"),
            limits=limits.AgentLimits(
                slots=SLOTS, max_requests_per_flow=MAX_REQUESTS
            ),
            ring=_RING,
            members=members,
            rng=rng,
        )
        core.balance.table = table(
            name=name, service="s", members=members, rng=rng
        )
        self._slowdown[address], self._busy_ms[address] = 1.0, 0.0
        self._schedule(index * 3, self._tick, address)

    def _schedule(self, when_ms: float, *call: Any) -> None:
        heapq.heappush(self._queue, (when_ms, next(self._sequence), call))

    def run(self, seconds: float) -> list[float]:
        """Runs the simulation and returns the columns.

        Only the last two columns include the warm-up.
        """
        end_ms = WARM_UP_MS + seconds * 1000
        while self._queue[0][0] < end_ms:
            self._now_ms, _, (call, *arguments) = heapq.heappop(self._queue)
            call(*arguments)
        latencies = sorted(self._latencies)
        totals: collections.Counter[str] = collections.Counter()
        for core in self._cores.values():
            totals.update(core.counters)
        return [
            max(self._busy_ms.values()) * AGENTS / sum(self._busy_ms.values()),
            sum(latencies) / len(latencies),
            latencies[int(len(latencies) * 0.99)],
            totals["requests_transferred"] / totals["requests_answered"],
            self._load_report_bytes / AGENTS / end_ms * 1000,
        ]

    def _handle(self, address: messages.Address, event: agent.Event) -> None:
        for action in self._cores[address].handle(
            event, now_ms=int(self._now_ms)
        ):
            match action:
                case actions.SendPeer(to, data):
                    kind, body = wire.decode_peer(data, _RING)
                    self._load_report_bytes += (
                        len(data) if kind == _Kind.LOAD else 0
                    )
                    if to == _BALANCER:
                        self._on_relay(wire.decode_forward(body)[1], address)
                        continue
                    sent = agent.PeerDatagram(address, kind, body)
                    self._schedule(self._now_ms + 1, self._handle, to, sent)
                case actions.StartRun(run_id=run_id):
                    work_ms = self._rng.expovariate(1 / WORK_MS)
                    work_ms *= self._slowdown[address]
                    if self._now_ms > WARM_UP_MS:
                        self._busy_ms[address] += work_ms
                    done = agent.RunFinished(
                        run_id, outcomes.Answered(200, b"")
                    )
                    self._schedule(
                        self._now_ms + work_ms, self._handle, address, done
                    )

    def _tick(self, address: messages.Address) -> None:
        self._handle(address, agent.Tick())
        self._schedule(self._now_ms + 20, self._tick, address)

    def _open(self, key: bytes, chosen: list[messages.Address]) -> None:
        data = wire.encode_caller(_Kind.OPEN, key, messages.Open("s", 0))
        forward = messages.OpenForward(_CALLER, _BALANCER, 0, chosen[1:], data)
        body = wire.encode_body(forward)
        event = agent.PeerDatagram(_BALANCER, _Kind.OPEN_FORWARD, body)
        self._handle(chosen[0], event)

    def _request(self, key: bytes, request_id: int, rate_per_ms: float) -> None:
        head = messages.Request(
            request_id,
            0,
            1,
            transfer.body_hash(b""),
            10_000,
            False,
            "",
            "",
            b"",
        )
        self._sent[key, request_id] = self._now_ms
        self._forward(key, _Kind.REQUEST, head)
        when_ms = self._now_ms + self._rng.expovariate(rate_per_ms)
        self._schedule(when_ms, self._request, key, request_id + 1, rate_per_ms)

    def _forward(self, key: bytes, kind: int, body: tuple[Any, ...]) -> None:
        flow_token, owner = self._tokens[key]
        data = wire.encode_caller(kind, key, body, flow_token=flow_token)
        forward = wire.encode_forward(_CALLER, data)
        event = agent.PeerDatagram(_BALANCER, _Kind.FORWARD, forward)
        self._schedule(self._now_ms, self._handle, owner, event)

    def _on_relay(self, data: bytes, owner: messages.Address) -> None:
        reply = wire.decode_caller(data)
        if reply.kind == _Kind.ACCEPT:
            self._tokens[reply.flow_key] = reply.token, owner
        elif reply.kind == _Kind.RESPONSE:
            ack = messages.FragmentAck(reply.body.request_id, b"\x01")
            self._forward(reply.flow_key, _Kind.RESPONSE_ACK, ack)
            sent_ms = self._sent.pop(
                (reply.flow_key, reply.body.request_id), self._now_ms
            )
            if sent_ms > WARM_UP_MS:
                self._latencies.append(self._now_ms - sent_ms)


def main(seconds: float) -> None:
    """Prints the columns of every placement at several loads."""
    tables = {"load table": load.LoadTable} | baselines.BASELINES
    for utilisation, slow in ((0.5, 1.0), (0.8, 1.0), (0.5, 2.0), (0.8, 2.0)):
        print(f"utilisation {utilisation:.0%}, slow target x{slow:g}")
        for name, table in tables.items():
            experiment = Experiment(
                table, utilisation=utilisation, slow_factor=slow
            )
            columns = "".join(f"{v:10.3f}" for v in experiment.run(seconds))
            print(f"  {name:20}{columns}", flush=True)


if __name__ == "__main__":
    main(float(sys.argv[1]) if len(sys.argv) > 1 else 20.0)
