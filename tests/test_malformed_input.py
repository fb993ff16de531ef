"""Malformed answers of the store, of peers and of operators' settings."""

import io
import json
import random
from typing import Any
from typing import NamedTuple

import eventlet
import msgspec
import pytest

from sapphirelift import _directory
from sapphirelift import _packet_balancer
from sapphirelift import decision_log
from sapphirelift import deployment
from sapphirelift import errors
from sapphirelift import messages as product_messages
from sapphirelift import wire
from sapphirelift.callers import client
from sapphirelift.core.l4 import backend
from sapphirelift.core.l4 import messages
from sapphirelift.core.membership import membership
from sapphirelift.platform import client as client_module
from sapphirelift.platform import http
from sapphirelift.platform import reports
from sapphirelift.platform import store
from sapphirelift.standins import packet_writers
from tests import processes

GARBAGE: dict[str, Any] = {"meta": {"Name": "b"}, "spec": 1}


def _object(name: str) -> dict[str, Any]:
    return {"meta": {"Name": name, "Revision": 1}, "spec": {}}


class _PagedStore(store.Store):
    """Answers lists from canned pages, by the name they continue from."""

    def __init__(self, pages: dict[str, dict[str, Any]]) -> None:
        super().__init__("http://127.0.0.1:1")
        self.pages = pages

    def _call(self, call: str, *args: Any, **options: Any) -> Any:
        page = self.pages[options["query"].get("after", "")]
        data = json.dumps({"CurrentRev": 9} | page).encode()
        return store.Answer(200, data, era=1)


class TestLists:
    """Lists with items of other writers."""

    def test_page_of_malformed_items_is_not_the_end(self) -> None:
        """Guards against a list that ends at a page of malformed items."""
        paged = _PagedStore(
            {
                "": {"items": [_object("a")], "HasMore": True},
                "a": {"items": [GARBAGE], "HasMore": True},
                "b": {"items": [_object("c")], "HasMore": False},
            }
        )
        listing = paged.list_kind("kind")
        assert [item.name for item in listing.objects] == ["a", "c"]
        assert paged.skipped == 1

    def test_page_without_names_is_a_failure(self) -> None:
        """Guards against an incomplete list that is taken as complete."""
        paged = _PagedStore({"": {"items": [7], "HasMore": True}})
        with pytest.raises(errors.PlatformUnavailableError):
            paged.list_kind("kind")


class TestRecordObjects:
    """Objects of the caller protocol that another writer has garbled."""

    # Guards against an unreadable value that takes a valid record out of force.
    @pytest.mark.parametrize("spec", [1, "text", {}, {"value": None}, []])
    def test_unreadable_value_is_no_deletion(self, spec: Any) -> None:
        """Only a deletion removes a record; garbage is refused."""
        paged = client_module.ObjectClient("http://127.0.0.1:1")
        listed = store.Object("records:keyring:cluster", 7, spec)
        paged.store.list_kind = lambda kind: store.Listing(7, [listed])
        found = paged.list_objects("records/").objects
        assert [item.value for item in found] == [{}]


class TestAnnouncements:
    """Members announced by objects with garbage in their fields."""

    VALID: dict[str, Any] = {
        "schema_version": 1,
        "name": "agent-1",
        "role": "agent",
        "ip": "127.0.0.1",
        "port": 7000,
        "incarnation": 1,
        "data_centre": "etela-a",
        "service": "shop",
        "weight": 1.0,
        "state": "up",
    }

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("name", 7),
            ("role", None),
            ("ip", "a-host-name"),
            ("ip", 3),
            ("port", "7000"),
            ("port", 70_000),
            ("incarnation", "1"),
            ("weight", "heavy"),
            ("weight", -1.0),
            ("state", []),
        ],
    )
    def test_garbage_is_no_member(self, field: str, value: Any) -> None:
        """Guards against garbage that fails later, at each new flow."""
        table = membership.Membership()
        table.apply_announcement(self.VALID | {field: value}, revision=1)
        assert not table.members
        assert table.counters["announcements_refused"] == 1
        table.apply_announcement(self.VALID, revision=2)
        table.apply_announcement(self.VALID | {field: value}, revision=3)
        assert table.members["agent-1"].revision == 2


