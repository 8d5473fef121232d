#!/usr/bin/env bash
# Guards against violated guarantees under faults: runs a deployment under load with a fault schedule drawn
# from SEED and verifies the recorded history with cassia-check. Prints each fault as it is injected; the
# last line is "prove: seed N operations N violations N". KEEP_LOGS=1 keeps the records and prints their
# directory.
set -u
cd "$(dirname "$0")/../.."
# shellcheck source=tests/run/deploy.sh
source tests/run/deploy.sh

SEED=${SEED:-1}
DURATION_MS=40000
MIN_OPERATIONS=20000
MIN_FAULTS=15
RECOVERY_US=3000000 # time after a fault during which its effects are still excused
SERVER_BEHAVIOUR='{"service_ms":35,"jitter_pct":50,"straggler_pct":0.5,"straggler_factor":20}'
declare -A FAULT_START_US=()
faults=0

deploy_topology prove
deploy_start
facts=$RUNDIR/facts.jsonl
schedule=$("$DEPLOY_BIN/standin-planner" --seed "$SEED" --duration-ms $DURATION_MS \
	--instances "$(for i in "${INSTANCES[@]}"; do printf '%s:%s,' "$i" "$(zone_name "${INST_ZONE[$i]}")"; done)" \
	--servers "$(jq -r '.[] | select(.service == "orders") | "\(.name):\(.zone)"' "$RUNDIR/servers.json" | tr '\n' ',')")
[ -n "$schedule" ] || die "standin-planner printed no schedule"
zone_facts >"$facts"
# Offset between wall clock and monotonic clock, so that reading the time starts no process.
OFFSET=$((${EPOCHREALTIME/./} - $(clock_us)))
now_us() { NOW=$((${EPOCHREALTIME/./} - OFFSET)); }
fact() { echo "$1" >>"$facts"; }

signal_daemon() {
	local pid
	pid=$(pid_of "$2")
	[ -n "$pid" ] && pid_alive "$pid" && kill "-$1" "$pid"
}

ctl() {
	local agent
	agent=$(inst_listed "${INSTANCES[$((RANDOM % ${#INSTANCES[@]}))]}"):$ADMIN_PORT
	"$DEPLOY_BIN/cassiactl" --store "consul:http://$(store_addr):$STORE_PORT" --instance "$agent" --timeout-ms 2000 --json "$@" 2>/dev/null
}

# Records an accepted change as a fact; resolves an unknown outcome by the change id.
record_change() {
	local answer=$1 try
	for try in 1 2 3 4 5 6; do
		case $(jq -r '.result // ""' <<<"$answer" 2>/dev/null) in
		accepted)
			now_us
			fact "$(jq -c --argjson t "$NOW" '{fact:"accepted",name:.change,revision:.revision,from_us:$t}' <<<"$answer")"
			return 0
			;;
		unknown)
			sleep 0.5
			answer=$(ctl settle "$(jq -r .change <<<"$answer")")
			;;
		*) return 1 ;;
		esac
	done
	return 1
}

# Two operators change the same class concurrently.
make_concurrent_changes() {
	local n
	for n in 1 2; do
		{ record_change "$(ctl --by "operator-$n" class set status latency_target_ms=$((200 + RANDOM % 100)))"; } &
	done
	wait
}

start_drain() {
	local zone=$1 remaining_s=$2 answer try
	for try in 1 2 3 4 5 6; do
		now_us
		local start_us=$NOW
		answer=$(ctl drain start "$zone" --deadline "+$((remaining_s - try))s")
		if record_change "$answer"; then
			now_us
			fact "{\"fact\":\"drain\",\"zone\":\"$zone\",\"from_us\":$start_us,\"to_us\":$((NOW + (remaining_s - try) * 1000000 + 1000000)),\"cap_pct_s\":$CAP_PCT_S}"
			echo "drain of $zone accepted"
			return 0
		fi
		sleep 0.5
	done
	echo "drain of $zone was not accepted: $answer"
	touch "$RUNDIR/no-drain"
}

# Waits until a daemon has exited and sets LAST_ALIVE_US to the last time at which it was alive. Kills the
# daemon and marks the run as failed if it does not exit within 10 s.
wait_for_exit() {
	local pid i
	pid=$(pid_of "$1")
	now_us
	LAST_ALIVE_US=$NOW
	for ((i = 0; i < 1000; i++)); do
		now_us
		kill -0 "$pid" 2>/dev/null || return 0
		LAST_ALIVE_US=$NOW
		sleep 0.01
	done
	echo "$1 did not exit within 10 s"
	touch "$RUNDIR/stop-failed"
	kill -KILL "$pid"
}

