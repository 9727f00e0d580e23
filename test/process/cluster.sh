# Helpers of the process tests that start a cluster: the emulated platform,
# emulated upstreams, and entry hosts in the failure domains ahd and gnr. To be
# sourced after lib.sh. Files in $run: NAME.address of every upstream;
# NAME.caller, NAME.admin and NAME.peer (addresses) and NAME.pid of every entry
# host.

# A script may change daemon_limits (settings as JSON text) and upstream_slots,
# and set no_seeds or drain_grace_ms, before it starts entry hosts or applies
# the configuration.
operator_token=operator-secret
daemon_limits=
upstream_slots=8
# A line "NAME SERVICE DOMAIN" for each upstream that was started.
upstreams=
# The names of the entry hosts that were started.
daemons=

# start_platform OPTIONS...: sets $platform to its address.
start_platform() {
	start_emulator platform platform --host-lag-ms 1000 "$@"
	platform=$address
}

# start_upstream NAME SERVICE DOMAIN SUBCOMMAND OPTIONS...: start an emulated
# upstream and add its host to the platform.
start_upstream() {
	upstream=$1
	upstreams="${upstreams:+$upstreams
}$1 $2 $3"
	domain=$3
	shift 3
	start_emulator "$upstream" "$@"
	echo "$address" >"$run/$upstream.address"
	curl -s -m 5 -o "$run/answer" "http://$platform/admin/hosts" -d \
		"{\"name\": \"$upstream\", \"failure_domain\": \"$domain\",
		  \"class\": \"small\", \"reclaimable\": true}" ||
		fail "the platform did not add host $upstream"
}

# start_upstreams: one upstream for each service of both deployments in each of
# the two failure domains.
start_upstreams() {
	for domain in ahd gnr; do
		start_upstream "paymodel-$domain" paymodel "$domain" engine
		start_upstream "partitura-$domain" partitura-modeli "$domain" \
			engine
		start_upstream "payledger-$domain" payledger "$domain" \
			service --outcomes
		start_upstream "galds-$domain" pasutijumu-galds "$domain" \
			service --outcomes
	done
}

# hash_token TOKEN
hash_token() {
	echo "$1" | "$build/sassafrasctl" hash-token
}

# upstream_json: print all upstreams, separated by commas.
upstream_json() {
	echo "$upstreams" | while read -r name service domain; do
		echo "$comma{\"name\": \"$name\", \"service\": \"$service\","
		echo " \"version\": \"v1\", \"failure_domain\": \"$domain\","
		echo " \"address\": \"$(cat "$run/$name.address")\","
		echo " \"slots\": $upstream_slots, \"reclaimable\": true,"
		echo " \"checks_fencing\": true, \"price_per_hour\": 0.25}"
		comma=,
	done
}

# account_json NAME HOME
account_json() {
	echo "{\"name\": \"$1\", \"home\": \"$2\", \"weight\": 1,"
	echo " \"token_sha256\": [\"$(hash_token "$1-token")\"]}"
}

# route_json NAME METHOD PATH PRIORITY DEADLINE_MS IDEMPOTENT
route_json() {
	echo "{\"name\": \"$1\", \"method\": \"$2\", \"path\": \"$3\","
	echo " \"priority\": \"$4\", \"deadline_ms\": $5,"
	echo " \"idempotent\": $6}"
}

# service_json NAME KIND PATH OUTCOME_BY_KEY ROUTE...: prints nothing if the
# service has no upstream.
service_json() {
	echo "$upstreams" | grep -q " $1 " || return
	echo "$comma{\"name\": \"$1\", \"kind\": \"$2\", \"path\": \"$3\","
	echo " \"outcome_by_key\": $4,"
	echo " \"versions\": [{\"name\": \"v1\", \"share\": 1}],"
	echo " \"routes\": ["
	shift 4
	echo "$@"
	echo "]}"
	comma=,
}

services_json() {
	comma=
	service_json paymodel model /paymodel false \
		"$(route_json lookup POST /paymodel/lookup lookup 20000 true)," \
		"$(route_json comparison POST /paymodel/comparison \
			comparison 30000 true)"
	service_json payledger plain /payledger true \
		"$(route_json revision POST /payledger/revisions lookup \
			20000 false)," \
		"$(route_json read GET /payledger lookup 5000 true)"
	service_json partitura-modeli model /partitura false \
		"$(route_json engrave POST /partitura/engrave bulk 60000 true)"
	service_json pasutijumu-galds plain /pasutijumi true \
		"$(route_json order POST /pasutijumi/orders lookup 20000 \
			false)," \
		"$(route_json state GET /pasutijumi lookup 5000 true)"
}

# print_config: the configuration of the services that have upstreams. The token
# of an account is its name with "-token" appended.
print_config() {
	cat <<-END
	{
	"services": [
	$(services_json)
	],
	"accounts": [
	$(account_json branches ahd),
	$(account_json payroll ahd),
	$(account_json choir gnr)
	],
	"upstreams": [
	$(comma= && upstream_json)
	],
	"operators": [
	{"name": "demo",
	 "token_sha256": ["$(hash_token $operator_token)"]}
	]
	}
	END
}

