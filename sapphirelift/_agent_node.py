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

TICK_INTERVAL_S = 0.02
# Tick interval of an agent without requests. A wake-up costs about 0.1 ms: at
# 20 ms an idle agent used 1.6% of a core, over its budget of 1.1% for control.
IDLE_TICK_INTERVAL_S = 0.1
# A backend server that restarts faster than this while no request runs is not
# detected as restarted.
BACKEND_CHECK_INTERVAL_S = 0.1
FINAL_RESPONSES_DELAY_S = 0.5


class AgentNode(_node.Node):
    """Sockets and tasks of an agent.

    A single task runs the core; the others queue events for it.
    """

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
        self._limit_sources: dict[str, str] = {}
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
            self._use_baseline_placement(backend)
        self._backend_client = backend_client.BackendClient(
            messages.Address(backend.ip, backend.port), slots=backend.slots
        )
        self._events: eventlet.queue.LightQueue = eventlet.queue.LightQueue()
        # Wakes the tick task from its long idle interval when work arrives.
        self._work_arrived: eventlet.queue.LightQueue = (
            eventlet.queue.LightQueue()
        )
        self._is_waiting = False
        self._run_tasks: dict[int, eventlet.greenthread.GreenThread] = {}

    def _use_baseline_placement(
        self, backend: settings_module.BackendSettings
    ) -> None:
        """Replaces the placement algorithm by one to compare it with."""
        # Imported here, since only measurements need the module.
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
        """Share of the admission limit in use, from 0 to 1."""
        limit = max(self.core.requests.admission.limit(clock.boot_ms()), 1.0)
        return self.core.requests.running / limit

    @property
    def is_cold(self) -> bool:
        """Whether the cold-start ramp still limits the backend server."""
        return self.core.requests.admission.is_cold(clock.boot_ms())

    def start(self) -> None:
        """Starts the sockets, the admin server and the tasks."""
        super().start()
        tasks.spawn("core", self._run_core)
        tasks.spawn("tick", self._run_ticks)
        tasks.spawn("backend_watch", self._watch_backend)

    def stop(self) -> None:
        """Shuts down gracefully: finishes requests and moves flows away."""
        self._stopping = True
        self.announce_state(membership.DRAINING)
        self._events.put(agent.Drain())
        with eventlet.Timeout(self.settings.stop_timeout_ms / 1000, False):
            eventlet.sleep(TICK_INTERVAL_S)
            while (
                self.core.flows
                or self.core.requests.running
                or self.core.balance.pending
                or self.core.plain_flows.flows
                or self.core.plain_flows.runs.running
            ):
                eventlet.sleep(TICK_INTERVAL_S)
            eventlet.sleep(FINAL_RESPONSES_DELAY_S)
        self._events.put(agent.ReleaseFlows())
        eventlet.sleep(TICK_INTERVAL_S)

    def _replace_control_socket(self) -> None:
        """Replaces the socket, and asks the platform for other balancers.

        Others may have taken the place of all those that the agent knows.
        """
        super()._replace_control_socket()
        self.sync.resync()

    def _apply_member(self, change: replica.StoredObject) -> None:
        """Applies changes of balancers and of agents of the same service.

        An agent sends to no other members. Leaving these out reduces the
        table from 7,840 to 843 members, which saves 3 MB in each of 7,000
        agents.
        """
        value = change.value
        if (
            value is not None
            and value.get("role") == self.settings.role
            and value.get("service") != self.service
        ):
            name = change.key.rsplit("/", 1)[1]
            self.members.remove(name, revision=change.revision)
            return
        super()._apply_member(change)

    def on_records(self, records: record_set.RecordSet) -> None:
        """Passes withdrawal, limits and drain state to the core."""
        is_withdrawn = self.settings.data_centre in records.withdrawn()
        self._events.put(agent.Withdraw(is_withdrawn))
        effective = records.effective(self.service, self.settings.data_centre)
        self._limit_sources = {
            field: "settings" if source == "default" else source
            for field, source in effective.source.items()
        }
        new_limits = limits.with_records(
            self._settings_limits, effective.values, effective.source
        )
        if new_limits != self._limits:
            self._limits = new_limits
            self._events.put(agent.NewLimits(new_limits))
            eliot.log_message("limits_in_force", **new_limits._asdict())
        self._set_drained(self.settings.name in records.drained())

    def _set_drained(self, drained: bool) -> None:
        """Starts or ends a drain that an operator has requested.

        The state never returns to up within an incarnation, so the agent
        resumes under a new one.
        """
        if self._stopping or drained == (self.state != membership.UP):
            return
        if drained:
            self._events.put(agent.Drain())
            self.announce_state(membership.DRAINING)
            return
        # Must increase even if the wall clock has been set back.
        self.incarnation = max(clock.new_incarnation(), self.incarnation + 1)
        self.heartbeats.set_incarnation(self.incarnation)
        self._events.put(agent.Resume(self.incarnation))
        self.announce_state(membership.UP)

    def dump(self) -> dict[str, Any]:
        """Returns the state for the admin dump, without secrets."""
        return super().dump() | {
            "service": self.service,
            "counters": dict(self.core.counters),
            "flows": len(self.core.flows),
            "running": self.core.requests.running,
            "plain_flows": self.core.plain_flows.flows,
            "queued": self.core.requests.queued,
            "utilisation": self.core.balance.utilisation(clock.boot_ms()),
            "withdrawn": self.core.withdrawn,
            "limits": self.core.limits._asdict(),
            "limit_sources": self._limit_sources,
            "cold": self.is_cold,
            "admission_limit": self.core.requests.admission.limit(
                clock.boot_ms()
            ),
            "cold_restarts": self.core.requests.admission.cold_restarts,
            "load_peers": [
                peer.report.name
                for peer in self.core.balance.table.usable_peers(
                    clock.boot_ms()
                )
            ],
        }

    def on_peer_datagram(
        self, kind: int, body: bytes, sender: messages.Address
    ) -> None:
        """Queues an authenticated datagram for the core."""
        self._events.put(agent.PeerDatagram(sender, kind, body))

    def _run_core(self) -> None:
        while True:
            event = self._events.get()
            try:
                self.carry_out(self.core.handle(event, now_ms=clock.boot_ms()))
            except Exception:
                tasks.report("core")
            if self._is_waiting and not self.core.is_idle:
                self._is_waiting = False
                self._work_arrived.put(None)

    def _run_ticks(self) -> None:
        while True:
            if self.core.is_idle:
                self._wait_for_work()
            else:
                eventlet.sleep(TICK_INTERVAL_S)
            self._events.put(agent.Tick())

    def _wait_for_work(self) -> None:
        """Waits for work, at most for ``IDLE_TICK_INTERVAL_S``."""
        self._is_waiting = True
        try:
            self._work_arrived.get(timeout=IDLE_TICK_INTERVAL_S)
        except eventlet.queue.Empty:
            self._is_waiting = False

    def _watch_backend(self) -> None:
        while True:
            if self._backend_client.detect_stop():
                self._events.put(agent.BackendUnreachable())
            eventlet.sleep(BACKEND_CHECK_INTERVAL_S)

    def carry_out_role_action(self, action: actions.Action) -> None:
        """Carries out an action that is specific to agents."""
        match action:
            case actions.StartRun():
                task = eventlet.spawn(self._backend_client.run, action)
                self._run_tasks[action.run_id] = task
                # A link is also called if the task is killed before it starts.
                # A ``finally`` in the task would not run, and the slot would
                # never be released.
                task.link(self._on_run_ended, action.run_id)
            case actions.CancelRun(run_id):
                task = self._run_tasks.get(run_id)
                if task is not None:
                    task.kill()

    def _on_run_ended(
        self, task: eventlet.greenthread.GreenThread, run_id: int
    ) -> None:
        self._run_tasks.pop(run_id, None)
        try:
            result = task.wait()
        except greenlet.GreenletExit:
            result = backend_client.CANCELLED
        except Exception:  # The slot must be released after any error.
            eliot.write_traceback()
            result = backend_client.FAULT
        if isinstance(result, greenlet.GreenletExit):
            result = backend_client.CANCELLED
        self._events.put(
            agent.RunFinished(
                run_id, result.outcome, result.shed, result.failed
            )
        )
