"""Tests of the member table, failure detection and heartbeats."""

import hypothesis
import pytest
from hypothesis import strategies as st

from sapphirelift import errors
from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core import actions
from sapphirelift.core import keys
from sapphirelift.core import revisions
from sapphirelift.core.membership import freshness
from sapphirelift.core.membership import heartbeats
from sapphirelift.core.membership import membership

RING = keys.KeyRing(0, {0: b"k" * 32})
PROPERTY = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150
)


def address(number: int) -> messages.Address:
    """Returns the address of a test member."""
    return messages.Address("10.0.0.1", 1000 + number)


def beat(
    number: int, sequence: int, *, incarnation: int = 1, state: str = "up"
) -> messages.Heartbeat:
    """Returns a heartbeat sent by an agent."""
    return messages.Heartbeat(
        f"m{number}",
        "agent",
        *address(number),
        incarnation,
        sequence,
        state,
        "etela-a",
        "pakkaamo",
        0.0,
        1,
    )


def announce(
    table: membership.Membership,
    number: int,
    *,
    revision: int,
    **values: object,
) -> None:
    """Applies the announcement of a member."""
    value = {
        "name": f"m{number}",
        "role": "agent",
        "ip": address(number).ip,
        "port": address(number).port,
        "incarnation": 1,
        "data_centre": "etela-a",
        "service": "pakkaamo",
        "weight": 1.0,
        "state": "up",
    } | values
    table.apply_announcement(value, revision=revision, key=f"members/{number}")


def watcher(count: int = 4) -> membership.Membership:
    """Returns the member table of a balancer that watches ``count`` agents."""
    table = membership.Membership(repairs=True, watches=lambda _: True)
    for number in range(count):
        announce(table, number, revision=number + 1)
        table.apply_heartbeat(beat(number, 1), now_ms=0)
    return table


def run_until(
    table: membership.Membership, end_ms: int, *, silent: set[int]
) -> dict[type, int]:
    """Sends heartbeats and ticks every 500 ms.

    Returns:
        The time of the first action of each type.
    """
    seen: dict[type, int] = {}
    for now_ms in range(500, end_ms, 500):
        for number in range(len(table.members)):
            if number not in silent:
                table.apply_heartbeat(beat(number, now_ms), now_ms=now_ms)
        for action in table.tick(now_ms):
            seen.setdefault(type(action), now_ms)
    return seen


class TestStoreRestored:
    """Announcements that the store has lost in its return from a copy."""

    # Guards against live members that are out of service until they have
    # announced themselves again.
    @pytest.mark.parametrize(
        ("state", "silent_ms", "revision", "is_kept"),
        [
            ("up", 0, revisions.of_store(1, era=2), True),
            ("draining", 0, revisions.of_store(1, era=2), False),
            ("up", 3000, revisions.of_store(1, era=2), False),
            ("up", 0, 5, False),
        ],
    )
    def test_member_in_service_outlives_its_announcement(
        self, state: str, silent_ms: int, revision: int, is_kept: bool
    ) -> None:
        """Only a member that lives and is in service is kept."""
        table = watcher()
        for number in range(4):
            heard_ms = 10_000 - silent_ms if not number else 10_000
            found = beat(number, 2, state=state if not number else "up")
            table.apply_heartbeat(found, now_ms=heard_ms)
        table.tick(10_000)
        table.on_deleted("m0", revision=revision, now_ms=10_000)
        assert ("m0" in table.members) == is_kept
        in_service = {m.name for m in table.with_role("agent")}
        assert ("m0" in in_service) == is_kept

    def test_kept_member_is_announced_again_or_forgotten(self) -> None:
        """Guards against members without an announcement that stay for good."""
        table = watcher()
        restored = revisions.of_store(1, era=2)
        for number in (0, 1):
            table.on_deleted(f"m{number}", revision=restored, now_ms=0)
        announce(table, 1, revision=restored + 1)
        run_until(table, 2 * membership.DELETE_AFTER_MS, silent={0})
        assert sorted(table.members) == ["m1", "m2", "m3"]

    def test_member_that_another_process_watches(self) -> None:
        """Guards against unwatched members that are lost at once, or stay."""
        table = membership.Membership(repairs=True, watches=lambda _: False)
        announce(table, 0, revision=1)
        restored = revisions.of_store(1, era=2)
        table.on_deleted("m0", revision=restored, now_ms=0)
        for now_ms in range(500, membership.MARK_AFTER_MS, 500):
            table.tick(now_ms)
            assert table.with_role("agent")
        table.tick(membership.MARK_AFTER_MS + 500)
        assert not table.members


