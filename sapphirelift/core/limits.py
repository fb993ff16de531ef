"""Bounds of an agent's tables and times."""

from typing import NamedTuple


class AgentLimits(NamedTuple):
    """Bounds of an agent's tables and times.

    Attributes:
        max_requests_per_flow: Unfinished requests of one flow.
        replies_per_flow: Finished requests kept for one flow.
        assembly_bytes: Bodies of requests that have not been started; one
            flow may use a quarter.
        assembly_timeout_ms: Time without a new fragment after which an
            incomplete request expires.
        experiment_forgets_replies: Forgets finished requests, which breaks
            at-most-once execution; for measurements only.
    """

    slots: int = 4
    max_flows: int = 2000
    max_requests_per_flow: int = 64
    queue_requests: int = 256
    reply_cache_bytes: int = 16 << 20
    reply_cache_ttl_ms: int = 30_000
    replies_per_flow: int = 1024
    assembly_bytes: int = 32 << 20
    assembly_timeout_ms: int = 5000
    caller_slot_share: float = 0.5
    initial_share: float = 1.0
    ramp_ms: int = 0
    flow_idle_timeout_ms: int = 60_000
    move_within_ms: int = 10_000
    move_repeat_ms: int = 500
    experiment_forgets_replies: bool = False
