#!/usr/bin/env python3
"""An engine that says that it leaves only in the head of its answer to a control
call gets no new request, while the store brings no notices."""

import asyncio
import json
import sys
import tempfile

from router_bench import (Bench, ENGINE, ENGINE_TOKENS, HOST, KEY, STAMP,
                          encode, read_message)

NET = "127.0.38"
POLL_PATIENCE_S = 20
EVENT_INTERVAL_S = 0.1
# Time from the first such answer on from which requests are checked.
NOTICE_S = 2.0


class Engine:
    """Streams without end and answers reports."""

    def __init__(self):
        self.reports = 0
        self.streams = 0

    async def serve(self, reader, writer):
        """Serves one connection."""
        message = await read_message(reader)
        if message is None:
            writer.close()
            return
        try:
            if message.target == "/api/report":
                self.reports += 1
                body = json.dumps({"state": "ready"}).encode()
                writer.write(encode("HTTP/1.1 200 OK", [
                    ("Server-Leaving", "1"),
                    ("Content-Type", "application/json")], body))
                await writer.drain()
                writer.close()
                return
            self.streams += 1
            await self.stream(message, writer)
        except (ConnectionError, OSError):
            pass

    async def stream(self, message, writer):
        """Sends events until the router leaves."""
        identity = message.get("peridotreach-request-id")
        writer.write((f"HTTP/1.1 200 OK\r\nPeridotreach-Request-Id: {identity}"
                      f"\r\n{STAMP[0]}: {STAMP[1]}\r\n"
                      "Content-Type: text/event-stream\r\n\r\n").encode())
        for number in range(600):
            writer.write(f"id: {number}\ndata: {number}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)


def stream_request(identity):
    """Returns the bytes of a request for a stream."""
    return encode("POST /entry/x HTTP/1.1", [
        ("Host", HOST), ("X-Api-Key", KEY),
        ("Peridotreach-Request-Id", identity),
        ("Peridotreach-Deadline-Ms", "30000"),
        ("Peridotreach-Token-Usage", ENGINE_TOKENS)], b"body")


async def hang(*_):
    """The store answers nothing."""
    await asyncio.sleep(120)


async def run(folder):
    """Returns what went wrong."""
    engine = Engine()
    bench = Bench(NET, folder, "stream", engine.serve, timeout_ms=60000,
                  engine={**ENGINE, "kv_capacity": 60000})
    await bench.start()
    faults = []
    try:
        _, first = await bench.connect()
        first.write(stream_request("r-1"))
        for _ in range(50):
            await asyncio.sleep(0.1)
            if engine.streams:
                break
        bench.store._answer = hang
        for _ in range(POLL_PATIENCE_S * 10):
            if engine.reports:
                break
            await asyncio.sleep(0.1)
        if not engine.reports:
            return ["the engine was not polled"]
        await asyncio.sleep(NOTICE_S)
        before = engine.streams
        reader, writer = await bench.connect()
        writer.write(stream_request("r-2"))
        answer = await asyncio.wait_for(reader.read(12), 20)
        if engine.streams != before:
            faults.append("a new request reached the engine that leaves")
        if not answer.startswith(b"HTTP/1.1 503"):
            faults.append(f"the caller got {answer!r}")
        writer.close()
        first.close()
    finally:
        await bench.stop()
    return faults


with tempfile.TemporaryDirectory() as directory:
    found = asyncio.run(run(directory))
for fault in found:
    print(fault)
print("0 faults" if not found else f"{len(found)} faults")
sys.exit(1 if found else 0)
