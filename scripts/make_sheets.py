#!/usr/bin/env python3
"""Writes the example sheets of both deployments.

Keys of the example callers are "key-" and the caller's id; a real sheet holds
the hashes of real keys.
"""

import hashlib
import json
import pathlib

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"


def caller(name, share, ranks, max_queued):
    key = hashlib.sha256(f"key-{name}".encode()).hexdigest()
    return {"id": name, "key_sha256": key, "share": share, "ranks": ranks,
            "max_queued": max_queued}


def rank(name, order, first, gap, deadline, floor, headroom):
    return {"id": name, "order": order, "first_token_target_ms": first,
            "token_gap_target_ms": gap, "start_deadline_ms": deadline,
            "floor": floor, "headroom": headroom}


def pernik():
    zones = ["pernik-a", "pernik-b", "pernik-c"]
    callers = [caller("sorting-hall", 4, ["reports", "classify"], 400),
               caller("quality-lab", 4, ["reports", "classify"], 400)]
    callers += [caller(f"desk-{i}", 1, ["reports", "classify"], 100)
                for i in range(1, 9)]
    return {
        "deployment": "pernik", "serial": 1, "zones": zones,
        "ranks": [rank("reports", 0, 440, 47, 4000, 0.0, 0.12),
                  rank("classify", 1, 5000, 120, 60000, 0.15, 0.0)],
        "callers": callers,
        "services": [
            {"id": "language", "kind": "KIND_MODEL", "models": ["lot-writer"],
             "checks_fencing": True},
            {"id": "records", "kind": "KIND_PLAIN",
             "request_timeout_ms": 10000,
             "non_repeatable": [
                 {"method": "POST", "path_prefix": "/weighings"},
                 {"method": "POST", "path_prefix": "/dispatches"}]}],
        "places": [{"zone": z, "service": "language", "model": "lot-writer",
                    "version": "v1", "copies": 3} for z in zones],
    }


def coinfield():
    zones = ["regina-a", "saskatoon-b", "winnipeg-c"]
    callers = [caller("airport-program", 2, ["tallies", "month-end"], 400),
               caller("head-office", 2, ["tallies", "month-end"], 400)]
    callers += [caller(f"charity-{i}", 1, ["tallies", "month-end"], 100)
                for i in range(1, 9)]
    return {
        "deployment": "coinfield", "serial": 1, "zones": zones,
        "ranks": [rank("tallies", 0, 440, 47, 4000, 0.0, 0.08),
                  rank("month-end", 1, 20000, 120, 180000, 0.3, 0.0)],
        "callers": callers,
        "services": [
            {"id": "reconciliation", "kind": "KIND_MODEL",
             "models": ["reconciler"], "checks_fencing": False},
            {"id": "donations", "kind": "KIND_PLAIN",
             "request_timeout_ms": 10000,
             "non_repeatable": [
                 {"method": "POST", "path_prefix": "/credits"}]}],
        "places": [{"zone": z, "service": "reconciliation",
                    "model": "reconciler", "version": "v1", "copies": 3}
                   for z in zones],
    }


for sheet in (pernik(), coinfield()):
    path = EXAMPLES / f"{sheet['deployment']}.json"
    path.write_text(json.dumps(sheet, indent=2) + "\n")
