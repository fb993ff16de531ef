"""Tests of capacity measurements, and of indexed queries against full scans."""

import hypothesis
import pytest
from hypothesis import strategies as st

from sapphirelift import messages
from sapphirelift.bench import capacity
from sapphirelift.bench import capacity_model
from sapphirelift.core import actions
from sapphirelift.core import keys
from sapphirelift.core.flows import balancer
from sapphirelift.core.flows import routing
from sapphirelift.core.membership import heartbeats
from sapphirelift.core.membership import membership
from sapphirelift.core.records import record_set
from sapphirelift.core.records import replica
from sapphirelift.peers import records

RING = keys.KeyRing(0, {0: b"k" * 32})
PROPERTY = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=100
)
# Number, role, service, revision and state of an announcement.
ANNOUNCED = st.tuples(
    st.integers(0, 9),
    st.sampled_from(["agent", "balancer"]),
    st.sampled_from(["a", "b"]),
    st.integers(1, 30),
    st.sampled_from(["up", "draining"]),
    st.booleans(),
)


def table_of(announced: list[tuple]) -> membership.Membership:
    """Returns a member table after announcements and removals."""
    table = membership.Membership()
    for number, role, service, revision, state, removed in announced:
        if removed:
            table.remove(f"m{number}", revision=revision)
            continue
        value = {
            "name": f"m{number}",
            "role": role,
            "ip": "10.0.0.1",
            "port": 1000 + number,
            "incarnation": 1,
            "data_centre": "etela-a",
            "service": service,
            "weight": 1.0,
            "state": state,
        }
        table.apply_announcement(value, revision=revision, key=f"k{number}")
    return table


class TestFit:
    """Least squares fit."""

    @PROPERTY
    @hypothesis.given(
        st.integers(-9, 9),
        st.integers(-9, 9),
        st.sets(st.integers(0, 99), min_size=3),
    )
    def test_line_is_found(self, a: int, b: int, xs: set[int]) -> None:
        """Guards against a slope that is not that of the points."""
        line = capacity.fit([(x, a * x + b) for x in xs])
        assert line.slope == pytest.approx(a, abs=1e-6)
        assert line.at(50) == pytest.approx(50 * a + b, abs=1e-5)
        assert line.residual == pytest.approx(0, abs=1e-5)

    def test_residual_shows_a_curve(self) -> None:
        """Guards against a residual that hides a nonlinear cost."""
        assert capacity.fit([(0, 0), (1, 1), (2, 4)]).residual > 0.1


class TestModel:
    """Bytes and platform calls at the design size."""

    def test_sent_bytes_within_budget(self) -> None:
        """Guards against control messages that exceed 6 KB/s in total."""
        sent = capacity_model.control_bytes()
        assert sent["balancer_sent"] < 6000
        assert sent["agent_sent_wide_service"] < 6000

    def test_calls_within_the_platforms_rates(self) -> None:
        """Guards against call rates above the platform's limits."""
        for case, rate in capacity_model.platform_calls().items():
            writes = "write" in case or "marks" in case
            assert rate <= (400 if writes else 2000), case


