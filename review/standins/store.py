"""Stand-in of the platform's store: rows, feed and transactions, as PROTOCOL.md describes them."""
import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from http1 import read_message, response


class Store:
    """Rows under one counter. `refuses` names peer addresses that get 503 for every call."""

    def __init__(self):
        self.ver = 0
        self.rows = {}
        self.changed = asyncio.Condition()
        self.started = time.monotonic()
        self.refuses = lambda peer: False

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    async def put(self, table, key, value, part=""):
        """Writes a row as the operator or a server does; None removes it."""
        async with self.changed:
            self._set(table, part, key, None if value is None
                      else base64.b64encode(json.dumps(value).encode()).decode())
            self.changed.notify_all()
            return self.ver

    def _set(self, table, part, key, text):
        self.ver += 1
        self.rows[(table, part, key)] = (self.ver, text)

    @staticmethod
    def _row(address, entry):
        table, part, key = address
        ver, text = entry
        row = {"table": table, "part": part, "key": key, "ver": ver}
        if text is None:
            row["gone"] = True
        else:
            row["value"] = text
        return row

    def _get(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        start, limit = query.get("from", ""), int(query.get("limit", "500"))
        found = [self._row(a, e) for a, e in sorted(self.rows.items())
                 if a[0] == table and a[1] == part and a[2] >= start and e[1] is not None]
        return {"rows": found[:limit], "more": len(found) > limit, "ver": self.ver,
                "now_ms": self.now_ms()}

    async def _feed(self, query):
        table, after = query.get("table", ""), int(query.get("after", "0"))
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        async with self.changed:
            while True:
                found = [self._row(a, e) for a, e in self.rows.items()
                         if a[0] == table and e[0] > after]
                left = until - time.monotonic()
                if found or left <= 0:
                    found.sort(key=lambda row: row["ver"])
                    return {"rows": found, "ver": self.ver, "now_ms": self.now_ms()}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _tx(self, body):
        async with self.changed:
            def at(entry):
                return (entry["table"], entry.get("part", ""), entry["key"])
            for entry in body.get("expected", []):
                ver, text = self.rows.get(at(entry), (0, None))
                if (ver if text is not None else 0) != entry["ver"]:
                    rows = [self._row(at(e), self.rows[at(e)]) for e in body["expected"]
                            if at(e) in self.rows]
                    return 412, {"rows": rows, "ver": self.ver, "now_ms": self.now_ms()}
            self.ver += 1
            for entry in body.get("put", []):
                self.rows[at(entry)] = (self.ver, entry["value"])
            for entry in body.get("remove", []):
                self.rows[at(entry)] = (self.ver, None)
            self.changed.notify_all()
            return 200, {"ver": self.ver, "now_ms": self.now_ms()}

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                url = urlsplit(message.target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                status, body = 404, {}
                if self.refuses(peer):
                    status, body = 503, {}
                elif url.path == "/api/rows-get":
                    status, body = 200, self._get(query)
                elif url.path == "/api/rows-feed":
                    status, body = 200, await self._feed(query)
                elif url.path == "/api/rows-tx":
                    status, body = await self._tx(json.loads(message.body or b"{}"))
                writer.write(response(status, [], json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
