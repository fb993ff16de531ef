"""Placement of new flows where an answer is expected soonest."""

import collections

from tests import placed_flows

STREAM, UPLOAD = placed_flows.STREAM, placed_flows.UPLOAD
WORK_MS = placed_flows.WORK_MS
IS_ON = True


def _seven(
    odd: dict[str, object] | None = None, *, is_on: bool = IS_ON
) -> placed_flows.Flows:
    """Returns equal, lightly loaded servers; the first differs if given."""
    flows = placed_flows.Flows(is_on=is_on)
    _beat(flows, odd)
    return flows


def _beat(
    flows: placed_flows.Flows, odd: dict[str, object] | None = None
) -> None:
    for number in range(1, 8):
        given = odd if odd and number == 1 else {"flows": 6, "busy": 0.5}
        flows.beat(f"agent-{number}", **given)  # type: ignore[arg-type]


class TestSlowServer:
    """One server that takes more time than the others of its service."""

    def test_slow_server_gets_only_trials(self) -> None:
        """One of seven at five times the work, empty as its flows left it.

        An idle one would get every flow. Response times do not show it: the
        others have had queues.
        """
        slow = {"works": ((STREAM, 5 * WORK_MS),), "response_ms": 25.0}
        flows = _seven(slow)
        chosen = flows.place()
        assert 0 < chosen["agent-1"] < 400 / 7 / 4
        assert flows.counters["opens_trying_avoided"] > 0
        assert flows.logged == ["agent_avoided"]

    def test_recovered_server_is_used_again(self) -> None:
        """The same server at its usual work; less loaded, it comes first."""
        flows = _seven({"works": ((STREAM, 5 * WORK_MS),)})
        assert flows.place()["agent-1"] < 400 / 7
        flows.now_ms += 400
        _beat(flows, {"flows": 2, "busy": 0.5})
        assert flows.place()["agent-1"] > 300
        assert flows.logged == ["agent_avoided", "agent_used_again"]

    def test_slow_server_takes_flows_when_others_are_full(self) -> None:
        """Five servers with queues: one at three times the work is sooner."""
        flows = placed_flows.Flows(is_on=IS_ON)
        flows.beat("agent-1", works=((STREAM, 3 * WORK_MS),), response_ms=99)
        for number in range(2, 6):
            flows.beat(f"agent-{number}", busy=4.0, response_ms=20)
        assert flows.place()["agent-1"] == 400
        assert "agent_avoided" in flows.logged

    def test_all_slow_together_share_the_flows(self) -> None:
        """Every server at five times the work; one has had a queue."""
        flows = placed_flows.Flows(is_on=IS_ON)
        for number in range(1, 8):
            flows.beat(
                f"agent-{number}",
                flows=6,
                busy=2.5,
                works=((STREAM, 5 * WORK_MS),),
                response_ms=350.0 if number == 1 else 150.0,
            )
        chosen = flows.place(700)
        assert not flows.logged
        assert len(chosen) == 7
        assert max(chosen.values()) < 2 * 700 / 7

    def test_a_third_is_avoided_at_the_most(self) -> None:
        """Three of seven fail, the worst two of them are avoided."""
        flows = placed_flows.Flows(is_on=IS_ON)
        for number in range(1, 8):
            failed = {1: 30, 2: 40, 3: 50}.get(number, 0)
            flows.beat(f"agent-{number}", failed_percent=failed)
        chosen = flows.place()
        assert flows.logged == ["agent_avoided"] * 2
        assert max(chosen["agent-2"], chosen["agent-3"]) < 400 / 7 / 2


class TestFailingServer:
    """One server that fails a part of its requests."""

    def test_quickly_failing_server_does_not_draw_flows(self) -> None:
        """One of seven fails a third of its requests within a millisecond.

        Its queue is short, and callers have left it: it looks the best.
        """
        failing = {"busy": 0.1, "failed_percent": 33, "response_ms": 14.0}
        chosen = _seven(failing).place()
        assert 0 < chosen["agent-1"] < 400 / 7 / 4
        assert _seven(failing, is_on=False).place()["agent-1"] == 400

    def test_failures_of_all_servers_avoid_nobody(self) -> None:
        """Something behind all servers fails; one has had a queue."""
        flows = placed_flows.Flows(is_on=IS_ON)
        for number in range(1, 8):
            flows.beat(
                f"agent-{number}",
                flows=6,
                failed_percent=30 + number,
                response_ms=60.0 if number == 1 else 20.0,
            )
        assert len(flows.place()) == 7
        assert not flows.logged


