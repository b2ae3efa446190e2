#!/usr/bin/env python3
"""Only an endpoint's own refusal of a request tells its caller 'not run'."""

import asyncio
import sys
import tempfile

from router_bench import Bench, STAMP, encode, read_message, request

NET = "127.0.37"
OTHER = "an-earlier-request"
NOT_RUN = ("Peridotreach-Not-Run", "1")
# Kind of route, the endpoint's status, the id that it names, whether it says
# that it did not run the request, and the status that the caller gets.
CASES = {
    "own-refusal": ("non_idempotent", 503, None, True, 503),
    "refusal-of-another": ("non_idempotent", 503, OTHER, True, 502),
    "limit-of-another": ("non_idempotent", 429, OTHER, True, 502),
    "misdirected": ("non_idempotent", 421, None, False, 503),
    "misdirection-of-another": ("non_idempotent", 421, OTHER, False, 502),
    "own-stream-refusal": ("stream", 503, None, True, 503),
    "stream-refusal-of-another": ("stream", 503, OTHER, True, 502),
}
REPEATS = 3


class Refuser:
    """An endpoint that keeps its connections and repeats each refusal there."""

    def __init__(self):
        self.case = None
        self.connections = 0

    async def serve(self, reader, writer):
        """Serves one connection."""
        self.connections += 1
        try:
            while (message := await read_message(reader)) is not None:
                await self._answer(message, writer)
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, message, writer):
        own = message.get("peridotreach-request-id")
        if self.case is None:
            writer.write(encode("HTTP/1.1 200 OK", [
                ("Peridotreach-Request-Id", own), STAMP], b"served"))
            await writer.drain()
            return
        _, status, other, not_run, _ = self.case
        headers = [("Peridotreach-Request-Id", other or own)]
        if not_run:
            headers.append(NOT_RUN)
        refusal = encode(f"HTTP/1.1 {status} X", headers)
        writer.write(refusal)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(refusal)
        await writer.drain()


async def ask(bench, identity):
    """Sends a request. Returns the status of its answer."""
    reader, writer = await bench.connect()
    writer.write(request("/entry/1", identity))
    answer = await asyncio.wait_for(read_message(reader), 5)
    writer.close()
    return answer.status if answer else None


async def run(folder, kind):
    """Plays the cases on one kind of route."""
    refuser = Refuser()
    bench = Bench(NET, folder, kind, refuser.serve)
    await bench.start()
    faults = []
    for name, case in CASES.items():
        if case[0] != kind:
            continue
        refuser.case = case
        status = await ask(bench, f"{name}-refused")
        if status != case[-1]:
            faults.append(f"{name}: {status} instead of {case[-1]}")
        refuser.case = None
        # A misdirected request takes the endpoint out of use until its entry
        # changes.
        bench.store.remove("servers/i-1")
        bench.list_endpoint()
        await asyncio.sleep(0.3)
        for number in range(REPEATS):
            status = await ask(bench, f"{name}-{number}")
            if status != 200:
                faults.append(f"{name}: {status} for a request that ran")
    await bench.stop()
    return faults


found = []
for route_kind in ("non_idempotent", "stream"):
    with tempfile.TemporaryDirectory() as directory:
        found += asyncio.run(run(directory, route_kind))
for fault in found:
    print(fault)
print(f"{len(CASES)} cases, {len(found)} faults")
sys.exit(1 if found else 0)
