#!/usr/bin/env bash
# figures: added_p50_us added_p99_us proxy_rps proxy_rps_ratio
# Latency that a proxy adds, and its throughput. Latency: the same plan at half of the required 8,000
# requests/s runs directly against servers that respond after 2 ms and through the proxy. Throughput: two
# closed-loop load processes with servers that respond immediately.
set -u
cd "$(dirname "$0")/../.."
source tests/bench/lib.bash
LINKS=0
HALF_RPS=4000
SERVER_BEHAVIOUR='{"service_ms":2}'
deploy_topology one
deploy_start
sleep 1

half="\"class\":\"status\",\"rate\":$HALF_RPS,\"warm_s\":1"
closed='"class":"status","concurrency":48'
direct="\"direct\":$(server_urls orders)"
proxied="\"direct\":$(proxy_urls)"

throughput() {
	load_start "$2-1" < <(plan 4 '[]' "{$closed,$1}")
	load_start "$2-2" < <(plan 4 '[]' "{$closed,$1}")
	load_wait "$2-1"
	load_wait "$2-2"
	jq -s 'map(.streams[0].ok_per_s) | add' "$RUNDIR/$2-1.json" "$RUNDIR/$2-2.json"
}

plan 4 '[]' "{$half,$direct}" | load_run half-direct
plan 4 '[]' "{$half,$proxied}" | load_run half-proxied
servers_control 'set?service_ms=0' >/dev/null
direct_rps=$(throughput "$direct" direct)
proxy_rps=$(throughput "$proxied" proxied)
log_summaries

echo "added_p50_us $(($(load_field half-proxied status p50_us) - $(load_field half-direct status p50_us))) us"
echo "added_p99_us $(($(load_field half-proxied status p99_us) - $(load_field half-direct status p99_us))) us"
printf 'proxy_rps %.0f 1/s\n' "$proxy_rps"
echo "proxy_rps_ratio $(calc "$proxy_rps / $direct_rps") 1"
