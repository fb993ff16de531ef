"""Beliefs of packet daemons after the store's return from an older copy."""

import dataclasses
import random
from typing import Any

import eventlet
import pytest

from sapphirelift import _store_follower
from sapphirelift import decision_log
from sapphirelift.core import revisions
from sapphirelift.core.l4 import actions
from sapphirelift.core.l4 import agent
from sapphirelift.core.l4 import balancer
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import routes
from sapphirelift.platform import store
from sapphirelift.standins import packet_network

OWN = messages.Address("10.1.0.1", 7720)
PEER = messages.Address("10.1.0.2", 7720)
REPLICA = messages.Address("10.1.0.2", 7735)
NOW_MS = 1_000_000


def restored(store_revision: int) -> int:
    """Returns a revision of the second era."""
    return revisions.of_store(store_revision, era=2)


def configuration(*, version: int, revision: int) -> routes.Configuration:
    """Returns a configuration with one route."""
    return dataclasses.replace(
        packet_network.configuration(version),
        revision=revision,
        version=version,
    )


def new_balancer(*, now_ms: int = NOW_MS) -> balancer.Balancer:
    """Returns a balancer without a configuration."""
    core = balancer.Balancer(
        address=OWN,
        replica=messages.Address(OWN.ip, 7735),
        now_ms=now_ms,
        rng=random.Random(1),
    )
    core.has_directory = True
    return core


def revisions_of_peer(
    *,
    version: int = 0,
    revision: int = 0,
    evacuations: routes.Evacuations | None = None,
) -> messages.Revisions:
    """Returns what a peer announces."""
    evacuations = evacuations or routes.Evacuations()
    return messages.Revisions(
        balancer=PEER,
        replica=REPLICA,
        configuration_revision=revision,
        evacuations_revision=evacuations.revision,
        evacuated=tuple(sorted(evacuations.data_centres)),
        agents=(),
        has_directory=True,
        is_reply=True,
        configuration_version=version,
    )


def new_agent() -> agent.Agent:
    """Returns an agent in data centre ``a``."""
    return agent.Agent(
        agent.Identity("agent", OWN, 1, "shop", "a", "region"),
        report_interval_ms=1000,
        started_unix_ms=NOW_MS,
        is_first_start=True,
        now_ms=NOW_MS,
    )


def ack(
    *,
    version: int = 0,
    revision: int = 0,
    max_flows: int = 0,
    is_evacuated: bool = False,
    evacuations_revision: int = 0,
) -> messages.HeartbeatAck:
    """Returns an acknowledgement of a balancer."""
    return messages.HeartbeatAck(
        balancer=PEER,
        balancers=(),
        configuration_revision=revision,
        cold_opens_per_s=0.0,
        max_flows=max_flows,
        idle_timeout_ms=15_000,
        is_evacuated=is_evacuated,
        evacuations_revision=evacuations_revision,
        is_leaving=False,
        configuration_version=version,
    )


class TestConfiguration:
    """Versions of operators, at revisions of two eras."""

    def test_store_behind_the_version_in_force(self) -> None:
        """Guards against a configuration that comes back older."""
        core = new_balancer()
        for version, revision, expected in (
            (11, 20, 11),
            (6, restored(18), 11),
            (11, restored(19), 11),
            (13, restored(20), 13),
            (11, restored(25), 13),
        ):
            new = configuration(version=version, revision=revision)
            core.set_configuration(new, NOW_MS, source="store")
            assert core.configuration.version == expected

    def test_peer_with_an_older_version_at_a_newer_revision(self) -> None:
        """Guards against balancers that fetch what the store has lost."""
        core = new_balancer()
        core.is_store_connected = False
        new = configuration(version=11, revision=20)
        core.set_configuration(new, NOW_MS, source="store")
        for version, revision in ((6, restored(18)), (11, restored(19))):
            announced = revisions_of_peer(version=version, revision=revision)
            core.on_message(announced, NOW_MS)
            decided = core.drain_actions()
            assert actions.FetchReplica(REPLICA) not in decided

    @pytest.mark.parametrize("age_ms", [0, balancer.SETTLE_MS])
    def test_balancer_that_starts_while_the_store_is_behind(
        self, age_ms: int
    ) -> None:
        """Guards against new balancers with a configuration of before."""
        core = new_balancer()
        older = configuration(version=6, revision=restored(18))
        core.set_configuration(older, NOW_MS, source="store")
        announced = revisions_of_peer(version=11, revision=20)
        core.on_message(announced, NOW_MS + age_ms)
        # A balancer that runs for longer waits for the store's watch first.
        is_fetched = actions.FetchReplica(REPLICA) in core.drain_actions()
        assert is_fetched == (age_ms == 0)

    def test_agent_keeps_the_values_of_the_newest_version(self) -> None:
        """Guards against limits that come back older."""
        core = new_agent()
        core.on_ack(ack(version=11, revision=20, max_flows=50), NOW_MS)
        core.on_ack(ack(version=6, revision=restored(18), max_flows=7), NOW_MS)
        assert core._max_flows == 50
        core.on_ack(ack(version=13, revision=restored(20), max_flows=9), NOW_MS)
        assert core._max_flows == 9


