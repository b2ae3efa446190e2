#!/usr/bin/env python3
"""Plots the scores in journal/ as SVG files: worth by round, prices by item.

    plot_journal.py SITE [--out=docs/plots]

Reads the entries of `score` on SITE (the name of its site file) in the order of
time. Each round is one point a day of the site; the prices are those of the last
entry, by item, summed over its days.
"""

import argparse
import collections
import html
import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
WIDTH, HEIGHT, LEFT, TOP = 760, 360, 60, 30
COLOURS = ["#1b6ca8", "#c0392b", "#27823b", "#8e44ad", "#b9770e", "#34495e",
           "#16a085"]
PRICES_SHOWN = 8


def read_entries(site):
    """Returns the score entries of a site, oldest first."""
    entries = []
    for path in (ROOT / "journal").glob("*.json"):
        entry = json.loads(path.read_text(encoding="utf-8"))
        if entry.get("cmd") == "score" and entry.get("site") == site:
            entries.append((path.name, entry))
    return [entry for _, entry in sorted(entries, key=lambda e: e[0])]


def text(x, y, words, size=11, anchor="start", colour="#222"):
    """Returns an SVG text element."""
    return (f'<text x="{x:.0f}" y="{y:.0f}" font-size="{size}" '
            f'font-family="sans-serif" text-anchor="{anchor}" '
            f'fill="{colour}">{html.escape(words)}</text>')


def document(parts):
    """Returns a whole SVG document."""
    return (f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
            f'height="{HEIGHT}" viewBox="0 0 {WIDTH} {HEIGHT}">'
            f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>'
            + "".join(parts) + "</svg>\n")


def plot_worth(site, entries):
    """Returns the plot of each standard day's worth by round."""
    rounds = [{day["name"]: day["G"] for day in entry["days"]
               if not day["name"].startswith("fresh")} for entry in entries]
    days = sorted({name for worths in rounds for name in worths})
    across = (WIDTH - LEFT - 130) / max(1, len(rounds) - 1)
    down = HEIGHT - TOP - 40

    def place(number, worth):
        return LEFT + number * across, TOP + (1 - worth) * down

    parts = [text(LEFT, 18, f"Worth by round, {site}", 13)]
    for tenth in range(0, 11, 2):
        _, y = place(0, tenth / 10)
        parts.append(f'<line x1="{LEFT}" x2="{WIDTH - 125}" y1="{y:.0f}" '
                     f'y2="{y:.0f}" stroke="#ddd"/>')
        parts.append(text(LEFT - 8, y + 4, f"{tenth / 10:.1f}", anchor="end"))
    for number, day in enumerate(days):
        colour = COLOURS[number % len(COLOURS)]
        points = [place(i, worths[day]) for i, worths in enumerate(rounds)
                  if day in worths]
        line = " ".join(f"{x:.1f},{y:.1f}" for x, y in points)
        parts.append(f'<polyline points="{line}" fill="none" '
                     f'stroke="{colour}" stroke-width="1.5"/>')
        parts += [f'<circle cx="{x:.1f}" cy="{y:.1f}" r="2.5" '
                  f'fill="{colour}"/>' for x, y in points]
        parts.append(text(WIDTH - 115, TOP + 14 * (number + 1), day,
                          colour=colour))
    parts.append(text(LEFT, HEIGHT - 10,
                      f"{len(rounds)} scores, oldest first"))
    return document(parts)


def plot_prices(site, entry):
    """Returns the plot of the last score's prices by item."""
    sums = collections.Counter()
    for day in entry["days"]:
        for item, _, price in day["prices"]:
            sums[item] += price
    shown = [(i, p) for i, p in sums.most_common(PRICES_SHOWN) if p > 0]
    most = max((price for _, price in shown), default=1)
    parts = [text(LEFT, 18, f"Prices by item, {site}, sum of "
                  f"{len(entry['days'])} days", 13)]
    for number, (item, price) in enumerate(shown):
        y = TOP + 10 + number * 36
        width = (WIDTH - LEFT - 360) * price / most
        parts.append(f'<rect x="{LEFT + 270}" y="{y}" width="{width:.1f}" '
                     f'height="20" fill="{COLOURS[0]}"/>')
        parts.append(text(LEFT + 262, y + 14, item, anchor="end"))
        parts.append(text(LEFT + 276 + width, y + 14, f"{price:.3f}"))
    return document(parts)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", help="name of the site file without .toml")
    parser.add_argument("--out", default=str(ROOT / "docs" / "plots"))
    args = parser.parse_args()
    entries = read_entries(args.site)
    if not entries:
        parser.error(f"journal/ has no score of {args.site}")
    out = pathlib.Path(args.out)
    out.mkdir(parents=True, exist_ok=True)
    (out / f"{args.site}-worth.svg").write_text(
        plot_worth(args.site, entries), encoding="utf-8")
    (out / f"{args.site}-prices.svg").write_text(
        plot_prices(args.site, entries[-1]), encoding="utf-8")
    print(f"{len(entries)} scores of {args.site}")


if __name__ == "__main__":
    main()
