"""Tests of the comparison of two ways to find a flow's owner."""

from sapphirelift.bench import owner_search


class TestOwnerSearch:
    """Asking all agents, compared with a chain of agents."""

    def test_asking_is_faster_with_a_dead_agent(self) -> None:
        """Guards against a search that delays callers more than a chain."""
        asking = owner_search.measure(50, is_chain=False, dead=1)
        chain = owner_search.measure(50, is_chain=True, dead=1)
        assert asking.unanswered == chain.unanswered == 0
        assert asking.astray == chain.astray == 0
        assert asking.extra_hops < chain.extra_hops
        assert asking.answer_ms < chain.answer_ms
        assert asking.slowest_ms < chain.slowest_ms
