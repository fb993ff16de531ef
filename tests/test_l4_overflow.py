"""Flows that leave a data centre without room for them."""

from tests import placed_flows

IS_ON = True
CENTRES = ("a", "b", "c")
AGENTS = 4


class _Day:
    """Three data centres with four agents each, seen by one balancer."""

    def __init__(self, *, own: str = "a") -> None:
        self.flows = placed_flows.Flows(data_centre=own, is_on=IS_ON)

    def play(
        self,
        loads: dict[str, float],
        duration_ms: int,
        *,
        silent: tuple[str, ...] = (),
    ) -> dict[str, float]:
        """Lets agents report loads; returns where flows go at the end."""
        for _ in range(max(duration_ms // 400, 1)):
            self.flows.now_ms += min(duration_ms, 400)
            for centre in CENTRES:
                for index in range(AGENTS):
                    name = f"agent-{1 + CENTRES.index(centre) * 10 + index}"
                    if centre not in silent and centre in loads:
                        self.flows.beat(
                            name,
                            data_centre=centre,
                            flows=10,
                            busy=loads[centre],
                        )
            self.flows.rank()
        return self.flows.place_in_centres()


class TestOverflow:
    """The share of flows that leave, and where they go."""

    def test_flows_stay_while_there_is_room(self) -> None:
        """Busy at home, idle elsewhere: bytes between them are expensive.

        A request in progress for each slot more was enough before.
        """
        shares = _Day().play({"a": 1.3, "b": 0.0, "c": 0.0}, 4000)
        assert shares == {"a": 1.0}

    def test_tripled_callers_go_out_and_come_back(self) -> None:
        """Callers of a data centre triple for some seconds.

        A third of the load is more than home has room for; after the wave
        all flows come home within seconds.
        """
        day = _Day()
        usual = {"a": 0.6, "b": 0.5, "c": 0.5}
        assert day.play(usual, 4000) == {"a": 1.0}
        shares = day.play({**usual, "a": 3.0}, 2000)
        assert 0.2 < shares["a"] < 0.7
        assert shares["b"] > 0.1
        assert shares["c"] > 0.1
        assert day.play({**usual, "a": 0.6}, 15_000) == {"a": 1.0}
        assert day.flows.logged == ["overflow_began", "overflow_ended"]
        assert day.flows.counters["opens_overflowed"] > 0

    def test_excess_leaves_at_once_when_all_are_full(self) -> None:
        """Callers come within 100 ms; averages do not show them yet."""
        day = _Day()
        usual = {"a": 0.6, "b": 0.5, "c": 0.5}
        day.play(usual, 4000)
        shares = day.play({**usual, "a": 3.0}, 100)
        assert day.flows.logged == []
        assert 0.3 < shares["a"] < 0.7

    def test_share_is_kept_between_the_two_loads(self) -> None:
        """The load falls because flows leave: they must not come back yet."""
        day = _Day()
        usual = {"a": 3.0, "b": 0.2, "c": 0.2}
        before = day.play(usual, 2000)["a"]
        after = day.play({**usual, "a": 1.25}, 6000)["a"]
        assert before < 0.7
        assert abs(after - before) < 0.15

    def test_unequal_neighbours_get_flows_by_their_room(self) -> None:
        """One neighbour has room for three times as much as the other."""
        shares = _Day().play({"a": 3.0, "b": 0.1, "c": 0.7}, 2000)
        assert 2.0 < shares["b"] / shares["c"] < 4.5

    def test_full_neighbours_get_none(self) -> None:
        """A shortage everywhere: to send flows away helps nobody."""
        shares = _Day().play({"a": 4.0, "b": 1.2, "c": 1.5}, 4000)
        assert shares == {"a": 1.0}

    def test_callers_that_move_are_followed(self) -> None:
        """Callers go from data centre a to b; each overflows in its turn."""
        days = {own: _Day(own=own) for own in ("a", "b")}
        for crowded, other in (("a", "b"), ("b", "a")):
            loads = {crowded: 3.0, other: 0.3, "c": 0.5}
            shares = {own: day.play(loads, 12_000) for own, day in days.items()}
            assert 0.05 < shares[crowded][crowded] < 0.7
            assert shares[other] == {other: 1.0}

    def test_silent_neighbours_have_no_room(self) -> None:
        """News of a neighbour is a second old: it may be full meanwhile."""
        day = _Day()
        day.play({"a": 0.5, "b": 0.2, "c": 0.2}, 2000)
        loads = {"a": 3.0, "b": 0.2, "c": 0.2}
        shares = day.play(loads, 1200, silent=("b",))
        assert shares["a"] < 0.9
        assert "b" not in shares
        assert shares["c"] > 0.1

    def test_data_centre_without_servers_spreads_its_flows(self) -> None:
        """All servers at home are gone: flows go to the others by room."""
        shares = _Day(own="a").play({"b": 0.1, "c": 0.7}, 2000)
        assert set(shares) == {"b", "c"}
        assert 2.0 < shares["b"] / shares["c"] < 4.5
