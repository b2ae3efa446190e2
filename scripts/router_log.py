"""Reads the logs of routers."""

import json


def records(lines):
    """Yields the JSON object of each line that has one; text before the first
    brace is ignored."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            yield json.loads(line[start:])
        except ValueError:
            continue
