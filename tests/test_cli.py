"""The command-line tool against the platform stand-in."""

import json
import os
import pathlib
import subprocess
import sys
from typing import Any

import pytest

from tests import processes

DATA_CENTRE = {
    "schema_version": 1,
    "kind": "data_centre",
    "name": "etela-a",
    "region": "etela-suomi",
    "out": False,
}
CENTRAL = {
    "schema_version": 2,
    "kind": "branch_policy",
    "name": "central",
    "rules": {"cold_start.ramp_ms": 9000},
    "locked": ["cold_start.ramp_ms"],
}
SERVICE = {
    "schema_version": 2,
    "kind": "service",
    "name": "jasen-kauppa",
    "branch": "pihlajakoti",
}


class Tool:
    """Runs the command-line tool as a process."""

    def __init__(self, directory: pathlib.Path, platform_url: str) -> None:
        self._directory = directory
        self._files = 0
        # Loading the resolver of names is half of a command's start; these
        # commands get addresses only.
        self._environment = os.environ | {
            "SAPPHIRELIFT_PLATFORM": platform_url,
            "EVENTLET_NO_GREENDNS": "yes",
        }

    def run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Runs one command."""
        return subprocess.run(
            [sys.executable, "-m", "sapphirelift.operators.cli", *arguments],
            env=self._environment,
            capture_output=True,
            text=True,
            timeout=30,
        )

    def start(self, *arguments: str) -> subprocess.Popen[str]:
        """Starts one command."""
        return subprocess.Popen(
            [sys.executable, "-m", "sapphirelift.operators.cli", *arguments],
            env=self._environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def json(self, *arguments: str) -> Any:
        """Runs one command that must succeed and returns its JSON output."""
        done = self.run(*arguments, "--output=json")
        assert done.returncode == 0, done.stderr
        return json.loads(done.stdout)

    def file(self, value: Any) -> str:
        """Writes a record file and returns its path."""
        self._files += 1
        path = self._directory / f"record-{self._files}.json"
        path.write_text(json.dumps(value))
        return str(path)


@pytest.fixture
def tool(fleet: processes.Fleet, tmp_path: pathlib.Path) -> Tool:
    """The tool with a platform stand-in."""
    fleet.start_platform()
    return Tool(tmp_path, fleet.platform_url)


class TestRecordCommands:
    """Commands that write and read records."""

    def test_record_keeps_its_schema_version(self, tool: Tool) -> None:
        """Guards against a withdrawal that converts the record's version."""
        tool.json("apply", tool.file(DATA_CENTRE))
        tool.json("withdraw", "etela-a", "--reason=flood")
        stored = tool.json("get", "data_centre", "etela-a")["record"]
        assert stored["schema_version"] == 1
        assert stored["out"] is True
        newer = tool.json(
            "get", "data_centre", "etela-a", "--schema_version=2"
        )["record"]
        assert newer["reason"] == "flood"
        assert tool.json("status")["withdrawn_data_centres"] == ["etela-a"]
        tool.json("restore", "etela-a")
        assert tool.json("status")["withdrawn_data_centres"] == []

    def test_outdated_revision_is_a_conflict(self, tool: Tool) -> None:
        """Guards against an operator overwriting another operator's write."""
        path = tool.file(SERVICE)
        first = tool.json("apply", path)[0]["revision"]
        second = tool.json("apply", path, f"--revision={first}")[0]["revision"]
        late = tool.run("apply", path, f"--revision={first}")
        assert late.returncode == 4
        assert f"revision {second}" in late.stderr
        assert "read it again" in late.stderr

    def test_locked_field_names_the_rule(self, tool: Tool) -> None:
        """Guards against a branch that changes a locked field."""
        tool.json("apply", tool.file(CENTRAL))
        value = SERVICE | {"overrides": {"cold_start.ramp_ms": 1}}
        done = tool.run("apply", tool.file(value))
        assert done.returncode == 1
        assert "branch_policy/central" in done.stderr
        rows = tool.json("effective", "jasen-kauppa", "etela-a")
        ramp = next(r for r in rows if r["field"] == "cold_start.ramp_ms")
        assert ramp["value"] == 9000

    def test_diff_shows_the_fields_that_change(self, tool: Tool) -> None:
        """Guards against a diff that reports a change of schema version."""
        tool.json("apply", tool.file(DATA_CENTRE))
        assert tool.json("diff", tool.file(DATA_CENTRE)) == []
        rows = tool.json("diff", tool.file(DATA_CENTRE | {"out": True}))
        assert rows == [
            {
                "record": "records/data_centre/etela-a",
                "field": "withdrawn",
                "now": False,
                "then": True,
            }
        ]

    def test_keys_are_not_shown(self, tool: Tool) -> None:
        """Guards against key bytes printed on an operator's terminal."""
        keyring = {
            "schema_version": 2,
            "kind": "keyring",
            "name": "cluster",
            "current_id": 1,
            "keys": {"1": "ab" * 32},
        }
        tool.json("apply", tool.file(keyring))
        for command in (("get", "keyring", "cluster"), ("list", "keyring")):
            assert "abab" not in tool.run(*command).stdout


