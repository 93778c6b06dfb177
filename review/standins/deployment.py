"""Starts the project's programs with the commands of the deploy file, and the platform's balancer."""
import asyncio
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def free_network():
    """Three leading bytes of loopback addresses on which the ports of the roles are free."""
    while True:
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for host in (1, 11, 12, 13, 14, 31, 41):
                for port in (7700, 8000, 8002, 8005, 8007, 9464):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{host}", port))
            return net
        except OSError:
            continue


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()

    def __call__(self, what, **fields):
        at = time.monotonic() - self.started
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at:9.3f} {what} {text}\n")

    def close(self):
        self.file.close()


class Site:
    """Processes of one deployment; the temporary folder and all processes go with `stop`."""

    def __init__(self, record):
        self.net = free_network()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = record
        self.processes = {}

    def front_settings(self, number, zone, zones, fronts):
        ip = f"{self.net}.{10 + number}"
        return {
            "box_id": f"edge-{zone}-1", "failure_domain": zone,
            "regions": {name: "nairobi" for name in zones},
            "callers": f"{ip}:8005", "ready": f"{ip}:8002", "metrics": f"{ip}:9464",
            "digests": f"{ip}:7700", "control": f"{ip}:8000",
            "seeds": [f"{self.net}.{10 + n}:8000" for n in fronts],
            "beside_port": 7700, "store": f"{self.net}.1:8007", "key_limit_ms": 5000,
            "keys_fail_closed": "true", "drain_limit_ms": 2000, "weights_limit_ms": 12000,
            "repeat_ratio": 0.2, "repeat_window_s": 10, "repeat_slack": 52,
            "slow_start_ratio": "", "slow_start_slack": "", "rollout_share": "",
            "rollback_limit_ms": "", "order_gap_ms": 3000, "stop_limit_s": 8, "memory_mb": 260,
        }

    def start(self, name, command, settings, max_fds):
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.folder, f"{name}.log"), "w")
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        process = subprocess.Popen(
            command.split(" "), cwd=ROOT, env={**kept, "PITCHHITCH_NODE_FILE": path},
            stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (max_fds, max_fds)))
        self.processes[name] = process
        self.record("started", process=name, pid=process.pid)
        return process

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        keep = os.environ.get("REVIEW_KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Balancer:
    """Asks each node once a second; after two misses a node is out until it answers 200."""

    def __init__(self, record):
        self.record = record
        self.nodes = {}

    def add(self, zone, name, front, ready):
        self.nodes[name] = {"zone": zone, "front": front, "ready": ready, "misses": 2}

    async def _ask(self, address):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
        except (OSError, asyncio.TimeoutError):
            return 0
        try:
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: platform\r\n\r\n")
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1)
            return int(head.split(b" ")[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0
        finally:
            writer.close()

    async def _watch(self, name):
        node = self.nodes[name]
        while True:
            begun = time.monotonic()
            status = await self._ask(node["ready"])
            was_in = node["misses"] < 2
            node["misses"] = 0 if status == 200 else node["misses"] + 1
            if was_in != (node["misses"] < 2):
                self.record("node", name=name, status=status, taken=node["misses"] < 2)
            await asyncio.sleep(max(0, 1 - (time.monotonic() - begun)))

    def start(self):
        return [asyncio.create_task(self._watch(name)) for name in self.nodes]

    def all_in(self):
        return all(node["misses"] < 2 for node in self.nodes.values())

    def pick(self, zone, client):
        """Node for a new connection: of the client's zone, else of the other ones."""
        own = [n for n in self.nodes.values() if n["zone"] == zone and n["misses"] < 2]
        nodes = own or [n for n in self.nodes.values() if n["misses"] < 2]
        nodes = nodes or list(self.nodes.values())
        return nodes[client % len(nodes)]
