"""What the review's scripts share: routers as separate processes, a stand-in of
the platform's store, entries of engines, and the record of a run.

The routers are started with the command of the deploy file, in the repository's
root, with a settings file that has the fields of the users' pages. Everything
listens on loopback addresses and on ports that are free at the start.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ["zone-a", "zone-b", "zone-c"]
HOST = "review.example"
KEY = "review-key-1"
STAMP = "Peridotreach-Response-Stamp"
REQUEST_ID = "Peridotreach-Request-Id"
READY_S = 20
# A whole script ends within this time, whatever happens.
SCRIPT_S = 110

# The bounds of the small deployments on the users' pages.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_ms": 2000, "rollback_slack_ms": 250, "skew_max_ms": 5000,
    "strict_revoke": False, "revoke_ms": 5000, "retry_ratio": 0.2,
    "retry_window_s": 10, "retry_slack": 52, "recovery_s": 12, "pass_ms": 120,
    "reuse_window_s": 4.1, "ttl_max_s": 5}


class CannotRun(Exception):
    """The case could not be set up."""


def trouble():
    """Returns whether this run has the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(host):
    """Returns a port of `host` that is free now, below those that the kernel
    gives to outgoing connections."""
    while True:
        port = random.randrange(15000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
                return port
            except OSError:
                continue


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()


class Message:
    """A request or an answer."""

    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Reads first line and headers; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunk(reader):
    """Reads one chunk; empty at the last one, None if it broke off."""
    try:
        size = int(await reader.readuntil(b"\r\n"), 16)
        chunk = await reader.readexactly(size + 2)
        return chunk[:-2]
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return None


async def read_body(reader, message):
    """Reads the body; returns whether it came whole, as its framing says."""
    if message.get("transfer-encoding") == "chunked":
        while (chunk := await read_chunk(reader)) is not None:
            if not chunk:
                return True
            message.body += chunk
        return False
    length = int(message.get("content-length", "0"))
    try:
        message.body = await reader.readexactly(length)
        return True
    except asyncio.IncompleteReadError as cut:
        message.body = cut.partial
    except OSError:
        pass
    return False


async def read_message(reader):
    """Reads a whole message; None if it broke off."""
    message = await read_head(reader)
    if message is None or not await read_body(reader, message):
        return None
    return message


def encode(first, headers, body=b""):
    """Returns the bytes of a message with a length."""
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: items with revisions, leases and watches."""

    def __init__(self):
        self.revision, self.next_lease = 1, 0
        self.items, self.leases, self.history = {}, {}, []
        self.changed = asyncio.Event()
        self.address = ""

    async def start(self, host):
        """Listens."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        asyncio.ensure_future(self._expire())

    def put(self, key, value, lease=0):
        """Writes an item, as the operator, an engine or a router does."""
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "rev": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self._note(item)

    def remove(self, key):
        """Removes an item."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._note({"key": key, "rev": self.revision, "removed": True})

    def _note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [k for k, v in self.leases.items() if v[0] < now]:
                self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                status, body = await self._answer(request)
                writer.write(encode(f"HTTP/1.1 {status} X",
                                    [("Content-Type", "application/json")],
                                    json.dumps(body).encode()))
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        url = urllib.parse.urlsplit(request.target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        body = json.loads(request.body) if request.body else {}
        name, _, last = url.path.rpartition("/")
        if url.path == "/api/kv-range":
            found = [i for k, i in sorted(self.items.items())
                     if k.startswith(query["path_prefix"])
                     and k > query.get("after", "")]
            return 200, {"items": found, "truncated": False,
                         "store_revision": self.revision}
        if url.path == "/api/kv-watch":
            return await self._watch(query)
        if url.path == "/api/kv-lease":
            self.next_lease += 1
            life = max(1000, int(body["ttl_ms"]))
            self.leases[self.next_lease] = (time.monotonic() + life / 1e3, life)
            return 200, {"lease": self.next_lease, "ttl_ms": life}
        if name == "/api/kv-keep":
            if int(last) not in self.leases:
                return 404, {}
            life = self.leases[int(last)][1]
            self.leases[int(last)] = (time.monotonic() + life / 1e3, life)
            return 200, {"ttl_ms": life}
        if name == "/api/kv-lease-end":
            self._end(int(last))
            return 200, {}
        if url.path == "/api/kv-txn":
            return self._transact(body)
        return 404, {}

    def _transact(self, body):
        rows = body.get("expect_rev", [])
        if any(self.items.get(row["key"], {}).get("rev", 0) != row["rev"]
               for row in rows):
            return 412, {"items": [self.items[row["key"]] for row in rows
                                   if row["key"] in self.items]}
        for put in body.get("puts", []):
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, {}
        for key in body.get("remove", []):
            self.remove(key)
        for put in body.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]),
                     put.get("lease", 0))
        return 200, {"rev": self.revision}

    async def _watch(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1e3
        while True:
            events = [e for e in self.history if e["rev"] > after
                      and e["key"].startswith(query["path_prefix"])]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass


class Router:
    """One router process on an address of its own."""

    def __init__(self, folder, host, index, store):
        self.folder, self.host, self.index = folder, host, index
        self.name = f"front-{ZONES[index % 3]}-{index}"
        self.zone = ZONES[index % 3]
        self.store = store
        self.listen = {name: f"{host}:{free_port(host)}" for name in
                       ("front", "readiness", "control", "directory")}
        self.path = os.path.join(folder, self.name + ".json")
        self.log = os.path.join(folder, self.name + ".log")
        self.process = None

    def write_settings(self, seeds):
        """Writes the settings file: `{{.|json}}` of the deploy file's template
        is the JSON of all fields."""
        settings = {
            "node": self.name, "role": "router", "machine_class": "front",
            "serves": ["front", "control", "directory"], "ip": self.host,
            "zone": self.zone, "region": "region",
            "port_range": [0, 0], "seeds": seeds, "bootstrap": True,
            "in_tolerance": False, "discovery": "platform",
            "entry": "directory", "heartbeat_ms": 1200,
            "zones": {zone: "region" for zone in ZONES},
            "listen": self.listen,
            "limits": {"cpu_share": 0.25, "cpus": 1, "memory_mb": 110,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "fault_budget": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "provider": {"address": self.store.address, "form": "kv",
                         "writes_per_s": 400, "reads_per_s": 2000,
                         "history_s": 20, "value_bytes": 1048576,
                         "ttl_min_ms": 1000}}
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    async def start(self):
        """Starts the process with the command of the deploy file."""
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            command = tomllib.load(file)["roles"]["router"]["run"].split()
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is not built")
        variables = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                     if name in os.environ}
        variables["PERIDOTREACH_CONFIG"] = self.path
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=variables, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log)

    def send(self, number):
        """Sends a signal to this process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        """Ends the process if it runs."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self):
        """Returns whether the router says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                *self.listen["readiness"].split(":"))
        except OSError:
            return False
        writer.write(encode("GET /api/ready HTTP/1.1", [("Host", "ready")]))
        answer = await read_message(reader)
        writer.close()
        return answer is not None and answer.status == 200

    async def connect(self):
        """Opens a caller's channel."""
        return await asyncio.open_connection(*self.listen["front"].split(":"))


