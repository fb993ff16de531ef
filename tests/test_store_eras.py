"""Client of the store across the store's return from an older copy."""

import itertools
import json
from typing import Any
from typing import NamedTuple

import eventlet
import pytest

from sapphirelift import errors
from sapphirelift.core import revisions
from sapphirelift.platform import store
from tests import processes

KIND = "config"


def post(fleet: processes.Fleet, path: str) -> None:
    """Copies or restores the store."""
    processes.post_json(fleet.platform_port, path, {})


@pytest.fixture
def restorable(fleet: processes.Fleet) -> store.Store:
    """A store with an object ``main``, and a copy of this state."""
    fleet.start_platform()
    client = store.Store(fleet.platform_url, calls_per_s=1000)
    client.create(KIND, "main", 0)
    post(fleet, "/copy")
    return client


class TestRevisions:
    """Revisions that the store gives out again."""

    def test_state_after_the_return_is_newer(
        self, fleet: processes.Fleet, restorable: store.Store
    ) -> None:
        """Guards against changes that look older than those of before."""
        for value in range(1, 4):
            before = restorable.replace(KIND, "main", value)
        post(fleet, "/restore")
        restored = restorable.list_kind(KIND)
        assert restored.revision > before.revision
        assert restored.objects[0].value == 0
        after = restorable.replace(KIND, "main", 9)
        assert after.revision > restored.objects[0].revision
        assert revisions.store_revision_of(
            after.revision
        ) < revisions.store_revision_of(before.revision)
        assert (restorable.era, restorable.restores) == (1, 1)

    def test_condition_on_a_revision_given_out_again(
        self, fleet: processes.Fleet, restorable: store.Store
    ) -> None:
        """Guards against two writers that both hold a lease."""
        written = restorable.replace(KIND, "main", 1)
        post(fleet, "/restore")
        other = store.Store(fleet.platform_url)
        again = other.replace(KIND, "main", 2)
        assert revisions.store_revision_of(again.revision) == written.revision
        # The client has not seen the new era before the answer.
        with pytest.raises(errors.StoreRestoredError):
            restorable.replace(KIND, "main", 3, revision=written.revision)
        with pytest.raises(errors.StoreRestoredError):
            restorable.delete(KIND, "main", revision=written.revision)
        newest = other.get(KIND, "main")
        assert newest is not None
        other.replace(KIND, "main", 4, revision=newest.revision)


class TestWatch:
    """Watches that the store's return overtakes."""

    def test_revision_given_out_again_is_not_resumed(
        self, fleet: processes.Fleet, restorable: store.Store
    ) -> None:
        """Guards against changes below a resumed revision that are missed."""
        since = restorable.replace(KIND, "main", 1).revision
        post(fleet, "/restore")
        other = store.Store(fleet.platform_url)
        for value in (2, 3, 4):
            other.replace(KIND, "main", value)
        assert restorable.watch(KIND, since=since, wait_ms=0) is None
        # Without a call, because the era is known now.
        calls = restorable.calls["watch"]
        assert restorable.watch(KIND, since=since, wait_ms=0) is None
        assert restorable.calls["watch"] == calls

    @pytest.mark.parametrize("source", ["answer", "other_daemon"])
    def test_waiting_watch_ends_when_the_era_is_known(
        self, source: str
    ) -> None:
        """Guards against a watch that waits in a history that has ended."""
        client, pool = new_client([("1", listing("a")), ("2", listing("a"))])
        since = client.list_kind(KIND).revision
        watching = eventlet.spawn(
            client.watch, KIND, since=since, wait_ms=60_000
        )
        eventlet.sleep(0.01)
        assert pool.waiting == 1
        if source == "answer":
            assert client.list_kind(KIND).revision > since
        else:
            client.expect_era(2)
        with eventlet.Timeout(2):
            assert watching.wait() is None

    def test_era_of_another_daemon_ends_a_watch_once(self) -> None:
        """Guards against watches that a wrong peer ends again and again."""
        client, pool = new_client([("1", listing("a"))])
        since = client.list_kind(KIND).revision
        client.expect_era(2)
        watching = eventlet.spawn(
            client.watch, KIND, since=since, wait_ms=60_000
        )
        eventlet.sleep(0.01)
        client.expect_era(2)
        eventlet.sleep(0.01)
        assert pool.waiting == 1
        watching.kill()


class _Response(NamedTuple):
    """Answer of the fake connection pool."""

    status: int
    headers: dict[str, str]
    data: bytes


class _FakePool:
    """Connection pool with the given answers; watches wait forever.

    Attributes:
        waiting: Number of watches that wait.
    """

    def __init__(self, answers: list[tuple[str | None, Any]]) -> None:
        self.headers: dict[str, str] = {}
        self.waiting = 0
        self._answers = itertools.cycle(answers)

    def request(self, method: str, url: str, **options: Any) -> _Response:
        """Returns the next answer."""
        del method, options
        if "Watch=" in url:
            self.waiting += 1
            try:
                eventlet.sleep(60)
            finally:
                self.waiting -= 1
        era, body = next(self._answers)
        headers = {} if era is None else {"Store-Era": era}
        return _Response(200, headers, json.dumps(body).encode())


def new_client(
    answers: list[tuple[str | None, Any]],
) -> tuple[store.Store, _FakePool]:
    """Returns a client that gets the given eras and bodies as answers."""
    client = store.Store("http://127.0.0.1:1", calls_per_s=1000)
    pool = _FakePool(answers)
    client._pool = pool
    return client, pool


def listing(*names: str, has_more: bool = False) -> dict[str, Any]:
    """Returns the body of a list at revision 5."""
    items = [{"meta": {"Name": name, "Revision": 5}} for name in names]
    return {"items": items, "HasMore": has_more, "CurrentRev": 5}


class TestAnswers:
    """Answers with unexpected eras."""

    @pytest.mark.parametrize(
        "eras",
        [
            ["x"],
            ["-1"],
            ["9" * 5000],
            ["99999999"],
            ["1", "2"],
        ],
        ids=["text", "negative", "long", "too_great", "two_pages"],
    )
    def test_unusable_era_is_no_answer(self, eras: list[str]) -> None:
        """Guards against a crash, or a list of two states, after odd eras."""
        first = (eras[0], listing("a", has_more=len(eras) == 2))
        client, _ = new_client([first, *((e, listing()) for e in eras[1:])])
        with pytest.raises(errors.PlatformUnavailableError):
            client.list_kind(KIND)

    def test_answer_of_an_earlier_era_is_refused(self) -> None:
        """Guards against a delayed answer that takes a change back."""
        client, _ = new_client([("2", listing("a")), ("1", listing())])
        assert client.list_kind(KIND).objects
        with pytest.raises(errors.PlatformUnavailableError):
            client.list_kind(KIND)

    @pytest.mark.parametrize("era", [None, "0", "1"])
    def test_any_first_era_is_an_answer(self, era: str | None) -> None:
        """Guards against a store that counts from 0 or names no era."""
        client, _ = new_client([(era, listing("a"))])
        revision = client.list_kind(KIND).revision
        assert revision == revisions.of_store(5, era=int(era or 0))
        assert client.restores == 0
