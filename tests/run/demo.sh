#!/usr/bin/env bash
# Demonstration on loopback: 2 zones with 2 instances each, requests of each class, and a drain with a
# deadline under load. Fails if a request is cut or refused, or if cassia-check finds a violation. Stops
# everything it started; KEEP=1 leaves the deployment running.
set -u
cd "$(dirname "$0")/../.."
# shellcheck source=tests/run/deploy.sh
source tests/run/deploy.sh

LOOKUP_TTL_MS=1000
CAP_PCT_S=25
DEADLINE_S=20
LOAD_S=23
SERVER_BEHAVIOUR='{"service_ms":10,"jitter_pct":50}'
DRAIN_ZONE=south-a

print_heading() { printf '\n== %s\n' "$*"; }

# Sends one request as a caller does: looks up the entry, then calls it.
show_request() {
	local class=$1 method=$2 path=$3 body=$4 entry id=demo-$1 head
	entry=$(curl -sf -m 3 --interface "127.$RUN.1.200" "http://$(inst_listed north-a-1):$LOOKUP_PORT/v1/lookup?class=$class" | jq -r '.entries[0] | .instance + " " + .url')
	echo "class $class: lookup returns ${entry% *} at ${entry#* }"
	head=$(curl -s -m 5 --interface "127.$RUN.1.200" -X "$method" ${body:+--data-binary "$body"} -D - -o /dev/null \
		-H "X-Cassia-Class: $class" -H "X-Request-Id: $id" -H 'Content-Type: application/octet-stream' "${entry#* }$path" | tr -d '\r')
	echo "$head" | grep -E '^(HTTP/|X-Cassia-|X-Request-Id|X-Answer-Digest|Content-Length)' | sed 's/^/  /'
	echo "$head" | grep -q '^HTTP/1.1 200' || die "request of class $class was not answered with 200"
}

# Prints the number of executions per zone, as counted by the servers.
runs_by_zone() {
	servers_control stats | jq -r 'group_by(.zone) | map("\(.[0].zone) \(map(.runs) | add)") | join("  ")'
}

show_drain() {
	local end=$((SECONDS + DEADLINE_S)) before after
	before=$(runs_by_zone)
	while [ $SECONDS -lt $end ]; do
		sleep 2
		after=$(runs_by_zone)
		echo "  $((end - SECONDS)) s left, executions in the last 2 s: $(paste -d' ' <(tr -s ' ' '\n' <<<"$before") <(tr -s ' ' '\n' <<<"$after") | awk '$1 == $2 && $1 !~ /^[0-9]/ { z = $1; next } { printf "%s %d  ", z, $2 - $1 }')"
		before=$after
	done
}

deploy_topology small
print_heading "starting 2 zones with 2 instances each, a store, servers and links"
deploy_start
echo "ready: ${INSTANCES[*]} on 127.$RUN.0.0/16"

print_heading "one request of each class"
show_request status GET '/orders/17?size=200' ''
show_request payments POST '/payments?size=64' 'amount=25'
show_request photos POST '/photos?size=32' "$(head -c 3000 /dev/zero | tr '\0' x)"

print_heading "load from both zones for $LOAD_S s, and a drain of $DRAIN_ZONE with a deadline in $DEADLINE_S s"
load_start demo < <(jq -nc --argjson callers "$(deploy_callers 3)" --argjson d "$LOAD_S" '{duration_s:$d,callers:$callers,streams:[
	{class:"status",rate:150,answer_bytes:200},
	{class:"payments",rate:60,idempotent:false,method:"POST",upload_bytes:100},
	{class:"photos",rate:5,upload_bytes:100000,deadline_ms:4000}]}')
sleep 2
ctl() { "$DEPLOY_BIN/cassiactl" --store "consul:http://127.$RUN.0.1:$STORE_PORT" --instance "$(inst_listed north-a-1):$ADMIN_PORT" "$@"; }
now_us=$(clock_us)
ctl drain start "$DRAIN_ZONE" --deadline "+${DEADLINE_S}s" || die "the drain was not accepted"
show_drain
ctl drain status 2>/dev/null | sed 's/^/  /'
load_wait demo || die "cassia-load failed"

print_heading "results as seen by callers"
jq -r '.streams[] | "  \(.class): \(.requests) requests, \(.ok) ok, \(.refused) refused, \(.unknown) unknown, \(.bad) bad, p50 \(.p50_us / 1000) ms, p99 \(.p99_us / 1000) ms"' "$RUNDIR/demo.json"
failed_requests=$(jq '[.streams[] | .refused + .failed + .unknown + .bad] | add' "$RUNDIR/demo.json")
echo "  requests cut or refused: $failed_requests"

{
	zone_facts
	echo "{\"fact\":\"drain\",\"zone\":\"$DRAIN_ZONE\",\"from_us\":$now_us,\"to_us\":$((now_us + DEADLINE_S * 1000000 + 1000000)),\"cap_pct_s\":$CAP_PCT_S}"
} >"$RUNDIR/facts.jsonl"
sleep 0.5
"$DEPLOY_BIN/cassia-check" --history "$RUNDIR/demo.jsonl" --runs "$RUNDIR/runs.jsonl" --facts "$RUNDIR/facts.jsonl" >"$RUNDIR/check.txt"
tail -1 "$RUNDIR/check.txt"
grep -q 'violations 0$' "$RUNDIR/check.txt" || {
	head -40 "$RUNDIR/check.txt"
	die "a guarantee was violated"
}
[ "$failed_requests" -eq 0 ] || die "requests were cut or refused"

if [ "${KEEP:-}" = 1 ]; then
	trap - EXIT INT TERM
	print_heading "left running (KEEP=1)"
	for inst in "${INSTANCES[@]}"; do
		echo "  $inst: lookup http://$(inst_listed "$inst"):$LOOKUP_PORT  proxy http://$(inst_listed "$inst"):$PROXY_PORT  admin http://$(inst_listed "$inst"):$ADMIN_PORT"
	done
	echo "  store consul:http://127.$RUN.0.1:$STORE_PORT"
	echo "  servers' controls http://127.$RUN.0.2:$SERVERS_CONTROL/standin/stats"
	echo "  logs in $RUNDIR"
	echo "  stop it: kill \$(awk '{ print \$2 }' $RUNDIR/pids)"
else
	print_heading "stopping"
	deploy_stop
	trap - EXIT
fi
echo "demo: ok"
