"""Command-line tool ``sapphirelift``."""

import os
import sys
from typing import Any

import fire
import fire.core

from sapphirelift import credentials
from sapphirelift import errors
from sapphirelift.operators import commands
from sapphirelift.operators import configuration_check
from sapphirelift.operators import key_commands
from sapphirelift.operators import output as output_module
from sapphirelift.platform import client

REFUSED_STATUS = 1
INPUT_STATUS = 2
UNREACHABLE_STATUS = 3
CONFLICT_STATUS = 4

PLATFORM_VARIABLE = "SAPPHIRELIFT_PLATFORM"
DEFAULT_PLATFORM = "http://127.0.0.1:8400"


def _take_option(arguments: list[str], name: str, default: str) -> str:
    """Removes ``--name=value`` from the arguments and returns the value."""
    prefix = f"--{name}="
    value = default
    for argument in list(arguments):
        if argument.startswith(prefix):
            arguments.remove(argument)
            value = argument.removeprefix(prefix)
    return value


def run(arguments: list[str]) -> int:
    """Runs one command and returns the exit status."""
    arguments = list(arguments)
    if arguments[:1] == ["bench"]:
        return _run_bench(arguments[1:])
    if arguments[:1] == ["demo"]:
        from sapphirelift import demo

        return demo.main()
    output = _take_option(arguments, "output", "table")
    if "--json" in arguments:
        arguments.remove("--json")
        output = "json"
    statuses = [0]
    default = os.environ.get(PLATFORM_VARIABLE, DEFAULT_PLATFORM)
    url = _take_option(arguments, "platform", default)
    credential_files = credentials.PlatformCredentials(
        **{
            name: _take_option(arguments, name, "")
            for name in credentials.PlatformCredentials.__struct_fields__
        }
    )
    for problem in credentials.problems(url, credential_files):
        return _fail(problem, INPUT_STATUS)

    def serialize(value: Any) -> Any:
        if value is None or isinstance(
            value, commands.Commands | key_commands.KeyCommands
        ):
            return value
        if isinstance(value, configuration_check.Report):
            statuses.append(value.exit_status)
        return output_module.render(value, output=output)

    try:
        fire.Fire(
            commands.Commands(
                client.ObjectClient(url, credentials=credential_files)
            ),
            command=arguments,
            name="sapphirelift",
            serialize=serialize,
        )
    except errors.ConflictError as error:
        return _fail(error, CONFLICT_STATUS)
    except errors.PlatformUnavailableError as error:
        return _fail(error, UNREACHABLE_STATUS)
    except (errors.InputError, errors.RecordError) as error:
        return _fail(error, INPUT_STATUS)
    except errors.SapphireliftError as error:
        return _fail(error, REFUSED_STATUS)
    except fire.core.FireExit as error:
        return error.code
    except KeyboardInterrupt:
        return REFUSED_STATUS
    return max(statuses)


def _run_bench(arguments: list[str]) -> int:
    """Runs a command of the bench.

    It is handled separately, because ``--output`` names a file there.
    """
    from sapphirelift.bench import commands as bench_commands

    try:
        fire.Fire(
            bench_commands.Bench(), command=arguments, name="sapphirelift bench"
        )
    except errors.SapphireliftError as error:
        return _fail(error, INPUT_STATUS)
    except fire.core.FireExit as error:
        return error.code
    except KeyboardInterrupt:
        return REFUSED_STATUS
    return 0


def _fail(error: errors.SapphireliftError, status: int) -> int:
    print(f"sapphirelift: {error}", file=sys.stderr)
    return status


def main() -> None:
    """Entry point of ``sapphirelift``."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
