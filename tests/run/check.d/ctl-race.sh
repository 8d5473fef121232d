#!/usr/bin/env bash
# Guards against configuration changes that are lost, written twice or reported with the wrong outcome
# when operators write concurrently and the store loses responses, is slow or is unavailable. Four
# operators make changes for some seconds, then every reported outcome is compared with the change
# history. SEED selects classes, values and faults.
set -u
cd "$(dirname "$0")/../../.."
. tests/run/deploy.sh
export LC_ALL=C.UTF-8
SEED=${SEED:-1}
ROUNDS=${ROUNDS:-7}
deploy_topology small
export LINKS=0
RUNDIR=$(mktemp -d)
deploy_trap
deploy_store
export CASSIA_STORE=consul:http://127.$RUN.0.1:$STORE_PORT
ctl=$DEPLOY_BIN/cassiactl
deploy_config | jq '.changes = []' >"$RUNDIR/config.json"
"$ctl" apply "$RUNDIR/config.json" >/dev/null || die "cannot create the configuration"

# operator NAME SEED: changes random classes and records one JSON line per change with exit code and
# outcome.
operator() {
	local class value out rc i tries
	RANDOM=$2
	i=0
	tries=0
	while [ $i -lt "$ROUNDS" ] && [ $tries -lt 100 ] && [ -e "$RUNDIR" ]; do
		tries=$((tries + 1))
		class=$(jq -r ".classes[$((RANDOM % 3))].name" "$RUNDIR/config.json")
		value=$((RANDOM % 10000 + 10000))
		out=$("$ctl" --json --by "$1" --timeout-ms 2000 class set "$class" timeout_ms=$value)
		rc=$?
		if [ $rc -eq 6 ]; then sleep 0.2; else i=$((i + 1)); fi
		jq -c --argjson rc $rc --arg class "$class" --argjson value $value '. + {rc: $rc, class: $class, value: $value}' <<<"$out" >>"$RUNDIR/$1.out" ||
			echo "{\"rc\":$rc,\"result\":\"unreadable\"}" >>"$RUNDIR/$1.out"
	done
}

declare -a operators
for n in 1 2 3 4; do
	operator "op$n" $((SEED * 100 + n)) &
	operators+=($!)
done
RANDOM=$SEED
operators_running() { kill -0 "${operators[@]}" 2>/dev/null; }
faults=0
end=$((SECONDS + 40))
while operators_running && [ $SECONDS -lt $end ]; do
	case $((RANDOM % 5)) in
	0) store_control "set?lose=$((RANDOM % 3 + 1))" ;;
	1) store_control "set?lose=1&delay_ms=$((RANDOM % 200))" ;;
	2) store_control 'set?outage=refuse' ;;
	3) store_control 'set?outage=hang' ;;
	4) store_control "set?lose=2&delay_ms=0" ;;
	esac >/dev/null
	faults=$((faults + 1))
	sleep "0.$((RANDOM % 5 + 2))"
	store_control 'set?outage=none' >/dev/null
	sleep "0.$((RANDOM % 7 + 3))"
done
wait "${operators[@]}"
store_control 'set?outage=none&lose=0&delay_ms=0' >/dev/null
sleep 0.5

"$ctl" show --json >"$RUNDIR/last.json" || die "the store does not answer after the faults"
cat "$RUNDIR"/op?.out | jq -sc '.' >"$RUNDIR/all.json"
# For an unknown outcome, settle must report whether the change is in the history.
while read -r id; do
	"$ctl" settle "$id" >"$RUNDIR/settle" 2>&1
	rc=$?
	recorded=$(jq --arg id "$id" '[.changes[] | select(.id == $id)] | length' "$RUNDIR/last.json")
	[ "$recorded" = 1 ] && [ $rc = 0 ] || { [ "$recorded" = 0 ] && [ $rc -ge 3 ]; } ||
		die "settle $id: exit code $rc, but the history has the change $recorded times"
done < <(jq -r '.[] | select(.rc == 5) | .change' "$RUNDIR/all.json")

mismatches=$(jq -c --slurpfile last "$RUNDIR/last.json" '
	$last[0] as $doc | [$doc.changes[].id] as $ids | . as $all |
	[ ($all[] | select(.rc == 0 and .change != null and (.change as $c | $ids | index($c) | not)) | {lost: .}),
	  ($all[] | select(.rc == 0 and .change != null and (.change as $c | .revision as $r | [$doc.changes[] | select(.id == $c and .revision != $r)] | length > 0)) | {revision: .}),
	  ($all[] | select(.rc as $rc | [0, 4, 5, 6] | index($rc) | not) | {exit: .}),
	  (if ($ids | unique | length) != ($ids | length) then {twice: $ids} else empty end),
	  (if [$doc.changes[].revision] != [range(1; $doc.revision + 1)] then {gaps: [$doc.changes[].revision]} else empty end),
	  ([$all[] | select(.rc == 0 and .change != null)] | length) as $accepted |
	  ([$all[] | select(.rc == 5 and (.change as $c | $ids | index($c)))] | length) as $found |
	  (if $accepted + $found + 1 != ($ids | length) then {records: ($ids | length), accepted: $accepted, unknown_found: $found} else empty end),
	  ($doc.classes[] | .name as $n | .timeout_ms as $t |
	   ([$doc.changes[] | select(.text | startswith("class \($n):"))] | last) as $c |
	   select($c != null and $c.text != "class \($n): timeout_ms=\($t)") | {class: $n, value: $t, last: $c.text}) ]' "$RUNDIR/all.json")
[ "$mismatches" = "[]" ] || die "seed $SEED: $mismatches"
echo "ok: seed $SEED, $faults faults, outcomes by exit code: $(jq -r 'group_by(.rc) | map("\(.[0].rc): \(length)") | join(", ")' "$RUNDIR/all.json")"
