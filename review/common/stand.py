"""Stand-ins for the review's scripts: platform store, proxy, workers, clients, and sagespool's processes.

Only the Python standard library is used, and only loopback addresses. Everything but sagespool's own
processes runs in one asyncio loop.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BINARY = os.path.join(ROOT, "target", "release", "sagespoold")
ZONES = ["ghala", "rusayl", "seeb", "qurum"]
REGION = "muscat"
# The bounds of sites/majan-tx.toml, as SYSTEM.md lists them.
BOUNDS = {
    "stable_window_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_propagation_ms": 2000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 52,
}

BEGAN = time.monotonic()


def now():
    """Seconds since the script began."""
    return time.monotonic() - BEGAN


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{now():9.3f} s  {text}\n")
        self.file.flush()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


# ---- HTTP, as far as the stand-ins need it

async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    """Method, target, headers and body; None at the end of the connection."""
    try:
        first, headers = await read_head(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, target, _ = first.split(" ", 2)
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return method, target, headers, body


REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone",
           421: "Misdirected Request", 503: "Service Unavailable"}


def response(status, body, headers=()):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# ---- the platform's store

class Store:
    """The platform's metadata store (PROTOCOL.md), without faults of its own."""

    def __init__(self):
        self.revision = 7
        self.objects = {}
        self.changes = []
        self.changed = asyncio.Condition()
        self.address = None

    async def start(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 24)
        self.address = server.sockets[0].getsockname()

    async def put(self, kind, name, specification):
        """Writes an object in place of the operator or a worker. Returns when it's acknowledged."""
        async with self.changed:
            self.write(kind, name, specification)
            self.changed.notify_all()
        return now()

    async def remove(self, kind, name):
        async with self.changed:
            self.delete(kind, name)
            self.changed.notify_all()
        return now()

    def write(self, kind, name, specification):
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision, "created": 1,
                             "finalizers": [], "deleting": False},
                "specification": specification, "status": None}
        self.objects[(kind, name)] = item
        self.changes.append((self.revision, kind, {"object": item, "deleted": False}))
        return item

    def delete(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self.changes.append((self.revision, kind, {"object": item, "deleted": True}))
        return item

    async def serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                await asyncio.sleep(0.004)
                status, body = await self.handle(*request)
                text = json.dumps(body).encode()
                writer.write(response(status, text, [("Content-Type", "application/json")]))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, _headers, body):
        path, _, query = target.partition("?")
        query = dict(part.partition("=")[::2] for part in query.split("&") if part)
        kind, _, name = path.removeprefix("/objects/").partition("/")
        if method == "GET":
            if "watch" in query:
                return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
            if name:
                item = self.objects.get((kind, name))
                return (200, item) if item else (404, {})
            names = sorted(n for k, n in self.objects if k == kind and n > query.get("after", ""))
            items = [self.objects[(kind, n)] for n in names[:500]]
            return 200, {"items": items, "has_more": len(names) > 500, "as_of": self.revision}
        async with self.changed:
            status, answer = self.change(method, kind, name, query, body)
            self.changed.notify_all()
        return status, answer

    def change(self, method, kind, name, query, body):
        if method == "DELETE":
            item = self.objects.get((kind, name))
            if item is None:
                return 404, {}
            if "revision" in query and int(query["revision"]) != item["metadata"]["revision"]:
                return 409, item
            return 200, self.delete(kind, name)
        sent = json.loads(body)
        metadata = sent.get("metadata", {})
        name = name or metadata["name"]
        item = self.objects.get((kind, name))
        if method == "POST":
            return (409, item) if item else (201, self.write(kind, name, sent["specification"]))
        if item is None:
            return 404, {}
        if metadata.get("revision", item["metadata"]["revision"]) != item["metadata"]["revision"]:
            return 409, item
        return 200, self.write(kind, name, sent["specification"])

    async def watch(self, kind, after, wait_ms):
        def events():
            return [event for rev, k, event in self.changes if rev > after and k == kind]

        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(events), wait_ms / 1000)
            except asyncio.TimeoutError:
                pass
            return 200, {"events": events(), "as_of": self.revision}


# ---- a proxy in front of the store

class Link:
    """One forwarded connection."""

    def __init__(self):
        self.silent = False


