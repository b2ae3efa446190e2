"""A router started as the deploy file says, with settings of a small
deployment, before the project's stand-in of the store."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import time
import tomllib

from paged_store import ROOT, PagedStore

from http_wire import encode, read_message  # noqa: E402,F401  (of tests/soak)

READY_S = 30
# Exit codes of a case, which run.sh translates: an error of Python itself, whose
# code is 1, must not look like a broken rule.
HELD = 0
NOT_RUN = 2
BROKEN = 10
HOST = "review.example"
KEY = "key-review-1"
STAMP = ("Peridotreach-Response-Stamp", "stamp")
# Those of the site pernik-pero, as the wire examples of the bench show them.
CALLER_LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                 "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
MACHINE_LIMITS = {"cpu_share": 0.25, "cpus": 1, "memory_mb": 110,
                  "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000,
          "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
          "loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250,
          "skew_max_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10,
          "retry_slack": 52, "recovery_s": 12, "pass_ms": 120, "ttl_max_s": 5}


def free_port(host):
    """Returns a port of `host` that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def end_on_sigterm():
    """Lets the case end what it started when its time is over."""
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel)


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w",
                         encoding="utf-8")
        self.began = time.monotonic()

    def note(self, text):
        """Adds a line with the seconds since the start."""
        line = f"{time.monotonic() - self.began:8.3f} s  {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)


def manifest(routes, services, version=7):
    """Returns a manifest in the operator's form."""
    return json.dumps({"version": version, "routes": routes,
                       "services": services, "limits": CALLER_LIMITS,
                       "tenants": [{"name": "mill",
                                    "api_keys": [KEY]}]}).encode()


class Rig:
    """Router processes, numbered from 0, and their store."""

    def __init__(self, net, folder, routers=1, zones=1):
        self.net = net
        self.folder = folder
        self.count = routers
        self.zones = [f"pernik-{name}" for name in "abc"[:zones]]
        self.store = PagedStore()
        self.listen = []
        self.processes = []
        self.log_files = []
        self.upkeep = []
        words = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = words["roles"]["router"]["run"].split()

    async def start_store(self):
        """Starts the store. Returns its address."""
        server = await asyncio.start_server(self.store.serve,
                                            f"{self.net}.200", 0)
        self.upkeep = [asyncio.ensure_future(self.store.expire_leases()),
                       asyncio.ensure_future(self.store.drop_history())]
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    def settings(self, number, store_address):
        """Returns the settings of a router, as its template asks for them."""
        zone = self.zones[number % len(self.zones)]
        return {"node": f"front-{zone}-{number + 1}", "role": "router",
                "machine_class": "front",
                "serves": ["front", "control", "directory"],
                "ip": f"{self.net}.{number + 1}", "zone": zone,
                "region": "pernik", "bootstrap": True,
                "seeds": [listen["control"] for listen in self.listen[:3]],
                "zones": {name: "pernik" for name in self.zones},
                "listen": self.listen[number], "limits": MACHINE_LIMITS,
                "bounds": BOUNDS,
                "provider": {"address": store_address, "form": "kv",
                             "writes_per_s": 400, "reads_per_s": 2000,
                             "history_s": 20, "value_bytes": 1048576,
                             "ttl_min_ms": 1000}}

    async def start(self, store_address):
        """Starts all routers and waits until they are ready."""
        for number in range(self.count):
            host = f"{self.net}.{number + 1}"
            self.listen.append({name: f"{host}:{free_port(host)}" for name in
                                ("front", "readiness", "control",
                                 "directory")})
        for number in range(self.count):
            self.processes.append(None)
            await self.start_router(number, store_address)
        for number in range(self.count):
            await self.wait_until_ready(number)

    async def wait_until_ready(self, number):
        """Waits until a router says that it is ready."""
        end = time.monotonic() + READY_S
        while not await self.is_ready(number):
            if time.monotonic() > end:
                raise RuntimeError("the router did not become ready")
            await asyncio.sleep(0.1)

    async def start_router(self, number, store_address):
        """Starts one router with the command of the deploy file."""
        path = pathlib.Path(self.folder) / f"router-{number}.json"
        path.write_text(json.dumps(self.settings(number, store_address)),
                        encoding="utf-8")
        log = open(pathlib.Path(self.folder) / f"router-{number}.log", "a",
                   encoding="utf-8")
        self.log_files.append(log)
        environment = {name: os.environ[name] for name in ("PATH", "HOME",
                                                           "LANG")
                       if name in os.environ}
        environment["PERIDOTREACH_CONFIG"] = str(path)
        self.processes[number] = await asyncio.create_subprocess_exec(
            *self.command, cwd=ROOT, env=environment, stdout=log, stderr=log)

    async def is_ready(self, number):
        """Asks for the readiness as the platform does."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1):
                reader, writer = await self.connect("readiness", number)
                writer.write(encode("GET /api/ready HTTP/1.1", [("Host", "r")]))
                answer = await read_message(reader)
                writer.close()
                return answer is not None and answer.status == 200
        return False

    async def connect(self, port="front", number=0):
        """Opens a connection to a router."""
        host, place = self.listen[number][port].rsplit(":", 1)
        return await asyncio.open_connection(host, int(place))

    def runs(self, number=0):
        """Returns whether the process has not ended."""
        return self.processes[number].returncode is None

    def memory_mb(self, number=0):
        """Returns the resident memory of a router."""
        try:
            text = pathlib.Path(
                f"/proc/{self.processes[number].pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def stop(self):
        """Ends all processes that were started."""
        for process in self.processes:
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        for task in self.upkeep:
            task.cancel()
        for log in self.log_files:
            log.close()
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
