#!/usr/bin/env python3
"""Multiplies the traffic of a site file, and prints the outcomes of each class of request.

    overload.py multiply SITE FACTOR [LINK_MBPS]    writes the changed site file to standard output
    overload.py show OUT                            prints the results in a directory of reports
"""
import json
import pathlib
import re
import sys

PER_S = re.compile(r"(mix = \{[^}]*\}, per_s = )([0-9.]+)")
ENTRY_LINK = re.compile(r'(class = "front",[^}]*?link_mbps = )([0-9.]+)')
KIND = re.compile(r"^(\S+)\s+(\d+)\s+(\d+)\s+(\d+)\s+(\d+)\s+(\d+)\s+(\d+)\s+([0-9.]+)")


def multiply(site, factor, link):
    text = pathlib.Path(site).read_text()
    text = PER_S.sub(lambda m: f"{m[1]}{float(m[2]) * factor:.3f}", text)
    if link:
        text = ENTRY_LINK.sub(lambda m: m[1] + link, text)
    return text


def kinds(text):
    """Returns the rows of the table of request classes in the bench's output."""
    rows, inside = [], False
    for line in text.splitlines():
        if line.startswith("class "):
            inside = True
        elif inside and (match := KIND.match(line)):
            rows.append(match.groups())
        elif inside and rows:
            return rows
    return rows


def show(folder):
    for file in sorted(pathlib.Path(folder).glob("*.json")):
        report = json.loads(file.read_text())
        print(f"{file.stem:20} worth {report['G']:.3f} served {report['served']:.3f} {report['breaks'] or ''}")
        for name, asked, in_time, late, refused, failed, _, worth in kinds(file.with_suffix(".txt").read_text()):
            part = int(in_time) / max(1, int(asked))
            print(f"    {name:18} asked {asked:>6} in time {part:.3f} late {late:>5} refused {refused:>5} failed {failed:>5} worth {worth}")


def main():
    if sys.argv[1] == "multiply":
        sys.stdout.write(multiply(sys.argv[2], float(sys.argv[3]), sys.argv[4] if len(sys.argv) > 4 else ""))
        return
    show(sys.argv[2])


if __name__ == "__main__":
    main()
