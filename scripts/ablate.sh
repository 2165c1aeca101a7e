#!/usr/bin/env bash
# Ablation study: disables one mechanism at a time in a copy of the last commit and runs the
# fixed set of days of scripts/days.sh with each build.
#
#   scripts/ablate.sh BENCH SITE OUT [NAME...]
#
# BENCH and SITE are as in scripts/days.sh. NAME selects mechanisms of the table below;
# without any, the baseline with all mechanisms runs first, then every mechanism. The reports
# go to OUT/NAME, those of the baseline to OUT/whole. Each printed line is the difference
# between a run and the baseline. The journal entries of the runs go to OUT/journal.
set -euo pipefail
bench=$1 site=$2 out=$3
shift 3
scripts=$(cd "$(dirname "$0")" && pwd)

# Prints the mechanisms: name | file | sed script that disables it
table() {
	cat <<'TABLE'
corrected-estimates|internal/dispatch/intake.go|s/j = c.calibrated(submitted)/_ = c.calibrated/
wait-factor|internal/scheduler/earliest/earliest.go|s/waitFactor   = 1.4/waitFactor = 1.0/;s/waitMarginMs = 8/waitMarginMs = 0/
wait-aversion|internal/scheduler/earliest/earliest.go|s/waitPenalty  = 1.5/waitPenalty = 0/
crowding|internal/scheduler/earliest/earliest.go|s/occupancyBaseMs   = 60/occupancyBaseMs = 0/;s/occupancyRunShare = 0.15/occupancyRunShare = 0/
jitter|internal/scheduler/earliest/earliest.go|s/jitterShare = 0.06/jitterShare = 0/
failure-rate|internal/scheduler/earliest/earliest.go|s/failurePenaltyMs = 2000/failurePenaltyMs = 0/
recent-speed|internal/runs/rating.go|s/changedFactor = 1.6/changedFactor = 1e9/
steady-speed|internal/runs/rating.go|s/changedFactor = 1.6/changedFactor = 0/
overdue-speed|internal/runs/load.go|s/const overdueFactor = 1.8/const overdueFactor = 1e9/
return-when-idle|internal/runs/rating.go|s/idleRecoveryRate = 0.6/idleRecoveryRate = 0/
avoidance|internal/runs/rating.go|s/return now.Before(r.avoidUntil)/return false \&\& now.Before(r.avoidUntil)/
least-slack-first|internal/runs/orders.go|s/return a.startBy.Compare(b.startBy)/return a.receivedAt.Compare(b.receivedAt)/
giving-back-late|internal/dispatch/place.go|s/min(slackMs+slackToleranceMs, callerMs)/callerMs/
admission|internal/dispatch/intake.go|s/admitFactor = 1.1/admitFactor = 100/
moving-overdue|internal/dispatch/overdue.go|s/overdueFactor = 4$/overdueFactor = 1000/;s/rejectingFactor = 2$/rejectingFactor = 1000/
repeated-starts|internal/runs/target.go|s/return r.startRetries < minStartRetries.*/return false/
records-of-targets|internal/runner/runner.go|s/	go r.restoreTarget(r.ctx)//
data-centre|internal/dispatch/place.go|s/localHopMs, remoteHopMs = 3, 6/localHopMs, remoteHopMs = 3, 3/
frames-at-once|internal/runs/load.go|s/loadInterval = 15/loadInterval = 60/
TABLE
}

names() {
	if [ $# -gt 0 ]; then
		printf '%s\n' "$@"
	else
		echo whole
		table | cut -d'|' -f1
	fi
}

# All runs share one copy, so that only the packages that an edit touches are rebuilt.
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git clone -q "$scripts/.." "$copy/tree"

switch_off() {
	local file edit
	IFS='|' read -r _ file edit < <(table | grep "^$1|")
	sed -i "$edit" "$copy/tree/$file"
	! git -C "$copy/tree" diff --quiet
}

play() {
	local name=$1
	git -C "$copy/tree" checkout -q --force HEAD
	if [ "$name" != whole ] && ! switch_off "$name"; then
		echo "$name: the edit changes nothing" >&2
		return 1
	fi
	(cd "$copy/tree" && "$scripts/days.sh" "$bench" "$site" "$out/$name" "ablation: without $name" >/dev/null)
	echo "$name: $(python3 "$scripts/days.py" "$out/$name" "$out/whole" | tail -1)"
}

mkdir -p "$out"
for name in $(names "$@"); do
	play "$name"
done
cp -r "$copy/tree/journal" "$out/journal"
