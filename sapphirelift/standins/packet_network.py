"""In-memory simulation of balancers, agents, callers and backend servers.

It runs the deployed decision logic, but without sockets, clocks and the object
store. Delays, losses and random choices come from one seeded generator.
"""

import dataclasses
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
from sapphirelift.core.l4 import heartbeats
from sapphirelift.core.l4 import load_settings
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import routes
from sapphirelift.platform import dispatch
from sapphirelift.platform import packets
from sapphirelift.standins import flow_ends

PORT = 7720
REPORT_INTERVAL_MS = 1000
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
    """Returns a configuration with one route, split equally over services."""
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


def without_routes(revision: int) -> routes.Configuration:
    """Returns a configuration whose route has been removed."""
    return dataclasses.replace(configuration(revision), routes={})


class AgentHost:
    """Simulated instance with a backend server and its agent."""

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
        self._report_count = 0
        self._start_count = 0
        self.start_backend(cold_ms=cold_ms)
        self.start_agent(is_first_start=True)

    def start_backend(self, *, cold_ms: int = 0) -> None:
        """Starts or restarts the backend server, without any flows."""
        self._start_count += 1
        self._report_count = 0
        self.is_draining = False
        self.born_ms = self._network.now_ms
        self._warm_at_ms = self._network.now_ms + cold_ms
        self.backend = flow_ends.BackendServer(
            self._network.rng,
            self._on_outbound,
            work_ms=self._work_ms,
            slots=self._slots if self._network.has_slots else 1000,
            call_later=self._network.call_later,
        )

    def start_agent(self, *, is_first_start: bool = False) -> None:
        """Starts or restarts the agent, with an empty flow table."""
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
            load=network.load,
        )
        self.report()
        for balancer in network.balancers.values():
            self.agent.add_balancer(balancer.address, network.now_ms)
        network.perform(self)

    def stop_agent(self) -> None:
        """Kills the agent; the backend server keeps running."""
        self.is_up = False

    def report(self) -> None:
        """Sends a status report from the backend server to the agent."""
        if not self.backend.is_alive or not self.is_reporting:
            return
        self._report_count += 1
        if not self.is_up:
            return
        now_ms = self._network.now_ms
        self.agent.on_report(
            backend_module.Report(
                backend_id=f"{self.name}-{self._start_count}",
                born_ms=self.born_ms,
                number=self._report_count,
                service=self.service,
                data_centre=self.data_centre,
                slots=self._slots,
                is_draining=self.is_draining,
                cold_ms=max(self._warm_at_ms - now_ms, 0),
            ),
            now_ms,
        )
        self._network.perform(self)

    def check_backend(self, agent: agent_module.Agent) -> None:
        """Tells an agent that still runs whether its server is gone."""
        if self.is_up and agent is self.agent:
            agent.on_backend_checked(
                is_refused=not self.backend.is_alive,
                now_ms=self._network.now_ms,
            )
            self._network.perform(self)

    @property
    def core(self) -> agent_module.Agent:
        """Decision logic of the agent."""
        return self.agent

    def receive(self, message: messages.Message, sender: str) -> None:
        """Handles a message from another daemon."""
        address = messages.Address(sender, PORT)
        dispatch.to_agent(self.agent, message, address, self._network.now_ms)

    def _on_outbound(self, data: bytes) -> None:
        if not self.is_up:
            return
        dispatch.from_backend(self.agent, data, self._network.now_ms)
        self._network.perform(self)


class BalancerHost:
    """Simulated instance with a balancer."""

    def __init__(
        self, network: "Network", ip: str, *, data_centre: str = ""
    ) -> None:
        self.address = messages.Address(ip, PORT)
        self.is_up = True
        self.is_cut = False
        self.core = balancer_module.Balancer(
            address=self.address,
            replica=messages.Address(ip, PORT + 1),
            now_ms=network.now_ms,
            rng=network.rng,
            data_centre=data_centre,
            load=network.load,
        )
        self._network = network
        self.core.set_configuration(
            network.configuration, network.now_ms, source="store"
        )
        self.core.set_evacuations(network.evacuations, source="store")
        self.core.has_directory = True

    def receive(self, message: messages.Message, sender: str) -> None:
        """Handles a message from another daemon."""
        address = messages.Address(sender, PORT)
        dispatch.to_balancer(self.core, message, address, self._network.now_ms)


Host = AgentHost | BalancerHost


