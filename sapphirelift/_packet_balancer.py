"""Packet daemon in the role of a balancer."""

from collections.abc import Collection
from typing import Any

import eventlet
import msgspec
import urllib3

from sapphirelift import _directory
from sapphirelift import _packet_node
from sapphirelift import _store_follower
from sapphirelift import clock
from sapphirelift import deployment
from sapphirelift import errors
from sapphirelift import tasks
from sapphirelift.core import revisions
from sapphirelift.core.l4 import balancer as balancer_module
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import routes
from sapphirelift.peers import datagrams
from sapphirelift.platform import configuration
from sapphirelift.platform import decoding
from sapphirelift.platform import dispatch
from sapphirelift.platform import http
from sapphirelift.platform import packets

GOSSIP_INTERVAL_S = 0.5
# Duration of a sentinel's watch. With the margin after which a watch counts as
# silent (1 s), a new connection, and the way to the other balancers (below
# 0.5 s), it lies within the time after which an instance whose connections went
# silent counts as in touch again (4 s), and within that of an evacuation (5 s).
SENTINEL_CONFIGURATION_WAIT_MS = 1000
SENTINEL_EVACUATIONS_WAIT_MS = 2000
# Source, in logs, of state that no other daemon has sent.
STORE = "store"
REPLICA_PATH = "/replica"
FETCH_TIMEOUT_S = 1.0
# The fabric takes a balancer out of rotation after two failed readiness
# checks, half a second apart. Packets in transit still arrive after that.
LINGER_S = 2.5
# Names of evacuations travel in messages of at most 8 KB between balancers.
MAX_DATA_CENTRE_BYTES = 100
MAX_EVACUATIONS = 50


class _ReplicaConfiguration(msgspec.Struct):
    revision: int
    value: Any


class _Replica(msgspec.Struct):
    """State that a balancer serves to the others at ``REPLICA_PATH``."""

    configuration: _ReplicaConfiguration | None = None
    has_directory: bool = False
    agents: list[messages.Address] = []


