"""A late second copy of a backend's rejection is taken for the rejection of the
next request, which runs: that request is sent to another backend and runs again.

Two nodes with one backend of `tills` each. Clients send payments (kind
non_idempotent) and half as many reads to both. For 8.5 s of every 10 s each
backend rejects one in ten requests (503 with Masticmux-Not-Executed).
TROUBLE: for 5 s of every 10 s one of the backends sends a second copy of at most
3% of its answers, late: on the same connection, when the next answer is due there.
"""
import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lib import (NOT_RUN, TROUBLE, Backend, main, new_attempt, read_message, request,
                 status_of)

PERIOD_S = 10
SHED_SHARE, SHED_S = 0.1, 8.5
EXTRA_SHARE, EXTRA_S = 0.03, 5
SECONDS = 70
RATE = 21
DEADLINE_MS = 1500


class Till(Backend):
    def __init__(self, world, name, service, faulty):
        super().__init__(world, name, service)
        self.faulty, self.start = faulty, None
        self.answers, self.extras = 0, 0  # answers: only while it is faulty
        self.second = {}  # connection -> copy of its latest answer, a rejection

    def since(self):
        """Time since the start of the present period of disruption."""
        return (time.monotonic() - self.start) % PERIOD_S if self.start else PERIOD_S

    async def handle(self, message, reader, writer):
        attempt = message.headers.get("masticmux-attempt-id")
        copy = self.second.pop(writer, None)
        if attempt and copy:
            self.extras += 1
            self.world.record(f"backend {self.name} sends the second copy of its answer to "
                              f"{copy[0]}, as {attempt} arrives")
            writer.write(copy[1])
        if attempt:
            self.answers += self.faulty and self.since() < EXTRA_S
            if message.headers.get("masticmux-target-instance") == self.name and \
                    self.since() < SHED_S and random.random() < SHED_SHARE:
                return await self.reject(attempt, writer)
        return await super().handle(message, reader, writer)

    async def reject(self, attempt, writer):
        rejection = self.answer(503, [("Masticmux-Attempt-Id", attempt),
                                      ("Masticmux-Not-Executed", "1")])
        # Counts the copies that are due, so that the share stays below its bound.
        if TROUBLE and self.faulty and self.since() < EXTRA_S and \
                self.extras + len(self.second) + 1 <= EXTRA_SHARE * self.answers:
            self.second[writer] = (attempt, rejection)
        self.world.record(f"backend {self.name} rejects {attempt}: 503, not executed")
        writer.write(rejection)
        return True

    async def work(self, message, attempt):
        await asyncio.sleep(random.uniform(0.1, 0.16))
        return f"paid {attempt}".encode()


async def send(world, node, method, statuses):
    """One request on a connection of its own, without a retry."""
    attempt = new_attempt()
    path = "/puka111/2f" if method == "POST" else "/leny950/2f"
    statuses[attempt] = None
    world.record(f"client sends {method} {attempt} to {node.name}")
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
            reader, writer = await asyncio.open_connection(node.ip, node.outbound)
            writer.write(request(method, path, attempt, DEADLINE_MS, b"amount=1" if method == "POST" else b""))
            message = await read_message(reader, True)
            writer.close()
    except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError):
        message = None
    statuses[attempt] = status_of(message) if message else None
    world.record(f"client gets {statuses[attempt]} for {attempt}")


async def run(world):
    world.publish([{"name": "pay", "kind": "non_idempotent", "prefix": "/puka111/",
                    "service": "tills", "timeout": DEADLINE_MS},
                   {"name": "check", "kind": "read_only", "prefix": "/leny950/",
                    "service": "tills", "timeout": DEADLINE_MS}], ["tills"])
    nodes = []
    for index in range(2):
        nodes.append(await world.add_node(f"sidecar-{index}", "north-a", "north", "tills",
                                          Till(world, f"i-till{index}", "tills", index == 0)))
    for node in nodes:
        await node.start()
    for node in nodes:
        if not await node.wait_ready():
            return None
    await asyncio.sleep(6)
    payments, reads, tasks = {}, {}, []
    for node in nodes:
        node.backend.start = time.monotonic()
    end = time.monotonic() + SECONDS
    while time.monotonic() < end:
        method, statuses = random.choice((("POST", payments), ("POST", payments), ("GET", reads)))
        tasks.append(asyncio.ensure_future(send(world, random.choice(nodes), method, statuses)))
        await asyncio.sleep(random.expovariate(RATE))
    await asyncio.wait(tasks)
    await asyncio.sleep(2)
    runs = {}
    for node in nodes:
        for attempt, count in node.backend.runs.items():
            runs[attempt] = runs.get(attempt, 0) + count
    served = sum(status == 200 for status in payments.values())
    faulty = nodes[0].backend
    print(f"{len(payments)} payments, {served} served, {faulty.extras} second copies to "
          f"{faulty.answers} answers of {faulty.name}")
    if served < 50:
        return None
    broken = [f"TWICE: payment {attempt} ran {runs[attempt]} times, answered {status}"
              for attempt, status in payments.items() if runs.get(attempt, 0) > 1]
    broken += [f"REFUSED: payment {attempt} was answered {status} and has run"
               for attempt, status in payments.items() if status in NOT_RUN and runs.get(attempt)]
    for line in broken:
        world.record(line)
    return broken


main(Path(__file__).resolve().parent, run)
