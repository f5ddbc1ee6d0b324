"""DRAIN after a heartbeat of a worker was executed late by the store: see claim.txt."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))

import http11  # noqa: E402
from fleet import Fleet, ZONES  # noqa: E402
from store import Store  # noqa: E402
from worker import Record, Worker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0
STABLE_S = 3.0
# Requests a second, the time after which the store executes a call that got no response, and the time until a
# worker that reported draining exits.
PER_S = 100
LATE_S = 5.6
LEAVES_S = 6.0
WARM_S = 8
LEAVING = 3
HOST = "ficu95.example"
LIMITS = {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


def configuration():
    tenants = [{"name": f"tenant{n}", "api_keys": [f"key{n}"], "prepaid": 50_000_000} for n in range(10)]
    lookup = {"name": "r-lookup", "host": HOST, "path_prefix": "/lookup/", "kind": "safe", "timeout_ms": 1000,
              "latency_target_ms": 100, "priority": 2, "service": "portal", "attempts": 2, "public": False}
    draft = {"name": "r-draft", "host": HOST, "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 8000,
             "latency_target_ms": 1000, "priority": 1, "service": "sage", "attempts": 1, "public": False,
             "sticky": True, "resumable": False, "gap_target_ms": 1000}
    engine = {"slots": 64, "kv_capacity": 384564, "kv_token_bytes": 18432, "stride": 7, "models": [{"name": "m"}]}
    services = [{"name": "portal", "health_path": "/health", "max_connections": 96},
                {"name": "sage", "health_path": "/health", "max_connections": 360, "engine": engine}]
    return {"version": 7, "routes": [lookup, draft], "services": services, "limits": LIMITS, "tenants": tenants}


async def send(record, fleet, number):
    gateway = fleet.gateways[number % len(fleet.gateways)]
    request_id = f"{random.getrandbits(64):016x}"
    headers = {"Host": HOST, "Request-Id": request_id, "X-Api-Key": f"key{random.randrange(10)}"}
    caller = http11.Caller("127.0.0.1", gateway.callers)
    record.sent(request_id, gateway.name)
    if number % 8:
        headers.update({"Deadline-Ms": 1000})
        answer = await caller.exchange("GET", f"/lookup/{number}", headers, limit=1.5)
    else:
        headers.update({"Deadline-Ms": 8000, "Model": "m", "Token-Counts": "1460,80",
                        "Prompt-Prefix": f"5c1e07a2:800,{number + 4096:x}:660"})
        answer = await caller.exchange("POST", f"/draft/{number}", headers, b"x" * 1500, limit=8.5)
    record.answered(request_id, answer)
    caller.close()


async def traffic(record, fleet, per_s):
    for number in range(10**6):
        asyncio.ensure_future(send(record, fleet, number))
        await asyncio.sleep(random.expovariate(per_s))


def lose_heartbeat(record, store, worker):
    """One heartbeat of a worker gets no response; the store executes it seconds later."""
    worker.sequence += 1
    entry = worker.entry()
    record.note(f"the store doesn't answer heartbeat {worker.sequence} of {worker.id}, and executes it {LATE_S} s later")

    def execute():
        store.put("servers", worker.id, entry)
        record.note(f"the store executes heartbeat {entry['sequence']} of {worker.id}; the newest was {worker.sequence}")

    asyncio.get_running_loop().call_later(LATE_S, execute)


async def play(record, fleet, store):
    await store.start()
    store.put("config", "main", configuration())
    old = [Worker(store, record, "portal", zone, slots=6) for zone in ZONES * 2]
    workers = old + [Worker(store, record, "sage", zone, events=12) for zone in ZONES]
    for worker in workers:
        await worker.start()
    if not await fleet.start():
        record.note("the fleet isn't ready")
        return 2
    record.note("the fleet is ready")
    sending = asyncio.ensure_future(traffic(record, fleet, PER_S))
    await asyncio.sleep(WARM_S)
    loop, drained = asyncio.get_running_loop(), []
    for number in range(LEAVING):
        leaving = old.pop(0)
        if TROUBLE:
            lose_heartbeat(record, store, leaving)
        # The store has been without disruption for the stable window as it acknowledges the leaving.
        await asyncio.sleep(STABLE_S + 0.3)
        leaving.drain()
        drained.append((leaving, record.now()))
        loop.call_later(LEAVES_S, leaving.crash)
        await asyncio.sleep(LEAVES_S + 1)
        store.delete("servers", leaving.id)
    sending.cancel()
    late = [(at, worker.id, request, at - since) for worker, since in drained
            for (at, of, request) in record.arrivals if of is worker and at - since > DRAIN_S]
    for at, worker, request, after in late:
        record.note(f"LATE: {request} reached {worker} {after:.3f} s after its leaving was acknowledged")
    record.note(f"{len(record.arrivals)} arrivals; {len(late)} later than {DRAIN_S} s")
    print(f"{len(late)} requests reached a draining worker later than {DRAIN_S} s after the acknowledgement")
    return 1 if late else 0


async def main():
    record, store = Record(os.path.join(HERE, "record.txt")), Store()
    fleet = Fleet(store, record)
    try:
        return await asyncio.wait_for(play(record, fleet, store), 100)
    except asyncio.TimeoutError:
        return 2
    finally:
        fleet.kill()
        print(f"logs: {fleet.folder}")


sys.exit(asyncio.run(main()))
