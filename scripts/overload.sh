#!/usr/bin/env bash
# Plays days of a deployment with its traffic multiplied, and prints what each kind of request
# got, so that two versions can be compared under overload.
#
#   scripts/overload.sh BENCH SITE OUT FACTOR [WHY]
#
# The multiplied copy of the site file lies in OUT. DAYS are the plays, a line each, with the
# bench's own flags; without DAYS the two days of high load, whole and on the small twin.
# JOBS bounds the plays at a time, LINK_MBPS replaces the width of the entry hosts' links.
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
	# A day that broke a rule ends with an error; its report says so.
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
