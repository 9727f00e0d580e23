#!/bin/sh
# Builds the stand-ins of review/6 to review/10 into target/review-bed.
set -e
cd "$(dirname "$0")/.."
out=target/review-bed
mkdir -p "$out"
for name in worker caller ready; do
	gcc -O2 -std=gnu11 -Wall -Wextra -pthread -o "$out/$name" \
		"review/bed/$name.c"
done
gcc -O2 -std=gnu11 -Wall -Wextra -pthread -o "$out/store" review/bed/store.c \
	$(pkg-config --cflags --libs libsoup-3.0 json-c)
