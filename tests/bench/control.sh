#!/usr/bin/env bash
# Cost of the agents in a large deployment: two real agents (the first relay of a zone and a member that is
# not a relay) among simulated zones, with CURVE encryption, local daemons and health polls.
# figures: control_cpu_pct control_mb control_kb_s
# ZONES, OWN, OTHER, SERVICES, WARM_S and MEASURE_S set the size and the times. SLOPES=1 also prints the cost
# per zone, member and service, from four smaller deployments. Traffic is the payload in both directions plus
# FRAME bytes per message for ZeroMQ and CURVE framing and TCP and IP headers, without the traffic with the
# daemons of the same instance.
set -u
cd "$(dirname "$0")/../.."
bin=${BUILD:-build}/bin
FRAME=${FRAME:-110}
pub='d0$KY>ZzISX>]M^*1:<uxA7}{JnbVe8kx<LL8kPf'
sec='riwTyKg6Q4=V?TFTb2qt{Lhq*@*DxQY@*3jpT96I'
hz=$(getconf CLK_TCK)
tmp=$(mktemp -d)
pids=""

stop_deployment() {
	local p
	for p in $pids; do
		kill "$p" 2>/dev/null
	done
	for p in $pids; do
		for _ in $(seq 20); do
			kill -0 "$p" 2>/dev/null || break
			sleep 0.1
		done
		kill -KILL "$p" 2>/dev/null
		wait "$p" 2>/dev/null
	done
	pids=""
}
trap 'stop_deployment; rm -rf "$tmp"' EXIT

metrics() { curl -sf --max-time 2 "http://$1:7003/metrics"; }
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
resident() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }

# traffic ADDRESS: prints the bytes exchanged with peers.
traffic() {
	metrics "$1" | awk -v f="$FRAME" '
		$1 == "cassia_peer_received_bytes_total" { b += $2 }
		$1 == "cassia_peer_received_total" { m += $2 }
		$1 ~ /^cassia_send_bytes_total/ { b += $2 }
		$1 ~ /^cassia_sends_total/ { m += $2 }
		END { printf "%d\n", b + m * f }'
}

