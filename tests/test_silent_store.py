"""Connections to the store that go silent without an error."""

import random
from typing import Any

import eventlet
import pytest
import urllib3

from sapphirelift import _packet_balancer
from sapphirelift import _store_follower
from sapphirelift import decision_log
from sapphirelift import errors
from sapphirelift.core.l4 import balancer as balancer_module
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import sentinels
from sapphirelift.platform import store
from sapphirelift.standins import packet_network

# An instance counts as in touch this long after its connections went silent.
CONTACT_MS = 4000
EVACUATION_MS = 5000
# Delay until a daemon tries again after a watch has failed.
RETRY_MS = 200
NOW_MS = 100_000


def addresses(count: int) -> list[messages.Address]:
    """Returns the addresses of some balancers."""
    return [
        messages.Address(f"10.1.{n // 250}.{n % 250 + 1}", 7720)
        for n in range(count)
    ]


def silent_ms(wait_ms: int) -> float:
    """Returns how long a silent connection stays unnoticed by a sentinel."""
    return wait_ms + store.WATCH_MARGIN_S * 1000 + RETRY_MS


class TestSentinels:
    """Balancers that check often that the store still answers."""

    # Guards against a number of calls that grows with the fleet, and against a
    # fleet in which nobody notices the silence (review/2).
    @pytest.mark.parametrize("count", [1, 2, 5, 59, 840])
    def test_a_few_of_any_number(self, count: int) -> None:
        """All balancers agree on the choice."""
        known = addresses(count)
        chosen = [
            own
            for own in known
            if sentinels.is_sentinel(
                own, {a: NOW_MS for a in known if a != own}, NOW_MS
            )
        ]
        assert len(chosen) == min(count, sentinels.SENTINELS)

    def test_a_stopped_one_is_replaced(self) -> None:
        """Guards against a duty that stays with a balancer that has stopped."""
        known = sentinels.ranked(addresses(5))
        heard = dict.fromkeys(known[:2], NOW_MS) | dict.fromkeys(
            known[3:], NOW_MS + sentinels.MIN_SILENT_MS
        )
        assert not sentinels.is_sentinel(known[2], heard, NOW_MS)
        later_ms = NOW_MS + sentinels.MIN_SILENT_MS + 1
        assert sentinels.is_sentinel(known[2], heard, later_ms)

    def test_one_without_the_store_is_replaced(self) -> None:
        """Guards against sentinels that the store turns away."""
        net = packet_network.Network(1)
        net.add_agent()
        hosts = {net.add_balancer().address: None for _ in range(5)}
        net.run(2000)
        first = sentinels.ranked(hosts)[0]
        net.balancers[first.ip].core.is_store_connected = False
        net.run(3000)
        chosen = [
            host
            for host in net.balancers.values()
            if host.address != first and host.core.is_sentinel(net.now_ms)
        ]
        assert len(chosen) == sentinels.SENTINELS


class TestWatch:
    """Watches on connections that have gone silent."""

    def test_sentinel_notices_in_time(self) -> None:
        """Guards against bounds that even the first to notice cannot keep."""
        slack_ms = balancer_module.RENEW_GRACE_MS + 500
        configuration_ms = _packet_balancer.SENTINEL_CONFIGURATION_WAIT_MS
        assert silent_ms(configuration_ms) + slack_ms <= CONTACT_MS
        evacuations_ms = _packet_balancer.SENTINEL_EVACUATIONS_WAIT_MS
        assert silent_ms(evacuations_ms) + slack_ms <= EVACUATION_MS

    def test_duration_of_a_sentinel(self) -> None:
        """Guards against a sentinel that waits as long as the others."""
        waits_ms: list[int] = []
        fake: Any = store.Store("http://127.0.0.1:1")
        fake.list_kind = lambda kind: store.Listing(5, [])

        def watch(kind: str, *, since: int, wait_ms: int) -> store.Changes:
            waits_ms.append(wait_ms)
            return store.Changes(since, [])

        fake.watch = watch
        follower = _store_follower.StoreFollower(
            fake,
            "config",
            on_objects=lambda contents: None,
            settle_ms=0,
            balancers=lambda: 59,
            sentinel_wait_ms=lambda: 1000 if len(waits_ms) else None,
            log=decision_log.DecisionLog(name="test"),
            rng=random.Random(1),
        )
        for _ in range(3):
            follower._step()
        assert waits_ms[0] > 10_000
        assert waits_ms[1:] == [1000]

    @pytest.mark.parametrize("is_told", [False, True])
    def test_all_watches_begin_again(self, is_told: bool) -> None:
        """Guards against idle and waiting connections that are silent too."""
        client = store.Store("http://127.0.0.1:1", calls_per_s=1000)
        pool = _SilentPool()
        client._pool = pool
        waiting = eventlet.spawn(
            client.watch, "config", since=5, wait_ms=60_000
        )
        eventlet.sleep(0.01)
        if is_told:
            client.renew_watches()
        else:
            with pytest.raises(errors.PlatformUnavailableError):
                client.get("config", "main")
        with eventlet.Timeout(2):
            assert waiting.wait() == store.Changes(7, [])
        assert pool.clears == 1

    # Guards against a watch without an answer that passes for one, so that
    # what may be out of date is taken as confirmed.
    def test_watch_that_is_renewed_in_an_outage_fails(self) -> None:
        """Only an answer shows that the store has been read."""
        client = store.Store("http://127.0.0.1:1", calls_per_s=1000)
        client._pool = _SilentPool(is_away=True)
        waiting = eventlet.spawn(
            client.watch, "config", since=5, wait_ms=60_000
        )
        eventlet.sleep(0.01)
        client.renew_watches()
        with (
            eventlet.Timeout(2),
            pytest.raises(errors.PlatformUnavailableError),
        ):
            waiting.wait()


