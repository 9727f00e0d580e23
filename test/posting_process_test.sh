#!/bin/sh
# Guards against a posting that runs twice, and against a "not run" refusal of
# one that ran. Either can happen if an entry host is killed, or is frozen for
# longer than its lease and continues as if it still held its shards; if a reply
# of the platform or of an upstream is lost; or if copies with one key are sent
# through several entry hosts at once. Also guards against an accepted posting
# that is lost. The oracle is the upstreams' count of runs by key.
# Usage: posting_process_test.sh BUILD
build=${1:-build}
. test/process/lib.sh
. test/process/cluster.sh

# The journal's lease in seconds; a holder that is frozen for longer loses its
# shards.
lease_s=5

# start_postings NAME SECONDS: 25 postings per second, and a second copy of 30 %
# of them at the same time; sets $load.
start_postings() {
	targets=
	for node in $daemons; do
		targets="${targets:+$targets, }\"$(caller_address "$node")\""
	done
	cat >"$run/$1.plan" <<-END
	{"targets": [$targets], "seconds": $2, "timeout_ms": 12000,
	 "callers": [
	  {"name": "$1", "kind": "posting", "path": "/payledger/revisions",
	   "token": "payroll-token", "rate_per_s": 25, "double_ratio": 0.3}]}
	END
	start "load-$1" "$emulator" load --plan "$run/$1.plan" \
		--keys "$run/$1.keys"
	load=$pid
}

# check_postings NAME MINIMUM: the load tool saw no wrong response, the runs of
# each key agree with its responses, and at least so many postings succeeded.
check_postings() {
	wait "$load" || fail "$1: $(cat "$run/load-$1.out" "$run/load-$1.err")"
	: >"$run/runs"
	for upstream in payledger-ahd payledger-gnr; do
		curl -sf -m 5 "http://$(cat "$run/$upstream.address")/admin/runs" |
			tr -d '{}"' | tr ',' '\n' >>"$run/runs" ||
			fail "$1: no count of runs from $upstream"
		echo >>"$run/runs"
	done
	awk -v minimum="$2" -v phase="$1" "$oracle" "$run/runs" "$run/$1.keys" ||
		fail "$1: $(cat "$run/load-$1.err")"
}

# Reads lines "KEY:RUNS" from the first file and "KEY OUTCOME" from the second.
# Of two copies with one key, one may be refused while the other runs.
oracle='
FNR == NR {
	if (split($0, part, ":") == 2)
		runs[part[1]] += part[2]
	next
}
{ calls[$1]++; outcome[$2]++ }
$2 == "refused" { refused[$1]++ }
$2 == "whole" { whole[$1]++ }
END {
	for (key in runs)
		if (runs[key] > 1) {
			print "FAIL " key " ran " runs[key] " times"
			failed = 1
		}
	for (key in calls) {
		if (refused[key] == calls[key] && runs[key] > 0) {
			print "FAIL " key " ran, but was refused as not run"
			failed = 1
		}
		if (whole[key] > 0 && runs[key] != 1) {
			print "FAIL " key " succeeded, but ran " \
				runs[key] + 0 " times"
			failed = 1
		}
	}
	summary = "ok " phase ":"
	for (name in outcome)
		summary = summary " " outcome[name] " " name
	print summary
	if (outcome["whole"] < minimum) {
		print "FAIL fewer than " minimum " postings succeeded"
		failed = 1
	}
	exit failed
}'

race() {
	start_postings race 4
	check_postings race 60
}

killed() {
	start_postings killed 9
	sleep 1.5
	kill -9 "$(pid_of ahd-1)"
	sleep 1
	restart_daemon ahd-1
	check_postings killed 60
}

# main_holder: print the entry host of ahd that more often became the holder of
# a shard.
main_holder() {
	first=$(grep -c 'event=shard-held' "$run/ahd-1.err")
	second=$(grep -c 'event=shard-held' "$run/ahd-2.err")
	if [ "$first" -ge "$second" ]; then
		echo ahd-1
	else
		echo ahd-2
	fi
}

