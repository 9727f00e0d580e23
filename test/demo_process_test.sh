#!/bin/sh
# The demonstration sees all that it promises. Usage: demo_process_test.sh BUILD
sh test/demo "$1"
