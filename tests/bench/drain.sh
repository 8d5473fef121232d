#!/usr/bin/env bash
# figures: drain_done_before_deadline_s drain_cut drain_over_cap over_cap drain_p99_ratio headroom_min_pct headroom_target_pct
# Drains a zone of the Tembaga topology under load from all zones. over_cap counts all violations of the cap
# rule that the history checker reports, drain_over_cap those for the drained zone. drain_p99_ratio compares
# the p99 latency of small requests during the drain to that of the 3 s before it. headroom_min_pct is the
# lowest percentage of free slots of the order-desk service in any receiving zone, as a moving average over
# one second of samples taken every 200 ms.
set -u
cd "$(dirname "$0")/../.."
source tests/bench/lib.bash
CAP_PCT_S=20
LOOKUP_TTL_MS=1000
DEADLINE_S=24
DRAINED=north-a
SERVER_BEHAVIOUR='{"service_ms":40,"jitter_pct":50}'
deploy_topology tembaga
CLASSES=$(sed 's/"timeout_ms":10000/"timeout_ms":4000/; s/"latency_target_ms":5000/"latency_target_ms":3000/' <<<"$CLASSES")
deploy_start
sleep $WARM_S
callers=$(deploy_callers 2)
# 22 servers with 6 slots and 40 ms have a capacity of 3,300 requests/s; the load is 40% of it.
load_start drain < <(plan $((DEADLINE_S + 8)) "$callers" '{"class":"status","rate":900,"deadline_ms":2000}' \
	'{"class":"payments","rate":420,"idempotent":false,"upload_bytes":200,"deadline_ms":3000}' \
	'{"class":"photos","rate":8,"upload_bytes":100000,"deadline_ms":4000}')
sleep 4
start=$(clock_us)
"$DEPLOY_BIN/cassiactl" --store "consul:http://127.$RUN.0.1:$STORE_PORT" --instance "$(inst_listed north-b-1):$ADMIN_PORT" \
	drain start $DRAINED --deadline "+${DEADLINE_S}s" >&2 || die "cassiactl could not start the drain"
accepted=$(clock_us)
deadline=$((accepted + DEADLINE_S * 1000000 + 1000000))
: >"$RUNDIR/free.txt"
while [ "$(clock_us)" -lt "$deadline" ]; do
	servers_control stats | jq -r --arg z $DRAINED '[.[] | select(.service == "order-desk" and .zone != $z)] | group_by(.zone)
		| map([.[0].zone, 100 * (1 - (map(.present) | add) / (length * 6))] | join(" ")) | join(" ")' >>"$RUNDIR/free.txt"
	sleep 0.2
done
load_wait drain
sleep 0.3
{
	zone_facts
	echo "{\"fact\":\"drain\",\"zone\":\"$DRAINED\",\"from_us\":$start,\"to_us\":$deadline,\"cap_pct_s\":$CAP_PCT_S}"
} >"$RUNDIR/facts.jsonl"
"$DEPLOY_BIN/cassia-check" --history "$RUNDIR/drain.jsonl" --runs "$RUNDIR/runs.jsonl" --facts "$RUNDIR/facts.jsonl" >"$RUNDIR/check.txt"
cat "$RUNDIR/check.txt" >&2
log_summaries
last=$(grep -h "\"zone\":\"$DRAINED\"" "$RUNDIR/runs.jsonl" | jq -s 'map(select(.id != null and .outcome != "refused") | .end_us) | max')
cut=$(jq '[.streams[] | .refused + .failed + .unknown + .bad] | add' "$RUNDIR/drain.json")
# p99 FROM_US TO_US: p99 latency of the small requests in an interval.
p99() { jq -s --argjson f "$1" --argjson t "$2" 'map(select(.class == "status" and .outcome == "ok" and .planned_us >= $f and .planned_us < $t) | .end_us - .planned_us) | sort | .[length * 0.99 | floor]' "$RUNDIR/drain.jsonl"; }
before=$(p99 $((start - 3000000)) "$start")
during=$(p99 "$start" "$deadline")
min_free=$(awk '{ for (i = 1; i < NF; i += 2) { z = $i; v = $(i + 1); k = n[z]++; h[z, k] = v; if (k >= 4) { s = 0; for (j = k - 4; j <= k; j++) s += h[z, j]; s /= 5; if (min == "" || s < min) min = s } } } END { print min }' "$RUNDIR/free.txt")
over=$(sed -n 's/^rule cap: violations //p' "$RUNDIR/check.txt")

echo "drain_done_before_deadline_s $(calc "($deadline - 1000000 - $last) / 1e6") s"
echo "drain_cut $cut 1"
echo "drain_over_cap $over 1"
echo "over_cap $over 1"
echo "drain_p99_ratio $(calc "$during / $before") 1"
printf 'headroom_min_pct %.1f %%\n' "$min_free"
echo "headroom_target_pct 25 %"
