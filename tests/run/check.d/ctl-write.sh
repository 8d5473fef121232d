#!/usr/bin/env bash
# Guards against configuration changes that overwrite each other or are reported with the wrong outcome
# when the store's response is lost, and against exit codes that differ from the documentation.
set -u
cd "$(dirname "$0")/../../.."
. tests/run/deploy.sh
deploy_topology small
LINKS=0
RUNDIR=$(mktemp -d)
deploy_trap
deploy_store
deploy_config | jq '.changes = []' >"$RUNDIR/config.json"
export LC_ALL=C.UTF-8 CASSIA_STORE=consul:http://127.$RUN.0.1:$STORE_PORT CASSIA_BY=anna
ctl=$DEPLOY_BIN/cassiactl

# expect CODE TEXT COMMAND...: runs cassiactl, checks the exit code and that the output has the text.
expect() {
	local code=$1 text=$2 rc
	shift 2
	"$ctl" "$@" >"$RUNDIR/out" 2>&1
	rc=$?
	[ $rc -eq "$code" ] || {
		cat "$RUNDIR/out"
		die "cassiactl $*: exit code $rc, expected $code"
	}
	grep -q -- "$text" "$RUNDIR/out" || {
		cat "$RUNDIR/out"
		die "cassiactl $*: the output lacks '$text'"
	}
}

revision() { "$ctl" show --json | jq .revision; }

# Usage errors, missing configuration, creation.
expect 2 "did you mean drain?" drian start
expect 2 "usage: cassiactl settle" settle
expect 2 "timeout-ms: 5" --timeout-ms 5 show
expect 1 "no configuration" class set status priority=1
jq '.classes[0].latency_target_ms = 0' "$RUNDIR/config.json" >"$RUNDIR/bad.json"
expect 3 "classes\[0\].latency_target_ms: 0 is not allowed; allowed: integer 1 to 600000 ms" apply "$RUNDIR/bad.json"
expect 0 "accepted at revision 1" apply "$RUNDIR/config.json"
expect 0 "no difference" apply "$RUNDIR/config.json"

# Invalid values and names.
expect 0 "accepted at revision 2" class set status latency_target_ms=250
expect 3 "did you mean status?" class set statuss latency_target_ms=250
expect 3 "did you mean latency_target_ms?" class set status latency_target_m=250
expect 3 "100 to 60000\|1 to 600000" class set status latency_target_ms=0
expect 0 "no difference" class set status latency_target_ms=250
[ "$(revision)" = 2 ] || die "a rejected or empty change was written"

# A long text is truncated at a character boundary; an invalid UTF-8 record would hide the change id.
long=$(printf 'x%.0s' 1; printf 'é%.0s' $(seq 100))
"$ctl" show | jq '.classes[0].priority = 8' >"$RUNDIR/text.json"
expect 0 "accepted at revision 3" apply "$RUNDIR/text.json" --text "$long"
[ "$("$ctl" history --json | jq -r '.[0].text')" = "${long:0:80}" ] || die "the history lacks the text: $("$ctl" history)"
expect 0 "accepted at revision 4" class set status priority=2

# Applying an outdated file is a conflict that shows the changes made since.
jq '.classes[0].priority = 4' "$RUNDIR/config.json" >"$RUNDIR/old.json"
expect 4 "by anna at .*class status: latency_target_ms=250" apply "$RUNDIR/old.json"
[ "$(revision)" = 4 ] || die "a conflicting change was written"

# race CLASS KEY DELAY_MS: five concurrent operators. The store delays its responses, so that all read the
# same revision if they start within twice the delay.
race() {
	local i
	store_control "set?delay_ms=$3" >/dev/null
	for i in 1 2 3 4 5; do
		CASSIA_BY=op$i "$ctl" class set "${1/N/$i}" "$2=$((i + 3))" >"$RUNDIR/race$i" 2>&1 &
		race_pids[i]=$!
	done
	for i in 1 2 3 4 5; do
		wait "${race_pids[$i]}"
		codes[i]=$?
	done
	store_control 'set?delay_ms=0' >/dev/null
}
declare -a race_pids codes
race status priority 500
[ "$(printf '%s\n' "${codes[@]}" | sort | uniq -c | xargs)" = "1 0 4 4" ] ||
	die "five operators on one class: exit codes ${codes[*]}, expected one 0 and four 4"
grep -l "by op.*class status: priority" "$RUNDIR"/race? >/dev/null || die "the conflict does not show the other change"
[ "$(revision)" = 5 ] || die "five operators on one class: revision $(revision), expected 5"

