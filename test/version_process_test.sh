#!/bin/sh
# A faulty new version is loaded by order, gets a share, is recalled by every
# entry host, and gets no request afterwards; callers see none of its failures.
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

# write_move SECONDS: the configuration that moves all traffic to v2.
write_move() {
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

has_loaded() {
	curl -s -m 2 "http://$(cat "$run/$1.address")/orders" |
		grep -q "\"$2\""
}

# attempts VERSION: over all entry hosts.
attempts() {
	for host in $daemons; do
		curl -s -m 2 "http://$(admin_address "$host")/metrics"
	done | awk -v version="version=\"$1\"" '
		/^sassafras_attempts_total/ && index($0, version) { n += $2 }
		END { print n + 0 }'
}

# ask COUNT: that many requests through both hosts; sets $unanswered.
ask() {
	for i in $(seq 1 "$1"); do
		host=ahd-$((i % 2 + 1))
		code=$(curl -s -m 10 -o "$run/answer" -w '%{http_code}' \
			-H 'Authorization: Bearer branches-token' \
			-d "{\"prompt\": \"$i\", \"max_tokens\": 2}" \
			"http://$(caller_address "$host")/m")
		[ "$code" = 200 ] || unanswered=$((unanswered + 1))
	done
}

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
wait_daemons || fail "an entry host does not start"
write_move 60 >"$run/move.json"
ctl ahd-1 apply "$run/move.json" || fail "the move is refused"
wait_for 20 has_loaded new-1 v2 || fail "new-1 was not ordered to load v2"
wait_for 20 has_loaded new-2 v2 || fail "new-2 was not ordered to load v2"
echo "ok   the engines were ordered to load v2"

unanswered=0
rounds=0
until is_recalled_everywhere; do
	rounds=$((rounds + 1))
	[ "$rounds" -le 40 ] || fail "v2 was not recalled: $(ctl ahd-1 status)"
	ask 40
done
faulty=$(attempts v2)
echo "ok   v2 was recalled; it got $faulty of $((rounds * 40)) requests"
[ "$faulty" -gt 0 ] || fail "v2 was recalled without a request"
ask 100
[ "$(attempts v2)" = "$faulty" ] || fail "v2 got requests after its recall"
echo "ok   it got none of 100 requests after that"
[ "$unanswered" -eq 0 ] || fail "$unanswered requests were not answered"
echo "ok   callers saw none of its failures"
