#!/usr/bin/env python3
"""Prints, for each day in a directory of reports, its score and an upper bound of that score.

    best.py OUT SITE

No request is served while all hosts are without power. Requests that were in progress when the
power failed, or that arrive before the first process is up, are lost too. The bound subtracts
these seconds from the whole day, from the windows of two seconds and from the worst class of
request, and counts every other request as served in time. The prices are those in the day's
report. The achievable score is lower, because the bound counts requests as served despite
missing targets, bursts beyond the targets' capacity and callers that retry at once. Days whose
closing kills the processes but leaves the hosts up are omitted: their callers are refused at
once and retry in time, so this bound doesn't apply.
"""
import json
import pathlib
import re
import sys

WINDOW_S = 2.0
# A request that arrives less than UNDER_WAY_S before the power failure doesn't finish; this is
# the duration of a typical job. The first process answers START_S after the hosts are back;
# this is its start-up time.
UNDER_WAY_S = 0.2
START_S = 0.1
CLOSING = re.compile(r"closing \(power_off_all\)")


def outages(report, text):
    """Returns the spans, in seconds of the day, in which no request can be served.

    text is the output of the bench for the day.
    """
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
    """Returns the downtime in seconds at the closing of a day of the site file, None if it has none."""
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