frozen() {
	holder=$(main_holder)
	start_postings frozen $((lease_s + 9))
	sleep 1.5
	kill -STOP "$(pid_of "$holder")"
	sleep $((lease_s + 6))
	kill -CONT "$(pid_of "$holder")"
	check_postings frozen 60
}

platform_faults() {
	start_postings platform 8
	sleep 1
	set_fault "$platform" '{"mode": "lost-reply", "ratio": 0.2}'
	sleep 2
	set_fault "$platform" '{"mode": "down"}'
	sleep 1
	set_fault "$platform" '{"mode": "ok"}'
	set_fault "$platform" '{"mode": "slow", "ms": 400, "ratio": 0.3}'
	sleep 2
	set_fault "$platform" '{"mode": "ok"}'
	check_postings platform 40
}

# No entry host lists an unknown outcome. The service keeps outcomes by key, so
# every one must become known once its upstreams respond again.
has_no_unknown() {
	for member in $daemons; do
		ctl "$member" journal >"$run/journal" || return 1
		grep -q '^0 outcomes unknown' "$run/journal" || return 1
	done
}

upstream_faults() {
	start_postings upstream 5
	for upstream in payledger-ahd payledger-gnr; do
		set_fault "$(cat "$run/$upstream.address")" \
			'{"mode": "lost-reply", "ratio": 0.2, "path": "/payledger"}'
	done
	check_postings upstream 40
	for upstream in payledger-ahd payledger-gnr; do
		set_fault "$(cat "$run/$upstream.address")" '{"mode": "ok"}'
	done
	grep -q ' unknown$' "$run/upstream.keys" ||
		fail "no outcome was unknown, the faults had no effect"
	wait_for 10 has_no_unknown ||
		fail "outcomes still unknown: $(cat "$run/journal")"
	echo "ok every outcome became known"
}

# ran_once KEY
ran_once() {
	[ "$(count_runs payledger "$1")" = 1 ]
}

# A posting that was accepted with 202 runs once, even if every upstream is down
# at first and all entry hosts of the account's home are restarted meanwhile.
accepted() {
	for upstream in payledger-ahd payledger-gnr; do
		set_fault "$(cat "$run/$upstream.address")" '{"mode": "down"}'
	done
	echo '{"grade": 7}' >"$run/revision.json"
	for i in 1 2 3 4 5 6 7 8; do
		call gnr-1 payroll POST /payledger/revisions \
			"$run/revision.json" -H "Idempotency-Key: kept-$i" \
			-H 'Prefer: respond-async' -o "$run/kept" \
			--retry 8 --retry-max-time 20 \
			-w '%{http_code}\n' >"$run/status" ||
			fail "kept-$i was not accepted"
		grep -q '^202$' "$run/status" ||
			fail "kept-$i: status $(cat "$run/status"), not 202"
	done
	for node in ahd-1 ahd-2; do
		kill "$(pid_of "$node")"
	done
	for node in ahd-1 ahd-2; do
		wait "$(pid_of "$node")"
		code=$?
		[ "$code" -eq 0 ] || fail "$node exited with status $code"
		restart_daemon "$node"
	done
	for upstream in payledger-ahd payledger-gnr; do
		set_fault "$(cat "$run/$upstream.address")" '{"mode": "ok"}'
	done
	for i in 1 2 3 4 5 6 7 8; do
		wait_for 20 ran_once "kept-$i" ||
			fail "kept-$i ran $(count_runs payledger "kept-$i") times"
	done
	sleep 2
	for i in 1 2 3 4 5 6 7 8; do
		ran_once "kept-$i" ||
			fail "kept-$i ran $(count_runs payledger "kept-$i") times"
	done
	echo "ok accepted: 8 of 8 ran once"
}

start_platform --latency-ms 2
for domain in ahd gnr; do
	start_upstream "payledger-$domain" payledger "$domain" service \
		--outcomes --delay-ms 300
done
upstream_slots=64
for node in ahd-1 ahd-2 gnr-1; do
	start_daemon "$node" "${node%-?}"
done
wait_daemons || fail "an entry host is not healthy after 10 s"
apply_config ahd-1
sleep 1
for phase in race killed frozen platform_faults upstream_faults accepted; do
	"$phase"
done