class _ContestedStore:
    """Refuses the first creations and replacements of an entry."""

    def __init__(self, refusals: int) -> None:
        self.refusals = refusals
        self.calls = 0

    def create(self, kind: str, name: str, value: Any) -> store.Object:
        """Creates or refuses an entry."""
        self.calls += 1
        if self.calls <= self.refusals:
            raise errors.ConflictError(f"{kind}/{name}", 0)
        return store.Object(name, 1, value)

    replace = create


class TestDirectoryEntry:
    """An entry that another writer creates and removes."""

    def test_two_conflicts_are_not_a_write(self) -> None:
        """Guards against a daemon that believes it is listed and is not."""
        contested = _ContestedStore(2)
        with open("/dev/null", "wb") as sink:
            directory = _directory.Directory(
                contested,  # type: ignore[arg-type]
                name="agent-1",
                entry=_directory.Entry("agent", "10.2.0.1", 1, 1),
                is_first_start=True,
                on_entries=lambda entries: None,
                needs_directory=lambda: False,
                log=decision_log.DecisionLog(name="test", fd=sink.fileno()),
                rng=random.Random(1),
            )
            with pytest.raises(errors.PlatformUnavailableError):
                directory._write_entry()
            assert not directory._is_listed
            directory._write_entry()
            assert directory._is_listed


class _Response(NamedTuple):
    status: int
    data: bytes


class _Peer:
    """Stands in for the HTTP client of a balancer."""

    def __init__(self, response: _Response) -> None:
        self._response = response

    def request(self, method: str, url: str) -> _Response:
        """Returns the canned response."""
        del method, url
        return self._response


def _settings() -> deployment.Deployment:
    ports = [processes.free_port() for _ in range(4)]
    return deployment.Deployment(
        name="front-1",
        role="balancer",
        ip="127.0.0.1",
        data_centre="a",
        region="r",
        packets=f"127.0.0.1:{ports[0]}",
        readiness=f"127.0.0.1:{ports[1]}",
        internal_ports=(ports[2], ports[3]),
        platform="127.0.0.1:1",
        report_interval_ms=1000,
        stop_timeout_s=6,
        contact_ms=4000,
    )


@pytest.fixture
def node() -> _packet_balancer.PacketBalancerNode:
    """Returns a balancer that has not been started."""
    return _packet_balancer.PacketBalancerNode(_settings())


class TestReplica:
    """The replica page of another balancer."""

    @pytest.mark.parametrize(
        "response",
        [
            _Response(200, b"[]"),
            _Response(200, b"null"),
            _Response(200, b"{"),
            _Response(200, b"\xff\xfe"),
            _Response(200, b'{"configuration": 7}'),
            _Response(200, b'{"configuration": {"revision": "9"}}'),
            _Response(200, b'{"agents": [["10.2.0.1"]]}'),
            _Response(200, b'{"agents": [["10.2.0.1", "7720"]]}'),
            _Response(500, b'{"has_directory": true}'),
            _Response(404, b'{"error": "unknown path"}'),
        ],
        ids=str,
    )
    def test_unusable_page_changes_nothing(
        self, node: _packet_balancer.PacketBalancerNode, response: _Response
    ) -> None:
        """Guards against a task that dies of, or applies, a bad answer."""
        node._http = _Peer(response)  # type: ignore[assignment]
        node.fetch_replica(messages.Address("127.0.0.2", 1))
        assert not node.core.has_directory
        assert node.core.configuration.revision == 0
        assert node.core.evacuations.revision == 0
        assert node.core.known_agents() == []
        assert not node._is_fetching

    def test_own_page_is_accepted(
        self, node: _packet_balancer.PacketBalancerNode
    ) -> None:
        """Guards against a check that refuses what balancers serve."""
        page = {
            "configuration": {"revision": 4, "value": {"Version": 1}},
            "has_directory": True,
            "agents": [["10.2.0.1", 7720]],
        }
        data = msgspec.json.encode(page)
        node._http = _Peer(_Response(200, data))  # type: ignore[assignment]
        node.fetch_replica(messages.Address("127.0.0.2", 1))
        assert node.core.configuration.revision == 4
        assert node.core.has_directory
        assert json.loads(json.dumps(node._replica_page())) == page


