"""Sockets, timers and administration shared by both packet daemon roles."""

import collections
import random
from typing import Any
from typing import Protocol

import eventlet
import msgspec

from sapphirelift import _directory
from sapphirelift import clock
from sapphirelift import decision_log
from sapphirelift import deployment
from sapphirelift import errors
from sapphirelift import tasks
from sapphirelift.core.l4 import actions
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import samples as samples_module
from sapphirelift.operators import admin
from sapphirelift.operators import latency
from sapphirelift.peers import datagrams
from sapphirelift.platform import packets
from sapphirelift.platform import store as store_module

# A message carries at most one packet and a few addresses.
MAX_MESSAGE_BYTES = 8192
MAX_PACKET_BYTES = 2048
TICK_INTERVAL_S = 0.02
SWEEP_INTERVAL_S = 1.0
# Settings that take effect without a restart.
RELOADABLE_SETTINGS = frozenset(
    {"report_interval_ms", "stop_timeout_s", "contact_ms"}
)
# Drops are logged at most once per reason within this time.
DROP_LOG_INTERVAL_MS = 10_000


class Core(Protocol):
    """Decision logic of one role.

    Implemented by ``agent.Agent`` and ``balancer.Balancer`` in ``core.l4``.
    """

    counters: collections.Counter[str]
    samples: samples_module.Samples

    @property
    def has_pending(self) -> bool:
        """Whether ``tick`` must be called until the pending work is done."""

    def drain_actions(self) -> list[actions.Action]:
        """Returns the actions decided since the last call."""

    def tick(self, now_ms: int) -> None:
        """Handles timeouts of pending work."""

    def sweep(self, now_ms: int) -> None:
        """Removes expired state."""


