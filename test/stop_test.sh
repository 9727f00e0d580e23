#!/bin/sh
# A daemon that is stopped under streams cuts none of them, takes new requests
# during the grace and none after it, and ends with status 0. A second signal
# changes nothing. Usage: stop_test.sh BUILD
build=$1
dir=$(mktemp -d)
n_streams=20
pids=
fail() {
	echo "FAIL: $1"
	tail -n 20 "$dir"/*.log
	exit 1
}
clean_up() {
	for pid in $pids; do
		kill "$pid" 2>/dev/null
	done
	wait
	rm -rf "$dir"
}
trap clean_up EXIT

# Waits until a line of a file matches, then prints its last match.
wait_for() {
	tries=0
	until match=$(sed -nE "s/.*$2.*/\\1/p" "$1" 2>/dev/null | tail -n 1) &&
		[ -n "$match" ]; do
		tries=$((tries + 1))
		[ $tries -lt 200 ] || fail "no line of $1 matches $2"
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

# ask NAME TOKENS: one stream into a file of that name.
ask() {
	curl -sN -m 60 -H 'Authorization: Bearer t' -o "$dir/$1.out" \
		-d "{\"prompt\": \"$1\", \"max_tokens\": $2}" \
		"http://127.0.0.1:$port/m"
}
ready() {
	curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$admin/readyz"
}

[ "$(ready)" = 200 ] || fail "not ready at the start"
streams=
i=0
while [ $i -lt $n_streams ]; do
	i=$((i + 1))
	ask "s$i" 100 &
	streams="$streams $!"
done
for i in $(seq $n_streams); do
	wait_for "$dir/s$i.out" '(token)' >/dev/null || exit 1
done
kill -TERM "$daemon"
wait_for "$dir/daemon.log" '(event=draining)' >/dev/null || exit 1
[ "$(ready)" = 503 ] || fail "still ready after SIGTERM"
ask grace 2 || fail "refused during the grace"
grep -q 'event: done' "$dir/grace.out" || fail "cut during the grace"
kill -TERM "$daemon"
wait_for "$dir/daemon.log" '(event=accepting-stopped)' >/dev/null || exit 1
if ask after 2; then
	fail "accepted after the grace"
fi
for pid in $streams; do
	wait "$pid" || fail "a stream was cut"
done
for i in $(seq $n_streams); do
	[ "$(grep -c '"offset"' "$dir/s$i.out")" = 100 ] ||
		fail "stream $i is not whole"
	grep -q 'event: done' "$dir/s$i.out" || fail "stream $i has no end"
done
wait "$daemon" || fail "the daemon ended with status $?"
pids=${pids% *}
grep -q 'event=drained requests=0' "$dir/daemon.log" ||
	fail "the daemon did not drain"
echo "$n_streams streams whole, stopped with status 0"
