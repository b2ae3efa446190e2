"""Entries of another writer after which no router learns of changes."""

import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import odd_entries  # noqa: E402

ENTRIES = 8

sys.exit(odd_entries.main(HERE, "127.0.48", 3, 1, odd_entries.play_drain,
                          ENTRIES))
