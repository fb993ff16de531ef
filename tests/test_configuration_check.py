"""Check of a configuration before it is sent, by the command-line tool."""

import copy
import json
import pathlib
import random
from typing import Any

import pytest

from sapphirelift import errors
from sapphirelift.operators import cli
from sapphirelift.platform import configuration
from sapphirelift.platform import store
from tests import test_odd_items

VALID: dict[str, Any] = {
    "Version": 3,
    "Routes": [
        {
            "Name": "shop",
            "Host": "198.18.0.1",
            "PathPrefix": "/443/",
            "TrafficSplit": [
                {"Service": "shop", "Weight": 9},
                {"Service": "shop-next", "Weight": 1},
            ],
            "AllowedRegions": ["south"],
            "AimMs": 200,
            "TimeoutMs": 3000,
            "Priority": 0,
            "Type": "safe",
        },
        {
            "Name": "print",
            "Host": "198.18.0.2",
            "PathPrefix": "/80/",
            "Service": "print",
        },
    ],
    "Services": [
        {"Name": "shop", "MaxConnections": 2000, "WarmupPerS": 5},
        {"Name": "shop-next", "MaxConnections": 2000, "WarmupPerS": 0},
        {"Name": "print", "MaxConnections": 100, "WarmupPerS": 2},
    ],
    "Limits": {"IdleTimeoutMs": 15000},
}
SETTINGS = {
    "name": "a-1",
    "role": "balancer",
    "ip": "10.1.0.1",
    "data_centre": "a",
    "region": "south",
    "packets": "10.1.0.1:1",
    "readiness": "10.1.0.1:2",
    "internal_ports": [3, 4],
    "platform": "10.1.0.1:5",
    "report_interval_ms": 1000,
    "stop_timeout_s": 6,
    "contact_ms": 4000,
    "load": {"extra_openings_percent": 5},
}


def changed(path: str, value: Any) -> dict[str, Any]:
    """Returns the valid configuration with the value at a path replaced."""
    document = copy.deepcopy(VALID)
    *parents, last = path.split("/")
    at: Any = document
    for step in parents:
        at = at[int(step)] if isinstance(at, list) else at[step]
    at[int(last) if isinstance(at, list) else last] = value
    return document


def is_refused(document: Any) -> bool:
    """Returns whether daemons refuse a configuration."""
    try:
        configuration.decode(document, 1)
    except errors.ConfigurationError:
        return True
    return False


class Tool:
    """Runs ``validate`` on documents; shows what it prints."""

    def __init__(
        self, directory: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        self.directory = directory
        self._capsys = capsys

    def file(self, document: Any, name: str = "checked.json") -> str:
        """Writes a document, or raw bytes, and returns the path."""
        path = self.directory / name
        is_raw = isinstance(document, bytes)
        path.write_bytes(document if is_raw else json.dumps(document).encode())
        return str(path)

    def run(self, document: Any, *options: str) -> tuple[int, str, str]:
        """Returns the exit status, the output and the error output."""
        status = cli.run(["validate", self.file(document), *options])
        output, problem = self._capsys.readouterr()
        return status, output, problem

    def report(self, document: Any, *options: str) -> dict[str, Any]:
        """Returns the report as JSON."""
        _, output, _ = self.run(document, "--json", *options)
        report: dict[str, Any] = json.loads(output)
        return report


@pytest.fixture
def tool(tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]) -> Tool:
    """Returns a tool for files of this test."""
    return Tool(tmp_path, capsys)


