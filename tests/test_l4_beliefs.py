"""State that daemons learn from the store and from peers."""

import random
from typing import Any
from typing import BinaryIO

import eventlet
import pytest

from sapphirelift import _directory
from sapphirelift import decision_log
from sapphirelift import errors
from sapphirelift.core import revisions
from sapphirelift.core.l4 import actions
from sapphirelift.core.l4 import balancer
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import routes
from sapphirelift.platform import packets
from sapphirelift.platform import store
from sapphirelift.standins import flow_ends
from sapphirelift.standins import packet_network

OWN = messages.Address("10.1.0.1", 7720)
PEER = messages.Address("10.1.0.2", 7720)
REPLICA = messages.Address("10.1.0.2", 7735)
NOW_MS = 1_000_000


class _Listing:
    """A fake store with the given values as directory entries."""

    def __init__(self, values: list[Any]) -> None:
        self.objects = [
            store.Object(f"entry-{n}", n, value)
            for n, value in enumerate(values, 1)
        ]

    def list_kind(self, kind: str, *, allow_stale: bool) -> "_Listing":
        """Returns all entries."""
        assert kind == _directory.KIND
        del allow_stale
        return self


class TestDirectory:
    """Invalid directory entries left by other writers."""

    @pytest.mark.parametrize(
        "garbage",
        [
            None,
            7,
            "text",
            [],
            {},
            {"role": "agent"},
            {"role": 1, "ip": "10.2.0.1", "port": 7720, "incarnation": 1},
            {"role": "agent", "ip": "host", "port": 7720, "incarnation": 1},
            {"role": "agent", "ip": "10.2.0.1", "port": 0, "incarnation": 1},
            {
                "role": "agent",
                "ip": "10.2.0.1",
                "port": 70_000,
                "incarnation": 1,
            },
            {"role": "agent", "ip": "10.2.0.1", "port": "a", "incarnation": 1},
        ],
    )
    def test_garbage_is_skipped(self, garbage: Any) -> None:
        """Guards against invalid entries that crash or block a daemon."""
        good = {"role": "agent", "ip": "10.2.0.9", "port": 1, "incarnation": 1}
        found: list[_directory.Entry] = []
        with open("/dev/null", "wb") as sink:
            directory = _directory.Directory(
                _Listing([garbage, good]),  # type: ignore[arg-type]
                name="balancer-1",
                entry=_directory.Entry("balancer", "10.1.0.1", 1, 1),
                is_first_start=True,
                on_entries=found.extend,
                needs_directory=lambda: True,
                log=decision_log.DecisionLog(name="test", fd=sink.fileno()),
                rng=random.Random(1),
            )
            directory._list(allow_stale=False)
        assert [entry.ip for entry in found] == ["10.2.0.9"]
        assert directory.skipped == 1


class _Store(_Listing):
    """A fake store that records the names of directory entries."""

    def __init__(self) -> None:
        super().__init__([])
        self.names: set[str] = set()
        self.era = 1

    def create(self, kind: str, name: str, value: Any) -> store.Object:
        """Adds an entry."""
        assert kind == _directory.KIND
        if name in self.names:
            raise errors.ConflictError(f"{kind}/{name}", 1)
        return self.replace(kind, name, value)

    def replace(self, kind: str, name: str, value: Any) -> store.Object:
        """Replaces an entry."""
        assert kind == _directory.KIND
        self.names.add(name)
        return store.Object(name, revisions.of_store(7, era=self.era), value)

    def delete(self, kind: str, name: str) -> None:
        """Removes an entry."""
        assert kind == _directory.KIND
        self.names.discard(name)


def new_directory(fake_store: _Store, sink: BinaryIO) -> _directory.Directory:
    """Returns the directory client of an agent that starts for the first time.

    Args:
        fake_store: Store that the entry is written to.
        sink: File for the log.
    """
    return _directory.Directory(
        fake_store,  # type: ignore[arg-type]
        name="agent-1",
        entry=_directory.Entry("agent", "10.2.0.1", 1, 1),
        is_first_start=True,
        on_entries=lambda entries: None,
        needs_directory=lambda: False,
        log=decision_log.DecisionLog(name="test", fd=sink.fileno()),
        rng=random.Random(1),
    )


class TestOwnEntry:
    """The directory entry of an agent whose backend server comes and goes."""

    def test_entry_follows_the_backend_server(self) -> None:
        """Guards against entries of agents that no longer exist.

        If a server leaves and all instances lose power before its agent is
        stopped, starting balancers would wait for that agent.
        """
        fake_store = _Store()
        with open("/dev/null", "wb") as sink:
            directory = new_directory(fake_store, sink)
            directory.start()
            eventlet.sleep(0.01)
            assert fake_store.names == {"agent-1"}
            directory.set_listed(False)
            eventlet.sleep(0.01)
            assert fake_store.names == set()
            directory.set_listed(True)
            eventlet.sleep(0.01)
            assert fake_store.names == {"agent-1"}
            directory.set_listed(False)
            directory.set_listed(True)
            eventlet.sleep(0.01)
            assert fake_store.names == {"agent-1"}


