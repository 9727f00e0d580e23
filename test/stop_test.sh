#!/bin/sh
# Stops a daemon with SIGTERM while 20 streams run through it. Guards against a
# shutdown that aborts a stream, refuses requests during the grace period or
# accepts them after it, exits with an error, or changes on a second signal.
# Usage: stop_test.sh BUILD
build=$1
dir=$(mktemp -d)
n_streams=20
# Processes to terminate on exit.
pids=

fail() {
	echo "FAIL: $1"
	tail -n 20 "$dir"/*.log
	exit 1
}

cleanup() {
	for pid in $pids; do
		kill "$pid" 2>/dev/null
	done
	wait
	rm -rf "$dir"
}
trap cleanup EXIT

# wait_for FILE REGEX: wait up to 10 s until a line of the file matches, then
# print the group of the last match.
wait_for() {
	tries=0
	until match=$(sed -nE "s/.*$2.*/\\1/p" "$1" 2>/dev/null | tail -n 1) &&
		[ -n "$match" ]; do
		tries=$((tries + 1))
		[ $tries -lt 200 ] || fail "no line of $1 matched $2 in 10 s"
		sleep 0.05
	done
	echo "$match"
}

for name in e1 e2; do
	"$build/sassafras-emulator" engine --listen 127.0.0.1:0 \
		--token-ms 50 --slots 32 >"$dir/$name.log" 2>&1 &
	pids="$pids $!"
done
e1=$(wait_for "$dir/e1.log" 'listening on ([0-9.:]+)') || exit 1
e2=$(wait_for "$dir/e2.log" 'listening on ([0-9.:]+)') || exit 1
hash=$(printf t | sha256sum | cut -d ' ' -f 1)
cat >"$dir/config.json" <<END
{"accounts": [{"name": "a", "home": "z", "token_sha256": ["$hash"]}],
 "services": [{"name": "m", "kind": "model", "path": "/m",
  "routes": [{"name": "r", "path": "/m", "method": "POST",
   "idempotent": true}],
  "versions": [{"name": "v", "share": 1}]}],
 "upstreams": [
  {"name": "e1", "service": "m", "version": "v", "failure_domain": "z",
   "slots": 32, "address": "$e1"},
  {"name": "e2", "service": "m", "version": "v", "failure_domain": "z",
   "slots": 32, "address": "$e2"}]}
END
cat >"$dir/settings.json" <<END
{"node": "n1", "failure_domain": "z", "caller_address": "127.0.0.1:0",
 "admin_address": "127.0.0.1:0", "config_file": "$dir/config.json",
 "drain_grace_ms": 2000, "drain_limit_ms": 30000}
END
"$build/sassafrasd" --settings "$dir/settings.json" 2>"$dir/daemon.log" &
daemon=$!
pids="$pids $daemon"
port=$(wait_for "$dir/daemon.log" 'caller_port=([0-9]+)') || exit 1
admin=$(wait_for "$dir/daemon.log" 'admin_port=([0-9]+)') || exit 1

# request NAME TOKENS: write one stream of so many tokens to $dir/NAME.out.
request() {
	curl -sN -m 60 -H 'Authorization: Bearer t' -o "$dir/$1.out" \
		-d "{\"prompt\": \"$1\", \"max_tokens\": $2}" \
		"http://127.0.0.1:$port/m"
}

# ready: print the status of the readiness check.
ready() {
	curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$admin/readyz"
}

[ "$(ready)" = 200 ] || fail "the daemon is not ready at the start"
streams=
i=0
while [ $i -lt $n_streams ]; do
	i=$((i + 1))
	request "s$i" 100 &
	streams="$streams $!"
done
for i in $(seq $n_streams); do
	wait_for "$dir/s$i.out" '(token)' >/dev/null || exit 1
done
kill -TERM "$daemon"
wait_for "$dir/daemon.log" '(event=draining)' >/dev/null || exit 1
[ "$(ready)" = 503 ] || fail "the daemon still reports ready after SIGTERM"
request grace 2 ||
	fail "a request during the grace period was refused"
grep -q 'event: done' "$dir/grace.out" ||
	fail "a request during the grace period was aborted"
kill -TERM "$daemon"
wait_for "$dir/daemon.log" '(event=accepting-stopped)' >/dev/null || exit 1
if request after 2; then
	fail "a request after the grace period was accepted"
fi
for pid in $streams; do
	wait "$pid" || fail "a stream was aborted"
done
for i in $(seq $n_streams); do
	[ "$(grep -c '"offset"' "$dir/s$i.out")" = 100 ] ||
		fail "stream $i does not have 100 tokens"
	grep -q 'event: done' "$dir/s$i.out" ||
		fail "stream $i lacks its final event"
done
wait "$daemon" || fail "the daemon exited with status $?"
pids=${pids% *} # the daemon has exited
grep -q 'event=drained requests=0' "$dir/daemon.log" ||
	fail "the daemon exited before its last request ended"
echo "$n_streams streams whole, stopped with status 0"
