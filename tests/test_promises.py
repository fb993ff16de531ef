"""End-to-end tests of the promises of section 1.2 under faults.

The assertions rely on callers' outcomes, the backend servers' records of runs
and packets that arrive at an address, but not on the daemons' counters.
"""

import socket
import time
from collections.abc import Iterator

import eventlet
import pytest
import xxhash
from eventlet import tpool

from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.bench import judge
from sapphirelift.callers import client
from sapphirelift.core import keys
from sapphirelift.core.flows import token
from sapphirelift.core.requests import outcomes
from sapphirelift.platform import client as platform_client
from tests import processes

SERVICE = "pakkaamo"
ANSWER = outcomes.Answered(200, b"tray")
WITHDRAWN_BOUND_S = 3.0
LEAVING_BOUND_S = 3.0
CALLER_KINDS = (messages.Kind.FORWARD, messages.Kind.OPEN_FORWARD)


def set_withdrawn(fleet: processes.Fleet, out: bool) -> None:
    """Withdraws the data centre etela-b or returns it to service."""
    platform_client.ObjectClient(fleet.platform_url).put(
        "records/data_centre/etela-b",
        {
            "schema_version": 2,
            "kind": "data_centre",
            "name": "etela-b",
            "withdrawn": out,
        },
    )


def open_on_each(
    caller: client.Caller, *agents: str, count: int = 12
) -> list[client.Session]:
    """Opens sessions until each of the agents has one."""
    sessions: list[client.Session] = []
    end_s = time.monotonic() + 10
    while len(sessions) < count or not {s.agent for s in sessions} >= {*agents}:
        assert time.monotonic() < end_s, "an agent gets no flow"
        sessions.append(caller.open(SERVICE))
    return sessions


def caller_packets(listener: socket.socket, *, seconds: float) -> Iterator[int]:
    """Yields the kinds of forwarded caller packets that reach an address."""
    end_s = time.monotonic() + seconds
    listener.setblocking(False)
    while time.monotonic() < end_s:
        try:
            data = listener.recv(65_535)
        except BlockingIOError:
            eventlet.sleep(0.02)
            continue
        if len(data) > 2 and data[2] in CALLER_KINDS:
            yield data[2]


