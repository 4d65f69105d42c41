"""A node that gets SIGTERM closes a connection behind the answer to the first of
two pipelined requests, although it has passed the second one on to a backend.
An answer to the second one that is ready is thrown away.

Two nodes with one backend of `histories` each. Three clients of the first node
send two read_only requests each, the second before the answer to the first, as
PROTOCOL.md allows. TROUBLE: while the backends work on all six, the node gets
SIGTERM. Only requests that a backend began to work on are judged.
"""
import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lib import (BOUNDS, TROUBLE, Backend, main, new_attempt, read_message, request, signature,
                 status_of)

DEADLINE_MS = 4000
# Work of the first request of a connection and of the second one, seconds. On the
# last connection the second answer is ready before the first.
FIRST_S, SECOND_S = 0.9, (1.3, 1.3, 0.6)
TERM_AFTER_S = 0.4


class Histories(Backend):
    async def work(self, message, attempt):
        await asyncio.sleep(float(message.line.split()[1].rsplit("/", 1)[1]))
        return f"history {attempt}".encode()


async def browse(world, node, second_s, results):
    """Two requests on one connection; the second one does not wait for the first."""
    attempts = [new_attempt(), new_attempt()]
    reader, writer = await asyncio.open_connection(node.ip, node.outbound)
    for name, attempt, work_s in zip(("first", "second"), attempts, (FIRST_S, second_s)):
        world.record(f"client sends {attempt} ({name}, {work_s} s of work) to {node.name}")
        writer.write(request("GET", f"/leny950/{work_s}", attempt, DEADLINE_MS))
    sent = time.monotonic()
    for name, attempt in zip(("first", "second"), attempts):
        message = None
        try:
            async with asyncio.timeout(sent + DEADLINE_MS / 1000 + 1 - time.monotonic()):
                message = await read_message(reader, True)
        except (OSError, ValueError, IndexError, asyncio.IncompleteReadError, TimeoutError):
            pass
        after = time.monotonic() - sent
        whole = bool(message) and (
            status_of(message) != 200 or
            message.headers.get("masticmux-response-signature") == signature(attempt, message.body))
        results[attempt] = (name, status_of(message) if whole else None, after)
        world.record(f"client gets {status_of(message) if message else 'the end of the connection'}"
                     f" for {attempt} ({name}) after {after:.2f} s, Connection: "
                     f"{message.headers.get('connection', '-') if message else '-'}")
    writer.close()


async def run(world):
    world.publish([{"name": "browse", "kind": "read_only", "prefix": "/leny950/",
                    "service": "histories", "timeout": 3000, "objective": 1500}], ["histories"])
    nodes = []
    for index in range(2):
        nodes.append(await world.add_node(f"sidecar-{index}", "north-a", "north", "histories",
                                          Histories(world, f"i-history{index}", "histories")))
    for node in nodes:
        await node.start()
    for node in nodes:
        if not await node.wait_ready():
            return None
    # Longer than the stable window: both machines are in touch.
    await asyncio.sleep(6)
    results = {}
    tasks = [asyncio.ensure_future(browse(world, nodes[0], second_s, results))
             for second_s in SECOND_S]
    await asyncio.sleep(TERM_AFTER_S)
    if TROUBLE:
        nodes[0].signal(signal.SIGTERM)
    await asyncio.wait(tasks)
    for task in tasks:
        task.result()
    if TROUBLE:
        async with asyncio.timeout(BOUNDS["graceS"] + 2):
            await nodes[0].process.wait()
        world.record(f"node {nodes[0].name} ended with status {nodes[0].process.returncode}")
    runs = {attempt for node in nodes for attempt in node.backend.runs}
    print(f"{len(results)} requests, {len(runs)} passed on to a backend, "
          f"{sum(status == 200 for _, status, _ in results.values())} answered with 200")
    if len(runs) < len(SECOND_S):
        return None
    broken = [f"LOST: {attempt} ({name}) had been passed on to a backend; its connection ended "
              f"without an answer after {after:.2f} s"
              for attempt, (name, status, after) in results.items()
              if status is None and attempt in runs and after < 3.0]
    for line in broken:
        world.record(line)
    return broken


main(Path(__file__).resolve().parent, run)
