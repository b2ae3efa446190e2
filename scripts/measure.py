#!/usr/bin/env python3
"""Measures the fleet: runs scenarios with the full policy and the baseline and
writes build/measurements.json.

Usage: measure.py [SCENARIO ...] [--deployment pernik|coinfield] [--seconds S]
                  [--policy full|baseline|both]
"""

import argparse
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time

import fleet as fleets

# Tokens a second that ten engine stand-ins give within a 47 ms step, measured
# by the scenario "capacity-probe".
CAPACITY = 5600
# Mean output tokens of each kind of prompt in the engine stand-in.
MEAN_TOKENS = {"kind=report": 132, "kind=verdict": 29}

LARGE = {"pernik": ["sorting-hall", "quality-lab"],
         "coinfield": ["airport-program", "head-office"]}
SMALL = {"pernik": "desk", "coinfield": "charity"}
# The urgent rank's and the other rank's kind of prompt.
KINDS = {"pernik": ("kind=report", "kind=verdict"),
         "coinfield": ("kind=verdict", "kind=report")}


class Scenario:
    """One scenario: its streams, and faults while it runs."""

    def __init__(self, deployment, seconds):
        sheet = json.loads(
            (fleets.ROOT / "examples" / f"{deployment}.json").read_text())
        self.deployment = deployment
        self.seconds = seconds
        self.ranks = [r["id"] for r in sheet["ranks"]]
        self.deadlines = {r["id"]: r["start_deadline_ms"]
                          for r in sheet["ranks"]}
        self.callers = [c["id"] for c in sheet["callers"]]
        self.model = fleets.SHAPES[deployment]["model"]
        self.streams = []
        self.engine_flags = {}
        self.faults = None
        self.drain_s = 20

    def add(self, caller, rank, tokens_per_s, kind, start=0, stop=None, **more):
        rate = tokens_per_s / MEAN_TOKENS[kind]
        stream = {"caller": caller, "key": f"key-{caller}", "rank": rank,
                  "model": self.model, "text": kind, "rate": rate,
                  "start_s": start, "stop_s": stop or self.seconds}
        stream.update(more)
        self.streams.append(stream)

    def add_steady(self, share=0.7):
        """Work of all callers: most of it urgent, large callers take half."""
        urgent, other = self.ranks
        kinds = KINDS[self.deployment]
        weights = {c: 4 if c in LARGE[self.deployment] else 1
                   for c in self.callers}
        total = sum(weights.values())
        urgent_share = 0.85 if self.deployment == "pernik" else 0.25
        for caller, weight in weights.items():
            part = CAPACITY * share * weight / total
            self.add(caller, urgent, part * urgent_share, kinds[0])
            self.add(caller, other, part * (1 - urgent_share), kinds[1])

    def add_flood(self, rank, times, start, stop):
        for caller in LARGE[self.deployment]:
            self.add(caller, rank, CAPACITY * times / 2, "kind=report",
                     start, stop)


def steady(s):
    s.add_steady()


def flood_least_urgent(s):
    s.add_steady()
    s.add_flood(s.ranks[1], 5, s.seconds * 0.2, s.seconds)


def flood_most_urgent(s):
    s.add_steady()
    s.add_flood(s.ranks[0], 5, s.seconds * 0.2, s.seconds)


def flood_both(s):
    s.add_steady()
    s.add_flood(s.ranks[1], 5, s.seconds * 0.2, s.seconds * 0.6)
    s.add_flood(s.ranks[0], 5, s.seconds * 0.6, s.seconds)


def large_callers(s):
    s.add_steady(0.3)
    small = [c for c in s.callers if c not in LARGE[s.deployment]]
    steady_rate = CAPACITY * 0.3 * len(small) / (len(small) + 8)
    for caller in LARGE[s.deployment]:
        s.add(caller, s.ranks[0], 20 * steady_rate / 2, "kind=report",
              s.seconds * 0.2)


def long_tail(s):
    s.add_steady()
    s.faults = lambda f: after(s.seconds * 0.2, lambda: every_engine(
        f, {"length_scale": 10}))


def engine_loss(s):
    s.add_steady()
    s.add_flood(s.ranks[1], 2, s.seconds * 0.2, s.seconds)

    def lose(fleet):
        time.sleep(s.seconds * 0.4)
        lost = fleet.by_role("engine")[:3]
        for engine in lost:
            fleets.call(f"{fleet.state['store']}/vms", "POST",
                        {"id": engine["name"], "state": "leaving"})
            fleets.call(f"{engine['url']}/faults", "POST", {"leaving": True})
        time.sleep(2)
        for engine in lost:
            os.kill(engine["pid"], signal.SIGKILL)
    s.faults = lose


