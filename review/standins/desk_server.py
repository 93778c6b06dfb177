"""Stand-in of a plain engine, as a process of its own: its answers have no length and end with their
connection. Arguments: address, port, id, file for what it runs."""
import asyncio
import sys
import time

from http1 import read_message, response

WHOLE_BODY = b"a" * 400 + b"b" * 400
FIRST_MS, SECOND_MS = 10, 120


async def main(host, port, name, path):
    log = open(path, "a", buffering=1)

    async def serve(reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                if message.target == "/healthz":
                    writer.write(response(200, [("X-Pitchhitch-Instance-Id", name)], b"ok"))
                    await writer.drain()
                elif message.fields.get("x-pitchhitch-expect-instance", name) != name:
                    writer.write(response(421, [("X-Pitchhitch-Instance-Id", name)], b""))
                    await writer.drain()
                else:
                    return await run(message, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def run(message, writer):
        request = message.fields.get("x-pitchhitch-request-id", "")
        log.write(f"{time.time():.3f} runs request={request} server={name} whole_body={len(WHOLE_BODY)}\n")
        await asyncio.sleep(FIRST_MS / 1000)
        head = (f"HTTP/1.1 200 OK\r\nX-Pitchhitch-Request-Id: {request}\r\n"
                f"X-Pitchhitch-Response-Seal: {name}.{request}\r\nConnection: close\r\n\r\n")
        writer.write(head.encode() + WHOLE_BODY[:400])
        await writer.drain()
        await asyncio.sleep(SECOND_MS / 1000)
        writer.write(WHOLE_BODY[400:])
        await writer.drain()
        log.write(f"{time.time():.3f} whole request={request} server={name}\n")

    server = await asyncio.start_server(serve, host, int(port), backlog=200)
    await server.serve_forever()


asyncio.run(main(*sys.argv[1:]))
