"""Conversion of records between schema versions 1 and 2."""

import math
from typing import Any

import result

from sapphirelift import errors
from sapphirelift.core.records import fields

_SERVICE_V1_NAMES = {
    "routing": "mode",
    "datagram_port": "udp_port",
    "tcp_port": "tcp_port",
}
_ROUTING = {"token": "token", "hand_on": "hash"}
_ROUTING_FROM_V1 = {v1: v2 for v2, v1 in _ROUTING.items()}
_COMMON_FIELDS = ("kind", "name")
# Fields of version 2 that version 1 stores in ``extensions``.
_EXTENSION_FIELDS: dict[str, frozenset[str]] = {
    "service": frozenset({"labels", "overrides"}),
    "data_centre": frozenset({"reason"}),
    "branch_policy": frozenset({"data_centres"}),
}
# Fields of version 2 that have a different name in version 1.
_RENAMED_IN_V1 = {"data_centre": {"withdrawn"}, "branch_policy": {"locked"}}


def upgrade(
    value: dict[str, Any],
) -> result.Result[dict[str, Any], errors.RecordError]:
    """Converts a record from version 1 to version 2."""
    rest = dict(value)
    del rest["schema_version"]
    extensions = rest.pop("extensions", {})
    if not isinstance(extensions, dict):
        return result.Err(_invalid("`extensions` must be an object"))
    upgraded: dict[str, Any] = {"schema_version": 2}
    for name in _COMMON_FIELDS:
        if name in rest:
            upgraded[name] = rest.pop(name)
    kind = str(upgraded.get("kind"))
    allowed = _EXTENSION_FIELDS.get(kind, frozenset())
    unexpected = sorted(map(str, extensions.keys() - allowed))
    unexpected += sorted(
        (allowed | _RENAMED_IN_V1.get(kind, set())) & rest.keys()
    )
    if unexpected:
        return result.Err(_invalid(f"unknown field {unexpected[0]!r}"))
    try:
        upgraded |= _upgrade_body(kind, rest)
    except (TypeError, ValueError) as error:
        return result.Err(_invalid(str(error)))
    return result.Ok(upgraded | extensions)


def _upgrade_body(kind: str, rest: dict[str, Any]) -> dict[str, Any]:
    match kind:
        case "service":
            return _upgrade_service(rest)
        case "data_centre":
            if "out" in rest:
                rest["withdrawn"] = rest.pop("out")
            return rest
        case "branch_policy":
            if "fixed" in rest:
                rest["locked"] = [_field_name(n) for n in rest.pop("fixed")]
            rest["rules"] = _values_from_v1(rest.pop("rules", {}))
            return rest
    return rest


def _upgrade_service(rest: dict[str, Any]) -> dict[str, Any]:
    upgraded: dict[str, Any] = {}
    if "branch" in rest:
        upgraded["branch"] = rest.pop("branch")
    for name, v1_name in _SERVICE_V1_NAMES.items():
        if v1_name in rest:
            upgraded[name] = rest.pop(v1_name)
    if "routing" in upgraded:
        mode = upgraded["routing"]
        if mode not in _ROUTING_FROM_V1:
            raise ValueError(f"`mode` must be one of {list(_ROUTING_FROM_V1)}")
        upgraded["routing"] = _ROUTING_FROM_V1[mode]
    if rest:
        upgraded["overrides"] = _values_from_v1(rest)
    return upgraded


def downgrade(value: dict[str, Any]) -> dict[str, Any]:
    """Converts a record from version 2 to version 1."""
    rest = dict(value)
    del rest["schema_version"]
    downgraded: dict[str, Any] = {"schema_version": 1}
    for name in _COMMON_FIELDS:
        downgraded[name] = rest.pop(name)
    extensions: dict[str, Any] = {}
    match downgraded["kind"]:
        case "service":
            downgraded |= _downgrade_service(rest, extensions)
        case "data_centre":
            downgraded["out"] = rest.pop("withdrawn")
            extensions |= _pop_field(rest, "reason")
            downgraded |= rest
        case "branch_policy":
            downgraded |= _downgrade_policy(rest, extensions)
        case _:
            downgraded |= rest
    if extensions:
        downgraded["extensions"] = extensions
    return downgraded


def _downgrade_service(
    rest: dict[str, Any], extensions: dict[str, Any]
) -> dict[str, Any]:
    downgraded: dict[str, Any] = {"branch": rest["branch"]}
    for name, v1_name in _SERVICE_V1_NAMES.items():
        if name in rest:
            downgraded[v1_name] = rest[name]
    if "mode" in downgraded:
        downgraded["mode"] = _ROUTING[downgraded["mode"]]
    overrides = rest.get("overrides")
    if overrides:
        downgraded |= _values_to_v1(overrides)
    elif overrides is not None:
        # The flat fields of version 1 cannot express empty ``overrides``.
        extensions["overrides"] = {}
    extensions |= _pop_field(rest, "labels")
    return downgraded


def _downgrade_policy(
    rest: dict[str, Any], extensions: dict[str, Any]
) -> dict[str, Any]:
    downgraded: dict[str, Any] = {"rules": _values_to_v1(rest["rules"])}
    if "locked" in rest:
        downgraded["fixed"] = [fields.FIELDS[n].v1_name for n in rest["locked"]]
    extensions |= _pop_field(rest, "data_centres")
    return downgraded


def _pop_field(rest: dict[str, Any], name: str) -> dict[str, Any]:
    return {name: rest.pop(name)} if name in rest else {}


def _field_name(v1_name: Any) -> str:
    name = fields.BY_V1_NAME.get(v1_name)
    if name is None:
        raise ValueError(f"unknown field {v1_name!r}")
    return name


def _values_from_v1(values: Any) -> dict[str, float | int]:
    """Converts values by name.

    Raises:
        ValueError: A name is unknown or a value is invalid.
    """
    if not isinstance(values, dict):
        raise ValueError("`rules` must be an object")
    converted: dict[str, float | int] = {}
    for v1_name, value in values.items():
        name = _field_name(v1_name)
        converted[name] = _scale_from_v1(v1_name, value, fields.FIELDS[name])
    return converted


def _scale_from_v1(
    v1_name: str, value: Any, field: fields.Field
) -> float | int:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value):
        raise ValueError(f"`{v1_name}` must be a number")
    if field.v1_scale == 1:
        return value
    scaled = round(value * field.v1_scale)
    if scaled / field.v1_scale != value:
        raise ValueError(f"`{v1_name}` has more than millisecond precision")
    return scaled


def _values_to_v1(values: dict[str, float | int]) -> dict[str, float | int]:
    converted: dict[str, float | int] = {}
    for name, value in values.items():
        field = fields.FIELDS[name]
        scale = field.v1_scale
        converted[field.v1_name] = value if scale == 1 else value / scale
    return converted


def _invalid(problem: str) -> errors.RecordError:
    return errors.RecordError(
        f"record of schema version 1: {problem}",
        remedy="correct it and apply it again",
    )
