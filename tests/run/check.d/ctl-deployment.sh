#!/usr/bin/env bash
# Guards against cassiactl commands that fail or report wrong values on a running deployment: reads
# during a store outage, a complete drain, rejection of a drain for lack of capacity, and burn rates.
set -u
cd "$(dirname "$0")/../../.."
. tests/run/deploy.sh
CAP_PCT_S=50 LOOKUP_TTL_MS=500
deploy_topology small
CLASSES=$(echo "$CLASSES" | jq -c '.timeout_ms = 4000 | .latency_target_ms = 200')
SERVER_BEHAVIOUR='{"service_ms":20}'
deploy_start
export CASSIA_STORE=consul:http://127.$RUN.0.1:$STORE_PORT CASSIA_BY=anna
ctl=$DEPLOY_BIN/cassiactl
agent=127.$RUN.1.10:$ADMIN_PORT

# expect CODE TEXT COMMAND...: runs cassiactl, checks the exit code and that the output has the text.
expect() {
	local code=$1 text=$2 rc
	shift 2
	"$ctl" "$@" >"$RUNDIR/out" 2>&1
	rc=$?
	[ $rc -eq "$code" ] && grep -q -- "$text" "$RUNDIR/out" && return
	cat "$RUNDIR/out"
	die "cassiactl $*: exit code $rc, expected $code with '$text'"
}

# wait_until SECONDS COMMAND...: retries the command until it succeeds; fails after SECONDS.
wait_until() {
	local end=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		[ $SECONDS -lt $end ] || {
			"$ctl" zones
			"$ctl" status
			"$ctl" locate status "127.$RUN.2.200"
			die "condition not met in time: $*"
		}
		sleep 0.2
	done
}

json() { "$ctl" "$@" --json; }
has_capacity() { [ "$(json zones | jq '[.[] | select(.capacity > 0)] | length')" = 4 ]; }

wait_until 15 has_capacity
expect 0 "4 listed, 4 answer, 4 ready, 0 at another revision" status
[ "$(json servers --service orders | jq length)" = 6 ] || die "cassiactl servers does not list all servers of orders"
expect 0 "orders" classes
expect 0 "nearest zone" locate status "127.$RUN.1.200"
first_zone_is() { [ "$(json locate status "$1" | jq -r '.entries[0].zone')" = "$2" ]; }
wait_until 15 first_zone_is "127.$RUN.1.200" north-a
wait_until 15 first_zone_is "127.$RUN.2.200" south-a
expect 1 "did you mean status?" locate statu "127.$RUN.1.200"

# Reads while the store is down are served by an instance.
store_control 'set?outage=refuse' >/dev/null
expect 6 "--instance IP:PORT" status
expect 0 "read from an instance" status --instance "$agent"
expect 0 '"deployment": "small"' show --instance "$agent"
expect 0 "north-a" zones --instance "$agent"
expect 0 "nearest zone" locate status "127.$RUN.1.200" --instance "$agent"
expect 6 "nothing was written" class set status priority=3 --instance "$agent"
store_control 'set?outage=none' >/dev/null

# Requests in north-a that all miss the 1 ms target use the error budget of their class only.
expect 0 "accepted" class set status latency_target_ms=1
wait_until 10 bash -c "'$ctl' status | grep -q '4 ready, 0 at another revision'"
sleep 1
seq 40 | xargs -P 4 -I{} curl -s -m 5 --interface "127.$RUN.1.200" -o /dev/null -H 'X-Cassia-Class: status' \
	"http://127.$RUN.1.10:$PROXY_PORT/{}"
json burn --samples 3 --interval 1 --html "$RUNDIR/burn.html" --record "$RUNDIR/burn.jsonl" >"$RUNDIR/burn.json" ||
	die "burn failed"
jq -e '.classes[] | select(.class == "status") | (.windows[-1].latency_burn > 50)
	and .zones["north-a"].requests == 40 and .zones["north-a"].within == 0' "$RUNDIR/burn.json" >/dev/null ||
	die "burn of status: $(jq -c '.classes[] | select(.class == "status")' "$RUNDIR/burn.json")"
jq -e '.classes[] | select(.class == "payments") | .windows[-1] | .requests == 0 and .latency_burn == 0' \
	"$RUNDIR/burn.json" >/dev/null || die "burn of payments is not 0"
[ "$(wc -l <"$RUNDIR/burn.jsonl")" = 3 ] || die "burn.jsonl does not have three samples"
if ! grep -q '<svg' "$RUNDIR/burn.html" || grep -qE 'src=|href=|NaN|nan' "$RUNDIR/burn.html"; then
	die "burn.html has no plot, loads external resources or contains NaN"
fi
expect 0 "all" top --interval 1 --samples 1
expect 0 "servers:" explain status --from north-a-1
expect 1 "no proxy knows" explain nosuch

# A drain for which the other zone lacks capacity is rejected with the shortfall: 24 requests run in both
# zones together, and the other zone has 24 slots less 20% headroom.
servers_control 'set?service=orders&service_ms=3000' >/dev/null || die "cannot slow the servers"
# Sends 6 requests to each instance in the background. Slot shares are smaller for some seconds after the
# start, so a burst may need to be repeated.
send_burst() {
	local inst n
	curls=()
	for inst in "${INSTANCES[@]}"; do
		for n in 1 2 3 4 5 6; do
			curl -s -m 8 --interface "127.$RUN.${INST_ZONE[$inst]}.200" -o /dev/null \
				-H 'X-Cassia-Class: payments' "http://${INST_ADDR[$inst]}:$PROXY_PORT/$n" &
			curls+=($!)
		done
	done
}
for try in 1 2 3 4; do
	send_burst
	sleep 1.5
	busy=$(json zones | jq '[.[] | select(.service == "orders") | .in_flight] | add')
	[ "$busy" -ge 20 ] && break
	[ "$try" = 4 ] && die "only $busy of 24 requests are in flight"
	wait "${curls[@]}"
done
expect 3 "capacity of service orders is short by" drain start north-a --deadline +60s
wait "${curls[@]}"
servers_control 'set?service=orders&service_ms=20' >/dev/null

# A drain that fits completes.
is_idle() { [ "$(json zones | jq '[.[].in_flight] | add')" = 0 ]; }
wait_until 10 is_idle
expect 3 "time is short by" drain start north-a --deadline +5s
expect 0 "accepted" drain start north-a --deadline +30s
expect 0 "ramping\|emptying" drain status
expect 0 "north-a done: 0% stays, 0 in flight" drain status north-a --wait
first_zone_is "127.$RUN.1.200" south-a ||
	die "the first lookup entry for a caller in the drained zone is in that zone"
expect 0 "accepted" drain cancel north-a
echo "ok"
