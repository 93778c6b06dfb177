"""A tenant becomes isolated; what it made before goes on being used by another tenant."""
import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from deployment import Balancer  # noqa: E402
from engine import Engine  # noqa: E402
from http1 import read_body, read_head  # noqa: E402
from runner import run_case  # noqa: E402
from store import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["nbo-a", "nbo-b", "nbo-c"]
KEYS = {"alfa": "key-of-alfa", "beta": "key-of-beta"}
MODEL = "m0"
# The first part is shared by many prompts, as on the sheet (8 of them); the second is the request's own.
SHARED_PARTS = [f"5c1e07a{number}" for number in range(8)]
REQUESTS_PER_S = 4.0
CHANGE_AT, END_AT = 6.0, 24.0
CONFIG_APPLY_S, CONTACT_S = 2.0, 3.0


def config(version, isolated):
    route = {"name": "digest", "host": "h.example", "path_prefix": "/stream/", "kind": "streaming",
             "timeout_ms": 15000, "target_latency_ms": 600, "priority": 2, "service": "llm",
             "max_attempts": 1, "public": False, "sticky": True, "resumable": False,
             "gap_aim_ms": 300}
    engine = {"slots": 128, "kv_capacity_tokens": Engine.KV_TOTAL, "kv_token_bytes": 35136,
              "link_mbps": 1100000.0, "moves": True, "backups": True, "managed": True,
              "max_in_flight": 12, "models": [{"name": MODEL}]}
    services = [{"name": "llm", "health_path": "/healthz", "max_connections": 610, "protocol": "h1",
                 "tls": False, "engine": engine}]
    tenants = [{"name": name, "api_keys": [key], **({"isolated": True} if name in isolated else {})}
               for name, key in KEYS.items()]
    return {"version": version, "routes": [route], "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": tenants}


async def ask(record, address, number, tenant, sent):
    request = f"{number:016x}"
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return 0
    head = (f"POST /stream/x HTTP/1.1\r\nHost: h.example\r\nX-Pitchhitch-Request-Id: {request}\r\n"
            f"X-Pitchhitch-Model: {MODEL}\r\nX-Pitchhitch-Token-Count: 700,8\r\n"
            f"X-Pitchhitch-Prompt-Prefix: {random.choice(SHARED_PARTS)}:500,{number + 0x1000:08x}:200\r\n"
            f"X-Pitchhitch-Key: {KEYS[tenant]}\r\nX-Pitchhitch-Deadline-Ms: 15000\r\n"
            f"Content-Length: 2\r\n\r\n{{}}")
    sent[request] = (time.monotonic(), tenant)
    record("sent", request=request, tenant=tenant)
    status = 0
    try:
        writer.write(head.encode())
        answer = await asyncio.wait_for(read_head(reader), 15)
        if answer is not None:
            await asyncio.wait_for(read_body(reader, answer[1]), 15)
            status = int(answer[0].split(" ")[1])
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    writer.close()
    record("answered", request=request, status=status)
    return status


async def play(record, site):
    store, uses, peers = Store(), [], {}
    await asyncio.start_server(store.serve, f"{site.net}.1", 8007)

    def note(what, **fields):
        record(what, **fields)
        if what == "uses":
            uses.append(fields)

    engines = []
    for index in range(3):
        engine = Engine(f"i-{index:04x}", "llm", (f"{site.net}.{31 + index}", 8001), ZONES[index],
                        note, model=MODEL, peers=peers, events=8, event_gap_s=0.02)
        await asyncio.start_server(engine.serve, *engine.address)
        engines.append(engine)
        await store.put("servers", engine.name, engine.entry())
    await store.put("op", "config", config(1, []))

    async def beat():
        while True:
            await asyncio.sleep(1.2)
            for engine in engines:
                engine.sequence += 1
                await store.put("servers", engine.name, engine.entry())

    tasks = [asyncio.create_task(beat())]
    balancer = Balancer(record)
    for number, zone in enumerate(ZONES, 1):
        settings = site.front_settings(number, zone, ZONES, range(1, 4))
        site.start(settings["box_id"], "target/release/pitchhitch front", settings, 4100)
        ip = f"{site.net}.{10 + number}"
        balancer.add(zone, settings["box_id"], (ip, 8005), (ip, 8002))
    for index, engine in enumerate(engines):
        host, port = engine.address
        name = f"side-{ZONES[index]}-1"
        site.start(name, "target/release/pitchhitch-agent beside",
                   {"box_id": name, "failure_domain": ZONES[index], "engine": f"{host}:{port}",
                    "listen": f"{host}:7700", "store": f"{site.net}.1:8007", "order_gap_ms": 3000,
                    "metrics": f"{host}:9464"}, 4096)
    tasks += balancer.start()
    begun = time.monotonic()
    while not balancer.all_in():
        if time.monotonic() - begun > 15:
            print("the fronts did not become ready")
            return 2
        await asyncio.sleep(0.1)
    await asyncio.sleep(2)
    begun, number, sent, asked, in_force = time.monotonic(), 0, {}, [], None
    while (now := time.monotonic() - begun) < END_AT:
        if TROUBLE and in_force is None and now >= CHANGE_AT:
            await store.put("op", "config", config(2, ["alfa"]))
            in_force = time.monotonic() + CONFIG_APPLY_S + CONTACT_S
            record("configuration", version=2, isolated="alfa")
        for tenant in KEYS:
            number += 1
            node = balancer.pick(random.choice(ZONES), number)
            asked.append(asyncio.create_task(ask(record, node["front"], number, tenant, sent)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    statuses = await asyncio.gather(*asked)
    for task in tasks:
        task.cancel()
    served = sum(status == 200 for status in statuses)
    isolated = {"alfa"} if TROUBLE else set()
    broken = [use for use in uses if use["tenant"] != use["of_tenant"]
              and isolated & {use["tenant"], use["of_tenant"]}
              and in_force is not None and sent[use["request"]][0] > in_force]
    for use in broken:
        record("WALL", **use)
    last = max((sent[use["request"]][0] for use in broken), default=0) - (in_force or 0)
    print(f"{len(statuses)} requests, {served} served, {len(uses)} parts found; {len(broken)} of them made by "
          f"another tenant while one of the two was isolated"
          + (f", the last {last + CONFIG_APPLY_S + CONTACT_S:.0f} s after the change" if broken else ""))
    if served < len(statuses) * 0.9 or not uses:
        print("too little was served to judge")
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    run_case(FOLDER, play)
