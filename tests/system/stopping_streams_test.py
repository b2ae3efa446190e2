#!/usr/bin/env python3
"""Streams at a planned stop: one that waits for an engine, and the next ones on
kept connections whose stream ends late in the stop. Each gets a whole answer."""

import asyncio
import signal
import sys
import tempfile
import time

from router_bench import (Bench, ENGINE, ENGINE_TOKENS, STAMP, encode,
                          read_message)
from http_wire import read_chunk, read_head
from soak import HOST, KEY

NET = "127.0.56"
LIMIT_MS = 39000
EVENT_S = 0.1
# The largest number of events fills the time after the stop.
ENDLESS = 1000


def request(name, events, tokens):
    """Returns the bytes of a request for a stream of so many events."""
    return encode(f"POST /entry/{events} HTTP/1.1", [
        ("Host", HOST), ("X-Api-Key", KEY), ("Peridotreach-Request-Id", name),
        ("Peridotreach-Deadline-Ms", str(LIMIT_MS)),
        ("Peridotreach-Token-Usage", tokens)], b"body")


async def serve(reader, writer):
    """Sends as many events as the path names."""
    message = await read_message(reader)
    if message is None:
        writer.close()
        return
    writer.write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                  "Content-Type: text/event-stream\r\n"
                  f"Peridotreach-Request-Id: {message.get('peridotreach-request-id')}"
                  f"\r\n{STAMP[0]}: {STAMP[1]}\r\n\r\n").encode())
    try:
        for number in range(int(message.target.rpartition("/")[2])):
            event = f"id: {number}\ndata: x\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
    except (ConnectionError, OSError):
        pass
    writer.close()


async def stream(connection, name, events, tokens):
    """Sends a request. Returns the status and whether the answer was whole."""
    reader, writer = connection
    writer.write(request(name, events, tokens))
    head = await read_head(reader)
    if head is None:
        return None, False
    if head.get("transfer-encoding") != "chunked":
        await reader.readexactly(int(head.get("content-length", "0")))
        return head.status, True
    while (chunk := await read_chunk(reader)):
        pass
    return head.status, chunk is not None


async def play_queued(bench):
    """Stops the router while a stream waits for the memory of its engine."""
    running = asyncio.ensure_future(stream(await bench.connect(), "running",
                                           ENDLESS, ENGINE_TOKENS))
    await asyncio.sleep(0.5)
    waiting = asyncio.ensure_future(stream(await bench.connect(), "waiting",
                                           ENDLESS, ENGINE_TOKENS))
    await asyncio.sleep(0.5)
    bench.router.send(signal.SIGTERM)
    stopped = time.monotonic()
    status, is_whole = await asyncio.wait_for(waiting, 12)
    took = time.monotonic() - stopped
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    if status != 503 or not is_whole:
        return [f"queued: status {status}, whole: {is_whole}"]
    return [] if took < 1 else [f"queued: rejected after {took:.1f} s"]


async def play_late(bench, ends_after):
    """Sends a stream on a kept connection whose stream ends so long after the
    stop."""
    connection = await bench.connect()
    first = asyncio.ensure_future(stream(connection, "first",
                                         int(ends_after / EVENT_S) + 5, "10,10"))
    await asyncio.sleep(0.5)
    bench.router.send(signal.SIGTERM)
    status, is_whole = await first
    if status != 200 or not is_whole:
        return [f"first: status {status}, whole: {is_whole}"]
    try:
        status, is_whole = await stream(connection, "late", ENDLESS, "10,1000")
    except (ConnectionError, OSError):
        status, is_whole = None, False
    if status == 200 and not is_whole:
        return [f"late by {ends_after} s: taken and broken off"]
    return []


async def run(folder, play, engine, *arguments):
    """Plays one case with a new router."""
    bench = Bench(NET, folder, "stream", serve, timeout_ms=LIMIT_MS,
                  engine=engine)
    await bench.start()
    faults = await play(bench, *arguments)
    try:
        await asyncio.wait_for(bench.router.ended(), 10)
    except asyncio.TimeoutError:
        faults.append("the router did not end")
    await bench.stop()
    return faults


found = []
with tempfile.TemporaryDirectory() as directory:
    found += asyncio.run(run(directory, play_queued, ENGINE))
for seconds in (3.3, 4.5):
    with tempfile.TemporaryDirectory() as directory:
        found += asyncio.run(run(directory, play_late, None, seconds))
for fault in found:
    print(fault)
print(f"3 cases, {len(found)} faults")
sys.exit(1 if found else 0)
