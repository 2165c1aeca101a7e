#!/usr/bin/env python3
"""Prints the score of each day in a directory of reports, and its difference to a baseline.

    days.py OUT [BASE]

OUT and BASE are directories of reports. With BASE, the last line has the mean difference of the
days that both contain; scripts/ablate.sh reads that line.
"""
import json
import math
import pathlib
import sys


def read(folder):
    """Returns the reports of a directory, keyed by the name of the day."""
    return {f.stem: json.loads(f.read_text()) for f in sorted(pathlib.Path(folder).glob("*.json"))}


def spread(values):
    """Returns the mean and its standard error, which is 0 for fewer than two values."""
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, 0.0
    variance = sum((v - mean) ** 2 for v in values) / (len(values) - 1)
    return mean, math.sqrt(variance / len(values))


def main():
    days = read(sys.argv[1])
    base = read(sys.argv[2]) if len(sys.argv) > 2 else {}
    differences = []
    for name, report in days.items():
        parts = {p[0]: p[2] for p in report["parts"]}
        line = f"{name:28} worth {report['G']:.3f} served {report['served']:.3f} windows {parts['worst windows']:.2f}"
        if name in base:
            difference = report["G"] - base[name]["G"]
            differences.append(difference)
            line += f" {difference:+.3f}"
        if report["fault"] or report["short"] or report["breaks"]:
            line += f" BROKEN {report['fault']} {report['short']} {report['breaks']}"
        print(line)
    print(f"{len(days)} days, mean worth {spread([r['G'] for r in days.values()])[0]:.4f}")
    if differences:
        mean, error = spread(differences)
        print(f"difference {mean:+.4f}, standard error {error:.4f}, better on {sum(d > 0.002 for d in differences)}, worse on {sum(d < -0.002 for d in differences)}")


main()
