"""Bounds of an agent's tables and times."""

from typing import NamedTuple


class AgentLimits(NamedTuple):
    """Bounds of an agent's tables and times."""

    slots: int = 4
    max_flows: int = 2000
    max_requests_per_flow: int = 64
    queue_requests: int = 256
    reply_cache_bytes: int = 16 << 20
    reply_cache_ttl_ms: int = 30_000
    flow_idle_timeout_ms: int = 60_000
    move_within_ms: int = 10_000
    move_repeat_ms: int = 500
