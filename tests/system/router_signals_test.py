#!/usr/bin/env python3
"""A planned stop succeeds when the settings change until the process is gone."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from router_bench import Bench  # noqa: E402

NET = "127.0.39"
ROUTERS = 8
INTERVAL_S = 0.002
# The grace period of the settings, after which the platform kills a process.
GRACE_S = 8.0


async def refuse(_reader, writer):
    """Closes an endpoint's connection."""
    writer.close()


async def stop(bench):
    """Stops a router and signals it until it is gone. Returns what went wrong."""
    process = bench.router.process
    os.kill(process.pid, signal.SIGTERM)
    loop = asyncio.get_running_loop()
    begun = loop.time()
    while process.returncode is None:
        try:
            os.kill(process.pid, signal.SIGHUP)
        except ProcessLookupError:
            pass
        await asyncio.sleep(INTERVAL_S)
    if process.returncode != 0:
        return [f"a router ended with {process.returncode}"]
    if loop.time() - begun > GRACE_S:
        return [f"a router took {loop.time() - begun:.1f} s"]
    return []


async def run(folder):
    """Returns what went wrong."""
    benches = []
    for index in range(ROUTERS):
        place = pathlib.Path(folder) / str(index)
        place.mkdir()
        benches.append(Bench(f"{NET[:-2]}{39 + index}", str(place),
                             "idempotent", refuse))
    try:
        await asyncio.gather(*[bench.start() for bench in benches])
        faults = await asyncio.gather(*[stop(bench) for bench in benches])
        return sum(faults, [])
    finally:
        for bench in benches:
            await bench.stop()


with tempfile.TemporaryDirectory() as directory:
    found = asyncio.run(run(directory))
for fault in found:
    print(fault)
print("0 faults" if not found else f"{len(found)} faults")
sys.exit(1 if found else 0)
