#!/usr/bin/env python3
"""Records traces of real processes under failures into tests/traces/, with
their outcomes as the replay prints them. Read the outcomes before committing
them: they are what the replay will hold the reducers to."""

import json
import pathlib
import shutil
import subprocess
import tempfile

import fleet as fleets
import recovery

TRACES = fleets.ROOT / "tests" / "traces"

# Name of the trace, the failure and the process whose trace is kept.
RECORDINGS = [
    ("silent-connection", recovery.silent_connection_is_replaced, "vm-2-entry"),
    ("engine-death", recovery.stream_ends_typed_with_engine, "vm-2-entry"),
    ("lost-answers", recovery.calls_with_lost_answers, "vm-1-entry"),
    ("claims-race", recovery.claims_race, "vm-1-entry"),
    ("dispatcher-death", recovery.dispatcher_dies, "vm-1-entry"),
    ("home-paused", recovery.calls_under_pause, "vm-1-entry"),
]


def outcomes(trace):
    result = subprocess.run(
        [str(fleets.BUILD / "peridot-replay"), str(trace),
         "--print-outcomes=on"], capture_output=True, text=True, check=True)
    stated = json.loads(result.stdout)
    for request in stated["requests"].values():
        # A bound, not the recorded instant.
        request["by_ms"] = request["by_ms"] // 1000 * 1000 + 1000
    return stated


def main():
    TRACES.mkdir(parents=True, exist_ok=True)
    for name, failure, process in RECORDINGS:
        with tempfile.TemporaryDirectory() as folder:
            fleet = fleets.up("pernik", folder, entries=3, engines=2,
                              services=2, trace=True)
            try:
                check = failure(fleet)
            finally:
                fleets.stop_processes(
                    list(reversed(fleet.state["processes"])), timeout=0.5)
            source = fleet.folder / f"{process}.trace"
            target = TRACES / f"{name}.trace"
            shutil.copy(source, target)
            stated = outcomes(target)
            (TRACES / f"{name}.json").write_text(
                json.dumps(stated, indent=1) + "\n")
            print(f"{name}: {check.violations or 'holds'}, "
                  f"{target.stat().st_size} bytes, {stated['steps']} steps")
            dispatch = fleet.folder / "vm-1-dispatch.trace"
            if name == "engine-death":
                for vm in ("vm-1", "vm-2"):
                    dispatch = fleet.folder / f"{vm}-dispatch.trace"
                    found = outcomes(dispatch)
                    if not found["grants"] and not found["steps"]:
                        continue
                    shutil.copy(dispatch,
                                TRACES / f"engine-death-{vm}.trace")
                    (TRACES / f"engine-death-{vm}.json").write_text(
                        json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    main()