class TestMix:
    """Requests of several routes, in other shares at each server."""

    def test_another_mix_does_not_make_a_server_slow(self) -> None:
        """One server has most of the uploads, six times the work each."""
        flows = placed_flows.Flows(is_on=IS_ON)
        for number in range(1, 8):
            works = [(STREAM, WORK_MS), (UPLOAD, 6 * WORK_MS)]
            has_uploads = number == 1
            flows.beat(
                f"agent-{number}",
                flows=1 if has_uploads else 6,
                busy=0.5,
                works=tuple(works[::-1] if has_uploads else works),
                response_ms=110.0 if has_uploads else 25.0,
            )
        chosen = flows.place()
        assert chosen["agent-1"] > 300
        assert not flows.logged

    def test_one_route_with_other_work_does_not(self) -> None:
        """One of three routes does other work at one server."""
        other = ((STREAM, WORK_MS), (UPLOAD, 60.0), (5, 150.0))
        flows = placed_flows.Flows(is_on=IS_ON)
        for number in range(1, 8):
            works = other if number == 1 else (*other[:2], (5, 15.0))
            flows.beat(
                f"agent-{number}",
                flows=3 if number == 1 else 6,
                works=works,
                response_ms=99.0 if number == 1 else 25.0,
            )
        assert flows.place()["agent-1"] > 300


class TestStaleNews:
    """Heartbeats that are late."""

    def test_late_heartbeat_does_not_make_an_agent_idle(self) -> None:
        """An idle agent was last heard a second ago; the others are busy."""
        flows = placed_flows.Flows(is_on=IS_ON)
        flows.beat("agent-1")
        flows.now_ms += 1000
        for number in range(2, 8):
            flows.beat(f"agent-{number}", busy=1.0)
        assert flows.place()["agent-1"] < 400 / 2


class TestUnevenServers:
    """A day of requests at servers with queues, against perfect knowledge."""

    def test_halves_the_distance_to_perfect_knowledge(self) -> None:
        """One of seven takes five times the work, at 40 to 80% of capacity.

        Callers open a flow for each request. Compared are the least loaded
        agent, the expected time, and a choice that knows all queues.
        """
        for every_ms in (8, 5, 4):
            perfect = _mean_time_ms("perfect", every_ms)
            loads = _mean_time_ms("loads", every_ms)
            times = _mean_time_ms("times" if IS_ON else "loads", every_ms)
            assert times - perfect < (loads - perfect) / 2


def _mean_time_ms(policy: str, every_ms: int) -> float:
    """Returns the mean time to an answer of requests at an interval.

    Heartbeats come each 400 ms.
    """
    works_ms = {f"agent-{n}": 100 if n == 1 else 20 for n in range(1, 8)}
    free_ms = dict.fromkeys(works_ms, 1_000_000)
    ends_ms: dict[str, list[int]] = collections.defaultdict(list)
    responses_ms = dict.fromkeys(works_ms, 20.0)
    flows = placed_flows.Flows(is_on=policy == "times")
    times_ms: list[int] = []
    for step in range(3000):
        flows.now_ms = now_ms = 1_000_000 + every_ms * step
        if now_ms % 400 == 0:
            for name, work_ms in works_ms.items():
                busy = sum(end > now_ms for end in ends_ms[name])
                flows.beat(
                    name,
                    flows=busy,
                    busy=float(busy),
                    works=((STREAM, float(work_ms)),),
                    response_ms=responses_ms[name],
                )
        if policy == "perfect":
            name = min(
                works_ms, key=lambda n: max(free_ms[n], now_ms) + works_ms[n]
            )
        else:
            best = flows.rank()[0]
            best.opens_since += 1
            name = best.name
        free_ms[name] = max(free_ms[name], now_ms) + works_ms[name]
        ends_ms[name].append(free_ms[name])
        times_ms.append(free_ms[name] - now_ms)
        responses_ms[name] += 0.1 * (times_ms[-1] - responses_ms[name])
    return sum(times_ms) / len(times_ms)
