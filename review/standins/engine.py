"""Stand-in of a model engine: parts of prompts are kept under their salt, and found only under it."""
import asyncio
import json
import time
from urllib.parse import parse_qs, urlsplit

from http1 import read_message, response
from server import Server


class Part:
    """A part that an engine keeps, and the request that made it."""

    def __init__(self, tokens, request, tenant):
        self.tokens, self.request, self.tenant = tokens, request, tenant


class Engine(Server):
    KV_TOTAL = 179305

    def __init__(self, *args, model, peers, **kwargs):
        super().__init__(*args, **kwargs)
        self.model, self.peers = model, peers
        self.parts = {}
        self.events_log = []
        self.running = 0
        self.orders = 0
        self.version = 1
        peers["%s:%d" % self.address] = self

    def entry(self, state="ready"):
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        return {**super().entry(state), "stage": "both", "models": models}

    def clock_ms(self):
        return int(time.monotonic() * 1000)

    def report(self):
        used = min(self.KV_TOTAL, 500 * self.running)
        return {"stage": "both", "busy": False, "sequence": self.orders, "waiting": 0,
                "models": [{"name": self.model, "version": self.version, "adapters": []}],
                "running": self.running, "kv_used": used, "kv_total": self.KV_TOTAL, "handles": 0,
                "clock_ms": self.clock_ms(), "runs": []}

    async def kv_events(self, message):
        since = int(parse_qs(urlsplit(message.target).query).get("since", ["0"])[0])
        until = time.monotonic() + min(1000, int(message.fields.get("wait-ms", "0"))) / 1000
        while len(self.events_log) <= since and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return {"boot_epoch": 1, "next_page_token": len(self.events_log), "lost": False,
                "events": self.events_log[since:], "clock_ms": self.clock_ms()}

    def kv_list(self):
        held = [[salt, part, kept.tokens, self.model] for (salt, part), kept in self.parts.items()]
        return {"boot_epoch": 1, "next_page_token": len(self.events_log), "held": held}

    def keep(self, salt, part, kept):
        self.parts[(salt, part)] = kept
        number = len(self.events_log) + 1
        self.events_log.append([number, "+", salt, part, kept.tokens, self.model])

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                path = urlsplit(message.target).path
                expected = message.fields.get("x-pitchhitch-expect-instance", self.name)
                if expected != self.name:
                    writer.write(response(421, [("X-Pitchhitch-Instance-Id", self.name)], b""))
                elif path == "/healthz":
                    writer.write(response(200, [("X-Pitchhitch-Instance-Id", self.name)], b"ok"))
                elif path == "/api/report":
                    writer.write(response(200, [], json.dumps(self.report()).encode()))
                elif path == "/api/kv-events":
                    writer.write(response(200, [], json.dumps(await self.kv_events(message)).encode()))
                elif path == "/api/kv-list":
                    writer.write(response(200, [], json.dumps(self.kv_list()).encode()))
                elif path.startswith("/api/"):
                    writer.write(response(404, [], b"{}"))
                else:
                    await self.run_prompt(message, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            if not asyncio.get_event_loop().is_closed():
                writer.close()

    def take_memory(self, message, request, tenant):
        """Finds, fetches or makes the parts of the prompt in order; records what was found."""
        salt = message.fields.get("cache-salt", "")
        fetch = message.fields.get("kv-fetch", "").split(",")
        prefix = [text.split(":") for text in message.fields["x-pitchhitch-prompt-prefix"].split(",")]
        is_leading = True
        for index, (part, tokens) in enumerate(prefix):
            kept = self.parts.get((salt, part))
            if kept is None and is_leading:
                source = self.peers.get((fetch[index] if index < len(fetch) else "").split("/")[0])
                kept = source.parts.get((salt, part)) if source else None
                if kept:
                    self.keep(salt, part, kept)
            if kept is None or not is_leading:
                is_leading = False
                self.keep(salt, part, Part(int(tokens), request, tenant))
                continue
            self.record("uses", request=request, tenant=tenant, part=part, salt=repr(salt),
                        made_by=kept.request, of_tenant=kept.tenant)

    async def run_prompt(self, message, writer):
        version = message.fields.get("expect-version")
        if version is not None and int(version) != self.version:
            writer.write(response(421, [("X-Pitchhitch-Instance-Id", self.name)], b""))
            return
        request = message.fields.get("x-pitchhitch-request-id", "")
        tenant = message.fields.get("x-pitchhitch-tenant", "")
        self.running += 1
        try:
            self.take_memory(message, request, tenant)
            await self.run(message, writer)
        finally:
            self.running -= 1
