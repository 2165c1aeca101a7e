#!/usr/bin/env bash
# Runs a fixed set of days (scenarios of the users' bench) on a deployment and prints the
# score of each, so that two versions can be compared day by day.
#
#   scripts/days.sh BENCH SITE OUT [WHY]
#
# BENCH is the users' bench, SITE a site file, OUT a directory for the reports, WHY the reason
# that the bench records. The set consists of the site's days with faults and of high load,
# eight mixes of its faults and the day files of this repository; mixes and day files have
# fixed seeds. DAYS, if set, replaces the set, one day per line, such as "scale-1" or
# "mix --seed 3". JOBS limits how many days run concurrently (default 6).
set -euo pipefail
bench=$1 site=$2 out=$3 why=${4:-}
here=$(dirname "$0")
mkdir -p "$out"
"$bench" build >"$out/build.txt" 2>&1

days() {
	if [ -n "${DAYS:-}" ]; then
		printf '%s\n' "$DAYS"
		return
	fi
	printf '%s\n' trouble-1 trouble-2 trouble-3 scale-1 scale-2
	for seed in 1 2 3 4 5 6 7 8; do
		echo "mix --seed $seed"
	done
	for file in "$here"/../deploy/days/*.toml; do
		echo "$file --vary --seed 1"
	done
}

play() {
	local name
	name=$(basename "${1%% *}" .toml)$(sed -n 's/.*--seed \([0-9]*\).*/-\1/p' <<<"$1")
	# The bench fails for a day that doesn't fit the site and writes no report; the other days
	# still run.
	# shellcheck disable=SC2086
	"$bench" run "$site" $1 --no-cpu --why "$why" --report "$out/$name.json" >"$out/$name.txt" 2>&1 || true
}
export -f play
export bench site out why

rm -f "$out"/*.json
days | xargs -P "${JOBS:-6}" -d '\n' -I{} bash -c 'play "{}"'
python3 "$here/days.py" "$out"
