"""The agent role of the daemon."""

from typing import Any

import eliot
import eventlet
import eventlet.greenthread
import eventlet.queue
import greenlet

from sapphirelift import _node
from sapphirelift import clock
from sapphirelift import messages
from sapphirelift import settings as settings_module
from sapphirelift import tasks
from sapphirelift.backends import client as backend_client
from sapphirelift.core import actions
from sapphirelift.core import agent
from sapphirelift.core import limits
from sapphirelift.core.membership import membership
from sapphirelift.core.records import record_set
from sapphirelift.core.records import replica

TICK_S = 0.02
# A wake-up costs about 0.1 ms. An agent without requests that ticked every
# 20 ms used 1.6% of a core; its budget for control is 1.1%.
IDLE_TICK_S = 0.1
# A restart that takes less time than this goes unnoticed while idle.
BACKEND_WATCH_S = 0.1
FINAL_RESPONSES_S = 0.5


class AgentNode(_node.Node):
    """Sockets and tasks of an agent. One task owns the core."""

    def __init__(self, settings: settings_module.Settings) -> None:
        super().__init__(settings)
        assert settings.backend is not None
        backend = settings.backend
        self._settings_limits = limits.AgentLimits(
            slots=backend.slots,
            max_flows=backend.max_flows,
            initial_share=backend.initial_share,
            ramp_ms=backend.ramp_ms,
            caller_slot_share=backend.caller_slot_share,
            queue_requests=backend.queue_requests,
            reply_cache_bytes=backend.reply_cache_bytes,
            reply_cache_ttl_ms=backend.reply_cache_ttl_ms,
            assembly_bytes=backend.assembly_bytes,
            experiment_forgets_replies=backend.experiment_forgets_replies,
        )
        self._limits = self._settings_limits
        self._sources: dict[str, str] = {}
        self._stopping = False
        self.core = agent.AgentCore(
            agent.AgentIdentity(
                name=settings.name,
                address=self.peer.address,
                incarnation=self.incarnation,
                service=backend.service,
                data_centre=settings.data_centre,
            ),
            limits=self._settings_limits,
            ring=self.ring,
            members=self.members,
            rng=self.rng,
        )
        if backend.experiment_placement:
            self._use_baseline(backend)
        self._backend = backend_client.BackendClient(
            messages.Address(backend.ip, backend.port), slots=backend.slots
        )
        self._events: eventlet.queue.LightQueue = eventlet.queue.LightQueue()
        # Ends the long wait of the ticks when work arrives.
        self._work: eventlet.queue.LightQueue = eventlet.queue.LightQueue()
        self._resting = False
        self._runs: dict[int, eventlet.greenthread.GreenThread] = {}

    def _use_baseline(self, backend: settings_module.BackendSettings) -> None:
        """Replaces the placement by a baseline of measurements."""
        # Service does not need the module.
        from sapphirelift.core.flows import baselines

        self.core.balance.table = baselines.BASELINES[
            backend.experiment_placement
        ](
            name=self.settings.name,
            service=backend.service,
            members=self.members,
            rng=self.rng,
        )

    @property
    def load(self) -> float:
        """Busy share of the admission limit, 0 to 1."""
        limit = max(self.core.requests.admission.limit(clock.now_ms()), 1.0)
        return self.core.requests.running / limit

    @property
    def is_cold(self) -> bool:
        """Whether the ramp limits the backend server."""
        return self.core.requests.admission.is_cold(clock.now_ms())

    def start(self) -> None:
        """Starts all tasks."""
        super().start()
        tasks.spawn("core", self._run_core)
        tasks.spawn("tick", self._tick)
        tasks.spawn("backend_watch", self._watch_backend)

    def stop(self) -> None:
        """Stops by plan: finishes requests and moves all flows away."""
        self._stopping = True
        self.announce_state(membership.DRAINING)
        self._events.put(agent.Drain())
        with eventlet.Timeout(self.settings.stop_timeout_ms / 1000, False):
            eventlet.sleep(TICK_S)
            while (
                self.core.flows
                or self.core.requests.running
                or self.core.balance.pending
                or self.core.plain_flows.flows
                or self.core.plain_flows.runs.running
            ):
                eventlet.sleep(TICK_S)
            eventlet.sleep(FINAL_RESPONSES_S)
        self._events.put(agent.Release())
        eventlet.sleep(TICK_S)

    def _apply_member(self, change: replica.StoredObject) -> None:
        """Keeps balancers and the agents of its own service.

        An agent sends to no others. Without them the table has 843 members
        instead of 7,840 and takes 3 MB less in each of 7,000 agents.
        """
        value = change.value
        if (
            value is not None
            and value["role"] == self.settings.role
            and value["service"] != self.service
        ):
            self.members.remove(value["name"], revision=change.revision)
            return
        super()._apply_member(change)

    def on_records(self, records: record_set.RecordSet) -> None:
        """Brings the records in force to the core."""
        out = self.settings.data_centre in records.withdrawn()
        self._events.put(agent.Withdraw(out))
        found = records.effective(self.service, self.settings.data_centre)
        self._sources = {
            field: "settings" if source == "default" else source
            for field, source in found.source.items()
        }
        wanted = limits.with_records(
            self._settings_limits, found.values, found.source
        )
        if wanted != self._limits:
            self._limits = wanted
            self._events.put(agent.NewLimits(wanted))
            eliot.log_message("limits_in_force", **wanted._asdict())
        self._set_drained(self.settings.name in records.drained())

    def _set_drained(self, drained: bool) -> None:
        """Drains on an operator's order, or takes work again after one.

        A state never goes back to up within one incarnation, so the agent
        comes back with a new one.
        """
        if self._stopping or drained == (self.state != membership.UP):
            return
        if drained:
            self._events.put(agent.Drain())
            self.announce_state(membership.DRAINING)
            return
        # The wall clock may have been set back since the last one.
        self.incarnation = max(clock.new_incarnation(), self.incarnation + 1)
        self.heartbeats.set_incarnation(self.incarnation)
        self._events.put(agent.Resume(self.incarnation))
        self.announce_state(membership.UP)

    def dump(self) -> dict[str, Any]:
        """Returns the state of the process, without secrets."""
        return super().dump() | {
            "service": self.service,
            "counters": dict(self.core.counters),
            "flows": len(self.core.flows),
            "running": self.core.requests.running,
            "plain_flows": self.core.plain_flows.flows,
            "queued": self.core.requests.queued,
            "utilisation": self.core.balance.utilisation(clock.now_ms()),
            "withdrawn": self.core.withdrawn,
            "limits": self.core.limits._asdict(),
            "limit_sources": self._sources,
            "cold": self.is_cold,
            "admission_limit": self.core.requests.admission.limit(
                clock.now_ms()
            ),
            "cold_restarts": self.core.requests.admission.cold_restarts,
            "load_peers": [
                peer.report.name
                for peer in self.core.balance.table.usable(clock.now_ms())
            ],
        }

    def on_peer_datagram(
        self, kind: int, body: bytes, sender: messages.Address
    ) -> None:
        """Queues a verified datagram for the core."""
        self._events.put(agent.PeerDatagram(sender, kind, body))

    def _run_core(self) -> None:
        while True:
            event = self._events.get()
            try:
                self.carry_out(self.core.handle(event, now_ms=clock.now_ms()))
            except Exception:
                tasks.report("core")
            if self._resting and not self.core.is_idle:
                self._resting = False
                self._work.put(None)

    def _tick(self) -> None:
        while True:
            if self.core.is_idle:
                self._rest()
            else:
                eventlet.sleep(TICK_S)
            self._events.put(agent.Tick())

    def _rest(self) -> None:
        """Waits until there is work, at most ``IDLE_TICK_S``."""
        self._resting = True
        try:
            self._work.get(timeout=IDLE_TICK_S)
        except eventlet.queue.Empty:
            self._resting = False

    def _watch_backend(self) -> None:
        while True:
            if self._backend.is_gone():
                self._events.put(agent.BackendGone())
            eventlet.sleep(BACKEND_WATCH_S)

    def carry_out_own(self, action: actions.Action) -> None:
        """Carries out an action that only an agent has."""
        match action:
            case actions.StartRun():
                task = eventlet.spawn(self._backend.run, action)
                self._runs[action.run_id] = task
                # A link also runs if the task is killed before it begins; a
                # ``finally`` in the task would not, and the slot be lost.
                task.link(self._on_run_ended, action.run_id)
            case actions.CancelRun(run_id):
                task = self._runs.get(run_id)
                if task is not None:
                    task.kill()

    def _on_run_ended(
        self, task: eventlet.greenthread.GreenThread, run_id: int
    ) -> None:
        self._runs.pop(run_id, None)
        try:
            result = task.wait()
        except greenlet.GreenletExit:
            result = backend_client.CANCELLED
        except Exception:  # A fault must not lose the slot.
            eliot.write_traceback()
            result = backend_client.FAULT
        if isinstance(result, greenlet.GreenletExit):
            result = backend_client.CANCELLED
        self._events.put(
            agent.RunFinished(
                run_id, result.outcome, result.shed, result.failed
            )
        )
