#!/bin/sh
# Hostile callers against one entry host: oversized requests, unknown tokens,
# random bytes, deeply nested JSON, slow senders and readers, and callers that
# disconnect. Guards against a crash, memory beyond the limits in the settings,
# and failures of a well-behaved caller meanwhile.
# Usage: hostile_process_test.sh BUILD
build=${1:-build}
. test/process/lib.sh
. test/process/cluster.sh

# Limit of the resident set, kB: the 16 MB of buffers that the settings below
# allow, and 48 MB for the rest. The responses to the slow readers are 160 MB.
rss_max=$(((16 + 48) * 1024))
upstream_slots=64

daemon_limits='"limits": {"request_bytes": 65536, "buffered_bytes": 16777216,
	"header_timeout_ms": 3000, "body_timeout_ms": 3000},'

# expect STATUSES LABEL CURL_OPTIONS...: the status of the response is one of
# those listed (000: no response), and the entry host is still running.
expect() {
	wanted=$1
	label=$2
	shift 2
	got=$(curl -s -m 15 -o "$run/body" -w '%{http_code}' "$@")
	case " $wanted " in
	*" $got "*) ;;
	*) fail "$label: status $got, not $wanted:" \
		"$(head -c 300 "$run/body")" ;;
	esac
	is_running "$daemon" || fail "$label: the daemon exited"
	echo "ok $label: $got"
}

# expect_problem KIND: the last response is a problem of that kind, names a
# remedy and says that the request was not run.
expect_problem() {
	grep -q "\"kind\":\"$1\"" "$run/body" &&
		grep -q '"executed":"not-run"' "$run/body" &&
		grep -q '"remedy"' "$run/body" ||
		fail "no problem of kind $1: $(head -c 300 "$run/body")"
}

start_good_caller() {
	cat >"$run/plan.json" <<-END
	{"targets": ["$caller"], "seconds": 12, "timeout_ms": 20000,
	 "callers": [
	  {"name": "good", "kind": "stream", "path": "/paymodel/lookup",
	   "token": "branches-token", "rate_per_s": 5, "max_tokens": 10}]}
	END
	start good "$emulator" load --plan "$run/plan.json"
	good=$pid
}

check_good_caller() {
	wait "$good" || fail "well-behaved caller: $(cat "$run/good.out")"
	for outcome in refused unknown failed broken wrong lost \
		timeout unsent; do
		grep -q "^load.good.$outcome: 0$" "$run/good.out" ||
			fail "well-behaved caller: $(cat "$run/good.out")"
	done
	echo "ok the other caller: $(grep 'whole:' "$run/good.out")"
}

# 20 slow readers of 8 MB responses, 20 slow senders, and 20 callers that
# disconnect while they send.
start_slow_callers() {
	senders=
	for i in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20; do
		start "reader-$i" curl -s -m 9 --limit-rate 1k \
			-H "$token" "http://$caller/payledger/large"
		start "sender-$i" curl -s -m 9 --limit-rate 1k \
			-H "$token" --data-binary "@$run/60k" \
			"http://$caller/paymodel/lookup"
		senders="$senders $pid"
		start "aborter-$i" curl -s -m 1 --limit-rate 20k \
			-H "$token" --data-binary "@$run/60k" \
			"http://$caller/paymodel/lookup"
	done
}

test_sizes() {
	head -c 200000 /dev/zero | tr '\0' h >"$run/value"
	printf 'X-Large: %s\n' "$(cat "$run/value")" >"$run/header"
	expect '400 413 431 000' "an oversized header" -H "$token" \
		-H "@$run/header" "http://$caller/payledger/x"
	head -c 70000 /dev/zero | tr '\0' b >"$run/70k"
	expect 413 "an oversized body" -H "$token" -H 'Expect:' \
		--data-binary "@$run/70k" "http://$caller/paymodel/lookup"
	expect_problem too-large
	expect 413 "an oversized chunked body" -H "$token" -H 'Expect:' \
		-H 'Transfer-Encoding: chunked' --data-binary "@$run/70k" \
		"http://$caller/paymodel/lookup"
}

