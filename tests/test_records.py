"""Tests of records, their schema versions and the order of precedence."""

import hypothesis
import msgspec
import result
from hypothesis import strategies

from sapphirelift import errors
from sapphirelift.core.records import fields
from sapphirelift.core.records import policy
from sapphirelift.core.records import record_set
from sapphirelift.core.records import records
from sapphirelift.core.records import replica

_SETTINGS = hypothesis.settings(derandomize=True, max_examples=200)
_NAMES = strategies.text("abcdefgh-", min_size=1, max_size=8)


def _field_value(name: str) -> strategies.SearchStrategy[float]:
    field = fields.FIELDS[name]
    if field.is_integer:
        return strategies.integers(int(field.minimum), int(field.maximum))
    return strategies.floats(field.minimum, field.maximum)


_VALUES = strategies.fixed_dictionaries(
    {}, optional={name: _field_value(name) for name in fields.FIELDS}
)
_PORTS = strategies.integers(1, 65535)
_SERVICES = strategies.fixed_dictionaries(
    {
        "schema_version": strategies.just(2),
        "kind": strategies.just("service"),
        "name": _NAMES,
        "branch": _NAMES,
        "datagram_port": _PORTS,
    },
    optional={
        "routing": strategies.sampled_from(["token", "hand_on"]),
        "tcp_port": _PORTS,
        "overrides": _VALUES,
        "labels": strategies.dictionaries(_NAMES, strategies.text()),
    },
)
_DATA_CENTRES = strategies.fixed_dictionaries(
    {
        "schema_version": strategies.just(2),
        "kind": strategies.just("data_centre"),
        "name": _NAMES,
        "withdrawn": strategies.booleans(),
    },
    optional={"region": _NAMES, "reason": strategies.text()},
)
_POLICIES = strategies.fixed_dictionaries(
    {
        "schema_version": strategies.just(2),
        "kind": strategies.just("branch_policy"),
        "name": strategies.just("central"),
        "rules": _VALUES,
    },
    optional={
        "locked": strategies.lists(strategies.sampled_from([*fields.FIELDS])),
        "data_centres": strategies.dictionaries(_NAMES, _VALUES),
    },
)
_RECORDS = _SERVICES | _DATA_CENTRES | _POLICIES


class TestSchemaVersions:
    """Conversion between schema versions."""

    @_SETTINGS
    @hypothesis.given(value=_RECORDS)
    def test_newest_to_oldest_and_back(self, value: dict) -> None:
        """Guards against a field that version 1 loses."""
        record = records.parse(value).unwrap()
        old = records.render(record, schema_version=1)
        assert records.parse(old).unwrap() == record

    @_SETTINGS
    @hypothesis.given(value=_RECORDS)
    def test_oldest_to_newest_and_back(self, value: dict) -> None:
        """Guards against a version 1 record that changes when rewritten."""
        record = records.parse(value).unwrap()
        old = records.render(record, schema_version=1)
        new = records.render(records.parse(old).unwrap(), schema_version=2)
        again = records.render(records.parse(new).unwrap(), schema_version=1)
        assert msgspec.json.encode(again) == msgspec.json.encode(old)

    def test_unknown_version_keeps_last_valid_record(self) -> None:
        """Guards against a record of a future version that removes the old."""
        in_force = record_set.RecordSet()
        key = "records/data_centre/etela-a"
        good = {
            "schema_version": 1,
            "kind": "data_centre",
            "name": "etela-a",
            "out": True,
        }
        in_force.apply(replica.StoredObject(key, 5, good))
        in_force.apply(
            replica.StoredObject(key, 6, good | {"schema_version": 3})
        )
        assert in_force.withdrawn() == {"etela-a"}
        assert "write version 1 or 2" in in_force.refused[key]

    def test_version_1_rejects_names_of_version_2(self) -> None:
        """Guards against mixed records that readers interpret differently."""
        head = {"schema_version": 1, "kind": "data_centre", "name": "etela-a"}
        for extra, field in (
            ({"withdrawn": True}, "withdrawn"),
            ({"reason": "flood"}, "reason"),
            ({"extensions": {"withdrawn": True}}, "withdrawn"),
            ({"extensions": {"name": "etela-b"}}, "name"),
        ):
            parsed = records.parse(head | extra)
            assert isinstance(parsed, result.Err)
            assert f"unknown field '{field}'" in str(parsed.err_value)

    def test_unknown_field_is_refused_by_name(self) -> None:
        """Guards against a misspelt field that is silently ignored."""
        value = {
            "schema_version": 2,
            "kind": "data_centre",
            "name": "etela-a",
            "withdrawm": True,
        }
        error = records.parse(value)
        assert isinstance(error, result.Err)
        assert "withdrawm" in str(error.err_value)


class TestPolicy:
    """Central rules and branch exceptions."""

    def test_order_of_precedence(self) -> None:
        """Guards against a central rule that overrides an exception."""
        service = records.Service(
            name="jasen-kauppa",
            branch="pihlajakoti",
            overrides={"cold_start.ramp_ms": 4000},
        )
        policies = {
            "central": records.BranchPolicy(
                name="central",
                rules={
                    "cold_start.ramp_ms": 1000,
                    "flows.max_per_target": 100,
                    "cold_start.initial_share": 0.5,
                },
            ),
            "pihlajakoti": records.BranchPolicy(
                name="pihlajakoti",
                rules={
                    "cold_start.ramp_ms": 2000,
                    "flows.max_per_target": 200,
                },
                data_centres={"etela-b": {"flows.max_per_target": 300}},
            ),
        }
        found = policy.effective(
            service, data_centre="etela-b", policies=policies
        )
        assert found.values["cold_start.ramp_ms"] == 4000
        assert found.values["flows.max_per_target"] == 300
        assert found.values["cold_start.initial_share"] == 0.5
        assert found.source["cold_start.initial_share"] == (
            "branch_policy/central"
        )

    def test_locked_field_keeps_the_central_value(self) -> None:
        """Guards against a branch that changes a locked field."""
        service = records.Service(
            name="catalogue",
            branch="dune-works",
            overrides={"cold_start.ramp_ms": 0},
        )
        policies = {
            "central": records.BranchPolicy(
                name="central",
                rules={"cold_start.ramp_ms": 9000},
                locked=["cold_start.ramp_ms"],
            )
        }
        found = policy.effective(
            service, data_centre="black-river", policies=policies
        )
        assert found.values["cold_start.ramp_ms"] == 9000
        assert found.ignored == ["service/catalogue: cold_start.ramp_ms"]
        error = policy.check_locked(service, policies)
        assert isinstance(error, errors.LockedFieldError)
        assert "branch_policy/central" in str(error)
