#!/bin/sh
# Moves all traffic of a service to a new version that always fails. Guards
# against a faulty version that is not recalled by every entry host, still gets
# requests after its recall, or fails requests of callers. Also guards against
# engines that are not ordered to load a version before its share begins.
# Usage: version_process_test.sh BUILD
build=${1:-build}
. test/process/lib.sh
. test/process/cluster.sh

# engine_json NAME VERSION
engine_json() {
	echo "{\"name\": \"$1\", \"service\": \"m\", \"version\": \"$2\","
	echo " \"failure_domain\": \"ahd\", \"checks_fencing\": true,"
	echo " \"address\": \"$(cat "$run/$1.address")\"}"
}

# print_move SECONDS: the configuration that moves all traffic from v1 to v2,
# complete after that time.
print_move() {
	by=$(date -u -d "+$1 seconds" +%Y-%m-%dT%H:%M:%SZ)
	cat <<-END
	{"operators": [{"name": "op",
	  "token_sha256": ["$(hash_token "$operator_token")"]}],
	 "accounts": [$(account_json branches ahd)],
	 "services": [{"name": "m", "kind": "model", "path": "/m",
	  "routes": [$(route_json r POST /m lookup 20000 true)],
	  "versions": [{"name": "v1", "share": 0},
	               {"name": "v2", "share": 1, "by": "$by"}]}],
	 "upstreams": [$(engine_json old-1 v1), $(engine_json old-2 v1),
	               $(engine_json new-1 v2), $(engine_json new-2 v2)]}
	END
}

# has_loaded UPSTREAM VERSION
has_loaded() {
	curl -s -m 2 "http://$(cat "$run/$1.address")/orders" |
		grep -q "\"$2\""
}

# count_attempts VERSION: attempts at that version by all entry hosts.
count_attempts() {
	for host in $daemons; do
		curl -s -m 2 "http://$(admin_address "$host")/metrics"
	done | awk -v version="version=\"$1\"" '
		/^sassafras_attempts_total/ && index($0, version) { n += $2 }
		END { print n + 0 }'
}

# send_requests COUNT: send requests through both entry hosts in turn; adds the
# number of those without status 200 to $n_failed.
send_requests() {
	for i in $(seq 1 "$1"); do
		host=ahd-$((i % 2 + 1))
		code=$(curl -s -m 10 -o "$run/answer" -w '%{http_code}' \
			-H 'Authorization: Bearer branches-token' \
			-d "{\"prompt\": \"$i\", \"max_tokens\": 2}" \
			"http://$(caller_address "$host")/m")
		[ "$code" = 200 ] || n_failed=$((n_failed + 1))
	done
}

# sassafrasctl prints "taken-back" for a version that was recalled.
is_recalled_everywhere() {
	for host in $daemons; do
		ctl "$host" status | grep -q 'rollout m/v2 taken-back' ||
			return 1
	done
}

start_platform
start_upstream old-1 m ahd engine --version v1
start_upstream old-2 m ahd engine --version v1
for upstream in new-1 new-2; do
	start_upstream "$upstream" m ahd engine --version v0 \
		--fault '{"mode": "failing", "ratio": 1, "path": "/m"}'
done
start_daemon ahd-1 ahd
start_daemon ahd-2 ahd
wait_daemons || fail "an entry host is not healthy after 10 s"
print_move 60 >"$run/move.json"
ctl ahd-1 apply "$run/move.json" || fail "ahd-1 rejected the move to v2"
wait_for 20 has_loaded new-1 v2 || fail "new-1 was not ordered to load v2"
wait_for 20 has_loaded new-2 v2 || fail "new-2 was not ordered to load v2"
echo "ok   the engines were ordered to load v2"

n_failed=0
n_rounds=0
until is_recalled_everywhere; do
	n_rounds=$((n_rounds + 1))
	[ "$n_rounds" -le 40 ] ||
		fail "v2 was not recalled in 1600 requests:" \
			"$(ctl ahd-1 status)"
	send_requests 40
done
n_attempts=$(count_attempts v2)
echo "ok   v2 was recalled; it got $n_attempts of $((n_rounds * 40)) requests"
[ "$n_attempts" -gt 0 ] || fail "v2 was recalled without a request"
send_requests 100
[ "$(count_attempts v2)" = "$n_attempts" ] ||
	fail "v2 got requests after its recall"
echo "ok   it got none of 100 requests after that"
[ "$n_failed" -eq 0 ] || fail "$n_failed requests failed"
echo "ok   callers saw none of its failures"
