"""The agent role of the daemon."""

from typing import Any

import eventlet
import eventlet.greenthread
import eventlet.queue

from sapphirelift import _node
from sapphirelift import clock
from sapphirelift import messages
from sapphirelift import settings as settings_module
from sapphirelift.backends import client as backend_client
from sapphirelift.core import actions
from sapphirelift.core import agent
from sapphirelift.core import limits
from sapphirelift.core import membership

TICK_S = 0.02
FINAL_RESPONSES_S = 0.5


class AgentNode(_node.Node):
    """Sockets and tasks of an agent. One task owns the core."""

    def __init__(self, settings: settings_module.Settings) -> None:
        super().__init__(settings)
        assert settings.backend is not None
        backend = settings.backend
        self.core = agent.AgentCore(
            agent.AgentIdentity(
                name=settings.name,
                address=self.peer.address,
                incarnation=self.incarnation,
                service=backend.service,
                data_centre=settings.data_centre,
            ),
            limits=limits.AgentLimits(
                slots=backend.slots, max_flows=backend.max_flows
            ),
            ring=self.ring,
            members=self.members,
        )
        self._backend = backend_client.BackendClient(
            messages.Address(backend.ip, backend.port), slots=backend.slots
        )
        self._events: eventlet.queue.LightQueue = eventlet.queue.LightQueue()
        self._runs: dict[int, eventlet.greenthread.GreenThread] = {}

    @property
    def load(self) -> float:
        """Busy share of the admission limit, 0 to 1."""
        limit = max(self.core.requests.admission.limit(clock.now_ms()), 1.0)
        return self.core.requests.running / limit

    def start(self) -> None:
        """Starts all tasks."""
        super().start()
        eventlet.spawn(self._run_core)
        eventlet.spawn(self._tick)

    def stop(self) -> None:
        """Stops by plan: finishes requests and moves all flows away."""
        self.announce_state(membership.DRAINING)
        self._events.put(agent.Drain())
        with eventlet.Timeout(self.settings.stop_timeout_ms / 1000, False):
            eventlet.sleep(TICK_S)
            while (
                self.core.flows
                or self.core.requests.running
                or self.core.hand_on.flows
                or self.core.hand_on.running
            ):
                eventlet.sleep(TICK_S)
            eventlet.sleep(FINAL_RESPONSES_S)
        self._events.put(agent.Release())
        eventlet.sleep(TICK_S)

    def set_withdrawn(self, data_centres: set[str]) -> None:
        """Sets the data centres that operators have taken out."""
        out = self.settings.data_centre in data_centres
        self._events.put(agent.Withdraw(out))

    def dump(self) -> dict[str, Any]:
        """Returns the state of the process, without secrets."""
        return super().dump() | {
            "service": self.service,
            "counters": dict(self.core.counters),
            "flows": len(self.core.flows),
            "running": self.core.requests.running,
            "plain_flows": self.core.hand_on.flows,
            "queued": self.core.requests.queued,
            "withdrawn": self.core.withdrawn,
        }

    def on_peer_datagram(
        self, kind: int, body: bytes, sender: messages.Address
    ) -> None:
        """Queues a verified datagram for the core."""
        self._events.put(agent.PeerDatagram(sender, kind, body))

    def _run_core(self) -> None:
        while True:
            event = self._events.get()
            self.carry_out(self.core.handle(event, now_ms=clock.now_ms()))

    def _tick(self) -> None:
        while True:
            eventlet.sleep(TICK_S)
            self._events.put(agent.Tick())

    def carry_out_own(self, action: actions.Action) -> None:
        """Carries out an action that only an agent has."""
        match action:
            case actions.StartRun():
                self._runs[action.run_id] = eventlet.spawn(self._run, action)
            case actions.CancelRun(run_id):
                task = self._runs.get(run_id)
                if task is not None:
                    task.kill()

    def _run(self, run: actions.StartRun) -> None:
        result = backend_client.CANCELLED
        try:
            result = self._backend.run(run)
        finally:
            self._runs.pop(run.run_id, None)
            self._events.put(
                agent.RunFinished(
                    run.run_id, result.outcome, result.shed, result.failed
                )
            )
