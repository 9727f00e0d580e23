#!/bin/sh
# Runs sassafras-prove 3000 times from a fixed seed: each run injects random
# failures into a simulated model and checks the result against its oracle.
# Usage: prove_test.sh BUILD
"$1/sassafras-prove" --seed 1 --runs 3000 --jobs 4
