#!/usr/bin/env python3
"""Lists why generations on leaving endpoints were lost, from routers' logs.

Reads log lines of routers (JSON objects; text before the first brace is
ignored) and prints, for each cause, how many generations were broken off. The
clocks of the VMs must agree to within some hundred milliseconds.
"""

import argparse
import collections
import sys

from router_log import records

# An endpoint that any VM saw leave within this time before a generation's end
# had given notice of it.
NOTICE_MS = 6000

MOVE_STEPS = ("move_started", "move_failed", "move_resumed", "move_undone",
              "move_withheld")


def collect(lines):
    """Returns the requests by VM and number, and when each VM saw each
    endpoint leave."""
    requests = collections.defaultdict(lambda: {"steps": []})
    leaving = collections.defaultdict(dict)
    for record in records(lines):
        vm, message = record.get("vm"), record.get("message")
        at = int(record.get("at_ms", 0))
        if message == "started":
            for key in [key for key in requests if key[0] == vm]:
                requests[(vm, key[1], at)] = requests.pop(key)
        elif message == "endpoint_leaving":
            leaving[record["endpoint"]].setdefault(vm, at)
        number = record.get("request")
        if number is None:
            continue
        request = requests[(vm, number)]
        if message == "placed":
            request["endpoint"] = record["endpoint"]
            request.setdefault("route", record.get("route"))
        elif message in MOVE_STEPS:
            request["steps"].append((message, record.get("status")))
        elif message == "response_broken":
            request["events"] = int(record.get("events", 0))
        elif message == "outcome" and record.get("status") == "broken_off":
            request["ended_at"] = at
            request["cause"] = record.get("cause")
            request.setdefault("events", int(record.get("events", 0)))
    return requests, leaving


def classify(vm, request, leaving):
    """Returns why a generation was broken off."""
    if request["cause"] != "endpoint's stream broke off":
        return request["cause"]
    seen = leaving.get(request["endpoint"], {})
    before = [at for at in seen.values()
              if 0 <= request["ended_at"] - at <= NOTICE_MS]
    steps = [step for step, _ in request["steps"]]
    if not before:
        return "no notice: the endpoint crashed or its notice reached no VM"
    if vm not in seen or seen[vm] >= request["ended_at"]:
        return "notice known to other VMs, not to this one"
    if "move_started" not in steps:
        if "move_not_planned" in steps:
            return "move not planned: no time or no target"
        return "no target or lease before the endpoint was gone"
    if steps[-1] == "move_resumed":
        return "broke off at the target of its move"
    if steps[-1] == "move_failed":
        return f"move failed with {request['steps'][-1][1]}"
    return "endpoint gone while the move ran"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", nargs="*", help="log files; standard input")
    arguments = parser.parse_args()
    lines = []
    for path in arguments.logs:
        with open(path, encoding="utf-8", errors="replace") as log:
            lines.extend(log)
    requests, leaving = collect(lines or sys.stdin)
    causes = collections.defaultdict(list)
    for key, request in requests.items():
        if "ended_at" in request:
            causes[classify(key[0], request, leaving)].append(request)
    print(f"{'generations':>11}  {'events':>7}  cause")
    for cause, lost in sorted(causes.items(), key=lambda item: -len(item[1])):
        events = sum(request["events"] for request in lost)
        print(f"{len(lost):11}  {events:7}  {cause}")


if __name__ == "__main__":
    main()
