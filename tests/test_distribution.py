"""Distribution of records, announcements and status in real processes."""

import json
import random
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import eventlet
import pytest

from sapphirelift import _announcer
from sapphirelift import _record_sync
from sapphirelift import messages
from sapphirelift import settings as settings_module
from sapphirelift.callers import client as caller_client
from sapphirelift.core import revisions
from sapphirelift.core.records import replica
from sapphirelift.core.requests import outcomes
from sapphirelift.operators import record_store
from sapphirelift.peers import records
from sapphirelift.platform import client
from tests import processes

SERVICE = "jasen-kauppa"
PROPAGATION_BOUND_S = 7.0
ANSWER = outcomes.Answered(200, b"jar")


def set_faults(fleet: processes.Fleet, **faults: Any) -> None:
    """Sets the faults of the platform."""
    processes.post_json(fleet.platform_port, "/faults", faults)


def start(fleet: processes.Fleet, *, balancers: int = 2) -> None:
    """Starts a platform, balancers and two agents."""
    fleet.start_platform()
    for number in range(balancers):
        fleet.start_balancer(f"balancer-{number}")
    for number in range(2):
        fleet.start_agent(f"agent-{number}", service=SERVICE)
    fleet.wait_ready(agents=2)


def daemons(fleet: processes.Fleet) -> list[str]:
    """Returns the names of all daemons."""
    return list(fleet.admin_ports)


def withdraw(fleet: processes.Fleet, data_centre: str) -> int:
    """Writes a data centre record and returns its revision."""
    key = f"records/data_centre/{data_centre}"
    value = {
        "schema_version": 2,
        "kind": "data_centre",
        "name": data_centre,
        "withdrawn": True,
    }
    return client.ObjectClient(fleet.platform_url).put(key, value)


def wait_in_force(
    fleet: processes.Fleet, revision: int, *, excluded: str = ""
) -> None:
    """Waits until every daemon has a revision, at most the promised bound."""
    processes.wait_until(
        lambda: all(
            fleet.dump(name)["revision"] >= revision
            for name in daemons(fleet)
            if name != excluded
        ),
        timeout_s=PROPAGATION_BOUND_S,
    )


def neighbours(fleet: processes.Fleet, *names: str) -> list[dict[str, Any]]:
    """Returns the peer addresses of daemons, for settings."""
    return [
        {"ip": "127.0.0.1", "port": fleet.peer_ports[name]} for name in names
    ]


