"""The platform client, tested against the platform stand-in."""

import random
import threading
import time
from typing import Any

import pytest

from sapphirelift import errors
from sapphirelift.core.requests import backoff
from sapphirelift.core.requests import rate_limit
from sapphirelift.platform import client
from sapphirelift.platform import store
from tests import processes

KEY = "records/service/catalogue"


def start_platform_and_client(fleet: processes.Fleet) -> client.ObjectClient:
    """Starts the platform stand-in and returns a client."""
    fleet.start_platform()
    return client.ObjectClient(fleet.platform_url, calls_per_s=100)


def set_faults(fleet: processes.Fleet, **faults: Any) -> None:
    """Sets the faults that the platform stand-in injects."""
    processes.post_json(fleet.platform_port, "/faults", faults)


class _LostAnswerStore(store.Store):
    """Drops the answers to all writes.

    Attributes:
        before_read_back: Runs after each write, before the client reads back.
    """

    before_read_back: Any = None

    def _call(self, call: str, *args: Any, **options: Any) -> Any:
        answer = super()._call(call, *args, **options)
        if call in ("put", "delete"):
            if self.before_read_back is not None:
                self.before_read_back()
            raise errors.PlatformUnavailableError("answer lost")
        return answer


class TestLostAnswers:
    """Writes and deletions whose answers are lost."""

    def test_write_and_deletion_are_recognised(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against a false conflict or a repeat of the client's write."""
        platform = start_platform_and_client(fleet)
        set_faults(fleet, lose_write_answers=1)
        revision = platform.put(KEY, {"a": 1}, expected_revision=0)
        current = platform.get(KEY)
        assert current is not None
        assert current.revision == revision
        set_faults(fleet, lose_write_answers=1)
        platform.delete(KEY, expected_revision=revision)
        assert platform.get(KEY) is None

    def test_write_overwritten_by_another_is_unknown(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against success or conflict reported without proof."""
        other = start_platform_and_client(fleet)
        platform = new_client(fleet)
        lossy_store = _LostAnswerStore(fleet.platform_url, calls_per_s=100)
        platform.store = lossy_store
        lossy_store.before_read_back = lambda: other.put(KEY, {"a": 2})
        with pytest.raises(errors.WriteUnknownError):
            platform.put(KEY, {"a": 1}, expected_revision=0)
        current = other.get(KEY)
        assert current is not None
        with pytest.raises(errors.WriteUnknownError):
            platform.delete(KEY, expected_revision=current.revision)
        lossy_store.before_read_back = lambda: other.delete(KEY)
        with pytest.raises(errors.WriteUnknownError):
            platform.put(KEY, {"a": 3})

    def test_deletion_by_another_is_unknown(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against another's deletion mistaken for the client's own."""
        other = start_platform_and_client(fleet)
        revision = other.put(KEY, {"a": 1})
        platform = client.ObjectClient(fleet.platform_url, calls_per_s=100)

        def fail(kind: str, *args: Any, **options: Any) -> Any:
            if kind == "get":
                return call(kind, *args, **options)
            other.delete(KEY)
            platform.store._call = call  # type: ignore[method-assign]
            raise errors.PlatformUnavailableError("call lost")

        call = platform.store._call
        platform.store._call = fail  # type: ignore[method-assign]
        with pytest.raises(errors.WriteUnknownError):
            platform.delete(KEY, expected_revision=revision)

    def test_outage_while_reading_back_is_unknown(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against reporting a write as failed that may have worked."""
        platform = start_platform_and_client(fleet)
        set_faults(fleet, down=True)
        with pytest.raises(errors.WriteUnknownError):
            platform.put(KEY, {"a": 1})
        assert platform.calls == {
            "put": 1,
            "read_back": client.MAX_READ_BACK_ATTEMPTS,
        }
        assert platform.failures == platform.calls


class TestWatch:
    """Watches for changes."""

    def test_silent_watch_ends_and_a_new_one_works(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against an endless wait on a dead connection."""
        platform = start_platform_and_client(fleet)
        set_faults(fleet, silent_watches=1)
        started_s = time.monotonic()
        with pytest.raises(errors.PlatformUnavailableError):
            platform.watch("records/", since=1, wait_ms=1000)
        assert time.monotonic() - started_s < 5
        timer = threading.Timer(
            0.3, new_client(fleet).put, args=(KEY, {"a": 1})
        )
        timer.start()
        listing = platform.watch("records/", since=1, wait_ms=2000)
        timer.join()
        assert [item.key for item in listing.objects] == [KEY]

    def test_gap_in_history_gives_the_full_list(
        self, fleet: processes.Fleet
    ) -> None:
        """Guards against missed changes that the history no longer holds."""
        platform = start_platform_and_client(fleet)
        for number in range(5):
            platform.put(f"records/service/s{number}", {})
        assert not platform.watch("records/", since=2, wait_ms=0).complete
        set_faults(fleet, history_changes=2)
        listing = platform.watch("records/", since=2, wait_ms=0)
        assert listing.complete
        assert len(listing.objects) == 5


def new_client(fleet: processes.Fleet) -> client.ObjectClient:
    """Returns a new client of the running stand-in."""
    return client.ObjectClient(fleet.platform_url)


class TestRates:
    """Rate limit and back-off of calls to the platform."""

    def test_bucket_permits_burst_then_rate(self) -> None:
        """Guards against a loop that floods the platform."""
        bucket = rate_limit.TokenBucket(rate_per_s=2, burst=3)
        delays = [bucket.reserve_ms(now_ms=0) for _ in range(5)]
        assert delays == [0, 0, 0, 500, 1000]
        assert bucket.reserve_ms(now_ms=60_000) == 0

    def test_client_keeps_to_its_rate(self, fleet: processes.Fleet) -> None:
        """Guards against a limit that is computed but not applied."""
        fleet.start_platform()
        platform = client.ObjectClient(fleet.platform_url, calls_per_s=10)
        started_s = time.monotonic()
        for _ in range(client.BURST_CALLS + 5):
            platform.get(KEY)
        assert time.monotonic() - started_s >= 0.4
        calls = processes.get_json(fleet.platform_port, "/calls")
        assert calls["GET"] == platform.calls["get"]

    def test_back_off_grows_with_jitter(self) -> None:
        """Guards against clients that retry at the same moments."""
        delays = backoff.Backoff(random.Random(1), min_s=1, max_s=4)
        drawn_delays = [delays.next_s() for _ in range(6)]
        assert len(set(drawn_delays)) == 6
        assert all(
            limit / 2 <= delay <= limit
            for limit, delay in zip(
                (1, 2, 4, 4, 4, 4), drawn_delays, strict=True
            )
        )
