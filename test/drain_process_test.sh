#!/bin/sh
# Stops two of three entry hosts with SIGTERM at the same time and under load,
# then the third during a stream. Guards against a shutdown that aborts an
# accepted request, takes longer than its limit, exits with an error, or leaves
# the entry host reporting ready.
# Usage: drain_process_test.sh BUILD
build=${1:-build}
. test/process/lib.sh
. test/process/cluster.sh

# The load tool starts requests for 4 s. SIGTERM follows after 2 s, and an entry
# host accepts requests for 4 s after it, so that all of them must succeed.
drain_grace_ms=4000
stop_limit_s=20

# start_load NAME...: streams of about 1 s and short reads through each.
start_load() {
	for name in "$@"; do
		cat >"$run/$name.plan" <<-END
		{"targets": ["$(caller_address "$name")"], "seconds": 4,
		 "callers": [
		  {"name": "streams", "kind": "stream", "max_tokens": 100,
		   "path": "/paymodel/lookup", "token": "branches-token",
		   "rate_per_s": 6},
		  {"name": "reads", "kind": "read", "concurrency": 4,
		   "path": "/payledger/x", "token": "branches-token",
		   "think_ms": 20}]}
		END
		start "load-$name" "$emulator" load --plan "$run/$name.plan"
		echo "$pid" >"$run/$name.load"
	done
}

# check_load NAME...: every request got its complete response.
check_load() {
	for name in "$@"; do
		wait "$(cat "$run/$name.load")" ||
			fail "load through $name: $(cat "$run/load-$name.out")"
		for outcome in refused unknown failed broken wrong lost \
			timeout unsent; do
			! grep "\.$outcome: [1-9]" "$run/load-$name.out" ||
				fail "load through $name:" \
					"$(cat "$run/load-$name.err")"
		done
		grep '\.whole:' "$run/load-$name.out" | sed "s/^/$name /"
	done
}

# stop NAME...: send SIGTERM to all of them.
stop() {
	for name in "$@"; do
		kill "$(pid_of "$name")" || fail "$name is not running"
	done
}

# check_stop NAME...: each exits with status 0 in time, after its last request.
check_stop() {
	for name in "$@"; do
		wait_for "$stop_limit_s" has_ended "$name" ||
			fail "$name is still running after $stop_limit_s s"
		wait "$(pid_of "$name")"
		code=$?
		[ "$code" -eq 0 ] || fail "$name exited with status $code"
		grep -q 'event=drained requests=0' "$run/$name.err" ||
			fail "$name exited before its last request ended"
		echo "$name ended with 0"
	done
}

# has_ended NAME
has_ended() {
	! is_running "$(pid_of "$1")"
}

start_platform
for domain in ahd gnr; do
	start_upstream "paymodel-$domain" paymodel "$domain" engine \
		--token-ms 10 --slots 32
	start_upstream "payledger-$domain" payledger "$domain" service
done
upstream_slots=32
for name in ahd-1 ahd-2 gnr-1; do
	start_daemon "$name" "${name%-?}"
done
wait_daemons || fail "an entry host is not healthy after 10 s"
apply_config ahd-1

start_load ahd-1 ahd-2 gnr-1
sleep 2
stop ahd-1 gnr-1
sleep 0.5
for name in ahd-1 gnr-1; do
	! is_ready "$name" || fail "$name still reports ready after SIGTERM"
done
is_ready ahd-2 || fail "ahd-2 is not ready although it got no SIGTERM"
# A second SIGTERM must change nothing.
stop ahd-1
check_load ahd-1 ahd-2 gnr-1
check_stop ahd-1 gnr-1

# A stream that lasts longer than the grace period must still end normally.
request_body long 600 >"$run/long.json"
call ahd-2 branches POST /paymodel/lookup "$run/long.json" >"$run/long.sse" &
stream=$!
sleep 0.5
stop ahd-2
wait "$stream" || fail "the stream longer than the grace period was aborted"
verify long || fail "the stream longer than the grace period is incomplete"
check_stop ahd-2
