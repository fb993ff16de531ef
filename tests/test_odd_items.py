"""Items of other writers, among those that a daemon follows in the store."""

import contextlib
import json
import pathlib
import random
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

import pytest

from sapphirelift import _directory
from sapphirelift import _store_follower
from sapphirelift import decision_log
from sapphirelift import errors
from sapphirelift.core.l4 import messages
from sapphirelift.platform import client as client_module
from sapphirelift.platform import decoding
from sapphirelift.platform import reports
from sapphirelift.platform import store
from tests import processes
from tests import test_packet_daemon

LEVELS = 5000
DEEP = b"[" * LEVELS + b"]" * LEVELS
# Values that a store may keep and that some decoder refuses.
ODD_VALUES = {
    "deep list": DEEP,
    "deep object": b'{"a":' * LEVELS + b"1" + b"}" * LEVELS,
    "deep member": b'{"role":"agent","x":' + DEEP + b"}",
    "too deep to encode": b"[" * 900 + b"]" * 900,
    "not a number": b'{"port":NaN}',
    "infinite": b'{"port":Infinity}',
    "out of range": b'{"port":1e999}',
    "many digits": b'{"port":1' + b"0" * 5000 + b"}",
    "more than 64 bits": b'{"incarnation":100000000000000000000}',
    "lone surrogate": rb'{"role":"\ud800"}',
    "invalid UTF-8": b'{"role":"\xff"}',
    "control character": b'{"role":"\x00"}',
}


def item(name: str, value: bytes, *, revision: int = 3) -> bytes:
    """Returns an item with the bytes of a value."""
    return b'{"meta":{"Name":"%b","Revision":%d},"spec":%b}' % (
        name.encode(),
        revision,
        value,
    )


def page(*items: bytes, has_more: bool = False) -> bytes:
    """Returns a page of a list."""
    return b'{"items":[%b],"HasMore":%b,"CurrentRev":9}' % (
        b",".join(items),
        b"true" if has_more else b"false",
    )


class _RawStore(store.Store):
    """Answers with the given bytes, by the name that a list continues from."""

    def __init__(self, answers: dict[str, bytes]) -> None:
        self.reasons: list[str] = []
        super().__init__(
            "http://127.0.0.1:1",
            on_skipped=lambda kind, reason: self.reasons.append(reason),
        )
        self.answers = answers

    def _call(self, call: str, *args: Any, **options: Any) -> Any:
        query = options.get("query") or {}
        key = "watch" if call == "watch" else query.get("after", "")
        return store.Answer(200, self.answers[key], era=0)


@pytest.fixture(params=list(ODD_VALUES.values()), ids=list(ODD_VALUES))
def odd(request: pytest.FixtureRequest) -> bytes:
    """The bytes of an odd value."""
    return request.param


class TestList:
    """Lists with one odd item."""

    # Guards against an item that ends the following of the whole list.
    def test_others_hold(self, odd: bytes) -> None:
        """The odd item has no value, and is counted and reported once."""
        client = _RawStore(
            {"": page(item("a", b"1"), item("b", odd), item("c", b"2"))}
        )
        found = client.list_kind("kind").objects
        assert [(o.name, o.value) for o in found] == [
            ("a", 1),
            ("b", None),
            ("c", 2),
        ]
        assert client.skipped == len(client.reasons) == 1

    def test_page_that_ends_with_it(self, odd: bytes) -> None:
        """Guards against a list that cannot be continued, or ends early."""
        client = _RawStore(
            {
                "": page(item("a", b"1"), has_more=True),
                "a": page(item("b", odd), has_more=True),
                "b": page(item("c", b"2")),
            }
        )
        found = client.list_kind("kind").objects
        assert [o.name for o in found] == ["a", "b", "c"]

    def test_garbled_name_costs_the_item(self, odd: bytes) -> None:
        """Guards against an item without a name that others pay for."""
        nameless = b'{"meta":%b,"spec":1}' % odd
        client = _RawStore({"": page(nameless, item("c", b"2"))})
        assert [o.name for o in client.list_kind("kind").objects] == ["c"]
        assert client.skipped == 1

    def test_garbled_page_is_a_failure(self) -> None:
        """Guards against a part of a list that is taken for all of it."""
        client = _RawStore({"": page(item("a", DEEP))[:-1]})
        with pytest.raises(errors.PlatformUnavailableError):
            client.list_kind("kind")


