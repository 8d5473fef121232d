#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into target/review/bin.
set -eu
cd "$(dirname "$0")/.."
make -j4 BUILD=target/review target/review/bin/standin-platform
for program in server client; do
	cc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -I. -pthread -o "target/review/bin/review-$program" \
		"review/standin/$program.c" review/standin/http.c
done
