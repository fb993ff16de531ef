"""Service fields that rules and exceptions can set."""

import math
from collections.abc import Mapping
from typing import NamedTuple


class Field(NamedTuple):
    """One field that rules can set.

    Attributes:
        default: Value if no rule or exception sets the field.
        minimum: Lowest valid value.
        maximum: Highest valid value.
        is_integer: Whether only whole numbers are valid.
        v1_name: Name in schema version 1.
        v1_scale: Factor from the unit of schema version 1 to that of
            version 2, for example 1000 from seconds to milliseconds.
    """

    default: float
    minimum: float
    maximum: float
    is_integer: bool
    v1_name: str
    v1_scale: int


_DAY_MS = 86_400_000
FIELDS: dict[str, Field] = {
    "cold_start.initial_share": Field(0.1, 0.01, 1.0, False, "cold_share", 1),
    "cold_start.ramp_ms": Field(10_000, 0, _DAY_MS, True, "ramp_s", 1000),
    "fairness.caller_slot_share": Field(
        0.5, 0.01, 1.0, False, "caller_share", 1
    ),
    # Callers ping once a second and abandon a flow after 6 s of silence; a
    # shorter timeout at the agent would break flows whose pings were lost.
    "flows.idle_timeout_ms": Field(
        60_000, 10_000, _DAY_MS, True, "idle_s", 1000
    ),
    "flows.max_per_target": Field(2000, 1, 1_000_000, True, "max_flows", 1),
    "requests.reply_cache_ttl_ms": Field(
        30_000, 1000, _DAY_MS, True, "reply_ttl_s", 1000
    ),
}
BY_V1_NAME = {field.v1_name: name for name, field in FIELDS.items()}


def problem(values: Mapping[str, float]) -> str | None:
    """Returns a description of the first invalid value, None if all are valid.

    >>> problem({"cold_start.ramp_ms": 500})
    >>> problem({"cold_start.ramp_ms": -1})
    '`cold_start.ramp_ms` must be between 0 and 86400000'
    >>> problem({"ramp": 1})
    "unknown field 'ramp'"
    """
    for name, value in values.items():
        field = FIELDS.get(name)
        if field is None:
            return f"unknown field {name!r}"
        # The range check runs first because it rejects infinity and NaN.
        if not field.minimum <= value <= field.maximum:
            low, high = field.minimum, field.maximum
            return f"`{name}` must be between {low} and {high}"
        if field.is_integer and value != math.floor(value):
            return f"`{name}` must be a whole number"
    return None
