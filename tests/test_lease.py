"""Tests of the lease and the status writer."""

import random

import pytest

from sapphirelift import _status_writer
from sapphirelift import errors
from sapphirelift.core import revisions
from sapphirelift.core.membership import lease
from sapphirelift.core.membership import status
from sapphirelift.core.records import replica
from sapphirelift.platform import client
from tests import processes


def stored(revision: int, write: lease.LeaseWrite) -> replica.StoredObject:
    """Returns the stored lease object after a write."""
    return replica.StoredObject("leases/status", revision, write.value)


class TestLease:
    """State machine of the lease, with explicit time."""

    def test_free_lease_is_taken_and_renewed(self) -> None:
        """Guards against a cluster without a status writer."""
        one = lease.Lease(holder="a", incarnation=1)
        assert one.attempt(0) is None
        one.on_read(None, now_ms=0)
        write = one.attempt(0)
        assert write is not None
        assert (write.expected_revision, write.value["term"]) == (0, 1)
        one.on_written(5, started_ms=0)
        assert one.holds(5999)
        renewal = one.attempt(2000)
        assert renewal is not None
        assert (renewal.expected_revision, renewal.value["term"]) == (5, 1)

    def test_lease_of_paused_holder_expires_before_takeover(self) -> None:
        """Guards against two simultaneous holders."""
        old = lease.Lease(holder="a", incarnation=1)
        old.on_read(None, now_ms=0)
        write = old.attempt(0)
        assert write is not None
        old.on_written(5, started_ms=0)
        new = lease.Lease(holder="b", incarnation=1)
        new.on_read(stored(5, write), now_ms=100)
        assert new.attempt(6099) is None
        taken = new.attempt(6100)
        assert taken is not None
        assert (taken.expected_revision, taken.value["term"]) == (5, 2)
        new.on_written(9, started_ms=6100)
        assert not old.holds(6100)
        assert old.needs_read(6100)
        old.on_read(stored(9, taken), now_ms=6200)
        assert old.attempt(12_000) is None

    def test_renewed_lease_is_not_taken_over(self) -> None:
        """Guards against a takeover from a live holder."""
        new = lease.Lease(holder="b", incarnation=1)
        write = lease.LeaseWrite({"term": 1}, 0)
        for now_ms in range(0, 60_000, 2000):
            new.on_read(stored(5 + now_ms, write), now_ms=now_ms)
            assert new.attempt(now_ms) is None

    def test_lease_that_the_store_has_lost(self) -> None:
        """Guards against two holders after the store's return from a copy."""
        old = lease.Lease(holder="a", incarnation=1)
        old.on_read(None, now_ms=0)
        assert old.attempt(0) is not None
        old.on_written(5, started_ms=0)
        # The store returns at once, and has lost the lease.
        new = lease.Lease(holder="b", incarnation=1)
        for now_ms in (100, 2100, 4100):
            new.on_read(None, now_ms=now_ms, may_be_lost=True)
            assert new.attempt(now_ms) is None
        new.on_read(None, now_ms=6100, may_be_lost=True)
        assert not old.holds(6100)
        assert new.attempt(6100) is not None

    def test_lease_of_an_earlier_holder_that_is_back(self) -> None:
        """Guards against a revision given out again that looks unchanged."""
        new = lease.Lease(holder="b", incarnation=1)
        write = lease.LeaseWrite({"term": 1}, 0)
        new.on_read(stored(5, write), now_ms=0)
        again = revisions.of_store(5, era=2)
        new.on_read(stored(again, write), now_ms=5900)
        assert new.attempt(6000) is None
        taken = new.attempt(11_900)
        assert taken is not None
        assert taken.expected_revision == again

    def test_refused_write_gives_up_lease(self) -> None:
        """Guards against holding the lease without an accepted write."""
        one = lease.Lease(holder="a", incarnation=1)
        one.on_read(None, now_ms=0)
        assert one.attempt(0) is not None
        one.on_refused()
        assert not one.holds(0)
        assert one.attempt(10) is None


class TestStatus:
    """Status object written by the lease holder."""

    def writer(
        self, fleet: processes.Fleet, name: str
    ) -> _status_writer.StatusWriter:
        """Returns a status writer that competes for the lease."""
        return _status_writer.StatusWriter(
            client.ObjectClient(fleet.platform_url, calls_per_s=100),
            name=name,
            incarnation=1,
            is_candidate=lambda: True,
            members=lambda: ["a", "b", "agent-1"],
            conditions=lambda: [
                status.Condition("member_suspected", "agent-1", "no heartbeat")
            ],
            rng=random.Random(1),
        )

    def test_late_write_of_former_holder_is_refused(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against a resumed holder that overwrites its successor."""
        fleet.start_platform()
        reader = client.ObjectClient(fleet.platform_url)
        old, new = self.writer(fleet, "a"), self.writer(fleet, "b")
        old.status_builder.observe("a", 7)
        old.step()
        stored_lease = reader.get(_status_writer.LEASE_KEY)
        assert stored_lease is not None
        # The successor has seen the lease unchanged for its whole duration,
        # while the paused holder's clock did not advance.
        new.lease.on_read(stored_lease, now_ms=-lease.DURATION_MS)
        new.step()
        written = reader.get(_status_writer.STATUS_KEY)
        assert written is not None
        assert written.value is not None
        assert (written.value["writer"], written.value["term"]) == ("b", 2)
        old.status_builder.observe("a", 8)
        with pytest.raises(errors.ConflictError):
            old.write_status()
        old.step()
        assert reader.get(_status_writer.STATUS_KEY) == written

    def test_conditions_keep_their_start_time(self) -> None:
        """Guards against a start time reset by each write or new writer."""
        condition = status.Condition("member_suspected", "a", "no heartbeat")
        builder = status.StatusBuilder()
        builder.observe("a", 7)
        builder.observe("b", 7)
        rendered = [
            builder.render(
                [condition], term=1, writer="w", members=3, wall_ms=t
            )
            for t in (100, 200)
        ]
        assert rendered[0] == rendered[1]
        assert rendered[0]["daemons_by_revision"] == {"7": 2}
        assert rendered[0]["members_not_observed"] == 1
        successor = status.StatusBuilder()
        successor.load_conditions(rendered[0]["conditions"])
        found = successor.render(
            [condition], term=2, writer="v", members=3, wall_ms=300
        )
        assert found["conditions"][0]["since_ms"] == 100
