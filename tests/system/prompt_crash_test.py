#!/usr/bin/env python3
"""Engines crash on one part of a prompt. Routers that use relays stop sending
prompts with it to engines and go on serving prompts with the other parts, also
after all routers were lost at once."""

import asyncio
import json
import os
import pathlib
import random
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tests" / "soak"))

from http_wire import encode, read_message  # noqa: E402
from soak import HOST, KEY, ZONES, Router, free_port  # noqa: E402
from store import Store  # noqa: E402

BUILD = pathlib.Path(os.environ.get("PERIDOT_BUILD", ROOT / "build"))
NET = "127.0.37"
ROUTERS = 16
ENGINES = 9
START_S = 30
PLAY_S = 12
REQUEST_INTERVAL_S = 0.04
CRASHING_SHARE = 0.3
CRASHING_PARTS = "a1:40,b1:400,dead:100"
EVENTS, EVENT_INTERVAL_S = 24, 0.06
RESTART_S = 1.5
# The platform's rule: at most this many reach engines later than this after
# the fifth crash.
MAX_LATE, CONTACT_S, COUNTED_CRASHES = 3, 3.0, 5


def manifest():
    """Returns a manifest with one stream route."""
    return json.dumps({
        "version": 1,
        "routes": [{"name": "stream", "host": HOST, "path_prefix": "/stream/",
                    "type": "stream", "timeout_ms": 15000, "slo_ms": 4000,
                    "service": "engines", "attempts": 1, "public": False,
                    "gap_slo_ms": 180}],
        "services": [{"name": "engines", "max_conns": 200, "engine": {
            "slots": 24, "kv_capacity": 34000, "kv_token_bytes": 1000,
            "link_mbps": 1000.0, "moves": False, "stride": 4,
            "handle_s": 5.0}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "mill", "api_keys": [KEY]}]}).encode()


class Fleet:
    """Engines that crash, and what reached them."""

    def __init__(self, store):
        self.store = store
        self.crashes = []
        self.arrivals = []
        self.writers = {i: set() for i in range(ENGINES)}
        self.boots = dict.fromkeys(range(ENGINES), 1)

    def list_engine(self, index, address):
        """Writes the engine's entry in service discovery."""
        self.store.put(f"servers/i-{index}", json.dumps({
            "service": "engines", "address": address,
            "zone": ZONES[index % 3], "version": "v1", "slots": 24,
            "state": "ready", "cold_left_ms": 0, "seq": self.boots[index],
            "born": self.boots[index]}).encode())

    async def start_engine(self, index):
        """Starts an engine and lists it."""
        host = f"{NET}.{100 + index}"
        address = f"{host}:{free_port(host)}"

        async def serve(reader, writer):
            self.writers[index].add(writer)
            try:
                await self.answer(index, address, reader, writer)
            except (ConnectionError, OSError):
                pass
            self.writers[index].discard(writer)
            writer.close()

        await asyncio.start_server(serve, *address.rsplit(":", 1))
        self.list_engine(index, address)

    async def answer(self, index, address, reader, writer):
        """Answers one request, or crashes on it."""
        request = await read_message(reader)
        if request is None:
            return
        if request.target == "/api/report":
            writer.write(encode("HTTP/1.1 200 OK", [], b'{"state":"ready"}'))
            return
        identity = request.get("peridotreach-request-id")
        if "dead" in request.get("peridotreach-prefix-hash"):
            await self.crash(index, address)
            return
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
                f"Peridotreach-Request-Id: {identity}",
                "Peridotreach-Response-Stamp: stamp"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(EVENTS):
            event = f"id: {number}\ndata: x\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def crash(self, index, address):
        """Ends all requests on an engine, which starts again later."""
        now = asyncio.get_running_loop().time()
        self.arrivals.append(now)
        self.crashes.append(now)
        for writer in list(self.writers[index]):
            writer.transport.abort()
        self.boots[index] += 1
        await asyncio.sleep(RESTART_S)
        self.list_engine(index, address)


def request(number, parts):
    """Returns the bytes of a request whose prompt has these shared parts."""
    return encode("POST /stream/x HTTP/1.1", [
        ("Host", HOST), ("X-Api-Key", KEY),
        ("Peridotreach-Request-Id", f"r-{number}"),
        ("Peridotreach-Token-Usage", "540,96"),
        ("Peridotreach-Prefix-Hash", f"{parts},{0x1000 + number:x}:10"),
        ("Peridotreach-Deadline-Ms", "12000")], f"{number}".encode())


