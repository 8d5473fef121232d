#!/usr/bin/env bash
# figures: goodput_overload_pct goodput_overload_direct_pct
# Goodput under overload: responses within the latency target of the class, in percent of the capacity, at
# 1.5 and 3 times the capacity; reports the lower one. 4 servers with 8 slots and 40 ms have a capacity of 800
# requests/s. The baseline sends 1.5 times the capacity directly to the servers, which queue it.
set -u
cd "$(dirname "$0")/../.."
source tests/bench/lib.bash
LINKS=0
PER_ZONE=2
ONE_SERVICES='orders:4:8:400'
CAPACITY=800
TARGET_US=400000
SERVER_BEHAVIOUR='{"service_ms":40,"jitter_pct":50}'
deploy_topology one
CLASSES=$(grep '"status"' <<<"$CLASSES" | sed 's/"latency_target_ms":200/"latency_target_ms":400/; s/"headroom_pct":20/"headroom_pct":0/')
deploy_start
sleep $WARM_S

# goodput FACTOR URLS NAME: prints the goodput in percent of the capacity, after a warm-up of 2 s.
goodput() {
	plan 7 '[]' "{\"class\":\"status\",\"rate\":$(awk "BEGIN { print $CAPACITY * $1 }"),\"deadline_ms\":2000,\"direct\":$2}" | load_run "$3"
	jq -s --argjson t $TARGET_US --argjson c $CAPACITY '(map(.planned_us) | min + 2e6) as $from
		| map(select(.planned_us >= $from and .outcome == "ok" and .end_us - .planned_us <= $t)) | length / 5 / $c * 100' "$RUNDIR/$3.jsonl"
}

a=$(goodput 1.5 "$(proxy_urls)" o15)
b=$(goodput 3 "$(proxy_urls)" o30)
c=$(goodput 1.5 "$(server_urls orders)" d15)
log_summaries
echo "goodput in % of capacity: $a at 1.5, $b at 3, $c direct at 1.5" >&2
awk "BEGIN { printf \"goodput_overload_pct %.1f %%\n\", $a < $b ? $a : $b; printf \"goodput_overload_direct_pct %.1f %%\n\", $c }"