class Network:
    """Simulated network with a virtual clock and an event queue.

    Attributes:
        rng: Source of all randomness in the simulation.
        now_ms: Current time of the virtual clock.
        loss: Probability that a datagram is lost.
        load: Decisions under load of all daemons.
        has_slots: Whether backend servers run at most as many requests as
            they have slots, and shed those that exceed their queue.
        balancers: Balancers by IP address.
        agents: Agents by IP address.
        rotation: IP addresses of the balancers that receive packets from
            callers.
        callers: Caller ends of flows, by flow.
        logs: Log lines of all daemons.
        resets: Flows that a daemon has reset at the caller.
        control_messages: Number of messages between daemons that carry no
            packet.
        control_bytes: Total size of these messages.
        hops: Number of messages between daemons that carry a packet.
        store_answer_ms: Time until a balancer that renews its watches has the
            configuration.
    """

    def __init__(
        self,
        seed: int,
        *,
        loss: float = 0.0,
        has_slots: bool = False,
        load: load_settings.LoadSettings = load_settings.NONE,
    ) -> None:
        self.load = load
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
        self.store_answer_ms = 10
        self.logs: list[actions.Log] = []
        self.resets: list[packet.FlowKey] = []
        self.control_messages = 0
        self.control_bytes = 0
        self.hops = 0
        self._incarnation = 0
        self._event_numbers = itertools.count()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._ports = itertools.count(1024)
        self._repeat_every(heartbeats.ROUND_MS, self._send_heartbeats)
        self._repeat_every(REPORT_INTERVAL_MS, self._send_reports)
        self._repeat_every(TICK_MS, self._tick)
        self._repeat_every(GOSSIP_MS, self._gossip)
        self._repeat_every(1000, self._sweep)

    # Setup.

    def add_balancer(
        self, ip: str = "", *, data_centre: str = ""
    ) -> BalancerHost:
        """Starts a balancer and adds it to the rotation."""
        ip = ip or f"10.1.0.{len(self.balancers) + 1}"
        host = BalancerHost(self, ip, data_centre=data_centre)
        self.balancers[ip] = host
        if ip not in self.rotation:
            self.rotation.append(ip)
        for agent in self.agents.values():
            host.core.add_agent(
                agent.address,
                self.now_ms,
                is_stopping=agent.agent.is_stopping,
            )
        for peer in self.balancers.values():
            host.core.add_peer(peer.address, self.now_ms)
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

    def replace_agent(self, former: AgentHost, *, service: str) -> AgentHost:
        """Removes an instance and starts another one at its address."""
        former.stop_agent()
        former.backend.is_alive = False
        host = AgentHost(
            self,
            f"{former.name}-{service}",
            former.address.ip,
            service=service,
            data_centre=former.data_centre,
            work_ms=20,
            slots=2,
            cold_ms=0,
        )
        self.agents[host.address.ip] = host
        return host

    def set_configuration(self, changed: routes.Configuration) -> None:
        """Applies a configuration at all balancers."""
        self.configuration = changed
        for host in self.balancers.values():
            host.core.set_configuration(changed, self.now_ms, source="store")
            self.perform(host)

    def read_configuration(self, host: BalancerHost) -> None:
        """Lets the store deliver the configuration to one balancer."""
        host.core.set_configuration(
            self.configuration, self.now_ms, source="store"
        )
        self.perform(host)

    def evacuate(self, *data_centres: str) -> None:
        """Evacuates these data centres and no others."""
        revision = self.evacuations.revision + 1
        self.evacuations = routes.Evacuations(revision, frozenset(data_centres))
        for host in self.balancers.values():
            host.core.set_evacuations(self.evacuations, source="store")
            self.perform(host)

    def next_incarnation(self) -> int:
        """Returns an incarnation number above all earlier ones."""
        self._incarnation += 1
        return self._incarnation

    # Callers.

    def open_flow(
        self, *, port: int = ROUTE_PORT, caller_port: int | None = None
    ) -> flow_ends.CallerFlow:
        """Opens a flow, by default from a caller port not used before."""
        flow = packet.FlowKey(
            packets.ip_number("100.64.0.1"),
            next(self._ports) if caller_port is None else caller_port,
            ROUTE_IP,
            port,
        )
        caller = flow_ends.CallerFlow(
            flow,
            self.rng,
            lambda data: self._send_from_caller(flow, data),
            call_later=self.call_later,
        )
        self.callers[flow] = caller
        caller.open()
        return caller

    def inject(self, data: bytes) -> None:
        """Sends a packet of a caller that this network does not model."""
        self._send_from_caller(packets.decode_from_caller(data).flow, data)

    def owner(self, flow: packet.FlowKey) -> AgentHost | None:
        """Returns the host whose backend server has a flow."""
        for host in self.agents.values():
            if host.backend.holds(flow):
                return host
        return None

    def stray_packets(self, flow: packet.FlowKey) -> int:
        """Returns how many packets of a flow reached servers without it."""
        return sum(
            host.backend.stray_packets.get(flow, 0)
            for host in self.agents.values()
        )

    def logged(self, event: str) -> list[actions.Log]:
        """Returns the log lines with an event name."""
        return [line for line in self.logs if line.event == event]

    # Clock and timers.

    def call_later(self, delay_ms: int, call: Callable[[], None]) -> None:
        """Schedules a call after a delay."""
        event = (self.now_ms + delay_ms, next(self._event_numbers), call)
        heapq.heappush(self._events, event)

    def run(self, duration_ms: int) -> None:
        """Advances the clock and makes the calls that become due."""
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, call = heapq.heappop(self._events)
            call()
        self.now_ms = end_ms

    def _repeat_every(self, interval_ms: int, call: Callable[[], None]) -> None:
        def repeat() -> None:
            call()
            self.call_later(interval_ms, repeat)

        self.call_later(interval_ms, repeat)

    def _hosts(self) -> list[Host]:
        hosts: list[Host] = [*self.balancers.values(), *self.agents.values()]
        return [host for host in hosts if host.is_up]

    def _send_heartbeats(self) -> None:
        for host in self.agents.values():
            if host.is_up:
                host.agent.send_heartbeats(self.now_ms)
                self.perform(host)

    def _send_reports(self) -> None:
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

    def _send_from_caller(self, flow: packet.FlowKey, data: bytes) -> None:
        if not self.rotation:
            return
        ip = self.rotation[hash(flow) % len(self.rotation)]
        self._deliver_later(lambda: self._receive_at_balancer(ip, data))

    def _receive_at_balancer(self, ip: str, data: bytes) -> None:
        host = self.balancers.get(ip)
        if host is not None and host.is_up:
            host.core.on_packet(packets.decode_from_caller(data), self.now_ms)
            self.perform(host)

    def _deliver_later(self, call: Callable[[], None]) -> None:
        if self.rng.random() >= self.loss:
            self.call_later(self.rng.randint(1, 3), call)

    def perform(self, host: Host) -> None:
        """Executes the pending actions of a host's decision logic."""
        for action in host.core.drain_actions():
            match action:
                case actions.SendDaemon(address, message):
                    self._send_to_daemon(host, address, message)
                case actions.SendCaller(received):
                    self._send_to_caller(received.flow, received.raw)
                case actions.ResetCaller(flow, sequence):
                    self.resets.append(flow)
                    self._send_to_caller(
                        flow, packets.encode_reset(flow, sequence)
                    )
                case actions.SendBackend(data):
                    assert isinstance(host, AgentHost)
                    self.call_later(
                        0, functools.partial(host.backend.receive, data)
                    )
                case actions.CheckBackend(after_ms):
                    assert isinstance(host, AgentHost)
                    self.call_later(
                        after_ms,
                        functools.partial(host.check_backend, host.agent),
                    )
                case actions.RenewWatches():
                    assert isinstance(host, BalancerHost)
                    self.call_later(
                        self.store_answer_ms,
                        functools.partial(self.read_configuration, host),
                    )
                case actions.Log():
                    self.logs.append(action)

    def _send_to_daemon(
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
            self._deliver_later(
                lambda: self._receive_at_daemon(host, address, data)
            )

    def _receive_at_daemon(
        self, sender: Host, address: messages.Address, data: bytes
    ) -> None:
        hosts: dict[str, Host] = {**self.balancers, **self.agents}
        host = hosts.get(address.ip)
        if host is not None and host.is_up and not host.is_cut:
            host.receive(messages.decode(data), sender.address.ip)
            self.perform(host)

    def _send_to_caller(self, flow: packet.FlowKey, data: bytes) -> None:
        caller = self.callers.get(flow)
        if caller is not None:
            self._deliver_later(lambda: caller.receive(data))
