#!/bin/sh
# Entry hosts without seeds in their settings must discover each other through
# the directory that they keep in the platform's store. Guards against a cluster
# that stays split: at its first start, and after all entry hosts were killed,
# when the directory still lists only the dead ones.
# Usage: directory_process_test.sh BUILD
build=${1:-build}
. test/process/lib.sh
. test/process/cluster.sh

no_seeds=yes

# has_members NAME COUNT: that entry host knows so many live entry hosts.
has_members() {
	n_live=$(curl -s -m 2 "http://$(admin_address "$1")/metrics" |
		sed -n 's/^sassafras_members_live //p')
	[ "$n_live" = "$2" ]
}

# all_have_members COUNT NAME...
all_have_members() {
	count=$1
	shift
	for name in "$@"; do
		has_members "$name" "$count" || return 1
	done
}

start_platform
start_daemon first-1 ahd
start_daemon first-2 gnr
start_daemon first-3 ahd
wait_for 15 all_have_members 3 first-1 first-2 first-3 ||
	fail "first-1, first-2 and first-3 did not discover each other in 15 s"
echo "ok   three entry hosts without seeds find together"

for name in first-1 first-2 first-3; do
	kill -KILL "$(pid_of "$name")"
done
start_daemon second-1 ahd
start_daemon second-2 gnr
wait_for 15 all_have_members 2 second-1 second-2 ||
	fail "second-1 and second-2 did not discover each other in 15 s"
echo "ok   their successors find together"