def slow_engine(s):
    s.add_steady()
    s.faults = lambda f: after(s.seconds * 0.2, lambda: fleets.call(
        f"{f.by_role('engine')[0]['url']}/faults", "POST", {"slow": 4}))


def crashing_request(s):
    s.add_steady(0.5)
    s.add(LARGE[s.deployment][0], s.ranks[0], 132 / 2, "kind=report",
          s.seconds * 0.2, prompt_characters=64, same_prompt=True,
          resend=True)
    s.streams[-1]["text"] = "DEADLY kind=report"
    s.faults = lambda f: every_engine(f, {"crash_word": "DEADLY"})


def silent_connections(s):
    s.add_steady()
    s.faults = lambda f: after(s.seconds * 0.5, lambda: every_engine(
        f, {"silence_share": 0.33}))


def stale_load(s):
    s.add_steady()
    s.add_flood(s.ranks[1], 5, s.seconds * 0.2, s.seconds)
    s.engine_flags = {"report-lag-ms": 3000, "gap-percent": 30}


def capacity_probe(s):
    s.add_flood(s.ranks[0], 3, 0, s.seconds)


SCENARIOS = {
    "steady": steady, "flood-least-urgent": flood_least_urgent,
    "flood-most-urgent": flood_most_urgent, "flood-both": flood_both,
    "large-callers": large_callers, "long-tail": long_tail,
    "engine-loss": engine_loss, "slow-engine": slow_engine,
    "crashing-request": crashing_request,
    "silent-connections": silent_connections, "stale-load": stale_load,
    "capacity-probe": capacity_probe,
}


def after(seconds, action):
    time.sleep(seconds)
    action()


def every_engine(fleet, faults):
    for engine in fleet.by_role("engine"):
        fleets.call(f"{engine['url']}/faults", "POST", faults)


def engine_stats(fleet):
    stats = {"preemptions": 0, "dead_engines": 0}
    for engine in fleet.by_role("engine"):
        try:
            state = fleets.call(f"{engine['url']}/stats")
            stats["preemptions"] += state["preemptions"]
        except OSError:
            stats["dead_engines"] += 1
    return stats


def control_bytes(fleet):
    """Control bytes and messages that the entries sent."""
    key = fleet.state["operator_key"]
    total = {"bytes": 0, "messages": 0}
    for url in fleet.state["entries"]:
        state = fleets.call(f"{url}/admin/status", key=key)
        total["bytes"] += state["link_bytes_sent"]
        total["messages"] += state["link_messages_sent"]
    return total


def process_costs(fleet):
    """Processor seconds and memory of the system's processes, by role."""
    costs = {}
    ticks = os.sysconf("SC_CLK_TCK")
    for process in fleet.state["processes"]:
        if process["role"] not in ("entry", "dispatch", "steward"):
            continue
        if not fleets.is_alive(process["pid"]):
            log = pathlib.Path(process["log"]).read_text()
            sys.exit(f"{process['name']} died:\n{log[-2000:]}")
        stat = pathlib.Path(f"/proc/{process['pid']}/stat").read_text()
        fields = stat.rsplit(") ", 1)[1].split()
        status = pathlib.Path(f"/proc/{process['pid']}/status").read_text()
        resident = next(int(line.split()[1]) for line in status.splitlines()
                        if line.startswith("RssAnon"))
        cost = costs.setdefault(process["role"],
                                {"cpu_s": 0.0, "anonymous_kb_most": 0})
        cost["cpu_s"] += (int(fields[11]) + int(fields[12])) / ticks
        cost["anonymous_kb_most"] = max(cost["anonymous_kb_most"], resident)
    return costs


def run_relay(deployment, seconds):
    """The same load on the engines directly and through one entry."""
    results = {}
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.up(deployment, folder, entries=1)
        try:
            for way in ("direct", "entry"):
                entries = ([e["url"] for e in fleet.by_role("engine")]
                           if way == "direct" else fleet.state["entries"])
                scenario = Scenario(deployment, seconds)
                scenario.add_steady()
                before = process_costs(fleet)["entry"]["cpu_s"]
                path = pathlib.Path(folder) / "workload.json"
                output = pathlib.Path(folder) / "figures.json"
                path.write_text(json.dumps({
                    "entries": entries, "seed": 7, "duration_s": seconds,
                    "drain_s": 20, "warm_up_s": 2,
                    "deadlines_ms": scenario.deadlines,
                    "streams": scenario.streams}))
                subprocess.run([str(fleets.BUILD / "peridot-caller"),
                                f"--workload={path}", f"--output={output}"],
                               check=True, stdout=subprocess.DEVNULL)
                row = json.loads(output.read_text())["all"]
                costs = process_costs(fleet)["entry"]
                row["entry_cpu_s"] = costs["cpu_s"] - before
                row["entry_anonymous_kb"] = costs["anonymous_kb_most"]
                row["control"] = control_bytes(fleet)
                results[way] = row
                print(f"relay {way}: tokens {row['tokens']} first token ms "
                      f"{row['first_token_ms_p50']:.1f}/"
                      f"{row['first_token_ms_p95']:.1f}/"
                      f"{row['first_token_ms_p99']:.1f} gap ms "
                      f"{row['token_gap_ms_p50']:.1f}/"
                      f"{row['token_gap_ms_p95']:.1f}/"
                      f"{row['token_gap_ms_p99']:.1f} entry cpu s "
                      f"{row['entry_cpu_s']:.2f} memory kB "
                      f"{row['entry_anonymous_kb']}", flush=True)
        finally:
            fleets.stop_processes(list(reversed(fleet.state["processes"])),
                                  timeout=0.5)
    return results


