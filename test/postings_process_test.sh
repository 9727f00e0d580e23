#!/bin/sh
# Postings while their owner is killed, and while it is frozen for longer than
# its lease: none runs twice, and what was answered is true. The service's own
# count of runs by key is the oracle. Usage: postings_process_test.sh BUILD
build=${1:-build}
. test/process/lib.sh
. test/process/cluster.sh

keys=24
lease_s=5

# post NAME KEY: the answer goes to $run/KEY.body, its status to KEY.status.
post() {
	curl -s -m 40 -o "$run/$2.body" -w '%{http_code}' \
		-H 'Authorization: Bearer payroll-token' \
		-H "Idempotency-Key: $2" -H 'X-Deadline-Ms: 20000' \
		--data-binary "{\"revision\": \"$2\"}" \
		"http://$(caller_address "$1")/payledger/revisions" \
		>"$run/$2.status"
}

# post_all PREFIX NAME...: $keys postings at once, through the hosts in turn.
post_all() {
	prefix=$1
	shift
	posts=
	for i in $(seq "$keys"); do
		post "$1" "$prefix-$i" &
		posts="$posts $!"
		set -- "$@" "$1"
		shift
	done
}

end_posts() {
	for post in $posts; do
		wait "$post"
	done
}

# outcome_of KEY: run, pending, not-run or unknown, as its caller was told.
outcome_of() {
	case $(cat "$run/$1.status") in
	202) echo pending ;;
	2*) echo run ;;
	*)
		if grep -q '"executed":"not-run"' "$run/$1.body"; then
			echo not-run
		else
			echo unknown
		fi
		;;
	esac
}

# check PREFIX: compare what the callers were told with what ran.
check() {
	all=
	for i in $(seq "$keys"); do
		key=$1-$i
		runs=$(runs_of payledger "$key")
		told=$(outcome_of "$key")
		all="$all $told"
		case $told-$runs in
		run-1 | not-run-0 | unknown-0 | unknown-1) ;;
		*) fail "$key: told $told, ran $runs times: $(cat "$run/$key.body")" ;;
		esac
	done
	for told in run not-run unknown; do
		echo "$1: $(echo "$all" | tr ' ' '\n' | grep -c "^$told$") $told"
	done
}

# retry_unknown PREFIX NAME: the same keys again must not run again.
retry_unknown() {
	for i in $(seq "$keys"); do
		[ "$(outcome_of "$1-$i")" = unknown ] || continue
		before=$(runs_of payledger "$1-$i")
		post "$2" "$1-$i"
		after=$(runs_of payledger "$1-$i")
		told=$(outcome_of "$1-$i")
		[ "$after" = "$before" ] || [ "$before" = 0 ] ||
			fail "$1-$i: ran $after times after a retry"
		[ "$told" != not-run ] || [ "$after" = 0 ] ||
			fail "$1-$i: told not-run after it ran"
	done
}

owns_shards() {
	grep -q 'event=shard-held' "$run/$1.err"
}

all_own_shards() {
	for name in ahd-1 ahd-2 ahd-3; do
		owns_shards "$name" || return 1
	done
}

# n_held: how often ahd-1 and ahd-3 became the holder of a shard.
n_held() {
	cat "$run/ahd-1.err" "$run/ahd-3.err" | grep -c 'event=shard-held'
}

# is_served PREFIX: a fresh key runs.
is_served() {
	served=$((${served:-0} + 1))
	post ahd-3 "$1-$served"
	[ "$(outcome_of "$1-$served")" = run ]
}

# all_served PREFIX: ten fresh keys in a row run, so that every shard is held.
all_served() {
	for try in 1 2 3 4 5 6 7 8 9 10; do
		is_served "$1" || return 1
	done
}

start_platform
start_upstream payledger-ahd payledger ahd service --delay-ms 1500
upstream_slots=64
for name in ahd-1 ahd-2 ahd-3; do
	start_daemon "$name" ahd
done
wait_daemons || fail "an entry host does not start"
apply_config ahd-1
wait_for 30 all_own_shards || fail "the shards are not spread"
wait_for 60 all_served first || fail "not all shards are served"

post_all killed ahd-2 ahd-3
sleep 0.7
kill -9 "$(pid_of ahd-1)"
end_posts
sleep 2
check killed
sleep "$lease_s"
retry_unknown killed ahd-3
check killed

restart_daemon ahd-1
wait_for 10 is_healthy ahd-1 || fail "ahd-1 does not start again"
wait_for 60 all_served second || fail "not all shards are served again"

post_all frozen ahd-1 ahd-3
sleep 0.7
held=$(n_held)
kill -STOP "$(pid_of ahd-2)"
sleep 14
[ "$(n_held)" -gt "$held" ] || fail "nobody took over from the frozen host"
kill -CONT "$(pid_of ahd-2)"
end_posts
sleep 3
check frozen
retry_unknown frozen ahd-2
check frozen
wait_for 60 all_served third || fail "not all shards are served at the end"