class TestWithdrawnDataCentre:
    """P4: no packet to a withdrawn data centre after the time bound."""

    def test_backlog_of_frozen_balancer_is_not_forwarded(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against queued packets forwarded by outdated records.

        The platform is slow and the watch of another balancer is silent. A
        socket bound to the address of the withdrawn agent receives every
        packet sent there.
        """
        fleet.start_platform()
        for number in range(3):
            fleet.start_balancer(f"balancer-{number}")
        fleet.start_agent("agent-a", service=SERVICE)
        for seed in (21, 22):
            fleet.start_agent("agent-b", service=SERVICE, data_centre="etela-b")
            fleet.wait_ready(agents=2)
            caller = client.Caller(list(fleet.public.values()), seed=seed)
            sessions = open_on_each(caller, "agent-a", "agent-b")
            fleet.set_platform_faults(
                delay_ms=500, silent_clients=["balancer-2"]
            )
            fleet.freeze("balancer-0")
            for session in sessions * 5:
                eventlet.spawn(session.request, "POST", "/echo", body=b"tray")
            eventlet.sleep(0.5)
            set_withdrawn(fleet, True)
            eventlet.sleep(WITHDRAWN_BOUND_S + 0.2)
            fleet.kill("agent-b")
            address = ("127.0.0.1", fleet.peer_ports["agent-b"])
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as listener:
                listener.bind(address)
                fleet.resume("balancer-0")
                assert list(caller_packets(listener, seconds=1.5)) == []
            # All flows continue in the other data centre through the resumed
            # balancer at once.
            caller.balancers = [fleet.public["balancer-0"]]
            for session in sessions:
                assert session.request("POST", "/echo", body=b"tray") == ANSWER
            in_b = sum(s.agent == "agent-b" for s in sessions)
            assert in_b == 0
            caller.close()
            fleet.set_platform_faults()
            set_withdrawn(fleet, False)
            processes.wait_until(
                lambda: (
                    not any(
                        fleet.dump(name)["withdrawn"] for name in fleet.public
                    )
                ),
                timeout_s=7,
            )


def wait_exit(fleet: processes.Fleet, name: str) -> int:
    """Waits for a process to end while the callers keep running."""
    with eventlet.Timeout(40):
        while fleet.is_running(name):
            eventlet.sleep(0.05)
    return fleet.wait_exit(name)


def put_service_record(fleet: processes.Fleet, number: int) -> None:
    """Changes the record of the service."""
    platform_client.ObjectClient(fleet.platform_url).put(
        f"records/service/{SERVICE}",
        {
            "schema_version": 2,
            "kind": "service",
            "name": SERVICE,
            "branch": "pihlajakoti",
            "overrides": {"flows.max_per_target": 1000 + number},
        },
    )


class TestEstablishedFlows:
    """P1: established flows survive planned changes and dead balancers."""

    def test_many_flows_survive_several_changes_at_once(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against flows broken where changes overlap.

        A balancer is killed, one stops, two start, an agent drains, one
        starts, a record changes and the platform goes down.
        """
        fleet.start_platform()
        for number in range(3):
            fleet.start_balancer(f"balancer-{number}")
        for number in range(3):
            fleet.start_agent(f"agent-{number}", service=SERVICE, slots=8)
        # Started before the traffic, because waiting for its start would block
        # the callers.
        fleet.start_backend("agent-3", service=SERVICE)
        fleet.wait_ready(agents=3)
        caller = client.Caller(list(fleet.public.values()), seed=31)
        sessions = [caller.open(SERVICE) for _ in range(300)]
        ended: list[outcomes.Outcome] = []

        def send_requests(session: client.Session) -> None:
            while not done:
                ended.append(
                    session.request(
                        "POST",
                        "/echo",
                        body=b"tray",
                        idempotent=False,
                        deadline_ms=20_000,
                    )
                )
                eventlet.sleep(1.0)

        done: list[bool] = []
        tasks = [eventlet.spawn(send_requests, session) for session in sessions]
        eventlet.sleep(0.5)
        fleet.terminate("agent-0")
        fleet.terminate("balancer-1")
        fleet.kill("balancer-0")
        put_service_record(fleet, 1)
        fleet.start_balancer("balancer-3")
        fleet.start_agent("agent-3", service=SERVICE, slots=8)
        eventlet.sleep(1.0)
        # By now the health checks of the fabric have removed the balancers.
        del fleet.public["balancer-0"], fleet.public["balancer-1"]
        caller.balancers = list(fleet.public.values())
        fleet.set_platform_faults(down=True)
        fleet.start_balancer(
            "balancer-4",
            neighbours=[
                {"ip": "127.0.0.1", "port": fleet.peer_ports["balancer-2"]}
            ],
        )
        eventlet.sleep(2.0)
        caller.balancers = list(fleet.public.values())
        fleet.terminate("balancer-2")
        eventlet.sleep(1.0)
        del fleet.public["balancer-2"]
        caller.balancers = list(fleet.public.values())
        eventlet.sleep(2.0)
        done.append(True)
        for task in tasks:
            task.wait()
        assert caller.broken_flows == 0
        assert set(ended) == {ANSWER}
        assert ended.count(ANSWER) > 3 * len(sessions)
        assert "agent-0" not in {session.agent for session in sessions}
        assert wait_exit(fleet, "agent-0") == 0
        runs = sum(len(fleet.runs(f"agent-{n}")) for n in range(4))
        assert runs == ended.count(ANSWER)
        caller.close()


class TestForgedTokens:
    """P2: requests with a token not issued for their flow are never run."""

    def test_altered_tokens_reach_no_service(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against a field of the token that no hash covers."""
        fleet.start_platform()
        fleet.start_balancer("balancer")
        fleet.start_agent("agent-a", service=SERVICE)
        fleet.start_agent("agent-b", service="jasen-kauppa")
        fleet.wait_ready(agents=2)
        own_key, other_key = b"o" * 16, b"p" * 16
        public = fleet.public["balancer"]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.settimeout(5)
            opening = messages.Open(SERVICE, 0)
            sender.sendto(
                wire.encode_caller(messages.Kind.OPEN, own_key, opening), public
            )
            issued = wire.decode_caller(sender.recv(65_535)).token

            def send(flow_key: bytes, flow_token: bytes, name: str) -> None:
                body = messages.Request(
                    request_id=1,
                    fragment_index=0,
                    fragment_count=1,
                    body_hash=xxhash.xxh64_intdigest(b""),
                    deadline_ms=3000,
                    idempotent=False,
                    method="POST",
                    path=f"/echo?id={name}",
                    payload=b"",
                )
                data = wire.encode_caller(
                    messages.Kind.REQUEST, flow_key, body, flow_token=flow_token
                )
                sender.sendto(data, public)

            send(other_key, issued, "stolen")
            for index in range(len(issued)):
                altered = bytearray(issued)
                altered[index] ^= 1
                send(own_key, bytes(altered), f"altered-{index}")
            # The hash is valid, but the token names the agent of the other
            # service.
            ring = keys.KeyRing(
                0, {0: bytes.fromhex(processes.CLUSTER_KEY_HEX)}
            )
            opened = token.unseal(issued, own_key, ring)
            port = fleet.peer_ports["agent-b"]
            moved = opened._replace(owner_port=port)
            send(own_key, token.seal(moved, own_key, ring), "address-reused")
            stale = opened._replace(incarnation=opened.incarnation - 1)
            send(own_key, token.seal(stale, own_key, ring), "stale")
            send(own_key, issued, "genuine")
            processes.wait_until(lambda: fleet.runs("agent-a"))
            eventlet.sleep(0.5)
        assert [run["id"] for run in fleet.runs("agent-a")] == ["genuine"]
        assert fleet.runs("agent-b") == []


class TestColdBackendServer:
    """P3: a new backend server gets no more load than it can handle."""

    def test_all_balancers_discover_backend_at_once(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against a limit applied per balancer instead of in total.

        The health endpoint of the stand-in reports healthy all the time.
        """
        fleet.start_platform()
        for number in range(4):
            fleet.start_balancer(f"balancer-{number}")
        fleet.start_agent("agent-warm", service=SERVICE)
        fleet.wait_ready(agents=1)
        callers = [
            client.Caller([address], seed=seed)
            for seed, address in enumerate(fleet.public.values())
        ]
        done: list[bool] = []

        def send_requests(caller: client.Caller) -> None:
            while not done:
                session = caller.open(SERVICE)
                for _ in range(3):
                    session.request("POST", "/echo", deadline_ms=1000)
                session.close()

        tasks = [
            eventlet.spawn(send_requests, c) for c in callers for _ in range(8)
        ]
        cold = {"cold_ms": 3000, "cold_slots": 1, "cold_starts_per_s": 60}
        fleet.start_agent(
            "agent-cold", service=SERVICE, ramp_ms=8000, backend=cold
        )
        # In a thread, so that the callers go on. The time for its 20 runs
        # begins when the balancers know the agent.
        tpool.execute(fleet.wait_ready, agents=2)
        eventlet.sleep(6.0)
        done.append(True)
        for task in tasks:
            task.wait()
        counters = fleet.counters("agent-cold")
        assert counters["runs"] > 20
        assert "cold_overload" not in counters
        for caller in callers:
            caller.close()


class TestPlannedStop:
    """P8, P9: a planned stop ends new work and interrupts no request."""

    @pytest.mark.parametrize("down", [False, True])
    def test_leaving_agent(self, fleet: processes.Fleet, down: bool) -> None:
        """Guards against interrupted requests and new work after a stop.

        Heartbeats reach three of the four balancers. With the platform down,
        nobody informs the fourth balancer of the stop.
        """
        fleet.start_platform()
        for number in range(4):
            fleet.start_balancer(f"balancer-{number}")
        for number in range(2):
            fleet.start_agent(f"agent-{number}", service=SERVICE)
        fleet.wait_ready(agents=2)
        callers = [
            client.Caller([address], seed=seed)
            for seed, address in enumerate(fleet.public.values())
        ]
        caller = callers[0]
        sessions = open_on_each(caller, "agent-0", "agent-1", count=2)
        leaving = next(s for s in sessions if s.agent == "agent-0")
        running = eventlet.spawn(
            leaving.request,
            "POST",
            "/echo?id=running&work_ms=5000",
            body=b"tray",
            idempotent=False,
            deadline_ms=15_000,
        )
        with eventlet.Timeout(5):
            while not fleet.runs("agent-0"):
                eventlet.sleep(0.05)
        fleet.set_platform_faults(down=down)
        stopped_s = time.time()
        fleet.terminate("agent-0")
        opened = 0
        while time.time() < stopped_s + LEAVING_BOUND_S + 1.5:
            for each in callers:
                session = each.open(SERVICE)
                assert session.request("POST", "/echo", body=b"tray") == ANSWER
                session.close()
                opened += 1
            eventlet.sleep(0.05)
        assert opened > 20
        late = [
            run
            for run in fleet.runs("agent-0")
            if run["started_s"] > stopped_s + LEAVING_BOUND_S
        ]
        assert late == []
        assert running.wait() == ANSWER
        assert wait_exit(fleet, "agent-0") == 0
        ends = {r["id"]: r["end"] for r in fleet.runs("agent-0")}
        assert ends["running"] == "completed"
        for each in callers:
            assert each.broken_flows == 0
            each.close()

    @pytest.mark.parametrize("down", [False, True])
    def test_leaving_balancer(self, fleet: processes.Fleet, down: bool) -> None:
        """Guards against answers lost with the balancer that stops."""
        fleet.start_platform()
        for number in range(2):
            fleet.start_balancer(f"balancer-{number}")
            fleet.start_agent(f"agent-{number}", service=SERVICE, slots=16)
        fleet.wait_ready(agents=2)
        caller = client.Caller([fleet.public["balancer-0"]], seed=41)
        sessions = [caller.open(SERVICE) for _ in range(12)]
        tasks = [
            eventlet.spawn(
                session.request,
                "POST",
                f"/echo?id={number}&work_ms={number * 250 + 50}",
                body=b"tray",
                idempotent=False,
                deadline_ms=15_000,
            )
            for number, session in enumerate(sessions)
        ]
        eventlet.sleep(0.1)
        fleet.set_platform_faults(down=down)
        fleet.terminate("balancer-0")
        # It forwards until the fabric has switched to the other balancer.
        probe = caller.open(SERVICE)
        for _ in range(10):
            outcome = probe.request("POST", "/echo?id=-1", body=b"tray")
            assert outcome == ANSWER
        caller.balancers = [fleet.public["balancer-1"]]
        assert {task.wait() for task in tasks} == {ANSWER}
        assert wait_exit(fleet, "balancer-0") == 0
        runs = fleet.runs("agent-0") + fleet.runs("agent-1")
        ids = sorted(int(run["id"]) for run in runs if run["id"] != "-1")
        assert ids == list(range(12))
        assert {run["end"] for run in runs} == {"completed"}
        assert caller.broken_flows == 0
        caller.close()


class TestSilentConnections:
    """Connections that go silent while new ones work."""

    def test_caller_path(self, fleet: processes.Fleet) -> None:
        """Guards against a caller that keeps using a silent network path."""
        fleet.start_platform()
        fleet.start_balancer("balancer")
        fleet.start_agent("agent", service=SERVICE)
        fleet.wait_ready(agents=1)
        address = fleet.start_fault_proxy(
            "proxy", target=fleet.public["balancer"], kind="udp"
        )
        caller = client.Caller([address], seed=51)
        session = caller.open(SERVICE)
        for _ in range(2):
            processes.post_json(
                fleet.fault_admin_ports["proxy"], "/silence", {}
            )
            outcome = session.request(
                "POST", "/echo", body=b"tray", deadline_ms=7000
            )
            assert outcome == ANSWER
        assert caller.broken_flows == 0
        caller.close()

    def test_keep_alive_connection(self, fleet: processes.Fleet) -> None:
        """Guards against an agent that keeps using a dead connection."""
        fleet.start_platform()
        fleet.start_balancer("balancer")
        fleet.start_backend("agent", service=SERVICE)
        direct = fleet.backend_ports["agent"]
        proxied = fleet.start_fault_proxy(
            "proxy", target=messages.Address("127.0.0.1", direct), kind="tcp"
        )
        fleet.backend_ports["agent"] = proxied.port
        fleet.start_agent("agent", service=SERVICE)
        fleet.wait_ready(agents=1)
        caller = client.Caller(list(fleet.public.values()), seed=52)
        session = caller.open(SERVICE)
        for _ in range(2):
            assert session.request("POST", "/echo", body=b"tray") == ANSWER
            processes.post_json(
                fleet.fault_admin_ports["proxy"], "/silence", {}
            )
            end_s = time.monotonic() + 7
            while True:
                outcome = session.request(
                    "POST", "/echo", body=b"tray", deadline_ms=1000
                )
                if outcome == ANSWER:
                    break
                assert isinstance(outcome, outcomes.Unknown)
                assert time.monotonic() < end_s, "not replaced within seconds"
        caller.close()


class TestFragments:
    """P5: answers in many fragments while a balancer is killed."""

    def test_own_whole_answer_despite_a_killed_balancer(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against fragments lost, mixed up or repeated.

        A balancer is killed while requests and answers of about 170 fragments
        each are in flight on lossy paths.
        """
        fleet.start_platform()
        proxies = []
        for number in range(2):
            fleet.start_balancer(f"balancer-{number}")
            fleet.start_agent(f"agent-{number}", service=SERVICE)
            proxies.append(
                fleet.start_fault_proxy(
                    f"proxy-{number}",
                    target=fleet.public[f"balancer-{number}"],
                    kind="udp",
                )
            )
        fleet.wait_ready(agents=2)
        caller = client.Caller(proxies, seed=71)
        sessions = [caller.open(SERVICE) for _ in range(8)]
        for number in range(2):
            fleet.set_faults(
                f"proxy-{number}", drop=0.05, duplicate=0.2, reorder=0.2
            )
        bodies = [bytes([number]) * 200_000 for number in range(8)]
        tasks = [
            eventlet.spawn(
                session.request,
                "POST",
                f"/echo?id={number}",
                body=body,
                idempotent=False,
                deadline_ms=20_000,
            )
            for number, (session, body) in enumerate(
                zip(sessions, bodies, strict=True)
            )
        ]
        eventlet.sleep(0.3)
        assert not any(task.dead for task in tasks)
        fleet.kill("balancer-0")
        eventlet.sleep(0.5)
        # By now the health checks of the fabric have removed the balancer.
        caller.balancers = proxies[1:]
        for body, task in zip(bodies, tasks, strict=True):
            assert task.wait() == outcomes.Answered(200, body)
        runs = fleet.runs("agent-0") + fleet.runs("agent-1")
        assert sorted(int(run["id"]) for run in runs) == list(range(8))
        assert caller.broken_flows == 0
        caller.close()


class TestCombinations:
    """Simultaneous faults, from a fixed list of seeds (P2, P5 to P7)."""

    @pytest.mark.parametrize(
        ("seed", "events"),
        [
            (61, ("kill balancer-0", "freeze agent-0", "platform down")),
            (62, ("kill agent-0", "start agent-0", "terminate balancer-1")),
            (63, ("terminate agent-1", "kill agent-0-backend", "record")),
        ],
    )
    def test_outcomes_match_the_runs(
        self, fleet: processes.Fleet, seed: int, events: tuple[str, ...]
    ) -> None:
        """Guards against wrong answers, double runs and a false NotRun.

        Packets between callers and balancers are lost, duplicated and
        reordered.
        """
        fleet.start_platform()
        for number in range(2):
            fleet.start_balancer(f"balancer-{number}")
        for number in range(3):
            fleet.start_agent(f"agent-{number}", service=SERVICE)
        fleet.wait_ready(agents=3)
        proxies = []
        for number in range(2):
            name = f"proxy-{number}"
            target = fleet.public[f"balancer-{number}"]
            proxies.append(
                fleet.start_fault_proxy(
                    name, target=target, kind="udp", seed=seed
                )
            )
            fleet.set_faults(name, drop=0.08, duplicate=0.2, reorder=0.2)
        caller = client.Caller(proxies, seed=seed)
        sessions = [caller.open(SERVICE) for _ in range(12)]
        requests: list[judge.Request] = []
        done: list[bool] = []

        def send_requests(number: int, session: client.Session) -> None:
            turn = 0
            while not done:
                turn += 1
                logical_id = f"{number}-{turn}"
                body = logical_id.encode() * 900
                idempotent = turn % 3 == 0
                sent_s = time.time()
                outcome = session.request(
                    "POST",
                    f"/echo?id={logical_id}&work_ms=20",
                    body=body,
                    idempotent=idempotent,
                    deadline_ms=3000,
                )
                requests.append(
                    judge.Request(
                        logical_id=logical_id,
                        service=SERVICE,
                        caller=str(number),
                        idempotent=idempotent,
                        sent_s=sent_s,
                        done_s=time.time(),
                        outcome={
                            outcomes.Answered: judge.ANSWERED,
                            outcomes.NotRun: judge.NOT_RUN,
                            outcomes.Unknown: judge.UNKNOWN,
                        }[type(outcome)],
                        reason="",
                        is_intact=outcome == outcomes.Answered(200, body),
                    )
                )

        tasks = [
            eventlet.spawn(send_requests, *pair) for pair in enumerate(sessions)
        ]
        # Runs that a killed backend server recorded.
        records = []
        for event in events:
            eventlet.sleep(0.7)
            match event.split():
                case ["kill", name]:
                    if name.endswith("-backend"):
                        records += fleet.runs(name.removesuffix("-backend"))
                    fleet.kill(name)
                case ["start", name]:
                    fleet.start_agent(name, service=SERVICE)
                case ["terminate", name]:
                    fleet.terminate(name)
                case ["freeze", name]:
                    fleet.freeze(name)
                    eventlet.spawn_after(2.0, fleet.resume, name)
                case ["platform", "down"]:
                    fleet.set_platform_faults(down=True)
                case ["record"]:
                    put_service_record(fleet, 2)
        eventlet.sleep(3.0)
        done.append(True)
        for task in tasks:
            task.wait()
        for name in fleet.backend_ports:
            if fleet.is_running(f"{name}-backend"):
                records += fleet.runs(name)
        verdict = judge.find_violations(
            requests, judge.read_runs("any", SERVICE, records)
        )
        assert verdict.double_runs == 0, verdict.ids
        assert verdict.false_not_run == 0, verdict.ids
        assert verdict.wrong_answers == 0, verdict.ids
        # The records of a killed backend server, read before the kill, lack its
        # last answers.
        if not any("-backend" in event for event in events):
            assert verdict.answers_without_run == 0, verdict.ids
        answered = sum(r.outcome == judge.ANSWERED for r in requests)
        assert answered > len(sessions) * 5
        caller.close()