async def send(router, number, parts, results):
    """Sends one request on a connection of its own and notes its end."""
    sent_at = asyncio.get_running_loop().time()
    try:
        reader, writer = await asyncio.open_connection(router.host,
                                                       router.ports["front"])
        writer.write(request(number, parts))
        answer = await read_message(reader)
        writer.close()
        status = answer.status if answer else None
    except OSError:
        status = None
    results.append((sent_at, parts == CRASHING_PARTS, status))


async def is_ready(router):
    """Returns whether a router says that it is ready."""
    try:
        reader, writer = await asyncio.open_connection(
            router.host, router.ports["readiness"])
        writer.write(encode("GET /api/ready HTTP/1.1", [("Host", "r")]))
        answer = await read_message(reader)
        writer.close()
        return answer is not None and answer.status == 200
    except OSError:
        return False


async def wait_until_ready(routers):
    """Returns whether all routers become ready."""
    loop = asyncio.get_running_loop()
    end = loop.time() + START_S
    while loop.time() < end:
        if all([await is_ready(router) for router in routers]):
            return True
        await asyncio.sleep(0.2)
    return False


async def play(fleet, routers):
    """Sends requests for PLAY_S. Returns what went wrong."""
    rng = random.Random(7)
    results, tasks = [], []
    for number in range(int(PLAY_S / REQUEST_INTERVAL_S)):
        parts = CRASHING_PARTS
        if rng.random() >= CRASHING_SHARE:
            parts = f"a1:40,b{rng.randint(1, 3)}:400"
        tasks.append(asyncio.ensure_future(
            send(rng.choice(routers), number, parts, results)))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    await asyncio.gather(*tasks)
    if not fleet.crashes:
        return ["no engine crashed"]
    last = fleet.crashes[min(COUNTED_CRASHES, len(fleet.crashes)) - 1]
    late = [at for at in fleet.arrivals if at > last + CONTACT_S]
    faults = []
    if len(late) > MAX_LATE:
        faults.append(f"{len(late)} requests with the crashing part reached "
                      f"engines after {CONTACT_S} s")
    sound = [status for sent_at, is_crashing, status in results
             if not is_crashing and sent_at > last + CONTACT_S]
    failed = [status for status in sound if status != 200]
    # After the last crash nothing is left to break sound requests off.
    if not late and failed:
        faults.append(f"{len(failed)} of {len(sound)} sound requests failed")
    print(f"{len(fleet.crashes)} crashes, {len(late)} late, "
          f"{len(sound)} sound requests later")
    return faults


async def play_after_loss(fleet, routers):
    """Kills and starts all routers, then sends requests with the crashing part.
    Returns what went wrong."""
    for router in routers:
        router.process.kill()
    for router in routers:
        await router.ended()
        await router.start()
    if not await wait_until_ready(routers):
        return ["the routers did not become ready again"]
    before = len(fleet.crashes)
    results = []
    await asyncio.gather(*[
        send(router, 100000 + router.index, CRASHING_PARTS, results)
        for router in routers])
    crashes = len(fleet.crashes) - before
    print(f"{crashes} crashes after the loss of all routers")
    if crashes:
        return [f"{crashes} engines crashed after the loss of all routers"]
    return []


async def run(folder):
    """Returns what went wrong."""
    store = Store()
    server = await asyncio.start_server(store.serve, f"{NET}.200", 0)
    place = "%s:%d" % server.sockets[0].getsockname()[:2]
    asyncio.ensure_future(store.expire_leases())
    store.put("op/config", manifest())
    fleet = Fleet(store)
    for index in range(ENGINES):
        await fleet.start_engine(index)
    routers = [Router(str(BUILD / "peridot-router"), folder, NET, index, place)
               for index in range(ROUTERS)]
    seeds = [router.listen["control"] for router in routers[:3]]
    for router in routers:
        router.write_settings(seeds)
        await router.start()
    try:
        if not await wait_until_ready(routers):
            return ["the routers did not become ready"]
        await asyncio.sleep(2.0)
        faults = await play(fleet, routers)
        return faults + await play_after_loss(fleet, routers)
    finally:
        for router in routers:
            router.process.kill()
            await router.ended()
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)


with tempfile.TemporaryDirectory() as directory:
    found = asyncio.run(run(directory))
for fault in found:
    print(fault)
print("0 faults" if not found else f"{len(found)} faults")
sys.exit(1 if found else 0)
