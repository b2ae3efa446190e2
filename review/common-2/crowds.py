"""Cases in which a crowd of callers sends requests that stop just short of
their end, as clients that the operators do not control do."""

import asyncio
import contextlib
import os
import resource
import socket
import tempfile
import traceback

from rig import (BROKEN, HELD, MACHINE_LIMITS, NOT_RUN, Record, Rig,
                 end_on_sigterm)
from service import Server, call, calls_manifest

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Below the idle timeout of the manifest.
WATCH_S = 6
TURNS = 3
ROUTERS = 2
RESTART_S = 0.5
# Bytes of a body that a caller gives to its connection at once.
BLOCK = 16 << 10


def unread_mb(rig, number):
    """Returns what has arrived at the router's callers' port and was not read
    yet: it counts toward the memory of the process."""
    host, port = rig.listen[number]["front"].rsplit(":", 1)
    local = f"{socket.inet_aton(host)[::-1].hex().upper()}:{int(port):04X}"
    unread = 0
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            row = line.split()
            if row[1] == local and row[3] != "0A":
                unread += int(row[4].split(":")[1], 16)
    return unread / (1 << 20)


async def send(rig, number, request, callers):
    """Sends what the connection takes of a request, and keeps it open."""
    with contextlib.suppress(OSError):
        _, writer = await rig.connect(number=number)
        callers.append(writer)
        for at in range(0, len(request), BLOCK):
            writer.write(request[at:at + BLOCK])
            await writer.drain()


async def meet_crowd(rig, number, record, count, make_request, counts_unread):
    """Lets a crowd come to a router, and kills it as the platform does if it
    takes more memory than its machine has. Returns whether the process ended."""
    limit = MACHINE_LIMITS["memory_mb"]
    callers = []
    tasks = [asyncio.ensure_future(
                 send(rig, number, make_request(caller), callers))
             for caller in range(count)]
    highest, parts = 0.0, (0.0, 0.0)
    loop = asyncio.get_running_loop()
    until = loop.time() + WATCH_S
    while loop.time() < until and highest <= limit and rig.runs(number):
        now = (rig.memory_mb(number),
               unread_mb(rig, number) if counts_unread else 0.0)
        if sum(now) > highest:
            highest, parts = sum(now), now
        await asyncio.sleep(0.02)
    unread = (f" and has not read {parts[1]:.0f} MB that were received"
              if counts_unread else "")
    record.note(f"router {number}: {len(callers)} callers connected; it has "
                f"taken {parts[0]:.0f} MB{unread}, of {limit} MB")
    is_ended = highest > limit or not rig.runs(number)
    if is_ended:
        record.note(f"router {number} is killed")
        if rig.runs(number):
            rig.processes[number].kill()
            await rig.processes[number].wait()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for writer in callers:
        writer.transport.abort()
    return is_ended


async def play(rig, net, record, count, make_request, counts_unread):
    """Returns whether the rule Fault was broken: processes end by themselves
    three times on two machines."""
    server = Server("i-1")
    await server.start(f"{net}.101")
    rig.store.put("servers/i-1", server.entry("ready", 1))
    rig.store.put("op/config", calls_manifest())
    store_address = await rig.start_store()
    await rig.start(store_address)
    first = make_request(0)
    lines = first[:first.index(b"\r\n\r\n")].count(b"\r\n") + 1
    header = first.index(b"\r\n\r\n") + 4
    record.note(f"a crowd is {count} callers that each begin a request: header "
                f"{header} bytes in {lines} lines, body {len(first) - header} "
                "bytes")
    ends = [0] * rig.count
    for turn in range(TURNS):
        for number in range(rig.count):
            status = await call(rig, f"ordinary-{turn}", number, 5)
            record.note(f"router {number}: ordinary call {status}, "
                        f"{rig.memory_mb(number):.0f} MB")
            if status != 200:
                raise RuntimeError("the ordinary call was not served")
            if not await meet_crowd(rig, number, record, count, make_request,
                                    counts_unread):
                continue
            ends[number] += 1
            await asyncio.sleep(RESTART_S)
            await rig.start_router(number, store_address)
            await rig.wait_until_ready(number)
    record.note(f"ends of the processes: {ends}")
    return min(ends) >= 3


def main(folder, net, count, make_request, counts_unread):
    """Plays a case. Returns the exit code of its script."""
    async def run():
        end_on_sigterm()
        record = Record(folder)
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if descriptors < MACHINE_LIMITS["max_fds"]:
            record.note(f"could not run: {descriptors} descriptors, and the "
                        f"machine has {MACHINE_LIMITS['max_fds']}")
            return NOT_RUN
        with tempfile.TemporaryDirectory() as directory:
            rig = Rig(net, directory, ROUTERS)
            try:
                async with asyncio.timeout(100):
                    is_broken = await play(rig, net, record, count,
                                           make_request, counts_unread)
            except (RuntimeError, OSError, TimeoutError):
                record.note("could not run: " + traceback.format_exc(limit=1))
                return NOT_RUN
            finally:
                await rig.stop()
        record.note("rule broken" if is_broken else "rule held")
        return BROKEN if is_broken else HELD

    return asyncio.run(run())
