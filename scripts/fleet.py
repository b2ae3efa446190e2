#!/usr/bin/env python3
"""Starts and stops a fleet on loopback addresses: the stand-ins, and on each
entry VM an entry, a dispatch and a steward process.

Usage: fleet.py up --deployment pernik|coinfield [--entries N] [--engines N]
                   [--policy full|baseline] [--dir D] [--trace]
       fleet.py down [--dir D]
"""

import argparse
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("PERIDOT_BUILD", ROOT / "build"))

SHAPES = {
    "pernik": {
        "region": "pernik",
        "zones": ["pernik-a", "pernik-b", "pernik-c"],
        "model_service": "language", "model": "lot-writer",
        "plain_service": "records", "check_fencing": "on",
    },
    "coinfield": {
        "region": "coinfield",
        "zones": ["regina-a", "saskatoon-b", "winnipeg-c"],
        "model_service": "reconciliation", "model": "reconciler",
        "plain_service": "donations", "check_fencing": "off",
    },
}

READY_TIMEOUT_S = 30
STOP_TIMEOUT_S = 60


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def call(url, method="GET", body=None, timeout=5, key=None):
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    request.add_header("content-type", "application/json")
    if key:
        request.add_header("authorization", f"Bearer {key}")
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return json.loads(answer.read() or b"{}")


