"""Demo of the load balancer, with all roles in one process.

``python -m sapphirelift.demo`` starts a simulated object store, two balancers,
four agents with simulated backend servers, and callers, all on loopback. While
requests run, it stops an agent and a balancer gracefully, and withdraws and
restores a data centre. The exit status is 1 if any check failed.
"""

import sys
import time

import eventlet
import eventlet.wsgi

from sapphirelift import _agent_node
from sapphirelift import _balancer_node
from sapphirelift import messages
from sapphirelift import settings as settings_module
from sapphirelift.bench import fleet
from sapphirelift.bench import judge
from sapphirelift.callers import client
from sapphirelift.core.requests import caller as caller_core
from sapphirelift.core.requests import outcomes
from sapphirelift.operators import commands
from sapphirelift.platform import client as platform_client
from sapphirelift.standins import backend_server
from sapphirelift.standins import platform

SERVICE = "jasen-kauppa"
DATA_CENTRES = ("etela-a", "etela-b")
AGENTS = 4
SESSIONS = 16
THINK_TIME_S = 0.1
MAX_QUIET_AFTER_S = 3.0
READY_TIMEOUT_S = 10.0
PHASE_S = 2.0
_KEY_HEX = "5a" * 32


def _endpoint() -> settings_module.Endpoint:
    return settings_module.Endpoint("127.0.0.1", fleet.free_port())


class Hosts:
    """Object store, backend servers and daemons of the demo.

    Attributes:
        platform_url: Base URL of the object store.
        balancers: Balancers by name.
        agents: Agents by name.
        backends: Backend servers by the name of their agent.
    """

    def __init__(self) -> None:
        listener = eventlet.listen(("127.0.0.1", 0))
        self.platform_url = f"http://127.0.0.1:{listener.getsockname()[1]}"
        eventlet.spawn(
            eventlet.wsgi.server,
            listener,
            platform.PlatformApp(),
            log_output=False,
        )
        self.balancers: dict[str, _balancer_node.BalancerNode] = {}
        self.agents: dict[str, _agent_node.AgentNode] = {}
        self.backends: dict[str, backend_server.Backend] = {}

    def start_balancer(self, name: str) -> None:
        """Starts a balancer."""
        node = _balancer_node.BalancerNode(
            settings_module.Settings(
                name=name,
                role="balancer",
                data_centre=DATA_CENTRES[0],
                peer=_endpoint(),
                admin=_endpoint(),
                platform_url=self.platform_url,
                cluster_key_hex=_KEY_HEX,
                public=_endpoint(),
                stop_timeout_ms=5000,
            )
        )
        node.start()
        self.balancers[name] = node

    def start_agent(self, name: str, *, data_centre: str) -> None:
        """Starts a simulated backend server and its agent."""
        listener = eventlet.listen(("127.0.0.1", 0))
        backend = backend_server.Backend(
            backend_server.BackendOptions(name=name, service=SERVICE)
        )
        eventlet.spawn(backend_server.accept_forever, backend, listener)
        self.backends[name] = backend
        node = _agent_node.AgentNode(
            settings_module.Settings(
                name=name,
                role="agent",
                data_centre=data_centre,
                peer=_endpoint(),
                admin=_endpoint(),
                platform_url=self.platform_url,
                cluster_key_hex=_KEY_HEX,
                backend=settings_module.BackendSettings(
                    "127.0.0.1", listener.getsockname()[1], SERVICE
                ),
                stop_timeout_ms=8000,
            )
        )
        node.start()
        self.agents[name] = node

    def wait_ready(self) -> bool:
        """Waits until each balancer knows all agents.

        Returns:
            False if that takes longer than ``READY_TIMEOUT_S``.
        """
        with eventlet.Timeout(READY_TIMEOUT_S, False):
            while not all(
                len(node.members.with_role("agent")) == len(self.agents)
                for node in self.balancers.values()
            ):
                eventlet.sleep(0.05)
            return True
        return False

    def addresses(self) -> list[messages.Address]:
        """Returns the ready balancers, the only ones that get traffic."""
        return [
            node.public.address
            for node in self.balancers.values()
            if node.is_ready
        ]

    def runs(self) -> list[judge.Run]:
        """Returns the runs that all backend servers have recorded."""
        runs: list[judge.Run] = []
        for name, backend in self.backends.items():
            runs += judge.read_runs(name, SERVICE, backend.runs)
        return runs


