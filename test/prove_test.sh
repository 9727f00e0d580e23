#!/bin/sh
# Random failures against the oracles, on fixed seeds. Usage: prove_test.sh BUILD
"$1/sassafras-prove" --seed 1 --runs 3000 --jobs 4
