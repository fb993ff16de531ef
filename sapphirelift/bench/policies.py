"""Policies that a scenario can run under: the product and its baselines.

A baseline replaces one part of the product by a simpler one. Agents read it
from settings whose names begin with ``experiment_``, which exist only for
measurements.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """A choice of placement, ramp-up, retry budget and reply cache.

    Attributes:
        placement: Name in ``baselines.BASELINES``; empty for the product's
            own placement.
        has_ramp: Whether agents ramp up after a start.
        has_retry_budget: Whether a budget limits the callers' retries.
        has_reply_cache: Whether agents keep requests after their response
            has been acknowledged.
    """

    name: str
    placement: str = ""
    has_ramp: bool = True
    has_retry_budget: bool = True
    has_reply_cache: bool = True

    def backend_settings(self) -> dict[str, object]:
        """Returns the experiment settings of an agent."""
        settings: dict[str, object] = {}
        if self.placement:
            settings["experiment_placement"] = self.placement
        if not self.has_reply_cache:
            settings["experiment_forgets_replies"] = True
        return settings


PRODUCT = Policy("product")
POLICIES = {
    policy.name: policy
    for policy in (
        PRODUCT,
        Policy("random", placement="random"),
        Policy("round_robin", placement="round_robin"),
        Policy("plain_hash", placement="plain_hash"),
        Policy("least_loaded_stale", placement="least_loaded_stale"),
        Policy("no_ramp", has_ramp=False),
        Policy("no_retry_budget", has_retry_budget=False),
        Policy("no_reply_cache", has_reply_cache=False),
    )
}
