"""One real router before a store and an endpoint of the tests."""

import asyncio
import json
import os
import pathlib
import socket
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tests" / "soak"))

from http_wire import encode, read_message  # noqa: E402,F401
from soak import HOST, KEY, Router, free_port  # noqa: E402
from store import Store  # noqa: E402

BUILD = pathlib.Path(os.environ.get("PERIDOT_BUILD", ROOT / "build"))
READY_S = 30
STAMP = ("Peridotreach-Response-Stamp", "stamp")
LIMITS = {"max_header_bytes": 4096, "max_body_bytes": 8192,
          "header_timeout_ms": 2000, "idle_timeout_ms": 5000}


def request(path, request_id="r-1", deadline_ms=5000):
    """Returns the bytes of a request."""
    return encode(f"POST {path} HTTP/1.1", [
        ("Host", HOST), ("X-Api-Key", KEY),
        ("Peridotreach-Request-Id", request_id),
        ("Peridotreach-Deadline-Ms", str(deadline_ms))], b"body")


# An engine whose memory holds one generation of ENGINE_TOKENS.
ENGINE_TOKENS = "1000,1000"
ENGINE = {"slots": 8, "kv_capacity": 2600, "kv_token_bytes": 163840,
          "link_mbps": 24000.0, "moves": False, "stride": 4, "handle_s": 5.0}


def manifest(kind, timeout_ms=5000, engine=None, **limits):
    """Returns a manifest with one route of this kind. Its service has engines
    if `engine` describes them."""
    service = {"name": "plain", "max_conns": 500}
    first_byte_ms = 500
    if engine:
        service["engine"] = engine
        first_byte_ms = 4000
    return json.dumps({
        "version": 1,
        "routes": [{"name": "entry", "host": HOST, "path_prefix": "/entry/",
                    "type": kind, "timeout_ms": timeout_ms, "slo_ms": first_byte_ms,
                    "service": "plain", "attempts": 1, "public": False}],
        "services": [service],
        "limits": {**LIMITS, **limits},
        "tenants": [{"name": "mill", "api_keys": [KEY]}]}).encode()


class Bench:
    """A router, its store and one endpoint served by `serve`."""

    def __init__(self, net, folder, kind, serve, receive_bytes=0, vm=None,
                 **options):
        """`options` are those of the manifest; `receive_bytes` bounds the
        endpoint's receive buffer; `vm` is what the settings say of the VM."""
        self.net, self.folder, self.serve = net, folder, serve
        self.manifest = manifest(kind, **options)
        self.receive_bytes = receive_bytes
        self.vm = vm
        self.router = None
        self.store = Store()
        self.address = ""
        self.starts = 0

    async def start(self):
        """Starts everything and waits until the router is ready."""
        store = self.store
        server = await asyncio.start_server(store.serve, f"{self.net}.200", 0)
        place = "%s:%d" % server.sockets[0].getsockname()[:2]
        address = f"{self.net}.100:{free_port(self.net + '.100')}"
        self.address = address
        await asyncio.start_server(self.serve, sock=self.endpoint_socket())
        store.put("op/config", self.manifest)
        self.list_endpoint()
        self.router = Router(str(BUILD / "peridot-router"), self.folder,
                             self.net, 0, place)
        self.router.write_settings([])
        if self.vm:
            path = pathlib.Path(self.router.path)
            settings = json.loads(path.read_text(encoding="utf-8"))
            path.write_text(json.dumps({**settings, "limits": self.vm}),
                            encoding="utf-8")
        await self.router.start()
        for _ in range(READY_S * 10):
            await asyncio.sleep(0.1)
            try:
                if await self.is_ready():
                    return
            except OSError:
                pass
        raise RuntimeError("the router did not become ready")

    def endpoint_socket(self):
        """Returns the socket on which the endpoint listens."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_bytes:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                self.receive_bytes)
        host, port = self.address.rsplit(":", 1)
        listener.bind((host, int(port)))
        return listener

    def list_endpoint(self):
        """Writes the endpoint's entry, of a new start of it each time."""
        self.starts += 1
        self.store.put("servers/i-1", json.dumps({
            "service": "plain", "address": self.address, "zone": "a",
            "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
            "seq": 1, "born": self.starts}).encode())

    async def is_ready(self):
        """Returns whether the router says that it is ready."""
        reader, writer = await asyncio.open_connection(
            self.router.host, self.router.ports["readiness"])
        writer.write(encode("GET /api/ready HTTP/1.1", [("Host", "r")]))
        answer = await read_message(reader)
        writer.close()
        return answer is not None and answer.status == 200

    async def connect(self, port="front"):
        """Opens a caller's connection, to the port of this name."""
        return await asyncio.open_connection(self.router.host,
                                             self.router.ports[port])

    def memory_mb(self):
        """Returns the resident memory of the router."""
        with open(f"/proc/{self.router.process.pid}/status",
                  encoding="utf-8") as status:
            for line in status:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        return 0

    async def stop(self):
        """Ends the router if it still runs."""
        if self.router.process.returncode is None:
            self.router.process.kill()
            await self.router.ended()
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
