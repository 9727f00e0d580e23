#!/bin/sh
# Entry hosts whose settings name no other one find together through the
# platform, also after all of them have been replaced.
# Usage: directory_process_test.sh BUILD
build=${1:-build}
. test/process/lib.sh
. test/process/cluster.sh

no_seeds=yes

# sees NAME COUNT: how many live entry hosts it knows.
sees() {
	known=$(curl -s -m 2 "http://$(admin_address "$1")/metrics" |
		sed -n 's/^sassafras_members_live //p')
	[ "$known" = "$2" ]
}

all_see() {
	count=$1
	shift
	for name in "$@"; do
		sees "$name" "$count" || return 1
	done
}

start_platform
start_daemon first-1 ahd
start_daemon first-2 gnr
start_daemon first-3 ahd
wait_for 15 all_see 3 first-1 first-2 first-3 ||
	fail "three entry hosts without seeds do not find together"
echo "ok   three entry hosts without seeds find together"

for name in first-1 first-2 first-3; do
	kill -KILL "$(pid_of "$name")"
done
start_daemon second-1 ahd
start_daemon second-2 gnr
wait_for 15 all_see 2 second-1 second-2 ||
	fail "their successors do not find together"
echo "ok   their successors find together"
