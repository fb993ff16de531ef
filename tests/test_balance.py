"""Load balancing of requests, with real processes."""

import collections

import eventlet

from sapphirelift.callers import client
from sapphirelift.core.requests import outcomes
from tests import processes

SERVICE = "pakkaamo"


class TestRequestBalance:
    """Requests of one flow on several backend servers."""

    def test_busy_flow_is_shared_and_runs_once(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against requests that are never transferred or run twice."""
        names = [f"agent-{number}" for number in range(3)]
        fleet.start_platform()
        fleet.start_balancer("balancer-1")
        for name in names:
            fleet.start_agent(name, service=SERVICE, backend={"work_ms": 100})
        fleet.wait_ready(agents=3)
        processes.wait_until(
            lambda: all(len(fleet.dump(n)["load_peers"]) == 2 for n in names)
        )
        caller = client.Caller(list(fleet.public.values()), seed=1)
        session = caller.open(SERVICE)
        pool = eventlet.GreenPool()
        sent = [
            pool.spawn(
                session.request, "GET", f"/x?id={number}", idempotent=False
            )
            for number in range(40)
        ]
        for task in sent:
            assert isinstance(task.wait(), outcomes.Answered)
        runs = {name: fleet.runs(name) for name in names}
        run_counts = collections.Counter(
            run["query"] for agent_runs in runs.values() for run in agent_runs
        )
        assert run_counts == {f"id={number}": 1 for number in range(40)}
        assert all(runs.values())
        caller.close()
