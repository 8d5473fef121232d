#!/usr/bin/env bash
# A short soak with a fixed seed: kills, freezes, restarts and store faults must break no promise.
SEED=7 SECONDS_LONG=10 exec bash "$(dirname "$0")/../soak.sh"
