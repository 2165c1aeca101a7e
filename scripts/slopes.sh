#!/usr/bin/env bash
# Measures the cost slopes that docs/CAPACITY.md uses and prints each after the command
# that measured it. Requires the built programs in bin/. Takes about five minutes.
set -euo pipefail
cd "$(dirname "$0")/.."

key=$(head -c 24 /dev/urandom | base64)
work=$(mktemp -d)
pids=()
finish() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	rm -rf "$work"
}
trap finish EXIT

# start_entry NAME starts an entry on a free port and stores its address in addr.
start_entry() {
	CAMPHORRACK_KEY=$key bin/camphorrack-entry -listen 127.0.0.1:0 -max-jobs 10000000 -log-level 0 2>"$work/$1" &
	pids+=($!)
	for _ in $(seq 100); do
		addr=$(sed -n 's/.*"event":101,.*"addr":"\([^"]*\)".*/\1/p' "$work/$1" | head -1)
		[ -n "$addr" ] && return
		sleep 0.1
	done
	echo "entry $1 did not start" >&2
	exit 1
}

bench() {
	echo "\$ go test ./$1 -run '^\$' -bench '$2' ${*:3}"
	go test "./$1" -run '^$' -bench "$2" "${@:3}" | grep '^Benchmark'
	echo
}

bench internal/owner 'TaskStart|IDHeld' -benchtime 200000x
bench internal/attempt 'Attempt|Remembered'
bench internal/scheduler/placement Choose
bench internal/scheduler/grants ContestedSlot
bench internal/config 'Apply|IdleSendDue|Snapshots|FanOut|Load'
bench internal/entry Lookup -benchtime 2s

export CAMPHORRACK_BENCH_BIN=$PWD/bin
bench internal/localfleet IdlePath -benchtime 300x
bench internal/localfleet Membership -benchtime 3x

start_entry first; first=$addr
start_entry second; second=$addr
export CAMPHORRACK_BENCH_ENTRIES="$first,$second"
echo "with CAMPHORRACK_BENCH_ENTRIES set to two entries in separate processes:"
bench internal/entry Request -benchtime 3s
bench internal/entry IdleAgents -benchtime 10x
echo "resident memory of the entries after these benchmarks, in KiB:"
for pid in "${pids[@]}"; do sed -n 's/^VmRSS:[[:space:]]*\([0-9]*\) kB/\1/p' "/proc/$pid/status"; done
