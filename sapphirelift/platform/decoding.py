"""Decoding of JSON that other writers may have garbled.

A list of the store holds items of several writers. One that cannot be read must
cost itself alone, so lists can be split into their items without reading them.
"""

import re
from collections.abc import Mapping
from typing import Any

import msgspec

from sapphirelift import errors

# Far above what any writer needs, and far below what the interpreter allows,
# so that a value that has been decoded can be encoded again.
MAX_DEPTH = 64
# Messages between daemons carry integers of 64 bits.
MAX_INTEGER = (1 << 63) - 1

_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError, OverflowError)
_STRING = rb'"[^"\\]*(?:\\.[^"\\]*)*"'
_TOKEN = re.compile(_STRING + rb"|[\[{]+|[\]}]+|[,:]", re.DOTALL)


def decode(data: bytes | msgspec.Raw, kind: type[Any]) -> Any:
    """Decodes a JSON document.

    Raises:
        UnreadableError: It is malformed, not of the type, or nested more deeply
            than the decoder can follow. See ``check_bounds`` for what the
            decoder lets pass.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except _ERRORS as error:
        raise errors.UnreadableError(str(error)) from error


def convert(value: Any, kind: type[Any]) -> Any:
    """Converts decoded JSON to a type.

    Raises:
        UnreadableError: The value is not of the type.
    """
    try:
        return msgspec.convert(value, kind)
    except _ERRORS as error:
        raise errors.UnreadableError(str(error)) from error


def check_bounds(value: Any) -> None:
    """Checks the depth and the integers of decoded JSON.

    Raises:
        UnreadableError: It exceeds ``MAX_DEPTH`` or ``MAX_INTEGER``.
    """
    level = [value]
    for _ in range(MAX_DEPTH):
        if any(isinstance(v, int) and abs(v) > MAX_INTEGER for v in level):
            raise errors.UnreadableError("integer of more than 64 bits")
        level = [
            child
            for parent in level
            if isinstance(parent, dict | list)
            for child in (
                parent.values() if isinstance(parent, dict) else parent
            )
        ]
        if not level:
            return
    raise errors.UnreadableError(f"nested more than {MAX_DEPTH} levels deep")


def elements(data: bytes) -> list[bytes]:
    """Splits a JSON array into its elements, without reading them.

    >>> elements(b'[{"a": [1, 2]}, NaN, "]"]')
    [b'{"a": [1, 2]}', b'NaN', b'"]"']
    """
    return [value for _, value in _split(data)]


def members(data: bytes) -> Mapping[str, bytes]:
    r"""Splits a JSON object into its members, without reading their values.

    >>> members(b'{"a": {"b": 1}, "c": "\\ud800"}')
    {'a': b'{"b": 1}', 'c': b'"\\ud800"'}
    """
    return {
        name.decode(errors="replace").strip('"'): value
        for name, value in _split(data)
    }


def _split(data: bytes) -> list[tuple[bytes, bytes]]:
    """Returns the names, empty in an array, and values of a JSON document."""
    found: list[tuple[bytes, bytes]] = []
    depth = start = 0
    name = b""
    for token in _TOKEN.finditer(data):
        at, end = token.span()
        match data[at : at + 1]:
            case b"[" | b"{":
                if depth == 0:
                    start = at + 1
                depth += end - at
            case b"]" | b"}" if end - at < depth:
                depth -= end - at
            case b"]" | b"}":
                found.append((name, data[start : at + depth - 1].strip()))
                break
            case b"," if depth == 1:
                found.append((name, data[start:at].strip()))
                name, start = b"", end
            case b":" if depth == 1:
                name, start = data[start:at].strip(), end
    return [(name, value) for name, value in found if value]