def run_scenario(name, deployment, policy, seconds, entries=3):
    scenario = Scenario(deployment, seconds)
    SCENARIOS[name](scenario)
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.up(deployment, folder, entries, policy=policy,
                          engine_flags=scenario.engine_flags)
        try:
            workload = {"entries": fleet.state["entries"], "seed": 7,
                        "duration_s": seconds, "drain_s": scenario.drain_s,
                        "warm_up_s": min(3, seconds * 0.1),
                        "deadlines_ms": scenario.deadlines,
                        "streams": scenario.streams}
            path = pathlib.Path(folder) / "workload.json"
            path.write_text(json.dumps(workload))
            output = pathlib.Path(folder) / "figures.json"
            faults = None
            if scenario.faults:
                faults = threading.Thread(target=scenario.faults,
                                          args=(fleet,), daemon=True)
                faults.start()
            subprocess.run([str(fleets.BUILD / "peridot-caller"),
                            f"--workload={path}", f"--output={output}"],
                           check=True, stdout=subprocess.DEVNULL)
            if faults:
                faults.join(10)
            figures = json.loads(output.read_text())
            figures.update(engine_stats(fleet))
            figures["control"] = control_bytes(fleet)
            figures["costs"] = process_costs(fleet)
        finally:
            fleets.stop_processes(list(reversed(fleet.state["processes"])),
                                  timeout=0.5)
    figures.update({"scenario": name, "deployment": deployment,
                    "policy": policy, "seconds": seconds})
    return figures


def print_row(figures):
    for rank, row in figures["by_rank"].items():
        refused = sum(row["refused"].values())
        print(f"{figures['scenario']:20} {figures['policy']:9} {rank:10} "
              f"offered {row['offered']:5} in time {row['in_time']:5} "
              f"refused {refused:5} late {row['late']:4} "
              f"tok {row['good_tokens']:7} "
              f"ttft p50/95 {row['first_token_ms_p50']:7.0f}/"
              f"{row['first_token_ms_p95']:7.0f} "
              f"gap p95/99 {row['token_gap_ms_p95']:5.0f}/"
              f"{row['token_gap_ms_p99']:5.0f} stall {row['stall_s']:7.1f} "
              f"wrong {row['tokens_wrong']}/{row['generations_joined']}/"
              f"{row['untrue_refusals']} {row['refused']}", flush=True)
    print(f"{'':30} preemptions {figures['preemptions']}, dead engines "
          f"{figures['dead_engines']}, control bytes "
          f"{figures['control']['bytes']}, costs {figures['costs']}",
          flush=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("scenarios", nargs="*")
    parser.add_argument("--deployment", default="pernik")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--policy", default="both")
    parser.add_argument("--output",
                        default=str(fleets.BUILD / "measurements.json"))
    options = parser.parse_args()
    names = options.scenarios or [n for n in SCENARIOS
                                  if n != "capacity-probe"]
    policies = (["full", "baseline"] if options.policy == "both"
                else [options.policy])
    target = pathlib.Path(options.output)
    results = json.loads(target.read_text()) if target.exists() else []
    for name in names:
        if name in ("capacity", "recovery"):
            script = fleets.ROOT / "scripts" / f"{name}.py"
            subprocess.run([sys.executable, str(script)], check=True)
            continue
        if name == "relay":
            figures = {"scenario": "relay", "deployment": options.deployment,
                       "policy": "full",
                       "ways": run_relay(options.deployment,
                                         options.seconds)}
            results = [r for r in results if r["scenario"] != "relay"]
            target.write_text(json.dumps(results + [figures], indent=1))
            results.append(figures)
            continue
        if name not in SCENARIOS:
            sys.exit(f"no scenario {name}; there are {', '.join(SCENARIOS)}")
        for policy in policies:
            figures = run_scenario(name, options.deployment, policy,
                                   options.seconds)
            print_row(figures)
            results = [r for r in results
                       if (r["scenario"], r["deployment"], r["policy"]) !=
                       (name, options.deployment, policy)] + [figures]
            target.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
