#!/usr/bin/env bash
# figures: added_p50_us added_p99_us proxy_rps proxy_rps_ratio
# One proxy with servers that answer at once after 2 ms. Half load is half of the required 8,000
# requests a second. The same plan runs against the servers directly and through the proxy.
set -u
cd "$(dirname "$0")/../.."
# shellcheck source=tests/run/deploy.sh
source tests/run/deploy.sh
LINKS=0
HALF_RPS=4000
SECONDS_EACH=4

deploy_topology one
SERVER_BEHAVIOUR='{"service_ms":2}'
deploy_platform
daemon_start north-a-1 agentd
daemon_start north-a-1 proxyd
proxy="http://${INST_ADDR[north-a-1]}:$PROXY_PORT"
for _ in $(seq 100); do
	curl -sf -o /dev/null "$proxy/_cassia/readyz" && break
	sleep 0.1
done
sleep 1
servers=$(jq -c '[.[] | select(.service == "orders") | "http://\(.address):\(.port)"]' "$RUNDIR/servers.json")

# plan TARGETS STREAM-FIELDS
plan() {
	jq -nc --argjson direct "$1" --argjson s "$2" --argjson d $SECONDS_EACH \
		'{duration_s:$d,streams:[{class:"status",direct:$direct} + $s]}'
}

# Requests a second of two closed-loop load processes.
throughput() {
	load_start "$2-1" < <(plan "$1" '{"concurrency":48}')
	load_start "$2-2" < <(plan "$1" '{"concurrency":48}')
	load_wait "$2-1"
	load_wait "$2-2"
	jq -s 'map(.streams[0].ok_per_s) | add' "$RUNDIR/$2-1.json" "$RUNDIR/$2-2.json"
}

half="{\"rate\":$HALF_RPS,\"warm_s\":1}"
plan "$servers" "$half" | load_run direct
plan "[\"$proxy\"]" "$half" | load_run proxied
[ "$(load_field proxied status ok)" -gt $((HALF_RPS * 3)) ] || die "too few answers: $(cat "$RUNDIR/proxied.json")"
servers_control 'set?service_ms=0' >/dev/null
direct_rps=$(throughput "$servers" direct)
proxy_rps=$(throughput "[\"$proxy\"]" proxied)
cat "$RUNDIR"/*.json >&2

echo "added_p50_us $(($(load_field proxied status p50_us) - $(load_field direct status p50_us))) us"
echo "added_p99_us $(($(load_field proxied status p99_us) - $(load_field direct status p99_us))) us"
printf 'proxy_rps %.0f 1/s\n' "$proxy_rps"
printf 'proxy_rps_ratio %.2f 1\n' "$(echo "$proxy_rps / $direct_rps" | bc -l)"
