"""Agent: owns the flows of the backend server on its instance.

All packets to and from the backend server pass through the agent, so its flow
table reflects which flows the backend server has.
"""

import collections
from typing import NamedTuple

from sapphirelift.core import revisions
from sapphirelift.core.l4 import actions
from sapphirelift.core.l4 import admission
from sapphirelift.core.l4 import agents
from sapphirelift.core.l4 import backend as backend_module
from sapphirelift.core.l4 import departure
from sapphirelift.core.l4 import flow_table
from sapphirelift.core.l4 import heartbeats
from sapphirelift.core.l4 import known_terms
from sapphirelift.core.l4 import load_settings
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import ownership
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import questions
from sapphirelift.core.l4 import requests
from sapphirelift.core.l4 import routes
from sapphirelift.core.l4 import samples
from sapphirelift.core.l4 import terms
from sapphirelift.core.l4 import work
from sapphirelift.core.membership import freshness

_Phase = flow_table.Phase

# Time the backend server has to answer an opening packet before it is passed on
# to another agent. It normally takes less than a millisecond, but an instance
# that has used up its CPU quota stalls for up to 100 ms.
ACCEPT_MS = 105
# After this many consecutive unanswered opening packets, the backend server
# counts as unresponsive for ``UNRESPONSIVE_MS``.
UNANSWERED_OPENS = 2
UNRESPONSIVE_MS = 500
# The supervisor of an instance starts the processes of the agent and of its
# backend server within this time. A backend server that started earlier may
# have flows opened through an earlier incarnation of the agent.
START_TOLERANCE_MS = 500
# Reports that a backend server may send beyond one an interval: it repeats
# those that are not acknowledged, as while its agent starts.
EXTRA_REPORTS = 4
# Interval between two calls of ``sweep``.
SWEEP_MS = 1000


class Identity(NamedTuple):
    """Name, address and location of an agent."""

    name: str
    address: messages.Address
    incarnation: int
    service: str
    data_centre: str
    region: str


