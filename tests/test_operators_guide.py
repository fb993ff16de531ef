"""Checks of the operators' guide and the metrics against the code."""

import pathlib
import re
import typing
import urllib.request
from typing import Any

import msgspec
from prometheus_client import parser

from sapphirelift import credentials
from sapphirelift import deployment
from sapphirelift import settings
from sapphirelift.core import limits
from sapphirelift.core.records import fields
from sapphirelift.core.records import records
from sapphirelift.operators import cli
from sapphirelift.operators import metrics
from tests import processes

GUIDE = pathlib.Path(__file__).parent.parent / "docs" / "OPERATIONS.md"
TYPES = {int: "integer", float: "number", str: "text", bool: "boolean"}


def rows(heading: str) -> list[list[str]]:
    """Returns the cells of the table below a heading row."""
    _, _, rest = GUIDE.read_text().partition(f"| {heading} |")
    table = rest.partition("\n\n")[0].splitlines()[2:]
    return [[c.strip() for c in row.strip("|").split("|")] for row in table]


def type_name(kind: Any) -> str:
    """Returns how the guide names a type."""
    text = str(kind)
    if "Endpoint" in text:
        return "list of addresses" if "tuple" in text else "address"
    if "Literal" in text:
        values = [f"`{value}`" for value in typing.get_args(kind) if value]
        return " or ".join([", ".join(values[:-1]), values[-1]])
    return TYPES.get(kind, "object")


class TestGuide:
    """Tables of docs/OPERATIONS.md."""

    def test_settings(self) -> None:
        """Guards against a setting that is missing or described wrongly."""
        expected = []
        for prefix, struct in (
            ("", settings.Settings),
            ("backend.", settings.BackendSettings),
            ("platform_credentials.", credentials.PlatformCredentials),
            ("peer_credentials.", credentials.PeerCredentials),
        ):
            for field in msgspec.structs.fields(struct):
                default = field.default
                if default is msgspec.NODEFAULT:
                    text = "required"
                else:
                    text = str(default) if default in (0, False) else "none"
                    if default and not isinstance(default, msgspec.Struct):
                        text = str(default)
                name = f"`{prefix}{field.name}`"
                expected.append([name, type_name(field.type), text])
        found = rows("setting | type | default | meaning")
        assert [row[:3] for row in found] == expected
        assert all(len(row) == 4 and row[3] for row in found)

    def test_packet_daemon_settings(self) -> None:
        """Guards against an undocumented setting of the packet daemon."""
        expected = []
        for field in msgspec.structs.fields(deployment.Deployment):
            default = field.default
            if default is msgspec.NODEFAULT:
                expected.append([f"`{field.name}`", "required"])
            else:
                text = str(default) if default is False else "none"
                expected.append([f"`{field.name}`", text])
        found = rows("key | default | meaning")
        assert [row[:2] for row in found] == expected
        assert all(len(row) == 3 and row[2] for row in found)

    def test_exit_statuses(self) -> None:
        """Guards against exit statuses that differ from the documented ones."""
        found = re.search(r"## Exit status\n\n(.*)\.\n", GUIDE.read_text())
        assert found is not None
        assert dict(e.split(" ", 1) for e in found[1].split(", ")) == {
            "0": "done",
            str(cli.REFUSED_STATUS): "refused",
            str(cli.INPUT_STATUS): "usage or input",
            str(cli.UNREACHABLE_STATUS): "platform unreachable",
            str(cli.CONFLICT_STATUS): "conflict",
        }

    def test_fields(self) -> None:
        """Guards against a field or default that the code does not have."""
        found = rows("field (version 2) | version 1 | default")
        assert [
            (a.strip("`"), b.strip("`"), float(c.split()[0]))
            for a, b, c in found
        ] == [
            (name, field.v1_name, field.default)
            for name, field in fields.FIELDS.items()
        ]
        assert list(limits.LIMIT_NAME_BY_FIELD) == list(fields.FIELDS)

    def test_kinds(self) -> None:
        """Guards against an undocumented kind or field of records."""
        found = {
            row[0].strip("`"): set(re.findall(r"`(\w+)`", row[2]))
            for row in rows("kind | purpose | fields (version 2)")
        }
        expected = {
            {f.name: f.default for f in msgspec.structs.fields(struct)}[
                "kind"
            ]: set(struct.__struct_fields__)
            - {"kind", "name", "schema_version"}
            for struct in typing.get_args(records.Record)
        }
        assert {
            k: v - {"token", "hand_on"} for k, v in found.items()
        } == expected


class TestMetrics:
    """Names and completeness of the metrics."""

    def test_names(self, fleet: processes.Fleet) -> None:
        """Guards against counters that Prometheus cannot read."""
        fleet.start_platform()
        fleet.start_balancer("balancer-1")
        fleet.start_agent("agent-0", service="pakkaamo", ramp_ms=60_000)
        fleet.wait_ready(agents=1)
        samples = {}
        for name in ("balancer-1", "agent-0"):
            url = f"http://127.0.0.1:{fleet.admin_ports[name]}/metrics"
            with urllib.request.urlopen(url, timeout=3) as answer:
                text = answer.read().decode()
            for family in parser.text_string_to_metric_families(text):
                assert re.fullmatch(r"sapphirelift_[a-z_]+", family.name)
                for sample in family.samples:
                    if family.type == "counter":
                        assert sample.name.endswith(("_total", "_created"))
                    key = (name, sample.name, *sample.labels.values())
                    samples[key] = sample.value
        prefix = "sapphirelift"
        assert samples["agent-0", f"{prefix}_platform_calls_total", "list"] > 0
        assert samples["agent-0", f"{prefix}_cold"] == 1
        assert samples["agent-0", f"{prefix}_admission_limit_requests"] > 0
        assert ("agent-0", f"{prefix}_cold_restarts_total") in samples
        # Entries without a metric of their own: identity, settings, and the
        # total of calls, which are exported by kind.
        entries_without_metric = {"incarnation", "platform_calls", "limits"}
        for name in ("balancer-1", "agent-0"):
            # A table without entries does not show what its entries are.
            processes.wait_until(lambda name=name: fleet.dump(name)["members"])
            state = fleet.dump(name)
            for family in metrics.families(state):  # without samples too
                assert re.fullmatch(r"sapphirelift_[a-z_]+", family.name)
            for entry, value in state.items():
                changed = state | {entry: _incremented(value)}
                if changed == state or entry in entries_without_metric:
                    continue
                assert _values(changed) != _values(state), entry


def _incremented(value: Any) -> Any:
    """Returns a number plus one, or a table with one more entry."""
    match value:
        case int() | float():
            return value + 1
        case {} if all(isinstance(v, int | float) for v in value.values()):
            return value | {"planned": 1}
    return value


def _values(state: dict[str, Any]) -> list[Any]:
    return [list(family.samples) for family in metrics.families(state)]