A = frozenset({"a"})
B = frozenset({"b"})
NONE: frozenset[str] = frozenset()
IN_FORCE = routes.Evacuations(20, A)


class TestEvacuations:
    """Evacuations that the store has lost, or holds again."""

    @pytest.mark.parametrize("source", ["store", "peer"])
    def test_evacuations_stay_until_the_era_is_settled(
        self, source: str
    ) -> None:
        """Guards against evacuations that are lost or come back.

        With an evacuation that is in force and one that the copy still holds,
        a balancer that follows both has no agents left.
        """
        core = new_balancer()
        core.set_evacuations(IN_FORCE, source="store")
        for revision, listed, is_settled, expected in (
            (18, B, False, A),
            (19, NONE, False, A),
            (20, A, True, A),
            (21, NONE, False, NONE),
            (20, A, True, NONE),
            (22, B, True, B),
        ):
            received = routes.Evacuations(
                restored(revision), listed, is_settled
            )
            if source == "store":
                core.set_evacuations(received, source="store")
            else:
                announced = revisions_of_peer(evacuations=received)
                core.on_message(
                    announced._replace(is_settled=is_settled), NOW_MS
                )
            assert core.evacuations.data_centres == expected

    def test_balancer_without_memory_believes_its_peers(self) -> None:
        """Guards against a new balancer that follows the store's copy."""
        core = new_balancer()
        copied = routes.Evacuations(restored(18), B, is_settled=False)
        core.set_evacuations(copied, source="store")
        assert core.evacuations.data_centres == B
        # The first peer has just started.
        for known, expected in ((routes.Evacuations(), B), (IN_FORCE, A)):
            core.on_message(revisions_of_peer(evacuations=known), NOW_MS)
            assert core.evacuations.data_centres == expected

    def test_agent_stays_evacuated_until_the_era_is_settled(self) -> None:
        """Guards against an agent that takes flows of an older balancer."""
        core = new_agent()
        for revision, is_evacuated, is_settled, expected in (
            (20, True, True, True),
            (restored(18), False, False, True),
            (restored(19), True, True, True),
            (restored(18), False, True, True),
            (restored(20), False, False, False),
            (21, True, True, False),
        ):
            received = ack(
                is_evacuated=is_evacuated, evacuations_revision=revision
            )
            core.on_ack(received._replace(is_settled=is_settled), NOW_MS)
            assert core.dump(NOW_MS)["is_evacuated"] == expected


