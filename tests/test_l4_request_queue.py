"""Which of the requests that wait for a backend server goes next."""

import pytest

from sapphirelift.core.l4 import request_queue

BOOKING = 0
STREAM = 2


class Server:
    """A queue of ``caller``/``number`` keys before a server with one slot."""

    def __init__(self) -> None:
        self.work_ms: dict[str, float] = {}
        self.queue: request_queue.RequestQueue[str, str] = (
            request_queue.RequestQueue(
                lambda key: self.work_ms.get(key.split("/")[0], 50)
            )
        )

    def push(
        self,
        key: str,
        priority: int = STREAM,
        *,
        now_ms: int = 0,
        timeout_ms: int = 5000,
    ) -> None:
        """Adds a request of the caller that its key begins with."""
        demand = request_queue.Demand(
            key.split("/")[0], priority, now_ms, timeout_ms
        )
        self.queue.push(key, demand, now_ms)

    def pop_all(self, now_ms: int = 1) -> list[str]:
        """Takes all that wait at one time."""
        return [self.queue.pop(now_ms) or "" for _ in range(len(self.queue))]


class TestOrder:
    """Priority, time limit, share, order."""

    def test_streams_do_not_crowd_out_bookings(self) -> None:
        """Bookings come while many streams wait."""
        server = Server()
        for number in range(20):
            server.push(f"s{number}/1")
        server.push("b/1", BOOKING)
        server.push("b/2", BOOKING)
        assert server.pop_all()[:3] == ["b/1", "b/2", "s0/1"]

    def test_what_is_too_late_goes_last(self) -> None:
        """Work for callers that will have given up delays no one else."""
        server = Server()
        server.push("b/late", BOOKING, timeout_ms=1200)
        server.push("s/1", now_ms=1100)
        server.push("b/known", BOOKING, now_ms=1100)
        server.push("b/unknown", BOOKING, now_ms=1100, timeout_ms=0)
        assert server.pop_all(1151) == ["b/known", "b/unknown", "s/1", "b/late"]
        assert server.pop_all() == []

    def test_busy_caller_gets_one_share(self) -> None:
        """One caller has forty requests waiting, nine others have one each."""
        server = Server()
        for number in range(40):
            server.push(f"busy/{number}")
        for number in range(9):
            server.push(f"quiet{number}/1")
        first = server.pop_all()[:10]
        assert sum(key.startswith("quiet") for key in first) == 9

    def test_share_is_of_work(self) -> None:
        """A caller of long requests waits for the short ones of another."""
        server = Server()
        for number in range(9):
            server.push(f"long/{number}")
            server.push(f"short/{number}")
        # Known only by the time of the choice.
        server.work_ms = {"long": 100, "short": 25}
        first = server.pop_all()[:10]
        assert sum(key.startswith("short") for key in first) == 8

    def test_least_urgent_is_the_last(self) -> None:
        """A full queue lets go what would have gone last."""
        server = Server()
        server.push("b/1", BOOKING)
        server.push("s/1")
        server.push("s/2")
        assert server.queue.pop_least_urgent(1) == "s/2"
        assert server.pop_all() == ["b/1", "s/1"]


class TestAging:
    """Priorities below one that alone would fill the server."""

    @pytest.mark.parametrize("timeout_ms", [800, 5000])
    def test_lower_priority_has_turns(self, timeout_ms: int) -> None:
        """Bookings fill the server for ten seconds, and a stream waits."""
        server = Server()
        sent_ms = []
        for now_ms in range(0, 10_000, 50):
            server.push(f"b/{now_ms}", BOOKING, now_ms=now_ms)
            server.push(f"s/{now_ms}", now_ms=now_ms, timeout_ms=timeout_ms)
            for key in server.queue.given_up(now_ms):
                server.queue.remove(key)
            if (server.queue.pop(now_ms) or "").startswith("s"):
                sent_ms.append(now_ms)
        gaps_ms = [b - a for a, b in zip([0, *sent_ms], sent_ms, strict=False)]
        bound_ms = min(request_queue.MAX_SILENCE_MS, timeout_ms // 2)
        assert max(gaps_ms) == min(gaps_ms) == bound_ms

    def test_given_up(self) -> None:
        """Callers give up at the time limit, if it is known."""
        server = Server()
        server.push("s/1", timeout_ms=1200)
        server.push("s/2", timeout_ms=0)
        assert server.queue.given_up(1199) == []
        assert server.queue.given_up(1200) == ["s/1"]
        assert server.queue.unlimited(0) == ["s/2"]

    def test_remembered_callers_are_bounded(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Many callers send one request each while the server is full."""
        monkeypatch.setattr(request_queue, "MAX_CALLERS", 4)
        server = Server()
        server.push("busy/1")
        for number in range(50):
            server.push(f"c{number}/1")
            server.queue.pop(number)
            (priority,) = server.queue._priorities.values()
            assert len(priority.ends) <= 4
