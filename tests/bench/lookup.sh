#!/usr/bin/env bash
# figures: lookup_rps
# Throughput of one lookup daemon on one core under three closed-loop load processes.
set -u
cd "$(dirname "$0")/../.."
source tests/bench/lib.bash
LINKS=0
deploy_topology small
deploy_start
target="\"direct\":[\"http://${INST_ADDR[north-a-1]}:$LOOKUP_PORT\"]"
for n in 1 2 3; do
	load_start "l$n" < <(plan 4 '[]' "{\"class\":\"status\",\"concurrency\":32,\"raw\":true,\"path\":\"/v1/lookup?class=status&addr=127.$RUN.1.200\",$target}")
done
for n in 1 2 3; do
	load_wait "l$n"
done
log_summaries
printf 'lookup_rps %.0f 1/s\n' "$(jq -s 'map(.streams[0].ok_per_s) | add' "$RUNDIR"/l[123].json)"
