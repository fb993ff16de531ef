"""A heartbeat of another writer arrives; it names no target to use.

It has no `Address`; its other fields are those of a sound heartbeat. The
target beside the agent lives and goes on as before.
"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import harness  # noqa: E402

ROUTE = "127.64.9.1:443"
CALLER_IP = "127.64.0.7"
FIRST_PORT = 30_000
FLOWS = 20
REQUEST_INTERVAL_S = 1.0
CALM_S = 5.0
SEEN_S = 10.0


async def case(fleet: harness.Fleet) -> bool:
    """Runs the case; returns whether the rule was broken."""
    for number in (1, 2):
        fleet.daemon("balancer", f"127.64.1.{number}")
    agents = [
        fleet.daemon("agent", f"127.64.2.{number}", service="shop")
        for number in (1, 2)
    ]
    await fleet.start_platform()
    await fleet.configure(3, {ROUTE: "shop"})
    await fleet.start()
    await asyncio.sleep(1.0)
    targets = [harness.Target(fleet, agent, "shop") for agent in agents]
    for target in targets:
        await target.start()
    await fleet.wait_for(lambda: len(fleet.rotation) == 2, "rotation", 15)
    await asyncio.sleep(harness.CONTACT_MS / 1000)

    callers = []
    for number in range(FLOWS):
        flow = harness.flow_key(CALLER_IP, FIRST_PORT + number, ROUTE)
        callers.append(await fleet.caller(flow))
        callers[-1].open()
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    await _request(callers, for_s=CALM_S)
    before = sum(caller.state == "open" for caller in callers)
    if before < FLOWS:
        raise harness.CannotRunError(f"only {before} flows are open")

    if harness.has_trouble():
        status = await harness.http(
            (agents[0].ip, fleet.reports_port),
            "PUT",
            "/v1/instances/i-00c0ffee",
            {
                "Service": "shop",
                "Zone": "a",
                "Version": "v1",
                "MaxConcurrency": 4,
                "State": "ready",
                "WarmupRemainingMs": 0,
                "Sequence": 1,
                "born": int(time.time() * 1000),
            },
        )
        fleet.record.write(
            f"heartbeat of another writer to {agents[0].name}, answer {status}"
        )
    await _request(callers, for_s=SEEN_S)

    broken = [
        caller
        for caller in callers
        if caller.resets
        and any(
            caller.flow in target.server.opened and target.server.is_alive
            for target in targets
        )
    ]
    fleet.record.write(
        f"{len(broken)} of {FLOWS} open flows were reset; all targets live "
        "and none of them sends resets"
    )
    # What the agent does with its own target's flows from then on.
    started_s = time.monotonic()
    for number in range(FLOWS):
        flow = harness.flow_key(CALLER_IP, FIRST_PORT + 100 + number, ROUTE)
        caller = await fleet.caller(flow)
        caller.open()
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.5)
    for target in targets:
        opened = sum(at_s > started_s for at_s, _ in target.opened_order)
        fleet.record.write(
            f"{opened} of {FLOWS} flows opened since at {target.id}, "
            f"beside {target.agent.name}"
        )
    return bool(broken)


async def _request(callers: list[harness.Caller], *, for_s: float) -> None:
    end_s = time.monotonic() + for_s
    while time.monotonic() < end_s:
        for caller in callers:
            if caller.state == "open" and not caller.is_waiting:
                caller.request()
        await asyncio.sleep(REQUEST_INTERVAL_S)


if __name__ == "__main__":
    harness.main(case, str(HERE))
