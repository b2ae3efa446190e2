#!/usr/bin/env python3
"""Answers of endpoints in trouble whose status is none of the protocol. Callers
get a failure of the router in their place, and no other caller gets them."""

import asyncio
import sys
import tempfile

from router_bench import Bench, STAMP, read_message, request

NET = "127.0.37"
# Statuses that HTTP does not know, or that do not end an exchange.
INVALID = ["000", "001", "042", "099", "100", "101", "103", "199", "600", "999"]
# Headers of the answer: with the endpoint's stamp, with its statement that it
# has not run the request, without either, and with other notices.
HEADERS = {
    "stamp": f"{STAMP[0]}: {STAMP[1]}\r\n",
    "not-run": "Peridotreach-Not-Run: 1\r\n",
    "bare": "",
    "notices": f"{STAMP[0]}: {STAMP[1]}\r\nServer-Leaving: 1\r\n"
               "Retry-After: 30\r\n",
}
BODY = "trouble"


async def serve(reader, writer):
    """Answers one request with the status and headers in its path."""
    message = await read_message(reader)
    if message is None:
        writer.close()
        return
    name, _, status = message.target.rpartition("/")[2].rpartition("-")
    identity = message.get("peridotreach-request-id")
    headers = HEADERS.get(name, HEADERS["stamp"])
    writer.write((f"HTTP/1.1 {status} Status\r\n"
                  f"Peridotreach-Request-Id: {identity}\r\n{headers}"
                  f"Content-Length: {len(BODY)}\r\n\r\n{BODY}").encode())
    await writer.drain()
    await asyncio.sleep(0.2)
    writer.close()


async def status_of(bench, name):
    """Returns the status that a caller gets, None if there is no answer."""
    reader, writer = await bench.connect()
    writer.write(request("/entry/" + name))
    answer = await asyncio.wait_for(read_message(reader), 8)
    writer.close()
    return answer and answer.status


async def run(folder, kind):
    """Plays all statuses on one kind of route."""
    bench = Bench(NET, folder, kind, serve)
    await bench.start()
    faults = []
    for name in HEADERS:
        for status in INVALID:
            got = await status_of(bench, f"{name}-{status}")
            if got != 502:
                faults.append(f"{kind} {name} {status}: the caller got {got}")
    # An answer that cannot be read says nothing about the endpoint.
    got = await status_of(bench, "stamp-200")
    if got != 200:
        faults.append(f"{kind}: a sound answer afterwards got {got}")
    await bench.stop()
    return faults


found = []
for route_kind in ("idempotent", "non_idempotent", "stream"):
    with tempfile.TemporaryDirectory() as directory:
        found += asyncio.run(run(directory, route_kind))
for fault in found:
    print(fault)
print(f"{len(INVALID) * len(HEADERS) * 3} answers, {len(found)} faults")
sys.exit(1 if found else 0)