# Rolling replacement: each instance of the zone is stopped as planned and started again.
replace_zone() {
	local inst from
	for inst in "${INSTANCES[@]}"; do
		[ "$(zone_name "${INST_ZONE[$inst]}")" = "$1" ] || continue
		now_us
		from=$NOW
		inst_register "$inst" leaving
		signal_daemon TERM "$inst/lookupd"
		signal_daemon TERM "$inst/proxyd"
		wait_for_exit "$inst/proxyd"
		# A request sent after the proxy has exited is not a cut request: its connection is refused. The
		# relay accepts before it connects, so the caller sees a reset instead.
		fact "{\"fact\":\"stop\",\"name\":\"$inst\",\"zone\":\"$1\",\"from_us\":$from,\"to_us\":$LAST_ALIVE_US}"
		wait_for_exit "$inst/lookupd"
		signal_daemon TERM "$inst/agentd"
		wait_for_exit "$inst/agentd"
		inst_deregister "$inst"
		sleep 0.3
		inst_register "$inst" live
		inst_start "$inst"
		wait_ready "$inst" || echo "$inst did not become ready after its replacement"
		echo "$inst replaced"
	done
}

links_mode() { links_control "link?from=$1&to=$2&both=1&mode=$3" >/dev/null; }
server_set() { servers_control "set?server=$1&$2" >/dev/null; }

begin_fault() {
	local kind=$1 target=$2 d
	case $kind in
	kill-instance) for d in agentd proxyd lookupd; do signal_daemon KILL "$target/$d"; done ;;
	kill-*) signal_daemon KILL "$target/${kind#kill-}" ;;
	stop-*) signal_daemon STOP "$target/${kind#stop-}" ;;
	cut-zone) links_mode "$target" '*' cut ;;
	hole-zone) links_mode "$target" '*' hole ;;
	hole-store) links_mode "$target" store hole ;;
	store-refuse) store_control 'set?outage=refuse' >/dev/null ;;
	store-hang) store_control 'set?outage=hang' >/dev/null ;;
	store-slow) store_control 'set?delay_ms=700' >/dev/null ;;
	store-lose) store_control 'set?lose=2' >/dev/null ;;
	store-stale) store_control 'set?stale=1' >/dev/null ;;
	reports-missing) servers_control 'set?report=3' >/dev/null ;;
	reports-false) servers_control 'set?report=2&report_in_flight=0&report_service_ms=1' >/dev/null ;;
	server-slow) server_set "$target" 'slow_factor=10' ;;
	server-down) server_set "$target" 'down=1' ;;
	server-refuse) server_set "$target" 'refuse_pct=100' ;;
	server-cold)
		server_set "$target" 'cold_factor=10&cold_runs=200'
		servers_control "cold?server=$target" >/dev/null
		;;
	server-truncate) server_set "$target" 'truncate_pct=20' ;;
	server-late) server_set "$target" 'late_pct=20&late_ms=1700' ;;
	server-leave) server_set "$target" 'state=2' ;;
	operators) make_concurrent_changes >>"$RUNDIR/operators.log" 2>&1 & ;;
	drain) start_drain "$target" "$3" & ;;
	replace) replace_zone "$target" & ;;
	*) die "unknown fault $kind" ;;
	esac
}

end_fault() {
	local kind=$1 target=$2
	case $kind in
	kill-instance) inst_start "$target" ;;
	kill-*) daemon_start "$target" "${kind#kill-}" ;;
	stop-*) signal_daemon CONT "$target/${kind#stop-}" ;;
	cut-zone | hole-zone) links_mode "$target" '*' ok ;;
	hole-store) links_mode "$target" store ok ;;
	store-refuse | store-hang) store_control 'set?outage=none' >/dev/null ;;
	store-slow) store_control 'set?delay_ms=0' >/dev/null ;;
	store-lose) store_control 'set?lose=0' >/dev/null ;;
	store-stale) store_control 'set?stale=0' >/dev/null ;;
	reports-*) servers_control 'set?report=0' >/dev/null ;;
	server-slow) server_set "$target" 'slow_factor=1' ;;
	server-down) server_set "$target" 'down=0' ;;
	server-refuse) server_set "$target" 'refuse_pct=0' ;;
	server-cold) server_set "$target" 'cold_runs=0' ;;
	server-truncate) server_set "$target" 'truncate_pct=0' ;;
	server-late) server_set "$target" 'late_pct=0' ;;
	server-leave) server_set "$target" 'state=0' ;;
	esac
}

