# Helpers of the cases review/6 to review/10: they start processes on loopback,
# and on exit they end exactly those. To be sourced by a run.sh in its folder.

here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
bed=$root/target/review-bed
wire=$root/review/bed/wire.txt
host=$root/target/sassafrasd-platform
record=$here/record.txt
run=$(mktemp -d) || exit 2
pids=
# Loopback addresses of this run; ports are the same on all of them.
net=127.$((64 + $$ / 250 % 64)).$((1 + $$ % 250))
store=$net.250:8225
trap cleanup EXIT
trap 'exit 2' INT TERM
cd "$root" || exit 2
: >"$record"
for program in "$bed/store" "$bed/worker" "$bed/caller" "$host"; do
	[ -x "$program" ] || {
		echo "missing: $program (run the build line and review/build-2.sh)"
		exit 2
	}
done

cleanup() {
	for pid in $pids; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$run"
}

now_ms() {
	date +%s%3N
}

# note TEXT: a line of the record.
note() {
	echo "$(now_ms) $*" >>"$record"
}

# start NAME COMMAND...: in the background; sets $pid.
start() {
	start_name=$1
	shift
	"$@" >"$run/$start_name.out" 2>&1 &
	pid=$!
	pids="$pids $pid"
}

# settings NUMBER ZONE: writes those of the host $net.NUMBER to
# $run/NUMBER.json, as platform/settings.json.in makes them for an edge machine
# of the site vetan-hq.
settings() {
	cat >"$run/$1.json" <<EOF
{
	"node": "edge-$2-$1",
	"failure_domain": "$2",
	"caller_address": "$net.$1:8221",
	"ready_address": "$net.$1:8224",
	"metrics_address": "$net.$1:9464",
	"peer_address": "$net.$1:7600",
	"relay_address": "$net.$1:7601",
	"peer_seeds": ["$net.1:8229", "$net.2:8229", "$net.3:8229"],
	"store": {
		"address": "$store", "writes_per_s": 400, "reads_per_s": 2000
	},
	"duties": {
		"address": "$store", "names": ["usage_report"],
		"calls_per_s": 50
	},
	"limits": { "descriptors": 4100, "memory_mb": 260 },
	"bounds": {
		"stop_ms": 8000, "retry_ratio": 0.2, "retry_slack": 58,
		"allowance_window_s": 8, "allowance_overage": 0.1,
		"allowance_slack": 190000, "usage_window_s": 5,
		"usage_due_s": 10, "lease_ms": 3000, "apply_ms": 2000,
		"drain_ms": 2000, "exposure_share": 0.1,
		"exposure_slack": 50, "evacuate_ms": 0,
		"warm_up_overage": 0, "warm_up_slack": 0
	}
}
EOF
}

# start_host NUMBER: with the command of the deploy file; sets $pid.
start_host() {
	start "host$1" "$host" "$run/$1.json"
}

# start_store ARGUMENT...: with the objects in $run/objects; sets $pid.
start_store() {
	start store "$bed/store" "$store" "$wire" "$run/objects" "$record" "$@"
	sleep 0.3
	kill -0 "$pid" 2>/dev/null || {
		echo "the store could not start"
		cat "$run/store.out"
		exit 2
	}
}

# entry ID SERVICE ADDRESS ZONE SLOTS: a line of $run/objects.
entry() {
	echo "servers/$1 {\"service\":\"$2\",\"address\":\"$3\",\"zone\":\"$4\",\"version\":\"v1\",\"slots\":$5,\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":1}" >>"$run/objects"
}

# wait_ready NUMBER: until the host says that it is ready, 10 s at most.
wait_ready() {
	tries=0
	while ! "$bed/ready" "$net.$1:8224" "$wire"; do
		tries=$((tries + 1))
		[ "$tries" -lt 100 ] || {
			echo "host $1 is not ready"
			cat "$run/host$1.out"
			exit 2
		}
		sleep 0.1
	done
}
