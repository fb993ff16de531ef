"""Values in force for a service, from central rules and exceptions.

Precedence in ascending order: default, central rule, central rule for the data
centre, branch rule, branch rule for the data centre, override of the service.
A field that the central policy locks keeps the central value.
"""

from collections.abc import Mapping
from typing import NamedTuple

from sapphirelift import errors
from sapphirelift.core.records import fields
from sapphirelift.core.records import records

CENTRAL = "central"


class Effective(NamedTuple):
    """Values in force for one service in one data centre.

    Attributes:
        values: Value of every field, by field name.
        source: Origin of each value, by field name.
        ignored: Branch and service settings of locked fields, which have no
            effect.
    """

    values: dict[str, float]
    source: dict[str, str]
    ignored: list[str]


def effective(
    service: records.Service,
    *,
    data_centre: str,
    policies: Mapping[str, records.BranchPolicy],
) -> Effective:
    """Computes the values in force for a service.

    Args:
        service: The service record.
        data_centre: Data centre to which the values apply.
        policies: Policies by name.
    """
    values = {name: field.default for name, field in fields.FIELDS.items()}
    source = dict.fromkeys(values, "default")
    locked = _locked(policies)
    ignored = []
    for label, is_central, layer in _layers(service, data_centre, policies):
        for name, value in layer.items():
            if name in locked and not is_central:
                ignored.append(f"{label}: {name}")
                continue
            values[name] = value
            source[name] = label
    return Effective(values, source, ignored)


def _locked(policies: Mapping[str, records.BranchPolicy]) -> set[str]:
    central = policies.get(CENTRAL)
    return set(central.locked or []) if central is not None else set()


def _layers(
    service: records.Service,
    data_centre: str,
    policies: Mapping[str, records.BranchPolicy],
) -> list[tuple[str, bool, Mapping[str, float]]]:
    layers: list[tuple[str, bool, Mapping[str, float]]] = []
    names = [CENTRAL]
    if service.branch != CENTRAL:
        names.append(service.branch)
    for name in names:
        policy = policies.get(name)
        if policy is None:
            continue
        is_central = name == CENTRAL
        label = f"branch_policy/{name}"
        layers.append((label, is_central, policy.rules))
        by_data_centre = (policy.data_centres or {}).get(data_centre, {})
        layers.append((f"{label}@{data_centre}", is_central, by_data_centre))
    layers.append((f"service/{service.name}", False, service.overrides or {}))
    return layers


def check_locked(
    record: records.Record, policies: Mapping[str, records.BranchPolicy]
) -> errors.LockedFieldError | None:
    """Returns an error if a record sets a field locked by the central team."""
    changed: set[str] = set()
    match record:
        case records.Service():
            changed = set(record.overrides or {})
        case records.BranchPolicy() if record.name != CENTRAL:
            changed = set(record.rules)
            for values in (record.data_centres or {}).values():
                changed |= set(values)
    refused = sorted(changed & _locked(policies))
    if not refused:
        return None
    return errors.LockedFieldError(
        f"{refused[0]} is locked by the rule branch_policy/{CENTRAL}",
        remedy="remove it, or ask the central team to unlock it",
    )
