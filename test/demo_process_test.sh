#!/bin/sh
# Runs the demo, which fails if one of its steps does not do what it announces.
# Usage: demo_process_test.sh BUILD
sh test/demo "$1"
