#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 asks other questions. What was sent and answered is in record.txt
# beside this script.
number=more/bodyless
. "$(dirname "$0")/../../run_case.sh"