class TestMemberTable:
    """Members by role and service."""

    @PROPERTY
    @hypothesis.given(st.lists(ANNOUNCED, max_size=40))
    def test_queries_equal_a_scan(self, announced: list[tuple]) -> None:
        """Guards against an index that lacks or keeps members."""
        table = table_of(announced)
        core = balancer.BalancerCore(
            address=messages.Address("10.0.0.9", 9), members=table, ring=RING
        )
        for role in ("agent", "balancer"):
            for service in (None, "a", "b"):
                plain = {
                    m.name
                    for m in table.members.values()
                    if m.role == role
                    and service in (None, m.service)
                    and m.state == "up"
                    and m.is_alive
                }
                found = table.with_role(role, service=service)
                assert len(found) == len(plain)
                assert {m.name for m in found} == plain
                if role == "agent" and service:
                    targets = core._targets(service)
                    assert {t.name for t in targets} == plain

    @PROPERTY
    @hypothesis.given(st.lists(ANNOUNCED, max_size=40), st.integers(0, 9))
    def test_watches_equal_full_ranking(
        self, announced: list[tuple], own: int
    ) -> None:
        """Guards against watchers that differ from the members' choice."""
        table = table_of(announced)
        beats = heartbeats.Heartbeats(
            name=f"m{own}",
            role="balancer",
            address=messages.Address("10.0.0.1", 1000 + own),
            incarnation=1,
            data_centre="etela-a",
            service="",
            members=table,
            ring=RING,
        )
        others = {m.name: m for m in table.with_role("balancer")}
        this = others.pop(f"m{own}", None) or membership.Member(
            f"m{own}", "balancer", beats.address, 1, "", "", 1.0, "up"
        )
        for name in table.members:
            if name == this.name:
                continue
            field = [m for m in others.values() if m.name != name] + [this]
            ranked = routing.candidates(name.encode(), field, count=3)
            assert beats.watches(name) == (this in ranked)
        chosen = routing.candidates(this.name.encode(), others.values())
        assert set(beats.watchers()) == {m.address for m in chosen}

    def test_repairs_are_spaced(self) -> None:
        """Guards against thousands of marks at once after a site failure."""
        table = membership.Membership(repairs=True, watches=lambda _: True)
        for number in range(20):
            value = {
                "name": f"m{number}",
                "role": "agent",
                "ip": "10.0.0.1",
                "port": 1000 + number,
                "incarnation": 1,
                "data_centre": "a",
                "service": "s",
                "weight": 1.0,
                "state": "up",
            }
            table.apply_announcement(value, revision=1, key=f"k{number}")
            table._record_contact(table.members[f"m{number}"], 0)
        marked = []
        for now_ms in range(1000, 40_000, 1000):
            for number in range(6, 20):
                table._record_contact(table.members[f"m{number}"], now_ms)
            for action in table.tick(now_ms):
                if isinstance(action, actions.MarkMember):
                    marked.append((now_ms, action.key))
        assert {key for _, key in marked} == {f"k{n}" for n in range(6)}
        times = [now_ms for now_ms, _ in marked]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        assert min(gaps) >= membership.REPAIR_SPACING_MS


class TestReplicaGroups:
    """Objects of a replica, grouped by their key prefix."""

    @PROPERTY
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(["r/a/x", "r/a/y", "r/b/x", "r/a/x/z", "q"]),
                st.integers(1, 40),
                st.booleans(),
            ),
            max_size=40,
        )
    )
    def test_equals_one_map(self, changes: list[tuple]) -> None:
        """Guards against objects lost, or altered under a reader's hands."""
        held = replica.Replica()
        plain: dict[str, replica.StoredObject] = {}
        for key, revision, alive in changes:
            item = replica.StoredObject(key, revision, {} if alive else None)
            before = held._state
            kept = list(before.objects())
            held.apply([item], revision=revision)
            assert list(before.objects()) == kept
            if key not in plain or plain[key].revision < revision:
                plain[key] = item
        assert sorted(held.difference(0).objects) == sorted(plain.values())
        dead = sum(item.value is None for item in plain.values())
        assert held._state.tombstones == dead
        for prefix in ("", "r/", "r/a/", "r/a", "r/a/x", "r/c/", "q"):
            expected = [
                i
                for i in plain.values()
                if i.value is not None and i.key.startswith(prefix)
            ]
            assert sorted(held.items(prefix)) == sorted(expected)


class TestMeasurements:
    """Measurements run against the daemons' real classes."""

    def test_control_work_of_a_small_fleet(self) -> None:
        """Guards against a tool that does not match the daemons' interfaces."""
        assert capacity.control(20)["control_us_per_s"] > 0

    def test_packet_measures_the_fast_path(self) -> None:
        """Guards against a tool that calls the fast path as it once was."""
        assert capacity.packet(0)["packet_us"] > 0

    def test_fetch_of_one_object(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a tool that calls a fetch as it once was."""
        # A busy machine may stall a fetch for longer than a daemon waits.
        monkeypatch.setattr(records, "FETCH_TIMEOUT_S", 60.0)
        measured = capacity.fetch(1)
        assert 0 < measured["fetch_bytes"] < measured["full_bytes"]

    def test_records_come_into_force(self) -> None:
        """Guards against measuring records that a daemon refuses."""
        record = capacity.service_record(1, 5)
        held = record_set.RecordSet()
        held.apply(record)
        assert held.refused == {}
