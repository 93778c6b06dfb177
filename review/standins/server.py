"""Stand-in of an engine: plain answers and streams of events, one request at a time on a connection."""
import asyncio

from http1 import read_message, response


class Server:
    def __init__(self, name, service, address, zone, record, slots=128, work_s=0.03,
                 events=12, event_gap_s=0.1, keep_alive_s=None):
        self.name, self.service, self.address, self.zone = name, service, address, zone
        self.record, self.slots = record, slots
        self.work_s, self.events, self.event_gap_s = work_s, events, event_gap_s
        self.keep_alive_s = keep_alive_s
        self.sequence = 0
        self.runs = 0

    def entry(self, state="ready"):
        host, port = self.address
        return {"service": self.service, "address": f"{host}:{port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": state, "cold_remaining_ms": 0,
                "sequence": self.sequence}

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                if message.target == "/healthz":
                    writer.write(response(200, [("X-Pitchhitch-Instance-Id", self.name)], b"ok"))
                    await writer.drain()
                    continue
                expected = message.fields.get("x-pitchhitch-expect-instance", self.name)
                if expected != self.name:
                    writer.write(response(421, [("X-Pitchhitch-Instance-Id", self.name)], b""))
                    await writer.drain()
                    continue
                await self.run(message, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def run(self, message, writer):
        request = message.fields.get("x-pitchhitch-request-id", "")
        self.runs += 1
        self.record("runs", request=request, server=self.name)
        fields = [("X-Pitchhitch-Request-Id", request),
                  ("X-Pitchhitch-Response-Seal", f"{self.name}.{request}")]
        if hasattr(self, "version"):
            fields.append(("Versions", str(self.version)))
        if self.keep_alive_s is not None:
            fields.append(("Keep-Alive", f"timeout={self.keep_alive_s}"))
        if "/stream/" not in message.target:
            await asyncio.sleep(self.work_s)
            writer.write(response(200, fields, b"x" * 800))
            await writer.drain()
            return
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in fields)
        writer.write(head.encode() + b"\r\n")
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.event_gap_s)
            event = f"id: {number}\ndata: {'t' * 60}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
