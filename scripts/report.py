#!/usr/bin/env python3
"""Prints measurements as tables and holds them against the bounds.

Usage: report.py FILE [FILE ...]
"""

import json
import pathlib
import sys

FIRST_TOKEN_MS = 440
GAP_MS = 47
LESS_URGENT_FLOODS = ("flood-least-urgent", "engine-loss", "stale-load")


def load(paths):
    results = {}
    for path in paths:
        for row in json.loads(pathlib.Path(path).read_text()):
            if row["scenario"] == "relay":
                continue
            results[row["deployment"], row["scenario"], row["policy"]] = row
    return results


def ranks(row):
    names = {"pernik": ("reports", "classify"),
             "coinfield": ("tallies", "month-end")}[row["deployment"]]
    return [row["by_rank"][name] for name in names]


def table(results):
    print("| deployment | scenario | policy | rank | offered | in time | "
          "refused | late | first token p50/p95 ms | gap p95/p99 ms | "
          "stall s | preemptions | dead engines |")
    print("|---|---|---|---|---|---|---|---|---|---|---|---|---|")
    for (deployment, scenario, policy), row in sorted(results.items()):
        for rank, figures in row["by_rank"].items():
            refused = sum(figures["refused"].values())
            print(f"| {deployment} | {scenario} | {policy} | {rank} | "
                  f"{figures['offered']} | {figures['in_time']} | {refused} | "
                  f"{figures['late']} | {figures['first_token_ms_p50']:.0f}/"
                  f"{figures['first_token_ms_p95']:.0f} | "
                  f"{figures['token_gap_ms_p95']:.0f}/"
                  f"{figures['token_gap_ms_p99']:.0f} | "
                  f"{figures['stall_s']:.1f} | {row['preemptions']} | "
                  f"{row['dead_engines']} |")


class Bounds:
    def __init__(self):
        self.rows = []

    def add(self, what, deployment, scenario, value, bound, holds):
        self.rows.append((what, deployment, scenario, value, bound, holds))

    def show(self):
        print("| measure | deployment | scenario | seen | bound | |")
        print("|---|---|---|---|---|---|")
        for what, deployment, scenario, value, bound, holds in self.rows:
            print(f"| {what} | {deployment} | {scenario} | {value} | {bound} "
                  f"| {'holds' if holds else 'SHORT'} |")


def small_callers(row):
    """Offered and in time of the callers other than the two large ones."""
    offered = in_time = 0
    for name, figures in row["by_caller"].items():
        if name.startswith(("desk-", "charity-")):
            offered += figures["offered"]
            in_time += figures["in_time"]
    return offered, in_time


def check(results):
    bounds = Bounds()
    for (deployment, scenario, policy), row in sorted(results.items()):
        if policy != "full":
            continue
        base = results.get((deployment, scenario, "baseline"))
        urgent, other = ranks(row)
        if scenario in LESS_URGENT_FLOODS:
            bounds.add("urgent first token p95", deployment, scenario,
                       f"{urgent['first_token_ms_p95']:.0f} ms", "440 ms",
                       urgent["first_token_ms_p95"] <= FIRST_TOKEN_MS)
        if scenario != "long-tail":
            bounds.add("urgent gap p95", deployment, scenario,
                       f"{urgent['token_gap_ms_p95']:.1f} ms", "47 ms",
                       urgent["token_gap_ms_p95"] <= GAP_MS)
        flood = scenario == "long-tail" or scenario.startswith("flood")
        if flood and base:
            mine, theirs = row["preemptions"], base["preemptions"]
            bounds.add("preemptions beside the baseline", deployment,
                       scenario, f"{mine} of {theirs}", "a tenth",
                       mine <= theirs / 10)
            stall = row["all"]["stall_s"]
            their_stall = base["all"]["stall_s"]
            bounds.add("stall beside the baseline", deployment, scenario,
                       f"{stall:.1f} s of {their_stall:.1f} s", "a tenth",
                       stall <= their_stall / 10)
        if scenario == "flood-most-urgent":
            share = other["in_time"] / max(1, other["offered"])
            bounds.add("less urgent work below its floor, in time",
                       deployment, scenario, f"{share * 100:.1f} %", "95 %",
                       share >= 0.95)
        if scenario == "large-callers":
            offered, in_time = small_callers(row)
            share = in_time / max(1, offered)
            bounds.add("small callers in time", deployment, scenario,
                       f"{share * 100:.1f} %", "99 %", share >= 0.99)
        if scenario == "crashing-request":
            bounds.add("endpoints killed by one request", deployment,
                       scenario, row["dead_engines"], "2",
                       row["dead_engines"] <= 2)
        every = row["all"]
        faults = (every["tokens_wrong"] + every["generations_joined"]
                  + every["untrue_refusals"])
        bounds.add("tokens wrong or joined, untrue refusals", deployment,
                   scenario, faults, "0", faults == 0)
        bounds.add("late or unanswered", deployment, scenario,
                   every["late"], "0", every["late"] == 0)
    bounds.show()
    short = sum(1 for row in bounds.rows if not row[-1])
    print(f"\n{len(bounds.rows) - short} hold, {short} are short")


def main():
    results = load(sys.argv[1:])
    check(results)
    print()
    table(results)


if __name__ == "__main__":
    main()