# apply_schedule_entry AT_MS begin|end ID KIND TARGET ZONE EXCUSES: starts or ends one fault of the schedule.
apply_schedule_entry() {
	local at=$1 what=$2 id=$3 kind=$4 target=$5 zone=$6 excuses=$7
	[ "$zone" = - ] && zone=
	now_us
	if [ "$what" = begin ]; then
		echo "$((at / 1000)).$((at % 1000 / 100)) s: $kind $target"
		FAULT_START_US[$id]=$NOW
		faults=$((faults + 1))
		begin_fault "$kind" "$target" $(((DURATION_MS - at) / 1000 - 2))
		return
	fi
	end_fault "$kind" "$target"
	now_us
	[ "$excuses" != - ] && fact "{\"fact\":\"fault\",\"what\":\"$kind\",\"name\":\"$target\",\"zone\":\"$zone\",\"from_us\":${FAULT_START_US[$id]},\"to_us\":$((NOW + RECOVERY_US)),\"excuses\":\"$excuses\"}"
	return 0
}

probe_start "$RUNDIR/seen.jsonl" 100
load_start prove < <(jq -nc --argjson c "$(deploy_callers 2)" --argjson d $((DURATION_MS / 1000 + 1)) --argjson s "$SEED" '{seed:$s,duration_s:$d,callers:$c,streams:[
	{class:"status",rate:380,answer_bytes:500,deadline_ms:1500},
	{class:"payments",rate:160,idempotent:false,upload_bytes:200,deadline_ms:1500},
	{class:"photos",rate:10,upload_bytes:60000,deadline_ms:3000}]}')
now_us
start=$NOW
while read -r at rest; do
	now_us
	wait_us=$((start + at * 1000 - NOW))
	[ $wait_us -gt 0 ] && sleep "$(printf '%d.%06d' $((wait_us / 1000000)) $((wait_us % 1000000)))"
	# shellcheck disable=SC2086
	apply_schedule_entry "$at" $rest
done <<<"$schedule"
load_wait prove || die "cassia-load failed: $(tail -1 "$RUNDIR/load-prove.log")"

store_control 'set?outage=none&delay_ms=0&stale=0' >/dev/null
curl -sf -m 3 "http://127.$RUN.0.1:$STORE_PORT/v1/kv/cassia/config" | jq -r '.[0].Value' | base64 -d |
	jq -c '.changes[] | {fact:"final",name:.id}' >>"$facts"
for name in standin-probe standin-servers; do
	deploy_signal TERM $name
	wait "${PID[$name]}"
done
"$DEPLOY_BIN/cassia-check" --history "$RUNDIR/prove.jsonl" --runs "$RUNDIR/runs.jsonl" --facts "$facts,$RUNDIR/seen.jsonl,$RUNDIR/refused.jsonl" >"$RUNDIR/check.txt"
cat "$RUNDIR/check.txt"
jq -r '.streams[] | "\(.class): \(.requests) requests, \(.ok) ok, \(.refused) refused, \(.failed) failed, \(.unknown) unknown, \(.bad) bad"' "$RUNDIR/prove.json"
operations=$(sed -n 's/^check: operations \([0-9]*\) .*/\1/p' "$RUNDIR/check.txt")
violations=$(sed -n 's/^check: .* violations //p' "$RUNDIR/check.txt")
rc=0
[ -e "$RUNDIR/no-drain" ] && echo "the drain was not accepted" && rc=1
[ -e "$RUNDIR/stop-failed" ] && echo "a planned stop did not complete within 10 s" && rc=1
[ "${operations:-0}" -ge $MIN_OPERATIONS ] || { echo "fewer than $MIN_OPERATIONS operations" && rc=1; }
[ $faults -ge $MIN_FAULTS ] || { echo "fewer than $MIN_FAULTS faults" && rc=1; }
[ "${violations:-1}" -eq 0 ] || rc=1
[ -n "${KEEP_LOGS:-}" ] && echo "records in $RUNDIR"
echo "prove: seed $SEED operations ${operations:-0} violations ${violations:-unknown}"
exit $rc
