"""sapphireliftd: the daemon, in the role that its settings name."""

import signal
import sys

import eliot
import eventlet
import eventlet.event

from sapphirelift import _agent_node
from sapphirelift import _balancer_node
from sapphirelift import errors
from sapphirelift import settings as settings_module

USAGE_STATUS = 2


def build(
    settings: settings_module.Settings,
) -> _balancer_node.BalancerNode | _agent_node.AgentNode:
    """Builds the role that the settings name."""
    match settings.role:
        case "balancer":
            return _balancer_node.BalancerNode(settings)
        case "agent":
            return _agent_node.AgentNode(settings)


def run(settings: settings_module.Settings) -> None:
    """Runs one daemon until SIGTERM or SIGINT, then stops it by plan.

    Raises:
        BindError: An address of the settings cannot be bound.
    """
    try:
        node = build(settings)
    except OSError as error:
        raise errors.BindError(str(error)) from error
    stopping: eventlet.event.Event = eventlet.event.Event()

    def on_signal(signum: int, frame: object) -> None:
        del signum, frame
        if not stopping.ready():
            stopping.send(None)

    def log_dump() -> None:
        eliot.log_message("state_dump", **node.dump())

    def on_dump(signum: int, frame: object) -> None:
        del signum, frame
        # Outside the handler, which may interrupt a change of the state.
        eventlet.spawn_after(0, log_dump)

    signal.signal(signal.SIGUSR1, on_dump)
    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    node.start()
    stopping.wait()
    node.stop()


def main() -> None:
    """Entry point of ``sapphireliftd --settings FILE``."""
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