test_tokens() {
	expect 401 "a wrong token" -H 'Authorization: Bearer nobody' \
		-d "@$run/lookup.json" "http://$caller/paymodel/lookup"
	expect_problem unauthenticated
	expect 401 "no token" -d "@$run/lookup.json" \
		"http://$caller/paymodel/lookup"
	expect 401 "a caller's token at the admin address" -H "$token" \
		"http://$admin/admin/status"
}

test_garbage() {
	for i in 1 2 3 4 5 6 7 8; do
		head -c 20000 /dev/urandom >"$run/garbage"
		curl -s -m 2 -o "$run/body" "telnet://$caller" <"$run/garbage"
		is_running "$daemon" || fail "the daemon exited on random bytes"
	done
	{
		printf 'GET /paymodel/x HTTP/1.1\r\nHost: x\r\n\r\n'
		printf 'POST /paymodel/lookup HTTP/1.1\r\nContent-Length: -1'
		printf '\r\n\r\nGET / HTTP/9.9\r\n\r\nnonsense\r\n\r\n'
	} >"$run/garbage"
	curl -s -m 2 -o "$run/body" "telnet://$caller" <"$run/garbage"
	is_running "$daemon" ||
		fail "the daemon exited on invalid pipelined requests"
	echo "ok garbage"
}

test_nesting() {
	head -c 200000 /dev/zero | tr '\0' '[' >"$run/nested"
	expect 400 "200,000 brackets at the admin address" -X PUT \
		-H "Authorization: Bearer $operator_token" \
		--data-binary "@$run/nested" "http://$admin/admin/config"
	head -c 60000 "$run/nested" >"$run/nested-60k"
	expect '400 502' "60,000 brackets in a prompt's place" -H "$token" \
		--data-binary "@$run/nested-60k" \
		"http://$caller/paymodel/lookup"
}

# The entry host must disconnect slow senders after body_timeout_ms; curl exits
# with 28 if its own timeout of 9 s came first.
test_senders() {
	for sender in $senders; do
		wait "$sender"
		[ $? -ne 28 ] ||
			fail "a slow sender is still connected after 9 s"
	done
	echo "ok slow senders"
}

# Each slow reader got the beginning of its response.
test_readers() {
	for i in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20; do
		grep -q '"padding":"\.' "$run/reader-$i.out" ||
			fail "reader $i got no response:" \
				"$(head -c 300 "$run/reader-$i.out")"
	done
	echo "ok slow readers"
}

test_memory() {
	peak=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' \
		"/proc/$daemon/status")
	[ "$peak" -le "$rss_max" ] ||
		fail "peak memory $peak kB exceeds $rss_max kB"
	echo "ok memory: peak $peak kB, limit $rss_max kB"
}

start_platform
start_upstream paymodel-ahd paymodel ahd engine --token-ms 5 --slots 32
start_upstream payledger-ahd payledger ahd service --answer-bytes 8388608
# AddressSanitizer's quarantine of freed memory, 256 MB by default, would exceed
# rss_max.
export ASAN_OPTIONS="${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=1"
start_daemon ahd-1 ahd
daemon=$pid
caller=$(caller_address ahd-1)
admin=$(admin_address ahd-1)
token='Authorization: Bearer branches-token'
wait_daemons || fail "the daemon is not healthy after 10 s"
apply_config ahd-1
request_body lookup 5 >"$run/lookup.json"
head -c 60000 /dev/zero | tr '\0' b >"$run/60k"

start_good_caller
start_slow_callers
test_sizes
test_tokens
test_garbage
test_nesting
check_good_caller
test_senders
test_readers
test_memory
is_ready ahd-1 || fail "the daemon is not ready after the test"
