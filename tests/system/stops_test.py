#!/usr/bin/env python3
"""Failures of the group "stops" on real processes; see scripts/recovery.py."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

import recovery  # noqa: E402

violated = [c for c in recovery.run_group("stops") if c.violations]
sys.exit(1 if violated else 0)