class PacketBalancerNode(_packet_node.PacketNode):
    """Sockets, store watches and gossip of a balancer."""

    def __init__(self, settings: deployment.Deployment) -> None:
        super().__init__(settings, pages={REPLICA_PATH: self._replica_page})
        self.core: balancer_module.Balancer = balancer_module.Balancer(
            address=settings.daemon_address,
            replica=settings.admin_address,
            now_ms=clock.now_ms(),
            rng=self.rng,
            data_centre=settings.data_centre,
            contact_ms=round(settings.contact_ms),
            load=settings.load,
        )
        self._replica_state: dict[str, Any] = {}
        self._is_fetching = False
        self._evacuations_skipped = 0
        # Until it knows others.
        self._is_sentinel = True
        self._refused_revision = 0
        self._http = urllib3.PoolManager(
            retries=False,
            timeout=FETCH_TIMEOUT_S,
            # An idle connection may have gone silent until the next fetch.
            headers={"Connection": "close"},
        )
        self._caller_socket = datagrams.DatagramSocket(
            deployment.address(settings.packets),
            self._on_packet,
            max_bytes=_packet_node.MAX_PACKET_BYTES,
            name="callers",
        )
        self._readiness = http.ReadinessServer(
            deployment.address(settings.readiness), lambda: self.is_ready
        )
        self._directory = self.new_directory("balancer")
        self._followers = [
            self._follow(
                configuration.CONFIGURATION_KIND,
                self._on_configuration,
                sentinel_wait_ms=SENTINEL_CONFIGURATION_WAIT_MS,
            ),
            self._follow(
                configuration.EVACUATION_KIND,
                self._on_evacuations,
                sentinel_wait_ms=SENTINEL_EVACUATIONS_WAIT_MS,
                settle_ms=revisions.REWRITE_MS,
            ),
        ]

    def _follow(
        self,
        kind: str,
        on_objects: _store_follower.OnObjects,
        *,
        sentinel_wait_ms: int,
        settle_ms: int = 0,
    ) -> _store_follower.StoreFollower:
        return _store_follower.StoreFollower(
            self.store,
            kind,
            on_objects=on_objects,
            settle_ms=settle_ms,
            balancers=lambda: len(self.core.peers) + 1,
            sentinel_wait_ms=lambda: (
                sentinel_wait_ms if self._is_sentinel else None
            ),
            log=self.log,
            rng=self.rng,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the fabric should send packets here."""
        return self.core.is_ready

    def start(self) -> None:
        """Starts all tasks."""
        super().start()
        self._caller_socket.start()
        self._readiness.start()
        self._directory.start()
        for follower in self._followers:
            follower.start()
        tasks.spawn("gossip", self._gossip)

    def stop(self) -> None:
        """Leaves the rotation and forwards packets that still arrive."""
        self.core.leave()
        self.perform()
        self.log.write("stopping", linger_s=LINGER_S)
        self.log.flush()
        eventlet.sleep(min(LINGER_S, self.settings.stop_timeout_s / 2))
        self.log_stopped()

    def apply_durations(self) -> None:
        """Passes the durations in the settings on to the decision logic."""
        self.core.contact_ms = round(self.settings.contact_ms)

    def dump(self) -> dict[str, Any]:
        """Returns the state of the process as JSON data."""
        now_ms = clock.now_ms()
        return super().dump() | {
            "is_ready": self.is_ready,
            "configuration_revision": self.core.configuration.revision,
            "configuration_version": self.core.configuration.version,
            "evacuations_revision": self.core.evacuations.revision,
            "evacuated": sorted(self.core.evacuations.data_centres),
            "peers": len(self.core.peers),
            "evacuations_skipped": self._evacuations_skipped,
            "watched_agents": len(self.core.watch),
            "is_sentinel": self._is_sentinel,
            "extra_openings": self.core.extra_openings.dump(now_ms),
            "agents": {
                agent.name: agent.heartbeat._asdict()
                | {"heard_ms_ago": now_ms - agent.last_heard_ms}
                for agent in self.core.agents
            },
        }

    # Packets and messages.

    def _on_packet(self, data: bytes, source: tuple[str, int]) -> None:
        try:
            received = packets.decode_from_caller(data)
        except errors.DatagramError as error:
            self.drop(error.reason, source[0])
            return
        self.observe_clock()
        self.core.on_packet(received, clock.now_ms())
        self.perform()

    def observe_clock(self) -> None:
        """Lets the decision logic notice that the process was paused."""
        self.core.observe(clock.boot_ms())

    def on_message(
        self, message: messages.Message, source: messages.Address
    ) -> None:
        """Handles a message of an agent or another balancer.

        Raises:
            DatagramError: The message carries a packet that cannot be decoded.
        """
        dispatch.to_balancer(self.core, message, source, clock.now_ms())
        if isinstance(message, messages.Revisions):
            # A watch can wait in silence, in a history that has ended.
            self.store.expect_era(message.store_era)

    # Configuration and evacuations.

    def _note_era(self) -> None:
        self.core.store_era = max(self.core.store_era, self.store.era)

    def _on_configuration(self, contents: _store_follower.Contents) -> None:
        self._note_era()
        found = contents.objects.get(configuration.CONFIGURATION_NAME)
        if found is not None:
            self._apply_configuration(found.value, found.revision, STORE)

    def _apply_configuration(
        self, value: Any, revision: int, source: str
    ) -> None:
        in_force = self.core.configuration
        version = configuration.version_of(value)
        is_refused = source == STORE and revision == self._refused_revision
        if revision == in_force.revision or is_refused:
            return
        if version and not in_force.is_replaced_by(
            version=version, revision=revision
        ):
            self._note_refusal(revision, source)
            self.log.write(
                "configuration_not_newer",
                version=version,
                version_in_force=in_force.version,
                revision=revisions.store_revision_of(revision),
                era=revisions.era_of(revision),
                source=source,
            )
            return
        try:
            decoded = configuration.decode(value, revision)
        except errors.ConfigurationError as error:
            self._note_refusal(revision, source)
            self.log.write(
                "configuration_refused",
                revision=revisions.store_revision_of(revision),
                era=revisions.era_of(revision),
                source=source,
                reason=str(error),
            )
            return
        self._replica_state["configuration"] = {
            "revision": revision,
            "value": value,
        }
        self.core.set_configuration(decoded, clock.now_ms(), source=source)
        self.perform()

    def _note_refusal(self, revision: int, source: str) -> None:
        """Keeps the store's other answers from repeating a refusal."""
        if source == STORE:
            self._refused_revision = revision

    def _on_evacuations(self, contents: _store_follower.Contents) -> None:
        self._note_era()
        self.core.set_evacuations(
            routes.Evacuations(
                contents.revision,
                self._evacuated(contents.objects),
                contents.is_settled,
            ),
            source=STORE,
        )
        self.perform()

    def _evacuated(self, names: Collection[str]) -> frozenset[str]:
        """Returns the names of evacuations that can be those of data centres.

        Other writers may have left entries too. All must fit into a message.
        """
        usable = [
            n for n in names if 0 < len(n.encode()) <= MAX_DATA_CENTRE_BYTES
        ]
        if len(usable) > MAX_EVACUATIONS:
            known = {a.heartbeat.data_centre for a in self.core.agents}
            known.add(self.settings.data_centre)
            usable = [name for name in usable if name in known]
        skipped = len(names) - len(usable)
        if skipped != self._evacuations_skipped:
            self._evacuations_skipped = skipped
            self.log.write("evacuations_skipped", count=skipped)
        return frozenset(usable[:MAX_EVACUATIONS])

    def _replica_page(self) -> dict[str, Any]:
        agents = self.core.known_agents() if self.core.has_directory else []
        return self._replica_state | {
            "has_directory": self.core.has_directory,
            "agents": agents,
        }

    def fetch_replica(self, address: messages.Address) -> None:
        """Fetches the configuration and the agents of another balancer."""
        if self._is_fetching:
            return
        self._is_fetching = True
        source = address.ip
        try:
            response = self._http.request(
                "GET", f"http://{address.ip}:{address.port}{REPLICA_PATH}"
            )
            if response.status != 200:
                raise errors.FetchError(f"status {response.status}")
            fetched: _Replica = decoding.decode(response.data, _Replica)
            if fetched.configuration is not None:
                decoding.check_bounds(fetched.configuration.value)
        except (
            urllib3.exceptions.HTTPError,
            OSError,
            errors.FetchError,
            errors.UnreadableError,
        ) as error:
            self.log.write(
                "replica_not_fetched",
                source=source,
                reason=f"{type(error).__name__}: {error}",
            )
        else:
            self._apply_replica(fetched, source)
        finally:
            self._is_fetching = False

    def _apply_replica(self, fetched: _Replica, source: str) -> None:
        entry = fetched.configuration
        if entry is not None:
            self._apply_configuration(entry.value, entry.revision, source)
        now_ms = clock.now_ms()
        for address in fetched.agents:
            self.core.add_agent(address, now_ms)
        if fetched.has_directory:
            self.core.has_directory = True
        self.perform()

    # Directory and gossip.

    def on_entries(self, entries: list[_directory.Entry]) -> None:
        """Adds the daemons in the directory as peers and agents."""
        self._note_era()
        now_ms = clock.now_ms()
        for entry in entries:
            if entry.role == "balancer":
                self.core.add_peer(entry.address, now_ms)
            elif entry.role == "agent":
                self.core.add_agent(
                    entry.address, now_ms, is_stopping=entry.is_stopping
                )
        self.core.has_directory = True
        self.perform()

    def needs_directory(self) -> bool:
        """Returns True: the directory may list agents not heard from yet."""
        return True

    def _update_sentinel(self) -> None:
        """Notices whether it has become, or is no longer, a sentinel."""
        is_sentinel = self.core.is_sentinel(clock.now_ms())
        if is_sentinel == self._is_sentinel:
            return
        self._is_sentinel = is_sentinel
        self.log.write("store_sentinel", is_sentinel=is_sentinel)
        if is_sentinel:
            # The watches that wait may do so for longer than a sentinel's.
            self.store.renew_watches()

    def _gossip(self) -> None:
        while True:
            eventlet.sleep(GOSSIP_INTERVAL_S * self.rng.uniform(0.9, 1.1))
            # Often enough that a quiet time is not taken for a pause.
            self.observe_clock()
            self.core.is_store_connected = all(
                follower.is_connected for follower in self._followers
            )
            self._update_sentinel()
            self.core.gossip(clock.now_ms())
            self.perform()
            self._directory.on_era(self.core.store_era)
