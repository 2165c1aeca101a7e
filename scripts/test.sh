#!/usr/bin/env bash
# Runs every test under the race detector, except those that KNOWN-RED.txt lists as
#   go test -race ./PACKAGE -ginkgo.focus "NAME" | ...
#   go test -race ./PACKAGE -run NAME | ...
# These known failures are printed and skipped. An entry with "CI runs this test" is not skipped.
#
# Tests of crowds of clients, TestCrowd*, measure the memory of processes. They run last, one at a time and
# apart from other packages.
set -euo pipefail
cd "$(dirname "$0")/.."

# One line per listed test: its package, a tab, its name.
listed=$(sed -n 's/^go test -race \.\/\([^ ]*\) -ginkgo\.focus "\([^"]*\)".*/\1\t\2/p' KNOWN-RED.txt)

# The same for tests of the standard library's framework.
listed_run=$(sed -n '/CI runs this test/!s/^go test -race \.\/\([^ ]*\) -run \([^ ]*\) .*/\1\t\2/p' KNOWN-RED.txt)

crowds='^TestCrowd'
crowd_packages=(platform internal/localfleet internal/soak)

packages_without_listed() {
	go list ./... | while read -r package; do
		printf '%s\n%s\n' "$listed" "$listed_run" | cut -f1 | grep -qx "${package#*/*/*/}" || echo "$package"
	done
}

mapfile -t packages < <(packages_without_listed)
go test -race -count=1 -p 6 -skip "$crowds" "${packages[@]}"
cut -f1 <<<"$listed" | sort -u | while read -r package; do
	[ -n "$package" ] || continue
	names=$(awk -F '\t' -v package="$package" '$1 == package {print $2}' <<<"$listed" | paste -sd '|')
	echo "passed over in $package: $names"
	go test -race -count=1 "./$package" -ginkgo.skip "$names"
done
while IFS=$'\t' read -r package name; do
	[ -n "$package" ] || continue
	echo "passed over in $package: $name"
	go test -race -count=1 "./$package" -skip "$name|$crowds"
done <<<"$listed_run"
for package in "${crowd_packages[@]}"; do
	# Without a listed test, the pattern matches no name.
	names=$(awk -F '\t' -v package="$package" '$1 == package {print $2}' <<<"$listed_run" | paste -sd '|')
	go test -race -count=1 -parallel 1 "./$package" -run "$crowds" -skip "${names:-^$}"
done
