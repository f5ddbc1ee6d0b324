"""Starts and ends the project's own processes, with settings made from its templates."""
import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "sagespoold")
# A script that is ended early still ends what it started.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
ZONES = ["ghala", "rusayl", "seeb", "qurum"]
METRICS_PORT = "9464"


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def find(scopes, path):
    if path == ".":
        return scopes[0]
    for scope in scopes:
        value = scope
        for part in path.split("."):
            if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(text, scopes):
    """Fills in a template as DEPLOY.md describes it, as far as the project's templates need."""
    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)
    found = section.search(text)
    if found:
        before, after = text[:found.start()], text[found.end():]
        kind, path, inner = found.groups()
        value = find(scopes, path)
        filled = ""
        if kind == "^":
            filled = "" if value else render(inner, scopes)
        elif isinstance(value, list):
            for number, entry in enumerate(value):
                comma = "," if number + 1 < len(value) else ""
                filled += render(inner.replace("{{,}}", comma), [entry] + scopes)
        elif value:
            filled = render(inner, scopes)
        return render(before, scopes) + filled + render(after, scopes)

    def place(match):
        path, _, form = match.group(1).partition("|")
        value = find(scopes, path)
        if form == "json" or isinstance(value, (dict, bool)):
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([^}#^/]+)\}\}", place, text)


class Machine:
    """One machine with one process of the project."""

    def __init__(self, fleet, role, zone, number):
        self.fleet, self.role, self.zone = fleet, role, zone
        self.name = f"{'frontend' if role == 'gateway' else 'side'}-{zone}-{number}"
        self.callers, self.ready, self.metrics = free_port(), free_port(), free_port()
        self.link, self.process, self.starts = free_port(socket.SOCK_DGRAM), None, 0

    def fields(self):
        with_link = {"listen": {"frontend": f"127.0.0.1:{self.callers}", "ready": f"127.0.0.1:{self.ready}",
                                "control": f"127.0.0.1:{self.link}"}}
        frontend = self.role == "gateway"
        limits = {"cpu_share": 0.19 if frontend else 0.2, "cores": 1, "memory_mb": 110 if frontend else 192,
                  "file_descriptors": 4100 if frontend else 4096, "link_mbps": 1000.0 if frontend else 2000.0}
        return {"node": self.name, "ip": "127.0.0.1", "zone": self.zone, "region": "muscat",
                "zones": {zone: "muscat" for zone in ZONES}, "internal_ports": [self.link, self.link],
                "seeds": self.fleet.seeds(), "bootstrap": self.starts == 0, "limits": limits,
                "bounds": self.fleet.bounds, "platform": {"address": f"127.0.0.1:{self.fleet.store.port}"},
                **(with_link if frontend else {"listen": {}})}

    def start(self):
        template = open(os.path.join(ROOT, "platform", f"{self.role}.json.template")).read()
        text = render(template, [self.fields()]).replace(f"127.0.0.1:{METRICS_PORT}", f"127.0.0.1:{self.metrics}")
        json.loads(text)
        self.starts += 1
        path = os.path.join(self.fleet.folder, f"{self.name}.json")
        with open(path, "w") as file:
            file.write(text)
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "a")
        self.process = subprocess.Popen([PROGRAM, path], cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.fleet.record.note(f"{self.name} starts")

    def send(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            self.fleet.record.note(f"{self.name} gets {signal.Signals(number).name}")

    async def ended(self, limit=10.0):
        for _ in range(int(limit / 0.02)):
            if self.process.poll() is not None:
                return True
            await asyncio.sleep(0.02)
        return False

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.ready), 1)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Fleet:
    """The gateways and relays of a small deployment."""

    def __init__(self, store, record, gateways=4, relays=4, bounds=None):
        self.store, self.record = store, record
        self.folder = tempfile.mkdtemp(prefix="sagespool-review-")
        self.bounds = {"config_propagation_ms": 2000, "drain_ms": 2000, "grace_s": 8, "retry_budget_ratio": 0.2,
                       "budget_slack": 52, "budget_window_s": 10, **(bounds or {})}
        zone = lambda number: ZONES[number % len(ZONES)]
        self.gateways = [Machine(self, "gateway", zone(n), n // 4 + 1) for n in range(gateways)]
        self.relays = [Machine(self, "relay", zone(n), n // 4 + 1) for n in range(relays)]

    def seeds(self):
        return [f"127.0.0.1:{machine.link}" for machine in self.gateways[:3]]

    async def start(self, limit=20.0):
        for machine in self.gateways + self.relays:
            machine.start()
        return await self.wait_ready(limit)

    async def wait_ready(self, limit=20.0):
        for _ in range(int(limit / 0.1)):
            if all([await machine.is_ready() for machine in self.gateways]):
                return True
            await asyncio.sleep(0.1)
        return False

    def kill(self):
        for machine in self.gateways + self.relays:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
