#!/usr/bin/env python3
"""Endpoints in trouble that send bytes without end: in a head, a chunk header,
a body or an event. The router closes each connection, its memory stays bounded
and the caller gets one true failure."""

import asyncio
import sys
import tempfile
import time

from router_bench import Bench, STAMP, read_message, request

NET = "127.0.24"
BLOCK = b"x" * 65536
MEMORY_MB = 88
# Endless responses at the same time, and the time in which all have ended.
FLOOD = 24
FLOOD_S = 10
# A body of the largest size passes a loopback connection well within this.
CLOSED_WITHIN_S = 4
KINDS = ["head", "header", "chunk", "body", "plain-body", "declared", "event",
         "informational"]


class EndlessEndpoint:
    """Sends without end what the last part of the path names."""

    def __init__(self):
        self.closed_after = None

    async def serve(self, reader, writer):
        """Serves one connection until the router closes it."""
        message = await read_message(reader)
        if message is None:
            writer.close()
            return
        kind = message.target.rpartition("/")[2]
        identity = message.get("peridotreach-request-id")
        head = (f"HTTP/1.1 200 OK\r\nPeridotreach-Request-Id: {identity}\r\n"
                f"{STAMP[0]}: {STAMP[1]}\r\n").encode()
        start = {
            "head": b"",
            "header": head + b"X-Long: ",
            "chunk": head + b"Transfer-Encoding: chunked\r\n\r\n4;",
            "body": head + b"Transfer-Encoding: chunked\r\n\r\n",
            "plain-body": head + b"\r\n",
            # More than any memory.
            "declared": head + b"Content-Length: 99999999999\r\n\r\n",
            "event": head + b"Content-Type: text/event-stream\r\n\r\ndata: ",
            "informational": b"",
        }[kind]
        block = {"body": b"10000\r\n" + BLOCK + b"\r\n",
                 "informational": b"HTTP/1.1 100 Continue\r\n\r\n" * 1000}.get(
                     kind, BLOCK)
        started = time.monotonic()
        try:
            writer.write(start)
            while True:
                writer.write(block)
                await writer.drain()
        except (ConnectionError, OSError):
            self.closed_after = time.monotonic() - started
        writer.close()


async def play(bench, endpoint, kind):
    """Plays one kind. Returns what went wrong."""
    endpoint.closed_after = None
    reader, writer = await bench.connect()
    writer.write(request("/entry/" + kind))
    highest = 0
    answer = asyncio.ensure_future(read_message(reader))
    started = time.monotonic()
    while time.monotonic() - started < CLOSED_WITHIN_S:
        highest = max(highest, bench.memory_mb())
        if endpoint.closed_after is not None and answer.done():
            break
        await asyncio.sleep(0.02)
    faults = []
    if endpoint.closed_after is None:
        faults.append(f"{kind}: still sending after {CLOSED_WITHIN_S} s")
    if highest > MEMORY_MB:
        faults.append(f"{kind}: the router held {highest:.0f} MB")
    status = None
    if answer.done() and answer.exception() is None and answer.result():
        status = answer.result().status
    # A stream that has begun can only be broken off.
    allowed = (502, None) if kind == "event" else (502,)
    if status not in allowed:
        faults.append(f"{kind}: the caller got {status}")
    answer.cancel()
    writer.close()
    return faults


async def run(folder, kind_of_route, kinds):
    """Plays these kinds on one kind of route."""
    endpoint = EndlessEndpoint()
    bench = Bench(NET, folder, kind_of_route, endpoint.serve)
    await bench.start()
    faults = []
    for kind in kinds:
        faults += await play(bench, endpoint, kind)
        if bench.router.process.returncode is not None:
            faults.append(f"{kind}: the router ended")
            break
    await bench.stop()
    return faults


async def flood(folder, kind_of_route, kind):
    """Plays many endless responses at the same time. Returns what went wrong."""
    endpoint = EndlessEndpoint()
    bench = Bench(NET, folder, kind_of_route, endpoint.serve)
    await bench.start()
    callers = [await bench.connect() for _ in range(FLOOD)]
    for number, (_, writer) in enumerate(callers):
        writer.write(request("/entry/" + kind, f"r-{number}"))
    answers = asyncio.gather(*[read_message(reader) for reader, _ in callers])
    highest, started = 0, time.monotonic()
    while not answers.done() and time.monotonic() - started < FLOOD_S:
        highest = max(highest, bench.memory_mb())
        await asyncio.sleep(0.01)
    faults = []
    if highest > MEMORY_MB:
        faults.append(f"{FLOOD} x {kind}: the router held {highest:.0f} MB")
    if bench.router.process.returncode is not None:
        faults.append(f"{FLOOD} x {kind}: the router ended")
    elif not answers.done():
        faults.append(f"{FLOOD} x {kind}: not all ended after {FLOOD_S} s")
    answers.cancel()
    await asyncio.gather(answers, return_exceptions=True)
    for _, writer in callers:
        writer.close()
    await bench.stop()
    return faults


found = []
for flood_route, flood_kind in (("non_idempotent", "plain-body"),
                                ("non_idempotent", "body"),
                                ("stream", "event")):
    with tempfile.TemporaryDirectory() as directory:
        found += asyncio.run(flood(directory, flood_route, flood_kind))
with tempfile.TemporaryDirectory() as directory:
    found += asyncio.run(run(directory, "non_idempotent", KINDS[:-2] +
                             KINDS[-1:]))
with tempfile.TemporaryDirectory() as directory:
    found += asyncio.run(run(directory, "stream", ["event"]))
for fault in found:
    print(fault)
print(f"{len(KINDS)} kinds, {len(found)} faults")
sys.exit(1 if found else 0)
