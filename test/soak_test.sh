#!/bin/sh
# Plays four seeds of the soak side by side, one of disruptions of hosts and
# links, one of the store, and two of both. Guards against hosts that answer by
# an older configuration than they have to. Usage: soak_test.sh BUILD
pids=
for seed in 6 103 107 110; do
	"$1/sassafras-soak" --seed "$seed" --seconds 40 &
	pids="$pids $!"
done
failed=0
for pid in $pids; do
	wait "$pid" || failed=1
done
exit "$failed"
