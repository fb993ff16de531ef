"""The request path from caller to backend server, with real processes."""

import eventlet

from sapphirelift.callers import client
from sapphirelift.core.requests import outcomes
from tests import processes

SERVICE = "jasen-kauppa"


def start(fleet: processes.Fleet) -> None:
    """Starts a platform, two balancers and three agents."""
    fleet.start_platform()
    fleet.start_balancer("balancer-1")
    fleet.start_balancer("balancer-2")
    for number in range(3):
        fleet.start_agent(f"agent-{number}", service=SERVICE)
    fleet.wait_ready(agents=3)


class TestRequestPath:
    """A caller's request through balancers, agent and backend server."""

    def test_answer_is_whole_over_two_balancers(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against fragments lost or mixed between balancers."""
        start(fleet)
        caller = client.Caller(list(fleet.public.values()), seed=1)
        session = caller.open(SERVICE)
        body = bytes(range(256)) * 200
        outcome = session.request("POST", "/echo", body=body)
        assert outcome == outcomes.Answered(200, body)
        caller.close()

    def test_balancer_stop_breaks_no_flow(self, fleet: processes.Fleet) -> None:
        """Guards against a flow that depends on the balancer that opened it."""
        start(fleet)
        caller = client.Caller(list(fleet.public.values()), seed=2)
        sessions = [caller.open(SERVICE) for _ in range(10)]
        fleet.terminate("balancer-1")
        for _ in range(20):
            for session in sessions:
                outcome = session.request("POST", "/echo", body=b"jar")
                assert outcome == outcomes.Answered(200, b"jar")
            eventlet.sleep(0.02)
        caller.balancers = [fleet.public["balancer-2"]]
        assert fleet.wait_exit("balancer-1") == 0
        for session in sessions:
            outcome = session.request("POST", "/echo", body=b"jar")
            assert outcome == outcomes.Answered(200, b"jar")
        assert caller.broken_flows == 0
        caller.close()

    def test_agent_stop_moves_flows(self, fleet: processes.Fleet) -> None:
        """Guards against a drain that breaks flows or interrupts requests."""
        start(fleet)
        caller = client.Caller(list(fleet.public.values()), seed=3)
        sessions = [caller.open(SERVICE) for _ in range(12)]
        leaving = sessions[0].agent
        fleet.terminate(leaving)
        for _ in range(20):
            for session in sessions:
                outcome = session.request(
                    "POST", "/echo", body=b"jar", idempotent=False
                )
                assert outcome == outcomes.Answered(200, b"jar")
        assert fleet.wait_exit(leaving) == 0
        assert caller.broken_flows == 0
        assert caller.moved_flows > 0
        assert leaving not in {session.agent for session in sessions}
        caller.close()
