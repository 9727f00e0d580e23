#!/bin/sh
# Checks the emulator over HTTP: the platform's interface as specified in
# docs/INTERFACES.md, the faults that need a connection, and an engine's orders
# and resumption of streams. Guards against an emulator that deviates from the
# specification and so hides faults of the entry hosts from the other tests.
# Usage: emulator_process_test.sh BUILD
build=${1:-build}
. test/process/lib.sh

# status CURL_OPTIONS... URL: print the status of the response; 000 if there is
# none. Its head and body go to $run/head and $run/body.
status() {
	curl -s -m 5 -o "$run/body" -D "$run/head" -w '%{http_code}' "$@"
}

# expect STATUS CURL_OPTIONS... URL
expect() {
	wanted=$1
	shift
	got=$(status "$@")
	[ "$got" = "$wanted" ] || fail "status $got instead of $wanted: $*"
}

test_objects() {
	expect 201 -X PUT -H 'If-None-Match: *' -d one "$api/objects/a/b"
	grep -qi '^etag: "1"' "$run/head" ||
		fail "a new object lacks ETag 1: $(cat "$run/head")"
	expect 412 -X PUT -H 'If-None-Match: *' -d two "$api/objects/a/b"
	expect 428 -X PUT -d two "$api/objects/a/b"
	expect 200 -X PUT -H 'If-Match: "1"' -d two "$api/objects/a/b"
	expect 412 -X PUT -H 'If-Match: "1"' -d three "$api/objects/a/b"
	expect 200 "$api/objects/a/b"
	[ "$(cat "$run/body")" = two ] ||
		fail "a rejected update was written: $(cat "$run/body")"
	expect 412 -X DELETE -H 'If-Match: "1"' "$api/objects/a/b"
	expect 404 "$api/objects/a"
	head -c 1048577 /dev/zero >"$run/large"
	expect 413 -X PUT -H 'If-None-Match: *' --data-binary "@$run/large" \
		"$api/objects/large"
}

test_list() {
	for key in l/1 l/2 l/3 m/1; do
		expect 201 -X PUT -H 'If-None-Match: *' -d x "$api/objects/$key"
	done
	expect 200 "$api/objects?prefix=l/&limit=2"
	grep -q '"l/1".*"l/2".*"more":true' "$run/body" ||
		fail "wrong first page of the list: $(cat "$run/body")"
	expect 200 "$api/objects?prefix=l/&after=l/2&limit=2"
	grep -q '"l/3".*"more":false' "$run/body" ||
		fail "wrong second page of the list: $(cat "$run/body")"
	! grep -q m/1 "$run/body" || fail "key m/1 is listed for prefix l/"
}

test_watch() {
	expect 304 "$api/objects/w?watch=0&timeout_s=1"
	curl -s -m 5 -w '%{http_code}' "$api/objects/w?watch=0&timeout_s=5" \
		>"$run/watch" &
	watch=$!
	sleep 0.3
	expect 201 -X PUT -H 'If-None-Match: *' -d new "$api/objects/w"
	wait "$watch"
	[ "$(cat "$run/watch")" = new200 ] ||
		fail "the watch returned $(cat "$run/watch"), not new200"
	expect 200 "$api/objects/w?watch=1&timeout_s=5"
	expect 204 -X DELETE "$api/objects/w"
	expect 404 "$api/objects/w?watch=1&timeout_s=5"
}

test_limits() {
	throttled=0
	for i in 1 2 3 4 5 6 7 8; do
		code=$(status "$slow_api/objects/none")
		[ "$code" = 429 ] || continue
		throttled=$((throttled + 1))
		grep -qi '^retry-after: 1' "$run/head" ||
			fail "status 429 without Retry-After: 1"
	done
	[ "$throttled" -eq 7 ] ||
		fail "$throttled of 8 reads were throttled, not 7"
}