class TestExitStatus:
    """Exit status and error text."""

    def test_input_errors(self, tool: Tool) -> None:
        """Guards against a traceback or a wrong status on bad input."""
        cases = [
            ("apply", tool.file({"kind": "service"})),
            ("validate", tool.file(SERVICE | {"schema_version": 9})),
            ("apply", "/does/not/exist.json"),
            ("list", "no-such-kind"),
            ("no-such-command",),
            ("dump", "127.0.0.1:1"),
        ]
        statuses = []
        for case in cases:
            done = tool.run(*case)
            statuses.append(done.returncode)
            assert "Traceback" not in done.stderr
        assert statuses == [2, 2, 2, 2, 2, 2]

    def test_unreachable_platform(self, tmp_path: pathlib.Path) -> None:
        """Guards against a traceback when the platform is down."""
        done = Tool(tmp_path, "http://127.0.0.1:1").run("list", "service")
        assert done.returncode == 3
        assert done.stderr.count("\n") == 1


class TestStatus:
    """Status and watch commands while daemons run."""

    def test_states_and_conditions(
        self, tool: Tool, fleet: processes.Fleet
    ) -> None:
        """Guards against a status that lacks states or conditions."""
        fleet.start_balancer("balancer-1")
        fleet.start_agent("agent-a", service="pakkaamo")
        fleet.start_agent("agent-cold", service="pakkaamo", ramp_ms=60_000)
        fleet.start_agent("agent-gone", service="pakkaamo")
        fleet.wait_ready(agents=3)
        tool.json("withdraw", "etela-b", "--reason=flood")
        tool.json("drain", "agent-a")
        fleet.kill("agent-gone")

        def states() -> dict[str, str]:
            return {
                m["name"]: m["state"] for m in tool.json("status")["members"]
            }

        wanted = {
            "agent-a": "draining",
            "agent-cold": "cold",
            "agent-gone": "suspected",
            "balancer-1": "up",
        }
        processes.wait_until(lambda: states() == wanted, timeout_s=30)
        found = processes.wait_until(
            lambda: (
                s
                if (s := tool.json("status"))["processes_with_newest"] >= 3
                else None
            )
        )
        assert found["store_revision"] >= found["newest_record_revision"] > 0
        assert found["drained_backend_servers"] == ["agent-a"]
        kinds = {(c["kind"], c["subject"]) for c in found["conditions"]}
        assert ("data_centre_withdrawn", "etela-b") in kinds
        assert ("backend_server_drained", "agent-a") in kinds
        assert all(c["reason"] and c["since"] for c in found["conditions"])
        text = tool.run("status").stdout
        assert "suspected: agent-gone" in text
        assert "{" not in text
        address = f"127.0.0.1:{fleet.admin_ports['agent-a']}"
        assert tool.json("dump", address)["state"] == "draining"
        assert "{" not in tool.run("dump", address).stdout

    def test_watch_prints_each_change(self, tool: Tool) -> None:
        """Guards against a watch that ends after a number of changes."""
        watching = tool.start("watch", "--seconds=100")
        assert watching.stderr is not None
        assert watching.stdout is not None
        watching.stderr.readline()
        for number in range(4):
            tool.json("withdraw", f"etela-{number}")
        tool.json("delete", "data_centre", "etela-0")
        printed = [watching.stdout.readline() for _ in range(5)]
        keys = [line.split()[1:] for line in printed]
        is_running = watching.poll() is None
        watching.kill()
        assert not watching.communicate(timeout=20)[0]
        assert is_running
        prefix = "records/data_centre/etela-"
        assert keys == [[f"{prefix}{n}", "written"] for n in range(4)] + [
            [f"{prefix}0", "deleted"]
        ]
        assert tool.run("watch", "no-such-kind").returncode == 2

    def test_watch_ends_after_its_time(self, tool: Tool) -> None:
        """Guards against a watch that never ends."""
        assert tool.run("watch", "--seconds=1").returncode == 0


class TestBenchCommand:
    """``sapphirelift bench``, which needs no platform."""

    def test_bench_starts_from_the_command_line(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a command line that cannot load the bench."""
        tool = Tool(tmp_path, "http://127.0.0.1:9")
        listed = tool.run("bench", "list")
        assert listed.returncode == 0, listed.stderr
        assert "slow_caller" in listed.stdout
        unknown = tool.run("bench", "run", "no-such-scenario")
        assert unknown.returncode == 2
        assert "Traceback" not in unknown.stderr
