"""Balancers, agents and both ends of flows in memory, with a seeded network.

The decisions run as deployed; only sockets, clocks and the store are left
out. Delays, losses and the choice of balancer come from one seed.
"""

import functools
import heapq
import itertools
import random
from collections.abc import Callable
from collections.abc import Iterable

from sapphirelift.core.l4 import actions
from sapphirelift.core.l4 import agent as agent_module
from sapphirelift.core.l4 import backend as backend_module
from sapphirelift.core.l4 import balancer as balancer_module
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import routes
from sapphirelift.platform import dispatch
from sapphirelift.platform import packets
from sapphirelift.standins import flow_ends

PORT = 7720
REPORT_INTERVAL_MS = 1000
HEARTBEAT_MS = 400
TICK_MS = 20
GOSSIP_MS = 500
ROUTE_IP = packets.ip_number("198.18.0.1")
ROUTE_PORT = 443


def configuration(
    revision: int = 1,
    *,
    services: Iterable[str] = ("shop",),
    cold_opens_per_s: float = 0.0,
) -> routes.Configuration:
    """Returns a configuration with one route to some services."""
    names = tuple(services)
    route = routes.Route(
        "main", tuple(routes.Share(name, 1.0) for name in names)
    )
    return routes.Configuration(
        revision=revision,
        version=revision,
        routes={routes.RouteKey(ROUTE_IP, ROUTE_PORT): route},
        services={
            name: routes.Service(name, 2000, cold_opens_per_s) for name in names
        },
    )


class AgentHost:
    """An instance with a backend server and its agent."""

    def __init__(
        self,
        network: "Network",
        name: str,
        ip: str,
        *,
        service: str,
        data_centre: str,
        work_ms: int,
        slots: int,
        cold_ms: int,
    ) -> None:
        self.name = name
        self.address = messages.Address(ip, PORT)
        self.service = service
        self.data_centre = data_centre
        self.is_up = True
        self.is_cut = False
        self.is_draining = False
        self.is_reporting = True
        self._network = network
        self._slots = slots
        self._work_ms = work_ms
        self._reports = 0
        self._starts = 0
        self.start_backend(cold_ms=cold_ms)
        self.start_agent(is_first_start=True)

    def start_backend(self, *, cold_ms: int = 0) -> None:
        """Starts the backend server anew; it holds no flows."""
        self._starts += 1
        self._reports = 0
        self.is_draining = False
        self.born_ms = self._network.now_ms
        self._warm_ms = self._network.now_ms + cold_ms
        self.backend = flow_ends.BackendServer(
            self._network.rng,
            self._on_outbound,
            work_ms=self._work_ms,
            slots=self._slots if self._network.has_slots else 1000,
            call_later=self._network.call_later,
        )

    def start_agent(self, *, is_first_start: bool = False) -> None:
        """Starts the agent anew; it knows no flows."""
        network = self._network
        self.is_up = True
        self.agent = agent_module.Agent(
            agent_module.Identity(
                self.name,
                self.address,
                network.next_incarnation(),
                self.service,
                self.data_centre,
                "region",
            ),
            report_interval_ms=REPORT_INTERVAL_MS,
            started_unix_ms=network.now_ms,
            is_first_start=is_first_start,
            now_ms=network.now_ms,
        )
        self.report()
        for balancer in network.balancers.values():
            self.agent.add_balancer(balancer.address, network.now_ms)
        network.perform(self)

    def stop_agent(self) -> None:
        """Kills the agent; the backend server lives on."""
        self.is_up = False

    def report(self) -> None:
        """Sends a report of the backend server to the agent."""
        if not self.is_up or not self.backend.is_alive:
            return
        if not self.is_reporting:
            return
        self._reports += 1
        now_ms = self._network.now_ms
        self.agent.on_report(
            backend_module.Report(
                backend_id=f"{self.name}-{self._starts}",
                born_ms=self.born_ms,
                number=self._reports,
                service=self.service,
                data_centre=self.data_centre,
                slots=self._slots,
                is_draining=self.is_draining,
                cold_ms=max(self._warm_ms - now_ms, 0),
            ),
            now_ms,
        )
        self._network.perform(self)

    @property
    def core(self) -> agent_module.Agent:
        """The decisions of this host."""
        return self.agent

    def receive(self, message: messages.Message, sender: str) -> None:
        """Takes a message of another daemon."""
        address = messages.Address(sender, PORT)
        dispatch.to_agent(self.agent, message, address, self._network.now_ms)

    def _on_outbound(self, data: bytes) -> None:
        if not self.is_up:
            return
        dispatch.from_backend(self.agent, data, self._network.now_ms)
        self._network.perform(self)


