"""A stand-in of a model engine: runs streams, hands its runs on to another
engine by POST /api/kv-move, and goes on with runs that it got."""

import asyncio
import json
import time

from harness import REQUEST_ID, STAMP, encode, entry, free_port, read_message

EVENT_PAUSE_S = 0.04
COPY_S = 0.05
HEARTBEAT_S = 1.2


class Book:
    """What has run where, kept across all engines."""

    def __init__(self, record, events):
        self.record = record
        self.events = events
        self.running = {}
        self.kept = {}
        self.runs = {}


class ModelEngine:
    """One engine. `framed`: its streams come in chunks; else they have neither a
    length nor chunks and end with their channel."""

    def __init__(self, book, store, name, zone, host, framed):
        self.book, self.store, self.name, self.zone = book, store, name, zone
        self.framed = framed
        self.address = f"{host}:{free_port(host)}"
        self.state = "ready"
        self.seq = 0

    async def start(self):
        """Listens and registers."""
        host, port = self.address.split(":")
        await asyncio.start_server(self._serve, host, int(port))
        self.register()
        asyncio.ensure_future(self._beat())

    def register(self):
        """Writes the engine's entry."""
        self.seq += 1
        self.store.put("servers/" + self.name, entry(
            "llm", self.address, self.zone, self.state, self.seq, born=1))

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    def leave(self):
        """Reports that it leaves; it serves on."""
        self.state = "draining"
        self.book.record(f"{self.name} reports draining")
        self.register()

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                await self._answer(message, writer)
        except OSError:
            pass
        finally:
            writer.close()

    async def _answer(self, message, writer):
        path = message.target
        if path.startswith("/api/kv-handle/"):
            self.book.kept.pop(path.rpartition("/")[2], None)
            writer.write(encode("HTTP/1.1 200 OK", []))
        elif path == "/api/report":
            writer.write(encode("HTTP/1.1 200 OK", [], json.dumps(
                {"state": self.state}).encode()))
        elif path == "/api/kv-move":
            await self._move(json.loads(message.body), writer)
        elif message.get("Peridotreach-Target-Instance") != self.name:
            writer.write(encode("HTTP/1.1 421 Misdirected Request",
                                [("Peridotreach-Served-By", self.name)]))
        else:
            await self._run(message, writer)
        await writer.drain()

    async def _move(self, order, writer):
        identity, last = order["id"], order["last"]
        run = self.book.running.get(identity)
        if run is None or run["at"] is not self:
            self.book.record(f"{self.name} kv-move {identity} last={last}: 404")
            writer.write(encode("HTTP/1.1 404 Not Found", [], b"{}"))
            return
        if last:
            run["stop"].set()
            await run["ended"].wait()
        await asyncio.sleep(COPY_S)
        handle = "h-" + identity
        self.book.kept[handle] = run["next"]
        self.book.record(f"{self.name} kv-move {identity} last={last}: 200, "
                         f"{run['next']} events made")
        writer.write(encode("HTTP/1.1 200 OK", [], json.dumps(
            {"handle": handle, "created": run["next"]}).encode()))

    async def _run(self, message, writer):
        identity = message.get(REQUEST_ID)
        common = [(REQUEST_ID, identity),
                  ("Peridotreach-Served-By", self.name)]
        source, first = message.get("Kv-From"), 1
        if source:
            if self.book.kept.pop(source.rpartition("/")[2], None) is None:
                self.book.record(f"{self.name} has no copy for {identity}: 503")
                writer.write(encode("HTTP/1.1 503 Service Unavailable",
                                    common + [("Peridotreach-Not-Run", "1")]))
                return
            first = int(message.get("Last-Event-Id")) + 1
        else:
            self.book.runs[identity] = self.book.runs.get(identity, 0) + 1
        self.book.record(f"{self.name} runs {identity} from event {first}")
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                 f"{STAMP}: s.{identity}"]
        lines += [f"{name}: {value}" for name, value in common]
        lines += ["Transfer-Encoding: chunked" if self.framed else
                  "Connection: close"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        run = {"at": self, "next": first - 1, "stop": asyncio.Event(),
               "ended": asyncio.Event()}
        self.book.running[identity] = run
        try:
            while run["next"] < self.book.events and not run["stop"].is_set():
                run["next"] += 1
                event = f"id: {run['next']}\ndata: {identity}/{run['next']}\n\n"
                piece = event.encode()
                writer.write(b"%x\r\n%s\r\n" % (len(piece), piece)
                             if self.framed else piece)
                await writer.drain()
                await asyncio.sleep(EVENT_PAUSE_S)
            whole = run["next"] >= self.book.events
            if whole and self.framed:
                writer.write(b"0\r\n\r\n")
            self.book.record(f"{self.name} ends {identity} after event "
                             f"{run['next']}{'' if whole else ', stopped'}")
            if not (whole and self.framed):
                writer.close()
        finally:
            if self.book.running.get(identity) is run:
                del self.book.running[identity]
            run["ended"].set()
