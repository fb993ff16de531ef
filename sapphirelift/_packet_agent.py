"""Packet daemon in the role of an agent."""

from typing import Any

import eventlet

from sapphirelift import _directory
from sapphirelift import _packet_node
from sapphirelift import clock
from sapphirelift import deployment
from sapphirelift import errors
from sapphirelift import tasks
from sapphirelift.core.l4 import agent as agent_module
from sapphirelift.core.l4 import agents
from sapphirelift.core.l4 import backend
from sapphirelift.core.l4 import heartbeats
from sapphirelift.core.l4 import messages
from sapphirelift.peers import datagrams
from sapphirelift.platform import dispatch
from sapphirelift.platform import http
from sapphirelift.platform import reports

# Lets the balancers receive the announcement before the process exits.
LINGER_S = 0.1
# A connection on the instance itself is accepted or refused in a millisecond,
# or after 100 ms if the instance has used up its CPU quota.
CHECK_TIMEOUT_S = 0.5
LAST_CHECK_TIMEOUT_S = 0.2
# The store answers within some milliseconds, and a slow one within 200.
MARK_TIMEOUT_S = 0.5
# Share of the time to exit in which the entry of an agent whose backend server
# has left is removed; nothing else is left to do then.
REMOVAL_SHARE = 2 / 3
# Refused reports are logged at most once within this time.
REFUSAL_LOG_INTERVAL_MS = 1000


