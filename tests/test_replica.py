"""Tests of the replica and of the sources that it accepts changes from."""

import random

import pytest

from sapphirelift.core.records import replica

KEY = "records/service/catalogue"
OTHER = "records/service/board-tracker"


def stored(key: str, revision: int) -> replica.StoredObject:
    """Returns a live object."""
    return replica.StoredObject(key, revision, {"revision": revision})


def make_replica(**options: int) -> replica.Replica:
    """Returns a replica with two objects at revision 10."""
    local = replica.Replica(**options)
    local.apply([stored(KEY, 10), stored(OTHER, 4)], revision=10)
    return local


class TestReplica:
    """Changes, full lists and tombstones in the replica."""

    def test_older_object_and_list_are_refused(self) -> None:
        """Guards against a stale read that reverts objects in force."""
        local = make_replica()
        assert local.apply([stored(KEY, 9)], revision=12) == []
        for _ in range(2):
            assert local.replace([stored(KEY, 9)], revision=9) == []
        assert local.get(KEY) == stored(KEY, 10)
        assert local.get(OTHER) is not None

    def test_list_without_last_change_deletes_nothing(self) -> None:
        """Guards against a stale list labelled with the current revision."""
        local = make_replica()
        assert local.replace([stored(OTHER, 4)], revision=12) == []
        assert local.revision == 10
        local.replace([stored(OTHER, 4), stored(KEY, 12)], revision=12)
        assert local.get(KEY) == stored(KEY, 12)
        assert local.revision == 12

    def test_second_list_confirms_deletion(self) -> None:
        """Guards against a deleted object that stays in force."""
        local = make_replica()
        local.replace([stored(OTHER, 4)], revision=12)
        local.replace([stored(OTHER, 4)], revision=12)
        assert local.get(KEY) is None
        assert local.apply([stored(KEY, 11)], revision=12) == []
        assert local.get(KEY) is None

    def test_initial_list_does_not_confirm_later_list(self) -> None:
        """Guards against a deletion lost because of the list read at start."""
        local = replica.Replica()
        local.replace([stored(KEY, 10), stored(OTHER, 4)], revision=10)
        for revision, in_force in ((12, True), (12, False)):
            local.replace([stored(OTHER, 4)], revision=revision)
            assert (local.get(KEY) is not None) == in_force
            assert local.revision == (10 if in_force else 12)

    def test_initial_list_does_not_skip_unlisted_change(self) -> None:
        """Guards against a change that is never requested again."""
        local = replica.Replica()
        local.replace([stored(OTHER, 4)], revision=6)
        assert local.revision == 4

    def test_watch_advances_to_newest_change(self) -> None:
        """Guards against an empty response that skips to a later revision."""
        local = make_replica()
        local.apply_watched([])
        assert local.revision == 10
        local.apply_watched([stored(OTHER, 11)])
        assert local.revision == 11

    def test_store_that_lost_objects_removes_none(self) -> None:
        """Guards against a restarted store that empties the replica."""
        local = make_replica()
        for _ in range(3):
            local.replace([stored(KEY, 2)], revision=20, keep_missing=True)
        assert local.get(KEY) == stored(KEY, 10)
        assert local.get(OTHER) is not None

    def test_neighbour_without_tombstone_sends_full_list(self) -> None:
        """Guards against a deletion unknown to a recently started neighbour."""
        neighbour = replica.Replica()
        neighbour.replace(
            [stored(OTHER, 4), stored("members/a", 12)], revision=12
        )
        neighbour.apply([stored("members/a", 13)], revision=13)
        local = make_replica()
        reply = neighbour.difference(local.revision)
        assert reply.complete
        local.replace(reply.objects, revision=reply.revision, trusted=True)
        assert local.get(KEY) is None
        assert not neighbour.difference(12).complete

    def test_tombstones_are_bounded(self) -> None:
        """Guards against memory use that grows with each deleted member."""
        local = make_replica(max_tombstones=10)
        for revision in range(11, 111):
            key = f"members/{revision}"
            local.apply(
                [replica.StoredObject(key, revision, None)], revision=revision
            )
        assert len(local.difference(10).objects) <= 12
        assert local.difference(10).complete
        assert not local.difference(109).complete

    def test_order_of_changes_does_not_affect_result(self) -> None:
        """Guards against a result that depends on the order of the sources."""
        changes = [
            stored(KEY, revision)._replace(value={} if revision % 3 else None)
            for revision in range(1, 12)
        ]
        rng = random.Random(7)
        for _ in range(50):
            local = replica.Replica()
            highest = 0
            for change in rng.sample(changes, len(changes)):
                local.apply([change], revision=change.revision)
                highest = max(highest, change.revision)
                live = local.get(KEY)
                assert live is None or live.revision == highest
            assert local.get(KEY) == changes[-1]


class TestLostStates:
    """States that the store has lost in its return from an older copy."""

    def state(self, revision: int, write_id: str) -> replica.StoredObject:
        """Returns the state that the write ``a``, ``b`` or ``c`` stored."""
        before = "abc"[: "abc".find(write_id)][::-1]
        value = {"write": write_id}
        return replica.StoredObject(
            KEY, revision, value, write_id, tuple(before)
        )

    def test_replaced_state_at_a_newer_revision_is_older(self) -> None:
        """Guards against a change that is taken back with the store's copy."""
        local = replica.Replica()
        local.apply([self.state(9, "b")], revision=9)
        newer = local.apply([self.state(20, "a")], revision=20)
        assert newer == []
        assert local.get(KEY) == self.state(9, "b")
        assert local.lost == {KEY}

    @pytest.mark.parametrize("write_id", ["b", "c", "other"])
    def test_other_states_follow_their_revisions(self, write_id: str) -> None:
        """Guards against new changes that are refused as lost ones."""
        local = replica.Replica()
        local.apply([self.state(9, "b")], revision=9)
        local.apply([self.state(20, "a")], revision=20)
        found = self.state(21, "b")
        if write_id != "b":
            found = found._replace(write_id=write_id)
        local.apply([found], revision=21)
        assert local.get(KEY) == found
        assert local.lost == set()

    @pytest.mark.parametrize("deleted", ["a", "b", ""])
    def test_deleted_state_does_not_come_back(self, deleted: str) -> None:
        """Guards against a deletion that is taken back with the copy.

        The deletion shows the last state, the copied one if another daemon has
        deleted it again, or none in a list.
        """
        local = replica.Replica()
        local.apply([self.state(9, "b")], revision=9)
        removed = self.state(10, deleted or "a")._replace(value=None)
        if not deleted:
            removed = replica.StoredObject(KEY, 10, None)
        for revision in (10, 30):
            local.apply(
                [removed._replace(revision=revision)], revision=revision
            )
            assert local.lost == set()
            for number, write_id in enumerate("ab"):
                found = self.state(revision + 1 + number, write_id)
                local.apply([found], revision=found.revision)
                assert local.get(KEY) is None
                assert local.lost == {KEY}
