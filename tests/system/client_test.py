#!/usr/bin/env python3
"""Runs the stock client library's checks against a fleet."""

import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

import fleet as fleets  # noqa: E402

if shutil.which("node") is None:
    sys.exit("node is missing; scripts/packages.sh installs it")
with tempfile.TemporaryDirectory() as folder:
    fleet = fleets.up("pernik", folder, entries=2, engines=2, services=1)
    try:
        key = next(iter(fleet.state["keys"].values()))
        result = subprocess.run(
            ["node", str(ROOT / "tests" / "clients" / "responses.mjs"),
             fleet.state["entries"][0], key, fleet.state["model"]],
            cwd=ROOT / "tests" / "clients", check=False)
    finally:
        fleets.stop_processes(list(reversed(fleet.state["processes"])),
                              timeout=0.5)
sys.exit(result.returncode)
