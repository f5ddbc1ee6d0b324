"""A small HTTP/1.1 server and client for the stand-ins, on asyncio streams."""
import asyncio


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def header(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """The first line and the headers (lower-case names); None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a chunked body. Raises if it breaks off."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ", 2)
    body = b""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            async for chunk in read_chunks(reader):
                body += chunk
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Request(method, target, headers, body)


def response_head(status, headers):
    reasons = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone",
               421: "Misdirected Request", 429: "Too Many Requests", 500: "Internal Server Error",
               503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def whole_response(status, headers, body):
    return response_head(status, {**headers, "Content-Length": len(body)}) + body


class Answer:
    """What a client got: a status (0 without a response head), headers, the body, whether it is whole."""

    def __init__(self, status=0, headers=None, body=b"", whole=False, detail=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.whole, self.detail = whole, detail


class Caller:
    """One client connection, kept while both sides allow it."""

    def __init__(self, host, port):
        self.host, self.port, self.reader, self.writer = host, port, None, None

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.reader = self.writer = None

    async def exchange(self, method, target, headers, body=b"", limit=10.0):
        try:
            return await asyncio.wait_for(self._exchange(method, target, headers, body), limit)
        except asyncio.TimeoutError:
            self.close()
            return Answer(detail="the client gave up")
        except (ConnectionError, OSError, asyncio.IncompleteReadError, ValueError) as error:
            self.close()
            return Answer(detail=f"{type(error).__name__}")

    async def _exchange(self, method, target, headers, body):
        if self.writer is None:
            opening = asyncio.open_connection(self.host, self.port, limit=1 << 20)
            self.reader, self.writer = await asyncio.wait_for(opening, 1.0)
        fields = dict(headers)
        if method != "GET" or body:
            fields["Content-Length"] = len(body)
        lines = [f"{method} {target} HTTP/1.1"] + [f"{k}: {v}" for k, v in fields.items()]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await self.writer.drain()
        head = await read_head(self.reader)
        if head is None:
            self.close()
            return Answer(detail="closed without an answer")
        first, found = head
        status, data, whole = int(first.split(" ")[1]), b"", True
        try:
            if "chunked" in found.get("transfer-encoding", ""):
                async for chunk in read_chunks(self.reader):
                    data += chunk
            elif "content-length" in found:
                data = await self.reader.readexactly(int(found["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            whole = False
        if not whole or found.get("connection", "").lower() == "close":
            self.close()
        return Answer(status, found, data, whole)
