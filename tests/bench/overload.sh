#!/usr/bin/env bash
# figures: goodput_overload_pct goodput_overload_direct_pct
# Answers within the class's target at 1.5 and 3 times the servers' capacity, as part of the capacity;
# the lower of the two. 4 servers of 8 slots and 40 ms: 800 requests a second. The same load sent to
# the servers directly, which queue, is the baseline.
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

# Good answers a second in percent of the capacity, after 2 s of warm-up.
goodput() {
	plan 7 '[]' "{\"class\":\"status\",\"rate\":$(awk "BEGIN { print $CAPACITY * $1 }"),\"deadline_ms\":2000,\"direct\":$2}" | load_run "$3"
	jq -s --argjson t $TARGET_US --argjson c $CAPACITY '(map(.planned_us) | min + 2e6) as $from
		| map(select(.planned_us >= $from and .outcome == "ok" and .end_us - .planned_us <= $t)) | length / 5 / $c * 100' "$RUNDIR/$3.jsonl"
}

a=$(goodput 1.5 "$(proxy_urls)" o15)
b=$(goodput 3 "$(proxy_urls)" o30)
c=$(goodput 1.5 "$(server_urls orders)" d15)
log_summaries
echo "goodput at 1.5: $a, at 3: $b, direct at 1.5: $c" >&2
awk "BEGIN { printf \"goodput_overload_pct %.1f %%\n\", $a < $b ? $a : $b; printf \"goodput_overload_direct_pct %.1f %%\n\", $c }"
