#!/usr/bin/env bash
# Runs days of a deployment with its traffic multiplied by FACTOR and prints the outcomes of
# each class of request, so that two versions can be compared under overload.
#
#   scripts/overload.sh BENCH SITE OUT FACTOR [WHY]
#
# BENCH, SITE, OUT and WHY are as in scripts/days.sh. The changed copy of the site file is
# written to OUT/site. DAYS lists the days to run, one per line, each with flags of the bench;
# by default scale-1, and the small variants of scale-1 and scale-2. JOBS limits how many days
# run concurrently (default 3). LINK_MBPS replaces the bandwidth of the entry hosts' links.
set -euo pipefail
bench=$1 site=$2 out=$3 factor=$4 why=${5:-}
here=$(dirname "$0")
mkdir -p "$out/site"
cp "$(dirname "$site")"/wire.json "$out/site/"
cp "${site%.toml}.days" "$out/site/" 2>/dev/null || true
multiplied=$out/site/$(basename "$site")
python3 "$here/overload.py" multiply "$site" "$factor" "${LINK_MBPS:-}" >"$multiplied"
"$bench" build >"$out/build.txt" 2>&1

play() {
	local name
	name=$(tr -s ' ' '-' <<<"${1//--/}")
	# The bench fails for a day that broke a rule and states so in the report; the other days
	# still run.
	# shellcheck disable=SC2086
	"$bench" run "$multiplied" $1 --no-cpu --why "$why" --report "$out/$name.json" >"$out/$name.txt" 2>&1 || true
}
export -f play
export bench multiplied out why

rm -f "$out"/*.json
printf '%s\n' "${DAYS:-scale-1
scale-1 --small
scale-2 --small}" | xargs -P "${JOBS:-3}" -d '\n' -I{} bash -c 'play "{}"'
python3 "$here/overload.py" show "$out"
