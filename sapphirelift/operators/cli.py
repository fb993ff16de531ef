"""sapphirelift: the command-line tool."""

import json
import pathlib
import sys
from typing import Any

import fire

import sapphirelift
from sapphirelift import demo
from sapphirelift import errors
from sapphirelift.bench import commands as bench_commands
from sapphirelift.platform import client

REFUSED_STATUS = 1
UNREACHABLE_STATUS = 3
CONFLICT_STATUS = 4


class Commands:
    """Reads and writes records."""

    def __init__(self, platform_url: str = "http://127.0.0.1:8400") -> None:
        self._platform = client.ObjectClient(platform_url)
        self.bench = bench_commands.Bench()

    def version(self) -> str:
        """Prints the version."""
        return sapphirelift.__version__

    def demo(self) -> None:
        """Shows the product at work in one process."""
        sys.exit(demo.main())

    def apply(self, file: str) -> str:
        """Writes the record in a JSON file."""
        value = json.loads(pathlib.Path(file).read_text())
        key = f"records/{value['kind']}/{value['name']}"
        revision = self._platform.put(key, value)
        return f"{key} at revision {revision}"

    def get(self, kind: str, name: str) -> str:
        """Prints a record."""
        held = self._platform.get(f"records/{kind}/{name}")
        if held is None:
            raise errors.RecordError(
                f"no {kind} {name}", remedy="list the records of that kind"
            )
        return json.dumps(held.value, indent=2)

    def withdraw(self, data_centre: str) -> str:
        """Takes a data centre out of service."""
        return self._set_withdrawn(data_centre, True)

    def restore(self, data_centre: str) -> str:
        """Brings a data centre back into service."""
        return self._set_withdrawn(data_centre, False)

    def _set_withdrawn(self, data_centre: str, withdrawn: bool) -> str:
        key = f"records/data_centre/{data_centre}"
        held = self._platform.get(key)
        value: dict[str, Any] = {
            "schema_version": 2,
            "kind": "data_centre",
            "name": data_centre,
        }
        if held is not None and held.value is not None:
            value = held.value
        revision = self._platform.put(
            key,
            value | {"withdrawn": withdrawn},
            expected_revision=held.revision if held is not None else 0,
        )
        return f"{key} at revision {revision}"


def main() -> None:
    """Entry point of ``sapphirelift``."""
    try:
        fire.Fire(Commands, name="sapphirelift")
    except errors.ConflictError as error:
        _exit(error, CONFLICT_STATUS)
    except errors.PlatformUnavailableError as error:
        _exit(error, UNREACHABLE_STATUS)
    except errors.SapphireliftError as error:
        _exit(error, REFUSED_STATUS)


def _exit(error: errors.SapphireliftError, status: int) -> None:
    print(f"sapphirelift: {error}", file=sys.stderr)
    sys.exit(status)


if __name__ == "__main__":
    main()
