"""A stand-in for the platform's metadata store, as PROTOCOL.md describes it."""
import asyncio
import json
from urllib.parse import parse_qs, urlsplit

import http11

ANSWER_S = 0.004


class Store:
    """Objects by kind and name, with revisions and watches. It answers each call after 4 ms."""

    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.connections = []
        self.port = 0

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0, limit=8 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    # What the operator and the workers do; they call directly.

    def put(self, kind, name, specification):
        """Writes an object; the return is the acknowledgement."""
        old = self.objects.get((kind, name))
        if old is not None and old["specification"] == specification:
            return
        self.revision += 1
        created = old["metadata"]["created"] if old else self.revision
        metadata = {"name": name, "revision": self.revision, "created": created,
                    "finalizers": [], "deleting": False}
        stored = {"metadata": metadata, "specification": specification, "status": None}
        self.objects[(kind, name)] = stored
        self._tell(kind, stored, False)

    def delete(self, kind, name):
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            stored = {**stored, "metadata": {**stored["metadata"], "revision": self.revision}}
            self._tell(kind, stored, True)

    def silence(self):
        """All open connections go silent for good, without a reset; new ones work."""
        for connection in self.connections:
            connection["silent"] = True
        return len(self.connections)

    def _tell(self, kind, stored, deleted):
        self.events.append((self.revision, kind, {"object": stored, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    # What the system calls.

    async def serve(self, reader, writer):
        connection = {"silent": False}
        self.connections.append(connection)
        try:
            while True:
                request = await http11.read_request(reader)
                if request is None:
                    return
                if connection["silent"]:
                    continue
                status, body = await self.answer(request)
                if connection["silent"]:
                    continue
                data = json.dumps(body).encode() if body is not None else b""
                fields = {"Content-Type": "application/json"}
                writer.write(http11.whole_response(status, fields, data))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.remove(connection)
            writer.close()

    async def answer(self, request):
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = parts.path.strip("/").split("/")
        if path[0] != "objects" or len(path) < 2:
            return 404, None
        kind, name = path[1], "/".join(path[2:]) or None
        if request.method == "GET" and name is None and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        await asyncio.sleep(ANSWER_S)
        if request.method == "GET" and name is None:
            return self.listing(kind, query.get("after"))
        if request.method == "GET":
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, None)
        sent = json.loads(request.body) if request.body else {}
        metadata = sent.get("metadata", {})
        expected = metadata.get("revision", query.get("revision"))
        if request.method == "POST":
            name = metadata["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            self.put(kind, name, sent.get("specification"))
            return 201, self.objects[(kind, name)]
        found = self.objects.get((kind, name))
        if found is None:
            return 404, None
        if expected is not None and int(expected) != found["metadata"]["revision"]:
            return 409, found
        if request.method == "DELETE":
            self.delete(kind, name)
            return 200, found
        self.put(kind, name, sent.get("specification"))
        return 200, self.objects[(kind, name)]

    def listing(self, kind, after):
        names = sorted(name for (of, name) in self.objects if of == kind)
        names = [name for name in names if after is None or name > after]
        page = [self.objects[(kind, name)] for name in names[:500]]
        return 200, {"items": page, "has_more": len(names) > 500, "as_of": self.revision}

    async def watch(self, kind, after, wait_ms):
        loop = asyncio.get_running_loop()
        end = loop.time() + min(wait_ms, 30000) / 1000
        while True:
            changed = self.changed
            events = [event for (at, of, event) in self.events if at > after and of == kind]
            left = end - loop.time()
            if events or left <= 0:
                await asyncio.sleep(ANSWER_S)
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