class TestFailureDetection:
    """Suspicion, marking and deletion of silent members."""

    def test_suspect_mark_delete(self) -> None:
        """Guards against a dead member kept eligible or never deleted."""
        table = watcher()
        seen = run_until(table, 62_000, silent={0})
        assert seen[actions.LogState] == 3000
        assert seen[actions.MarkMember] == 10_500
        assert seen[actions.DeleteMember] == 60_500
        assert "m0" not in {m.name for m in table.with_role("agent")}

    def test_ejection_floor_ejects_none(self) -> None:
        """Guards against a watcher that receives nothing and ejects all."""
        table = watcher()
        assert not run_until(table, 30_000, silent={0, 1, 2})
        assert len(table.with_role("agent")) == 4

    def test_frozen_watcher_suspects_nobody(self) -> None:
        """Guards against suspicion for heartbeats missed while frozen."""
        table = watcher()
        table.tick(0)
        for number in (1, 2, 3):
            table.apply_heartbeat(beat(number, 2), now_ms=99_000)
        assert table.tick(100_000) == []
        assert table.tick(101_000) == []

    def test_former_watcher_does_not_suspect(self) -> None:
        """Guards against suspicion by a balancer no longer watching."""
        table = watcher()
        table.watches = lambda name: name != "m0"
        assert not run_until(table, 20_000, silent={0})

    def test_mark_excludes_until_next_announcement(self) -> None:
        """Guards against a mark that other balancers ignore or never clear."""
        table = membership.Membership()
        announce(table, 0, revision=1, suspected=True)
        assert table.with_role("agent") == []
        announce(table, 0, revision=2)
        assert table.with_role("agent")

    def test_address_reuse_suspects_former_owner(self) -> None:
        """Guards against opens sent to an address that has a new owner."""
        table = watcher()
        successor = beat(9, 1)._replace(port=address(0).port)
        table.apply_heartbeat(successor, now_ms=1)
        names = {m.name for m in table.with_role("agent")}
        assert names == {"m1", "m2", "m3", "m9"}

    def test_table_is_bounded(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a table that grows without limit with new names."""
        monkeypatch.setattr(membership, "MAX_MEMBERS", 3)
        table = watcher(5)
        assert len(table.members) == 3

    @PROPERTY
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.integers(1, 3),
                st.integers(1, 4),
                st.sampled_from(["up", "draining", "leaving"]),
                st.booleans(),
            ),
            max_size=30,
        )
    )
    def test_state_only_advances(
        self, events: list[tuple[int, int, str, bool]]
    ) -> None:
        """Guards against replays and against a return to `up`."""
        table = membership.Membership()
        order = {"up": 0, "draining": 1, "leaving": 2}
        last = (0, 0)
        accepted: set[tuple[int, int]] = set()
        for index, (incarnation, sequence, state, direct) in enumerate(events):
            if direct:
                new = table.apply_heartbeat(
                    beat(0, sequence, incarnation=incarnation, state=state),
                    now_ms=index,
                )
                assert not (new and (incarnation, sequence) in accepted)
                if new:
                    accepted.add((incarnation, sequence))
            else:
                announce(
                    table,
                    0,
                    revision=index + 1,
                    incarnation=incarnation,
                    state=state,
                )
            held = table.members["m0"]
            now = (held.incarnation, order[held.state])
            assert now >= last
            assert held.incarnation >= incarnation
            last = now


class TestReturnPath:
    """Choice of the balancer that relays an agent's answers."""

    @pytest.mark.parametrize(
        "fault", ["suspected", "marked", "leaving", "gone"]
    )
    def test_falls_back(self, fault: str) -> None:
        """Guards against answers relayed by a dead or leaving balancer."""
        table = membership.Membership()
        for number in range(2):
            announce(table, number, revision=1, role="balancer")
        assert table.return_path(address(0), b"\0" * 16) == address(0)
        match fault:
            case "suspected":
                table.members["m0"].suspected = True
            case "marked":
                announce(table, 0, revision=2, role="balancer", suspected=True)
            case "leaving":
                announce(table, 0, revision=2, role="balancer", state="leaving")
            case "gone":
                table.remove("m0", revision=2)
        assert table.return_path(address(0), b"\0" * 16) == address(1)
        assert table.return_path(address(7), b"\0" * 16) == address(7)


def make_heartbeats(name: str, role: str, known: int) -> heartbeats.Heartbeats:
    """Returns the sender of a member that knows ``known`` balancers."""
    table = membership.Membership(own_name=name)
    for number in range(known):
        announce(table, number, revision=1, role="balancer")
    return heartbeats.Heartbeats(
        name=name,
        role=role,
        address=address(500),
        incarnation=1,
        data_centre="etela-a",
        service="",
        members=table,
        ring=RING,
    )


class TestHeartbeats:
    """Choice of watchers, control socket and acknowledgements."""

    def test_sender_and_watchers_agree(self) -> None:
        """Guards against watchers that expect heartbeats sent to others."""
        member = make_heartbeats("agent-x", "agent", 8)
        chosen = set(member.watchers())
        for number in range(8):
            balancer = make_heartbeats(f"m{number}", "balancer", 8)
            expects = balancer.watches("agent-x")
            assert expects == (address(number) in chosen)

    def test_suspected_watcher_is_replaced_but_still_receives(self) -> None:
        """Guards against mutual suspicion if only acknowledgements are lost."""
        member = make_heartbeats("agent-x", "agent", 8)
        before = member.watchers()
        suspect = next(
            m for m in member.members.members.values() if m.address == before[0]
        )
        suspect.suspected = True
        after = member.watchers()
        assert after[:3] == before
        assert len(after) == 4

    def test_missing_acks_replace_control_socket(self) -> None:
        """Guards against a broken path kept although a new socket works."""
        member = make_heartbeats("agent-x", "agent", 2)
        replaced = []
        for now_ms in range(0, 9000, 1000):
            out = member.next_heartbeats(
                state="up", load=0, revision=1, now_ms=now_ms
            )
            if actions.ReplaceControlSocket() in out:
                replaced.append(now_ms)
            if now_ms < 3000:
                ack = messages.HeartbeatAck("m0", 1, member.sequence, "up", 1)
                member.on_ack(ack, address(0), revision=1, now_ms=now_ms)
        assert replaced == [6000]

    def test_replayed_ack_is_dropped(self) -> None:
        """Guards against replayed acknowledgements from a dead watcher."""
        member = make_heartbeats("agent-x", "agent", 2)
        member.next_heartbeats(state="up", load=0, revision=1, now_ms=0)
        ack = messages.HeartbeatAck("m0", 1, 1, "up", 1)
        member.on_ack(ack, address(0), revision=1, now_ms=1)
        with pytest.raises(errors.DatagramError):
            member.on_ack(ack, address(0), revision=1, now_ms=2)

    def test_higher_revision_is_fetched_from_listening_address(self) -> None:
        """Guards against a fetch from the port of the control socket."""
        balancer = make_heartbeats("m0", "balancer", 2)
        out = balancer.on_heartbeat(
            beat(7, 1)._replace(revision=9),
            messages.Address("10.0.0.1", 60_000),
            state="up",
            revision=3,
            now_ms=0,
        )
        assert actions.FetchRecords(address(7)) in out
        assert wire.decode_peer(out[0].data, RING)[0] == (
            messages.Kind.HEARTBEAT_ACK
        )


class TestFreshness:
    """Detection of a frozen balancer."""

    def test_gap_blocks_until_compared_or_timeout(self) -> None:
        """Guards against flows opened with records from before a freeze."""
        clock = freshness.Freshness()
        clock.observe(0)
        assert clock.is_fresh(0)
        assert clock.observe(5000)
        assert not clock.is_fresh(5000)
        clock.confirm()
        assert clock.is_fresh(5000)
        clock.observe(10_000)
        assert not clock.is_fresh(10_100)
        assert clock.is_fresh(13_000)
