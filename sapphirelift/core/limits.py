"""Size and time limits of an agent."""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple


class AgentLimits(NamedTuple):
    """Size and time limits of an agent.

    Attributes:
        max_requests_per_flow: Maximum of unfinished requests per flow.
        replies_per_flow: Maximum of finished requests kept per flow.
        assembly_bytes: Maximum of body bytes of requests that have not been
            started; one flow may use a quarter of it.
        assembly_timeout_ms: Time without a new fragment after which an
            incomplete request expires.
        drain_silence_ms: Time without a packet after which a draining agent
            closes an idle flow; callers ping at least once a second.
        key_move_interval_ms: Interval between MOVEs for a key rotation. At two
            a second, the 2,000 flows of a full agent move in 1,000 s, and
            7,000 agents cause 14,000 OPENs a second, 27% of the 51,000 that
            the system is designed for.
        key_move_repeat_ms: Time after which the MOVE is sent again to a flow
            that has not moved, because it may have been lost.
        experiment_forgets_replies: Drops the state of finished requests, which
            breaks at-most-once execution; for measurements only.
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
    drain_silence_ms: int = 5000
    move_within_ms: int = 10_000
    move_repeat_ms: int = 500
    key_move_interval_ms: int = 500
    key_move_repeat_ms: int = 10_000
    experiment_forgets_replies: bool = False


# Limits that records can override, by the name of the field in the records.
LIMIT_NAME_BY_FIELD = {
    "cold_start.initial_share": "initial_share",
    "cold_start.ramp_ms": "ramp_ms",
    "fairness.caller_slot_share": "caller_slot_share",
    "flows.idle_timeout_ms": "flow_idle_timeout_ms",
    "flows.max_per_target": "max_flows",
    "requests.reply_cache_ttl_ms": "reply_cache_ttl_ms",
}
_SHARES = ("initial_share", "caller_slot_share")


def with_records(
    settings: AgentLimits,
    values: Mapping[str, float],
    source: Mapping[str, str],
) -> AgentLimits:
    """Returns the settings overridden by the values of the records.

    Args:
        settings: Limits from the agent's settings.
        values: Effective values by field name.
        source: Source of each value by field name; ``default`` keeps the
            value of the settings.
    """
    changes: dict[str, Any] = {
        name: values[field] if name in _SHARES else int(values[field])
        for field, name in LIMIT_NAME_BY_FIELD.items()
        if source[field] != "default"
    }
    return settings._replace(**changes)
