"""Packet daemon; runs as a balancer or as an agent, as its settings say."""

import os
import signal
import sys
import time

# Taken before the imports below, which last as long as the start of a backend
# server.
_STARTED_UNIX_MS = time.time_ns() // 1_000_000
_early_reloads: list[int] = []
if __name__ == "__main__":
    # SIGHUP would end the process while the other modules are imported.
    signal.signal(
        signal.SIGHUP, lambda signum, frame: _early_reloads.append(signum)
    )

import eventlet  # noqa: E402

from sapphirelift import _packet_node  # noqa: E402
from sapphirelift import deployment  # noqa: E402
from sapphirelift import errors  # noqa: E402
from sapphirelift import signals  # noqa: E402

USAGE_STATUS = 2
SETTINGS_VARIABLE = "SAPPHIRELIFT_CONFIG"


def build_node(settings: deployment.Deployment) -> _packet_node.PacketNode:
    """Creates the node for the role in the settings.

    The other role is not imported, to save memory and startup time on small
    instances.

    Raises:
        BindError: An address in the settings cannot be bound.
    """
    try:
        match settings.role:
            case "balancer":
                from sapphirelift import _packet_balancer  # noqa: PLC0415

                return _packet_balancer.PacketBalancerNode(settings)
            case "agent":
                from sapphirelift import _packet_agent  # noqa: PLC0415

                return _packet_agent.PacketAgentNode(
                    settings, started_unix_ms=_STARTED_UNIX_MS
                )
    except OSError as error:
        raise errors.BindError(str(error)) from error


def run(settings: deployment.Deployment, path: str) -> None:
    """Runs one daemon until SIGTERM or SIGINT, then shuts it down.

    Raises:
        BindError: An address in the settings cannot be bound.
    """
    node = build_node(settings)

    def reload() -> None:
        try:
            node.reload(deployment.load(path))
        except errors.SettingsError as error:
            node.log.write("reload_refused", reason=str(error))

    stopping = signals.install_handlers(
        on_dump=lambda: node.log.write("state_dump", **node.dump()),
        on_reload=reload,
    )
    node.start()
    if _early_reloads:
        reload()
    stopping.wait()
    node.stop()


def main() -> None:
    """Runs the daemon with the settings of the command line or environment.

    Without ``--settings FILE``, ``SAPPHIRELIFT_CONFIG`` names the file.
    """
    eventlet.monkey_patch(thread=False)
    arguments = sys.argv[1:]
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if len(arguments) == 2 and arguments[0] == "--settings":
        path = arguments[1]
    elif arguments or not path:
        print(
            "usage: python -m sapphirelift.packet_daemon [--settings FILE]; "
            f"or set {SETTINGS_VARIABLE}",
            file=sys.stderr,
        )
        sys.exit(USAGE_STATUS)
    try:
        run(deployment.load(path), path)
    except (errors.SettingsError, errors.BindError) as error:
        print(f"packet daemon: {error}", file=sys.stderr)
        sys.exit(USAGE_STATUS)


if __name__ == "__main__":
    main()