class TestConfiguration:
    """An accepted record takes effect everywhere and is kept (P10)."""

    @pytest.mark.parametrize(
        "faults",
        [
            {"silent_watches": 2},
            {"silent_clients": ["balancer-0"]},
            {"history_changes": 0},
            {"delay_ms": 1500},
            {"stale_reads": 3, "stale_claims": True},
        ],
        ids=lambda faults: next(iter(faults)),
    )
    def test_change_is_in_force_within_the_bound(
        self, fleet: processes.Fleet, faults: dict[str, Any]
    ) -> None:
        """Guards against daemons that miss a change during platform faults."""
        start(fleet)
        set_faults(fleet, **faults)
        revision = withdraw(fleet, "etela-b")
        wait_in_force(fleet, revision)
        for name in fleet.public:
            assert fleet.dump(name)["withdrawn"] == ["etela-b"]

    def test_agent_that_starts_before_all_balancers(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against agents that stop looking for balancers too early."""
        fleet.start_platform()
        fleet.start_agent("agent-0", service=SERVICE)
        processes.wait_until(lambda: fleet.dump("agent-0")["revision"] > 0)
        fleet.start_balancer("balancer-0")
        fleet.wait_ready(agents=1)
        wait_in_force(fleet, withdraw(fleet, "etela-b"))

    def test_agent_whose_balancers_have_been_replaced(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against agents that know dead balancers only, for good."""
        fleet.start_platform()
        fleet.start_balancer("balancer-0")
        fleet.start_agent("agent-0", service=SERVICE)
        fleet.wait_ready(agents=1)
        fleet.kill("balancer-0")
        fleet.start_balancer("balancer-1")
        revision = withdraw(fleet, "etela-b")
        processes.wait_until(
            lambda: fleet.dump("agent-0")["revision"] >= revision,
            timeout_s=_record_sync.RESYNC_INTERVAL_S + PROPAGATION_BOUND_S,
        )

    def test_stale_reads_and_restarted_store_revert_nothing(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against stale data that reverts an applied withdrawal."""
        start(fleet)
        wait_in_force(fleet, withdraw(fleet, "etela-b"))
        wait_in_force(fleet, withdraw(fleet, "etela-c"))
        in_force = {n: fleet.dump(n)["revision"] for n in daemons(fleet)}
        for faults in (
            {"stale_reads": 10, "stale_changes": 2},
            {"stale_reads": 10, "stale_claims": True, "history_changes": 0},
            {"down": True},
        ):
            set_faults(fleet, **faults)
            if "down" in faults:
                processes.post_json(fleet.platform_port, "/restart", {})
                set_faults(fleet)
            self._assert_no_reverts(fleet, in_force, seconds=4.0)
        processes.wait_until(
            lambda: all(
                fleet.dump(name)["platform_reverted"] for name in fleet.public
            )
        )
        # The restarted store, without the old records, passes their revision.
        set_faults(fleet, history_changes=0)
        writer = client.ObjectClient(fleet.platform_url, calls_per_s=1000)
        highest = max(fleet.dump(name)["revision"] for name in in_force)
        for number in range(highest + 5):
            last = writer.put("records/service/filler", {"number": number})
        processes.wait_until(
            lambda: all(fleet.dump(n)["revision"] >= last for n in in_force)
        )
        self._assert_no_reverts(fleet, in_force, seconds=0.5)

    def _assert_no_reverts(
        self, fleet: processes.Fleet, in_force: dict[str, int], seconds: float
    ) -> None:
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            for name, revision in in_force.items():
                dump = fleet.dump(name)
                assert dump["revision"] >= revision
                if name in fleet.public:
                    assert dump["withdrawn"] == ["etela-b", "etela-c"]
            time.sleep(0.1)

    def test_daemons_started_in_an_outage_serve(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against instances that need the platform to start."""
        start(fleet)
        wait_in_force(fleet, withdraw(fleet, "etela-b"))
        set_faults(fleet, down=True)
        fleet.peer_ports["gone"] = processes.free_port()
        known = neighbours(fleet, "gone", "agent-0", "balancer-0", "balancer-1")
        fleet.start_agent("agent-2", service=SERVICE, neighbours=known)
        fleet.start_balancer("balancer-2", neighbours=known)
        processes.wait_until(
            lambda: fleet.dump("balancer-2")["withdrawn"] == ["etela-b"]
        )
        processes.wait_until(
            lambda: all(
                "agent-2" in fleet.dump(name)["members"]
                for name in ("balancer-0", "balancer-1")
            )
        )
        callers = [
            caller_client.Caller([address], seed=seed)
            for seed, address in enumerate(fleet.public.values())
        ]
        sessions = [c.open(SERVICE) for c in callers for _ in range(15)]
        for session in sessions:
            assert session.request("POST", "/echo", body=b"jar") == ANSWER
        assert "agent-2" in {session.agent for session in sessions}
        set_faults(fleet)
        platform = client.ObjectClient(fleet.platform_url, calls_per_s=100)
        processes.wait_until(
            lambda: len(platform.list_objects("members/").objects) == 6
        )
        wait_in_force(fleet, withdraw(fleet, "etela-c"))
        for session in sessions:
            assert session.request("POST", "/echo", body=b"jar") == ANSWER
        for caller in callers:
            assert caller.broken_flows == 0
            caller.close()


class TestStoreRestored:
    """The store returns from a copy that lacks the newest changes."""

    def test_withdrawal_outlives_the_return(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against records that come back older, or are refused."""
        start(fleet)
        processes.post_json(fleet.platform_port, "/copy", {})
        platform = client.ObjectClient(fleet.platform_url)
        for number in range(5):
            platform.put("records/service/filler", {"number": number})
        wait_in_force(fleet, withdraw(fleet, "etela-b"))
        processes.post_json(fleet.platform_port, "/restore", {})
        end_s = time.monotonic() + 1.5
        while time.monotonic() < end_s:
            for name in fleet.public:
                assert fleet.dump(name)["withdrawn"] == ["etela-b"]
        for data_centre in ("etela-b", "etela-c"):
            withdraw(fleet, data_centre)
        processes.wait_until(
            lambda: all(
                fleet.dump(name)["withdrawn"] == ["etela-b", "etela-c"]
                for name in fleet.public
            ),
            timeout_s=PROPAGATION_BOUND_S,
        )
        end_s = time.monotonic() + 4.0
        while time.monotonic() < end_s:
            for name in fleet.public:
                assert fleet.dump(name)["withdrawn"] == ["etela-b", "etela-c"]

    def test_records_that_nobody_writes_again(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against changes that the store takes back for good.

        One record has been changed since the copy, one created, one deleted;
        the store returns twice.
        """
        start(fleet)
        operators = record_store.RecordStore(
            client.ObjectClient(fleet.platform_url, calls_per_s=100)
        )
        for number in (1, 2, 3):
            change = {"withdrawn": number == 3}
            operators.update("data_centre", f"etela-{number}", change)
        processes.post_json(fleet.platform_port, "/copy", {})
        for number in (1, 4):
            change = {"withdrawn": True}
            revision = operators.update(
                "data_centre", f"etela-{number}", change
            ).revision
        operators.delete("data_centre", "etela-3")
        in_force = ["etela-1", "etela-4"]

        def is_in_force(*names: str) -> bool:
            return all(fleet.dump(n)["withdrawn"] == in_force for n in names)

        wait_in_force(fleet, revision)
        processes.wait_until(lambda: is_in_force(*fleet.public))
        for _ in range(2):
            processes.post_json(fleet.platform_port, "/restore", {})
            end_s = time.monotonic() + 2 * PROPAGATION_BOUND_S
            while time.monotonic() < end_s:
                assert is_in_force(*fleet.public)
                time.sleep(0.1)
            stored = {
                o.key: o.value for o in operators.list_kind("data_centre")
            }
            assert sorted(stored) == [
                f"records/data_centre/etela-{number}" for number in (1, 2, 4)
            ]
            processes.wait_until(
                lambda: (
                    not any(
                        fleet.dump(name)["lost_records"]
                        for name in fleet.public
                    )
                ),
                timeout_s=PROPAGATION_BOUND_S,
            )
        # Also for a daemon without memory, and a change is not refused.
        fleet.start_balancer("balancer-9")
        processes.wait_until(lambda: is_in_force("balancer-9"))
        operators.update("data_centre", "etela-1", {"withdrawn": False})
        in_force.remove("etela-1")
        processes.wait_until(
            lambda: is_in_force(*fleet.public), timeout_s=PROPAGATION_BOUND_S
        )

    def test_members_announce_themselves_again(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against members that stay missing in the store."""
        fleet.start_platform()
        processes.post_json(fleet.platform_port, "/copy", {})
        fleet.start_balancer("balancer-0")
        fleet.start_agent("agent-0", service=SERVICE)
        fleet.wait_ready(agents=1)
        processes.post_json(fleet.platform_port, "/restore", {})
        platform = client.ObjectClient(fleet.platform_url, calls_per_s=100)
        processes.wait_until(
            lambda: len(platform.list_objects("members/").objects) == 2,
            timeout_s=PROPAGATION_BOUND_S,
        )


def new_sync(
    *,
    on_new_era: Callable[[], None] = lambda: None,
    neighbours: Iterable[messages.Address] = (),
) -> _record_sync.RecordSync:
    """Returns the replica of a balancer without a platform."""
    ports = [processes.free_port() for _ in range(3)]
    public, peer, admin = ({"ip": "127.0.0.1", "port": p} for p in ports)
    settings = {
        "name": "balancer-9",
        "role": "balancer",
        "data_centre": "etela-a",
        "peer": peer,
        "public": public,
        "admin": admin,
        "platform_url": "http://127.0.0.1:1",
        "cluster_key_hex": processes.CLUSTER_KEY_HEX,
        "neighbours": [address._asdict() for address in neighbours],
    }
    return _record_sync.RecordSync(
        settings_module.parse(json.dumps(settings).encode()),
        on_changes=lambda changes: None,
        on_new_era=on_new_era,
        rng=random.Random(1),
    )


class TestUnsettledEra:
    """Contents of the store that may be older than those in force."""

    KEY = "records/keyring/cluster"

    def keyring(self, key_id: int, revision: int) -> replica.StoredObject:
        """Returns a keyring record."""
        return replica.StoredObject(self.KEY, revision, {"current": key_id})

    def test_withdrawn_key_stays_withdrawn(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against records of the copy that take a change back."""
        now_ms = [1_000_000]
        monkeypatch.setattr(_record_sync.clock, "boot_ms", lambda: now_ms[0])
        eras: list[int] = []
        sync = new_sync(on_new_era=lambda: eras.append(1))

        def list_keyring(key_id: int, store_revision: int, era: int) -> Any:
            revision = revisions.of_store(store_revision, era=era)
            listed = [self.keyring(key_id, revision)]
            sync._apply_listing(client.Listing(revision, listed, complete=True))
            found = sync.replica.get(self.KEY)
            return found and found.value

        assert list_keyring(2, 20, 1) == {"current": 2}
        assert not eras
        assert list_keyring(1, 18, 2) == {"current": 2}
        assert list_keyring(1, 18, 2) == {"current": 2}
        now_ms[0] += revisions.REWRITE_MS
        assert list_keyring(2, 19, 2) == {"current": 2}
        assert list_keyring(3, 20, 2) == {"current": 3}
        assert len(eras) == 1

    def test_neighbour_without_memory_reverts_nothing(self) -> None:
        """Guards against records that a new daemon has read from the copy."""
        eras: list[int] = []
        sync = new_sync(on_new_era=lambda: eras.append(1))
        sync._apply_listing(
            client.Listing(20, [self.keyring(2, 20)], complete=True)
        )
        revision = revisions.of_store(18, era=2)
        copied = [self.keyring(1, revision)]
        for is_settled in (False, True):
            sync._apply_difference(
                replica.Difference(revision, copied, False, is_settled)
            )
            found = sync.replica.get(self.KEY)
            assert found is not None
            assert found.value == {"current": 1 if is_settled else 2}
            assert len(eras) == is_settled

    def test_store_returns_before_the_first_list(self) -> None:
        """Guards against a lost announcement that is not repeated."""
        eras: list[int] = []
        sync = new_sync(on_new_era=lambda: eras.append(1))
        sync.platform.store.restores = 1
        revision = revisions.of_store(1, era=1)
        sync._apply_listing(client.Listing(revision, [], complete=True))
        assert len(eras) == 1

    def test_daemon_without_records_is_unsettled_at_first(self) -> None:
        """Guards against a new daemon that is taken for one with memory."""
        sync = new_sync()
        sync._apply_listing(
            client.Listing(20, [self.keyring(2, 20)], complete=True)
        )
        assert not sync.replica.difference(0).is_settled

    # Guards against a withdrawn key that is in use again after a restart.
    @pytest.mark.parametrize("memory_first", [True, False])
    def test_new_daemon_believes_neighbours_with_memory(
        self, monkeypatch: pytest.MonkeyPatch, memory_first: bool
    ) -> None:
        """A neighbour without memory has read the copy, like the daemon."""
        restored = revisions.of_store(18, era=2)
        with_memory, without_memory = replica.Replica(), replica.Replica()
        with_memory.apply([self.keyring(2, 20)], revision=20)
        without_memory.apply([self.keyring(1, restored)], revision=restored)
        without_memory.is_settled = False
        held = [with_memory, without_memory]
        sync, servers = sync_with_neighbours(
            held if memory_first else held[::-1]
        )
        sync.platform.store.era = 2
        copied = client.Listing(
            restored, [self.keyring(1, restored)], complete=True
        )
        monkeypatch.setattr(
            sync.platform, "list_objects", lambda *prefixes: copied
        )
        monkeypatch.setattr(
            sync.platform, "watch", lambda *prefixes, since, wait_ms: copied
        )
        sync.start()
        with eventlet.Timeout(10):
            while not sync.replica.revision:
                eventlet.sleep(0.01)
        found = sync.replica.get(self.KEY)
        assert found is not None
        assert found.value == {"current": 2}
        for server in servers:
            server.stop()

    def test_records_of_an_unsettled_neighbour_are_unsettled(self) -> None:
        """Guards against the copy's records taken for ones with memory."""
        restored = revisions.of_store(18, era=2)
        sync = new_sync()
        sync._apply_difference(
            replica.Difference(
                restored, [self.keyring(1, restored)], True, False
            )
        )
        assert not sync.replica.difference(0).is_settled


def sync_with_neighbours(
    held: Iterable[replica.Replica],
) -> tuple[_record_sync.RecordSync, list[records.RecordServer]]:
    """Returns a replica whose neighbours serve others; and all servers."""
    key = bytes.fromhex(processes.CLUSTER_KEY_HEX)
    servers = []
    addresses = []
    for neighbour in held:
        address = messages.Address("127.0.0.1", processes.free_port())
        addresses.append(address)
        servers.append(records.RecordServer(address, neighbour, key=key))
        servers[-1].start()
    closed = messages.Address("127.0.0.1", processes.free_port())
    sync = new_sync(neighbours=[closed, *addresses])
    return sync, [*servers, sync.server]


class TestNeighbours:
    """Startup of an instance while the platform is down."""

    def test_newest_of_all_neighbours_is_taken(self) -> None:
        """Guards against keeping the first reply instead of the newest."""
        held = []
        for revision in (5, 9, 7):
            held.append(replica.Replica())
            stored = replica.StoredObject("records/a/b", revision, {})
            held[-1].apply([stored], revision=revision)
        sync, servers = sync_with_neighbours(held)
        sync.start()
        with eventlet.Timeout(10):
            while sync.counters["fetches"] < 3:
                eventlet.sleep(0.05)
        held_object = sync.replica.get("records/a/b")
        assert held_object is not None
        assert held_object.revision == 9
        assert sync.replica.revision == 9
        for server in servers:
            server.stop()


class _ConcurrentWriteClient(client.ObjectClient):
    """Runs ``after_read`` once after a read, to write concurrently."""

    after_read: Any = None

    def get(self, key: str) -> replica.StoredObject | None:
        """Reads an object; another writer may change it afterwards."""
        held = super().get(key)
        after_read, self.after_read = self.after_read, None
        if after_read is not None:
            after_read()
        return held


class TestAnnouncement:
    """The member object of a daemon."""

    def test_newer_incarnation_written_meanwhile_stays(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against a write that is not conditional on the read."""
        fleet.start_platform()
        other = client.ObjectClient(fleet.platform_url)
        platform = _ConcurrentWriteClient(fleet.platform_url)
        platform.after_read = lambda: other.put("members/a", {"incarnation": 2})
        announcer = _announcer.Announcer(
            platform,
            key="members/a",
            announcement=lambda: {"incarnation": 1},
            rng=random.Random(1),
        )
        announcer.announce()
        with eventlet.Timeout(10):
            while not announcer.counters["announcements_superseded"]:
                eventlet.sleep(0.05)
        held = other.get("members/a")
        assert held is not None
        assert held.value == {"incarnation": 2}
        assert announcer.counters["announcements_failed"] == 1

    def test_newer_incarnation_is_not_overwritten(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against a replaced instance that overwrites its successor."""
        start(fleet)
        platform = client.ObjectClient(fleet.platform_url, calls_per_s=100)
        key = f"members/agent/{SERVICE}/agent-0"
        held = platform.get(key)
        assert held is not None
        assert held.value is not None
        newer = held.value | {"incarnation": held.value["incarnation"] + 1}
        # The heartbeats of the older incarnation are no longer answered.
        wait_in_force(fleet, platform.put(key, newer), excluded="agent-0")
        fleet.terminate("agent-0")
        fleet.wait_exit("agent-0")
        found = platform.get(key)
        assert found is not None
        assert found.value == newer

    def test_deleted_announcement_is_repeated(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against a running member that stays deleted."""
        start(fleet)
        platform = client.ObjectClient(fleet.platform_url, calls_per_s=100)
        key = f"members/agent/{SERVICE}/agent-0"
        platform.delete(key)
        processes.wait_until(
            lambda: platform.get(key), timeout_s=PROPAGATION_BOUND_S
        )


class TestCommandLine:
    """Concurrent writes by operators."""

    @pytest.mark.parametrize("lost", [0, 1])
    def test_one_of_two_racing_writers_wins(
        self, fleet: processes.Fleet, lost: int
    ) -> None:
        """Guards against a lost update or success reported to both writers."""
        fleet.start_platform()
        platform = client.ObjectClient(fleet.platform_url)
        key = "records/service/catalogue"
        value = {
            "schema_version": 2,
            "kind": "service",
            "name": "catalogue",
            "branch": "dune-works",
        }
        revision = platform.put(key, value)
        set_faults(fleet, delay_ms=300, lose_write_answers=lost)
        writers = []
        for number in range(2):
            path = fleet.directory / f"{number}.json"
            path.write_text(
                json.dumps(value | {"labels": {"writer": str(number)}})
            )
            command = ["apply", str(path), f"--revision={revision}"]
            url = f"--platform={fleet.platform_url}"
            writers.append(
                subprocess.Popen(
                    [sys.executable, "-m", "sapphirelift.operators.cli"]
                    + [*command, url],
                    stderr=subprocess.PIPE,
                    stdout=subprocess.DEVNULL,
                )
            )
        printed = [writer.communicate()[1].decode() for writer in writers]
        statuses = [writer.returncode for writer in writers]
        assert sorted(statuses) == [0, 4]
        held = platform.get(key)
        assert held is not None
        assert held.value is not None
        assert held.value["labels"] == {"writer": str(statuses.index(0))}
        assert f"revision {held.revision}" in printed[statuses.index(4)]


class TestStatusObject:
    """The status that the lease holder writes."""

    def test_paused_holder_writes_nothing_after_waking(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against a resumed holder that overwrites a later term."""
        start(fleet, balancers=3)
        platform = client.ObjectClient(fleet.platform_url, calls_per_s=100)

        def written(term: int) -> Any:
            held = platform.get("status/cluster")
            if held is None or held.value is None:
                return None
            return held.value if held.value["term"] >= term else None

        first = processes.wait_until(lambda: written(1))
        revision = withdraw(fleet, "etela-b")
        holder = fleet.processes[first["writer"]]
        holder.send_signal(signal.SIGSTOP)
        second = processes.wait_until(lambda: written(first["term"] + 1))
        assert second["writer"] != first["writer"]
        holder.send_signal(signal.SIGCONT)
        term, end_s = second["term"], time.monotonic() + 5
        while time.monotonic() < end_s:
            value = written(term)
            assert value is not None
            assert value["writer"] == second["writer"]
            term = value["term"]
            time.sleep(0.05)
        processes.wait_until(
            lambda: (
                len((written(1) or {})["observed_revisions"]) == 5
                and min((written(1) or {})["observed_revisions"].values())
                >= revision
            )
        )
        value = written(1)
        assert sum(value["daemons_by_revision"].values()) == 5
        kinds = {c["kind"]: c for c in value["conditions"]}
        assert kinds["data_centre_withdrawn"]["subject"] == "etela-b"