class Agent:
    """Decision logic of one agent, without I/O.

    Attributes:
        identity: Name, address and location.
        backend: State of the backend server on the same instance.
        flows: Flow table.
        balancers: Known balancers and when each gets its next heartbeat.
        store_era: Newest era of the store that a balancer has announced.
        counters: Event counts by name.
        samples: Latencies for histograms: of accepted openings, from a
            request to its answer, and of requests that were held.
    """

    def __init__(
        self,
        identity: Identity,
        *,
        report_interval_ms: int,
        started_unix_ms: int,
        is_first_start: bool,
        now_ms: int,
        load: load_settings.LoadSettings = load_settings.NONE,
    ) -> None:
        """Creates an agent without flows.

        Args:
            identity: Name, address and location.
            report_interval_ms: Interval of the backend server's reports.
            started_unix_ms: Wall-clock time of the start of the process.
            is_first_start: Whether the whole system starts for the first
                time, so that no earlier flows exist.
            now_ms: Current time.
            load: Decisions under load that the deployment asks for.
        """
        self.identity = identity
        self.load_settings = load
        self.backend = backend_module.Backend(
            report_interval_ms=report_interval_ms
        )
        self._departure = departure.Departure()
        self.flows = flow_table.FlowTable()
        self.balancers = heartbeats.Schedule()
        self.store_era = 0
        self.counters: collections.Counter[str] = collections.Counter()
        self.samples = samples.Samples(
            "backend_accept", "response", "request_wait"
        )
        self._admission = admission.Admission(
            admission.ByPriority()
            if load.admits_by_priority
            else admission.NewestFirst(),
            self.counters,
        )
        self._report_interval_ms = report_interval_ms
        self._started_unix_ms = started_unix_ms
        self._started_ms = now_ms
        self._swept_ms = now_ms
        self._observed_ms = 0
        self._has_full_table = is_first_start
        self._is_leaving = False
        # Names its own data centre at most.
        self._evacuations = routes.Evacuations()
        self._known_terms = known_terms.KnownTerms()
        # Version and revision; the other values are kept where they are used.
        self._configuration = routes.Configuration()
        self._max_flows = 0
        self._idle_timeout_ms = 15_000
        self._heartbeat_number = 0
        self._questions = questions.Questions(self.flows)
        self._unanswered_opens = 0
        self._unresponsive_until_ms = 0
        self._work = work.Work(self.counters, load)
        self._requests = requests.Requests(
            self.counters,
            self.samples,
            send=self._send_backend,
            log=self._log,
            on_unanswered=self._work.on_unanswered,
            now_ms=now_ms,
        )
        self._state = agents.UNAVAILABLE
        self._freshness = freshness.Freshness()
        self._resumed_number = 0
        self._actions: list[actions.Action] = []

    def drain_actions(self) -> list[actions.Action]:
        """Returns and clears the actions queued since the last call."""
        decided, self._actions = self._actions, []
        return decided

    @property
    def has_pending(self) -> bool:
        """Whether ``tick`` has openings, requests or questions to forward."""
        return (
            self.flows.has_opening
            or bool(self._questions)
            or bool(self._requests.waiting)
        )

    def dump(self, now_ms: int) -> dict[str, object]:
        """Returns the internal state for operators."""
        return {
            "state": self.state(now_ms),
            "flows": self.flows.open_flows,
            "table": len(self.flows),
            "busy": self._active_requests,
            "waiting": self._requests.waiting,
            "response_ms": round(self._requests.response_ms, 1),
            "work": self._work.report()._asdict(),
            "balancers": len(self.balancers),
            "has_full_table": self._has_full_table,
            "is_evacuated": self._is_evacuated,
            "evacuations_revision": self._evacuations.revision,
            "configuration_revision": self._configuration.revision,
            "configuration_version": self._configuration.version,
            "backend": self.backend.report,
        }

    def observe(self, boot_ms: int, now_ms: int) -> None:
        """Notices if the process was paused; to be called often.

        What balancers have told the agent may be out of date then: it takes
        no new flows until a balancer has answered a heartbeat.

        Args:
            boot_ms: Time on a clock that runs while the instance is suspended.
            now_ms: Current time.
        """
        if not self._freshness.observe(boot_ms):
            return
        self.counters["resumed"] += 1
        self._resumed_number = self._heartbeat_number
        held = self.flows.held()
        self._log("resumed", held=len(held), flows=self.flows.open_flows)
        for key, flow in held:
            self._abandon_open(key, flow, "stale", now_ms)
        self._requests.release(requests.UNLIMITED, now_ms)
        self.announce(now_ms)

    # The backend server.

    def set_report_interval(self, interval_ms: int) -> None:
        """Sets the interval of the backend server's reports."""
        self._report_interval_ms = interval_ms
        self.backend.set_report_interval(interval_ms)

    def on_report(self, report: backend_module.Report, now_ms: int) -> None:
        """Handles a report of the backend server."""
        former = self.backend.report
        if not self.backend.update_from_report(report, now_ms):
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
            self._on_new_backend(former, report, now_ms)
            if former is not None:
                self._questions.add_open_flows()
                self._send_questions()
        self._announce_state_change(now_ms)

    def _on_new_backend(
        self,
        former: backend_module.Report | None,
        report: backend_module.Report,
        now_ms: int,
    ) -> None:
        """Handles the first report after a start of the backend server."""
        if self._has_started_before(report, now_ms):
            self._has_full_table = True
        self._unanswered_opens = 0
        self._unresponsive_until_ms = 0
        if former is not None:
            # The requests of the former one have ended with it. Those held are
            # returned, so that their callers hear at once.
            self._requests.release(requests.UNLIMITED, now_ms)
            self._requests.clear(now_ms)
        self._work.reset()
        self._log(
            "backend_found",
            backend=report.backend_id,
            born_ms=report.born_ms,
            service=report.service,
            cold_ms=report.cold_ms,
            has_full_table=self._has_full_table,
            former=former.backend_id if former is not None else None,
        )

    def _has_started_before(
        self, report: backend_module.Report, now_ms: int
    ) -> bool:
        """Returns whether the agent started before its backend server.

        Then all flows of the server have been opened through this process.
        The wall clock may have been set back between the two starts, but a
        server cannot have reported more often than there was time for.
        """
        since_start_ms = now_ms - self._started_ms + START_TOLERANCE_MS
        possible_reports = (
            EXTRA_REPORTS + since_start_ms / self._report_interval_ms
        )
        return (
            report.born_ms >= self._started_unix_ms - START_TOLERANCE_MS
            and report.number <= possible_reports
        )

    def _send_questions(self) -> None:
        for data in self._questions.take():
            self.counters["flows_questioned"] += 1
            self._send_backend(data)

    def on_end(
        self, backend_id: str, now_ms: int, *, born_ms: int | None = None
    ) -> None:
        """Handles the notice that the backend server is about to leave.

        It gets no new flows. Those that it has are its own until it is gone.

        Args:
            backend_id: Name of the backend server.
            now_ms: Current time.
            born_ms: Its start time, None if the notice does not tell.
        """
        newest = self.backend.report
        notice = backend_module.EndNotice(backend_id, born_ms)
        if not self.backend.announce_end(notice, now_ms):
            self.counters["end_notices_ignored"] += 1
            self._log(
                "end_notice_ignored",
                backend=backend_id,
                born_ms=born_ms,
                current=newest.backend_id if newest is not None else None,
            )
            return
        self._log(
            "backend_leaving",
            backend=backend_id,
            flows=self.flows.open_flows,
            report_age_ms=now_ms - self.backend.last_heard_ms,
        )
        for key, flow in self.flows.held():
            self._abandon_open(key, flow, agents.CLOSED, now_ms)
        self._announce_state_change(now_ms)
        self._check_backend(self._departure.begin())

    def _check_backend(self, after_ms: int | None) -> None:
        if after_ms is not None:
            self._actions.append(actions.CheckBackend(after_ms))

    def on_backend_checked(
        self, *, is_refused: bool, now_ms: int, is_last: bool = False
    ) -> None:
        """Handles the outcome of a check of the backend server's port.

        Args:
            is_refused: Whether the connection was refused.
            now_ms: Current time.
            is_last: Whether the agent is about to stop, and will not check
                again; one refused connection is then enough.
        """
        if is_last:
            if is_refused and not self.backend.has_departed:
                self._on_backend_gone(now_ms)
            return
        if not self.backend.has_announced_end:
            # A later report has shown that the server lives.
            self._departure.end()
            return
        if self._departure.is_gone(is_refused=is_refused, now_ms=now_ms):
            self._departure.end()
            self._on_backend_gone(now_ms)
        else:
            self._check_backend(self._departure.next_check_ms())

    def _on_backend_gone(self, now_ms: int) -> None:
        """Ends the flows of a backend server whose process has exited."""
        self.backend.confirm_end()
        report = self.backend.report
        self._log(
            "backend_left",
            backend=report.backend_id if report is not None else None,
            flows=self.flows.open_flows,
        )
        for key, flow in list(self.flows):
            if flow.phase is _Phase.OPEN:
                # Not a flow that is only accepted: its caller may have taken
                # the acceptance of another server.
                self.counters["resets_backend_left"] += 1
                self._log_reset(key, flow, "backend_left", now_ms)
                self._actions.append(
                    actions.ResetCaller(key, flow.caller_acknowledged)
                )
            elif flow.phase.is_opening:
                self._abandon_open(key, flow, agents.UNAVAILABLE, now_ms)
        self.flows.clear()
        self._requests.clear(now_ms)
        # A server that starts now has no flows of before.
        self._has_full_table = True
        self._announce_state_change(now_ms)

    def state(self, now_ms: int) -> str:
        """Returns the state announced to balancers."""
        if self._is_leaving:
            has_departed = self.backend.has_departed
            return agents.GONE if has_departed else agents.LEAVING
        if now_ms < self._unresponsive_until_ms:
            return agents.CLOSED
        return self.backend.state(now_ms)

    def _announce_state_change(self, now_ms: int) -> None:
        """Sends heartbeats immediately if the state has changed.

        Requests that are held for another state go to the backend server.
        """
        self._requests.release(self._request_room(now_ms), now_ms)
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
        self.announce(now_ms)

    def announce(self, now_ms: int) -> None:
        """Sends heartbeats to all balancers now."""
        for address in self.balancers.all():
            self._send_heartbeat(address, now_ms)

    @property
    def is_stopping(self) -> bool:
        """Whether it has announced a stop while its server lives on."""
        return self._is_leaving and not self.backend.has_departed

    def leave(self, now_ms: int) -> None:
        """Announces that the agent is about to stop.

        Openings that it holds are passed on; their callers would wait for it.
        """
        self._is_leaving = True
        for key, flow in self.flows.held():
            self._abandon_open(key, flow, agents.LEAVING, now_ms)
        self._announce_state_change(now_ms)

    # Packets from the backend server.

    def on_backend_packet(self, received: packet.Packet, now_ms: int) -> None:
        """Handles a packet from the backend server to a caller."""
        self._departure.on_sign_of_life()
        self._unanswered_opens = 0
        if self._unresponsive_until_ms:
            self._unresponsive_until_ms = 0
            self._announce_state_change(now_ms)
        flow = self.flows.get(received.flow)
        if flow is not None and flow.phase is _Phase.PROBED:
            self._confirm_probed(received.flow, flow)
        if flow is not None and flow.phase is _Phase.RETURNED:
            if not received.is_syn:
                self._remove_flow(received.flow, now_ms)
            flow = None
        if received.is_syn and received.is_ack:
            self._on_accepted(received, flow, now_ms)
            return
        if flow is None:
            # Opened before this incarnation of the agent.
            flow = flow_table.Flow(
                _Phase.OPEN,
                messages.Address("", 0),
                now_ms,
                accepted_ms=now_ms,
            )
            self._add_flow(received.flow, flow, now_ms)
            self.counters["flows_relearned"] += 1
        self.flows.touch(received.flow, flow, now_ms)
        if received.payload_bytes and self._requests.is_answered_by(
            flow, received
        ):
            assert flow.request_sent_ms is not None
            self._work.on_answer(
                received, flow.request_sent_ms, slots=self._slots, now_ms=now_ms
            )
            self._on_response(flow, now_ms)
        self._work.on_end(
            received,
            None if flow.has_caller_left else flow.request_sent_ms,
            now_ms,
        )
        if received.is_fin or received.is_reset:
            self._requests.on_server_ended(flow, now_ms)
            self.flows.move(received.flow, flow, _Phase.ENDED)
        self._actions.append(actions.SendCaller(received))

    def _confirm_probed(
        self, key: packet.FlowKey, flow: flow_table.Flow
    ) -> None:
        """Tells the balancer that the backend server has a probed flow."""
        self.counters["flows_relearned"] += 1
        self.flows.move(key, flow, _Phase.OPEN)
        answer = messages.Answer(key, self.identity.address, messages.OWNS)
        self._send(flow.balancer, answer)

    def _on_accepted(
        self,
        received: packet.Packet,
        flow: flow_table.Flow | None,
        now_ms: int,
    ) -> None:
        if flow is None:
            # The opening has been passed on to another agent, or was forgotten
            # in a restart.
            self.counters["late_accepts_dropped"] += 1
            return
        flow.initial_sequence = received.sequence
        flow.accepted_ms = now_ms
        self.flows.touch(received.flow, flow, now_ms)
        if flow.phase.is_opening:
            # A held opening was sent to the backend server before, passed on
            # to other agents and offered here again.
            was_held = flow.phase is _Phase.HELD
            since_ms = flow.held_ms if was_held else flow.sent_ms
            self.flows.move(received.flow, flow, _Phase.ACCEPTED)
            self.counters["flows_accepted"] += 1
            self.samples.add("backend_accept", now_ms - since_ms)
            self._log(
                "flow_accepted",
                flow=str(received.flow),
                flows=self.flows.open_flows,
                busy=self._active_requests,
                waited_ms=now_ms - since_ms,
                was_held=was_held,
            )
            self._send_opened(received.flow, flow)
        self._actions.append(actions.SendCaller(received))

    def _send_opened(self, key: packet.FlowKey, flow: flow_table.Flow) -> None:
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
        """Handles a caller's packet returned unprocessed by the backend server.

        Args:
            received: The packet as sent by the caller.
            now_ms: Current time.
        """
        self._unanswered_opens = 0
        key = received.flow
        flow = self.flows.get(key)
        if received.is_syn:
            self.counters["opens_bounced"] += 1
            self._work.on_returned(now_ms)
            if flow is not None and flow.phase is _Phase.OPENING:
                self._abandon_open(key, flow, "backend_refused", now_ms)
            return
        self.counters["packets_bounced"] += 1
        if flow is None:
            return
        is_probe = flow.caller_sequence is None
        balancer = flow.balancer
        phase = flow.phase
        if is_probe:
            self._requests.finish(flow, now_ms)
            self.flows.move(key, flow, _Phase.RETURNED)
            self.flows.touch(key, flow, now_ms)
        else:
            self._remove_flow(key, now_ms)
        if is_probe or phase is not _Phase.OPEN:
            # The backend server may never have had this flow.
            missed = messages.Missed(self.identity.address, received.raw)
            self._send(balancer, missed)
            return
        # The backend server has lost the flow, for example by a restart.
        self.counters["resets_flow_lost"] += 1
        self._log_reset(key, flow, "denied_by_backend", now_ms)
        self._reset(received)

    def _reset(self, received: packet.Packet) -> None:
        if not received.is_reset:
            self._actions.append(
                actions.ResetCaller(received.flow, received.acknowledged)
            )

    # Packets from callers.

    def on_open(
        self, offer: messages.Open, received: packet.Packet, now_ms: int
    ) -> None:
        """Handles an opening packet."""
        key = received.flow
        self._known_terms.note(key, offer.terms)
        flow = self.flows.get(key)
        if flow is not None and flow.is_opened_by(received, now_ms):
            flow.balancer = offer.balancer
            flow.add_offer(offer)
            self._send_opened(key, flow)
            if flow.phase is not _Phase.HELD:
                self._actions.append(actions.SendBackend(offer.data))
            return
        if offer.is_extra and not self._has_room_for_extra(offer, now_ms):
            self._refuse_extra(key, offer.balancer)
            return
        reason = self._refusal_reason(offer, now_ms)
        if reason:
            self._pass_on_or_refuse(key, offer, reason, 0)
            return
        if self._pass_on_if_busy(key, offer, now_ms):
            return
        wait_ms = self.backend.reserve_open(now_ms)
        arrived = admission.Held(
            key, now_ms, now_ms + wait_ms, self._terms_of(key)
        )
        refusal = self._admission.on_arrival(
            arrived, self._held_openings(), self._room(now_ms), now_ms
        )
        if refusal is not None:
            self.backend.cancel_reservation()
            if refusal.reason != "cold":
                # The other candidates have as much to do.
                offer = offer._replace(others=())
            self._pass_on_or_refuse(
                key, offer, refusal.reason, refusal.retry_after_ms
            )
            return
        self.counters["opens"] += 1
        flow = flow_table.Flow(
            _Phase.HELD,
            offer.balancer,
            now_ms,
            caller_sequence=received.sequence,
            others=tuple(offer.others),
            opening_data=offer.data,
            sent_ms=now_ms + wait_ms,
            held_ms=now_ms,
            is_extra=offer.is_extra,
        )
        self._add_flow(key, flow, now_ms)
        if wait_ms or self._room(now_ms).free <= 0:
            self._send_held(key, flow, wait_ms, now_ms)
        else:
            self._forward_open(key, flow, now_ms)

    def _has_room_for_extra(self, offer: messages.Open, now_ms: int) -> bool:
        """Returns whether a warm backend server has a free slot right now."""
        return (
            not self._refusal_reason(offer, now_ms)
            and not self.backend.cold_ms(now_ms)
            and not self.flows.held()
            and self._active_requests + self.flows.expected_requests(now_ms)
            < self._slots
        )

    def _refuse_extra(
        self, key: packet.FlowKey, balancer: messages.Address
    ) -> None:
        self.counters["extra_opens_refused"] += 1
        refused = messages.Refused(
            key, self.identity.address, messages.EXTRA, 0
        )
        self._send(balancer, refused)

    def _terms_of(self, key: packet.FlowKey) -> terms.Terms:
        """Returns the terms of a flow's route, as far as they are known."""
        return self._known_terms.of(key)

    def _pass_on_if_busy(
        self, key: packet.FlowKey, offer: messages.Open, now_ms: int
    ) -> bool:
        """Returns whether an opening has been passed on for lack of a slot."""
        load = self._admission.load(
            self._terms_of(key), self._held_openings(), self._room(now_ms)
        )
        onward = admission.pass_on_if_busy(
            offer, own=self.identity.address, load=load
        )
        if onward is None:
            return False
        self.counters["opens_passed_on_busy"] += 1
        self._log(
            "open_passed_on",
            flow=str(key),
            reason="busy",
            others=len(offer.others),
            load=round(load, 2),
        )
        self._send(onward.agent, onward.offer)
        return True

    def _room(self, now_ms: int) -> admission.Room:
        """Returns the room at the backend server."""
        self._requests.expire(now_ms)
        return admission.Room(
            self._slots,
            self._active_requests + self.flows.expected_requests(now_ms),
            self._work_ms,
        )

    @property
    def _work_ms(self) -> float:
        """Estimated time that the backend server works on a request.

        With more requests than slots, the average response time includes
        waits in the server's queue.
        """
        excess = self._requests.last_average / max(self._slots, 1)
        return self._requests.server_ms / max(excess, 1.0)

    def _held_openings(self) -> list[admission.Held]:
        """Returns the held openings, oldest first."""
        return [
            admission.Held(key, flow.held_ms, flow.sent_ms, self._terms_of(key))
            for key, flow in self.flows.held()
        ]

    @property
    def _slots(self) -> int:
        report = self.backend.report
        return report.slots if report is not None else 1

    def _send_held(
        self,
        key: packet.FlowKey,
        flow: flow_table.Flow,
        wait_ms: int,
        now_ms: int,
    ) -> None:
        terms_of_route = self._terms_of(key)
        hold_ms = self._admission.hold_ms(terms_of_route)
        self.counters["opens_held"] += 1
        self._log(
            "open_held",
            flow=str(key),
            wait_ms=wait_ms,
            hold_ms=hold_ms,
            priority=terms_of_route.priority,
            busy=self._active_requests,
            opening=self.flows.expected_requests(now_ms),
            cold_ms=self.backend.cold_ms(now_ms),
            cold_opens_per_s=self.backend.cold_opens_per_s,
        )
        held = messages.Held(key, self.identity.address, hold_ms)
        self._send(flow.balancer, held)

    def _forward_held_opens(self, now_ms: int) -> None:
        """Carries out what has been decided on the held openings."""
        held, room = self._held_openings(), self._room(now_ms)
        for decision in self._admission.decide(held, room, now_ms):
            flow = self.flows.get(decision.flow)
            assert flow is not None
            match decision:
                case admission.Admit(key):
                    self._forward_open(key, flow, now_ms)
                case admission.Postpone(_, ready_ms):
                    flow.sent_ms = ready_ms
                case admission.Refuse(key, reason, retry_after_ms):
                    # If another agent held it again, its caller would give up
                    # first.
                    flow.others = ()
                    self._abandon_open(
                        key, flow, reason, now_ms, retry_after_ms
                    )

    def _forward_open(
        self, key: packet.FlowKey, flow: flow_table.Flow, now_ms: int
    ) -> None:
        flow.sent_ms = now_ms
        self._actions.append(actions.SendBackend(flow.opening_data))
        self.flows.move(key, flow, _Phase.OPENING)

    def _refusal_reason(self, offer: messages.Open, now_ms: int) -> str:
        """Returns why a flow may not open here, or an empty string."""
        report = self.backend.report
        if offer.service != self.identity.service or (
            report is not None and report.service != offer.service
        ):
            return "wrong_service"
        state = self.state(now_ms)
        if state != agents.READY:
            return state
        if not self._freshness.is_fresh(self._freshness.last_observed_ms):
            return "stale"
        if self._is_evacuated:
            return "evacuated"
        if 0 < self._max_flows <= self.flows.open_flows:
            return "full"
        if (
            offer.others
            and offer.has_warm_alternative
            and self.backend.exceeds_cold_rate(now_ms)
        ):
            return "cold"
        return ""

    def _pass_on_or_refuse(
        self,
        key: packet.FlowKey,
        offer: messages.Open,
        reason: str,
        wait_ms: int,
    ) -> None:
        """Passes an opening on to the next agent, or refuses it if none."""
        self.counters[f"opens_passed_on_{reason}"] += 1
        self._log(
            "open_passed_on",
            flow=str(key),
            reason=reason,
            others=len(offer.others),
            flows=self.flows.open_flows,
            retry_after_ms=wait_ms,
        )
        onward = admission.pass_on(offer)
        if onward is not None:
            self._send(onward.agent, onward.offer)
            return
        refused = messages.Refused(key, self.identity.address, reason, wait_ms)
        self._send(offer.balancer, refused)

    def _abandon_open(
        self,
        key: packet.FlowKey,
        flow: flow_table.Flow,
        reason: str,
        now_ms: int,
        retry_after_ms: int = 0,
    ) -> None:
        """Removes an unaccepted flow; passes its opening on or refuses it."""
        self._remove_flow(key, now_ms)
        if flow.is_extra:
            self._refuse_extra(key, flow.balancer)
            return
        offer = messages.Open(
            self.identity.service,
            flow.balancer,
            flow.others,
            False,
            flow.opening_data,
            unoffered=(
                len(flow.others) if self.load_settings.admits_by_priority else 0
            ),
            terms=self._terms_of(key),
        )
        self._pass_on_or_refuse(key, offer, reason, retry_after_ms)

    def on_deliver(
        self,
        deliver: messages.Deliver,
        received: packet.Packet,
        now_ms: int,
    ) -> None:
        """Handles a non-opening packet of a flow."""
        key = received.flow
        flow = self.flows.get(key)
        if flow is not None and flow.phase is _Phase.RETURNED:
            self.counters["packets_missed"] += 1
            self._return_packet(deliver)
            return
        if flow is not None and not flow.can_include(received):
            self.counters["packets_of_another_flow"] += 1
            self._return_packet(deliver)
            return
        if flow is None:
            if self._has_full_table:
                self.counters["packets_missed"] += 1
                self._return_packet(deliver)
                return
            self.counters["packets_probed"] += 1
            flow = flow_table.Flow(
                _Phase.PROBED, deliver.balancer, now_ms, accepted_ms=now_ms
            )
            self._add_flow(key, flow, now_ms)
        if flow.phase is _Phase.ACCEPTED and not self._is_confirmed_by_caller(
            flow, received, deliver
        ):
            return
        if flow.phase is _Phase.ACCEPTED:
            flow.sent_ms = now_ms
            self.flows.move(key, flow, _Phase.OPEN)
        flow.balancer = deliver.balancer
        if received.is_ack:
            flow.caller_acknowledged = received.acknowledged
            if received.only_acknowledges:
                flow.caller_ack = deliver.data
        self.flows.touch(key, flow, now_ms)
        self._requests.on_caller_packet(
            flow,
            received,
            self._terms_of(key),
            room=self._request_room(now_ms),
            now_ms=now_ms,
        )
        if received.is_reset:
            self.flows.move(key, flow, _Phase.ENDED)

    def _request_room(self, now_ms: int) -> float:
        """Returns how many requests the backend server may have at once.

        Nothing is held back if it or the agent is about to leave.
        """
        if (
            self.load_settings.queues_requests
            and not self._is_leaving
            and self.backend.state(now_ms) == agents.READY
        ):
            return self._slots + requests.EXTRA_REQUESTS
        return requests.UNLIMITED

    def _send_backend(self, data: bytes) -> None:
        self._actions.append(actions.SendBackend(data))

    def _is_confirmed_by_caller(
        self,
        flow: flow_table.Flow,
        received: packet.Packet,
        deliver: messages.Deliver,
    ) -> bool:
        """Returns whether the caller uses the flow accepted here.

        If a copy of the opening packet was accepted elsewhere, the caller may
        acknowledge the other one's sequence number. The packet is then
        returned to the balancer.
        """
        assert flow.initial_sequence is not None
        first_byte = (flow.initial_sequence + 1) & 0xFFFFFFFF
        if received.is_reset or received.acknowledged == first_byte:
            return True
        if not self._has_full_table and flow_table.is_near(
            received.acknowledged, first_byte
        ):
            # A late copy of the opening of a flow that is older than the agent.
            return True
        self.counters["opened_elsewhere"] += 1
        self._return_packet(deliver)
        return False

    def _return_packet(self, deliver: messages.Deliver) -> None:
        """Returns a packet of a flow that this agent does not own."""
        missed = messages.Missed(self.identity.address, deliver.data)
        self._send(deliver.balancer, missed)

    def on_ask(
        self, ask: messages.Ask, sender: messages.Address, now_ms: int
    ) -> None:
        """Answers a balancer whether this agent owns a flow."""
        flow = self.flows.get(ask.flow)
        phase = flow.phase if flow is not None else None
        if flow is not None and flow.is_claimed:
            verdict = messages.OWNS
        elif phase is _Phase.ENDED:
            verdict = messages.ENDED
        elif self._has_full_table or phase is _Phase.RETURNED:
            verdict = messages.OWNS_NOT
        else:
            verdict = messages.MAY_OWN
        answer = messages.Answer(ask.flow, self.identity.address, verdict)
        self._send(sender, answer)

    def on_ask_many(self, ask: messages.AskMany) -> None:
        """Answers a balancer which of several flows this agent owns."""
        known = {
            key: flow
            for key in ask.flows
            if (flow := self.flows.get(key)) is not None
        }
        answer = messages.AnswerMany(
            self.identity.address,
            tuple(key for key, flow in known.items() if flow.is_claimed),
            self._has_full_table,
            tuple(
                key for key, flow in known.items() if flow.phase is _Phase.ENDED
            ),
            ask.number,
        )
        self._send(ask.balancer, answer)

    def on_remembered(
        self, remembered: messages.Remembered, now_ms: int
    ) -> None:
        """Learns of flows that it owned before it started again.

        The backend server returns the packets of those that it does not have.
        """
        if self._has_full_table:
            return
        for key in remembered.flows:
            if self.flows.get(key) is not None:
                continue
            flow = flow_table.Flow(
                _Phase.RETURNED if remembered.is_elsewhere else _Phase.PROBED,
                remembered.balancer,
                now_ms,
                accepted_ms=now_ms,
                is_remembered=True,
            )
            self._add_flow(key, flow, now_ms)
            self.counters["flows_remembered"] += 1

    # Load.

    @property
    def _active_requests(self) -> int:
        """Number of requests at the backend server or held for it."""
        return self._requests.unanswered

    def _add_flow(
        self, key: packet.FlowKey, flow: flow_table.Flow, now_ms: int
    ) -> None:
        for removed in self.flows.add(key, flow):
            self._requests.finish(removed, now_ms)

    def _remove_flow(self, key: packet.FlowKey, now_ms: int) -> None:
        """Removes a flow together with its request in progress."""
        removed = self.flows.remove(key)
        if removed is not None:
            self._requests.finish(removed, now_ms)

    def _on_response(self, flow: flow_table.Flow, now_ms: int) -> None:
        self.samples.add("response", self._requests.answered(flow, now_ms))
        self._requests.release(self._request_room(now_ms), now_ms)
        if self.flows.has_opening:
            self._forward_held_opens(now_ms)

    # Balancers.

    def add_balancer(self, address: messages.Address, now_ms: int) -> bool:
        """Adds a balancer to send heartbeats to.

        Returns:
            Whether it has been added.
        """
        if not self.balancers.add(address, now_ms):
            return False
        self._log("balancer_found", ip=address.ip)
        self._send_heartbeat(address, now_ms)
        return True

    def on_hello(self, hello: messages.Hello, now_ms: int) -> None:
        """Answers the hello of a balancer with a heartbeat."""
        is_new = self.add_balancer(hello.balancer, now_ms)
        self.balancers.on_heard(
            hello.balancer,
            now_ms,
            interval_ms=hello.interval_ms,
            is_introduced=False,
        )
        if not is_new:
            self._send_heartbeat(hello.balancer, now_ms)

    def on_ack(self, ack: messages.HeartbeatAck, now_ms: int) -> None:
        """Applies the values in force at a balancer if they are newer."""
        if ack.number > self._resumed_number:
            self._freshness.confirm()
        # A leaving balancer is kept: it comes back at the same address.
        self.balancers.add(ack.balancer, now_ms)
        self.balancers.on_heard(
            ack.balancer, now_ms, interval_ms=ack.interval_ms
        )
        for address in ack.balancers:
            self.add_balancer(address, now_ms)
        self.store_era = max(self.store_era, ack.store_era)
        if self._configuration.is_replaced_by(
            version=ack.configuration_version,
            revision=ack.configuration_revision,
        ):
            self._configuration = routes.Configuration(
                revision=ack.configuration_revision,
                version=ack.configuration_version,
            )
            self.backend.cold_opens_per_s = ack.cold_opens_per_s
            self._max_flows = ack.max_flows
            self._idle_timeout_ms = ack.idle_timeout_ms
            self._log(
                "configuration_in_force",
                version=ack.configuration_version,
                revision=revisions.store_revision_of(
                    ack.configuration_revision
                ),
                era=revisions.era_of(ack.configuration_revision),
                cold_opens_per_s=ack.cold_opens_per_s,
                idle_timeout_ms=ack.idle_timeout_ms,
            )
        own = self.identity.data_centre
        self._set_evacuations(
            routes.Evacuations(
                ack.evacuations_revision,
                frozenset({own} if ack.is_evacuated else ()),
                ack.is_settled,
            ),
            now_ms,
        )

    @property
    def _is_evacuated(self) -> bool:
        return self.identity.data_centre in self._evacuations.data_centres

    def _set_evacuations(
        self, received: routes.Evacuations, now_ms: int
    ) -> None:
        was_evacuated = self._is_evacuated
        self._evacuations = self._evacuations.updated(received)
        is_evacuated = self._is_evacuated
        if is_evacuated == was_evacuated:
            return
        if not is_evacuated:
            # The backend server may have become cold during the evacuation
            # and not reported it yet.
            self.backend.assume_cold(now_ms, 2 * self._report_interval_ms)
        self._log(
            "evacuated" if is_evacuated else "evacuation_ended",
            data_centre=self.identity.data_centre,
            revision=revisions.store_revision_of(self._evacuations.revision),
            era=revisions.era_of(self._evacuations.revision),
        )

    def has_heard_balancer(self, now_ms: int) -> bool:
        """Returns whether any balancer has been heard recently."""
        return self.balancers.has_heard_any(now_ms)

    def send_heartbeats(self, now_ms: int) -> None:
        """Sends the heartbeats that are due.

        To be called every ``heartbeats.ROUND_MS``.
        """
        for address in self.balancers.forget_lost(now_ms):
            self._log("balancer_forgotten", ip=address.ip)
        for address in self.balancers.due(now_ms):
            self._send_heartbeat(address, now_ms)

    def _send_heartbeat(self, address: messages.Address, now_ms: int) -> None:
        heartbeat = self.heartbeat(now_ms)._replace(
            unheard_ms=self.balancers.unheard_ms(address, now_ms),
        )
        self.balancers.on_sent(address, now_ms)
        if self.balancers.is_introduced(address):
            self._send(address, heartbeat.pulse())
        else:
            self._send(address, heartbeat)

    def heartbeat(self, now_ms: int) -> messages.Heartbeat:
        """Returns a heartbeat with the next number and the current state."""
        self._heartbeat_number += 1
        worked = self._work.report()
        return messages.Heartbeat(
            name=self.identity.name,
            address=self.identity.address,
            incarnation=self.identity.incarnation,
            number=self._heartbeat_number,
            service=self.identity.service,
            data_centre=self.identity.data_centre,
            region=self.identity.region,
            state=self.state(now_ms),
            slots=self._slots,
            flows=self.flows.open_flows,
            busy=round(self._requests.average(now_ms), 2),
            response_ms=round(self._requests.response_ms, 1),
            cold_ms=self.backend.cold_ms(now_ms),
            has_full_table=self._has_full_table,
            waiting=self._requests.waiting + len(self.flows.held()),
            work_ms=worked.work_ms,
            work_by_route=worked.work_by_route,
            failed_percent=worked.failed_percent,
        )

    # Timers.

    def tick(self, now_ms: int) -> None:
        """Handles unanswered and held openings; to be called every 20 ms."""
        for key, flow in self.flows.opening():
            if flow.phase is _Phase.HELD:
                continue
            if now_ms - flow.sent_ms > packet.OPEN_LIFETIME_MS:
                self._remove_flow(key, now_ms)
                self.counters["opens_unanswered"] += 1
                self._log("open_timed_out", flow=str(key))
                continue
            if now_ms - flow.sent_ms < ACCEPT_MS or not flow.others:
                continue
            self._unanswered_opens += 1
            if self._unanswered_opens >= UNANSWERED_OPENS:
                self._unresponsive_until_ms = now_ms + UNRESPONSIVE_MS
            self._abandon_open(key, flow, "unanswered", now_ms)
        self._forward_held_opens(now_ms)
        self._send_questions()
        self._announce_state_change(now_ms)

    def sweep(self, now_ms: int) -> None:
        """Removes expired state; to be called every ``SWEEP_MS``."""
        self._requests.expire(now_ms)
        for _, flow in self.flows.sweep(
            now_ms, idle_timeout_ms=self._idle_timeout_ms
        ):
            self._requests.finish(flow, now_ms)
        self._complete_table(now_ms)
        self._announce_state_change(now_ms)

    def _complete_table(self, now_ms: int) -> None:
        """Takes the table for complete once unknown flows have expired."""
        # Time in which the process was paused does not count.
        self._observed_ms += min(now_ms - self._swept_ms, 2 * SWEEP_MS)
        self._swept_ms = now_ms
        unused_ms = self._idle_timeout_ms + flow_table.IDLE_MARGIN_MS
        if (
            not self._has_full_table
            and self._configuration.revision
            and self.backend.report is not None
            and self._observed_ms >= unused_ms
        ):
            self._has_full_table = True
            self._log("flow_table_complete", observed_ms=self._observed_ms)

    def _send(
        self, address: messages.Address, message: messages.Message
    ) -> None:
        if address.port:
            self._actions.append(actions.SendDaemon(address, message))

    def _log_reset(
        self,
        key: packet.FlowKey,
        flow: flow_table.Flow,
        reason: str,
        now_ms: int,
    ) -> None:
        is_known = flow.caller_sequence is not None
        belief = ownership.Belief(
            self.identity.name,
            flow.accepted_ms,
            ownership.OPENED if is_known else ownership.RELEARNED,
        )
        report = self.backend.report
        self._actions.append(
            ownership.reset_line(
                key,
                reason=reason,
                belief=belief,
                now_ms=now_ms,
                idle_ms=now_ms - flow.used_ms,
                backend=report.backend_id if report is not None else None,
                report_age_ms=now_ms - self.backend.last_heard_ms,
            )
        )

    def _log(self, event: str, **fields: object) -> None:
        self._actions.append(actions.Log(event, fields))
