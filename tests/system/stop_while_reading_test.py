#!/usr/bin/env python3
"""Requests that are being read when a stopping router has nothing else to do, and
connections whose stream ends during the stop: each whole request gets an answer."""

import asyncio
import signal
import sys
import tempfile

from router_bench import Bench, STAMP, encode, read_message
from soak import HOST, KEY

NET = "127.0.57"
WORK_S = 0.05
# When the last part of each body is sent, in seconds after the stop begins. A
# router without requests ends 3.2 s after it.
BODY_ENDS_S = [2.0, 3.0, 3.15, 3.25, 3.4, 4.0, 5.0]
# When a part of the body is sent.
BODY_BEGINS_S = 1.2


async def serve(reader, writer):
    """Answers one request after some work."""
    message = await read_message(reader)
    if message is not None:
        await asyncio.sleep(WORK_S)
        writer.write(encode("HTTP/1.1 200 OK", [
            ("Peridotreach-Request-Id",
             message.get("peridotreach-request-id")), STAMP], b"done"))
        await writer.drain()
    writer.close()


async def call(bench, number, ends_at, framing):
    """Sends a request whose body ends at that time. Returns what went wrong."""
    name = f"{framing} body that ends at {ends_at} s"
    reader, writer = await bench.connect()
    head = (f"POST /entry/x HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\n"
            f"Peridotreach-Request-Id: r-{number}\r\n"
            "Peridotreach-Deadline-Ms: 1500\r\n")
    first, last = b"bo", b"dy"
    if framing == "chunked":
        head += "Transfer-Encoding: chunked\r\n\r\n"
        first, last = b"2\r\nbo\r\n", b"2\r\ndy\r\n0\r\n\r\n"
    else:
        head += "Content-Length: 4\r\n\r\n"
    try:
        await asyncio.sleep(BODY_BEGINS_S)
        writer.write(head.encode() + first)
        await asyncio.sleep(ends_at - BODY_BEGINS_S)
        writer.write(last)
        answer = await asyncio.wait_for(read_message(reader), 10)
    except (ConnectionError, OSError, asyncio.TimeoutError) as cause:
        return f"{name}: no answer ({type(cause).__name__})"
    if answer is None:
        return f"{name}: closed without an answer"
    return None if answer.status in (200, 503) else \
        f"{name}: status {answer.status}"


async def run(folder, bodies):
    """Stops a router while these bodies are being read."""
    bench = Bench(NET, folder, "non_idempotent", serve)
    await bench.start()
    calls = [asyncio.ensure_future(call(bench, number, end, framing))
             for number, (framing, end) in enumerate(bodies)]
    await asyncio.sleep(0.1)
    bench.router.send(signal.SIGTERM)
    faults = [fault for fault in await asyncio.gather(*calls) if fault]
    try:
        await asyncio.wait_for(bench.router.ended(), 10)
    except asyncio.TimeoutError:
        faults.append("the router did not end")
    await bench.stop()
    return faults


# One router for each end of a body, so that none is kept by another body.
found = []
for ends in BODY_ENDS_S:
    with tempfile.TemporaryDirectory() as directory:
        found += asyncio.run(run(directory, [("chunked", ends),
                                             ("plain", ends)]))
for line in found:
    print(line)
print(f"{2 * len(BODY_ENDS_S)} bodies, {len(found)} faults")
sys.exit(1 if found else 0)
