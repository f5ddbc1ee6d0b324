"""A worker as a process of its own: its answers have no length and end with its connection.

Arguments: name, IP address. Prints its port, then a line for each run: ID and the pieces of its answer.
A stream has PIECES events, one each GAP_S seconds. Nothing else is faulty: an answer that is let run
to its end is whole, and its connection is closed after its last byte.
"""

import asyncio
import sys

from stand import read_request, response, signature

PIECES = 16
GAP_S = 0.25
NAME, IP = sys.argv[1:3]


def say(text):
    print(text, flush=True)


async def serve(reader, writer):
    try:
        while (request := await read_request(reader)) is not None:
            _, _, headers, _ = request
            if headers.get("expected-instance", NAME) != NAME:
                writer.write(response(421, b"", [("Worker-Id", NAME)]))
                continue
            ident = headers.get("request-id", "")
            say(f"run {ident} {PIECES}")
            writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                          f"Request-Id: {ident}\r\nResponse-Signature: {signature(ident)}\r\n"
                          f"Connection: close\r\n\r\n").encode())
            for number in range(int(headers.get("last-event-id", 0)) + 1, PIECES + 1):
                writer.write(f"id: {number}\ndata: piece {number} of {PIECES}\n\n".encode())
                await writer.drain()
                await asyncio.sleep(GAP_S)
            say(f"end {ident} {PIECES}")
            break
    except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve, IP, 0)
    say(f"port {server.sockets[0].getsockname()[1]}")
    await server.serve_forever()


asyncio.run(main())
