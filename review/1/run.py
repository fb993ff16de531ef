"""A caller's port is used again after its old flow's target was replaced.

A balancer restart makes the balancers find the owners of open flows by a
search. The flows end, the target's address goes to another service, and more
than 60 s later the callers open new flows from the same ports.
"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import harness  # noqa: E402

ROUTE = "127.62.9.1:443"
OTHER_ROUTE = "127.62.9.2:443"
CALLER_IP = "127.62.0.7"
FIRST_PORT = 40_000
FLOWS = 24
# How long TCP keeps the port of a closed connection.
TIME_WAIT_S = 60.0
REUSE_AFTER_S = 2.0


async def case(fleet: harness.Fleet) -> bool:
    """Runs the case; returns whether the rule was broken."""
    for number in (1, 2):
        fleet.daemon("balancer", f"127.62.1.{number}")
    agents = [
        fleet.daemon("agent", f"127.62.2.{number}", service=service)
        for number, service in enumerate(("shop", "shop", "shop", "label"), 1)
    ]
    await fleet.start_platform()
    await fleet.configure(3, {ROUTE: "shop", OTHER_ROUTE: "label"})
    await fleet.start()
    await asyncio.sleep(1.0)
    targets = [
        harness.Target(fleet, agent, agent.settings["service"])
        for agent in agents
    ]
    for target in targets:
        await target.start()
    await fleet.wait_for(lambda: len(fleet.rotation) == 2, "rotation", 15)
    await asyncio.sleep(3.0)

    keys = [
        harness.flow_key(CALLER_IP, FIRST_PORT + number, ROUTE)
        for number in range(FLOWS)
    ]
    callers = await _open(fleet, keys)
    await _request(callers)

    restarted = fleet.balancers[0]
    if harness.has_trouble():
        await restarted.stop()
    await asyncio.sleep(1.0)
    await _request(callers)
    if harness.has_trouble():
        restarted.settings["is_first_start"] = False
        restarted.start()
    await fleet.wait_for(lambda: len(fleet.rotation) == 2, "rotation", 15)
    await asyncio.sleep(3.0)
    await _request(callers)
    for caller in callers:
        caller.close()
    closed_s = time.monotonic()
    fleet.record.write("all flows closed")
    await asyncio.sleep(1.0)

    # The target leaves with its machine; the address goes to another service.
    await targets[0].leave(4.0)
    await agents[0].stop()
    await asyncio.sleep(REUSE_AFTER_S + 1.0)
    agent = fleet.daemon("agent", agents[0].ip, service="label")
    agent.name = agent.settings["name"] = f"agent-{agent.ip}-label"
    agent.settings["is_first_start"] = False
    agent.start()
    await asyncio.sleep(0.5)
    replacement = harness.Target(fleet, agent, "label")
    await replacement.start()
    await asyncio.sleep(max(closed_s + TIME_WAIT_S + 2 - time.monotonic(), 0))

    began_s = time.monotonic()
    callers = await _open(fleet, keys)
    await _request(callers)
    wrong = [
        flow
        for at_s, flow, target in fleet.runs
        if at_s >= began_s and target.service != "shop"
    ]
    answered = sum(caller.answers for caller in callers)
    fleet.record.write(
        f"{len(keys)} flows to {ROUTE}, which every configuration gives to "
        f"shop: {answered} answers, {len(wrong)} run by label"
    )
    if answered < FLOWS // 2:
        raise harness.CannotRunError("too few requests were answered")
    return bool(wrong)


async def _open(
    fleet: harness.Fleet, keys: list[harness.packet.FlowKey]
) -> list[harness.Caller]:
    callers = [await fleet.caller(key) for key in keys]
    for caller in callers:
        caller.open()
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.5)
    return callers


async def _request(callers: list[harness.Caller]) -> None:
    for caller in callers:
        if caller.state == "open":
            caller.request()
            await asyncio.sleep(0.02)
    await asyncio.sleep(1.0)


if __name__ == "__main__":
    harness.main(case, str(HERE))