class Traffic:
    """A caller whose sessions send requests continuously.

    Attributes:
        hosts: Daemons that serve the requests.
        requests: Requests with their outcomes.
        losses: Flows that broke.
        caller: The caller.
    """

    def __init__(self, hosts: Hosts) -> None:
        self.hosts = hosts
        self.requests: list[judge.Request] = []
        self.losses: list[judge.FlowLoss] = []
        self.caller = client.Caller(hosts.addresses(), seed=1)
        self.caller.on_notice = self._on_notice
        self._is_stopped = False
        self._tasks = [
            eventlet.spawn(self._run_sessions, number)
            for number in range(SESSIONS)
        ]
        eventlet.spawn(self._refresh_balancers)

    def stop(self) -> None:
        """Stops sending and waits for the running requests."""
        self._is_stopped = True
        for task in self._tasks:
            task.wait()
        self.caller.close()

    def _on_notice(self, notice: caller_core.Notice) -> None:
        match notice:
            case caller_core.FlowBroken(session_id, reason):
                owner = self.caller.owners.get(session_id, "")
                self.losses.append(judge.FlowLoss(time.time(), owner, reason))

    def _refresh_balancers(self) -> None:
        while not self._is_stopped:
            self.caller.balancers = self.hosts.addresses()
            eventlet.sleep(0.1)

    def _run_sessions(self, number: int) -> None:
        count = 0
        while not self._is_stopped:
            session = self.caller.open(SERVICE)
            # Opens a new session after 20 requests, so that restored agents
            # get flows again.
            for _ in range(20):
                if self._is_stopped:
                    break
                count += 1
                self._request(session, f"{number}.{count}")
                eventlet.sleep(THINK_TIME_S)
            session.close()

    def _request(self, session: client.Session, logical_id: str) -> None:
        sent_s = time.time()
        body = logical_id.encode() * 100
        outcome = session.request(
            "POST", f"/echo?id={logical_id}", body=body, idempotent=False
        )
        self.requests.append(
            judge.Request(
                logical_id=logical_id,
                service=SERVICE,
                caller="demo",
                idempotent=False,
                sent_s=sent_s,
                done_s=time.time(),
                outcome=_kind(outcome),
                reason="",
                is_intact=outcome == outcomes.Answered(200, body),
            )
        )


def _kind(outcome: outcomes.Outcome) -> str:
    match outcome:
        case outcomes.Answered():
            return judge.ANSWERED
        case outcomes.NotRun():
            return judge.NOT_RUN
        case outcomes.Unknown():
            return judge.UNKNOWN


