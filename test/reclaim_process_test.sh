#!/bin/sh
# A reclaim notice for an entry host is a planned stop of it; a host that then
# starts under the same name goes on running, though the notice is still told.
# Usage: reclaim_process_test.sh BUILD
build=${1:-build}
. test/process/lib.sh
. test/process/cluster.sh

# The daemon takes notices for itself once it has run for 30 s.
settle_s=31

has_ended() {
	! is_running "$(pid_of "$1")"
}

start_platform
start_daemon ahd-1 ahd
start_daemon ahd-2 ahd
wait_daemons || fail "an entry host does not start"
for host in ahd-1 ahd-2; do
	curl -s -m 5 -o "$run/answer" "http://$platform/admin/hosts" -d \
		"{\"name\": \"$host\", \"failure_domain\": \"ahd\",
		  \"class\": \"small\", \"reclaimable\": true}" ||
		fail "the platform does not take the host $host"
done
sleep "$settle_s"
reclaim_host ahd-1 20
wait_for 15 has_ended ahd-1 || fail "ahd-1 does not stop after the notice"
wait "$(pid_of ahd-1)"
code=$?
[ "$code" -eq 0 ] || fail "ahd-1 ended with status $code"
is_running "$(pid_of ahd-2)" || fail "ahd-2 stopped, too"
echo "ok   the entry host that was announced stopped, the other one runs"

restart_daemon ahd-1
sleep 6
is_running "$(pid_of ahd-1)" || fail "the host of the same name stopped"
! grep -q event=draining "$run/ahd-1.err" ||
	fail "the host of the same name is stopping"
echo "ok   a new host of that name goes on"