class Fleet:
    """The processes of one fleet, as written to fleet.json."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.state = {"processes": []}

    def load(self):
        self.state = json.loads((self.folder / "fleet.json").read_text())
        return self

    def save(self):
        path = self.folder / "fleet.json"
        path.write_text(json.dumps(self.state, indent=2) + "\n")

    def start(self, name, program, flags, address, port, role):
        log = self.folder / f"{name}.log"
        words = [str(BUILD / program)]
        words += [f"--{key}={value}" for key, value in flags.items()]
        with open(log, "ab") as sink:
            process = subprocess.Popen(words, stdout=sink, stderr=sink,
                                       start_new_session=True)
        entry = {"name": name, "role": role, "pid": process.pid,
                 "address": address, "port": port,
                 "url": f"http://{address}:{port}", "log": str(log),
                 "command": words}
        self.state["processes"] = [p for p in self.state["processes"]
                                   if p["name"] != name] + [entry]
        return entry

    def by_role(self, role):
        return [p for p in self.state["processes"] if p["role"] == role]

    def by_name(self, name):
        return next(p for p in self.state["processes"] if p["name"] == name)

    def restart(self, name):
        """Starts a process again as it was started first."""
        old = self.by_name(name)
        end = time.monotonic() + READY_TIMEOUT_S
        while is_alive(old["pid"]) and time.monotonic() < end:
            time.sleep(0.02)
        with open(old["log"], "ab") as sink:
            process = subprocess.Popen(old["command"], stdout=sink,
                                       stderr=sink, start_new_session=True)
        old["pid"] = process.pid
        self.save()


def wait_until(what, check, timeout=READY_TIMEOUT_S):
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        try:
            if check():
                return
        except (urllib.error.URLError, OSError, ValueError):
            pass
        time.sleep(0.05)
    sys.exit(f"fleet: {what} did not come up within {timeout} s; see its log")


def start_endpoints(fleet, shape, engines, services, platform, engine_flags):
    for i in range(engines):
        zone = shape["zones"][i % len(shape["zones"])]
        address = f"127.0.1.{i + 1}"
        port = free_port(address)
        flags = {"id": f"engine-{i + 1}", "service": shape["model_service"],
                 "zone": zone, "region": shape["region"], "address": address,
                 "port": port, "platform": platform,
                 "models": shape["model"] + "@v1",
                 "check-fencing": shape["check_fencing"]}
        flags.update(engine_flags)
        fleet.start(f"engine-{i + 1}", "standin-engine", flags, address, port,
                    "engine")
    for i in range(services):
        zone = shape["zones"][i % len(shape["zones"])]
        address = f"127.0.2.{i + 1}"
        port = free_port(address)
        flags = {"id": f"record-{i + 1}", "service": shape["plain_service"],
                 "zone": zone, "region": shape["region"], "address": address,
                 "port": port, "platform": platform}
        fleet.start(f"record-{i + 1}", "standin-service", flags, address,
                    port, "service")


def start_vm(fleet, shape, index, platform, policy, trace):
    zone = shape["zones"][index % len(shape["zones"])]
    vm = f"vm-{index + 1}"
    address = f"127.0.0.{index + 2}"
    ports = {name: free_port(address)
             for name in ("http", "entry", "dispatch", "metrics", "steward")}
    shared = {"vm": vm, "zone": zone, "region": shape["region"],
              "address": address, "store": platform, "vm-list": platform,
              "fleet-key": fleet.state["fleet_key"],
              "vm-list-interval-ms": 500}

    def traced(name):
        return {"trace": str(fleet.folder / f"{name}.trace")} if trace else {}

    fleet.start(f"{vm}-entry", "peridot-entry",
                {**shared, "http-port": ports["http"],
                 "control-port": ports["entry"],
                 "dispatch-port": ports["dispatch"],
                 "operator-key": fleet.state["operator_key"],
                 **traced(f"{vm}-entry")},
                address, ports["http"], "entry")
    fleet.start(f"{vm}-dispatch", "peridot-dispatch",
                {**shared, "http-port": ports["metrics"],
                 "control-port": ports["dispatch"],
                 "entry-port": ports["entry"], "policy": policy,
                 **traced(f"{vm}-dispatch")},
                address, ports["metrics"], "dispatch")
    fleet.start(f"{vm}-steward", "peridot-steward",
                {**shared, "http-port": ports["steward"],
                 "control-port": 0, "entry-port": ports["entry"]},
                address, ports["steward"], "steward")
    call(f"{platform}/vms", "POST",
         {"id": vm, "service": "peridot-entry", "zone": zone,
          "region": shape["region"], "address": address,
          "port": ports["http"], "entry_port": ports["entry"],
          "dispatch_port": ports["dispatch"], "state": "live"})


def apply_sheet(fleet, sheet):
    subprocess.run([str(BUILD / "peridotctl"), "sheet", "apply", str(sheet),
                    f"--store={fleet.state['store']}"], check=True,
                   stdout=subprocess.DEVNULL)


def up(deployment, folder, entries=6, engines=10, services=3, policy="full",
       trace=False, sheet=None, engine_flags=None):
    """Starts a fleet and returns it when every entry serves."""
    shape = SHAPES[deployment]
    fleet = Fleet(folder)
    fleet.folder.mkdir(parents=True, exist_ok=True)
    port = free_port("127.0.0.1")
    platform = f"http://127.0.0.1:{port}"
    fleet.state.update({"deployment": deployment, "store": platform,
                        "model": shape["model"],
                        "plain_service": shape["plain_service"],
                        "fleet_key": "example-fleet-key",
                        "operator_key": "example-operator-key"})
    fleet.start("platform", "standin-platform", {"port": port}, "127.0.0.1",
                port, "platform")
    wait_until("the platform", lambda: call(f"{platform}/vms"))
    start_endpoints(fleet, shape, engines, services, platform,
                    engine_flags or {})
    sheet = sheet or ROOT / "examples" / f"{deployment}.json"
    apply_sheet(fleet, sheet)
    for i in range(entries):
        start_vm(fleet, shape, i, platform, policy, trace)
    callers = json.loads(pathlib.Path(sheet).read_text())["callers"]
    fleet.state["keys"] = {c["id"]: f"key-{c['id']}" for c in callers}
    fleet.state["entries"] = [p["url"] for p in fleet.by_role("entry")]
    fleet.save()
    for process in fleet.by_role("entry"):
        wait_until(process["name"],
                   lambda url=process["url"]: call(f"{url}/readyz"))
    key = fleet.state["operator_key"]

    def sees_all():
        return all(
            (s := call(f"{u}/admin/status", key=key))["endpoints"]
            == engines + services and s["vms"] == entries
            for u in fleet.state["entries"])

    wait_until("the view of the fleet", sees_all)
    for process in fleet.state["processes"]:
        if not is_alive(process["pid"]):
            log = pathlib.Path(process["log"]).read_text()
            sys.exit(f"fleet: {process['name']} ended at its start:\n"
                     f"{log[-2000:]}")
    return fleet


def is_alive(pid):
    try:
        done, _ = os.waitpid(pid, os.WNOHANG)
        return done == 0
    except ChildProcessError:
        pass
    try:
        os.kill(pid, 0)
        return True
    except ProcessLookupError:
        return False


def stop_processes(processes, timeout=STOP_TIMEOUT_S):
    """Stops processes gracefully by id. Returns the names of those that had
    to be killed."""
    for process in processes:
        try:
            os.kill(process["pid"], signal.SIGTERM)
        except ProcessLookupError:
            continue
    end = time.monotonic() + timeout
    left = list(processes)
    while left and time.monotonic() < end:
        left = [p for p in left if is_alive(p["pid"])]
        time.sleep(0.05)
    for process in left:
        os.kill(process["pid"], signal.SIGKILL)
    return [p["name"] for p in left]


def down(fleet):
    """A planned stop: entries first, so that dispatchers still serve them."""
    killed = []
    for role in ("entry", "dispatch", "steward", "engine", "service",
                 "platform"):
        killed += stop_processes(fleet.by_role(role))
    return killed


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("action", choices=["up", "down"])
    parser.add_argument("--deployment", choices=list(SHAPES), default="pernik")
    parser.add_argument("--entries", type=int, default=6)
    parser.add_argument("--engines", type=int, default=10)
    parser.add_argument("--policy", choices=["full", "baseline"],
                        default="full")
    parser.add_argument("--dir", default=str(BUILD / "fleet"))
    parser.add_argument("--trace", action="store_true")
    options = parser.parse_args()
    if options.action == "down":
        killed = down(Fleet(options.dir).load())
        if killed:
            sys.exit(f"fleet: had to kill {', '.join(killed)}")
        return
    fleet = up(options.deployment, options.dir, options.entries,
               options.engines, policy=options.policy, trace=options.trace)
    print(f"ready: {fleet.folder / 'fleet.json'}")


if __name__ == "__main__":
    main()
