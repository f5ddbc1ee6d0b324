"""Clients and worker processes of the cases with streams that end with their connection."""

import asyncio
import os
import random
import sys

from stand import ask, finish, now, request_bytes, request_id

HOST = "portal.example"
COMMON = os.path.dirname(os.path.abspath(__file__))


def configuration():
    return {
        "version": 1,
        "routes": [{"name": "r-stream", "host": HOST, "path_prefix": "/stream/",
                    "kind": "streaming", "timeout_ms": 8000, "latency_target_ms": 1000,
                    "priority": 1, "service": "core", "attempts": 1, "public": False,
                    "sticky": True, "resumable": False, "gap_target_ms": 1000}],
        "services": [{"name": "core", "health_path": "/health", "max_connections": 360,
                      "engine": {"slots": 64, "kv_capacity": 384564, "stride": 7}}],
        "limits": {"header_bytes": 16384, "body_bytes": 1 << 20, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": "tenant0", "api_keys": ["key-of-tenant0"], "priority": 1,
                     "prepaid": 500_000_000}],
    }


class Engine:
    """A worker process and its entry in the store."""

    def __init__(self, record, store, name):
        self.record, self.store, self.name = record, store, name
        self.state, self.sequence = "ready", 0
        self.runs = {}

    async def start(self):
        path = os.path.join(COMMON, "worker.py")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, path, self.name, "127.83.0.4", stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE)
        self.port = int((await self.process.stdout.readline()).split()[1])
        self.tasks = [asyncio.create_task(self.listen()), asyncio.create_task(self.beat())]

    async def listen(self):
        while line := await self.process.stdout.readline():
            word, ident, pieces = line.decode().split()
            self.runs[ident] = int(pieces)
            self.record(f"worker {self.name}: {word} of {ident}, {pieces} pieces in all")

    async def report(self, state):
        self.state = state
        self.sequence += 1
        return await self.store.put("servers", self.name, {
            "service": "core", "address": f"127.83.0.4:{self.port}", "zone": "ghala",
            "version": "v1", "slots": 64, "state": state, "cold_remaining_ms": 0, "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": self.sequence})

    async def beat(self):
        while True:
            await self.report(self.state)
            await asyncio.sleep(1.2)

    async def end(self):
        """The process is killed; the entry goes after three heartbeats."""
        for task in self.tasks[1:]:
            task.cancel()
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


async def one_client(record, gateway, answers):
    ident = request_id()
    headers = [("Request-Id", ident), ("X-Api-Key", "key-of-tenant0"), ("Deadline-Ms", "8000"),
               ("Model", "m"), ("Token-Counts", "1460,120"),
               ("Prompt-Prefix", f"5c1e07a2:800,{random.getrandbits(32):08x}:660"),
               ("Connection", "close")]
    data = request_bytes("POST", HOST, "/stream/2f", headers)
    sent = now()
    reply = await ask((gateway["ip"], gateway["callers"]), data, 9)
    pieces = reply.body.count(b"\n\n")
    answers[ident] = (gateway["name"], reply, pieces)
    record(f"{gateway['name']} answers {ident}, sent at {sent:.3f}: {reply.status}, {pieces} pieces,"
           f" {reply.ended}, signature {reply.headers.get('response-signature', '-')}")


async def traffic(record, fleet, answers, until, pause_s):
    clients = []
    while now() < until:
        gateway = fleet.gateways[len(clients) % len(fleet.gateways)]
        clients.append(asyncio.create_task(one_client(record, gateway, answers)))
        await asyncio.sleep(pause_s)
    await asyncio.gather(*clients)


def judge(record, answers, engines):
    whole = sum(1 for _, reply, _ in answers.values() if reply.ended == "whole")
    record(f"{len(answers)} requests, {whole} with a whole answer")
    broken = []
    for ident, (gateway, reply, pieces) in answers.items():
        of = [engine for engine in engines if ident in engine.runs]
        if reply.status == 200 and reply.ended == "whole" and of and pieces < of[0].runs[ident]:
            broken.append(f"{ident} ends as complete at {gateway} after {pieces} of"
                          f" {of[0].runs[ident]} pieces from {of[0].name}")
    for text in broken:
        record("broken: " + text)
    if broken:
        finish(1, f"ORDER broken by {len(broken)} streams; the first: {broken[0]}", record)
    if whole < len(answers) // 2:
        finish(2, f"only {whole} of {len(answers)} requests were answered", record)
    finish(0, f"ORDER held: {whole} of {len(answers)} streams whole, no other ends as complete",
           record)