test_hosts() {
	expect 201 -d '{"name": "h1", "failure_domain": "ahd"}' \
		"$api/admin/hosts"
	expect 200 "$api/hosts"
	! grep -q h1 "$run/body" ||
		fail "host h1 is listed without the lag of 2 s"
	expect 201 -d '{"token": "t", "failure_domain": "ahd", "class": "c"}' \
		"$api/cloud/hosts"
	cp "$run/body" "$run/first"
	expect 201 -d '{"token": "t", "failure_domain": "ahd", "class": "c"}' \
		"$api/cloud/hosts"
	cmp -s "$run/first" "$run/body" || fail "token t created two hosts"
	expect 204 -d '{"failure_domain": "ahd", "class": "c", "hosts": 0}' \
		"$api/admin/capacity"
	expect 409 -d '{"token": "u", "failure_domain": "ahd", "class": "c"}' \
		"$api/cloud/hosts"
	expect 200 -d '{"failure_domain": "ahd", "in_s": 9}' \
		"$api/admin/reclaim"
	expect 200 "$api/notices?after=1&timeout_s=1"
	grep -q '"seq":2' "$run/body" ||
		fail "no second notice: $(cat "$run/body")"
	sleep 2.5
	expect 200 "$api/hosts"
	grep -q '"h1".*"leaving"' "$run/body" ||
		fail "host h1 is not listed as leaving: $(cat "$run/body")"
}

# A request whose reply is lost takes effect; one that meets a frozen or failing
# platform does not.
test_faults() {
	expect 204 -d '{"mode": "lost-reply", "after": 1}' "$api/admin/fault"
	expect 201 -X PUT -H 'If-None-Match: *' -d x "$api/objects/f1"
	expect 000 -X PUT -H 'If-None-Match: *' -d x "$api/objects/f2"
	expect 204 -d '{"mode": "ok"}' "$api/admin/fault"
	expect 200 "$api/objects/f2"
	expect 204 -d '{"mode": "frozen"}' "$api/admin/fault"
	expect 000 -m 1 -X PUT -H 'If-None-Match: *' -d x "$api/objects/f3"
	expect 204 -d '{"mode": "ok"}' "$api/admin/fault"
	expect 404 "$api/objects/f3"
	expect 204 -d '{"mode": "down"}' "$api/admin/fault"
	expect 503 -X PUT -H 'If-None-Match: *' -d x "$api/objects/f4"
	expect 204 -d '{"mode": "ok"}' "$api/admin/fault"
	expect 404 "$api/objects/f4"
	expect 400 -d '{"mode": "odd"}' "$api/admin/fault"
}

# A stream that is resumed on a second engine, with the KV cache transferred,
# completes the same response, and the second engine computes no token again.
test_resume() {
	printf '{"prompt": "p", "max_tokens": 200}' >"$run/request"
	curl -sN -m 5 -H 'X-Request-Id: r' -d "@$run/request" "$first/x" \
		>"$run/whole.sse" &
	stream=$!
	sleep 0.5
	expect 200 -d '{"request_id": "r"}' "$first/kv/export"
	handle=$(sed 's/.*"handle":"\([^"]*\)".*/\1/' "$run/body")
	wait "$stream"
	"$emulator" verify --body "$run/request" <"$run/whole.sse" ||
		fail "the first engine's response is incomplete"
	head -n 6 "$run/whole.sse" >"$run/joined.sse"
	curl -sN -m 5 -H 'X-Resume-Offset: 3' -H "X-Kv-Handle: $handle" \
		-d "@$run/request" "$second/x" >>"$run/joined.sse"
	"$emulator" verify --body "$run/request" <"$run/joined.sse" ||
		fail "the resumed response differs from the original"
	[ "$(number_of computed_tokens <"$run/joined.sse")" = 0 ] ||
		fail "the second engine did not import the KV cache"
}

# An engine rejects an order with a fencing token older than one it accepted;
# with --ignore-fencing it obeys.
test_orders() {
	expect 200 -d '{"fence": 5, "op": "load", "version": "v2"}' \
		"$first/orders"
	expect 409 -d '{"fence": 4, "op": "unload", "version": "v2"}' \
		"$first/orders"
	grep -q '"v2"' "$run/body" ||
		fail "the engine obeyed an order with the outdated fence 4"
	expect 200 -d '{"fence": 5, "op": "load", "version": "v2"}' \
		"$second/orders"
	expect 200 -d '{"fence": 4, "op": "unload", "version": "v2"}' \
		"$second/orders"
}

start_emulator platform platform --host-lag-ms 2000
api=http://$address
start_emulator slow-platform platform --reads-per-s 0.01
slow_api=http://$address
start_emulator first engine
first=http://$address
start_emulator second engine --ignore-fencing
second=http://$address
for test in test_objects test_list test_watch test_limits test_hosts \
	test_faults test_resume test_orders; do
	"$test"
	echo "ok $test"
done