class TestDirectory:
    """Entries of agents that the store has lost."""

    def new_balancer(self) -> balancer.Balancer:
        """Returns a balancer that has listed the directory of the new era."""
        core = new_balancer()
        core.store_era = 2
        copied = routes.Evacuations(restored(18), is_settled=False)
        core.set_evacuations(copied, source="store")
        return core

    # Guards against resets of flows whose agent is missing in the directory.
    def test_new_balancer_asks_a_peer_with_memory(self) -> None:
        """Without the peer's agents, no search proves that a flow has ended."""
        core = self.new_balancer()
        core.on_message(revisions_of_peer(evacuations=IN_FORCE), NOW_MS)
        assert actions.FetchReplica(REPLICA) in core.drain_actions()
        assert not core.has_directory
        # As after the fetch.
        core.has_directory = True
        core.on_message(revisions_of_peer(evacuations=IN_FORCE), NOW_MS)
        assert actions.FetchReplica(REPLICA) not in core.drain_actions()
        assert core.has_directory

    @pytest.mark.parametrize(
        ("age_ms", "known"),
        [
            (balancer.SETTLE_MS, IN_FORCE),
            (0, routes.Evacuations()),
            (0, routes.Evacuations(restored(19), A)),
        ],
    )
    def test_directory_is_believed_otherwise(
        self, age_ms: int, known: routes.Evacuations
    ) -> None:
        """Guards against flows that never end, and needless fetches."""
        core = self.new_balancer()
        core.on_message(revisions_of_peer(evacuations=known), NOW_MS + age_ms)
        assert actions.FetchReplica(REPLICA) not in core.drain_actions()
        assert core.has_directory

    # Guards against entries that stay lost until the evacuations are settled.
    def test_era_is_announced_at_once(self) -> None:
        """Agents and peers hear of the new era before they follow it."""
        core = new_balancer()
        core.set_evacuations(IN_FORCE, source="store")
        core.store_era = 2
        copied = routes.Evacuations(restored(18), is_settled=False)
        core.set_evacuations(copied, source="store")
        core.on_message(revisions_of_peer()._replace(is_reply=False), NOW_MS)
        answer = next(
            action.message
            for action in core.drain_actions()
            if isinstance(action, actions.SendDaemon)
            and isinstance(action.message, messages.Revisions)
            and action.message.is_reply
        )
        assert answer.store_era == 2
        assert answer.evacuations_revision == IN_FORCE.revision
        beside = new_agent()
        beside.on_ack(
            ack(evacuations_revision=20)._replace(store_era=2), NOW_MS
        )
        assert beside.store_era == 2


class _EraStore:
    """Store whose era the test sets.

    Attributes:
        wait_ms: Wait time of the last watch.
    """

    def __init__(self) -> None:
        self.era = 0
        self.wait_ms = -1

    def list_kind(self, kind: str) -> store.Listing:
        """Returns an empty list."""
        del kind
        return store.Listing(revisions.of_store(5, era=self.era), [])

    def watch(
        self, kind: str, *, since: int, wait_ms: int
    ) -> store.Changes | None:
        """Returns at once, without changes."""
        del kind
        self.wait_ms = wait_ms
        if revisions.era_of(since) < self.era:
            return None
        return store.Changes(since, [])


class TestFollower:
    """Contents that may lack what other writers are about to repeat."""

    def follow(
        self,
        fake: Any,
        on_objects: _store_follower.OnObjects,
        *,
        settle_ms: int = 0,
    ) -> _store_follower.StoreFollower:
        """Returns a follower whose steps the test takes."""
        return _store_follower.StoreFollower(
            fake,
            "evacuations",
            on_objects=on_objects,
            settle_ms=settle_ms,
            balancers=lambda: 1,
            log=decision_log.DecisionLog(name="test"),
            rng=random.Random(1),
        )

    def test_contents_settle_in_each_era(self) -> None:
        """Guards against losses of the store that are taken for changes."""
        fake: Any = _EraStore()
        found: list[_store_follower.Contents] = []
        follower = self.follow(fake, found.append, settle_ms=200)
        for era in (0, 1):
            fake.era = era
            while not found or revisions.era_of(found[-1].revision) < era:
                follower._step()
            assert not found[-1].is_settled
            follower._step()
            # The next answer after this watch finds the contents settled.
            assert 0 <= fake.wait_ms <= 200 or found[-1].is_settled
            eventlet.sleep(0.2)
            follower._step()
            assert found[-1].is_settled

    def test_first_watch_after_an_outage_does_not_wait(self) -> None:
        """Guards against a new era that is noticed seconds later."""
        fake: Any = _EraStore()
        follower = self.follow(fake, lambda contents: None)
        follower._step()
        follower._step()
        assert fake.wait_ms > 0
        follower._set_connected(False)
        follower._step()
        assert fake.wait_ms == 0
