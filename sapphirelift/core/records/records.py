"""Records that operators write, in schema versions 1 and 2.

Version 2 is the internal form. Version 1 has flat fields and durations in
seconds. Fields that version 1 cannot express are stored in its ``extensions``,
so that conversion is lossless in both directions.
"""

from typing import Any
from typing import Literal

import msgspec
import result

from sapphirelift import errors
from sapphirelift.core.records import fields
from sapphirelift.core.records import records_v1

NEWEST_SCHEMA_VERSION = 2
# The header of peer datagrams has one byte for the key id.
MAX_KEY_ID = 255
MAX_KEYS = 2
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64  # limit of BLAKE2b
_Unset = msgspec.UnsetType


class _Record(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    omit_defaults=False,
):
    """Fields common to all records."""

    schema_version: Literal[2] = 2
    name: str


class Service(_Record, frozen=True, kw_only=True):
    """A service and its exceptions from the rules.

    Attributes:
        branch: Branch that owns the service.
        routing: ``token`` or ``hand_on``.
        datagram_port: UDP port on the balancers for callers without a token.
        tcp_port: TCP port on the balancers for ordinary TCP callers.
        overrides: Values by field name, see ``fields.FIELDS``.
        labels: Free-form text for operators, by label.
    """

    kind: Literal["service"] = "service"
    branch: str
    routing: Literal["token", "hand_on"] | _Unset = msgspec.UNSET
    datagram_port: int | _Unset = msgspec.UNSET
    tcp_port: int | _Unset = msgspec.UNSET
    overrides: dict[str, float | int] | _Unset = msgspec.UNSET
    labels: dict[str, str] | _Unset = msgspec.UNSET


class DataCentre(_Record, frozen=True, kw_only=True):
    """A data centre.

    Attributes:
        withdrawn: Whether operators have taken it out of service.
        reason: Explanation for other operators.
    """

    kind: Literal["data_centre"] = "data_centre"
    region: str | _Unset = msgspec.UNSET
    withdrawn: bool = False
    reason: str | _Unset = msgspec.UNSET


class BranchPolicy(_Record, frozen=True, kw_only=True):
    """Rules of the central team (named ``central``) or of a branch.

    Attributes:
        rules: Values by field name for all services in the policy's scope.
        locked: Fields that branches may not change; valid only in the central
            policy.
        data_centres: Values by field name, by data centre.
    """

    kind: Literal["branch_policy"] = "branch_policy"
    rules: dict[str, float | int] = {}
    locked: list[str] | _Unset = msgspec.UNSET
    data_centres: dict[str, dict[str, float | int]] | _Unset = msgspec.UNSET


class BackendServer(_Record, frozen=True, kw_only=True):
    """Operator settings of one backend server.

    Attributes:
        drained: Whether it receives no new work.
        reason: Explanation for other operators.
    """

    kind: Literal["backend_server"] = "backend_server"
    drained: bool = False
    reason: str | _Unset = msgspec.UNSET


class Keyring(_Record, frozen=True, kw_only=True):
    """Keys that authenticate peer datagrams and flow tokens.

    Attributes:
        current_id: Id of the key used for signing.
        keys: Hexadecimal keys by id; all of them are accepted when verifying.
    """

    kind: Literal["keyring"] = "keyring"
    current_id: int
    keys: dict[str, str]


Record = Service | DataCentre | BranchPolicy | BackendServer | Keyring
_KINDS: dict[str, type[Record]] = {
    "service": Service,
    "data_centre": DataCentre,
    "branch_policy": BranchPolicy,
    "backend_server": BackendServer,
    "keyring": Keyring,
}
KINDS = tuple(_KINDS)


def key_of(kind: str, name: str) -> str:
    """Returns the path of a record in the object API.

    >>> key_of("service", "catalogue")
    'records/service/catalogue'
    """
    return f"records/{kind}/{name}"


