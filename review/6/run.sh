#!/bin/bash
# One answer without end that its caller reads as it comes: see claim.txt.
. "$(dirname "$0")/../bed/lib.sh"
trouble=${TROUBLE:-1}

memory_mb=260
link_bytes=125000000 # link_mbps = 1000
cat >"$run/objects" <<EOF
config/main {"version":1,"route_table":[{"name":"compare","host":"ficu95.example","path_prefix":"/compare/","kind":"streaming","timeout_ms":8000,"target_latency_ms":800,"gap_target_ms":600,"priority":1,"service":"paymodel","max_attempts":1,"public":true,"sticky":true}],"services":[{"name":"paymodel","health_path":"/healthz","max_connections":630}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":10000}}
EOF
for n in 1 2 3 4 5; do
	entry "m-$n" paymodel "$net.10$n:8185" zone-ahd 128
done
settings 1 zone-ahd
start_store
for n in 1 2 3 4 5; do
	at=0
	[ "$n" = 1 ] && [ "$trouble" != 0 ] && at=5
	start "m-$n" "$bed/worker" "$net.10$n:8185" "m-$n" "$wire" "$record" \
		work_ms=60 events=24 gap_ms=100 endless_at=$at line=16384 \
		endless_per_s=$link_bytes
done
start_host 1
host_pid=$pid
wait_ready 1
sleep 4

# 15 callers with a kept channel each: some six requests a second, as at one of
# the nine machines of vetan-hq. They read at the rate of a link, less what its
# own headers take.
note "begin"
start compare "$bed/caller" "$net.1:8221" ficu95.example POST /compare/a \
	"$wire" "$record" compare users=15 interval_ms=2500 seconds=20 \
	limit_ms=8000 stall_ms=4800 body=1700 \
	bytes_per_s=$((link_bytes / 100 * 99))
caller=$pid

# The platform kills a process that exceeds its memory, and starts it again.
most=0
killed=0
while kill -0 "$caller" 2>/dev/null; do
	kb=$(awk '$1 == "VmRSS:" { print $2 }' "/proc/$host_pid/status" 2>/dev/null)
	[ "${kb:-0}" -gt "$most" ] && most=$kb
	if [ "${kb:-0}" -gt $((memory_mb * 1024)) ]; then
		kill -KILL "$host_pid"
		note "the platform kills the host: $kb kB, more than $memory_mb MB"
		killed=$((killed + 1))
		wait "$host_pid"
		sleep 0.5
		start_host 1
		host_pid=$pid
	fi
	sleep 0.05
done
note "end: $most kB at most, $killed times killed"

# LOST: requests from kept channels that a sound worker (any but m-1, which has
# given the endless answer) had begun, and whose channel was closed without a whole answer.
awk -v killed="$killed" -v most="$most" '
$2 == "worker" && $4 == "begins" { begun[$5] = $3 }
$2 == "compare" && $3 == "ends" {
	n++
	if ($6 == "how=whole") whole++
	if ($6 ~ /how=(cut|no-answer)/ && $7 == "kept=1" && begun[$4] != "")
		lost[$4] = 1
}
END {
	for (id in lost) if (begun[id] != "m-1") n_lost++
	printf "%d requests, %d answered whole; %d kB at most, %d times killed; %d requests from kept channels begun at sound workers and closed without an answer\n", n, whole, most, killed, n_lost
	if (n < 60) exit 2
	exit killed > 0 && n_lost > 3 ? 1 : 0
}' "$record"
result=$?
note "result $result"
exit $result
