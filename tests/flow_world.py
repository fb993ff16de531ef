"""Random days of a simulated network, judged by what becomes of open flows.

Servers, agents and balancers come and go by plan or without, overlapping, and
wrong, late and early things are said about them. A broken flow is one that is
reset while its server lives and has it, or one of which three packets or more
reach other servers within two seconds and none its own. Kills of an agent
suspend the judgement of its server's flows for the contact time.
"""

import random
from collections.abc import Callable

from sapphirelift.core.l4 import packet
from sapphirelift.platform import packets
from sapphirelift.standins import flow_ends
from sapphirelift.standins import packet_network

FLOWS = 12
STEP_MS = 100
CONTACT_MS = 4000
# Bound of the platform: ``STRAYS`` packets at other servers in this time, and
# none at their own.
WINDOW_MS = 2000
STRAYS = 3
# Idle flows may be discarded after the idle timeout, 15 s.
REQUEST_EVERY_MS = (200, 8000)


class FlowWorld:
    """One random day.

    Attributes:
        broken: A line for each broken flow.
        events: What was done, with its time.
        answers: Requests answered.
    """

    def __init__(self, seed: int, *, has_late_copies: bool = False) -> None:
        """Creates the day.

        Args:
            seed: Seed of everything random in it.
            has_late_copies: Whether opening packets come again, at any time.
        """
        self._has_late_copies = has_late_copies
        self.broken: list[str] = []
        self.events: list[str] = []
        self.answers = 0
        self._rng = random.Random(f"flows {seed}")
        self._net = packet_network.Network(
            seed, loss=self._rng.choice([0.0, 0.0, 0.02])
        )
        hosts = self._rng.randint(3, 6)
        self._hosts = [self._net.add_agent() for _ in range(hosts)]
        for _ in range(self._rng.randint(2, 3)):
            self._net.add_balancer()
        self._calm_from_ms = dict.fromkeys([h.name for h in self._hosts], 0)
        self._busy: set[str] = set()
        self._flows: list[flow_ends.CallerFlow] = []
        self._due_ms: dict[packet.FlowKey, int] = {}
        self._openings: dict[packet.FlowKey, bytes] = {}
        # When packets have reached other servers, and last their own.
        self._strays_ms: dict[packet.FlowKey, list[int]] = {}
        self._own_ms: dict[packet.FlowKey, int] = {}
        for host in self._hosts:
            self._watch_server(host)
        self._net.run(1500)

    def run(self, duration_ms: int) -> list[str]:
        """Plays events for a time; returns the broken flows."""
        end_ms = self._net.now_ms + duration_ms
        while self._net.now_ms < end_ms:
            self._use_flows()
            if self._rng.random() < 0.12:
                self._rng.choice(self._kinds())()
            self._net.run(STEP_MS)
        return self.broken

    def _note(self, text: str) -> None:
        self.events.append(f"{self._net.now_ms} {text}")

    # Callers, and what servers see.

    def _use_flows(self) -> None:
        now_ms = self._net.now_ms
        for flow in list(self._flows):
            owner = self._net.owner(flow.flow)
            if flow.state == "reset" and owner is not None:
                self._judge(flow.flow, owner, "reset")
            if flow.state != "open":
                self._flows.remove(flow)
            elif now_ms >= self._due_ms[flow.flow] and not flow.waiting:
                self.answers += 1
                flow.request()
                pause_ms = self._rng.randint(*REQUEST_EVERY_MS)
                self._due_ms[flow.flow] = now_ms + pause_ms
        while len(self._flows) < FLOWS:
            self._open()

    def _open(self) -> None:
        flow = self._net.open_flow()
        self._flows.append(flow)
        self._due_ms[flow.flow] = self._net.now_ms + 1500
        self._net.run(20)
        if flow.state == "opening":
            self._net.run(1500)

    def _judge(
        self, flow: packet.FlowKey, owner: packet_network.AgentHost, what: str
    ) -> None:
        if self._net.now_ms >= self._calm_from_ms[owner.name]:
            lines = [
                f"{line.event} {line.fields}"
                for line in self._net.logs
                if line.fields.get("flow") == str(flow)
            ]
            self.broken.append(
                f"{self._net.now_ms} {what} {flow} at {owner.name}: "
                + "; ".join(lines[-3:])
            )

    def _watch_server(self, host: packet_network.AgentHost) -> None:
        """Records which packets reach the server of a host."""
        receive = host.backend.receive

        def watched(data: bytes) -> None:
            received = packets.decode_from_caller(data)
            if received.is_syn:
                self._openings[received.flow] = data
            else:
                self._on_server_packet(received.flow, host)
            receive(data)

        host.backend.receive = watched  # type: ignore[method-assign]

    def _on_server_packet(
        self, flow: packet.FlowKey, host: packet_network.AgentHost
    ) -> None:
        now_ms, owner = self._net.now_ms, self._net.owner(flow)
        if owner is None or not host.backend.is_alive:
            return
        if owner is host:
            self._own_ms[flow] = now_ms
            return
        self._strays_ms.setdefault(flow, []).append(now_ms)
        self._later(WINDOW_MS, lambda: self._judge_window(flow, now_ms))

    def _judge_window(self, flow: packet.FlowKey, from_ms: int) -> None:
        """Judges where the packets of a flow have gone since a time."""
        owner = self._net.owner(flow)
        strays = [t for t in self._strays_ms[flow] if t >= from_ms]
        if (
            owner is not None
            and len(strays) >= STRAYS
            and self._own_ms.get(flow, 0) < from_ms
        ):
            self._judge(flow, owner, "misrouted")

    # Events.

    def _kinds(self) -> list[Callable[[], None]]:
        kinds = [
            self._stop_agent,
            self._stop_agent,
            self._kill_agent,
            self._leave,
            self._crash,
            self._announce_wrong_end,
            self._report_wrong_start,
            self._silence_reports,
            self._restart_balancer,
            self._move_flows,
        ]
        if self._has_late_copies:
            kinds.append(self._repeat_opening)
        return kinds

    def _pick(self) -> packet_network.AgentHost | None:
        """Returns a host that nothing happens to, leaving two others alone."""
        free = [h for h in self._hosts if h.name not in self._busy]
        return self._rng.choice(free) if len(free) > 2 else None

    def _later(self, delay_ms: int, call: Callable[[], None]) -> None:
        self._net.call_later(delay_ms, call)

    def _free(self, host: packet_network.AgentHost) -> None:
        self._busy.discard(host.name)

    def _stop_agent(self) -> None:
        """Restarts an agent by plan; its server lives on."""
        host = self._pick()
        if host is None:
            return
        self._busy.add(host.name)
        away_ms = self._rng.randint(200, 6000)
        self._note(f"stop agent of {host.name} for {away_ms}")
        host.agent.on_backend_checked(
            is_refused=not host.backend.is_alive,
            now_ms=self._net.now_ms,
            is_last=True,
        )
        host.agent.leave(self._net.now_ms)
        self._net.perform(host)
        self._later(50, lambda: self._announce(host))
        self._later(100, host.stop_agent)
        self._later(100 + away_ms, lambda: self._start_agent(host))

    def _announce(self, host: packet_network.AgentHost) -> None:
        host.agent.announce(self._net.now_ms)
        self._net.perform(host)

    def _start_agent(self, host: packet_network.AgentHost) -> None:
        host.start_agent()
        self._free(host)

    def _kill_agent(self) -> None:
        host = self._pick()
        if host is None:
            return
        self._busy.add(host.name)
        away_ms = self._rng.randint(200, 4000)
        self._note(f"kill agent of {host.name} for {away_ms}")
        host.stop_agent()
        calm_ms = self._net.now_ms + away_ms + CONTACT_MS
        self._calm_from_ms[host.name] = calm_ms
        self._later(away_ms, lambda: self._start_agent(host))

    def _leave(self) -> None:
        """Lets a server drain, announce its end, serve on, and exit."""
        host = self._pick()
        if host is None:
            return
        self._busy.add(host.name)
        self._note(f"server of {host.name} leaves")
        host.is_draining = True
        host.report()
        drain_ms = self._rng.randint(500, 3000)
        linger_ms = self._rng.randint(0, 1500)
        self._later(drain_ms, lambda: self._announce_end(host))
        self._later(drain_ms + linger_ms, lambda: self._exit(host))

    def _announce_end(self, host: packet_network.AgentHost) -> None:
        host.is_reporting = False
        report = host.agent.backend.report
        if report is not None:
            host.agent.on_end(report.backend_id, self._net.now_ms)
            self._net.perform(host)

    def _exit(self, host: packet_network.AgentHost) -> None:
        host.backend.is_alive = False
        self._later(
            self._rng.randint(100, 2000), lambda: self._start_server(host)
        )

    def _start_server(self, host: packet_network.AgentHost) -> None:
        host.start_backend()
        if self._rng.random() < 0.3:
            host.born_ms += self._rng.randint(-20_000, 20_000)
        self._watch_server(host)
        host.is_reporting = True
        self._free(host)

    def _crash(self) -> None:
        host = self._pick()
        if host is not None:
            self._busy.add(host.name)
            self._note(f"server of {host.name} crashes")
            self._exit(host)

    def _announce_wrong_end(self) -> None:
        host = self._rng.choice(self._hosts)
        report = host.agent.backend.report
        if host.is_up and report is not None:
            self._note(f"wrong notice at {host.name}")
            host.agent.on_end(report.backend_id, self._net.now_ms)
            self._net.perform(host)

    def _report_wrong_start(self) -> None:
        """Sends a sound report of another start, earlier or later."""
        host = self._rng.choice(self._hosts)
        report = host.agent.backend.report
        if host.is_up and report is not None:
            self._note(f"wrong report at {host.name}")
            born_ms = report.born_ms + self._rng.randint(-50_000, 5000)
            wrong = report._replace(
                backend_id=self._rng.choice(["other", report.backend_id]),
                born_ms=born_ms,
                number=self._rng.randint(0, 30),
            )
            host.agent.on_report(wrong, self._net.now_ms)
            self._net.perform(host)

    def _silence_reports(self) -> None:
        host = self._pick()
        if host is None:
            return
        self._busy.add(host.name)
        self._note(f"no reports at {host.name}")
        host.is_reporting = False

        def end() -> None:
            host.is_reporting = True
            self._free(host)

        self._later(self._rng.randint(1000, 7000), end)

    def _restart_balancer(self) -> None:
        ip = self._rng.choice(list(self._net.balancers))
        self._note(f"restart balancer {ip}")
        self._net.add_balancer(ip)

    def _move_flows(self) -> None:
        self._rng.shuffle(self._net.rotation)

    def _repeat_opening(self) -> None:
        """Delivers a copy of an opening packet late."""
        flow = self._rng.choice(self._flows)
        opening = self._openings.get(flow.flow)
        if opening is not None and flow.state == "open":
            self._net.inject(opening)
