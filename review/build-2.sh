#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2/bin.
set -eu
cd "$(dirname "$0")/.."
make -j4 BUILD=target/review-2 target/review-2/bin/standin-platform
for program in server client late upload; do
	cc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -pthread -o "target/review-2/bin/review2-$program" \
		"review/standin-2/$program.c" review/standin-2/net.c
done
