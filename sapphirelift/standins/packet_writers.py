"""What operators and backend servers write, in the platform's formats.

Used by tests and the soak of the packet daemon.
"""

from collections.abc import Iterable
from typing import Any


def configuration(
    *,
    version: int,
    route_ip: str,
    ports: Iterable[int],
    service: str = "shop",
    max_flows: int = 2000,
) -> dict[str, Any]:
    """Returns a configuration with a route for each port of an address."""
    return {
        "Version": version,
        "Routes": [
            {
                "Name": f"route-{port}",
                "Host": route_ip,
                "PathPrefix": f"/{port}/",
                "Service": service,
            }
            for port in ports
        ],
        "Services": [
            {"Name": service, "MaxConnections": max_flows, "WarmupPerS": 0.0}
        ],
        "Limits": {"IdleTimeoutMs": 15000},
    }


def report(
    *,
    ip: str,
    port: int,
    number: int,
    born_ms: int,
    data_centre: str = "a",
    slots: int = 4,
    state: str = "ready",
    service: str = "shop",
) -> dict[str, Any]:
    """Returns a report of a warm backend server.

    Args:
        ip: Address of its instance.
        port: Port at which it receives packets.
        number: Number of the report within the server's start.
        born_ms: Wall-clock time of the start.
        data_centre: Its data centre.
        slots: Number of requests that it runs concurrently.
        state: ``ready`` or ``draining``.
        service: Its service.
    """
    return {
        "Service": service,
        "Address": f"{ip}:{port}",
        "Zone": data_centre,
        "Version": "v1",
        "MaxConcurrency": slots,
        "State": state,
        "WarmupRemainingMs": 0,
        "Sequence": number,
        "born": born_ms,
    }
