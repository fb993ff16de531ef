"""Dispatches received datagrams to the decision logic of a daemon.

Messages between daemons carry the packets of callers unchanged. They are
decoded here, so that the decision logic does not depend on the platform's
packet format.
"""

from __future__ import annotations

import typing

from sapphirelift import errors
from sapphirelift.core.l4 import messages
from sapphirelift.platform import packets

if typing.TYPE_CHECKING:
    # Only for type checks: a deployed role does not import the other one.
    from sapphirelift.core.l4 import agent as agent_module
    from sapphirelift.core.l4 import balancer as balancer_module


def to_agent(
    core: agent_module.Agent,
    message: messages.Message,
    sender: messages.Address,
    now_ms: int,
) -> None:
    """Passes a message of a balancer or another agent to an agent.

    Raises:
        DatagramError: The message is not meant for agents, or carries a
            packet that cannot be decoded.
    """
    match message:
        case messages.Deliver():
            received = packets.decode_from_caller(message.data)
            core.on_deliver(message, received, now_ms)
        case messages.Open():
            received = packets.decode_from_caller(message.data)
            core.on_open(message, received, now_ms)
        case messages.Ask():
            core.on_ask(message, sender, now_ms)
        case messages.AskMany():
            core.on_ask_many(message)
        case messages.Remembered():
            core.on_remembered(message, now_ms)
        case messages.HeartbeatAck():
            core.on_ack(message, now_ms)
        case messages.Hello():
            core.on_hello(message, now_ms)
        case _:
            raise errors.DatagramError("unexpected_kind")


def to_balancer(
    core: balancer_module.Balancer,
    message: messages.Message,
    sender: messages.Address,
    now_ms: int,
) -> None:
    """Passes a message of an agent or another balancer to a balancer.

    Raises:
        DatagramError: The message carries a packet that cannot be decoded.
    """
    match message:
        case messages.Missed(agent, data):
            received = packets.decode_from_caller(data)
            core.on_missed(agent, received, now_ms)
        case messages.Pulse():
            core.on_pulse(message, sender, now_ms)
        case _:
            core.on_message(message, now_ms)


def from_backend(core: agent_module.Agent, data: bytes, now_ms: int) -> None:
    """Passes a packet of the backend server to its agent.

    Raises:
        DatagramError: The packet cannot be decoded.
    """
    received = packets.decode_from_backend(data)
    if received.is_bounced:
        core.on_bounced(received, now_ms)
    else:
        core.on_backend_packet(received, now_ms)