class Demo:
    """Steps of the demo and the checks after each of them.

    Attributes:
        all_passed: Whether no check has failed so far.
        hosts: Daemons that the steps act on.
    """

    def __init__(self) -> None:
        self.all_passed = True
        self.hosts = Hosts()

    def run(self) -> bool:
        """Runs all steps; returns whether every check passed."""
        hosts = self.hosts
        for name in ("balancer-1", "balancer-2"):
            hosts.start_balancer(name)
        for number in range(AGENTS):
            hosts.start_agent(
                f"agent-{number + 1}", data_centre=DATA_CENTRES[number % 2]
            )
        self._check(
            hosts.wait_ready(), f"2 balancers know {AGENTS} agents of {SERVICE}"
        )
        traffic = Traffic(hosts)
        eventlet.sleep(PHASE_S)
        self._stop_agent(traffic)
        self._stop_balancer(traffic)
        withdrawal = self._withdraw()
        traffic.stop()
        self._check_outcomes(traffic, withdrawal)
        return self.all_passed

    def _stop_agent(self, traffic: Traffic) -> None:
        print("stopping agent-1 gracefully")
        node = self.hosts.agents["agent-1"]
        node.stop()
        node.peer.stop()
        stopped_s = time.time()
        eventlet.sleep(PHASE_S / 2)
        late = [
            run
            for run in self.hosts.runs()
            if run.target == "agent-1" and run.started_s > stopped_s
        ]
        moved = traffic.caller.moved_flows
        self._check(moved > 0, f"{moved} flows moved to other agents")
        self._check(
            not node.core.flows and not late,
            "agent-1 has no flows and gets no more requests",
        )

    def _stop_balancer(self, traffic: Traffic) -> None:
        print("stopping balancer-1 gracefully")
        node = self.hosts.balancers["balancer-1"]
        broken = len(traffic.losses)
        node.stop()
        node.peer.stop()
        node.public.stop()
        eventlet.sleep(PHASE_S / 2)
        self._check(
            len(traffic.losses) == broken,
            "no flow broke; balancer-2 serves all flows",
        )

    def _withdraw(self) -> judge.Interval:
        name = DATA_CENTRES[1]
        operator = commands.Commands(
            platform_client.ObjectClient(self.hosts.platform_url)
        )
        begin_s = time.time()
        print(f"withdraw: {operator.withdraw(name)}")
        eventlet.sleep(MAX_QUIET_AFTER_S + PHASE_S)
        withdrawal = judge.Interval(begin_s, time.time())
        inside = {
            agent
            for agent, node in self.hosts.agents.items()
            if node.settings.data_centre == name
        }
        quiet_s = judge.time_to_last_run_s(
            self.hosts.runs(), inside, withdrawal
        )
        self._check(
            quiet_s <= MAX_QUIET_AFTER_S,
            f"last run in {name} after {quiet_s:.2f} s",
        )
        print(f"restore: {operator.restore(name)}")
        restored_s = time.time()
        eventlet.sleep(2 * PHASE_S)
        returned = [
            run
            for run in self.hosts.runs()
            if run.target in inside and run.started_s > restored_s
        ]
        self._check(
            bool(returned), f"{len(returned)} runs in {name} after the restore"
        )
        return withdrawal

    def _check_outcomes(
        self, traffic: Traffic, withdrawal: judge.Interval
    ) -> None:
        withdrawn = {
            agent: [withdrawal]
            for agent, node in self.hosts.agents.items()
            if node.settings.data_centre == DATA_CENTRES[1]
        }
        broken, abandoned = judge.split_losses(traffic.losses, withdrawn)
        violations = judge.find_violations(traffic.requests, self.hosts.runs())
        answered = sum(r.outcome == judge.ANSWERED for r in traffic.requests)
        unknown = [
            r
            for r in traffic.requests
            if r.outcome == judge.UNKNOWN
            and not withdrawal.begin_s <= r.done_s <= withdrawal.end_s
        ]
        total = len(traffic.requests)
        self._check(answered > 0, f"{total} requests, {answered} answered")
        self._check(
            not broken,
            f"{len(broken)} flows broken, {len(abandoned)} abandoned in the "
            "withdrawn data centre",
        )
        self._check(
            not unknown, f"{len(unknown)} requests interrupted by planned stops"
        )
        self._check(violations.double_runs == 0, "no request ran twice")
        self._check(
            violations.false_not_run == 0,
            "no request reported as not run was run",
        )
        self._check(
            violations.wrong_answers == 0,
            "every answer belongs to its request",
        )

    def _check(self, passed: bool, text: str) -> None:
        self.all_passed = self.all_passed and passed
        print(f"  {'ok' if passed else 'FAILED'}: {text}", flush=True)


def main() -> int:
    """Runs the demo; returns its exit status."""
    eventlet.monkey_patch(thread=False)
    return 0 if Demo().run() else 1


if __name__ == "__main__":
    sys.exit(main())