def route(name, kind, service, timeout_ms, slo_ms=1000, attempts=1):
    """Returns a route /NAME/ of the manifest."""
    return {"name": name, "host": HOST, "path_prefix": f"/{name}/",
            "type": kind, "timeout_ms": timeout_ms, "slo_ms": slo_ms,
            "service": service, "attempts": attempts, "priority": 1,
            "public": False, "gap_slo_ms": 180}


def manifest(version, routes, services):
    """Returns a manifest."""
    return json.dumps({
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
        "tenants": [{"name": "mill", "api_keys": [KEY]}]}).encode()


# The engine's part of a service of the manifest.
ENGINE = {"slots": 24, "kv_capacity": 34197, "kv_token_bytes": 163840,
          "link_mbps": 24000.0, "moves": True, "stride": 4, "handle_s": 5.0}


def entry(service, address, zone, state="ready", seq=1, born=1, slots=24):
    """Returns an engine's entry in the store."""
    return json.dumps({
        "service": service, "address": address, "zone": zone, "version": "v1",
        "slots": slots, "state": state, "cold_left_ms": 0, "seq": seq,
        "born": born}).encode()


def request(method, path, identity, deadline_ms, body=b"", headers=()):
    """Returns the bytes of a caller's request."""
    return encode(f"{method} {path} HTTP/1.1", [
        ("Host", HOST), (REQUEST_ID, identity),
        ("Peridotreach-Deadline-Ms", str(deadline_ms)), ("X-Api-Key", KEY),
        *headers], body)


class Fleet:
    """Routers before one store."""

    def __init__(self, net, folder, count):
        self.net, self.folder, self.count = net, folder, count
        self.store = Store()
        self.routers = []

    async def start(self, first_manifest):
        """Starts the store and the routers."""
        await self.store.start(f"{self.net}.200")
        self.store.put("op/config", first_manifest)
        self.routers = [Router(self.folder, f"{self.net}.{i + 1}", i, self.store)
                        for i in range(self.count)]
        seeds = [router.listen["control"] for router in self.routers[:3]]
        for router in self.routers:
            router.write_settings(seeds)
            await router.start()

    async def wait_until_ready(self):
        """Waits until all routers are ready and for some time more."""
        until = time.monotonic() + READY_S
        for router in self.routers:
            while not await router.is_ready():
                if time.monotonic() > until:
                    raise CannotRun(f"{router.name} did not become ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(1)

    async def stop(self):
        """Ends all routers."""
        for router in self.routers:
            await router.kill()


def main(play, folder):
    """Plays a case in a temporary folder. `play(fleet folder, record)` returns
    what broke the rule. Exits with 1 if it was broken, 0 if it held and 2 if
    the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    record(f"TROUBLE={'1' if trouble() else '0'}")
    code = 2
    try:
        with tempfile.TemporaryDirectory() as temporary:
            broken = asyncio.run(asyncio.wait_for(play(temporary, record),
                                                  SCRIPT_S))
        for line in broken[:20]:
            record("BROKEN " + line)
            print("broken:", line)
        code = 1 if broken else 0
    except CannotRun as cause:
        record(f"cannot run: {cause}")
        print("cannot run:", cause)
    except BaseException:
        record("cannot run: " + traceback.format_exc())
        traceback.print_exc()
    record(f"exit {code}")
    sys.exit(code)