jq '.classes = [range(1; 6) as $i | .classes[0] | .name = "class\($i)" | .priority = 1] + .classes' <("$ctl" show) >"$RUNDIR/five.json"
expect 0 "accepted at revision 6" apply "$RUNDIR/five.json"
race classN priority 200
[ "${codes[*]}" = "0 0 0 0 0" ] || die "five operators on five classes: exit codes ${codes[*]}, expected all 0"
[ "$(revision)" = 11 ] || die "five operators on five classes: revision $(revision), expected 11"
[ "$("$ctl" show --json | jq -c '[.classes[] | select(.name | startswith("class")) | .priority]')" = "[4,5,6,7,8]" ] ||
	die "five operators on five classes: a change was lost"

# A lost response is resolved by the change id, also after a store outage.
store_control 'set?lose=1' >/dev/null
expect 0 "accepted at revision 12" class set status priority=0
store_control 'set?delay_ms=500&lose=1' >/dev/null
"$ctl" --json --timeout-ms 1500 class set status priority=1 >"$RUNDIR/unknown" 2>&1 &
writer=$!
sleep 1.2
store_control 'set?outage=refuse' >/dev/null
wait $writer
rc=$?
[ $rc -eq 5 ] || die "lost answer and outage: exit code $rc, expected 5: $(cat "$RUNDIR/unknown")"
[ "$(jq -r .result "$RUNDIR/unknown")" = unknown ] || die "lost answer and outage: $(cat "$RUNDIR/unknown")"
change=$(jq -r .change "$RUNDIR/unknown")
expect 6 "store is unavailable" settle "$change"
expect 6 "nothing was written" class set status priority=9
store_control 'set?outage=none&delay_ms=0&lose=0' >/dev/null
expect 0 "took effect at revision 13" settle "$change"
expect 3 "cannot any more" settle c-12-0000000000000000
expect 5 "not taken effect so far" settle c-13-0000000000000000

# A store that accepts connections but does not answer: reads end after --timeout-ms.
store_control 'set?outage=hang' >/dev/null
start=${EPOCHREALTIME/./}
expect 6 "no answer within 500 ms" --timeout-ms 500 class set status priority=9
[ $((${EPOCHREALTIME/./} - start)) -lt 2000000 ] || die "the command took over 2 s with a store that does not answer"
store_control 'set?outage=none' >/dev/null

# Drains: rejection, replacement, cancellation.
expect 3 "time is short by" drain start north-a --deadline +5s
expect 3 "did you mean north-a?" drain start north-b --deadline +1h
expect 2 "deadline: \"soon\"" drain start north-a --deadline soon
expect 0 "accepted at revision 14" drain start north-a --deadline +1h
expect 3 "already drained" drain start north-a --deadline +2h
expect 0 "accepted at revision 15" drain start north-a --deadline +2h --replace
expect 3 "zones are short by 1" drain start south-a --deadline +1h
expect 0 "north-a" drain status
expect 0 "accepted at revision 16" drain cancel north-a
expect 3 "is not drained" drain cancel north-a

# A drain concurrent with a class change and with another drain of the same zone.
store_control 'set?delay_ms=500' >/dev/null
"$ctl" drain start north-a --deadline +1h >"$RUNDIR/race1" 2>&1 &
race_pids[1]=$!
"$ctl" class set photos priority=9 >"$RUNDIR/race2" 2>&1 &
race_pids[2]=$!
"$ctl" drain start north-a --deadline +2h >"$RUNDIR/race3" 2>&1 &
race_pids[3]=$!
for i in 1 2 3; do
	wait "${race_pids[$i]}"
	codes[i]=$?
done
store_control 'set?delay_ms=0' >/dev/null
[ "${codes[2]}" = 0 ] || die "class set concurrent with a drain: exit code ${codes[2]}, expected 0: $(cat "$RUNDIR/race2")"
[ "$(printf '%s\n' "${codes[1]}" "${codes[3]}" | sort | xargs)" = "0 4" ] ||
	die "two drains of one zone: exit codes ${codes[1]} ${codes[3]}, expected 0 and 4: $(cat "$RUNDIR/race1" "$RUNDIR/race3")"
[ "$("$ctl" show --json | jq '.drains | length')" = 1 ] || die "two drains of one zone were written"
[ "$("$ctl" history --json | jq length)" = 18 ] || die "the history does not contain every change exactly once"
echo "ok"
