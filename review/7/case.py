"""Entries of another writer that routers cannot pass on to each other."""

import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import odd_entries  # noqa: E402

ENTRIES = 5

sys.exit(odd_entries.main(HERE, "127.0.47", 6, 1, odd_entries.play_drain,
                          ENTRIES))
