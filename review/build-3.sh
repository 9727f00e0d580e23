#!/bin/sh
# Builds the stand-ins of the scripts of the third review into build-review3/.
# Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review3
# shellcheck disable=SC2046
${CC:-cc} -std=c11 -O1 -g -Wall -Wextra -D_GNU_SOURCE \
	$(pkg-config --cflags glib-2.0 libsoup-3.0 json-c) \
	-o build-review3/rig review/rig3/*.c \
	$(pkg-config --libs glib-2.0 libsoup-3.0 json-c)