class TestLostEntry:
    """The directory entry of a daemon after the store's return from a copy."""

    def test_last_write_or_removal_is_repeated(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against entries that are lost, or listed again, for good."""
        monkeypatch.setattr(_directory, "REWRITE_WINDOW_S", 0.0)
        fake_store = _Store()
        with open("/dev/null", "wb") as sink:
            directory = new_directory(fake_store, sink)
            # Before the first write there is nothing to repeat.
            directory.on_era(1)
            directory.start()
            eventlet.sleep(0.01)
            fake_store.era = 2
            fake_store.names.clear()
            directory.on_era(1)
            eventlet.sleep(0.01)
            assert fake_store.names == set()
            directory.on_era(2)
            eventlet.sleep(0.01)
            assert fake_store.names == {"agent-1"}
            directory.set_listed(False)
            eventlet.sleep(0.01)
            fake_store.era = 3
            fake_store.names.add("agent-1")
            directory.on_era(3)
            eventlet.sleep(0.01)
            assert fake_store.names == set()


class TestStartingBalancer:
    """A balancer that reads the directory while it searches for an owner."""

    def test_search_begun_before_the_directory_ends_no_flow(self) -> None:
        """Guards against resets by a balancer that did not ask the owner.

        A starting balancer knows one agent. A packet of a flow owned by
        another one arrives just before the directory has been read.
        """
        network = packet_network.Network(1)
        heard = network.add_agent()
        owner = network.add_agent()
        core = balancer.Balancer(
            address=OWN,
            replica=messages.Address(OWN.ip, 7735),
            now_ms=NOW_MS,
            rng=random.Random(1),
        )
        core.set_configuration(
            packet_network.configuration(1), NOW_MS, source="store"
        )
        core.on_message(heard.agent.heartbeat(NOW_MS), NOW_MS)
        core.drain_actions()
        flow = packet.FlowKey(
            1, 4000, packet_network.ROUTE_IP, packet_network.ROUTE_PORT
        )
        data = flow_ends.from_caller(flow, flow_ends.ACK, data=b"request")
        core.on_packet(packets.decode_from_caller(data), NOW_MS)
        core.add_agent(owner.address, NOW_MS)
        core.has_directory = True
        core.on_message(
            messages.Answer(flow, heard.address, messages.OWNS_NOT), NOW_MS
        )
        kinds = [type(action) for action in core.drain_actions()]
        assert actions.ResetCaller not in kinds


class TestRevisions:
    """Revisions announced by other balancers."""

    def make_balancer(self) -> balancer.Balancer:
        """Returns a balancer whose state is at revision 5."""
        core = balancer.Balancer(
            address=OWN,
            replica=messages.Address(OWN.ip, 7735),
            now_ms=NOW_MS,
            rng=random.Random(1),
        )
        core.has_directory = True
        core.set_configuration(
            packet_network.configuration(5), NOW_MS, source="store"
        )
        core.set_evacuations(
            routes.Evacuations(5, frozenset({"a"})), source="store"
        )
        core.drain_actions()
        return core

    def hear(
        self,
        core: balancer.Balancer,
        configuration: int,
        evacuations: int,
        *evacuated: str,
        now_ms: int = NOW_MS,
    ) -> bool:
        """Announces a peer's revisions; returns whether they are fetched."""
        core.on_message(
            messages.Revisions(
                balancer=PEER,
                replica=REPLICA,
                configuration_revision=configuration,
                evacuations_revision=evacuations,
                evacuated=evacuated,
                agents=(),
                has_directory=True,
                is_reply=True,
            ),
            now_ms,
        )
        return self.fetches(core)

    def fetches(self, core: balancer.Balancer) -> bool:
        """Returns whether the peer's state has been asked for."""
        return actions.FetchReplica(REPLICA) in core.drain_actions()

    def test_newer_configuration_is_fetched(self) -> None:
        """Guards against outdated balancers while the store is unavailable."""
        core = self.make_balancer()
        core.is_store_connected = False
        assert self.hear(core, 6, 5, "a")

    def test_newer_configuration_that_the_store_withholds(self) -> None:
        """Guards against a balancer whose watch is silent without an error."""
        core = self.make_balancer()
        assert not self.hear(core, 6, 5, "a")
        core.gossip(NOW_MS + balancer.FETCH_GRACE_MS - 1)
        assert not self.fetches(core)
        core.gossip(NOW_MS + balancer.FETCH_GRACE_MS)
        assert self.fetches(core)

    def test_configuration_that_the_store_delivers_is_not_fetched(self) -> None:
        """Guards against links filled by fetches after each change.

        At the large size each balancer would fetch 300 KB from the first peer
        that announces the change, a few milliseconds before its own watch
        delivers it.
        """
        core = self.make_balancer()
        assert not self.hear(core, 6, 5, "a")
        core.set_configuration(
            packet_network.configuration(6), NOW_MS + 20, source="store"
        )
        core.gossip(NOW_MS + balancer.FETCH_GRACE_MS)
        assert not self.fetches(core)

    def test_newer_evacuations_are_applied(self) -> None:
        """Guards against an evacuation missed while the store is away."""
        core = self.make_balancer()
        assert not self.hear(core, 5, 7, "a", "b")
        assert core.evacuations.data_centres == {"a", "b"}
        assert not self.hear(core, 5, 8)
        assert core.evacuations.data_centres == frozenset()

    def test_current_and_older_revisions_change_nothing(self) -> None:
        """Guards against a lagging peer that reverts a change."""
        core = self.make_balancer()
        core.is_store_connected = False
        assert not self.hear(core, 5, 5)
        assert not self.hear(core, 4, 4, "b")
        # The peer has read the store later, but nothing has changed.
        assert not self.hear(core, 5, 9, "a")
        assert core.evacuations.data_centres == {"a"}
        assert core.configuration.revision == 5

    def test_older_configuration_is_refused(self) -> None:
        """Guards against a stale answer that reverts a change."""
        core = self.make_balancer()
        old = packet_network.configuration(4)
        assert not core.set_configuration(old, NOW_MS, source="peer")
        assert core.configuration.revision == 5
        older = routes.Evacuations(4)
        assert not core.set_evacuations(older, source="peer")
        assert core.evacuations.data_centres == {"a"}