class TestReload:
    """Settings that change while the daemon runs."""

    def test_durations_apply_and_the_rest_is_named(
        self, node: _packet_balancer.PacketBalancerNode
    ) -> None:
        """Guards against a reload that is logged and not carried out."""
        lines: list[dict[str, Any]] = []
        node.log.write = (  # type: ignore[method-assign]
            lambda event, **fields: lines.append({"event": event} | fields)
        )
        changed = msgspec.structs.replace(
            node.settings, contact_ms=9000, data_centre="b"
        )
        node.reload(changed)
        assert node.core.contact_ms == 9000
        assert node.settings.data_centre == "a"
        assert lines == [
            {
                "event": "reloaded",
                "applied": {"contact_ms": 9000},
                "needs_restart": ["data_centre"],
            }
        ]


SUBJECT = reports.Subject(messages.Address("10.2.0.1", 80), "shop", "a")


class TestForeignReport:
    """Reports of other writers at the agent of a backend server."""

    SOUND = packet_writers.report(
        ip="10.2.0.1", port=80, number=1, born_ms=1_700_000_000_000
    )

    def put(self, server: http.ReportServer, body: dict[str, Any]) -> str:
        """Sends a report and returns the status of the answer."""
        data = json.dumps(body).encode()
        statuses: list[str] = []
        environ = {
            "PATH_INFO": "/v1/instances/i-1",
            "REQUEST_METHOD": "PUT",
            "CONTENT_LENGTH": str(len(data)),
            "wsgi.input": io.BytesIO(data),
        }
        server.answer(environ, lambda status, _: statuses.append(status))
        return statuses[0]

    # Guards against open flows that a report without an address resets, and
    # against a living server whose own reports are refused from then on
    # (review/4).
    @pytest.mark.parametrize(
        "change",
        [
            {"Address": None},
            {"Address": "10.2.0.2:80"},
            {"Service": "label"},
            {"Zone": "b"},
            {"born": None},
            {"Version": None},
        ],
        ids=str,
    )
    def test_describes_no_backend_server(self, change: dict[str, Any]) -> None:
        """Only the server beside the agent can report."""
        taken: list[backend.Report] = []
        refused: list[str] = []
        server = http.ReportServer(
            ("127.0.0.1", 0),
            subject=SUBJECT,
            on_report=taken.append,
            on_end=lambda backend_id: None,
            on_refused=refused.append,
        )
        later = {"born": self.SOUND["born"] + 1000}
        foreign = {
            name: value
            for name, value in (self.SOUND | later | change).items()
            if value is not None
        }
        assert self.put(server, foreign) == "400 Bad Request"
        assert (taken, len(refused)) == ([], 1)
        assert self.put(server, self.SOUND) == "200 OK"
        assert len(taken) == 1


