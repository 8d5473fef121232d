#!/usr/bin/env bash
# Cost of control at the future size: two real agents (a zone's first relay and a plain member)
# among synthetic zones, with CURVE, local daemons and health polls.
# figures: control_cpu_pct control_mb control_kb_s
# ZONES, OWN, OTHER, SERVICES, WARM_S and MEASURE_S change the size and the times; SLOPES=1 adds the
# slopes from four smaller deployments. Bytes are payloads plus FRAME for each message (ZeroMQ and
# CURVE framing, TCP and IP headers), both directions, without the daemons of the same instance.
set -u
cd "$(dirname "$0")/../.."
bin=${BUILD:-build}/bin
FRAME=${FRAME:-110}
pub='d0$KY>ZzISX>]M^*1:<uxA7}{JnbVe8kx<LL8kPf'
sec='riwTyKg6Q4=V?TFTb2qt{Lhq*@*DxQY@*3jpT96I'
hz=$(getconf CLK_TCK)
tmp=$(mktemp -d)
pids=""

stop() {
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
trap 'stop; rm -rf "$tmp"' EXIT

metrics() { curl -sf --max-time 2 "http://$1:7003/metrics"; }
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
resident() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }

# traffic ADDRESS: bytes and messages with peers, both ways.
traffic() {
	metrics "$1" | awk -v f="$FRAME" '
		$1 == "cassia_peer_received_bytes_total" { b += $2 }
		$1 == "cassia_peer_received_total" { m += $2 }
		$1 ~ /^cassia_send_bytes_total/ { b += $2 }
		$1 ~ /^cassia_sends_total/ { m += $2 }
		END { printf "%d\n", b + m * f }'
}

# deployment ZONES OWN OTHER SERVICES: starts it and waits; sets $lead, $plain and their pids.
deployment() {
	local run=$((16 + RANDOM % 200)) names i
	net=127.$run
	world="--net=$net --store=http://$net.250.1:8500 --zones=$1 --own-members=$2 --other-members=$3 --services=$4"
	"$bin/standin-store" --address=$net.250.1 >"$tmp/store.log" 2>&1 &
	pids="$pids $!"
	sleep 0.3
	# shellcheck disable=SC2086
	CASSIA_CURVE_PUBLIC=$pub CASSIA_CURVE_SECRET=$sec "$bin/standin-zones" $world >"$tmp/zones.out" 2>"$tmp/zones.log" &
	zones_pid=$!
	pids="$pids $zones_pid"
	for _ in $(seq 300); do
		grep -q ready "$tmp/zones.out" && break
		sleep 0.1
	done
	grep -q ready "$tmp/zones.out" || { cat "$tmp/zones.log" >&2; exit 1; }
	# shellcheck disable=SC2086
	mapfile -t names < <("$bin/standin-zones" $world --plan=yes)
	for i in 0 1; do
		CASSIA_CURVE_PUBLIC=$pub CASSIA_CURVE_SECRET=$sec "$bin/cassia-agentd" --instance="${names[i]% *}" --zone=zone-00 \
			--address="${names[i]#* }" --store="consul:http://$net.250.1:8500" 2>"$tmp/agent-$i.log" &
		pids="$pids $!"
		agent[i]=$!
		addr[i]=${names[i]#* }
	done
	sleep "${WARM_S:-10}"
}

# measure: over MEASURE_S prints for both agents: cpu_pct mb kb_s
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

# one NAME ZONES OWN OTHER SERVICES: measures a deployment into $tmp/NAME.
one() {
	local name=$1
	shift
	deployment "$@"
	measure >"$tmp/$name"
	if [ "$name" = full ]; then
		[ -n "${TYPES:-}" ] && metrics "${addr[0]}" | grep -E "^cassia_(sends|send_bytes|peer|bus|store)" >&2
		detail
	fi
	stop
}

# Whether the state is whole, and what a change of the configuration costs.
detail() {
	local alive b
	alive=$(curl -sf "http://${addr[1]}:7003/v1/state" | grep -o '"state":"alive"' | wc -l)
	echo "control_members_alive $alive members"
	echo "control_store_calls_lead $(metrics "${addr[0]}" | awk '$1 == "cassia_store_calls_total" { print $2 }') calls"
	"$bin/standin-zones" $world --revision=2 >"$tmp/doc"
	echo "control_config_kb $(awk -v n="$(wc -c <"$tmp/doc")" 'BEGIN { printf "%.1f", n / 1024 }') KB"
	echo "control_list_kb $(curl -s "http://$net.250.1:8500/v1/health/service/cassia" | wc -c | awk '{ printf "%.1f", $1 / 1024 }') KB"
	b=$(traffic "${addr[0]}")
	curl -sf -X PUT "http://$net.250.1:8500/v1/kv/cassia/config" --data-binary @"$tmp/doc" >/dev/null
	sleep 3
	awk -v a="$b" -v b="$(traffic "${addr[0]}")" -v k="$(awk 'NR == 1 { print $3 }' "$tmp/full")" \
		'BEGIN { printf "control_change_kb %.1f KB\n", (b - a) / 1024 - 3 * k }'
	[ "$(metrics "${addr[1]}" | awk '$1 == "cassia_revision" { print $2 }')" = 2 ] || echo "control_change_lost 1 changes"
}

Z=${ZONES:-96} M=${OWN:-18} O=${OTHER:-18} S=${SERVICES:-4}
one full "$Z" "$M" "$O" "$S"
awk -v m="$M" 'NR == 1 { c = $1; r = $2; k = $3 } NR == 2 {
	printf "control_cpu_pct_relay %.3f %%\ncontrol_cpu_pct_member %.3f %%\n", c, $1
	printf "control_cpu_pct %.3f %%\n", (2 * c + (m - 2) * $1) / m
	printf "control_mb %.1f MB\n", (r > $2 ? r : $2)
	printf "control_kb_s_relay %.2f KB/s\ncontrol_kb_s_member %.2f KB/s\n", k, $3
	printf "control_kb_s %.2f KB/s\n", (2 * k + (m - 2) * $3) / m }' "$tmp/full"
[ "${SLOPES:-0}" = 1 ] || exit 0

# slope NAME STEP: change of the figures a unit, relay first.
slope() {
	paste -d' ' "$tmp/full" "$tmp/$1" | awk -v n="$1" -v d="$2" '{
		w = NR == 1 ? "relay" : "member"
		printf "control_cpu_pct_per_%s_%s %.5f %%\n", n, w, ($1 - $4) / d
		printf "control_mb_per_%s_%s %.5f MB\n", n, w, ($2 - $5) / d
		printf "control_kb_s_per_%s_%s %.4f KB/s\n", n, w, ($3 - $6) / d }'
}
one other_member "$Z" "$M" 9 "$S"
slope other_member $(((O - 9) * (Z - 1)))
one own_member "$Z" 9 "$O" "$S"
slope own_member $((M - 9))
one zone 48 "$M" "$O" "$S"
slope zone $((Z - 48))
one service "$Z" "$M" "$O" 1
slope service $((S - 1))