class _SilentPool:
    """Connection pool on which long watches wait, and other calls time out.

    Watches that do not wait are answered at revision 7 unless the store is
    away.
    """

    def __init__(self, *, is_away: bool = False) -> None:
        self.headers: dict[str, str] = {}
        self.clears = 0
        self._is_away = is_away

    def request(self, method: str, url: str, **options: Any) -> Any:
        """Waits, answers, or times out at once."""
        del method, options
        if "WaitMs=0" in url and not self._is_away:
            return urllib3.HTTPResponse(
                body=b'{"events":[],"CurrentRev":7}', status=200
            )
        if "WaitMs=" in url and "WaitMs=0" not in url:
            eventlet.sleep(60)
        raise urllib3.exceptions.ReadTimeoutError(None, url, "silent")  # type: ignore[arg-type]

    def clear(self) -> None:
        """Counts that the connections have been dropped."""
        self.clears += 1


class TestSpread:
    """A configuration that one balancer alone has read."""

    @pytest.mark.parametrize("count", [2, 5, 20, 59])
    def test_all_have_it_in_time(self, count: int) -> None:
        """Guards against balancers that trust a silent watch (review/2)."""
        net = packet_network.Network(count)
        net.add_agent()
        for _ in range(count):
            net.add_balancer()
        net.run(3000)
        net.configuration = packet_network.configuration(2)
        first = next(
            host
            for host in net.balancers.values()
            if host.core.is_sentinel(net.now_ms)
        )
        net.read_configuration(first)
        noticed_ms = silent_ms(_packet_balancer.SENTINEL_CONFIGURATION_WAIT_MS)
        net.run(round(CONTACT_MS - noticed_ms))
        versions = [
            h.core.configuration.version for h in net.balancers.values()
        ]
        assert versions == [2] * count


class _PoolOfSilentStore:
    """Connection pool of a store that is silent for some calls.

    Attributes:
        timeouts_s: Read timeouts of the calls.
        silent_calls: Number of calls that will not be answered.
    """

    headers: dict[str, str] = {}

    def __init__(self, silent_calls: int) -> None:
        self.timeouts_s: list[float] = []
        self.silent_calls = silent_calls

    def clear(self) -> None:
        """Closes no connections."""

    def request(
        self, method: str, url: str, *, timeout: urllib3.Timeout, **rest: Any
    ) -> urllib3.HTTPResponse:
        """Answers with an empty list, or not in time."""
        self.timeouts_s.append(float(timeout.read_timeout or 0))
        if len(self.timeouts_s) <= self.silent_calls:
            raise urllib3.exceptions.ReadTimeoutError(
                urllib3.HTTPConnectionPool("store"), url, "silent"
            )
        return urllib3.HTTPResponse(b'{"items":[],"CurrentRev":5}', status=200)


class TestFirstCalls:
    """Calls of daemons that start while the store is silent."""

    # Guards against daemons without a configuration for 3 s after the store's
    # return, because their first call waits on a dead connection.
    def test_first_attempts_are_short(self) -> None:
        """Each further attempt gets twice the time."""
        client = store.Store(
            "http://10.0.0.1:1",
            calls_per_s=1000,
            first_read_timeout_s=store.FIRST_READ_TIMEOUT_S,
        )
        pool = _PoolOfSilentStore(silent_calls=4)
        client._pool = pool  # noqa: SLF001
        for _ in range(4):
            with pytest.raises(errors.PlatformUnavailableError):
                client.list_kind("kind")
        client.list_kind("kind")
        client.list_kind("kind")
        assert pool.timeouts_s == [0.5, 1.0, 2.0, 3.0, 3.0, 0.5]
