"""A backend that has deregistered gets requests again after its node was restarted:
a heartbeat from before the deregistration arrives late and is taken for new.

Two nodes with one backend of `tills` each. The backend beside node 0 leaves: it
sends its deregistration first, continues to serve, and exits, as PROTOCOL.md
describes. Its last heartbeat arrives seconds late. Clients of node 1 send
payments all the while. TROUBLE: node 0 is killed after it has acknowledged the
deregistration, and started again.
"""
import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lib import (DRAIN_S, STABLE_WINDOW_S, TROUBLE, Backend, call, main, new_attempt,
                 read_message, request, status_of)

DEADLINE_MS = 1500
RATE = 12
# Times after the acknowledgement of the deregistration, seconds.
KILL_AT, START_AT, LATE_BEAT_AT, EXIT_AT, END_AT = 0.5, 1.0, 2.5, 14.0, 17.0


class Till(Backend):
    async def work(self, message, attempt):
        await asyncio.sleep(random.uniform(0.1, 0.16))
        return f"paid {attempt}".encode()


async def pay(world, node, statuses):
    """One payment on a connection of its own, without a retry."""
    attempt = new_attempt()
    statuses[attempt] = None
    world.record(f"client sends {attempt} to {node.name}")
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
            reader, writer = await asyncio.open_connection(node.ip, node.outbound)
            writer.write(request("POST", "/puka111/2f", attempt, DEADLINE_MS, b"amount=1"))
            message = await read_message(reader, True)
            writer.close()
        statuses[attempt] = status_of(message) if message else None
    except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError):
        pass
    world.record(f"client gets {statuses[attempt]} for {attempt}")


async def send_payments(world, node, statuses, until):
    tasks = []
    while time.monotonic() < until:
        tasks.append(asyncio.ensure_future(pay(world, node, statuses)))
        await asyncio.sleep(random.expovariate(RATE))
    await asyncio.wait(tasks)


async def sleep_until(when):
    await asyncio.sleep(max(when - time.monotonic(), 0))


async def run(world):
    world.publish([{"name": "pay", "kind": "non_idempotent", "prefix": "/puka111/",
                    "service": "tills", "timeout": DEADLINE_MS}], ["tills"])
    nodes = []
    for index in range(2):
        nodes.append(await world.add_node(f"sidecar-{index}", "north-a", "north", "tills",
                                          Till(world, f"i-till{index}", "tills")))
    for node in nodes:
        await node.start()
    for node in nodes:
        if not await node.wait_ready():
            return None
    await asyncio.sleep(6)
    node, leaver = nodes[0], nodes[0].backend
    statuses = {}
    traffic = asyncio.ensure_future(
        send_payments(world, nodes[1], statuses, time.monotonic() + 3 + END_AT))
    await asyncio.sleep(3)

    late = leaver.heartbeat()
    world.record(f"backend {leaver.name} sends heartbeat {leaver.sequence}, which is delayed")
    await asyncio.sleep(0.3)
    leaver.beating, leaver.state = False, "leaving"
    if not await leaver.deregister():
        return None
    acked = time.monotonic()
    world.record(f"node {node.name} acknowledges that {leaver.name} is gone")
    restarted = None
    if TROUBLE:
        await sleep_until(acked + KILL_AT)
        world.record(f"node {node.name} is killed")
        await node.kill()
        await sleep_until(acked + START_AT)
        await node.start()
        restarted = time.monotonic()
    await sleep_until(acked + LATE_BEAT_AT)
    answer = await call(node.ip, node.control, "POST",
                        f"/-/rpc?call=instances.heartbeat&of={leaver.name}", late)
    world.record(f"the delayed heartbeat arrives: {answer.line if answer else 'no answer'}")
    await sleep_until(acked + EXIT_AT)
    world.record(f"backend {leaver.name} exits with {leaver.running} requests at work")
    cut = leaver.running
    await leaver.close()
    await traffic

    # Both machines are in touch from here on, and the time for draining is over.
    since = max(acked + DRAIN_S, (restarted or acked) + STABLE_WINDOW_S + 0.5)
    late_arrivals = [attempt for at, attempt in leaver.arrivals if at > since]
    served = sum(status == 200 for status in statuses.values())
    print(f"{len(statuses)} payments, {served} served, {len(late_arrivals)} reached "
          f"{leaver.name} too late, {cut} at work as it exited")
    if served < 50 or not leaver.runs:
        return None
    broken = [f"DRAIN: {attempt} reached {leaver.name} more than {DRAIN_S} s after the "
              f"acknowledgement, answered {statuses.get(attempt)}" for attempt in late_arrivals]
    for line in broken:
        world.record(line)
    return broken


main(Path(__file__).resolve().parent, run)
