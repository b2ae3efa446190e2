#!/usr/bin/env python3
"""Shows the system at work: for each deployment a fleet is started, an answer
is streamed, a short flood is run and a table printed, and all is stopped."""

import json
import pathlib
import subprocess
import sys
import tempfile

import fleet as fleets
import measure
import recovery

FLOOD_SECONDS = 8


def stream_an_answer(fleet):
    key = list(fleet.state["keys"].values())[2]
    url = fleet.state["entries"][0]
    body = {"model": fleet.state["model"],
            "input": "Write the report. kind=report lot 7"}
    tokens = recovery.Tokens()
    print("streaming: ", end="", flush=True)
    stream = recovery.Stream(url, key, body)
    for event in stream.events():
        tokens.take(event)
        if event["type"] == "response.output_text.delta" and \
                tokens.next % 10 == 0:
            print(".", end="", flush=True)
    print(f" {tokens.next} tokens, each once and in order: "
          f"{tokens.completed and tokens.wrong == 0}")
    if not tokens.completed or tokens.wrong:
        sys.exit("demo: the stream was not whole")


def call_once(fleet):
    key = list(fleet.state["keys"].values())[2]
    urls = fleet.state["entries"]
    session, _ = recovery.with_session(urls[0], key)
    first = recovery.service_call(fleet, urls[0], key, "demo", session, 1)
    again = recovery.service_call(fleet, urls[1], key, "demo", session, 1)
    runs = recovery.service_runs(fleet)["demo"]
    print(f"a call sent twice, by two VMs: ran {first.ran}/{again.ran}, "
          f"{runs} run at the service")
    if runs != 1:
        sys.exit("demo: a call ran more than once")


def flood(fleet, deployment):
    scenario = measure.Scenario(deployment, FLOOD_SECONDS)
    measure.flood_least_urgent(scenario)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "workload.json"
        path.write_text(json.dumps({
            "entries": fleet.state["entries"], "seed": 7,
            "duration_s": FLOOD_SECONDS, "drain_s": 5,
            "deadlines_ms": scenario.deadlines,
            "streams": scenario.streams}))
        subprocess.run([str(fleets.BUILD / "peridot-caller"),
                        f"--workload={path}"], check=True)


def main():
    for deployment in fleets.SHAPES:
        print(f"== {deployment}: starting 6 entry VMs, 10 engines, "
              "3 plain endpoints", flush=True)
        with tempfile.TemporaryDirectory() as folder:
            fleet = fleets.up(deployment, folder, 6, 10)
            print(recovery.ctl(fleet, "status").stdout, flush=True)
            stream_an_answer(fleet)
            call_once(fleet)
            print("a flood of the less urgent rank at five times capacity:",
                  flush=True)
            flood(fleet, deployment)
            print(recovery.ctl(fleet, "refusals").stdout, flush=True)
            killed = fleets.down(fleet)
            print("stopped" + (f"; killed {killed}" if killed else ""),
                  flush=True)
            if killed:
                sys.exit("demo: some processes did not stop by themselves")


if __name__ == "__main__":
    main()
