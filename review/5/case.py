"""No process starts if one of the bounds in the settings, retryBudgetBase, is a fraction.

Two nodes with one backend of `tills` each. Each process that ends is started again
after a second, as the platform does. TROUBLE: the bound retryBudgetBase is 60.5
instead of 60. All other settings are the same.
"""
import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lib import (BOUNDS, TROUBLE, Backend, main, new_attempt, read_message, request, status_of)

SECONDS = 20
RESTART_S = 1.0
ENDS_MAX = 3
DEADLINE_MS = 1500


async def supervise(world, node, ends):
    while True:
        status = await node.process.wait()
        ends[node.name] = ends.get(node.name, 0) + 1
        last = node.log_text().strip().splitlines()
        world.record(f"node {node.name} ended by itself with status {status}: "
                     f"{last[-1] if last else ''}")
        await asyncio.sleep(RESTART_S)
        await node.start()


async def send(world, node, statuses):
    attempt = new_attempt()
    status = None
    world.record(f"client sends {attempt} to {node.name}")
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
            reader, writer = await asyncio.open_connection(node.ip, node.outbound)
            writer.write(request("GET", "/leny950/2f", attempt, DEADLINE_MS))
            message = await read_message(reader, True)
            writer.close()
        status = status_of(message) if message else None
    except (OSError, ValueError, IndexError, asyncio.IncompleteReadError, TimeoutError):
        pass
    statuses.append(status)
    world.record(f"client gets {status} for {attempt}")


async def run(world):
    if TROUBLE:
        BOUNDS["retryBudgetBase"] = 60.5
    world.publish([{"name": "read", "kind": "read_only", "prefix": "/leny950/",
                    "service": "tills", "timeout": DEADLINE_MS}], ["tills"])
    nodes, statuses, ends = [], [], {}
    for index in range(2):
        nodes.append(await world.add_node(f"sidecar-{index}", "north-a", "north", "tills",
                                          Backend(world, f"i-till{index}", "tills")))
    for node in nodes:
        await node.start()
    supervisors = [asyncio.ensure_future(supervise(world, node, ends)) for node in nodes]
    start = time.monotonic()
    await asyncio.sleep(5)
    while time.monotonic() < start + SECONDS:
        for node in nodes:
            await send(world, node, statuses)
        await asyncio.sleep(0.2)
    for supervisor in supervisors:
        supervisor.cancel()
    served = sum(status == 200 for status in statuses)
    print(f"{len(statuses)} requests, {served} served; processes that ended by themselves: {ends}")
    broken = [f"Fault: the process of {name} ended by itself {count} times, with no disruption there"
              for name, count in ends.items() if count >= ENDS_MAX]
    if served == 0:
        broken.append("Fault: no request was served")
    for line in broken:
        world.record(line)
    return broken


main(Path(__file__).resolve().parent, run)
