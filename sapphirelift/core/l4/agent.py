"""Agent: owns the flows of the backend server beside it.

All packets of the backend server pass through the agent in both directions,
so its table tells which flows there are.
"""

import collections
from typing import NamedTuple

from sapphirelift.core.l4 import actions
from sapphirelift.core.l4 import agents
from sapphirelift.core.l4 import backend as backend_module
from sapphirelift.core.l4 import flow_table
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import samples

_Phase = flow_table.Phase

# The backend server answers an opening packet within a millisecond, but its
# instance stalls for up to 100 ms when its processor quota is used up.
ACCEPT_MS = 80
# Callers give an opening packet up after 1.4 s.
OPEN_LIFETIME_MS = 1500
# Opening packets without an answer in a row after which the backend server
# is taken to be unresponsive, and for how long.
UNANSWERED_OPENS = 2
UNRESPONSIVE_MS = 500
# Half of the shortest deadline of requests (1.2 s), so that a caller who is
# refused then has time for another try.
MAX_HOLD_MS = 600
# A backend server queues requests beyond its slots. With twice as many as it
# has slots, the last one is done after twice the work, which meets the latency
# objectives (five times the work) for a cold one too.
EXTRA_OPENS_PER_SLOT = 1.0
# The request of a flow without an answer for this long is not counted as in
# progress any more, so that lost answers do not use up the room for others.
MAX_REQUEST_MS = 2000
# Weight of a new figure in averages.
RESPONSE_WEIGHT = 0.1
# Time constant of the average of requests in progress.
BUSY_AVERAGE_MS = 1000
MAX_BALANCERS = 1024
# A balancer that has been silent for this long gets fewer heartbeats, and
# after the second time none.
SILENT_BALANCER_MS = 3000
FORGET_BALANCER_MS = 60_000
SILENT_BALANCER_BEATS = 4
# An agent and its backend server start together; a backend server that is
# older has had flows through an earlier incarnation of the agent.
START_TOLERANCE_MS = 1500


class Identity(NamedTuple):
    """Names and place of an agent."""

    name: str
    address: messages.Address
    incarnation: int
    service: str
    data_centre: str
    region: str