class PacketAgentNode(_packet_node.PacketNode):
    """Sockets, HTTP servers and heartbeats of an agent."""

    def __init__(
        self, settings: deployment.Deployment, *, started_unix_ms: int
    ) -> None:
        """Creates the node; nothing is sent before ``start``.

        Args:
            settings: Settings of the daemon.
            started_unix_ms: Wall-clock time of the start of the process.
        """
        super().__init__(settings)
        self.core: agent_module.Agent = agent_module.Agent(
            agent_module.Identity(
                name=settings.name,
                address=settings.daemon_address,
                incarnation=self.incarnation,
                service=settings.service,
                data_centre=settings.data_centre,
                region=settings.region,
            ),
            report_interval_ms=round(settings.report_interval_ms),
            started_unix_ms=started_unix_ms,
            is_first_start=settings.is_first_start,
            now_ms=clock.now_ms(),
            load=settings.load,
        )
        self._has_departed = False
        self._refusal_logged_ms = -REFUSAL_LOG_INTERVAL_MS
        self._backend_address = deployment.address(settings.backend)
        self._outbound_socket = datagrams.DatagramSocket(
            deployment.address(settings.outbound),
            self._on_backend_packet,
            max_bytes=_packet_node.MAX_PACKET_BYTES,
            name="outbound",
        )
        self._readiness = http.ReadinessServer(
            deployment.address(settings.readiness), lambda: self.is_ready
        )
        self._reports = http.ReportServer(
            deployment.address(settings.reports),
            subject=reports.Subject(
                self._backend_address,
                settings.service,
                settings.data_centre,
            ),
            on_report=self._on_report,
            on_end=self._on_end,
            on_refused=self._on_refused,
        )
        self._directory = self.new_directory("agent")

    @property
    def is_ready(self) -> bool:
        """Whether the agent accepts new flows."""
        return self.core.state(clock.now_ms()) == agents.READY

    def start(self) -> None:
        """Starts all tasks."""
        super().start()
        self._outbound_socket.start()
        self._readiness.start()
        self._reports.start()
        self._directory.start()
        tasks.spawn("heartbeats", self._send_heartbeats)

    def stop(self) -> None:
        """Announces the shutdown; open flows continue after a restart.

        The directory entry is removed only if the backend server has left.
        """
        self.core.on_backend_checked(
            is_refused=self._is_backend_refused(LAST_CHECK_TIMEOUT_S),
            now_ms=clock.now_ms(),
            is_last=True,
        )
        has_left = self.core.backend.has_departed
        self.core.leave(clock.now_ms())
        self.perform()
        self.log.write(
            "stopping",
            backend_has_left=has_left,
            flows=self.core.flows.open_flows,
        )
        self.log.flush()
        # Packets are still handled meanwhile.
        if has_left:
            self._directory.remove(
                timeout_s=self.settings.stop_timeout_s * REMOVAL_SHARE
            )
        else:
            self._directory.mark_stopping(timeout_s=MARK_TIMEOUT_S)
        eventlet.sleep(LINGER_S / 2)
        # The first announcement may have been lost.
        self.core.announce(clock.now_ms())
        self.perform()
        eventlet.sleep(LINGER_S / 2)
        self.log_stopped()

    def apply_durations(self) -> None:
        """Passes the durations in the settings on to the decision logic."""
        self.core.set_report_interval(round(self.settings.report_interval_ms))

    def dump(self) -> dict[str, Any]:
        """Returns the state of the process as JSON data."""
        return super().dump() | self.core.dump(clock.now_ms())

    # Packets and messages.

    def _on_backend_packet(self, data: bytes, source: tuple[str, int]) -> None:
        try:
            dispatch.from_backend(self.core, data, clock.now_ms())
        except errors.DatagramError as error:
            self.drop(error.reason, source[0])
            return
        self.perform()

    def observe_clock(self) -> None:
        """Lets the decision logic notice that the process was paused."""
        self.core.observe(clock.boot_ms(), clock.now_ms())

    def on_message(
        self, message: messages.Message, source: messages.Address
    ) -> None:
        """Handles a message of a balancer or another agent.

        Raises:
            DatagramError: The message carries a packet that cannot be decoded.
        """
        dispatch.to_agent(self.core, message, source, clock.now_ms())

    def send_backend(self, data: bytes) -> None:
        """Sends a packet to the backend server."""
        if not self._outbound_socket.send(data, self._backend_address):
            self.drop("backend_send_failed")

    # Reports of the backend server.

    def _on_report(self, report: backend.Report) -> None:
        self.core.on_report(report, clock.now_ms())
        self._update_listing()
        self.perform()

    def _on_end(self, notice: backend.EndNotice) -> None:
        self.core.on_end(
            notice.backend_id, clock.now_ms(), born_ms=notice.born_ms
        )
        self.perform()

    def check_backend(self, after_ms: int) -> None:
        """Checks after a time whether the backend server is gone."""
        eventlet.spawn_after(after_ms / 1000, self._check_backend)

    def _check_backend(self) -> None:
        self.core.on_backend_checked(
            is_refused=self._is_backend_refused(CHECK_TIMEOUT_S),
            now_ms=clock.now_ms(),
        )
        self._update_listing()
        self.perform()

    def _is_backend_refused(self, timeout_s: float) -> bool:
        """Returns whether nothing listens at the backend server's port."""
        try:
            with eventlet.Timeout(timeout_s):
                eventlet.connect(self._backend_address).close()
        except (ConnectionRefusedError, ConnectionResetError):
            return True
        except (OSError, eventlet.Timeout) as error:
            self.log.write("backend_not_checked", reason=repr(error))
        return False

    def _update_listing(self) -> None:
        """Lists the agent in the directory unless its server has left."""
        has_departed = self.core.backend.has_departed
        if has_departed != self._has_departed:
            self._has_departed = has_departed
            self._directory.set_listed(not has_departed)

    def _on_refused(self, reason: str) -> None:
        self.core.counters["reports_refused"] += 1
        now_ms = clock.now_ms()
        if now_ms - self._refusal_logged_ms >= REFUSAL_LOG_INTERVAL_MS:
            self._refusal_logged_ms = now_ms
            self.log.write(
                "report_refused",
                reason=reason,
                count=self.core.counters["reports_refused"],
            )

    # Balancers.

    def on_entries(self, entries: list[_directory.Entry]) -> None:
        """Starts to send heartbeats to the balancers in the directory."""
        for entry in entries:
            if entry.role == "balancer":
                self.core.add_balancer(entry.address, clock.now_ms())
        self.perform()

    def needs_directory(self) -> bool:
        """Returns whether no balancer has been heard from recently."""
        return not self.core.has_heard_balancer(clock.now_ms())

    def _send_heartbeats(self) -> None:
        while True:
            round_s = heartbeats.ROUND_MS / 1000
            eventlet.sleep(round_s * self.rng.uniform(0.9, 1.1))
            self.observe_clock()
            self.core.send_heartbeats(clock.now_ms())
            self.perform()
            # An agent makes no calls to the store that would show a new era.
            self._directory.on_era(self.core.store_era)