class TestProblems:
    """A wrong configuration is found before it is in force."""

    def test_valid(self, tool: Tool) -> None:
        """Guards against warnings about nothing."""
        status, output, _ = tool.run(VALID, "--strict", "--regions=south,north")
        assert (status, output) == (
            0,
            "version: 3\nerrors: none\nwarnings: none\n",
        )

    @pytest.mark.parametrize(
        ("path", "value", "place"),
        [
            ("Routes/0/Host", "shop.example", "Routes[0]"),
            ("Routes/0/Host", 7, "Routes[0].Host"),
            ("Routes/1/PathPrefix", "/print/", "Routes[1]"),
            ("Routes/1/Service", "", "Routes[1]"),
            ("Routes/0/TrafficSplit/1/Weight", "1", "Routes[0].TrafficSplit"),
            ("Routes/0/TimeoutMs", -1, "Routes[0].TimeoutMs"),
            ("Routes", {}, "Routes"),
            ("Routes/1", None, "Routes[1]"),
            ("Services/2/MaxConnections", 1.5, "Services[2].MaxConnections"),
            ("Services/2/Name", None, "Services[2].Name"),
            ("Limits", 3, "Limits"),
            ("Limits/IdleTimeoutMs", "15", "Limits.IdleTimeoutMs"),
            ("Version", "3", "Version"),
        ],
    )
    def test_error(self, tool: Tool, path: str, value: Any, place: str) -> None:
        """Guards against a configuration that daemons refuse."""
        status, output, _ = tool.run(changed(path, value), "--json")
        assert status == 2
        found = json.loads(output)["errors"][0]
        assert found["place"].startswith(place)
        assert found["message"] and found["remedy"]

    @pytest.mark.parametrize(
        ("path", "value", "text"),
        [
            ("Routes/1/Host", "198.18.0.1", "no flow"),
            ("Routes/0/TrafficSplit/0/Weight", 0, "its weight is 0"),
            ("Routes/0/TrafficSplit/0/Weight", -1, "weight below 0"),
            ("Routes/0/AllowedRegions", ["sout"], "no data centres"),
            ("Routes/1/Service", "prnt", "not defined"),
            ("Services/2/Name", "prnt", "no route uses service prnt"),
            ("Services/2/Name", "shop", "more than once"),
            ("Routes/1/Name", "shop", "more than once"),
            ("Routes/1/PathPrefix", "/70000/", "can never match"),
            ("Routes/0/AimMs", 3001, "above its timeout"),
            ("Routes/0/TimeoutMs", 15001, "above the idle timeout"),
            ("Services/0/WarmupPerS", 0.5, "exceeds the cold rate"),
            ("Services/0/WarmupPerS", -2, "cold rate below 0"),
            ("Services/0/MaxConnections", 0, "any number"),
            ("Limits/IdleTimeoutMs", 0, "discarded at once"),
            ("Limits/IdleTimeoutMs", 61000, "lifetime of a flow"),
            ("Routes", [], "no routes"),
        ],
    )
    def test_warning(
        self, tool: Tool, path: str, value: Any, text: str
    ) -> None:
        """Guards against entries and limits that do not do what they say."""
        document = changed(path, value)
        if text == "no flow":
            document = changed("Routes/1", document["Routes"][0])
            text = "has the same address and port"
        options = ("--regions=south", "--flow_lifetime_s=60")
        status, output, _ = tool.run(document, "--json", *options)
        report = json.loads(output)
        assert (status, report["errors"]) == (0, [])
        assert any(text in row["message"] for row in report["warnings"])
        assert all(row["place"] and row["remedy"] for row in report["warnings"])
        assert tool.run(document, "--strict", *options)[0] == 1


class TestDifferences:
    """What changes is seen before it is sent."""

    def test_by_route_and_service(self, tool: Tool) -> None:
        """Guards against a change that nobody meant."""
        document = changed("Routes/0/TimeoutMs", 2000) | {"Version": 4}
        document["Routes"][1]["Host"] = "198.18.0.3"
        document["Services"][2]["WarmupPerS"] = 3
        against = tool.file(VALID, "against.json")
        report = tool.report(document, f"--against={against}")
        found = {
            (row["entry"], row["field"]): (row["now"], row["then"])
            for row in report["differences"]
        }
        assert found.keys() == {
            ("route 198.18.0.1:443", "timeout_ms"),
            ("route 198.18.0.2:80", "removed"),
            ("route 198.18.0.3:80", "added"),
            ("service print", "cold_opens_per_s"),
        }
        assert found["route 198.18.0.1:443", "timeout_ms"] == (3000, 2000)
        assert report["warnings"] == []

    def test_older_version(self, tool: Tool) -> None:
        """Guards against a configuration that never comes into force."""
        against = tool.file(VALID, "against.json")
        report = tool.report(VALID, f"--against={against}")
        assert report["differences"] == []
        assert [row["place"] for row in report["warnings"]] == ["Version"]

    @pytest.mark.parametrize(("version", "status"), [(3, 0), (2, 2)])
    def test_version_in_force(
        self,
        tool: Tool,
        monkeypatch: pytest.MonkeyPatch,
        version: int,
        status: int,
    ) -> None:
        """Guards against a comparison with another version than meant."""
        listing = store.Listing(9, [store.Object("main", 7, VALID)])
        monkeypatch.setattr(
            store.Store, "list_kind", lambda self, kind: listing
        )
        document = changed("Services/0/WarmupPerS", 6) | {"Version": 4}
        found, output, problem = tool.run(
            document, "--json", f"--against={version}"
        )
        assert found == status
        if status:
            assert "version 3 is in force" in problem
        else:
            assert len(json.loads(output)["differences"]) == 1

    def test_other_is_none(self, tool: Tool) -> None:
        """Guards against a comparison with something else."""
        other = tool.file([], "other.json")
        status, _, problem = tool.run(VALID, f"--against={other}")
        assert status == 2
        assert "is not a configuration" in problem


