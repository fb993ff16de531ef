"""Compares placement policies for new flows on the in-memory network.

``python -m sapphirelift.bench.placement`` prints, for each policy and seed,
the imbalance of open flows and the share of callers that are answered in time
when all of them arrive in a burst.
"""

import functools
import json
from collections.abc import Callable
from unittest import mock

from sapphirelift.core.flows import routing
from sapphirelift.core.l4 import agents
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import placement
from sapphirelift.standins import flow_ends
from sapphirelift.standins import packet_network

SEEDS = (1, 2, 3)
OBJECTIVE_MS = 120

_least_work = placement.rank

RankFunction = Callable[..., list[agents.KnownAgent]]


def rendezvous(
    flow: packet.FlowKey,
    candidates: list[agents.KnownAgent],
    *,
    count: int = 4,
    data_centre: str = "",
) -> list[agents.KnownAgent]:
    """Ranks candidates by weighted rendezvous hashing only."""
    del data_centre
    return routing.candidates(
        repr(tuple(flow)).encode(), candidates, count=count
    )


def two_choices(
    flow: packet.FlowKey,
    candidates: list[agents.KnownAgent],
    *,
    count: int = 4,
    data_centre: str = "",
) -> list[agents.KnownAgent]:
    """Ranks the first two candidates by load, as in power of two choices.

    The candidates are ordered by rendezvous hashing before that.
    """
    del data_centre
    first = rendezvous(flow, candidates, count=count)
    return [*_least_work(flow, first[:2]), *first[2:]]


POLICIES: dict[str, RankFunction] = {
    "rendezvous": rendezvous,
    "two_choices": two_choices,
    "least_expected_work": _least_work,
}


def _network(seed: int) -> packet_network.Network:
    network = packet_network.Network(seed, has_slots=True)
    for _ in range(7):
        network.add_agent(work_ms=22, slots=2)
    for _ in range(5):
        network.add_balancer()
    network.run(500)
    return network


def imbalance(seed: int) -> float:
    """Returns maximum over mean flows per agent for 140 long flows."""
    network = _network(seed)
    for _ in range(140):
        network.open_flow()
        network.run(20)
    network.run(500)
    counts = [len(h.backend.opened) for h in network.agents.values()]
    return max(counts) / (sum(counts) / len(counts))


def answered_in_time(seed: int) -> float:
    """Returns the share of 60 callers answered in ``OBJECTIVE_MS``.

    The callers arrive within 100 ms.
    """
    network = _network(seed)
    answers: list[int] = []

    def record_answers(caller: flow_ends.CallerFlow) -> None:
        answers.append(caller.answers)

    for _ in range(60):
        caller = network.open_flow()
        caller.opens_with_request = True
        network.call_later(
            OBJECTIVE_MS, functools.partial(record_answers, caller)
        )
        network.run(1 + len(answers) % 2)
    network.run(1000)
    return sum(answers) / len(answers)


def compare() -> dict[str, dict[str, list[float]]]:
    """Returns both figures by policy, with one value per seed."""
    figures_by_policy: dict[str, dict[str, list[float]]] = {}
    for name, rank in POLICIES.items():
        with mock.patch.object(placement, "rank", rank):
            figures_by_policy[name] = {
                "imbalance_max_over_mean": [
                    round(imbalance(seed), 3) for seed in SEEDS
                ],
                "answered_in_time": [
                    round(answered_in_time(seed), 3) for seed in SEEDS
                ],
            }
    return figures_by_policy


if __name__ == "__main__":
    print(json.dumps(compare(), indent=1))
