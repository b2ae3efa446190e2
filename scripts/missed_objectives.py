#!/usr/bin/env python3
"""Lists how generations missed their latency objectives, from routers' logs.

Reads log lines of routers (JSON objects; text before the first brace is
ignored) and prints a table: for each route, how many generations were in time,
late or failed, and in which step.
"""

import argparse
import collections
import sys

from router_log import records


def collect(lines):
    """Returns the requests by VM and number, with their decisions."""
    requests = collections.defaultdict(dict)
    for record in records(lines):
        number = record.get("request")
        if number is None:
            continue
        request = requests[(record.get("vm"), number)]
        message = record.get("message")
        at = int(record.get("at_ms", 0))
        if message == "placed":
            request.setdefault("route", record.get("route"))
            request.setdefault("placed_at", at)
            request.setdefault("prompt", int(record.get("prompt", 0)))
            request["attempts"] = int(record.get("attempt", 1))
        elif message == "waits_for_capacity":
            request["waits_since"] = at
            request["tokens"] = int(record.get("tokens", 0))
        elif message == "outcome":
            request["ended_at"] = at
            request.update(record)
            if "route" in record:
                request["route"] = record["route"]
        elif message in ("move_started", "move_failed", "move_resumed"):
            request[message] = request.get(message, 0) + 1
    return requests


def wait_before_placing(request):
    """Returns the milliseconds from the first wait to the placement."""
    if "waits_since" not in request or "placed_at" not in request:
        return 0
    return max(0, request["placed_at"] - request["waits_since"])


def cause(request, objective, longest_pause):
    """Names the step in which a generation missed its objectives."""
    status = str(request.get("status", "no outcome"))
    if status == "complete":
        first = int(request.get("first_event_ms", 0))
        waited = wait_before_placing(request)
        if first > objective:
            return "late: waited for capacity" if waited > objective / 3 \
                else "late: waited at the engine"
        if int(request.get("longest_pause_ms", 0)) > longest_pause:
            moved = int(request.get("moves", 0)) > 0
            return "late: pause at a move" if moved else "late: pause"
        return "in time"
    if status == "broken_off":
        tried = request.get("move_started", 0)
        return "broken off: " + str(request.get("cause")) + \
            (", a move had started" if tried else ", not moved")
    if status == "no outcome":
        return "no outcome: router ended" if "placed_at" in request \
            else "no outcome: router ended while it waited"
    return status + " " + str(request.get("reason", ""))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", nargs="?", default="-",
                        help="file with log lines; - for standard input")
    parser.add_argument("--objective-ms", type=int, default=4000,
                        help="time to the first event that counts as in time")
    parser.add_argument("--pause-ms", type=int, default=180,
                        help="longest pause between events that is in time")
    parser.add_argument("--route", help="only this route")
    options = parser.parse_args()
    lines = sys.stdin if options.log == "-" else open(options.log)
    table = collections.defaultdict(collections.Counter)
    for request in collect(lines).values():
        prompt = request.get("prompt", 0)
        if prompt == 0 and "waits_since" not in request:
            continue
        route = request.get("route", "not placed")
        if options.route and route != options.route:
            continue
        table[route][cause(request, options.objective_ms,
                           options.pause_ms)] += 1
    for route, causes in sorted(table.items()):
        print(f"{route}: {sum(causes.values())}")
        for name, count in causes.most_common():
            print(f"  {count:6d}  {name}")


if __name__ == "__main__":
    main()