class TestNoticeBody:
    """Notices of leaving with a body, of which the pages show none."""

    @pytest.mark.parametrize(
        ("body", "status", "born_ms"),
        [
            (b"", "200 OK", [None]),
            (b"{}", "200 OK", [None]),
            (b'{"born": 1700000000000}', "200 OK", [1_700_000_000_000]),
            (b'{"born": "x"}', "400 Bad Request", []),
            (b"\xff{", "400 Bad Request", []),
        ],
    )
    def test_names_the_start_that_ends(
        self, body: bytes, status: str, born_ms: list[int | None]
    ) -> None:
        """Guards against a living server closed by a notice of another."""
        notices: list[backend.EndNotice] = []
        refused: list[str] = []
        server = http.ReportServer(
            ("127.0.0.1", 0),
            subject=SUBJECT,
            on_report=lambda report: None,
            on_end=notices.append,
            on_refused=refused.append,
        )
        statuses: list[str] = []
        environ = {
            "PATH_INFO": "/v1/instances/i-1",
            "REQUEST_METHOD": "DELETE",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }
        server.answer(environ, lambda status, _: statuses.append(status))
        assert statuses == [status]
        assert [notice.born_ms for notice in notices] == born_ms
        assert len(refused) == (not born_ms)

    def test_of_a_former_start_is_ignored(self) -> None:
        """Guards against a server closed by a notice of its former start."""
        server = backend.Backend(report_interval_ms=1000)
        report = backend.Report("i-1", 2000, 1, "shop", "a", 4, False, 0)
        server.update_from_report(report, 0)
        assert not server.announce_end(backend.EndNotice("i-1", 1000), 10)
        assert server.state(10) == "ready"
        assert server.announce_end(backend.EndNotice("i-1", 2000), 10)
        assert server.state(10) == "closed"


class TestReportLength:
    """Reports whose length is not a number."""

    @pytest.mark.parametrize("length", ["-1", "x", "\u0663"])
    def test_is_refused(self, length: str) -> None:
        """Guards against an internal error as the answer to a report."""
        refused: list[str] = []
        server = http.ReportServer(
            ("127.0.0.1", 0),
            subject=SUBJECT,
            on_report=lambda report: None,
            on_end=lambda backend_id: None,
            on_refused=refused.append,
        )
        statuses: list[str] = []
        environ = {
            "PATH_INFO": "/v1/instances/i-1",
            "REQUEST_METHOD": "PUT",
            "CONTENT_LENGTH": length,
        }
        server.answer(environ, lambda status, _: statuses.append(status))
        assert statuses == ["400 Bad Request"]
        assert len(refused) == 1


class TestClosedListener:
    """An HTTP server whose listener an accept error has closed."""

    def test_server_listens_again(self) -> None:
        """Guards against a balancer that stays out of rotation for good."""
        port = processes.free_port()
        server = http.ReadinessServer(("127.0.0.1", port), lambda: True)
        server._listener.close()
        server.start()
        eventlet.sleep(0.05)
        with eventlet.connect(("127.0.0.1", port)) as connection:
            connection.sendall(b"GET /v1/readyz HTTP/1.0\r\n\r\n")
            assert connection.recv(100).startswith(b"HTTP/1.1 200")


class TestLoadReport:
    """Load reports between agents with unusable addresses."""

    @pytest.mark.parametrize(
        ("ip", "port"), [("host", 1), ("10.0.0.1", 0), ("10.0.0.1", 70_000)]
    )
    def test_is_refused(self, ip: str, port: int) -> None:
        """Guards against a host name that is looked up for each datagram."""
        report = product_messages.Load(
            "a", "shop", ip, port, 1, 1, "up", 0, 1.0, 0, 0.0, 0, 1
        )
        with pytest.raises(errors.DatagramError):
            wire.decode_body(
                int(product_messages.Kind.LOAD), wire.encode_body(report)
            )


class TestCallerTimer:
    """The timer task of a caller."""

    def test_continues_after_an_error(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against callers that never retransmit after an error."""
        caller = client.Caller([product_messages.Address("127.0.0.1", 1)])
        ticks: list[int] = []

        def tick(now_ms: int) -> list[Any]:
            ticks.append(now_ms)
            if len(ticks) == 1:
                raise KeyError("planned")
            return []

        monkeypatch.setattr(caller.core, "tick", tick)
        with eventlet.Timeout(10):
            while len(ticks) < 3:
                eventlet.sleep(0.05)
        caller.close()
