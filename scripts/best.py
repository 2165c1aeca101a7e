#!/usr/bin/env python3
"""Prints, for each played day of a folder, what it was worth and the best that could be had.

    best.py OUT SITE

While no host has power, nobody is served; nor is who was being served when it went or comes
before the first process is up. Those seconds are taken out of the whole day, of the windows
of two seconds and of the worst kind of request; all else is taken as served in time. Prices
are the day's own. The real best is lower: targets that are missing, bursts above what they
can do, and callers that come again at once are taken as served. Where processes are killed
and hosts stay up, callers are turned away at once and come again in time; such days have no
bound here and are left out.
"""
import json
import pathlib
import re
import sys

WINDOW_S = 2.0
# How long before the loss a request must have come to be done, and how long after the hosts
# are back the first process answers: the time of a usual job, and of a start.
UNDER_WAY_S = 0.2
START_S = 0.1
CLOSING = re.compile(r"closing \(power_off_all\)")


def outages(report, text):
    """Returns the spans in which nobody can be served, from the day's account in words."""
    spans = []
    for line in text.splitlines():
        if CLOSING.search(line):
            first = float(line.split()[0])
            spans.append((first - UNDER_WAY_S, first + report["down_s"] + START_S))
    return spans


def share_lost(begin, spans):
    lost = sum(max(0.0, min(begin + WINDOW_S, b) - max(begin, a)) for a, b in spans)
    return min(1.0, lost / WINDOW_S)


def best(report, spans):
    weights = {part[0]: part[1] for part in report["parts"]}
    windows = [(float(w["name"]), w["n"]) for w in report["windows"]]
    served = [(1 - share_lost(begin, spans), n) for begin, n in windows]
    whole = sum(s * n for s, n in served) / max(1, sum(n for _, n in served))
    worst = sorted(s for s, _ in served)[:2]
    prices = sum(p[2] for p in report["prices"])
    return weights["whole day"] * whole + weights["worst windows"] * sum(worst) / 2 + weights["worst class"] * whole - prices


def down_s(site_text, day):
    """Returns how long the closing of a standard day lasts, from the site file."""
    block = site_text.split(f'name = "{day}"', 1)
    match = re.search(r"closing = .*?down_s = ([0-9.]+)", block[1]) if len(block) > 1 else None
    return float(match.group(1)) if match else None


def main():
    folder, site = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2]).read_text()
    for file in sorted(folder.glob("*.json")):
        report = json.loads(file.read_text())
        report["down_s"] = down_s(site, file.stem)
        if report["down_s"] is None:
            continue
        spans = outages(report, file.with_suffix(".txt").read_text())
        if not spans:
            continue
        print(f"{file.stem:12} worth {report['G']:.3f} best {best(report, spans):.3f}")


main()
