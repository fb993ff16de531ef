"""The daemons' open connections to the store go silent; new ones work.

A proxy between the daemons and the store stops relaying on the connections
that are open, without a reset. It does so between two changes of the
configuration, of which the second one drops a route.
"""

import asyncio
import itertools
import pathlib
import sys
import time
from collections.abc import Iterator

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import harness  # noqa: E402

ROUTE = "127.63.9.1:443"
CALLER_IP = "127.63.0.7"
FIRST_PORT = 20_000
BALANCERS = 5
ROUNDS = 5
SILENT_AFTER_S = 1.0
CHANGE_AFTER_S = 0.5
PROBES_S = 2.5
CALM_S = 5.0


class Proxy:
    """Relays TCP connections to the store until they are silenced."""

    def __init__(self, store_port: int) -> None:
        self.port = 0
        self._store_port = store_port
        self._generation = 0
        self._server: asyncio.Server | None = None
        self._relays: set[asyncio.Task[None]] = set()
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        """Begins to listen."""
        self._server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Ends all connections."""
        assert self._server is not None
        self._server.close()
        for relay in self._relays:
            relay.cancel()
        await asyncio.gather(*self._relays, return_exceptions=True)
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0.1)

    def silence(self) -> None:
        """Relays nothing more on the connections that are open now."""
        self._generation += 1

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        generation = self._generation
        relay = asyncio.current_task()
        assert relay is not None
        self._relays.add(relay)
        relay.add_done_callback(self._relays.discard)
        up_reader, up_writer = await asyncio.open_connection(
            "127.0.0.1", self._store_port
        )
        self._writers += [writer, up_writer]

        async def copy(
            source: asyncio.StreamReader, sink: asyncio.StreamWriter
        ) -> None:
            while data := await source.read(65_536):
                if generation == self._generation:
                    sink.write(data)
                    await sink.drain()
            if generation == self._generation:
                sink.close()

        await asyncio.gather(
            copy(reader, up_writer),
            copy(up_reader, writer),
            return_exceptions=True,
        )


async def case(fleet: harness.Fleet) -> bool:
    """Runs the case; returns whether the rule was broken."""
    proxy = Proxy(fleet.platform_port)
    await proxy.start()
    fleet.store_port = proxy.port
    try:
        return await _play(fleet, proxy)
    finally:
        await proxy.close()


async def _play(fleet: harness.Fleet, proxy: Proxy) -> bool:
    for number in range(1, BALANCERS + 1):
        fleet.daemon("balancer", f"127.63.1.{number}")
    agents = [
        fleet.daemon("agent", f"127.63.2.{number}", service="shop")
        for number in range(1, 5)
    ]
    await fleet.start_platform()
    version = 3
    await fleet.configure(version, {ROUTE: "shop"})
    await fleet.start()
    await asyncio.sleep(1.0)
    targets = [harness.Target(fleet, agent, "shop") for agent in agents]
    for target in targets:
        await target.start()
    await fleet.wait_for(
        lambda: len(fleet.rotation) == BALANCERS, "rotation", 15
    )
    await asyncio.sleep(harness.CONTACT_MS / 1000)

    broken = 0
    ports = itertools.count(FIRST_PORT)
    for number in range(1, ROUNDS + 1):
        route = f"127.63.9.1:{8000 + number}"
        await fleet.configure(version + 2, {ROUTE: "shop", route: "shop"})
        await asyncio.sleep(SILENT_AFTER_S)
        usable = await _open(fleet, route, ports, for_s=0.0)
        silent_s = time.monotonic()
        if harness.has_trouble():
            proxy.silence()
            fleet.record.write("open connections to the store go silent")
        await asyncio.sleep(CHANGE_AFTER_S)
        version += 5
        await fleet.configure(version, {ROUTE: "shop"})
        acknowledged_s = time.monotonic()
        if not any(fleet.callers[flow].state == "open" for flow in usable):
            raise harness.CannotRunError("the added route does not work")
        # From here on the version is due, and all machines are in touch.
        due_s = max(
            acknowledged_s + harness.CONFIG_APPLY_MS / 1000,
            silent_s + harness.CONTACT_MS / 1000,
        )
        await asyncio.sleep(due_s - time.monotonic())
        sent_s = await _open(fleet, route, ports, for_s=PROBES_S)
        await asyncio.sleep(1.5)
        late = [
            (flow, target)
            for target in targets
            for _, flow in target.opened_order
            if flow in sent_s
        ]
        broken += bool(late)
        for flow, target in late:
            fleet.record.write(
                f"{flow}, sent {sent_s[flow] - due_s:.3f} s after version "
                f"{version}, which drops the route, was due, was taken by "
                f"{target.id}"
            )
        fleet.record.write(
            f"round {number}: {len(sent_s)} flows to {route} sent after "
            f"version {version} was due, {len(late)} of them taken"
        )
        await asyncio.sleep(CALM_S)
    fleet.record.write(f"{broken} of {ROUNDS} rounds broke the rule")
    return broken > 0


async def _open(
    fleet: harness.Fleet,
    route: str,
    ports: Iterator[int],
    *,
    for_s: float,
) -> dict[harness.packet.FlowKey, float]:
    """Opens flows for some time; returns when each was sent."""
    sent_s: dict[harness.packet.FlowKey, float] = {}
    end_s = time.monotonic() + for_s
    while not sent_s or time.monotonic() < end_s:
        for _ in range(2 * BALANCERS):
            flow = harness.flow_key(CALLER_IP, next(ports), route)
            caller = await fleet.caller(flow)
            sent_s[flow] = time.monotonic()
            caller.open()
        await asyncio.sleep(0.1)
    return sent_s


if __name__ == "__main__":
    harness.main(case, str(HERE))