class Agent:
    """Decisions of one agent.

    Attributes:
        backend: The backend server beside it.
        flows: Its flows.
        balancers: When each balancer was last heard.
        counters: Events by name.
        samples: Latencies for histograms: of accepted openings, and from a
            request to its answer.
    """

    def __init__(
        self,
        identity: Identity,
        *,
        report_interval_ms: int,
        started_unix_ms: int,
        is_first_start: bool,
        now_ms: int,
    ) -> None:
        """Creates an agent without flows.

        Args:
            identity: Names and place.
            report_interval_ms: Interval of the backend server's reports.
            started_unix_ms: Wall clock at the start.
            is_first_start: Whether the whole system starts for the first
                time, so that there are no earlier flows.
            now_ms: Current time.
        """
        self.identity = identity
        self.backend = backend_module.Backend(
            report_interval_ms=report_interval_ms
        )
        self.flows = flow_table.FlowTable()
        self.balancers: dict[messages.Address, int] = {}
        self.counters: collections.Counter[str] = collections.Counter()
        self.samples = samples.Samples("backend_accept", "response")
        self._report_interval_ms = report_interval_ms
        self._started_unix_ms = started_unix_ms
        self._has_full_table = is_first_start
        self._is_leaving = False
        self._is_evacuated = False
        self._evacuations_revision = 0
        self._configuration_revision = 0
        self._max_flows = 0
        self._idle_timeout_ms = 15_000
        self._beats = 0
        self._number = 0
        self._unanswered = 0
        self._unresponsive_until_ms = 0
        self._busy = 0
        self._busy_average = 0.0
        self._busy_ms = now_ms
        self._response_ms = 0.0
        self._state = agents.UNAVAILABLE
        self._actions: list[actions.Action] = []

    def drain_actions(self) -> list[actions.Action]:
        """Returns the actions decided since the last call."""
        decided, self._actions = self._actions, []
        return decided

    @property
    def has_pending(self) -> bool:
        """Whether ``tick`` has something to do soon."""
        return self.flows.has_opening

    def dump(self, now_ms: int) -> dict[str, object]:
        """Returns the state for operators."""
        return {
            "state": self.state(now_ms),
            "flows": self.flows.open_flows,
            "table": len(self.flows),
            "busy": self._busy,
            "response_ms": round(self._response_ms, 1),
            "balancers": len(self.balancers),
            "has_full_table": self._has_full_table,
            "is_evacuated": self._is_evacuated,
            "evacuations_revision": self._evacuations_revision,
            "configuration_revision": self._configuration_revision,
            "backend": self.backend.report,
        }

    # The backend server.

    def on_report(self, report: backend_module.Report, now_ms: int) -> None:
        """Takes a report of the backend server."""
        former = self.backend.report
        former_heard_ms = self.backend.heard_ms
        if not self.backend.hear(report, now_ms):
            self.counters["reports_overtaken"] += 1
            self._log(
                "report_overtaken",
                backend=report.backend_id,
                number=report.number,
                born_ms=report.born_ms,
            )
            return
        if former is None or (former.backend_id, former.born_ms) != (
            report.backend_id,
            report.born_ms,
        ):
            self._on_new_backend(former, report)
            if former is not None:
                self._reset_former_flows(former_heard_ms, now_ms)
        self._note_state(now_ms)

    def _on_new_backend(
        self,
        former: backend_module.Report | None,
        report: backend_module.Report,
    ) -> None:
        """Starts to follow another start of the backend server."""
        if (
            former is not None
            or report.born_ms >= self._started_unix_ms - START_TOLERANCE_MS
        ):
            self._has_full_table = True
        self._unanswered = 0
        self._unresponsive_until_ms = 0
        self._log(
            "backend_found",
            backend=report.backend_id,
            born_ms=report.born_ms,
            service=report.service,
            cold_ms=report.cold_ms,
            has_full_table=self._has_full_table,
            former=former.backend_id if former is not None else None,
        )

    def _reset_former_flows(self, former_heard_ms: int, now_ms: int) -> None:
        """Ends the flows of a former start before callers use them again.

        A caller that learns of it between two requests opens another flow;
        one that sends a request first may not be able to repeat it. Flows
        accepted after the last report of the former start may belong to the
        new one; they are left alone.
        """
        ended = [
            (key, flow)
            for key, flow in self.flows
            if flow.phase is _Phase.OPEN and flow.accepted_ms < former_heard_ms
        ]
        for key, flow in ended:
            self._set_idle(flow, now_ms)
            self.flows.remove(key)
            self.counters["resets_backend_restarted"] += 1
            self._actions.append(actions.ResetCaller(key, flow.caller_expects))
        if ended:
            self._log("flows_of_former_start_reset", flows=len(ended))

    def on_end(self, backend_id: str, now_ms: int) -> None:
        """Takes the news that the backend server leaves now."""
        if self.backend.end(backend_id):
            self._log(
                "backend_left",
                backend=backend_id,
                flows=self.flows.open_flows,
            )
            self.flows.clear()
            self._busy = 0
            self._note_state(now_ms)

    def state(self, now_ms: int) -> str:
        """Returns the state that balancers see."""
        if self._is_leaving:
            is_gone = self.backend.is_gone
            return agents.GONE if is_gone else agents.LEAVING
        if now_ms < self._unresponsive_until_ms:
            return agents.UNAVAILABLE
        return self.backend.state(now_ms)

    def _note_state(self, now_ms: int) -> None:
        """Tells the balancers at once when the state has changed."""
        state = self.state(now_ms)
        if state == self._state:
            return
        report = self.backend.report
        self._log(
            "backend_state",
            state=state,
            former_state=self._state,
            report_number=report.number if report is not None else None,
        )
        self._state = state
        self.send_heartbeats(now_ms)

    def leave(self, now_ms: int) -> None:
        """Announces that the agent is about to stop."""
        self._is_leaving = True
        self._note_state(now_ms)

    # Packets of the backend server.

    def on_backend_packet(self, received: packet.Packet, now_ms: int) -> None:
        """Takes a packet that the backend server has sent."""
        self._unanswered = 0
        if self._unresponsive_until_ms:
            self._unresponsive_until_ms = 0
            self._note_state(now_ms)
        flow = self.flows.get(received.flow)
        if received.is_syn and received.is_ack:
            self._on_accepted(received, flow, now_ms)
            return
        if flow is None:
            # Open since before this incarnation of the agent.
            flow = flow_table.Flow(_Phase.OPEN, messages.Address("", 0), now_ms)
            self.flows.add(received.flow, flow)
            self.counters["flows_relearned"] += 1
        self.flows.use(received.flow, flow, now_ms)
        if received.payload_bytes and flow.request_ms is not None:
            self._on_response(flow, now_ms)
        if received.is_fin or received.is_reset:
            self._end(received.flow, flow, now_ms)
        self._actions.append(actions.SendCaller(received))

    def _on_accepted(
        self,
        received: packet.Packet,
        flow: flow_table.Flow | None,
        now_ms: int,
    ) -> None:
        if flow is None:
            # Passed on to another agent since, or unknown after a restart.
            self.counters["late_accepts_dropped"] += 1
            return
        flow.initial_sequence = received.sequence
        flow.accepted_ms = now_ms
        self.flows.use(received.flow, flow, now_ms)
        if flow.phase is _Phase.OPENING:
            self.flows.move(received.flow, flow, _Phase.ACCEPTED)
            self.counters["flows_accepted"] += 1
            self.samples.add("backend_accept", now_ms - flow.sent_ms)
            self._log(
                "flow_accepted",
                flow=str(received.flow),
                flows=self.flows.open_flows,
                busy=self._busy,
                waited_ms=now_ms - flow.sent_ms,
            )
            self._tell_opened(received.flow, flow)
        self._actions.append(actions.SendCaller(received))

    def _tell_opened(self, key: packet.FlowKey, flow: flow_table.Flow) -> None:
        if flow.initial_sequence is None:
            return
        opened = messages.Opened(
            key,
            self.identity.address,
            flow.initial_sequence,
            self.flows.open_flows,
        )
        self._send(flow.balancer, opened)

    def on_bounced(self, received: packet.Packet, now_ms: int) -> None:
        """Takes a caller's packet that the backend server has sent back.

        Args:
            received: The packet, as the caller sent it.
            now_ms: Current time.
        """
        self._unanswered = 0
        key = received.flow
        flow = self.flows.get(key)
        if received.is_syn:
            self.counters["opens_bounced"] += 1
            if flow is not None and flow.phase is _Phase.OPENING:
                self._pass_on(key, flow, "backend_refused", now_ms)
            return
        self.counters["packets_bounced"] += 1
        if flow is None:
            return
        is_probe = flow.caller_sequence is None
        balancer = flow.balancer
        phase = flow.phase
        self._set_idle(flow, now_ms)
        self.flows.remove(key)
        if is_probe or phase is not _Phase.OPEN:
            # Never held here, as far as is known.
            missed = messages.Missed(self.identity.address, received.raw)
            self._send(balancer, missed)
            return
        # The backend server has lost the flow, for example by a restart.
        self.counters["resets_flow_lost"] += 1
        self._log("flow_lost_by_backend", flow=str(key), outcome="reset")
        self._reset(received)

    def _reset(self, received: packet.Packet) -> None:
        if not received.is_reset:
            self._actions.append(
                actions.ResetCaller(received.flow, received.acknowledged)
            )

    # Packets of callers.

    def on_open(
        self, opened: messages.Open, received: packet.Packet, now_ms: int
    ) -> None:
        """Takes an opening packet."""
        key = received.flow
        flow = self.flows.get(key)
        if flow is not None and flow.caller_sequence == received.sequence:
            flow.balancer = opened.balancer
            self._tell_opened(key, flow)
            if flow.phase is not _Phase.HELD:
                self._actions.append(actions.SendBackend(opened.data))
            return
        reason = self._refusal(opened, now_ms)
        if reason:
            self._refuse(key, opened, reason, 0)
            return
        if self._offer_elsewhere(key, opened, now_ms):
            return
        wait_ms = self.backend.reserve_open(now_ms)
        if wait_ms > MAX_HOLD_MS:
            self.backend.cancel_open()
            self._refuse(key, opened, "cold", wait_ms)
            return
        if flow is not None:
            self._set_idle(flow, now_ms)
        self.counters["opens"] += 1
        flow = flow_table.Flow(
            _Phase.HELD,
            opened.balancer,
            now_ms,
            caller_sequence=received.sequence,
            others=tuple(opened.others),
            opening_data=opened.data,
            sent_ms=now_ms + wait_ms,
            held_ms=now_ms,
        )
        self.flows.add(key, flow)
        if wait_ms or not self._has_room(now_ms):
            self._tell_held(key, flow, wait_ms, now_ms)
        else:
            self._give_open(key, flow, now_ms)

    def _offer_elsewhere(
        self, key: packet.FlowKey, opened: messages.Open, now_ms: int
    ) -> bool:
        """Passes a flow on that would have to wait for a slot here.

        Balancers know loads of a moment ago, an agent knows its own. Once all
        candidates have been offered the flow, the least busy one takes it.

        Returns:
            Whether the flow has been passed on.
        """
        load = self._load(now_ms)
        address = self.identity.address
        is_settled = not opened.unoffered and opened.least_busy is None
        if load < 1.0 or is_settled:
            return False
        if opened.least_busy is None or load < opened.least_load:
            opened = opened._replace(least_busy=address, least_load=load)
        unoffered = opened.unoffered
        if unoffered:
            following = opened.others[0]
            opened = opened._replace(unoffered=unoffered - 1)
        elif opened.least_busy == address or opened.least_busy is None:
            return False
        else:
            following = opened.least_busy
            opened = opened._replace(least_busy=None)
        others = tuple(other for other in opened.others if other != following)
        self.counters["opens_passed_on_busy"] += 1
        self._log(
            "open_passed_on",
            flow=str(key),
            reason="busy",
            others=len(opened.others),
            load=round(load, 2),
        )
        self._send(following, opened._replace(others=(*others, address)))
        return True

    def _load(self, now_ms: int) -> float:
        """Returns the requests in progress, and about to come, per slot."""
        return self._work(now_ms) / max(self._slots, 1)

    def _work(self, now_ms: int) -> int:
        """Returns the requests in progress and about to come."""
        return self._busy + self.flows.waiting(now_ms)

    @property
    def _slots(self) -> int:
        report = self.backend.report
        return report.slots if report is not None else 1

    def _tell_held(
        self,
        key: packet.FlowKey,
        flow: flow_table.Flow,
        wait_ms: int,
        now_ms: int,
    ) -> None:
        self.counters["opens_held"] += 1
        self._log(
            "open_held",
            flow=str(key),
            wait_ms=wait_ms,
            busy=self._busy,
            opening=self.flows.waiting(now_ms),
            cold_ms=self.backend.cold_ms(now_ms),
            cold_opens_per_s=self.backend.cold_opens_per_s,
        )
        held = messages.Held(key, self.identity.address, MAX_HOLD_MS)
        self._send(flow.balancer, held)

    def _has_room(self, now_ms: int) -> bool:
        """Tells whether the backend server can begin another request soon.

        A flow that opens brings a request at once. Beyond its slots and a
        few more, the backend server would shed it.
        """
        extra = max(round(self._slots * EXTRA_OPENS_PER_SLOT), 1)
        return self._work(now_ms) < self._slots + extra

    def _release(self, now_ms: int) -> None:
        """Opens held flows, the newest first.

        The callers of older ones are late already; taking them first would
        make those late that come in time.
        """
        for key, flow in reversed(self.flows.held()):
            if now_ms - flow.held_ms > MAX_HOLD_MS:
                # Held once more elsewhere, it would outlast its caller.
                flow.others = ()
                self._pass_on(key, flow, "overloaded", now_ms)
            elif now_ms >= flow.sent_ms and self._has_room(now_ms):
                self._give_open(key, flow, now_ms)

    def _give_open(
        self, key: packet.FlowKey, flow: flow_table.Flow, now_ms: int
    ) -> None:
        flow.sent_ms = now_ms
        self._actions.append(actions.SendBackend(flow.opening_data))
        self.flows.move(key, flow, _Phase.OPENING)

    def _refusal(self, opened: messages.Open, now_ms: int) -> str:
        """Returns why a flow may not open here, empty if it may."""
        report = self.backend.report
        if opened.service != self.identity.service or (
            report is not None and report.service != opened.service
        ):
            return "wrong_service"
        state = self.state(now_ms)
        if state != agents.READY:
            return state
        if self._is_evacuated:
            return "evacuated"
        if 0 < self._max_flows <= self.flows.open_flows:
            return "full"
        if (
            opened.others
            and opened.spares_cold
            and self.backend.is_spared(now_ms)
        ):
            return "cold"
        return ""

    def _refuse(
        self,
        key: packet.FlowKey,
        opened: messages.Open,
        reason: str,
        wait_ms: int,
    ) -> None:
        """Hands an opening packet to the next agent, or refuses it."""
        self.counters[f"opens_passed_on_{reason}"] += 1
        self._log(
            "open_passed_on",
            flow=str(key),
            reason=reason,
            others=len(opened.others),
            flows=self.flows.open_flows,
        )
        if opened.others:
            onward = opened._replace(
                others=tuple(opened.others[1:]),
                unoffered=max(opened.unoffered - 1, 0),
            )
            self._send(opened.others[0], onward)
            return
        refused = messages.Refused(key, self.identity.address, reason, wait_ms)
        self._send(opened.balancer, refused)

    def _pass_on(
        self,
        key: packet.FlowKey,
        flow: flow_table.Flow,
        reason: str,
        now_ms: int,
    ) -> None:
        """Gives a flow up that the backend server has not accepted."""
        self.flows.remove(key)
        opened = messages.Open(
            self.identity.service,
            flow.balancer,
            flow.others,
            False,
            flow.opening_data,
        )
        self._refuse(key, opened, reason, 0)

    def on_deliver(
        self,
        deliver: messages.Deliver,
        received: packet.Packet,
        now_ms: int,
    ) -> None:
        """Takes a later packet of a flow."""
        key = received.flow
        flow = self.flows.get(key)
        if flow is None:
            if self._has_full_table:
                self.counters["packets_missed"] += 1
                missed = messages.Missed(self.identity.address, deliver.data)
                self._send(deliver.balancer, missed)
                return
            self.counters["packets_probed"] += 1
            flow = flow_table.Flow(
                _Phase.OPEN, deliver.balancer, now_ms, accepted_ms=now_ms
            )
            self.flows.add(key, flow)
        if flow.phase is _Phase.ACCEPTED and not self._confirm(
            flow, received, deliver
        ):
            return
        if flow.phase is _Phase.ACCEPTED:
            flow.sent_ms = now_ms
            self.flows.move(key, flow, _Phase.OPEN)
        flow.balancer = deliver.balancer
        if received.is_ack:
            flow.caller_expects = received.acknowledged
        self.flows.use(key, flow, now_ms)
        if received.payload_bytes and flow.request_ms is None:
            self._set_busy(flow, now_ms)
        if received.is_reset:
            self._end(key, flow, now_ms)
        elif received.is_fin:
            # The caller waits for no answer any more.
            self._set_idle(flow, now_ms)
        self._actions.append(actions.SendBackend(deliver.data))

    def _confirm(
        self,
        flow: flow_table.Flow,
        received: packet.Packet,
        deliver: messages.Deliver,
    ) -> bool:
        """Tells whether the caller has taken the flow that opened here."""
        assert flow.initial_sequence is not None
        first_byte = (flow.initial_sequence + 1) & 0xFFFFFFFF
        if received.is_reset or received.acknowledged == first_byte:
            return True
        self.counters["opened_elsewhere"] += 1
        missed = messages.Missed(self.identity.address, deliver.data)
        self._send(deliver.balancer, missed)
        return False

    def on_ask(
        self, ask: messages.Ask, sender: messages.Address, now_ms: int
    ) -> None:
        """Tells a balancer whether a flow is here."""
        flow = self.flows.get(ask.flow)
        if flow is not None and flow.phase.is_owned:
            verdict = messages.OWNS
        elif self._has_full_table:
            verdict = messages.OWNS_NOT
        else:
            verdict = messages.MAY_OWN
        answer = messages.Answer(ask.flow, self.identity.address, verdict)
        self._send(sender, answer)

    # Load.

    def _average_busy(self, now_ms: int) -> None:
        passed_ms = now_ms - self._busy_ms
        if passed_ms > 0:
            share = min(passed_ms / BUSY_AVERAGE_MS, 1.0)
            self._busy_average += share * (self._busy - self._busy_average)
            self._busy_ms = now_ms

    def _set_busy(self, flow: flow_table.Flow, now_ms: int) -> None:
        self._average_busy(now_ms)
        flow.request_ms = now_ms
        self._busy += 1

    def _set_idle(self, flow: flow_table.Flow, now_ms: int) -> None:
        if flow.request_ms is not None:
            self._average_busy(now_ms)
            flow.request_ms = None
            self._busy -= 1

    def _on_response(self, flow: flow_table.Flow, now_ms: int) -> None:
        assert flow.request_ms is not None
        took_ms = now_ms - flow.request_ms
        self._set_idle(flow, now_ms)
        if self.flows.has_opening:
            self._release(now_ms)
        self.samples.add("response", took_ms)
        self._response_ms += RESPONSE_WEIGHT * (took_ms - self._response_ms)

    def _end(
        self, key: packet.FlowKey, flow: flow_table.Flow, now_ms: int
    ) -> None:
        self._set_idle(flow, now_ms)
        self.flows.move(key, flow, _Phase.ENDED)

    # Balancers.

    def add_balancer(self, address: messages.Address, now_ms: int) -> bool:
        """Starts to send heartbeats to a balancer; returns whether new."""
        if address in self.balancers or len(self.balancers) >= MAX_BALANCERS:
            return False
        self.balancers[address] = now_ms
        self._log("balancer_found", ip=address.ip)
        self._beat_to(address, now_ms)
        return True

    def on_hello(self, hello: messages.Hello, now_ms: int) -> None:
        """Answers a balancer that introduces itself."""
        if not self.add_balancer(hello.balancer, now_ms):
            self.balancers[hello.balancer] = now_ms
            self._beat_to(hello.balancer, now_ms)

    def on_ack(self, ack: messages.HeartbeatAck, now_ms: int) -> None:
        """Takes what a balancer has in force."""
        # One that leaves is kept: it comes back at the same address.
        self.balancers[ack.balancer] = now_ms
        for address in ack.balancers:
            self.add_balancer(address, now_ms)
        if ack.configuration_revision > self._configuration_revision:
            self._configuration_revision = ack.configuration_revision
            self.backend.cold_opens_per_s = ack.cold_opens_per_s
            self._max_flows = ack.max_flows
            self._idle_timeout_ms = ack.idle_timeout_ms
            self._log(
                "configuration_in_force",
                revision=ack.configuration_revision,
                cold_opens_per_s=ack.cold_opens_per_s,
                idle_timeout_ms=ack.idle_timeout_ms,
            )
        if ack.evacuations_revision > self._evacuations_revision:
            self._evacuations_revision = ack.evacuations_revision
            self._set_evacuated(ack.is_evacuated, now_ms)

    def _set_evacuated(self, is_evacuated: bool, now_ms: int) -> None:
        if is_evacuated == self._is_evacuated:
            return
        self._is_evacuated = is_evacuated
        if not is_evacuated:
            # It may have become cold meanwhile and not said so yet.
            self.backend.assume_cold(now_ms, 2 * self._report_interval_ms)
        self._log(
            "evacuated" if is_evacuated else "evacuation_ended",
            data_centre=self.identity.data_centre,
            revision=self._evacuations_revision,
        )

    def has_heard_balancer(self, now_ms: int) -> bool:
        """Tells whether a balancer has been heard lately."""
        return any(
            now_ms - heard_ms <= SILENT_BALANCER_MS
            for heard_ms in self.balancers.values()
        )

    def send_heartbeats(self, now_ms: int) -> None:
        """Sends a heartbeat to the balancers, to silent ones less often."""
        self._beats += 1
        for address, heard_ms in list(self.balancers.items()):
            silent_ms = now_ms - heard_ms
            if silent_ms > FORGET_BALANCER_MS:
                del self.balancers[address]
                self._log("balancer_forgotten", ip=address.ip)
            elif (
                silent_ms <= SILENT_BALANCER_MS
                or self._beats % SILENT_BALANCER_BEATS == 0
            ):
                self._beat_to(address, now_ms)

    def _beat_to(self, address: messages.Address, now_ms: int) -> None:
        self._send(address, self.heartbeat(now_ms))

    def heartbeat(self, now_ms: int) -> messages.Heartbeat:
        """Returns the state for balancers; each one is newer."""
        self._average_busy(now_ms)
        self._number += 1
        return messages.Heartbeat(
            name=self.identity.name,
            address=self.identity.address,
            incarnation=self.identity.incarnation,
            number=self._number,
            service=self.identity.service,
            data_centre=self.identity.data_centre,
            region=self.identity.region,
            state=self.state(now_ms),
            slots=self._slots,
            flows=self.flows.open_flows,
            busy=round(self._busy_average, 2),
            response_ms=round(self._response_ms, 1),
            cold_ms=self.backend.cold_ms(now_ms),
            has_full_table=self._has_full_table,
        )

    # Time.

    def tick(self, now_ms: int) -> None:
        """Acts on what has taken too long; to be called each 20 ms."""
        for key, flow in self.flows.opening():
            if flow.phase is _Phase.HELD:
                continue
            if now_ms - flow.sent_ms > OPEN_LIFETIME_MS:
                self.flows.remove(key)
                self.counters["opens_unanswered"] += 1
                self._log("open_timed_out", flow=str(key))
                continue
            if now_ms - flow.sent_ms < ACCEPT_MS or not flow.others:
                continue
            self._unanswered += 1
            if self._unanswered >= UNANSWERED_OPENS:
                self._unresponsive_until_ms = now_ms + UNRESPONSIVE_MS
            self._pass_on(key, flow, "unanswered", now_ms)
        self._release(now_ms)
        self._note_state(now_ms)

    def sweep(self, now_ms: int) -> None:
        """Discards what is out of date; to be called each second."""
        for _, flow in self.flows:
            request_ms = flow.request_ms
            if request_ms is not None and now_ms - request_ms > MAX_REQUEST_MS:
                self._set_idle(flow, now_ms)
                self.counters["requests_without_answer"] += 1
        for _, flow in self.flows.sweep(
            now_ms, idle_timeout_ms=self._idle_timeout_ms
        ):
            self._set_idle(flow, now_ms)
        self._note_state(now_ms)

    def _send(
        self, address: messages.Address, message: messages.Message
    ) -> None:
        if address.port:
            self._actions.append(actions.SendDaemon(address, message))

    def _log(self, event: str, **fields: object) -> None:
        self._actions.append(actions.Log(event, fields))