# daemon_settings NAME DOMAIN: print the settings file of an entry host.
daemon_settings() {
	cat <<-END
	{
	"node": "$1",
	"failure_domain": "$2",
	"cluster_id": "demo",
	"cluster_secret_file": "$run/cluster.secret",
	"caller_address": "$(caller_address "$1")",
	"admin_address": "$(admin_address "$1")",
	"peer_address": "$(cat "$run/$1.peer")",
	"peer_seeds": [$seeds],
	"platform_address": "$platform",
	"bootstrap_token_sha256": "$(hash_token $operator_token)",
	"trace_file": "$run/$1.trace",
	"trace_sample": 1,
	$daemon_limits
	"drain_grace_ms": ${drain_grace_ms:-500},
	"drain_limit_ms": 20000
	}
	END
}

# caller_address NAME
caller_address() {
	cat "$run/$1.caller"
}

# admin_address NAME
admin_address() {
	cat "$run/$1.admin"
}

# pid_of NAME
pid_of() {
	cat "$run/$1.pid"
}

# start_daemon NAME DOMAIN: start an entry host; sets $pid. Its seeds are the
# entry hosts that were started before it, or none if no_seeds is set.
start_daemon() {
	[ -f "$run/cluster.secret" ] || {
		echo "$operator_token" >"$run/operator.token"
		echo "0123456789abcdef0123456789abcdef" >"$run/cluster.secret"
		chmod 600 "$run/cluster.secret" "$run/operator.token"
	}
	for kind in caller admin peer; do
		free_port
		echo "127.0.0.1:$port" >"$run/$1.$kind"
	done
	daemon_settings "$1" "$2" >"$run/$1.json"
	start "$1" "$build/sassafrasd" --settings "$run/$1.json"
	echo "$pid" >"$run/$1.pid"
	daemons="$daemons $1"
	[ -n "$no_seeds" ] ||
		seeds="${seeds:+$seeds, }\"$(cat "$run/$1.peer")\""
}

# restart_daemon NAME: start a new process with the settings of the old one;
# sets $pid.
restart_daemon() {
	start "$1" "$build/sassafrasd" --settings "$run/$1.json"
	echo "$pid" >"$run/$1.pid"
}

# is_ready NAME
is_ready() {
	curl -sf -m 2 -o "$run/answer" "http://$(admin_address "$1")/readyz"
}

# is_healthy NAME
is_healthy() {
	curl -sf -m 2 -o "$run/answer" "http://$(admin_address "$1")/healthz"
}

# wait_daemons: wait until all entry hosts are healthy, 10 s for each.
wait_daemons() {
	for node in $daemons; do
		wait_for 10 is_healthy "$node" || return 1
	done
}

# ctl NAME COMMAND...: run sassafrasctl against that entry host.
ctl() {
	node=$1
	shift
	"$build/sassafrasctl" --server "http://$(admin_address "$node")" \
		--token-file "$run/operator.token" "$@"
}

# is_active_everywhere [GENERATION]: every entry host is ready and has applied a
# configuration of at least that generation; 1 by default.
is_active_everywhere() {
	for member in $daemons; do
		is_ready "$member" || return 1
		generation=$(ctl "$member" status --json | number_of generation)
		[ "${generation:-0}" -ge "${1:-1}" ] || return 1
	done
}

# apply_config NAME: send the configuration to that entry host and wait until
# all have applied it.
apply_config() {
	print_config >"$run/config.json"
	ctl "$1" apply "$run/config.json" ||
		fail "$1 rejected the configuration"
	wait_for 12 is_active_everywhere ||
		fail "an entry host has not applied the configuration in 12 s"
}

# request_body PROMPT MAX_TOKENS
request_body() {
	printf '{"prompt": "%s", "max_tokens": %d}' "$1" "$2"
}

# call NAME ACCOUNT METHOD PATH FILE CURL_OPTIONS...: send the file as a request
# to that entry host and print the response; fails unless its status is 2xx.
call() {
	node=$1
	account=$2
	method=$3
	path=$4
	file=$5
	shift 5
	curl -sfN -m 40 -X "$method" -H "Authorization: Bearer $account-token" \
		-H 'Content-Type: application/json' --data-binary "@$file" \
		"$@" "http://$(caller_address "$node")$path"
}

# verify NAME: check that the stream $run/NAME.sse is the complete response to
# the request $run/NAME.json.
verify() {
	"$emulator" verify --body "$run/$1.json" <"$run/$1.sse"
}

# count_runs SERVICE KEY: how often the service's upstreams ran the posting with
# that idempotency key, in total.
count_runs() {
	total=0
	for upstream in $(echo "$upstreams" |
		sed -n "s/^\([^ ]*\) $1 .*/\1/p"); do
		n=$(curl -s -m 5 \
			"http://$(cat "$run/$upstream.address")/admin/runs" |
			number_of "$2")
		total=$((total + ${n:-0}))
	done
	echo "$total"
}

# count_requests UPSTREAM: number of requests that an engine received.
count_requests() {
	curl -s -m 5 "http://$(cat "$run/$1.address")/admin/stats" |
		number_of requests
}

# reclaim_host NAME SECONDS: have the platform announce that it reclaims the
# host in that time.
reclaim_host() {
	curl -sf -m 5 "http://$platform/admin/reclaim" \
		-d "{\"host\": \"$1\", \"in_s\": $2}" >"$run/answer" ||
		fail "the platform did not accept the reclaim of host $1"
}

# set_fault ADDRESS JSON: set the fault that an emulator injects.
set_fault() {
	curl -sf -m 5 -o "$run/answer" "http://$1/admin/fault" -d "$2" ||
		fail "$1 did not accept the fault $2"
}
