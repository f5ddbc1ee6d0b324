"""A model worker as a process of its own, which streams its answers and ends when a deadly request begins to run.

Arguments: id, events of a stream, pause between two events in seconds. Prints its port, then one line a request.
"""
import asyncio
import os
import signal
import sys

import http11

ID, EVENTS, GAP_S = sys.argv[1], int(sys.argv[2]), float(sys.argv[3])
SLOTS = 64
DEADLY = b"deadly"
FIRST_EVENT_S = 0.03
IDLE_S = 120
running = 0


def say(text):
    print(text, flush=True)


async def stream(request, writer):
    await asyncio.sleep(FIRST_EVENT_S)
    fields = {"Request-Id": request.header("request-id"), "Worker-Load": f"{running},0,{SLOTS}",
              "Response-Signature": f"{ID}.{request.header('request-id')}", "Keep-Alive": f"timeout={IDLE_S}",
              "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
    writer.write(http11.response_head(200, fields))
    for number in range(int(request.header("last-event-id", 0)) + 1, EVENTS + 1):
        event = f"id: {number}\ndata: {'x' * 48}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        await asyncio.sleep(GAP_S)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def serve(reader, writer):
    global running
    try:
        while (request := await asyncio.wait_for(http11.read_request(reader), IDLE_S)) is not None:
            if request.target == "/health":
                writer.write(http11.whole_response(200, {"Worker-Id": ID}, b""))
                continue
            if request.header("expected-instance", ID) != ID:
                writer.write(http11.whole_response(421, {"Worker-Id": ID}, b""))
                continue
            if running >= SLOTS:
                fields = {"Not-Executed": 1, "Request-Id": request.header("request-id")}
                writer.write(http11.whole_response(503, fields, b""))
                continue
            if request.body.startswith(DEADLY):
                say(f"deadly {request.header('request-id')} {running}")
                os.kill(os.getpid(), signal.SIGKILL)
            running += 1
            try:
                await stream(request, writer)
            finally:
                running -= 1
    except (ConnectionError, asyncio.TimeoutError):
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=8 << 20, backlog=1024)
    say(f"port {server.sockets[0].getsockname()[1]}")
    await server.serve_forever()


asyncio.run(main())