class BalancerHost:
    """An entry instance."""

    def __init__(self, network: "Network", ip: str) -> None:
        self.address = messages.Address(ip, PORT)
        self.is_up = True
        self.is_cut = False
        self.core = balancer_module.Balancer(
            address=self.address,
            replica=messages.Address(ip, PORT + 1),
            now_ms=network.now_ms,
            rng=network.rng,
        )
        self._network = network
        self.core.set_configuration(
            network.configuration, network.now_ms, source="store"
        )
        self.core.set_evacuations(network.evacuations, source="store")
        self.core.has_directory = True

    def receive(self, message: messages.Message, sender: str) -> None:
        """Takes a message of another daemon."""
        del sender
        dispatch.to_balancer(self.core, message, self._network.now_ms)


Host = AgentHost | BalancerHost


class Network:
    """The network with its clock.

    Attributes:
        now_ms: Current time.
        control_messages: Messages between daemons that carry no packet.
        control_bytes: Their bytes.
        hops: Messages between daemons that carry a packet.
        resets: Flows that the system has reset.
        loss: Share of the datagrams that are lost.
        has_slots: Whether backend servers run only as many requests as they
            have slots, and shed what their queue does not take.
    """

    def __init__(
        self, seed: int, *, loss: float = 0.0, has_slots: bool = False
    ) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 1_000_000
        self.loss = loss
        self.has_slots = has_slots
        self.balancers: dict[str, BalancerHost] = {}
        self.agents: dict[str, AgentHost] = {}
        self.rotation: list[str] = []
        self.callers: dict[packet.FlowKey, flow_ends.CallerFlow] = {}
        self.configuration = configuration()
        self.evacuations = routes.Evacuations(1)
        self.logs: list[actions.Log] = []
        self.resets: list[packet.FlowKey] = []
        self.control_messages = 0
        self.control_bytes = 0
        self.hops = 0
        self._incarnation = 0
        self._order = itertools.count()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._ports = itertools.count(1024)
        self._every(HEARTBEAT_MS, self._beat)
        self._every(REPORT_INTERVAL_MS, self._report)
        self._every(TICK_MS, self._tick)
        self._every(GOSSIP_MS, self._gossip)
        self._every(1000, self._sweep)

    # Building.

    def add_balancer(self, ip: str = "") -> BalancerHost:
        """Starts a balancer and puts it into rotation."""
        ip = ip or f"10.1.0.{len(self.balancers) + 1}"
        host = BalancerHost(self, ip)
        self.balancers[ip] = host
        if ip not in self.rotation:
            self.rotation.append(ip)
        for agent in self.agents.values():
            host.core.add_agent(agent.address, self.now_ms)
        self.perform(host)
        return host

    def add_agent(
        self,
        *,
        service: str = "shop",
        data_centre: str = "a",
        work_ms: int = 20,
        slots: int = 2,
        cold_ms: int = 0,
    ) -> AgentHost:
        """Starts a backend server with its agent."""
        number = len(self.agents) + 1
        host = AgentHost(
            self,
            f"agent-{number}",
            f"10.2.0.{number}",
            service=service,
            data_centre=data_centre,
            work_ms=work_ms,
            slots=slots,
            cold_ms=cold_ms,
        )
        self.agents[host.address.ip] = host
        return host

    def set_configuration(self, changed: routes.Configuration) -> None:
        """Brings a configuration into force at all balancers."""
        self.configuration = changed
        for host in self.balancers.values():
            host.core.set_configuration(changed, self.now_ms, source="store")
            host.core.acknowledge_all()
            self.perform(host)

    def evacuate(self, *data_centres: str) -> None:
        """Takes exactly these data centres out."""
        revision = self.evacuations.revision + 1
        self.evacuations = routes.Evacuations(
            revision, frozenset(data_centres), revision
        )
        for host in self.balancers.values():
            host.core.set_evacuations(self.evacuations, source="store")
            host.core.acknowledge_all()
            self.perform(host)

    def next_incarnation(self) -> int:
        """Returns a number above those of earlier starts."""
        self._incarnation += 1
        return self._incarnation

    # Callers.

    def open_flow(self, *, port: int = ROUTE_PORT) -> flow_ends.CallerFlow:
        """Opens a flow from a new port."""
        flow = packet.FlowKey(
            packets.ip_number("100.64.0.1"), next(self._ports), ROUTE_IP, port
        )
        caller = flow_ends.CallerFlow(
            flow,
            self.rng,
            lambda data: self._from_caller(flow, data),
            call_later=self.call_later,
        )
        self.callers[flow] = caller
        caller.open()
        return caller

    def owner(self, flow: packet.FlowKey) -> AgentHost | None:
        """Returns the host whose backend server holds a flow."""
        for host in self.agents.values():
            if host.backend.holds(flow):
                return host
        return None

    def stray_packets(self, flow: packet.FlowKey) -> int:
        """Returns the packets of a flow at backend servers without it."""
        return sum(
            host.backend.stray_packets.get(flow, 0)
            for host in self.agents.values()
        )

    def logged(self, event: str) -> list[actions.Log]:
        """Returns the log lines of an event."""
        return [line for line in self.logs if line.event == event]

    # Time.

    def call_later(self, delay_ms: int, call: Callable[[], None]) -> None:
        """Calls something after a delay."""
        event = (self.now_ms + delay_ms, next(self._order), call)
        heapq.heappush(self._events, event)

    def run(self, duration_ms: int) -> None:
        """Lets time pass."""
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, call = heapq.heappop(self._events)
            call()
        self.now_ms = end_ms

    def _every(self, interval_ms: int, call: Callable[[], None]) -> None:
        def repeat() -> None:
            call()
            self.call_later(interval_ms, repeat)

        self.call_later(interval_ms, repeat)

    def _hosts(self) -> list[Host]:
        hosts: list[Host] = [*self.balancers.values(), *self.agents.values()]
        return [host for host in hosts if host.is_up]

    def _beat(self) -> None:
        for host in self.agents.values():
            if host.is_up:
                host.agent.send_heartbeats(self.now_ms)
                self.perform(host)

    def _report(self) -> None:
        for host in self.agents.values():
            host.report()

    def _tick(self) -> None:
        for host in self._hosts():
            if host.core.has_pending:
                host.core.tick(self.now_ms)
                self.perform(host)

    def _gossip(self) -> None:
        for host in self.balancers.values():
            if host.is_up:
                host.core.gossip(self.now_ms)
                self.perform(host)

    def _sweep(self) -> None:
        for host in self._hosts():
            host.core.sweep(self.now_ms)
            self.perform(host)

    # Transport.

    def _from_caller(self, flow: packet.FlowKey, data: bytes) -> None:
        if not self.rotation:
            return
        ip = self.rotation[hash(flow) % len(self.rotation)]
        self._later(lambda: self._at_balancer(ip, data))

    def _at_balancer(self, ip: str, data: bytes) -> None:
        host = self.balancers.get(ip)
        if host is not None and host.is_up:
            host.core.on_packet(packets.decode_from_caller(data), self.now_ms)
            self.perform(host)

    def _later(self, call: Callable[[], None]) -> None:
        if self.rng.random() >= self.loss:
            self.call_later(self.rng.randint(1, 3), call)

    def perform(self, host: Host) -> None:
        """Carries out what the core of a host has decided."""
        for action in host.core.drain_actions():
            match action:
                case actions.SendDaemon(address, message):
                    self._send(host, address, message)
                case actions.SendCaller(received):
                    self._to_caller(received.flow, received.raw)
                case actions.ResetCaller(flow, sequence):
                    self.resets.append(flow)
                    self._to_caller(flow, packets.encode_reset(flow, sequence))
                case actions.SendBackend(data):
                    assert isinstance(host, AgentHost)
                    self.call_later(
                        0, functools.partial(host.backend.receive, data)
                    )
                case actions.Log():
                    self.logs.append(action)

    def _send(
        self, host: Host, address: messages.Address, message: messages.Message
    ) -> None:
        data = messages.encode(message)
        if isinstance(
            message, messages.Open | messages.Deliver | messages.Missed
        ):
            self.hops += 1
        else:
            self.control_messages += 1
            self.control_bytes += len(data)
        if not host.is_cut:
            self._later(lambda: self._at_daemon(host, address, data))

    def _at_daemon(
        self, sender: Host, address: messages.Address, data: bytes
    ) -> None:
        hosts: dict[str, Host] = {**self.balancers, **self.agents}
        host = hosts.get(address.ip)
        if host is not None and host.is_up and not host.is_cut:
            host.receive(messages.decode(data), sender.address.ip)
            self.perform(host)

    def _to_caller(self, flow: packet.FlowKey, data: bytes) -> None:
        caller = self.callers.get(flow)
        if caller is not None:
            self._later(lambda: caller.receive(data))
