"""Output formats: tables for people, JSON for programs."""

import json
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

from sapphirelift import errors

FORMATS = ("table", "json")
Row = Mapping[str, Any]


def render(value: Any, *, output: str) -> str:
    """Formats a value as text.

    Args:
        value: A row, a list of rows or a string. A value with a method
            ``overview`` is shown in that shorter form in a table.
        output: ``table`` or ``json``.

    Raises:
        InputError: The format does not exist.

    >>> print(render([{"name": "a", "load": 1}], output="table"))
    NAME  LOAD
    a     1
    >>> print(render({"up": [{"name": "a"}], "out": []}, output="table"))
    up:
      NAME
      a
    out: none
    """
    if output not in FORMATS:
        raise errors.InputError(
            f"output {output!r} does not exist",
            remedy=f"use one of {', '.join(FORMATS)}",
        )
    if output == "json":
        return json.dumps(value, indent=2)
    value = value.overview() if hasattr(value, "overview") else value
    match value:
        case str():
            return value
        case []:
            return "nothing found"
        case [*rows]:
            return table(rows)
        case _:
            return "\n".join(_format_entry(n, v) for n, v in value.items())


def table(rows: Sequence[Row]) -> str:
    """Formats rows as a table with a heading.

    >>> print(table([{"name": "a", "state": "up"}, {"name": "bb"}]))
    NAME  STATE
    a     up
    bb
    """
    columns = list(dict.fromkeys(name for row in rows for name in row))
    cells = [[column.upper() for column in columns]]
    cells += [[_format_cell(row.get(c, "")) for c in columns] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join(
        "  ".join(
            c.ljust(w) for c, w in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    )


def _format_entry(name: str, value: Any) -> str:
    """Formats one entry of a row; nested values become indented tables."""
    match value:
        case {} if value:
            rows = [{"name": n, "value": v} for n, v in value.items()]
        case [{}, *_]:
            rows = value
        case _:
            return f"{name}: {_format_cell(value)}"
    lines = table(rows).splitlines()
    return "\n".join([f"{name}:", *(f"  {line}" for line in lines)])


def _format_cell(value: Any) -> str:
    match value:
        case str():
            return value
        case [] | {} if not value:
            return "none"
        case [*items]:
            return ", ".join(map(_format_cell, items))
        case {}:
            return ", ".join(f"{n}={_format_cell(v)}" for n, v in value.items())
        case _:
            return json.dumps(value)
