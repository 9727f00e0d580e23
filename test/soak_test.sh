#!/bin/sh
# Plays four plans of the soak side by side: silent connections and a silent
# store, each of which broke CONFIG before (2026-12-06-late-after-outage.md),
# then disruptions of hosts and links, and of both and the store. Usage:
# soak_test.sh BUILD
pids=
play() {
	"$soak" "$@" &
	pids="$pids $!"
}
soak=$1/sassafras-soak
play --seed 8 --seconds 30 --only silence
play --seed 5 --seconds 30 --only store-silent
play --seed 6 --seconds 30
play --seed 107 --seconds 30
failed=0
for pid in $pids; do
	wait "$pid" || failed=1
done
exit "$failed"
