"""Settings of packet daemons that run as processes on loopback addresses.

Each instance has its own loopback address, so that all instances use the same
ports, as on the platform.
"""

from typing import Any

from sapphirelift.bench import fleet


class Ports:
    """Ports of one installation, free on all loopback addresses."""

    def __init__(self) -> None:
        found = [fleet.free_port() for _ in range(8)]
        self.packets, self.readiness, self.reports, self.outbound = found[:4]
        self.app = found[4]
        self.metrics = found[5]
        self.internal = sorted(found[6:])


def daemon_settings(
    ports: Ports,
    *,
    ip: str,
    role: str,
    platform_port: int,
    data_centre: str = "a",
    service: str = "shop",
) -> dict[str, Any]:
    """Returns the settings of the daemon of an instance."""
    settings: dict[str, Any] = {
        "name": f"{role}-{ip}",
        "role": role,
        "ip": ip,
        "data_centre": data_centre,
        "region": "r",
        "packets": f"{ip}:{ports.packets}",
        "readiness": f"{ip}:{ports.readiness}",
        "internal_ports": ports.internal,
        "metrics": f"{ip}:{ports.metrics}",
        "platform": f"127.0.0.1:{platform_port}",
        "report_interval_ms": 1000,
        "contact_ms": 4000,
        "stop_timeout_s": 6,
    }
    if role == "agent":
        settings |= {
            "reports": f"{ip}:{ports.reports}",
            "outbound": f"{ip}:{ports.outbound}",
            "backend": f"{ip}:{ports.app}",
            "service": service,
        }
    return settings
