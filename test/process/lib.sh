# Helpers of the process tests: they start processes on loopback, and on exit
# they end exactly those. To be sourced by a script that sets $build to the
# build directory. Shell variables are global: no function here sets "name",
# which the scripts use in their loops.

# Directory for the output and the files of this run; removed on exit.
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

# cleanup: send SIGTERM to all processes, and SIGKILL to those that still run
# when 3 s in total have passed.
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

# fail MESSAGE: print it and the last lines of each log, then exit 1.
fail() {
	echo "FAIL $*"
	for log in "$run"/*.err; do
		[ -s "$log" ] || continue
		echo "--- $(basename "$log")"
		tail -n 8 "$log"
	done
	exit 1
}

# start NAME COMMAND...: run the command in the background, with its output in
# $run/NAME.out and $run/NAME.err; sets $pid.
start() {
	start_name=$1
	shift
	"$@" >"$run/$start_name.out" 2>"$run/$start_name.err" &
	pid=$!
	pids="$pids $pid"
}

# wait_for SECONDS COMMAND...: run the command every 0.1 s until it succeeds;
# fails if it has not after that time.
wait_for() {
	tries=$(($1 * 10))
	shift
	until "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		[ "$tries" -gt 0 ] || return 1
		sleep 0.1
	done
}

# start_emulator NAME SUBCOMMAND OPTIONS...: start sassafras-emulator on a free
# port; sets $address and $pid.
start_emulator() {
	emulator_name=$1
	subcommand=$2
	shift 2
	start "$emulator_name" "$emulator" "$subcommand" \
		--listen 127.0.0.1:0 "$@"
	wait_for 5 test -s "$run/$emulator_name.out" ||
		fail "emulator $emulator_name did not listen within 5 s"
	address=$(sed -n 's/^listening on //p' "$run/$emulator_name.out")
}

# free_port: sets $port to one that nothing listens on; curl exits with 7 if the
# connection is refused. The range lies below the ephemeral ports, so that no
# outgoing connection occupies one.
free_port() {
	while :; do
		port=$next_port
		next_port=$((next_port + 1))
		[ "$next_port" -lt 32000 ] || next_port=10000
		curl -s -o "$run/port" "http://127.0.0.1:$port/"
		[ $? -eq 7 ] && return
	done
}

# number_of NAME: print the first number of that name in the JSON on stdin.
number_of() {
	sed -n "s/.*\"$1\": *\([0-9.]*\).*/\1/p" | head -n 1
}
