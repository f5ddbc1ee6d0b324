"""A stand-in for the workers, as PROTOCOL.md describes them."""
import asyncio
import itertools
import random
import time

import http11

IDLE_S = 15
HEARTBEAT_S = 1.2
_numbers = itertools.count(1)


class Worker:
    """One worker: it registers, checks `Expected-Instance`, runs requests and signs its answers.

    `run(worker, request)` may return a status, or None for the usual answer. A worker notes each
    arrival and each run in the record.
    """

    def __init__(self, store, record, service, zone, slots=64, work_s=0.015, events=0, gap_s=0.03, run=None):
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.slots, self.work_s, self.events, self.gap_s = slots, work_s, events, gap_s
        self.run, self.id = run, f"i-{next(_numbers):06x}"
        self.state, self.sequence, self.running, self.port = "ready", 0, 0, 0
        self.server, self.beating, self.writers, self.silent = None, None, set(), set()

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=8 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beating = asyncio.ensure_future(self.beat())

    def entry(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
                "stage": "both", "models": [], "sequence": self.sequence}

    def write(self):
        self.sequence += 1
        self.store.put("servers", self.id, self.entry())

    async def beat(self):
        while True:
            self.write()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.8, 1.2))

    def drain(self):
        """Reports that it is leaving. The store has acknowledged it when this returns."""
        self.state = "draining"
        self.write()
        self.record.note(f"{self.id} reports draining, and the store acknowledges it")

    def silence(self):
        """All open connections go silent for good, without a reset; new ones work."""
        self.silent |= self.writers
        return len(self.writers)

    def crash(self):
        """Its process ends: all connections break, and new ones are refused."""
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await asyncio.wait_for(http11.read_request(reader), IDLE_S)
                if request is None:
                    return
                if writer in self.silent:
                    await asyncio.sleep(3600)
                await self.answer(request, writer)
        except (ConnectionError, asyncio.TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.silent.discard(writer)
            writer.close()

    def fields(self, request):
        return {"Worker-Load": f"{self.running},0,{self.slots}", "Keep-Alive": f"timeout={IDLE_S}",
                "Request-Id": request.header("request-id", "")}

    async def answer(self, request, writer):
        if request.target == "/health":
            status = 200 if self.state == "ready" else 503
            fields = {**self.fields(request), "Worker-Id": self.id}
            writer.write(http11.whole_response(status, fields, b""))
            return await writer.drain()
        if request.header("expected-instance", self.id) != self.id:
            writer.write(http11.whole_response(421, {"Worker-Id": self.id, **self.fields(request)}, b""))
            return await writer.drain()
        self.record.arrive(self, request)
        if self.running >= self.slots:
            writer.write(http11.whole_response(503, {"Not-Executed": 1, **self.fields(request)}, b""))
            return await writer.drain()
        self.running += 1
        try:
            await self.work(request, writer)
        finally:
            self.running -= 1

    async def work(self, request, writer):
        await asyncio.sleep(self.work_s)
        status = self.run(self, request) if self.run else None
        if not self.server.is_serving():
            raise ConnectionAbortedError
        fields = {**self.fields(request), "Response-Signature": f"{self.id}.{request.header('request-id')}"}
        if status is not None or not self.events:
            body = f"{self.id} answers {request.header('request-id')}\n".encode() * 16
            writer.write(http11.whole_response(status or 200, fields, body))
            return await writer.drain()
        fields.update({"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"})
        writer.write(http11.response_head(200, fields))
        for number in range(int(request.header("last-event-id", 0)) + 1, self.events + 1):
            event = f"id: {number}\ndata: {'x' * 48}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Record:
    """What was sent, answered and run, written to `record.txt`."""

    def __init__(self, path):
        self.file, self.began, self.arrivals, self.observers = open(path, "w"), time.monotonic(), [], []

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.file.write(f"{self.now():9.3f} s  {text}\n")
        self.file.flush()

    def arrive(self, worker, request):
        at = self.now()
        self.arrivals.append((at, worker, request.header("request-id")))
        self.file.write(f"{at:9.3f} s  {worker.id} gets {request.header('request-id')}\n")

    def sent(self, request_id, gateway):
        self.file.write(f"{self.now():9.3f} s  client sends {request_id} to {gateway}\n")

    def answered(self, request_id, answer):
        whole = "whole" if answer.whole else "not whole"
        self.file.write(f"{self.now():9.3f} s  client gets {answer.status} for {request_id}, {whole} {answer.detail}\n")
