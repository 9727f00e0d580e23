#!/bin/sh
# Postings whose owner is killed or is frozen for longer than its lease while
# they run. Guards against a posting that runs twice, once by the old owner and
# once by its successor; a response that contradicts the number of runs; and
# shards that no entry host serves afterwards. The oracle is the service's count
# of runs by key. Usage: postings_process_test.sh BUILD
build=${1:-build}
. test/process/lib.sh
. test/process/cluster.sh

n_keys=24
# The journal's lease in seconds.
lease_s=5

# post NAME KEY: send a posting to that entry host; writes the response to
# $run/KEY.body and its status to $run/KEY.status.
post() {
	curl -s -m 40 -o "$run/$2.body" -w '%{http_code}' \
		-H 'Authorization: Bearer payroll-token' \
		-H "Idempotency-Key: $2" -H 'X-Deadline-Ms: 20000' \
		-H "Prefer: ${prefer:-wait=20}" \
		--data-binary "{\"revision\": \"$2\"}" \
		"http://$(caller_address "$1")/payledger/revisions" \
		>"$run/$2.status"
}

# post_all PREFIX NAME...: start $n_keys postings at once, through these entry
# hosts in turn; sets $posts to their process ids.
post_all() {
	prefix=$1
	shift
	posts=
	for i in $(seq "$n_keys"); do
		post "$1" "$prefix-$i" &
		posts="$posts $!"
		set -- "$@" "$1"
		shift
	done
}

wait_posts() {
	for post in $posts; do
		wait "$post"
	done
}

# outcome_of KEY: print run, pending, not-run or unknown, as the response says.
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

# check PREFIX: compare the responses with the runs of each key.
check() {
	outcomes=
	for i in $(seq "$n_keys"); do
		key=$1-$i
		runs=$(count_runs payledger "$key")
		outcome=$(outcome_of "$key")
		outcomes="$outcomes $outcome"
		case $outcome-$runs in
		run-1 | not-run-0 | unknown-0 | unknown-1) ;;
		*) fail "$key: outcome $outcome, ran $runs times:" \
			"$(cat "$run/$key.body")" ;;
		esac
	done
	for outcome in run not-run unknown; do
		echo "$1: $(echo "$outcomes" | tr ' ' '\n' |
			grep -c "^$outcome$") $outcome"
	done
}

# check_accepted PREFIX NAME: each accepted posting ran once, or has an unknown
# outcome; the outcomes come from posting the same keys again.
check_accepted() {
	ran=0
	accepted=0
	for i in $(seq "$n_keys"); do
		[ "$(outcome_of "$1-$i")" = pending ] || continue
		accepted=$((accepted + 1))
		runs=$(count_runs payledger "$1-$i")
		post "$2" "$1-$i"
		outcome=$(outcome_of "$1-$i")
		case $outcome-$runs in
		run-1) ran=$((ran + 1)) ;;
		unknown-0 | unknown-1) ;;
		*) fail "$1-$i: accepted, outcome $outcome, ran $runs times" ;;
		esac
	done
	[ "$accepted" -gt 0 ] || fail "$1: no posting was accepted"
	echo "$1: $ran of $accepted run, the others reported"
}

# retry_unknown PREFIX NAME: post the keys of unknown outcome again. A key that
# ran must not run again or be refused as not run.
retry_unknown() {
	for i in $(seq "$n_keys"); do
		[ "$(outcome_of "$1-$i")" = unknown ] || continue
		before=$(count_runs payledger "$1-$i")
		post "$2" "$1-$i"
		after=$(count_runs payledger "$1-$i")
		outcome=$(outcome_of "$1-$i")
		[ "$after" = "$before" ] || [ "$before" = 0 ] ||
			fail "$1-$i: ran $after times after a retry"
		[ "$outcome" != not-run ] || [ "$after" = 0 ] ||
			fail "$1-$i: outcome not-run, but it ran"
	done
}

# has_held_shard NAME
has_held_shard() {
	grep -q 'event=shard-held' "$run/$1.err"
}

all_have_held_shards() {
	for name in ahd-1 ahd-2 ahd-3; do
		has_held_shard "$name" || return 1
	done
}

# count_held: how often ahd-1 and ahd-3 became the holder of a shard.
count_held() {
	cat "$run/ahd-1.err" "$run/ahd-3.err" | grep -c 'event=shard-held'
}

# is_served PREFIX: a posting with a new key runs.
is_served() {
	served=$((${served:-0} + 1))
	post ahd-3 "$1-$served"
	[ "$(outcome_of "$1-$served")" = run ]
}

# all_served PREFIX: postings with ten new keys in a row run, so that every
# shard has a holder.
all_served() {
	for try in 1 2 3 4 5 6 7 8 9 10; do
		is_served "$1" || return 1
	done
}

start_platform
start_upstream payledger-ahd payledger ahd service --outcomes --delay-ms 1500
upstream_slots=64
for name in ahd-1 ahd-2 ahd-3; do
	start_daemon "$name" ahd
done
wait_daemons || fail "an entry host is not healthy after 10 s"
apply_config ahd-1
wait_for 30 all_have_held_shards ||
	fail "an entry host became the holder of no shard in 30 s"
wait_for 60 all_served first || fail "not all shards are served after 60 s"

prefer=respond-async
post_all accepted ahd-2 ahd-3
accepted_posts=$posts
prefer=
post_all killed ahd-2 ahd-3
sleep 0.7
kill -9 "$(pid_of ahd-1)"
wait_posts
posts=$accepted_posts
wait_posts
sleep 2
check killed
sleep "$lease_s"
retry_unknown killed ahd-3
check killed

restart_daemon ahd-1
wait_for 10 is_healthy ahd-1 ||
	fail "ahd-1 is not healthy 10 s after its restart"
wait_for 60 all_served second ||
	fail "not all shards are served 60 s after a restart"
check_accepted accepted ahd-3

post_all frozen ahd-1 ahd-3
sleep 0.7
n_held=$(count_held)
kill -STOP "$(pid_of ahd-2)"
sleep 14
[ "$(count_held)" -gt "$n_held" ] ||
	fail "no entry host took over the shards of the frozen ahd-2"
kill -CONT "$(pid_of ahd-2)"
wait_posts
sleep 3
check frozen
retry_unknown frozen ahd-2
check frozen
wait_for 60 all_served third ||
	fail "not all shards are served 60 s after the freeze"