class TestFollowers:
    """What is followed in lists with one odd item, in both programs."""

    def test_watch_goes_on(self, odd: bytes) -> None:
        """Guards against an event that ends the following for good."""
        events = [
            b'{"Object":%b,"Deleted":false}' % item("b", odd, revision=10),
            b'{"Object":%b,"Deleted":false}' % item("c", b"2", revision=11),
            b'{"Object":%b,"Deleted":true}' % item("a", odd, revision=4),
        ]
        answer = b'{"events":[%b],"CurrentRev":12}' % b",".join(events)
        client = _RawStore({"": page(item("a", b"1")), "watch": answer})
        found: list[_store_follower.Contents] = []
        follower = _store_follower.StoreFollower(
            client,
            "evacuations",
            on_objects=found.append,
            settle_ms=0,
            balancers=lambda: 1,
            log=decision_log.DecisionLog(name="test"),
            rng=random.Random(1),
        )
        follower._step()
        follower._step()
        assert sorted(found[-1].objects) == ["b", "c"]
        assert found[-1].objects["c"].value == 2

    def test_directory_keeps_the_others(self, odd: bytes) -> None:
        """Guards against balancers that know no agents (not ready)."""
        entry = {
            "role": "agent",
            "ip": "10.2.0.1",
            "port": 7720,
            "incarnation": 1,
        }
        sound = item("c", json.dumps(entry).encode())
        client = _RawStore({"": page(item("b", odd), sound)})
        found: list[_directory.Entry] = []
        directory = _directory.Directory(
            client,
            name="own",
            entry=_directory.Entry("balancer", "10.1.0.1", 7720, 1),
            is_first_start=True,
            on_entries=found.extend,
            needs_directory=lambda: True,
            log=decision_log.DecisionLog(name="test"),
            rng=random.Random(1),
        )
        directory._list(allow_stale=False)
        assert [e.address for e in found] == [
            messages.Address("10.2.0.1", 7720)
        ]
        assert directory.skipped == 1

    def test_records_keep_the_others(self, odd: bytes) -> None:
        """Guards against records that are out of force beside an odd one."""
        record = b'{"value":{"kind":"service"},"write_id":"w"}'
        objects = client_module.ObjectClient("http://127.0.0.1:1")
        objects.store = _RawStore(
            {
                "": page(
                    item("records:service:a", record),
                    item("records:service:b", odd),
                )
            }
        )
        found = {
            o.key: o.value for o in objects.list_objects("records/").objects
        }
        assert found["records/service/a"] == {"kind": "service"}
        assert found["records/service/b"] == {}

    def test_report_is_refused(self, odd: bytes) -> None:
        """Guards against an internal error as the answer to a report."""
        subject = reports.Subject(messages.Address("10.2.0.1", 80), "shop", "a")
        body = b'{"Service":"shop","x":%b}' % odd
        with pytest.raises(errors.ReportError):
            reports.decode("i-1", body, subject=subject)


class TestBounds:
    """Bounds of values that are accepted."""

    def test_accepted_value_can_be_encoded(self) -> None:
        """Guards against a value that a replica page cannot serve."""
        value: Any = 1
        for _ in range(decoding.MAX_DEPTH - 1):
            value = [value]
        decoding.check_bounds(value)
        with pytest.raises(errors.UnreadableError):
            decoding.check_bounds([value])


@contextlib.contextmanager
def serve_odd_items(store_url: str) -> Iterator[int]:
    """Serves a store with an odd item in each list; yields the port."""
    port = processes.free_port()
    serving = subprocess.Popen(
        [sys.executable, "-m", "tests.odd_store", store_url, str(port)],
        stderr=subprocess.DEVNULL,
    )
    try:
        yield port
    finally:
        serving.kill()
        serving.wait()


class TestDaemons:
    """Daemons that start while each list has a deeply nested item."""

    # Guards against balancers that never become ready after a loss of power
    # (report of the operators in issue 32).
    def test_all_become_ready(
        self, fleet: processes.Fleet, tmp_path: pathlib.Path
    ) -> None:
        """The configuration, evacuations and directory are followed."""
        site = test_packet_daemon.Site(fleet, tmp_path)
        first = test_packet_daemon.BALANCER_IPS[0]
        with (
            contextlib.closing(site),
            serve_odd_items(fleet.platform_url) as port,
        ):
            fleet.platform_port = port
            for ip in test_packet_daemon.AGENT_IPS:
                site.start(ip, "agent")
            site.start(first, "balancer")
            site.report()
            processes.wait_until(lambda: site.is_ready(first))
            caller = site.open_flow(first)
            site.exchange(caller, first)
            changed = test_packet_daemon.configuration(4)
            site.store.replace("config", "main", changed)
            processes.wait_until(
                lambda: self.dump(site, first)["configuration_version"] == 4
            )
            state = self.dump(site, first)
            assert state["store_items_skipped"] >= 3
            assert state["task_failures"] == {}
            processes.wait_until(
                lambda: (
                    "store_item_skipped"
                    in [line["event"] for line in site.lines(first)]
                )
            )

    def dump(self, site: test_packet_daemon.Site, ip: str) -> dict[str, Any]:
        """Returns the state of a daemon."""
        return json.loads(site.get(ip, "/dump"))
