"""Handling of uncaught errors in the tasks of a daemon."""

import eventlet
import pytest

from sapphirelift import _node
from sapphirelift import messages
from sapphirelift import tasks
from sapphirelift.core.records import replica
from sapphirelift.peers import endpoint
from sapphirelift.platform import client as platform_client
from tests import processes


class TestTasks:
    """Tasks continue after an uncaught error."""

    def test_starts_again(self) -> None:
        """Guards against a task that ends for good after an error."""
        calls = []

        def fail_once() -> None:
            calls.append(len(calls))
            if len(calls) == 1:
                raise KeyError("planned")

        before = tasks.failures["test"]
        tasks.spawn("test", fail_once).wait()
        assert calls == [0, 1]
        assert tasks.failures["test"] == before + 1

    def test_socket_survives_its_handler(self) -> None:
        """Guards against a datagram whose handler ends the receiving task."""
        seen = []

        def handle(data: bytes, address: tuple[str, int]) -> None:
            seen.append(data)
            if data == b"bad!":
                raise KeyError("planned")

        opened = endpoint.Endpoint(messages.Address("127.0.0.1", 0), handle)
        opened.start()
        for data in (b"bad!", b"good"):
            opened.send(data, opened.address)
        eventlet.sleep(0.1)
        opened.stop()
        assert seen == [b"bad!", b"good"]


class TestChanges:
    """Changes of the platform's objects that a daemon applies together."""

    def test_error_blocks_no_other_change(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an unexpected error that stops other changes."""
        applied = []

        def apply(change: replica.StoredObject) -> None:
            if change.key == "odd":
                raise KeyError("planned")
            applied.append(change.key)

        node = _node.Node.__new__(_node.Node)
        monkeypatch.setattr(node, "_apply_change", apply, raising=False)
        monkeypatch.setattr(node, "records", None, raising=False)
        monkeypatch.setattr(node, "on_records", applied.append, raising=False)
        before = tasks.failures["apply_change"]
        node.apply_changes(
            replica.StoredObject(key, 1, {}) for key in ("a", "odd", "b")
        )
        assert applied == ["a", "b", None]
        assert tasks.failures["apply_change"] == before + 1


class TestDaemon:
    """Objects in the platform's store that no release writes."""

    def test_malformed_objects_stop_nothing(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against an object that stops the watch or other changes."""
        fleet.start_platform()
        fleet.start_balancer("balancer-1")
        for name in ("agent-0", "agent-1", "agent-2"):
            fleet.start_agent(name, service="pakkaamo")
        fleet.wait_ready(agents=3)
        objects = platform_client.ObjectClient(fleet.platform_url)
        objects.put("members/agent/pakkaamo/odd", {"name": 5})
        objects.put("records/service/odd", {"schema_version": [1]})
        objects.put(
            "records/data_centre/etela-b",
            {
                "schema_version": 2,
                "kind": "data_centre",
                "name": "etela-b",
                "withdrawn": True,
            },
        )
        processes.wait_until(
            lambda: fleet.dump("balancer-1")["withdrawn"] == ["etela-b"],
            timeout_s=7,
        )
        dump = fleet.dump("balancer-1")
        assert dump["membership"]["announcements_refused"] == 1
        for name in ("balancer-1", "agent-0", "agent-1", "agent-2"):
            processes.wait_until(
                lambda name=name: (
                    "records/service/odd" in fleet.dump(name)["refused_records"]
                ),
                timeout_s=7,
            )
            assert fleet.dump(name)["task_failures"] == {}
        assert "records/service/odd" in dump["refused_records"]
        # A member that was never heard is suspected only after 10 s.
        fleet.kill("agent-0")
        processes.wait_until(
            lambda: fleet.dump("balancer-1")["members"]["agent-0"]["suspected"],
            timeout_s=15,
        )
