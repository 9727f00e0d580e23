#!/bin/sh
# SIGTERM under load, several entry hosts at once: no call that an entry host
# has taken is cut off, and each ends with 0 within its limit.
# Usage: drain_process_test.sh BUILD
build=${1:-build}
. test/process/lib.sh
. test/process/cluster.sh

# Calls are begun for 4 s, the signals come after 2 s and calls are taken for
# another 4 s, so that every call comes before an entry host stops taking them.
drain_grace_ms=4000
stop_limit_s=20

# begin_load NAME...: streams of about 1 s and short reads through each.
begin_load() {
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

# end_load NAME...: every call was answered whole.
end_load() {
	for name in "$@"; do
		wait "$(cat "$run/$name.load")" ||
			fail "$name: $(cat "$run/load-$name.out")"
		for outcome in refused unknown failed broken wrong lost \
			timeout unsent; do
			! grep "\.$outcome: [1-9]" "$run/load-$name.out" ||
				fail "$name: $(cat "$run/load-$name.err")"
		done
		grep '\.whole:' "$run/load-$name.out" | sed "s/^/$name /"
	done
}

# stop NAME...: SIGTERM to all at once.
stop() {
	for name in "$@"; do
		kill "$(pid_of "$name")" || fail "$name does not run"
	done
}

# end_stop NAME...: each ends with 0 in time, and says at once that it is not
# ready.
end_stop() {
	for name in "$@"; do
		wait_for "$stop_limit_s" has_ended "$name" ||
			fail "$name does not end in $stop_limit_s s"
		wait "$(pid_of "$name")"
		code=$?
		[ "$code" -eq 0 ] || fail "$name ended with $code"
		grep -q 'event=drained requests=0' "$run/$name.err" ||
			fail "$name ended before its calls did"
		echo "$name ended with 0"
	done
}

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
wait_daemons || fail "an entry host does not start"
apply_config ahd-1

begin_load ahd-1 ahd-2 gnr-1
sleep 2
stop ahd-1 gnr-1
sleep 0.5
for name in ahd-1 gnr-1; do
	! is_ready "$name" || fail "$name is ready after SIGTERM"
done
is_ready ahd-2 || fail "ahd-2 is not ready, and nobody stopped it"
stop ahd-1
end_load ahd-1 ahd-2 gnr-1
end_stop ahd-1 gnr-1

# A stop under a stream that is longer than the grace.
request_body long 600 >"$run/long.json"
call ahd-2 branches POST /paymodel/lookup "$run/long.json" >"$run/long.sse" &
long=$!
sleep 0.5
stop ahd-2
wait "$long" || fail "a long stream is cut off"
verify long || fail "a long stream is not whole"
end_stop ahd-2
