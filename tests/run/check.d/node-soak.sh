#!/usr/bin/env bash
# Guards against the faults that tests/run/soak.sh looks for, in a 10 s run with a fixed seed.
SEED=7 SECONDS_LONG=10 exec bash "$(dirname "$0")/../soak.sh"
