"""Entry point of sapphireliftd, the balancer and agent daemon."""

import sys

import eliot
import eventlet

from sapphirelift import _agent_node
from sapphirelift import _balancer_node
from sapphirelift import errors
from sapphirelift import settings as settings_module
from sapphirelift import signals

USAGE_STATUS = 2


def build_node(
    settings: settings_module.Settings,
) -> _balancer_node.BalancerNode | _agent_node.AgentNode:
    """Creates the node for the role in the settings."""
    match settings.role:
        case "balancer":
            return _balancer_node.BalancerNode(settings)
        case "agent":
            return _agent_node.AgentNode(settings)


def run(settings: settings_module.Settings) -> None:
    """Runs a daemon until SIGTERM or SIGINT, then shuts it down gracefully.

    Raises:
        BindError: An address of the settings cannot be bound.
    """
    try:
        node = build_node(settings)
    except OSError as error:
        raise errors.BindError(str(error)) from error
    stopping = signals.install_handlers(
        on_dump=lambda: eliot.log_message("state_dump", **node.dump())
    )
    node.start()
    stopping.wait()
    node.stop()


def main() -> None:
    """Runs ``sapphireliftd --settings FILE``."""
    eventlet.monkey_patch(thread=False)
    arguments = sys.argv[1:]
    if len(arguments) != 2 or arguments[0] != "--settings":
        print("usage: sapphireliftd --settings FILE", file=sys.stderr)
        sys.exit(USAGE_STATUS)
    try:
        settings = settings_module.load(arguments[1])
    except errors.SettingsError as error:
        print(f"sapphireliftd: {error}", file=sys.stderr)
        sys.exit(USAGE_STATUS)
    eliot.to_file(sys.stderr)
    try:
        run(settings)
    except errors.BindError as error:
        print(f"sapphireliftd: {error}", file=sys.stderr)
        sys.exit(USAGE_STATUS)
    # Threads of grpc and tpool hold nothing that must be saved.
    sys.stdout.flush()
    sys.exit(0)


if __name__ == "__main__":
    main()
