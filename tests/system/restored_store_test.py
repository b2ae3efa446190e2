#!/usr/bin/env python3
"""Routers follow a store that is restored from a copy and counts anew."""

import asyncio
import json
import os
import pathlib
import re
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tests" / "soak"))

from soak import Router  # noqa: E402
from store import Store  # noqa: E402

BUILD = pathlib.Path(os.environ.get("PERIDOT_BUILD", ROOT / "build"))
NET = "127.0.27"
ROUTERS = 5
ZONES = 2
START_S = 20
ROUNDS = 4
# Time within which a confirmed manifest is in force, and in which what the
# routers wrote themselves is in the store again.
CONFIG_S = 2.0
REGISTERED_S = 4.0


def manifest(version):
    """Returns a manifest without routes."""
    return json.dumps({"version": version, "routes": [],
                       "services": []}).encode()


def versions_of(router):
    """Returns the versions that a router has taken, in their order."""
    log = pathlib.Path(router.log).read_text(encoding="utf-8")
    return [int(v) for v in
            re.findall(r'"manifest_taken".*?"version":"(\d+)"', log)]


async def wait_until(check, patience):
    """Waits until `check` returns nothing. Returns what it returned last."""
    loop = asyncio.get_running_loop()
    end = loop.time() + patience
    left = check()
    while left and loop.time() < end:
        await asyncio.sleep(0.05)
        left = check()
    return left


class Fleet:
    """Some routers and their store."""

    def __init__(self, folder):
        self.folder = folder
        self.store = Store()
        self.routers = []

    async def start(self):
        """Starts everything and waits for the first manifest."""
        server = await asyncio.start_server(self.store.serve, f"{NET}.200", 0)
        place = "%s:%d" % server.sockets[0].getsockname()[:2]
        asyncio.create_task(self.store.expire_leases())
        self.store.put("op/config", manifest(1))
        self.routers = [Router(str(BUILD / "peridot-router"), self.folder, NET,
                               i, place) for i in range(ROUTERS)]
        seeds = [r.listen["control"] for r in self.routers[:3]]
        for router in self.routers:
            router.write_settings(seeds)
            path = pathlib.Path(router.path)
            settings = json.loads(path.read_text(encoding="utf-8"))
            settings["zone"] = "abc"[router.index % ZONES]
            path.write_text(json.dumps(settings), encoding="utf-8")
            await router.start()
        late = await wait_until(lambda: self.behind(1), START_S)
        if late:
            raise RuntimeError(f"no manifest at the start: {late}")

    def behind(self, version):
        """Returns the routers that have not taken a version."""
        return [r.name for r in self.routers
                if max(versions_of(r), default=0) < version]

    def unregistered(self):
        """Returns the routers without an item in the store."""
        return [r.name for r in self.routers
                if f"peridot/routers/{r.name}" not in self.store.items]

    async def restart(self, router):
        """Kills a router and starts it again."""
        router.process.kill()
        await router.ended()
        await router.start()

    async def stop(self):
        """Ends all routers."""
        for router in self.routers:
            if router.process and router.process.returncode is None:
                router.process.kill()
                await router.ended()


async def play_round(fleet, number):
    """Plays one restoration. Returns the faults."""
    faults = []
    base = 10 * number
    fleet.store.put("op/config", manifest(base))
    faults += await wait_until(lambda: fleet.behind(base), CONFIG_S)
    copy = fleet.store.copy()
    for extra in range(1, 4):
        fleet.store.put("op/config", manifest(base + extra))
        await asyncio.sleep(0.1)
    faults += await wait_until(lambda: fleet.behind(base + 3), CONFIG_S)
    if number == 2:
        # A copy of before the routers were registered.
        copy = (copy[0], {k: v for k, v in copy[1].items()
                          if k.startswith("op/")}, {})
    fleet.store.restore(copy)
    if number == 3:
        await fleet.restart(fleet.routers[-1])
    await asyncio.sleep(0.3 * number)
    # The operator writes the last manifest again, then the next one. Their
    # revisions are those of manifests before.
    fleet.store.put("op/config", manifest(base + 3))
    await asyncio.sleep(0.2)
    fleet.store.put("op/config", manifest(base + 4))
    late = await wait_until(lambda: fleet.behind(base + 4), CONFIG_S)
    faults += [f"round {number}: {r} has not taken {base + 4}" for r in late]
    lost = await wait_until(fleet.unregistered, REGISTERED_S)
    faults += [f"round {number}: {r} is not registered" for r in lost]
    return faults


async def main():
    """Restores the store several times while manifests change."""
    faults = []
    with tempfile.TemporaryDirectory(prefix="restored-") as folder:
        fleet = Fleet(folder)
        try:
            await fleet.start()
            for number in range(1, ROUNDS + 1):
                faults += await play_round(fleet, number)
            for router in fleet.routers[:-1]:
                taken = versions_of(router)
                if taken != sorted(taken):
                    faults.append(f"{router.name} went back: {taken}")
        finally:
            await fleet.stop()
    for fault in faults:
        print("FAULT", fault)
    print(f"restored store: {ROUNDS} restorations, {len(faults)} faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
