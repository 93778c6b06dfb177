"""Many clients at one front: it runs out of descriptors, and then does nothing any more."""
import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from http1 import read_body, read_head  # noqa: E402
from runner import run_case  # noqa: E402
from server import Server  # noqa: E402
from deployment import Balancer  # noqa: E402
from store import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The sheet of mvinyo-hosted: requests a second by zone (its busiest standard day), and their mix.
ZONES = {"nbo-a": 63.1, "nbo-b": 71.4, "nbo-c": 79.4}
MIX = [("stream", 103.2), ("order", 25.8), ("note", 10.3)]
ROUTES = {
    # name: method, kind, service, timeout_ms, client's deadline_ms
    "stream": ("POST", "streaming", "llm", 15000, 15000),
    "order": ("POST", "non_idempotent", "desk", 1200, 2500),
    "note": ("GET", "idempotent", "desk", 1200, 2500),
}
IDLE_TIMEOUT_S = 15.0
KEPT_S = 0.8 * IDLE_TIMEOUT_S
# A user comes back after this time, on a new connection if the last one has rested for too long.
USER_PAUSE_S = 18.0
# Of 4,100 descriptors "200 are reserved for files and the rest are shared by sockets and pipes".
SOCKETS = 3900
OTHER_FILES = 12
LOSS_AT, BURST_AT, BURST_S, BURST_X, END_AT = 4.0, 24.0, 3.0, 1.7, 44.0
# Some users come back sooner, and take up the connection that they kept.
REGULAR_USERS, REGULAR_PAUSE_S = 160, 11.5
# Judged are requests that were sent after this: `contact_ms` and the 5 s of "Choked" have passed
# since the burst, whatever it did to the machine's link.
JUDGED_FROM = BURST_AT + BURST_S + 5.0 + 3.0
SURVIVOR = "edge-nbo-c-1"
KEY = "key-of-bozi"


def config():
    routes = [{"name": name, "host": "h.example", "path_prefix": f"/{name}/", "kind": kind,
               "timeout_ms": timeout, "target_latency_ms": 600, "priority": 1, "service": service,
               "max_attempts": 1, "public": False, "resumable": False, "gap_aim_ms": 300}
              for name, (_, kind, service, timeout, _) in ROUTES.items()]
    services = [{"name": "llm", "health_path": "/healthz", "max_connections": 610},
                {"name": "desk", "health_path": "/healthz", "max_connections": 96}]
    return {"version": 1, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": IDLE_TIMEOUT_S * 1000},
            "tenants": [{"name": "bozi", "api_keys": [KEY]}]}


class User:
    """A client that keeps its connection until it has rested for too long."""

    def __init__(self, number, zone):
        self.number, self.zone = number, zone
        self.streams = None
        self.node = None
        self.used_at = 0.0
        self.watcher = None

    async def connection(self, world):
        if self.watcher is not None:
            self.watcher.cancel()
            self.watcher = None
        if self.streams is not None and time.monotonic() - self.used_at <= KEPT_S:
            return
        self.leave()
        self.node = world.balancer.pick(self.zone, self.number)
        self.streams = await asyncio.open_connection(*self.node["front"])

    def leave(self):
        # A rested connection is left to the node, which closes it after `idle_timeout_ms`.
        if self.streams is not None:
            asyncio.create_task(wait_for_close(*self.streams))
        self.streams = None

    def drop(self):
        if self.streams is not None:
            self.streams[1].close()
        self.streams = None

    def rest(self):
        self.used_at = time.monotonic()


async def wait_for_close(reader, writer):
    try:
        await asyncio.wait_for(reader.read(1), 60)
    except (OSError, asyncio.TimeoutError):
        pass
    writer.close()


class Request:
    def __init__(self, number, name):
        self.id = f"{number:016x}"
        self.name = name
        self.sent_at = None
        self.node = None
        self.outcome = None
        self.ended_at = None


