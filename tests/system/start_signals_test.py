#!/usr/bin/env python3
"""Signals during a router's start. A change of its settings file must not end it,
and a planned stop must end it with success."""

import asyncio
import json
import signal
import sys
import tempfile

from router_bench import Bench

NET = "127.0.58"
# Reading settings of this size takes a while, so that signals arrive meanwhile.
PADDING_BYTES = 60_000_000
# The router reads its settings once it has read more than its libraries.
READING_BYTES = 10_000_000


async def refuse(_reader, writer):
    """Closes an endpoint's connection."""
    writer.close()


def bytes_read(process):
    """Returns how many bytes the process has read."""
    with open(f"/proc/{process.pid}/io", encoding="utf-8") as counts:
        for line in counts:
            if line.startswith("rchar"):
                return int(line.split()[1])
    return 0


async def run(folder, number):
    """Signals a router that reads its settings. Returns what went wrong."""
    bench = Bench(NET, folder, "idempotent", refuse)
    await bench.start()
    bench.router.process.kill()
    await bench.router.ended()
    with open(bench.router.path, encoding="utf-8") as file:
        settings = json.load(file)
    with open(bench.router.path, "w", encoding="utf-8") as file:
        json.dump(dict(settings, padding="x" * PADDING_BYTES), file)
    await bench.router.start()
    process = bench.router.process
    while bytes_read(process) < READING_BYTES:
        await asyncio.sleep(0.001)
    bench.router.send(number)
    await asyncio.sleep(5 if number == signal.SIGHUP else 0)
    if number == signal.SIGHUP:
        fault = None if process.returncode is None else \
            f"SIGHUP ended the router with {process.returncode}"
    else:
        await asyncio.wait_for(bench.router.ended(), 12)
        fault = None if process.returncode == 0 else \
            f"the stopped router ended with {process.returncode}"
    await bench.stop()
    return [fault] if fault else []


found = []
for sent in (signal.SIGHUP, signal.SIGTERM):
    with tempfile.TemporaryDirectory() as directory:
        found += asyncio.run(run(directory, sent))
for line in found:
    print(line)
print(f"2 signals, {len(found)} faults")
sys.exit(1 if found else 0)
