#!/usr/bin/env python3
"""Measures slopes, works out the target's figures from them and writes
docs/CAPACITY.md and its plots."""

import json
import pathlib
import subprocess
import sys

import fleet as fleets

DOCS = fleets.ROOT / "docs"

# The target: letter 1.
NODES = 320
ENGINES = 830
REQUESTS = 11000
TOKENS = 3_400_000
CALLERS = 230
MODELS = 33
CHANGES = 3200
LOSSES = 395
DAY = 86400
CELL = 24
MEAN_CELL = 12
STREAM_SPEED = 25  # Tokens a second of one stream, at 40 ms a token.

# Figures of the code that enter the sums.
ENTRY_TICKS = 20
DISPATCH_TICKS = 10
HEARTBEATS = 2
LOAD_REPORTS = 5
LEASE_RENEWALS = 1 / 5.5
CONFIG_POLLS = 1 / 4.0
VM_LIST_POLLS = 1
VM_LIST_POLL_BYTES = 160
CREDIT_ENDPOINTS = 4
CREDIT_INTERVAL = 1.0
# Request and answer of a poll that finds no change, with their heads.
CONFIG_POLL_BYTES = 560
LEDGER_WRITES = 1 / 60
STEWARD_CALLS = 1 / 3.0

BUDGET_CPU = 0.012
BUDGET_MEMORY = 32e6
BUDGET_BYTES = 3000


