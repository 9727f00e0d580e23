#!/bin/sh
# On a reclaim notice for its own host an entry host drains and exits. Guards
# against an entry host that ignores the notice, stops on the notice for another
# host, or stops on an old notice: the platform still lists it when a new host
# starts under the same name.
# Usage: reclaim_process_test.sh BUILD
build=${1:-build}
. test/process/lib.sh
. test/process/cluster.sh

# In its first 30 s the daemon ignores notices about its own host, as they may
# concern an earlier host of the same name.
settle_s=31

# has_ended NAME
has_ended() {
	! is_running "$(pid_of "$1")"
}

start_platform
start_daemon ahd-1 ahd
start_daemon ahd-2 ahd
wait_daemons || fail "an entry host is not healthy after 10 s"
for host in ahd-1 ahd-2; do
	curl -s -m 5 -o "$run/answer" "http://$platform/admin/hosts" -d \
		"{\"name\": \"$host\", \"failure_domain\": \"ahd\",
		  \"class\": \"small\", \"reclaimable\": true}" ||
		fail "the platform did not add host $host"
done
sleep "$settle_s"
reclaim_host ahd-1 20
wait_for 15 has_ended ahd-1 ||
	fail "ahd-1 is still running 15 s after its notice"
wait "$(pid_of ahd-1)"
code=$?
[ "$code" -eq 0 ] || fail "ahd-1 exited with status $code"
is_running "$(pid_of ahd-2)" || fail "ahd-2 exited, but it got no notice"
echo "ok   the entry host that was announced stopped, the other one runs"

restart_daemon ahd-1
sleep 6
is_running "$(pid_of ahd-1)" || fail "ahd-1 exited again after its restart"
! grep -q event=draining "$run/ahd-1.err" ||
	fail "ahd-1 is draining again after its restart"
echo "ok   a new host of that name goes on"
