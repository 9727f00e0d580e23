# Starts processes on loopback and ends exactly those. For sourcing; the
# caller sets $build. No function sets a variable named "name".

run=$(mktemp -d) || exit 1
pids=
next_port=$((10000 + $$ % 1500 * 10))
emulator=$build/sassafras-emulator
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# is_running PID
is_running() {
	kill -0 "$1" 2>/dev/null
}

cleanup() {
	for pid in $pids; do
		is_running "$pid" && kill "$pid" 2>/dev/null
	done
	tries=0
	for pid in $pids; do
		while is_running "$pid" && [ "$tries" -lt 30 ]; do
			sleep 0.1
			tries=$((tries + 1))
		done
		is_running "$pid" && kill -9 "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	rm -rf "$run"
}

# fail MESSAGE: print it and the ends of the logs, then exit 1.
fail() {
	echo "FAIL $*"
	for log in "$run"/*.err; do
		[ -s "$log" ] || continue
		echo "--- $(basename "$log")"
		tail -n 8 "$log"
	done
	exit 1
}

# start NAME COMMAND...: run it in the background; sets $pid.
start() {
	start_name=$1
	shift
	"$@" >"$run/$start_name.out" 2>"$run/$start_name.err" &
	pid=$!
	pids="$pids $pid"
}

# wait_for SECONDS COMMAND...: until the command succeeds.
wait_for() {
	tries=$(($1 * 10))
	shift
	until "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		[ "$tries" -gt 0 ] || return 1
		sleep 0.1
	done
}

# stand_in NAME SUBCOMMAND OPTIONS...: sets $address and $pid.
stand_in() {
	stand_in_name=$1
	subcommand=$2
	shift 2
	start "$stand_in_name" "$emulator" "$subcommand" \
		--listen 127.0.0.1:0 "$@"
	wait_for 5 test -s "$run/$stand_in_name.out" ||
		fail "$stand_in_name does not start"
	address=$(sed -n 's/^listening on //p' "$run/$stand_in_name.out")
}

# free_port: sets $port to one that nothing listens on. The range lies below
# the ports that the system gives to outgoing connections.
free_port() {
	while :; do
		port=$next_port
		next_port=$((next_port + 1))
		[ "$next_port" -lt 32000 ] || next_port=10000
		curl -s -o "$run/port" "http://127.0.0.1:$port/"
		[ $? -eq 7 ] && return
	done
}

# number_of NAME: value of a member in the JSON on stdin.
number_of() {
	sed -n "s/.*\"$1\": *\([0-9.]*\).*/\1/p" | head -n 1
}
