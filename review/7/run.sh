#!/bin/bash
# One answer without end at one entry host: see claim.txt.
. "$(dirname "$0")/../bed/lib.sh"
trouble=${TROUBLE:-1}

# Routes and time limits of vetan-hq: two kinds of streams and the two kinds of
# short requests.
cat >"$run/objects" <<EOF
config/main {"version":1,"route_table":[{"name":"compare","host":"ficu95.example","path_prefix":"/compare/","kind":"streaming","timeout_ms":8000,"target_latency_ms":800,"gap_target_ms":600,"priority":1,"service":"paymodel","max_attempts":1,"public":true,"sticky":true},{"name":"post","host":"ficu95.example","path_prefix":"/post/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":150,"priority":2,"service":"payledger","max_attempts":1,"public":true},{"name":"lookup","host":"ficu95.example","path_prefix":"/lookup/","kind":"idempotent","timeout_ms":800,"target_latency_ms":150,"priority":2,"service":"payledger","max_attempts":2,"public":true}],"services":[{"name":"paymodel","health_path":"/healthz","max_connections":630},{"name":"payledger","health_path":"/healthz","max_connections":110}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":10000}}
EOF
flood=0
[ "$trouble" = 0 ] || flood=30
for n in 1 2 3 4 5; do
	entry "m-$n" paymodel "$net.10$n:8185" zone-ahd 128
	entry "l-$n" payledger "$net.11$n:8185" zone-ahd 6
done
settings 1 zone-ahd
start_store
for n in 1 2 3 4 5; do
	at=0
	[ "$n" -le 3 ] && at=$((flood * n / 3))
	start "m-$n" "$bed/worker" "$net.10$n:8185" "m-$n" "$wire" "$record" \
		work_ms=60 events=24 gap_ms=20 endless_at=$at \
		endless_n=2
	start "l-$n" "$bed/worker" "$net.11$n:8185" "l-$n" "$wire" "$record" \
		work_ms=30 size=800
done
start_host 1
wait_ready 1
sleep 4

# The rates of one of the nine machines: 6 streams and 2.3 short requests a
# second.
note "begin"
callers=
start compare "$bed/caller" "$net.1:8221" ficu95.example POST /compare/a \
	"$wire" "$record" compare interval_ms=166 seconds=40 limit_ms=8000 \
	stall_ms=4800 body=1700
callers="$callers $pid"
start post "$bed/caller" "$net.1:8221" ficu95.example POST /post/a "$wire" \
	"$record" post interval_ms=660 seconds=40 limit_ms=1500 body=600
callers="$callers $pid"
start lookup "$bed/caller" "$net.1:8221" ficu95.example GET /lookup/a "$wire" \
	"$record" lookup interval_ms=1300 seconds=40 limit_ms=1500
callers="$callers $pid"
for caller in $callers; do
	wait "$caller"
done
note "end"

# CONFIG: requests unanswered at their route's timeout_ms (800), and those of
# them without an answer half a second later. Only those that may run once: of
# the others a client gives up one that has not been read sooner.
awk '
$2 == "post" && $3 == "ends" {
	n++
	split($0, part, "after_ms=")
	if (part[2] + 0 >= 800) unanswered++
	if (part[2] + 0 >= 1300) late++
}
END {
	printf "%d postings, %d unanswered at timeout_ms, %d of them without an answer 0.5 s later\n", n, unanswered, late
	if (n < 30) exit 2
	exit late >= 8 && late * 2 > unanswered ? 1 : 0
}' "$record"
result=$?
note "result $result"
exit $result
