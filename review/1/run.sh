#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. What was sent, answered and run is in
# record.txt beside this script.
number=1
. "$(dirname "$0")/../run_case.sh"
