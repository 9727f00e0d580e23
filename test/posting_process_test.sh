#!/bin/sh
# Postings at most once, and no refusal that says "not run" of one that ran,
# while entry hosts are killed and frozen past their lease, replies of the
# platform and of upstreams are lost, and a key races through several entry
# hosts. The upstreams' own count of runs is the oracle.
# Usage: posting_process_test.sh BUILD
build=${1:-build}
. test/process/lib.sh
. test/process/cluster.sh

# The journal's lease, after which a frozen holder has lost its shards.
lease_s=5

# begin_postings NAME SECONDS: a third of them twice at once.
begin_postings() {
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

# end_postings NAME LEAST: the load tool saw no wrong answer, each key ran as
# often as it was told, and at least so many were answered.
end_postings() {
	wait "$load" || fail "$1: $(cat "$run/load-$1.out" "$run/load-$1.err")"
	: >"$run/runs"
	for upstream in payledger-ahd payledger-gnr; do
		curl -sf -m 5 "http://$(cat "$run/$upstream.address")/admin/runs" |
			tr -d '{}"' | tr ',' '\n' >>"$run/runs" ||
			fail "$1: $upstream does not tell its runs"
		echo >>"$run/runs"
	done
	awk -v least="$2" -v phase="$1" "$oracle" "$run/runs" "$run/$1.keys" ||
		fail "$1: $(cat "$run/load-$1.err")"
}

# Of "KEY:RUNS" lines, then "KEY OUTCOME" lines. A key that was sent twice may
# be refused once and run by the other copy.
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
			bad = 1
		}
	for (key in calls) {
		if (refused[key] == calls[key] && runs[key] > 0) {
			print "FAIL " key " ran, and was refused as not run"
			bad = 1
		}
		if (whole[key] > 0 && runs[key] != 1) {
			print "FAIL " key " was answered, and did not run"
			bad = 1
		}
	}
	line = "ok " phase ":"
	for (name in outcome)
		line = line " " outcome[name] " " name
	print line
	if (outcome["whole"] < least) {
		print "FAIL fewer than " least " were answered"
		bad = 1
	}
	exit bad
}'

race() {
	begin_postings race 4
	end_postings race 60
}

killed() {
	begin_postings killed 9
	sleep 1.5
	kill -9 "$(pid_of ahd-1)"
	sleep 1
	restart_daemon ahd-1
	end_postings killed 60
}

frozen() {
	begin_postings frozen $((lease_s + 6))
	sleep 1.5
	kill -STOP "$(pid_of ahd-2)"
	sleep $((lease_s + 2))
	kill -CONT "$(pid_of ahd-2)"
	end_postings frozen 60
}

platform_faults() {
	begin_postings platform 8
	sleep 1
	fault "$platform" '{"mode": "lost-reply", "ratio": 0.2}'
	sleep 2
	fault "$platform" '{"mode": "down"}'
	sleep 1
	fault "$platform" '{"mode": "ok"}'
	fault "$platform" '{"mode": "slow", "ms": 400, "ratio": 0.3}'
	sleep 2
	fault "$platform" '{"mode": "ok"}'
	end_postings platform 40
}

# The service keeps outcomes by key: none stays unknown once it answers again.
no_unknown() {
	for member in $daemons; do
		ctl "$member" journal >"$run/journal" || return 1
		grep -q '^0 outcomes unknown' "$run/journal" || return 1
	done
}

upstream_faults() {
	begin_postings upstream 5
	for upstream in payledger-ahd payledger-gnr; do
		fault "$(cat "$run/$upstream.address")" \
			'{"mode": "lost-reply", "ratio": 0.2, "path": "/payledger"}'
	done
	end_postings upstream 40
	for upstream in payledger-ahd payledger-gnr; do
		fault "$(cat "$run/$upstream.address")" '{"mode": "ok"}'
	done
	grep -q ' unknown$' "$run/upstream.keys" ||
		fail "no outcome was unknown, so that nothing is shown"
	wait_for 10 no_unknown || fail "left: $(cat "$run/journal")"
	echo "ok every outcome became known"
}

start_platform --latency-ms 2
for domain in ahd gnr; do
	start_upstream "payledger-$domain" payledger "$domain" service \
		--outcomes --delay-ms 20
done
upstream_slots=64
for node in ahd-1 ahd-2 gnr-1; do
	start_daemon "$node" "${node%-?}"
done
wait_daemons || fail "an entry host does not start"
apply_config ahd-1
sleep 1
for phase in race killed frozen platform_faults upstream_faults; do
	"$phase"
done
