#!/usr/bin/env python3
"""Routers take a new manifest in time whichever relays cannot reach the store."""

import asyncio
import json
import os
import pathlib
import re
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tests" / "soak"))

from proxy import Proxy  # noqa: E402
from soak import Router  # noqa: E402
from store import Store  # noqa: E402

BUILD = pathlib.Path(os.environ.get("PERIDOT_BUILD", ROOT / "build"))
NET = "127.0.25"
ROUTERS = 18
ZONES = 3
RELAYS_OF_FIRST_ZONE = (0, ZONES)
ALL_RELAYS = tuple(range(2 * ZONES))
START_S = 30
ROUNDS = 12
# Time within which a confirmed manifest is in force in fleets of this size.
CONFIG_S = 3.0


def manifest(version):
    """Returns a manifest without routes."""
    return json.dumps({"version": version, "routes": [],
                       "services": []}).encode()


def version_of(router):
    """Returns the last version that a router has taken."""
    log = pathlib.Path(router.log).read_text(encoding="utf-8")
    taken = re.findall(r'"manifest_taken".*?"version":"(\d+)"', log)
    return int(taken[-1]) if taken else 0


async def wait_for(routers, version, patience):
    """Returns the routers that have not taken a version in time."""
    loop = asyncio.get_running_loop()
    end = loop.time() + patience
    late = list(routers)
    while late and loop.time() < end:
        await asyncio.sleep(0.05)
        late = [r for r in late if version_of(r) < version]
    return late


def set_processor_share(router):
    """Lets two routers of each zone be preferred as relays."""
    path = pathlib.Path(router.path)
    settings = json.loads(path.read_text(encoding="utf-8"))
    share = 0.5 if router.index < 2 * ZONES else 0.12
    settings["limits"] = {"cpu_share": share}
    path.write_text(json.dumps(settings), encoding="utf-8")


async def run(folder):
    """Returns what went wrong."""
    store = Store()
    server = await asyncio.start_server(store.serve, f"{NET}.200", 0)
    place = "%s:%d" % server.sockets[0].getsockname()[:2]
    asyncio.ensure_future(store.expire_leases())
    store.put("op/config", manifest(1))
    routers, proxies = [], []
    for index in range(ROUTERS):
        proxy = Proxy(place)
        await proxy.start(f"{NET}.{100 + index}")
        proxies.append(proxy)
        routers.append(Router(str(BUILD / "peridot-router"), folder, NET,
                              index, proxy.address))
    seeds = [r.listen["control"] for r in routers[:3]]
    for router in routers:
        router.write_settings(seeds)
        set_processor_share(router)
        await router.start()
    faults = []
    try:
        if await wait_for(routers, 1, START_S):
            return ["the first manifest was not taken"]
        await asyncio.sleep(4.0)
        # Ends the watches that routers opened before relays served them.
        for proxy in proxies:
            proxy.reset_all()
        await asyncio.sleep(1.0)
        for version in range(2, 2 + ROUNDS):
            cut_off = ALL_RELAYS if version % 2 else RELAYS_OF_FIRST_ZONE
            for index in cut_off:
                proxies[index].mode = "silent"
                proxies[index].reset_all()
            await asyncio.sleep(0.13 * version)
            store.put("op/config", manifest(version))
            connected = [r for r in routers if r.index not in cut_off]
            for router in await wait_for(connected, version, CONFIG_S):
                faults.append(f"{router.name} has version "
                              f"{version_of(router)} instead of {version}")
            for index in cut_off:
                proxies[index].mode = "pass"
                proxies[index].reset_all()
            await wait_for(routers, version, START_S)
    finally:
        for router in routers:
            router.process.kill()
            await router.ended()
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    return faults


with tempfile.TemporaryDirectory() as directory:
    found = asyncio.run(run(directory))
for fault in found:
    print(fault)
print("0 faults" if not found else f"{len(found)} faults")
sys.exit(1 if found else 0)
