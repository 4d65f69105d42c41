"""Shared by the cases: a small deployment of real nodes with stand-ins for the
platform's store, the backends and the clients, all on loopback addresses.

Uses the store and the message reader of the project's own soak test.
"""
import asyncio
import json
import os
import random
import re
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform" / "soak"))
from world import Store, read_message, reset  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "hulo84.example"
# Bounds of the site spokehub-tt, as `fleetbench wire` shows them.
BOUNDS = {"graceS": 6, "retryBudgetRatio": 0.2, "retryBudgetBase": 60,
          "budgetWindowS": 10, "floorShare": 0.7}
HEARTBEAT_S = 1.5
STABLE_WINDOW_S = 4.0
DRAIN_S = 2.5
# Statuses that promise that the request has not run and never will.
NOT_RUN = (408, 421, 429, 503)


class Record:
    """Writes what was sent, answered and run to record.txt of the case."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.4f} {text}\n")
        self.file.flush()


def free_port(ip):
    with socket.socket() as item:
        item.bind((ip, 0))
        return item.getsockname()[1]


def is_free(ip, port):
    with socket.socket() as item:
        try:
            item.bind((ip, port))
            return True
        except OSError:
            return False


def loopback_address():
    """An address of 127.0.0.0/8 on which the fixed metrics port is free."""
    pick = random.SystemRandom()
    while True:
        ip = f"127.{pick.randrange(16, 250)}.{pick.randrange(250)}.{pick.randrange(1, 250)}"
        if is_free(ip, 9464):
            return ip


def look_up(fields, name):
    for part in name.split("."):
        if isinstance(fields, dict) and part in fields:
            fields = fields[part]
        elif isinstance(fields, list) and part.isdigit() and int(part) < len(fields):
            fields = fields[int(part)]
        else:
            return None
    return fields


def fill_template(text, fields):
    """Fills in the parts of the template language that the template uses."""
    def section(match):
        value = look_up(fields, match[1])
        return match[2].replace("{{.}}", str(value)) if value is not None else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

    def value(match):
        found = look_up(fields, match[1])
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class World:
    """The store, the nodes with their backends, and the configuration."""

    def __init__(self, folder, binary=None):
        self.record = Record(folder)
        self.directory = tempfile.TemporaryDirectory(prefix="masticmux-review-")
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        self.command = shlex.split(role["run"])
        if binary:
            self.command[0] = binary
        self.template = (ROOT / role["template"]).read_text()
        self.store, self.nodes, self.processes = Store(), [], []
        self.version = 0

    async def open(self):
        await self.store.open()

    def publish(self, routes, services):
        """Writes the next version of the operator's configuration."""
        self.version += 1
        rules = [{"name": r["name"], "kind": r["kind"],
                  "targetLatencyMs": r.get("objective", 800), "priority": r.get("priority", 1),
                  "match": {"pathPrefix": r["prefix"]},
                  "action": {"service": r["service"], "timeoutMs": r["timeout"],
                             "maxAttempts": r.get("attempts", 2)}} for r in routes]
        config = {"version": self.version,
                  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                             "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
                  "listeners": [{"host": HOST, "rules": rules}],
                  "clusters": [{"name": name, "healthPath": "/health", "maxConnections": 360,
                                "protocol": "h1", "tls": False} for name in services]}
        self.store.append("keyed.op", "config", json.dumps(config).encode())

    async def add_node(self, name, zone, region, service, backend):
        node = Node(self, name, zone, region, service, backend)
        backend.node = node
        await backend.open()
        self.nodes.append(node)
        return node

    async def close(self):
        for node in self.nodes:
            if node.beats:
                node.beats.cancel()
            await node.kill()
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for node in self.nodes:
            await node.backend.close()
        await self.store.close()
        self.directory.cleanup()


class Node:
    """A node process. Its settings come from the template of the deploy file."""

    def __init__(self, world, name, zone, region, service, backend):
        self.world, self.name, self.zone, self.region = world, name, zone, region
        self.service, self.backend = service, backend
        self.ip = loopback_address()
        self.outbound, self.ready, self.control, self.internal = (
            free_port(self.ip) for _ in range(4))
        self.process, self.beats = None, None

    def write_settings(self):
        fields = {"nodeName": self.name, "zone": self.zone, "region": self.region,
                  "ip": self.ip, "service": self.service,
                  "appAddr": f"{self.ip}:{self.backend.port}",
                  "internalPorts": [self.internal, self.internal + 15],
                  "listen": {"outbound": f"{self.ip}:{self.outbound}",
                             "ready": f"{self.ip}:{self.ready}",
                             "control": f"{self.ip}:{self.control}"},
                  "platform": {"address": f"127.0.0.1:{self.world.store.port}"},
                  "bounds": BOUNDS}
        path = Path(self.world.directory.name) / f"{self.name}.toml"
        path.write_text(fill_template(self.world.template, fields))
        return str(path)

    async def start(self):
        command = list(self.world.command)
        command[command.index("--settings") + 1] = self.write_settings()
        log = open(Path(self.world.directory.name) / f"{self.name}.log", "a")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/")})
        log.close()
        self.world.processes.append(self.process)
        self.world.record(f"node {self.name} started, pid {self.process.pid}")
        self.started_at = time.monotonic()
        if not self.beats:
            self.beats = asyncio.ensure_future(self.send_heartbeats())

    def log_text(self):
        return (Path(self.world.directory.name) / f"{self.name}.log").read_text()

    async def wait_ready(self, timeout=10):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            answer = await call(self.ip, self.ready, "GET", "/healthz")
            if answer and answer.line.split()[1] == "200":
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, number):
        self.world.record(f"node {self.name} gets signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def send_heartbeats(self):
        while True:
            if self.backend.beating:
                await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self):
        backend = self.backend
        uri = f"/-/rpc?call=instances.heartbeat&of={backend.name}"
        answer = await call(self.ip, self.control, "POST", uri, backend.heartbeat())
        return bool(answer) and answer.line.split()[1] == "200"