class World:
    def open_users(self):
        return [user for users in self.users.values() for user in users] + self.regular

    def __init__(self, record):
        self.regular = []
        self.record = record
        self.balancer = Balancer(record)
        self.requests = []
        self.users = {zone: [] for zone in ZONES}
        self.count = 0

    async def regular_user(self, zone, until):
        self.count += 1
        user = User(self.count, zone)
        self.regular.append(user)
        await asyncio.sleep(random.uniform(0, REGULAR_PAUSE_S))
        while time.monotonic() < until:
            begun = time.monotonic()
            await self.call(user, random.choice(["order", "note"]))
            await asyncio.sleep(max(0, REGULAR_PAUSE_S - (time.monotonic() - begun)))

    async def send(self, zone, is_new_user):
        self.count += 1
        name = random.choices([n for n, _ in MIX], [w for _, w in MIX])[0]
        resting = self.users[zone]
        user = None
        if not is_new_user and resting and time.monotonic() - resting[0].used_at >= USER_PAUSE_S:
            user = resting.pop(0)
        user = user or User(self.count, zone)
        await self.call(user, name)
        resting.append(user)

    async def call(self, user, name):
        self.count += 1
        request = Request(self.count, name)
        method, _, _, _, deadline_ms = ROUTES[name]
        try:
            await asyncio.wait_for(self.exchange(user, request, method, deadline_ms),
                                   deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            request.outcome = "left" if isinstance(error, asyncio.TimeoutError) else "closed"
            user.drop()
        request.ended_at = time.monotonic()
        self.record("ended", request=request.id, outcome=request.outcome)
        user.rest()

    async def exchange(self, user, request, method, deadline_ms):
        await user.connection(self)
        reader, writer = user.streams
        body = b"{}" if method == "POST" else b""
        head = (f"{method} /{request.name}/x HTTP/1.1\r\nHost: h.example\r\n"
                f"X-Pitchhitch-Request-Id: {request.id}\r\nX-Pitchhitch-Key: {KEY}\r\n"
                f"X-Pitchhitch-Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(body)}\r\n\r\n")
        request.sent_at, request.node = time.monotonic(), user.node["name"]
        self.requests.append(request)
        self.record("sent", request=request.id, route=request.name, node=request.node)
        writer.write(head.encode() + body)
        answer = await read_head(reader)
        if answer is None:
            raise ConnectionResetError
        await read_body(reader, answer[1])
        request.outcome = int(answer[0].split(" ")[1])

    async def traffic(self, zone, rate, is_new_user, until):
        due = time.monotonic()
        while due < until:
            due += random.expovariate(rate)
            await asyncio.sleep(max(0, due - time.monotonic()))
            asyncio.create_task(self.send(zone, is_new_user))


async def serve_all(site, record, store):
    net = site.net
    await asyncio.start_server(store.serve, f"{net}.1", 8007, backlog=500)
    zones = list(ZONES)
    servers = []
    for index in range(12):
        service = "llm" if index < 9 else "desk"
        server = Server(f"i-{index:04x}", service, (f"{net}.{31 + index}", 8001), zones[index % 3],
                        record, slots=128 if service == "llm" else 6, events=8, event_gap_s=0.15,
                        keep_alive_s=10)
        await asyncio.start_server(server.serve, *server.address, backlog=500)
        servers.append(server)
        await store.put("servers", server.name, server.entry())
    await store.put("op", "config", config())
    return servers


async def beat(store, servers):
    while True:
        await asyncio.sleep(1.2)
        for server in servers:
            server.sequence += 1
            await store.put("servers", server.name, server.entry())


def used_descriptors(process):
    try:
        return len(os.listdir(f"/proc/{process.pid}/fd"))
    except OSError:
        return 0


def judge(requests, since, record):
    """CONFIG: of the requests at the survivor without an answer at their route's timeout, how many are
    still without one half a second later. Only requests whose client still waits then."""
    late, remaining = 0, 0
    for request in requests:
        _, _, _, timeout_ms, deadline_ms = ROUTES[request.name]
        if request.node != SURVIVOR or request.sent_at < since or deadline_ms < timeout_ms + 500:
            continue
        passed = (request.ended_at or time.monotonic()) - request.sent_at
        if passed > timeout_ms / 1000:
            late += 1
            remaining += passed > timeout_ms / 1000 + 0.5
    return late, remaining


async def last_request(world):
    """One more request on a new connection, after all clients have left."""
    user = User(0, "nbo-c")
    world.balancer.nodes = {SURVIVOR: world.balancer.nodes[SURVIVOR]}
    await world.call(user, "note")
    return world.requests[-1].outcome


async def play(record, site):
    store = Store()
    world = World(record)
    servers = await serve_all(site, record, store)
    tasks = [asyncio.create_task(beat(store, servers))]
    for number, zone in enumerate(ZONES, 1):
        settings = site.front_settings(number, zone, ZONES, range(1, 4))
        name = settings["box_id"]
        site.start(name, "target/release/pitchhitch front", settings, SOCKETS + OTHER_FILES)
        ip = f"{site.net}.{10 + number}"
        world.balancer.add(zone, name, (ip, 8005), (ip, 8002))
    for name, node in world.balancer.nodes.items():
        node["name"] = name
    tasks += world.balancer.start()
    begun = time.monotonic()
    while not world.balancer.all_in():
        if time.monotonic() - begun > 15:
            print("the fronts did not become ready")
            return 2
        await asyncio.sleep(0.1)
    begun = time.monotonic()
    record("traffic")
    regular = REGULAR_USERS / REGULAR_PAUSE_S / len(ZONES)
    for zone, rate in ZONES.items():
        tasks.append(asyncio.create_task(
            world.traffic(zone, rate - regular, False, begun + END_AT)))
        tasks += [asyncio.create_task(world.regular_user(zone, begun + END_AT))
                  for _ in range(REGULAR_USERS // len(ZONES))]
    lost, burst = False, False
    while (now := time.monotonic() - begun) < END_AT + 3:
        await asyncio.sleep(0.5)
        record("descriptors", **{name.replace("-", "_"): used_descriptors(process)
                                 for name, process in site.processes.items()})
        if TROUBLE and not lost and now >= LOSS_AT:
            lost = True
            for name in site.processes:
                if name != SURVIVOR:
                    record("removed", node=name)
                    site.processes[name].kill()
        if TROUBLE and not burst and now >= BURST_AT:
            burst = True
            record("burst", times=BURST_X, seconds=BURST_S)
            for zone, rate in ZONES.items():
                more = world.traffic(zone, rate * (BURST_X - 1), True, time.monotonic() + BURST_S)
                tasks.append(asyncio.create_task(more))
    for task in tasks:
        task.cancel()
    answered = sum(r.outcome == 200 for r in world.requests)
    late, remaining = judge(world.requests, begun + JUDGED_FROM, record)
    record("judged", since=JUDGED_FROM, unanswered_at_timeout=late, still_half_a_second_later=remaining)
    for user in world.open_users():
        user.drop()
    await asyncio.sleep(1)
    last = await last_request(world)
    print(f"{len(world.requests)} requests, {answered} served. At {SURVIVOR}, from {JUDGED_FROM:.0f} s on: "
          f"{late} had no answer at their timeout, {remaining} none half a second later. "
          f"After all clients had left, one more request ended with: {last}")
    if answered < 1000:
        print("too little was served to judge")
        return 2
    return 1 if remaining > late / 2 and remaining >= 8 else 0


if __name__ == "__main__":
    run_case(FOLDER, play)