class Proxy:
    """Forwards connections to the store. `silence` makes all open ones silent for good."""

    def __init__(self, target):
        self.target = target
        self.open = set()
        # Keeps silent connections open: nothing else refers to their tasks.
        self.kept = []
        self.address = None

    async def start(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0)
        self.address = server.sockets[0].getsockname()

    def silence(self):
        """All bytes of the connections that are open now are dropped; new ones work."""
        silenced = len(self.open)
        for link in self.open:
            link.silent = True
        self.open = set()
        return silenced

    async def serve(self, reader, writer):
        link = Link()
        self.open.add(link)
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        ends = [asyncio.create_task(self.pump(reader, up_writer, link)),
                asyncio.create_task(self.pump(up_reader, writer, link))]
        self.kept.append((ends, reader, writer, up_reader, up_writer))
        await asyncio.wait(ends)
        self.open.discard(link)

    async def pump(self, reader, writer, link):
        try:
            while data := await reader.read(1 << 16):
                if not link.silent:
                    writer.write(data)
                    await writer.drain()
            if not link.silent:
                writer.close()
        except ConnectionError:
            writer.close()


# ---- sagespool's processes

class Fleet:
    """Gateways and relays, started with the command of deploy/system.toml."""

    def __init__(self, record, store_address, base="127.83"):
        self.record = record
        self.store_address = store_address
        self.base = base
        self.folder = tempfile.mkdtemp(prefix="sagespool-review-")
        self.processes = {}
        self.gateways = []
        self.relays = []

    def plan(self, gateways, relays):
        third = random.randrange(1, 250)
        for number in range(gateways):
            ip = f"{self.base}.{third}.{number + 1}"
            zone = ZONES[number % len(ZONES)]
            self.gateways.append({
                "name": f"frontend-{zone}-{number // len(ZONES) + 1}", "zone": zone, "ip": ip,
                "callers": free_port(ip), "ready": free_port(ip), "metrics": free_port(ip),
                "link": free_port(ip)})
        for number in range(relays):
            ip = f"{self.base}.{third}.{number + 101}"
            zone = ZONES[number % len(ZONES)]
            self.relays.append({"name": f"side-{zone}-{number // len(ZONES) + 1}", "zone": zone,
                                "ip": ip, "link": free_port(ip)})

    def seeds(self):
        return [f"{gateway['ip']}:{gateway['link']}" for gateway in self.gateways[:3]]

    def store(self):
        return f"{self.store_address[0]}:{self.store_address[1]}"

    def gateway_settings(self, gateway, bootstrap):
        """platform/gateway.json.template, filled in."""
        return {
            "role": "gateway", "instance": gateway["name"], "region": REGION,
            "centre": gateway["zone"], "callers": f"{gateway['ip']}:{gateway['callers']}",
            "readiness": f"{gateway['ip']}:{gateway['ready']}",
            "metrics": f"{gateway['ip']}:{gateway['metrics']}",
            "link": f"{gateway['ip']}:{gateway['link']}", "peers": self.seeds(),
            "object_api": self.store(),
            "in_force": {"configuration_ms": BOUNDS["config_propagation_ms"],
                         "upstreams_ms": BOUNDS["drain_ms"]},
            "regions": {zone: REGION for zone in ZONES}, "first_start": bootstrap,
            "stop_limit_s": BOUNDS["grace_s"],
            "grants": {"ahead_s": 3, "share": 0.2, "idle": 0.04},
            "rotation": {"lease_ms": 3000, "hold_ms": 8000},
            "limits": {"memory_mb": 110, "descriptors": 4100, "processor": 0.19,
                       "link_mbps": 1000.0},
            "retries": {"ratio": BOUNDS["retry_budget_ratio"], "slack": BOUNDS["budget_slack"],
                        "window_s": BOUNDS["budget_window_s"]},
        }

    def relay_settings(self, relay):
        """platform/relay.json.template, filled in."""
        return {"role": "relay", "instance": relay["name"], "region": REGION,
                "centre": relay["zone"], "link": f"{relay['ip']}:{relay['link']}",
                "peers": self.seeds(), "object_api": self.store()}

    async def start(self, machine, bootstrap=False):
        is_gateway = "callers" in machine
        settings = (self.gateway_settings(machine, bootstrap) if is_gateway
                    else self.relay_settings(machine))
        path = os.path.join(self.folder, machine["name"] + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.folder, machine["name"] + ".log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["SAGESPOOL_NODE_FILE"] = path
        process = await asyncio.create_subprocess_exec(
            BINARY, path, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log)
        self.processes[machine["name"]] = process

    async def start_all(self):
        for machine in self.gateways + self.relays:
            await self.start(machine, bootstrap=True)

    async def wait_ready(self, limit=20):
        """Waits until each gateway reports itself ready; False if one doesn't in time."""
        end = now() + limit
        for gateway in self.gateways:
            while not await is_ready(gateway):
                if now() > end:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def end(self):
        for process in self.processes.values():
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes.values():
            await process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def is_ready(gateway):
    try:
        reader, writer = await asyncio.open_connection(gateway["ip"], gateway["ready"])
        writer.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
        first = await asyncio.wait_for(reader.readline(), 1)
        writer.close()
        return b" 200 " in first
    except (OSError, asyncio.TimeoutError):
        return False


# ---- clients

class Reply:
    """What a client got: `ended` is `whole`, `cut` or `none`."""

    def __init__(self, status, headers, body, ended):
        self.status, self.headers, self.body, self.ended = status, headers, body, ended


def request_id():
    return f"{random.getrandbits(64):016x}"


def request_bytes(method, host, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def ask(address, data, limit):
    """One client attempt over a new connection."""
    reply = Reply(0, {}, b"", "none")
    try:
        await asyncio.wait_for(exchange(address, data, reply), limit)
        reply.ended = "whole"
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        reply.ended = "cut" if reply.status else "none"
    return reply


async def exchange(address, data, reply):
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        first, reply.headers = await read_head(reader)
        reply.status = int(first.split(" ")[1])
        if "chunked" in reply.headers.get("transfer-encoding", ""):
            while (size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)) > 0:
                reply.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        elif "content-length" in reply.headers:
            reply.body = await reader.readexactly(int(reply.headers["content-length"]))
        else:
            reply.body = await reader.read()
    finally:
        writer.close()


def finish(code, text, record):
    """Ends the script with a verdict, once `run` has seen that main's own clean-up is done."""
    record(text)
    print(text, flush=True)
    sys.exit(code)


# ---- workers

def signature(request):
    return f"{request}.0.1"


class Worker:
    """A sound worker of a plain service, or of model engines."""

    def __init__(self, record, store, name, service, zone="ghala", slots=8):
        self.record, self.store = record, store
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.address = None
        self.runs = []
        self.sequence = 0
        self.work_s = 0.02

    async def start(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 20)
        self.address = server.sockets[0].getsockname()
        await self.report()
        asyncio.create_task(self.beat())

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone, "version": "v1", "slots": self.slots, "state": state,
                "cold_remaining_ms": 0, "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "sequence": self.sequence}

    async def report(self, state="ready"):
        return await self.store.put("servers", self.name, self.entry(state))

    async def beat(self):
        while True:
            await asyncio.sleep(1.2 * random.uniform(0.9, 1.1))
            await self.report()

    async def serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                method, target, headers, _ = request
                if headers.get("expected-instance", self.name) != self.name:
                    writer.write(response(421, b"", [("Worker-Id", self.name)]))
                    continue
                ident = headers.get("request-id", "")
                self.runs.append((ident, now(), headers))
                self.record(f"worker {self.name} ({self.service}) runs {ident} {method} {target}"
                            f" tenant={headers.get('tenant', '-')}")
                await self.answer(writer, ident, headers)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, writer, ident, headers):
        await asyncio.sleep(self.work_s)
        marks = [("Request-Id", ident), ("Response-Signature", signature(ident))]
        if "token-counts" not in headers:
            writer.write(response(200, b"answer of " + ident.encode(), marks))
            return
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in marks]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, 11):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")


# ---- the script itself

def run(main, record):
    """Runs a case. A SIGTERM ends it with 2, after all processes that it started."""
    async def guarded():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        # Connections that are cut in the middle of a call are part of the disruptions.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        code, text = 2, "the case ended without a verdict"
        try:
            await main()
        except SystemExit as verdict:
            # The loop's other tasks are stand-ins, which nothing has to wait for.
            os._exit(verdict.code)
        except asyncio.CancelledError:
            text = "the time was over"
        except Exception as error:  # Only a judged rule may end with 1.
            text = f"the case couldn't run: {error!r}"
        record(text)
        print(text, flush=True)
        os._exit(code)

    asyncio.run(guarded())