def fit(points):
    """Least squares line; returns intercept, slope and the largest residual
    as a share of the largest value."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    worst = max(abs(y - intercept - slope * x) for x, y in points)
    return intercept, slope, worst / max(abs(y) for _, y in points)


def plot(name, points, line, path):
    """Draws the points and the fitted line as SVG."""
    width, height, edge = 360, 220, 40
    most_x = max(x for x, _ in points)
    most_y = max(max(y for _, y in points), line[0] + line[1] * most_x, 1e-9)

    def place(x, y):
        return (edge + x / most_x * (width - 2 * edge),
                height - edge - max(0, y) / most_y * (height - 2 * edge))

    dots = "".join(
        f'<circle cx="{place(x, y)[0]:.1f}" cy="{place(x, y)[1]:.1f}" r="4" '
        'fill="#1f5f8b"/>' for x, y in points)
    begin, end = place(0, line[0]), place(most_x, line[0] + line[1] * most_x)
    path.write_text(
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
        f'height="{height}" font-family="sans-serif" font-size="11">'
        f'<rect width="{width}" height="{height}" fill="white"/>'
        f'<text x="{edge}" y="18">{name.replace("_", " ")}</text>'
        f'<line x1="{edge}" y1="{height - edge}" x2="{width - edge}" '
        f'y2="{height - edge}" stroke="black"/>'
        f'<line x1="{edge}" y1="{edge}" x2="{edge}" y2="{height - edge}" '
        'stroke="black"/>'
        f'<line x1="{begin[0]:.1f}" y1="{begin[1]:.1f}" x2="{end[0]:.1f}" '
        f'y2="{end[1]:.1f}" stroke="#c0392b"/>{dots}'
        f'<text x="{width - edge}" y="{height - edge + 16}" '
        f'text-anchor="end">{most_x:g}</text>'
        f'<text x="{edge + 4}" y="{edge - 4}">{most_y:.3g}</text></svg>\n')


def measure():
    run = subprocess.run([str(fleets.BUILD / "peridot_capacity")],
                         capture_output=True, text=True, check=True)
    slopes = {}
    for point in json.loads(run.stdout):
        slopes.setdefault(point["slope"], []).append(
            (point["size"], point["value"]))
    return slopes


class Page:
    def __init__(self, lines):
        self.lines = lines

    def at(self, name, size):
        intercept, slope, _ = self.lines[name]
        return max(0.0, intercept + slope * size)


def work_out(page):
    """Returns the figures of the target by name."""
    requests = REQUESTS / NODES
    streams = TOKENS / NODES / STREAM_SPEED
    cells_in_region = ENGINES / 3 / MEAN_CELL
    cells = ENGINES / MEAN_CELL
    cell_requests = REQUESTS / cells
    used_cells = min(cells_in_region, requests / HEARTBEATS * 1.0)
    figures = {"requests_node": requests, "streams_node": streams,
               "cells": cells, "cells_per_node": cells / NODES}

    # Processor time of control in an entry, microseconds a second. Relaying
    # tokens is not control and stands apart.
    view_changes = 2 * LOSSES / DAY
    changes = CHANGES / DAY
    figures["entry_us"] = (
        requests * page.at("entry_request_us_by_vm", NODES / 3)
        + ENTRY_TICKS * page.at("entry_tick_us_by_stream", streams)
        + view_changes * page.at("view_change_us_by_vm", NODES)
        + changes * page.at("config_take_us_by_caller", CALLERS))
    figures["dispatch_us"] = (
        cells / NODES * (
            cell_requests * page.at("dispatch_request_us_by_engine", CELL)
            + CELL * LOAD_REPORTS
            * page.at("dispatch_load_us_by_engine", CELL)
            + DISPATCH_TICKS * page.at("dispatch_tick_us_by_engine", CELL)))
    figures["dispatch_us_in_cell"] = figures["dispatch_us"] * NODES / cells
    figures["control_core"] = (figures["entry_us"]
                               + figures["dispatch_us"]) / 1e6
    figures["control_core_in_cell"] = (figures["entry_us"]
                                       + figures["dispatch_us_in_cell"]) / 1e6
    figures["relay_core"] = (TOKENS / NODES
                             * page.at("entry_token_us_by_stream", streams)
                             / 1e6)

    # Memory.
    figures["entry_bytes"] = (
        page.at("entry_state_bytes_by_stream", streams)
        + 3 * page.at("view_bytes_by_vm", NODES)
        + 3 * page.at("config_bytes_by_caller", CALLERS))
    figures["dispatch_bytes"] = (
        page.at("dispatch_state_bytes_by_engine", CELL)
        + 3 * page.at("view_bytes_by_vm", NODES))

    # Bytes a second of control, sent and received by a node.
    # Heads of messages: a cell in use hears from each entry some two times a
    # second, and answers as often. Payload bytes; what TCP adds is not counted.
    heartbeat = page.at("heartbeat_bytes_per_s_by_cell", 1)
    config = page.at("config_bytes_by_caller", CALLERS)
    figures["config_value"] = config
    figures["bytes_requests_credit"] = requests * page.at(
        "credit_request_bytes_by_prefix", 4)
    figures["bytes_requests_grant"] = requests * page.at(
        "request_bytes_by_prefix", 4)
    figures["bytes_heartbeats"] = used_cells * heartbeat
    figures["bytes_credits"] = used_cells * page.at(
        "credit_bytes_by_endpoint", CREDIT_ENDPOINTS) / CREDIT_INTERVAL
    figures["bytes_config_full"] = changes * config * 4 / 3
    figures["bytes_config_delta"] = changes * 150
    figures["bytes_view"] = view_changes * 80 * 2
    figures["bytes_vm_list"] = VM_LIST_POLLS * VM_LIST_POLL_BYTES
    figures["bytes_config_poll"] = CONFIG_POLLS * CONFIG_POLL_BYTES
    figures["bytes_load"] = cells / NODES * CELL * LOAD_REPORTS * 230
    figures["used_cells"] = used_cells
    for kind in ("credit", "grant"):
        figures[f"bytes_{kind}"] = sum(figures[name] for name in (
            f"bytes_requests_{kind}", "bytes_credits", "bytes_heartbeats",
            "bytes_config_full", "bytes_view", "bytes_vm_list",
            "bytes_config_poll", "bytes_load"))

    # The store.
    figures["store_writes"] = NODES * (
        LEASE_RENEWALS + LEDGER_WRITES) + 3 * STEWARD_CALLS + \
        3 * LOSSES / DAY + changes
    figures["store_reads"] = NODES * CONFIG_POLLS + \
        LOSSES / DAY + 3 * NODES / 4.0 / 10
    figures["store_watches"] = NODES
    figures["zone_store_writes"] = NODES / 8 * 3 / 4
    return figures


def verdict(value, budget):
    return "within" if value <= budget else "OVER"


TEMPLATE = (fleets.ROOT / "scripts" / "capacity_template.md")


def main():
    slopes = measure()
    lines = {}
    folder = DOCS / "capacity"
    folder.mkdir(parents=True, exist_ok=True)
    rows = []
    for name, points in slopes.items():
        line = fit(points)
        lines[name] = line
        plot(name, points, line, folder / f"{name}.svg")
        sizes = ", ".join(f"{x:g}" for x, _ in points)
        rows.append(f"| [{name}](capacity/{name}.svg) | {sizes} | "
                    f"{line[0]:.1f} | {line[1]:.3f} | {line[2] * 100:.0f} % |")
    figures = work_out(Page(lines))
    text = TEMPLATE.read_text()
    values = {name: f"{value:,.0f}" if abs(value) >= 20 else f"{value:.2f}"
              for name, value in figures.items()}
    values["control_core"] = f"{figures['control_core'] * 100:.2f}"
    values["control_core_in_cell"] = \
        f"{figures['control_core_in_cell'] * 100:.2f}"
    values["relay_core"] = f"{figures['relay_core'] * 100:.1f}"
    values["slopes"] = "\n".join(rows)
    values["cpu_verdict"] = verdict(figures["control_core"], BUDGET_CPU)
    values["cpu_cell_verdict"] = verdict(figures["control_core_in_cell"],
                                         BUDGET_CPU)
    values["CALLERS_TEXT"] = str(CALLERS)
    values["dispatch_flood_slope"] = \
        f"{lines['dispatch_flood_us_by_caller'][1]:.2f}"
    values["memory_mb"] = f"{(figures['entry_bytes'] + figures['dispatch_bytes']) / 1e6:.1f}"
    values["memory_verdict"] = verdict(
        figures["entry_bytes"] + figures["dispatch_bytes"], BUDGET_MEMORY)
    values["credit_verdict"] = verdict(figures["bytes_credit"], BUDGET_BYTES)
    values["grant_verdict"] = verdict(figures["bytes_grant"], BUDGET_BYTES)
    for name, value in values.items():
        text = text.replace("{" + name + "}", value)
    (DOCS / "CAPACITY.md").write_text(text)
    print("\n".join(rows))
    for name, value in figures.items():
        print(f"{name}: {value:.4g}")
    print(f"control: {values['cpu_verdict']} processor, "
          f"{values['memory_verdict']} memory, {values['credit_verdict']} "
          f"bytes on credits, {values['grant_verdict']} on grants")


if __name__ == "__main__":
    sys.exit(main())