# start_deployment ZONES OWN OTHER SERVICES: sets agent[] and addr[] to the process ids and addresses of the
# real agents, the relay first, and waits until the deployment is warm.
start_deployment() {
	local run=$((16 + RANDOM % 200)) names i
	net=127.$run
	zones_options="--net=$net --store=http://$net.250.1:8500 --zones=$1 --own-members=$2 --other-members=$3 --services=$4"
	"$bin/standin-store" --address=$net.250.1 >"$tmp/store.log" 2>&1 &
	pids="$pids $!"
	sleep 0.3
	# shellcheck disable=SC2086
	CASSIA_CURVE_PUBLIC=$pub CASSIA_CURVE_SECRET=$sec "$bin/standin-zones" $zones_options >"$tmp/zones.out" 2>"$tmp/zones.log" &
	zones_pid=$!
	pids="$pids $zones_pid"
	for _ in $(seq 300); do
		grep -q ready "$tmp/zones.out" && break
		sleep 0.1
	done
	grep -q ready "$tmp/zones.out" || { cat "$tmp/zones.log" >&2; exit 1; }
	# shellcheck disable=SC2086
	mapfile -t names < <("$bin/standin-zones" $zones_options --plan=yes)
	for i in 0 1; do
		CASSIA_CURVE_PUBLIC=$pub CASSIA_CURVE_SECRET=$sec "$bin/cassia-agentd" --instance="${names[i]% *}" --zone=zone-00 \
			--address="${names[i]#* }" --store="consul:http://$net.250.1:8500" 2>"$tmp/agent-$i.log" &
		pids="$pids $!"
		agent[i]=$!
		addr[i]=${names[i]#* }
	done
	sleep "${WARM_S:-10}"
}

# Measures for MEASURE_S seconds and prints a line CPU_PCT MB KB_S for each agent.
measure() {
	local s=${MEASURE_S:-20} i
	for i in 0 1; do
		t0[i]=$(ticks "${agent[i]}")
		b0[i]=$(traffic "${addr[i]}")
	done
	sleep "$s"
	for i in 0 1; do
		t1=$(ticks "${agent[i]}")
		b1=$(traffic "${addr[i]}")
		awk -v t=$((t1 - t0[i])) -v hz="$hz" -v b=$((b1 - b0[i])) -v s="$s" -v r="$(resident "${agent[i]}")" \
			'BEGIN { printf "%.3f %.1f %.2f\n", 100 * t / hz / s, r / 1024, b / s / 1024 }'
	done
}

# measure_deployment NAME ZONES OWN OTHER SERVICES: measures a deployment and stores the result in $tmp/NAME.
measure_deployment() {
	local name=$1
	shift
	start_deployment "$@"
	measure >"$tmp/$name"
	if [ "$name" = full ]; then
		[ -n "${TYPES:-}" ] && metrics "${addr[0]}" | grep -E "^cassia_(sends|send_bytes|peer|bus|store)" >&2
		measure_change
	fi
	stop_deployment
}

# Checks that the state is complete and measures the traffic of a configuration change.
measure_change() {
	local alive b
	alive=$(curl -sf "http://${addr[1]}:7003/v1/state" | grep -o '"state":"alive"' | wc -l)
	echo "control_members_alive $alive members"
	echo "control_store_calls_lead $(metrics "${addr[0]}" | awk '$1 == "cassia_store_calls_total" { print $2 }') calls"
	"$bin/standin-zones" $zones_options --revision=2 >"$tmp/doc"
	echo "control_config_kb $(awk -v n="$(wc -c <"$tmp/doc")" 'BEGIN { printf "%.1f", n / 1024 }') KB"
	echo "control_list_kb $(curl -s "http://$net.250.1:8500/v1/health/service/cassia" | wc -c | awk '{ printf "%.1f", $1 / 1024 }') KB"
	b=$(traffic "${addr[0]}")
	curl -sf -X PUT "http://$net.250.1:8500/v1/kv/cassia/config" --data-binary @"$tmp/doc" >/dev/null
	sleep 3
	awk -v a="$b" -v b="$(traffic "${addr[0]}")" -v k="$(awk 'NR == 1 { print $3 }' "$tmp/full")" \
		'BEGIN { printf "control_change_kb %.1f KB\n", (b - a) / 1024 - 3 * k }'
	[ "$(metrics "${addr[1]}" | awk '$1 == "cassia_revision" { print $2 }')" = 2 ] || echo "control_change_lost 1 changes"
}

N_ZONES=${ZONES:-96} N_OWN=${OWN:-18} N_OTHER=${OTHER:-18} N_SERVICES=${SERVICES:-4}
measure_deployment full "$N_ZONES" "$N_OWN" "$N_OTHER" "$N_SERVICES"
awk -v m="$N_OWN" 'NR == 1 { c = $1; r = $2; k = $3 } NR == 2 {
	printf "control_cpu_pct_relay %.3f %%\ncontrol_cpu_pct_member %.3f %%\n", c, $1
	printf "control_cpu_pct %.3f %%\n", (2 * c + (m - 2) * $1) / m
	printf "control_mb %.1f MB\n", (r > $2 ? r : $2)
	printf "control_kb_s_relay %.2f KB/s\ncontrol_kb_s_member %.2f KB/s\n", k, $3
	printf "control_kb_s %.2f KB/s\n", (2 * k + (m - 2) * $3) / m }' "$tmp/full"
[ "${SLOPES:-0}" = 1 ] || exit 0

# slope NAME STEP: prints the cost per unit, for the relay and the member.
slope() {
	paste -d' ' "$tmp/full" "$tmp/$1" | awk -v n="$1" -v d="$2" '{
		w = NR == 1 ? "relay" : "member"
		printf "control_cpu_pct_per_%s_%s %.5f %%\n", n, w, ($1 - $4) / d
		printf "control_mb_per_%s_%s %.5f MB\n", n, w, ($2 - $5) / d
		printf "control_kb_s_per_%s_%s %.4f KB/s\n", n, w, ($3 - $6) / d }'
}
measure_deployment other_member "$N_ZONES" "$N_OWN" 9 "$N_SERVICES"
slope other_member $(((N_OTHER - 9) * (N_ZONES - 1)))
measure_deployment own_member "$N_ZONES" 9 "$N_OTHER" "$N_SERVICES"
slope own_member $((N_OWN - 9))
measure_deployment zone 48 "$N_OWN" "$N_OTHER" "$N_SERVICES"
slope zone $((N_ZONES - 48))
measure_deployment service "$N_ZONES" "$N_OWN" "$N_OTHER" 1
slope service $((N_SERVICES - 1))
