#!/usr/bin/env python3
"""Odd entries among those of the endpoints end no router and hide no other."""

import asyncio
import json
import os
import pathlib
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tests" / "soak"))
sys.path.insert(0, str(ROOT / "tests" / "system"))

from http_wire import encode, read_message  # noqa: E402
from router_bench import Bench, request  # noqa: E402

NET = "127.0.28"
SERVED_S = 2.0
NUMBER = b"9" * 400
GOOD = {"service": "plain", "address": "127.0.0.9:8000", "zone": "a",
        "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
        "seq": 1, "born": 1}


def changed(**members):
    """Returns a valid entry but for some members."""
    return json.dumps(dict(GOOD, **members)).encode()


def with_number(member, number):
    """Returns an entry with a number in place of a member's value."""
    return changed(**{member: 424242}).replace(b"424242", number)


ENTRIES = {
    "empty": b"", "no-json": b"{", "not-utf8": b"\xff\xfe{}", "list": b"[]",
    "deep-list": b"[" * 200000 + b"]" * 200000,
    "deep-object": b'{"a":' * 100000 + b"1" + b"}" * 100000,
    "deep-member": json.dumps(GOOD).encode()[:-1] + b',"x":'
    + b"[" * 50000 + b"]" * 50000 + b"}",
    "port-large": changed(address="127.0.0.9:99999"),
    "port-zero": changed(address="127.0.0.9:0"),
    "port-negative": changed(address="127.0.0.9:-1"),
    "no-ip": changed(address="nowhere:80"),
    "address-number": changed(address=7),
    "unknown-state": changed(state="dancing"),
    "large": changed(version="v" * 900000),
}
for name in ("slots", "cold_left_ms", "seq", "born"):
    ENTRIES[name + "-digits"] = with_number(name, NUMBER)
    ENTRIES[name + "-exponent"] = with_number(name, b"1e400")
    ENTRIES[name + "-float"] = with_number(name, b"1e300")
    ENTRIES[name + "-negative"] = with_number(name, b"-9223372036854775808")
    ENTRIES[name + "-unsigned"] = with_number(name, b"18446744073709551615")


async def serve(reader, writer):
    """Answers the requests of one connection."""
    while (message := await read_message(reader)) is not None:
        identity = message.get("peridotreach-request-id")
        served = message.get("peridotreach-target-instance")
        writer.write(encode("HTTP/1.1 200 OK", [
            ("Peridotreach-Request-Id", identity),
            ("Peridotreach-Response-Stamp", "stamp")], served.encode()))
        await writer.drain()
    writer.close()


async def served_by(bench):
    """Returns the endpoint that serves a request; none if it is not served."""
    reader, writer = await bench.connect()
    writer.write(request("/entry/1"))
    answer = await asyncio.wait_for(read_message(reader), 5)
    writer.close()
    if answer is None or answer.status != 200:
        return None
    return answer.body.decode()


async def play(bench, label, entry, number):
    """Writes an odd entry, then a new sound one. Returns what went wrong."""
    key = f"servers/odd-{number}"
    bench.store.put(key, entry)
    bench.store.remove(f"servers/i-{number}")
    sound = f"i-{number + 1}"
    bench.store.put(f"servers/{sound}", json.dumps(
        dict(GOOD, address=bench.address)).encode())
    loop = asyncio.get_running_loop()
    end = loop.time() + SERVED_S
    served = None
    while served != sound and loop.time() < end:
        if bench.router.process.returncode is not None:
            return [f"{label}: the router ended"]
        served = await served_by(bench)
        await asyncio.sleep(0.05)
    bench.store.remove(key)
    return [] if served == sound else [f"{label}: served by {served}"]


async def run(folder):
    """Plays all entries."""
    bench = Bench(NET, folder, "idempotent", serve)
    await bench.start()
    faults = []
    for number, (label, entry) in enumerate(ENTRIES.items(), start=1):
        faults += await play(bench, label, entry, number)
        if bench.router.process.returncode is not None:
            break
    # An entry that becomes unreadable names no endpoint to use.
    last = f"servers/i-{len(ENTRIES) + 1}"
    bench.store.put(last, b"{")
    await asyncio.sleep(0.5)
    if not faults and await served_by(bench) is not None:
        faults.append("an endpoint whose entry became unreadable is in use")
    await bench.stop()
    return faults


with tempfile.TemporaryDirectory() as directory:
    found = asyncio.run(run(directory))
for fault in found:
    print(fault)
print(f"{len(ENTRIES)} entries, {len(found)} faults")
sys.exit(1 if found else 0)