class TestSettings:
    """Settings of the packet daemon are checked before a start."""

    def test_shows_the_limit(self, tool: Tool) -> None:
        """Guards against extra openings that nobody knows of."""
        status, output, _ = tool.run(SETTINGS, "--json")
        assert status == 0
        assert json.loads(output)["load"]["extra_openings_percent"] == 5.0

    @pytest.mark.parametrize("percent", [-1, 101, "5", None])
    def test_limit_out_of_range(self, tool: Tool, percent: Any) -> None:
        """Guards against a limit that is none."""
        settings = SETTINGS | {"load": {"extra_openings_percent": percent}}
        status, _, problem = tool.run(settings)
        assert status == 2
        assert "extra_openings_percent" in problem


class TestGarbage:
    """Whatever stands in the file, the tool says what is wrong."""

    @pytest.mark.parametrize("name", test_odd_items.ODD_VALUES)
    def test_odd_values(self, tool: Tool, name: str) -> None:
        """Guards against a traceback for files that decoders refuse."""
        odd = test_odd_items.ODD_VALUES[name]
        for document in (odd, b'{"Version":1,"Routes":[%b]}' % odd):
            status, _, problem = tool.run(document)
            assert status in (0, 2)
            assert "Traceback" not in problem
            assert status == 0 or problem or document is not odd

    def test_random_changes(self, tool: Tool) -> None:
        """Guards against a traceback for values of other types."""
        rng = random.Random(1)
        odd = [None, [], {}, "", "x", -1, 0, 1.5, 1e300, 2**63 - 1, True, [[]]]
        paths = list(_paths(VALID))
        for _ in range(400):
            document = copy.deepcopy(VALID)
            for path in rng.sample(paths, rng.randint(1, 4)):
                _set(document, path, copy.deepcopy(rng.choice(odd)))
            status, output, problem = tool.run(document, "--json")
            assert status in (0, 2), document
            assert problem == "", document
            report = json.loads(output)
            assert (status == 2) == bool(report["errors"]), document
            assert is_refused(document) == bool(report["errors"]), document

    def test_random_bytes(self, tool: Tool) -> None:
        """Guards against a traceback for files cut off or damaged."""
        rng = random.Random(2)
        valid = json.dumps(VALID).encode()
        for _ in range(300):
            data = bytearray(valid[: rng.randint(0, len(valid))])
            for _ in range(rng.randint(0, 3)):
                if data:
                    data[rng.randrange(len(data))] = rng.randrange(256)
            status, output, problem = tool.run(bytes(data))
            assert status in (0, 2), data
            assert output or problem, data


def _paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Returns the paths to all values of a document."""
    found = [path] if path else []
    match value:
        case dict():
            members = list(value.items())
        case list():
            members = list(enumerate(value))
        case _:
            members = []
    for step, member in members:
        found += _paths(member, (*path, step))
    return found


def _set(document: Any, path: tuple[Any, ...], value: Any) -> None:
    """Replaces the value at a path, if an earlier change has left it there."""
    *parents, last = path
    at = document
    try:
        for step in parents:
            at = at[step]
        at[last] = value
    except (KeyError, IndexError, TypeError):
        return
