"""Stand-ins of a model engine and of a plain service.

All of them live in one process and share one book of what ran, which the
checks read. A generation's events follow from its request's id alone, so a
reader can tell a piece of another request or of a second run.
"""

import asyncio
import json
import zlib

from http_wire import encode, read_message

EVENT_PAUSE = 0.03
COPY_PAUSE = 0.05


def event_count(request):
    """Returns how many events the generation of a request has."""
    return 20 + zlib.crc32(request.encode()) % 60


def event_text(request, run, number):
    """Returns the data of one event of a run."""
    return f"{request}/{run}/{number}"


class Book:
    """What has run where, kept across all endpoints."""

    def __init__(self):
        self.runs = {}
        self.running = {}
        self.memory = {}
        self.headers_seen = []
        self.arrivals = []


class Endpoint:
    """One endpoint at an address of its own."""

    def __init__(self, book, name, service, zone, address):
        self.book = book
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.leaving_since = None
        self.server = None
        self.listed_at = ""
        self.sequence = 0
        self.cold_left_ms = 0
        self.is_listed = True

    def entry(self):
        """Returns its entry in service discovery."""
        return json.dumps({
            "service": self.service, "address": self.listed_at,
            "zone": self.zone, "version": "v1", "slots": 24,
            "state": "draining" if self.leaving_since else "ready",
            "cold_left_ms": self.cold_left_ms, "seq": self.sequence, "born": 1}).encode()

    async def start(self):
        """Listens."""
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                await self._answer(request, writer)
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, request, writer):
        if request.target.startswith("/api/kv-handle/"):
            self.book.memory.pop(request.target.rpartition("/")[2], None)
            writer.write(encode("HTTP/1.1 200 OK", []))
            await writer.drain()
            return
        if request.target == "/api/report":
            state = "draining" if self.leaving_since else "ready"
            writer.write(encode("HTTP/1.1 200 OK", [],
                                json.dumps({"state": state}).encode()))
            await writer.drain()
            return
        if request.target == "/api/kv-move":
            await self._copy(request, writer)
            return
        identity = request.get("peridotreach-request-id")
        common = [("Peridotreach-Request-Id", identity),
                  ("Peridotreach-Served-By", self.name)]
        expected = request.get("peridotreach-target-instance")
        self.book.headers_seen.append(request.headers)
        if expected != self.name:
            writer.write(encode("HTTP/1.1 421 X", common))
            await writer.drain()
            return
        loop = asyncio.get_running_loop()
        self.book.arrivals.append((loop.time(), self))
        common.append(("Peridotreach-Response-Stamp", "stamp-" + identity))
        if request.target.startswith("/stream/"):
            await self._generate(request, identity, common, writer)
            return
        self.book.runs[identity] = self.book.runs.get(identity, 0) + 1
        await asyncio.sleep(0.02)
        body = f"{identity} {request.method} {request.target} ".encode()
        writer.write(encode("HTTP/1.1 200 OK", common, body + request.body))
        await writer.drain()

    async def _generate(self, request, identity, common, writer):
        source = request.get("kv-from")
        if source:
            state = self.book.memory.pop(source.rpartition("/")[2], None)
            if state is None:
                writer.write(encode("HTTP/1.1 503 X", common
                                    + [("Peridotreach-Not-Run", "1")]))
                await writer.drain()
                return
            state = dict(state, next=int(request.get("last-event-id")) + 1)
        else:
            run = self.book.runs.get(identity, 0) + 1
            self.book.runs[identity] = run
            state = {"run": run, "next": 0, "total": event_count(identity)}
        state["stop"] = asyncio.Event()
        self.book.running[identity] = state
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in common]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        while state["next"] < state["total"] and not state["stop"].is_set():
            text = event_text(identity, state["run"], state["next"])
            event = f"id: {state['next']}\ndata: {text}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            state["next"] += 1
            await asyncio.sleep(EVENT_PAUSE)
        if state["next"] >= state["total"]:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        else:
            writer.close()
        if self.book.running.get(identity) is state:
            del self.book.running[identity]

    async def _copy(self, request, writer):
        order = json.loads(request.body)
        state = self.book.running.get(order["id"])
        status, answer = 404, {}
        await asyncio.sleep(COPY_PAUSE)
        if state is not None:
            handle = "h" + order["id"]
            if order["last"]:
                state["stop"].set()
            self.book.memory[handle] = {k: state[k]
                                        for k in ("run", "next", "total")}
            status, answer = 200, {"handle": handle,
                                   "created": state["next"] - 1}
        writer.write(encode(f"HTTP/1.1 {status} X", [],
                            json.dumps(answer).encode()))
        await writer.drain()