def parse(value: Any) -> result.Result[Record, errors.RecordError]:
    """Validates a record of any known schema version.

    Args:
        value: The record as decoded JSON.

    Returns:
        The record in the newest schema version, or an error that describes
        the invalid part.
    """
    if not isinstance(value, dict):
        return result.Err(_invalid("a record must be a JSON object"))
    match value.get("schema_version"):
        case 1:
            upgraded = records_v1.upgrade(value)
            if isinstance(upgraded, result.Err):
                return upgraded
            value = upgraded.ok_value
        case 2:
            pass
        case other:
            return result.Err(
                errors.SchemaVersionError(
                    f"schema_version {other!r} is not known",
                    remedy="write version 1 or 2, or upgrade sapphirelift",
                )
            )
    return _parse_newest(value)


def _parse_newest(
    value: dict[str, Any],
) -> result.Result[Record, errors.RecordError]:
    kind = _KINDS.get(str(value.get("kind")))
    if kind is None:
        return result.Err(
            _invalid(f"kind {value.get('kind')!r} is not one of {KINDS}")
        )
    try:
        record = msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        return result.Err(_invalid(str(error)))
    return _check(record)


def _check(record: Record) -> result.Result[Record, errors.RecordError]:
    """Validates constraints that the types cannot express."""
    if not record.name or "/" in record.name:
        return result.Err(_invalid("`name` must be a name without a slash"))
    problem = None
    match record:
        case Service():
            problem = fields.problem(record.overrides or {}) or _port_problem(
                record
            )
        case BranchPolicy():
            problem = _policy_problem(record)
        case Keyring():
            problem = _keyring_problem(record)
    return result.Err(_invalid(problem)) if problem else result.Ok(record)


def _port_problem(record: Service) -> str | None:
    for name in ("datagram_port", "tcp_port"):
        port = getattr(record, name)
        if port is not msgspec.UNSET and not 0 < port < 65536:
            return f"`{name}` must be between 1 and 65535"
    if record.routing == "hand_on" and not record.datagram_port:
        return "`datagram_port` is missing; routing hand_on needs it"
    return None


def _policy_problem(record: BranchPolicy) -> str | None:
    problem = fields.problem(record.rules)
    for values in (record.data_centres or {}).values():
        problem = problem or fields.problem(values)
    for name in record.locked or []:
        if name not in fields.FIELDS:
            problem = problem or f"`locked` names an unknown field {name!r}"
    if record.locked and record.name != "central":
        problem = (
            problem or "`locked` is only valid in the policy named central"
        )
    return problem


def _keyring_problem(record: Keyring) -> str | None:
    if not 1 <= len(record.keys) <= MAX_KEYS:
        return f"`keys` needs 1 to {MAX_KEYS} keys"
    if str(record.current_id) not in record.keys:
        return "`current_id` is not among `keys`"
    for key_id, digits in record.keys.items():
        try:
            length = len(bytes.fromhex(digits))
        except ValueError:
            length = 0
        if not _is_key_id(key_id) or not (
            MIN_KEY_BYTES <= length <= MAX_KEY_BYTES
        ):
            return (
                f"`keys` needs ids 0 to {MAX_KEY_ID} and "
                f"{MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes in hex"
            )
    return None


def _is_key_id(text: str) -> bool:
    """Returns whether a text is a canonical decimal key id, such as ``7``."""
    return text in map(str, range(MAX_KEY_ID + 1))


def render(record: Record, *, schema_version: int) -> dict[str, Any]:
    """Returns a record as JSON data of the given schema version.

    Raises:
        SchemaVersionError: The schema version is unknown.
    """
    value = msgspec.to_builtins(record)
    match schema_version:
        case 1:
            return records_v1.downgrade(value)
        case 2:
            return value
    raise errors.SchemaVersionError(
        f"schema_version {schema_version} is not known",
        remedy="ask for version 1 or 2",
    )


def _invalid(problem: str) -> errors.RecordError:
    return errors.RecordError(
        f"record: {problem}", remedy="correct it and apply it again"
    )