class PacketNode:
    """Sockets, store client and tasks of one daemon.

    Attributes:
        core: Decision logic of the daemon's role.
        drops: Datagrams dropped, by reason.
    """

    core: Core

    def __init__(
        self,
        settings: deployment.Deployment,
        *,
        pages: dict[str, Any] | None = None,
    ) -> None:
        self.settings = settings
        self.incarnation = clock.new_incarnation()
        self.rng = random.Random(self.incarnation)
        self.log = decision_log.DecisionLog(name=settings.name)
        self.store = store_module.Store(
            f"http://{settings.platform}",
            name=settings.name,
            first_read_timeout_s=store_module.FIRST_READ_TIMEOUT_S,
            on_skipped=self._on_item_skipped,
        )
        self.drops: dict[str, int] = {}
        self._sent_datagrams: collections.Counter[str] = collections.Counter()
        self._sent_bytes: collections.Counter[str] = collections.Counter()
        self._received: collections.Counter[str] = collections.Counter()
        self._drop_logged_ms: dict[str, int] = {}
        self._skip_logged_ms: dict[str, int] = {}
        self._caller_port = deployment.address(settings.packets).port
        self._is_ticking = False
        self._histograms = latency.LatencyHistograms()
        self.daemon_socket = datagrams.DatagramSocket(
            settings.daemon_address,
            self._on_daemon_datagram,
            max_bytes=MAX_MESSAGE_BYTES,
            name="daemons",
        )
        addresses: list[tuple[str, int]] = [settings.admin_address]
        if settings.metrics:
            addresses.append(deployment.address(settings.metrics))
        self._admin_servers = [
            admin.AdminServer(
                address,
                self,
                pages=pages,
                histograms=self._histograms.exposition,
            )
            for address in addresses
        ]

    @property
    def is_ready(self) -> bool:
        """Whether the process accepts new flows."""
        return True

    def new_directory(self, role: str) -> _directory.Directory:
        """Returns a directory client that registers this daemon."""
        address = self.settings.daemon_address
        return _directory.Directory(
            self.store,
            name=self.settings.name,
            entry=_directory.Entry(
                role, address.ip, address.port, self.incarnation
            ),
            is_first_start=self.settings.is_first_start,
            on_entries=self.on_entries,
            needs_directory=self.needs_directory,
            log=self.log,
            rng=self.rng,
        )

    def on_entries(self, entries: list[_directory.Entry]) -> None:
        """Handles the directory entries of all daemons."""
        raise NotImplementedError

    def needs_directory(self) -> bool:
        """Returns whether the directory is needed to find other daemons."""
        raise NotImplementedError

    def start(self) -> None:
        """Starts all tasks."""
        self.log.start()
        self.log.write(
            "started",
            role=self.settings.role,
            data_centre=self.settings.data_centre,
            incarnation=self.incarnation,
            is_first_start=self.settings.is_first_start,
        )
        self.daemon_socket.start()
        for server in self._admin_servers:
            server.start()
        tasks.spawn("sweep", self._sweep)

    def stop(self) -> None:
        """Announces the shutdown and returns when the process may exit."""
        raise NotImplementedError

    def log_stopped(self) -> None:
        """Writes the last log line and flushes the log."""
        self.log.write("stopped")
        self.log.flush()

    def reload(self, settings: deployment.Deployment) -> None:
        """Applies changed durations; other settings need a restart."""
        changed = {
            field: getattr(settings, field)
            for field in settings.__struct_fields__
            if getattr(settings, field) != getattr(self.settings, field)
        }
        applied = {
            field: value
            for field, value in changed.items()
            if field in RELOADABLE_SETTINGS
        }
        self.settings = msgspec.structs.replace(self.settings, **applied)
        self.apply_durations()
        self.log.write(
            "reloaded",
            applied=applied,
            needs_restart=sorted(changed.keys() - applied.keys()),
        )

    def apply_durations(self) -> None:
        """Passes the durations in the settings on to the decision logic."""
        raise NotImplementedError

    def dump(self) -> dict[str, Any]:
        """Returns the state of the process as JSON data."""
        return {
            "role": self.settings.role,
            "name": self.settings.name,
            "incarnation": self.incarnation,
            "load": msgspec.structs.asdict(self.settings.load),
            "counters": dict(self.core.counters),
            "drops": dict(self.drops),
            "peer_datagrams_sent_by_kind": dict(self._sent_datagrams),
            "peer_sent_bytes_by_kind": dict(self._sent_bytes),
            "peer_received_by_kind": dict(self._received),
            "platform_calls_by_kind": dict(self.store.calls),
            "platform_failures": dict(self.store.failures),
            "store_era": self.store.era,
            "store_restores": self.store.restores,
            "store_items_skipped": self.store.skipped,
            "log_lines_dropped": self.log.dropped,
            "task_failures": dict(tasks.failures),
        }

    def drop(self, reason: str, source: str = "") -> None:
        """Counts a dropped datagram and logs it at a limited rate."""
        self.drops[reason] = self.drops.get(reason, 0) + 1
        now_ms = clock.now_ms()
        logged_ms = self._drop_logged_ms.get(reason)
        if logged_ms is None or now_ms - logged_ms > DROP_LOG_INTERVAL_MS:
            self._drop_logged_ms[reason] = now_ms
            self.log.write(
                "datagrams_dropped",
                reason=reason,
                source=source,
                count=self.drops[reason],
            )

    def _on_item_skipped(self, kind: str, reason: str) -> None:
        """Logs an unreadable item of the store at a limited rate."""
        now_ms = clock.now_ms()
        logged_ms = self._skip_logged_ms.get(kind)
        if logged_ms is None or now_ms - logged_ms > DROP_LOG_INTERVAL_MS:
            self._skip_logged_ms[kind] = now_ms
            self.log.write(
                "store_item_skipped",
                kind=kind,
                reason=reason,
                count=self.store.skipped,
            )

    def _on_daemon_datagram(self, data: bytes, source: tuple[str, int]) -> None:
        self.observe_clock()
        try:
            message = messages.decode(data)
            self._received[type(message).__name__] += 1
            self.on_message(message, messages.Address(*source[:2]))
        except errors.DatagramError as error:
            self.drop(error.reason, source[0])
        self.perform()

    def observe_clock(self) -> None:
        """Lets the decision logic notice that the process was paused."""
        raise NotImplementedError

    def on_message(
        self, message: messages.Message, source: messages.Address
    ) -> None:
        """Handles a message of another daemon.

        Raises:
            DatagramError: The message carries a packet that cannot be decoded.
        """
        raise NotImplementedError

    def perform(self) -> None:
        """Executes the actions that the core has decided on."""
        for action in self.core.drain_actions():
            self._perform_action(action)
        if self.core.has_pending and not self._is_ticking:
            self._is_ticking = True
            eventlet.spawn(self._tick)

    def _perform_action(self, action: actions.Action) -> None:
        match action:
            case actions.SendDaemon(address, message):
                data = messages.encode(message)
                kind = type(message).__name__
                self._sent_datagrams[kind] += 1
                self._sent_bytes[kind] += len(data)
                self.daemon_socket.send(data, address)
            case actions.SendCaller(received):
                caller_ip = packet.ip_text(received.flow.caller_ip)
                self.daemon_socket.send(
                    received.raw, (caller_ip, self._caller_port)
                )
            case actions.SendBackend(data):
                self.send_backend(data)
            case actions.CheckBackend(after_ms):
                self.check_backend(after_ms)
            case actions.ResetCaller(flow, sequence):
                self.core.counters["resets"] += 1
                reset = packets.encode_reset(flow, sequence)
                caller_ip = packet.ip_text(flow.caller_ip)
                self.daemon_socket.send(reset, (caller_ip, self._caller_port))
            case actions.FetchReplica(address):
                eventlet.spawn(self.fetch_replica, address)
            case actions.RenewWatches():
                self.store.renew_watches()
            case actions.Log(event, fields):
                self.log.write(event, **fields)

    def send_backend(self, data: bytes) -> None:
        """Sends a packet to the backend server."""
        raise NotImplementedError

    def check_backend(self, after_ms: int) -> None:
        """Checks after a time whether the backend server is gone."""
        raise NotImplementedError

    def fetch_replica(self, address: messages.Address) -> None:
        """Fetches the replicated state of another balancer."""
        raise NotImplementedError

    def _tick(self) -> None:
        try:
            while self.core.has_pending:
                eventlet.sleep(TICK_INTERVAL_S)
                self.core.tick(clock.now_ms())
                self.perform()
        except Exception:
            tasks.report("tick")
        finally:
            self._is_ticking = False

    def _sweep(self) -> None:
        while True:
            eventlet.sleep(SWEEP_INTERVAL_S)
            self.observe_clock()
            self.core.sweep(clock.now_ms())
            self.perform()
            self._histograms.observe(self.core.samples.take())
