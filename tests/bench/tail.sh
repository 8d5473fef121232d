#!/usr/bin/env bash
# figures: tail_p99_ratio tail_vs_rr hedge_extra_pct
# Tail latency with 20 servers of 9 slots at 70% load. 1% of the requests take 20 times the mean service time;
# load reports are delayed by 2 s. In each period of 2 s another fifth of the servers is ten times slower.
# tail_p99_ratio compares the p99 latency to that without slowed servers, tail_vs_rr to that of round robin.
# hedge_extra_pct is the percentage of additional requests, as counted by the servers.
set -u
cd "$(dirname "$0")/../.."
source tests/bench/lib.bash
LINKS=0
PER_ZONE=2
ONE_SERVICES='orders:20:9:360'
SECONDS_EACH=8
SERVICE_MS=60
# 70% of 180 slots; the slow requests make the mean service time 1.19 times as long.
RPS=$(awk "BEGIN { printf \"%d\", 0.7 * 180 / ($SERVICE_MS * 1.19 / 1000) }")
SERVER_BEHAVIOUR="{\"service_ms\":$SERVICE_MS,\"jitter_pct\":50,\"straggler_pct\":1,\"straggler_factor\":20,\"report\":1,\"report_late_ms\":2000}"
deploy_topology one
CLASSES=$(grep -v '"photos"' <<<"$CLASSES" | sed 's/"latency_target_ms":200/"latency_target_ms":1000/; s/"headroom_pct":20/"headroom_pct":10/; s/"timeout_ms":2000/"timeout_ms":10000/')

measure() {
	plan $SECONDS_EACH '[]' "{\"class\":\"status\",\"rate\":$RPS,\"warm_s\":2,\"deadline_ms\":10000,\"direct\":$(proxy_urls)}" | load_run "$1"
	load_field "$1" status p99_us
}

deploy_start
sleep $WARM_S
before=$(servers_sum runs)
healthy=$(measure healthy)
servers_control 'slow?pct=20&factor=10&period_ms=2000' >/dev/null
slowed=$(measure slowed)
runs=$(($(servers_sum runs) - before))
requests=$(($(load_field healthy status requests) + $(load_field slowed status requests)))
for inst in "${INSTANCES[@]}"; do
	deploy_kill "$inst/proxyd"
	CHOICE=rr daemon_start "$inst" proxyd
done
wait_ready "${INSTANCES[@]}" || die "proxies with round robin did not become ready: $(tail -1 "$RUNDIR/north-a-1/proxyd.log")"
sleep 1
rr=$(measure rr)
log_summaries
echo "tail_p99_ratio $(calc "$slowed / $healthy") 1"
echo "tail_vs_rr $(calc "$slowed / $rr") 1"
echo "hedge_extra_pct $(calc "100 * ($runs - $requests) / $requests") %"