async def call(ip, port, method, uri, body=b"", timeout=1.0):
    """One HTTP call; None if it gets no answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(f"{method} {uri} HTTP/1.1\r\nHost: n\r\nContent-Type: application/json"
                         f"\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode()
                         + body)
            return await read_message(reader, True)
    except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError, IndexError):
        return None
    finally:
        if writer:
            writer.close()


def status_of(message):
    return int(message.line.split()[1])


class Backend:
    """A sound backend as PROTOCOL.md describes it. Cases override work()."""

    def __init__(self, world, name, service, slots=3):
        self.world, self.name, self.service, self.slots = world, name, service, slots
        self.born, self.sequence = int(time.time() * 1000), 0
        self.state, self.beating = "ready", True
        self.running, self.runs, self.arrivals = 0, {}, []
        self.server, self.writers, self.node, self.port = None, set(), None, 0

    async def open(self):
        self.port = self.port or free_port(self.node.ip)
        self.server = await asyncio.start_server(self.serve, self.node.ip, self.port)

    async def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)

    def heartbeat(self):
        self.sequence += 1
        return json.dumps({
            "born": self.born, "address": f"{self.node.ip}:{self.port}",
            "info": {"service": self.service, "version": "v1", "zone": self.node.zone,
                     "slots": self.slots},
            "status": {"state": self.state, "seq": self.sequence, "coldLeftMs": 0}}).encode()

    async def deregister(self):
        uri = f"/-/rpc?call=instances.deregister&of={self.name}"
        answer = await call(self.node.ip, self.node.control, "POST", uri,
                            json.dumps({"born": self.born}).encode())
        return bool(answer) and status_of(answer) == 200

    def answer(self, status, headers=(), body=b""):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", "Keep-Alive: timeout=10"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [f"Masticmux-Instance-Id: {self.name}",
                  f"Masticmux-Backend-Load: {self.running},0,{self.slots}"]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None or not await self.handle(message, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, message, reader, writer):
        if message.line.split()[1] == "/health":
            writer.write(self.answer(200 if self.state == "ready" else 503))
            return True
        attempt = message.headers.get("masticmux-attempt-id")
        if not attempt:
            writer.write(self.answer(400, [("Masticmux-Not-Executed", "1")]))
            return True
        if message.headers.get("masticmux-target-instance", self.name) != self.name:
            writer.write(self.answer(421, [("Masticmux-Attempt-Id", attempt)]))
            return True
        self.arrivals.append((time.monotonic(), attempt))
        if self.running >= self.slots:
            return await self.reject(attempt, writer)
        return await self.execute(message, attempt, reader, writer)

    async def reject(self, attempt, writer):
        self.world.record(f"backend {self.name} rejects {attempt}: 503, not executed")
        writer.write(self.answer(503, [("Masticmux-Attempt-Id", attempt),
                                       ("Masticmux-Not-Executed", "1")]))
        return True

    async def execute(self, message, attempt, reader, writer):
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.world.record(f"backend {self.name} runs {attempt}")
        self.running += 1
        gone = asyncio.ensure_future(self.watch(reader))
        work = asyncio.ensure_future(self.work(message, attempt))
        try:
            # Most backends drop a request when its connection closes.
            await asyncio.wait((gone, work), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()
                self.world.record(f"backend {self.name} drops {attempt}: connection closed")
                return False
        finally:
            gone.cancel()
            self.running -= 1
        body = work.result()
        self.world.record(f"backend {self.name} has run {attempt}: 200")
        writer.write(self.answer(200, [("Masticmux-Attempt-Id", attempt),
                                       ("Masticmux-Response-Signature", signature(attempt, body))],
                                 body))
        return True

    @staticmethod
    async def watch(reader):
        """Returns when the connection is closed; takes no bytes."""
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.02)

    async def work(self, message, attempt):
        await asyncio.sleep(0.05)
        return f"{self.service}:{attempt}".encode()


def signature(attempt, body):
    return f"{attempt}.{len(body)}"


def new_attempt():
    return f"{random.getrandbits(64):016x}"


def request(method, path, attempt, deadline_ms, body=b""):
    head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nMasticmux-Attempt-Id: {attempt}\r\n"
            f"Masticmux-Deadline-Ms: {deadline_ms}\r\n")
    if method != "GET":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def main(folder, run):
    """Runs a case. Exit status: 1 if the rule was broken, 0 if it held, 2 if the
    case could not run."""
    async def guarded():
        # The processes that the case started are ended on SIGTERM, too.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        world = World(folder, os.environ.get("BINARY"))
        try:
            await world.open()
            async with asyncio.timeout(115):
                return await run(world)
        finally:
            await world.close()

    try:
        broken = asyncio.run(guarded())
    except (Exception, asyncio.CancelledError) as error:  # the case itself failed
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    if broken is None:
        sys.exit(2)
    for line in broken:
        print(line)
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
