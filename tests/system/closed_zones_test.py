#!/usr/bin/env python3
"""Endpoints of a closed zone get nothing, however routers learn of the closing."""

import argparse
import asyncio
import os
import pathlib
import random
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tests" / "soak"))

from proxy import Proxy  # noqa: E402
from soak import Soak  # noqa: E402

BUILD = pathlib.Path(os.environ.get("PERIDOT_BUILD", ROOT / "build"))
NET = "127.0.34"
# So many that they report to relays.
ROUTERS = 18
CALLERS = 18
SEED = 1
ZONE = "b"
KEY = "op/evacuate/" + ZONE
# Times after a confirmed closing and opening by which all routers obey it.
CLOSED_S = 5.0
OPENED_S = 5.0
# How long the zone stays closed after that bound.
WATCHED_S = 2.0


class Fleet(Soak):
    """Routers that reach the store through a proxy each."""

    def __init__(self, folder):
        super().__init__(argparse.Namespace(
            router=str(BUILD / "peridot-router"), routers=ROUTERS, net=NET,
            callers=CALLERS), SEED, folder)
        self.store_proxies = []

    async def add_link_proxy(self, router):
        await super().add_link_proxy(router)
        proxy = Proxy(router.store)
        await proxy.start(f"{NET}.202")
        router.store = proxy.address
        self.store_proxies.append(proxy)

    async def set_up(self):
        await super().set_up()
        await self.add_endpoint("plain")
        await self.add_endpoint("engines")

    def set_store_mode(self, mode, proxies):
        """Lets `proxies` lead to the store, or harm that way."""
        for proxy in proxies:
            proxy.mode = mode
            proxy.reset_all()

    def close_zone(self):
        """Closes the zone as the operator does."""
        self.store.put(KEY, b"{}")

    def arrivals(self, begun, ended):
        """Returns how many requests reached the zone in a span of time."""
        return sum(1 for at, endpoint in self.book.arrivals
                   if endpoint.zone == ZONE and begun <= at < ended)


async def by_watch(_fleet):
    """All routers reach the store."""


async def some_turned_away(fleet):
    """Two thirds of the routers get no answer from the store."""
    away = random.Random(SEED).sample(fleet.store_proxies, 2 * ROUTERS // 3)
    fleet.set_store_mode("silent", away)
    await asyncio.sleep(0.2)


async def store_down_and_restarts(fleet):
    """The store is down half a second later, and routers start meanwhile."""
    async def go_down():
        await asyncio.sleep(0.5)
        fleet.set_store_mode("refuse", fleet.store_proxies)
        await asyncio.sleep(1.0)
        await asyncio.gather(fleet.kill_router(), fleet.stop_router())
    fleet.faults.append(asyncio.ensure_future(go_down()))


async def history_discarded(fleet):
    """The store forgets its history before and after the closing."""
    async def forget():
        fleet.store.forget_history()
        fleet.set_store_mode("pass", fleet.store_proxies)
    await forget()

    async def forget_later():
        await asyncio.sleep(0.05)
        await forget()
    fleet.faults.append(asyncio.ensure_future(forget_later()))


async def store_restored(fleet):
    """The store loses the closing, and the operator writes it again."""
    copy = fleet.store.copy()

    async def restore():
        await asyncio.sleep(CLOSED_S)
        fleet.store.restore(copy)
        await asyncio.sleep(0.5)
        fleet.store.put("op/config", fleet.manifest(fleet.version))
        fleet.close_zone()
        for endpoint in fleet.endpoints:
            fleet.list_endpoint(endpoint)
    fleet.faults.append(asyncio.ensure_future(restore()))


async def closed_again(fleet):
    """The zone is opened and closed again at once."""
    fleet.close_zone()
    await asyncio.sleep(1.0)
    fleet.store.remove(KEY)
    await asyncio.sleep(0.03)


async def play(fleet, case):
    """Closes and opens the zone in one case. Returns the faults."""
    name = case.__name__
    await case(fleet)
    closed = fleet.now()
    fleet.close_zone()
    await asyncio.sleep(CLOSED_S + WATCHED_S)
    late = fleet.arrivals(closed + CLOSED_S, fleet.now())
    faults = [f"{name}: {late} requests reached the zone"] if late else []
    # A store that is down is back before the operator can open the zone.
    await asyncio.gather(*fleet.faults)
    fleet.set_store_mode("pass", fleet.store_proxies)
    opened = fleet.now()
    fleet.store.remove(KEY)
    while fleet.now() < opened + OPENED_S:
        await asyncio.sleep(0.1)
        if fleet.arrivals(opened, fleet.now()):
            break
    else:
        faults.append(f"{name}: no request reached the zone again")
    print(f"{name}: {late} late, back after {fleet.now() - opened:.1f} s",
          flush=True)
    # All routers obey before the next case.
    await asyncio.sleep(3.0)
    return faults


async def run(folder):
    """Returns what went wrong."""
    fleet = Fleet(folder)
    faults = []
    try:
        await fleet.set_up()
        if not await fleet.serves_again():
            return ["the routers do not serve"]
        callers = [asyncio.ensure_future(fleet.caller())
                   for _ in range(CALLERS)]
        for case in (by_watch, some_turned_away, store_down_and_restarts,
                     history_discarded, store_restored, closed_again):
            faults += await play(fleet, case)
        fleet.over = True
        await asyncio.gather(*callers)
    finally:
        for router in fleet.routers:
            router.process.kill()
            await router.ended()
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    fleet.check_endpoints()
    fleet.check_logs()
    return faults + fleet.broken


with tempfile.TemporaryDirectory(prefix="closed-zones-") as directory:
    found = asyncio.run(run(directory))
for fault in found:
    print("FAULT", fault)
print(f"closed zones: {len(found)} faults")
sys.exit(1 if found else 0)
