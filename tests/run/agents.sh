# Shell library for tests that run cassia-agentd against standin-store. Source it, then call
# agents_setup. Each run uses its own loopback range 127.RUN.ZONE.N. All processes are stopped and
# temporary files removed when the script exits.
# shellcheck shell=bash
build=${BUILD:-build}
bin=$build/bin
pids=""

# Stops the processes that this script started.
agents_cleanup() {
	local p
	for p in $pids; do
		kill -CONT "$p" 2>/dev/null
		kill "$p" 2>/dev/null
	done
	for p in $pids; do
		for _ in 1 2 3 4 5 6 7 8 9 10; do
			kill -0 "$p" 2>/dev/null || break
			sleep 0.1
		done
		kill -KILL "$p" 2>/dev/null
	done
	wait 2>/dev/null
	[ "${KEEP_LOGS:-0}" = 1 ] || rm -rf "$tmp"
}

agents_setup() {
	run=$((16 + RANDOM % 200))
	net=127.$run
	tmp=$(mktemp -d)
	store=$net.250.1
	trap agents_cleanup EXIT
}

fail() {
	echo "FAILED: $*"
	tail -n 20 "$tmp"/*.log
	exit 1
}

start_store() {
	"$bin/standin-store" --address="$store" --port=8500 --control-port=8501 >"$tmp/store.log" 2>&1 &
	store_pid=$!
	pids="$pids $store_pid"
	wait_for 50 curl -sf -o /dev/null "http://$store:8501/standin/calls" || fail "standin-store did not start within 5 s"
}

# wait_for TENTHS COMMAND...: retries the command until it succeeds, at most TENTHS times at 100 ms intervals.
wait_for() {
	local n=$1 i
	shift
	for ((i = 0; i < n; i++)); do
		"$@" && return 0
		sleep 0.1
	done
	return 1
}

# register ZONE-NAME ZONE-NUMBER N [STATE]
register() {
	curl -sf -X PUT "http://$store:8500/v1/agent/service/register" -d "{\"ID\":\"$1-$3\",\"Name\":\"cassia\",
\"Address\":\"$net.$2.$3\",\"Port\":7001,\"Meta\":{\"zone\":\"$1\",\"state\":\"${4:-live}\",\"lookup_port\":\"7010\",
\"proxy_port\":\"7020\",\"bus_port\":\"7001\",\"admin_port\":\"7003\"}}" >/dev/null || fail "cannot register $1-$3"
}

# agent_run ZONE-NAME ZONE-NUMBER N [FLAGS...]: starts an agent and sets $agent_pid.
agent_run() {
	local zone=$1 zn=$2 n=$3
	shift 3
	"$bin/cassia-agentd" --instance="$zone-$n" --zone="$zone" --address="$net.$zn.$n" \
		--store="consul:http://$store:8500" "$@" >>"$tmp/$zone-$n.log" 2>&1 &
	agent_pid=$!
	pids="$pids $agent_pid"
}

# document REVISION [TEXT]: prints a configuration document with zones a and b in two regions.
document() {
	cat <<END
{"format":1,"deployment":"test","revision":$1,"changes":[{"id":"c-$1","revision":$1,"at":"2026-12-04T09:00:00Z","by":"test","text":"${2:-change $1}"}],
"network":{"zone_delay_ms":1,"region_delay_ms":20,"link_mbit_s":4000},
"regions":[{"name":"east"},{"name":"west"}],
"zones":[{"name":"a","region":"east","clients":["10.1.0.0/16"]},{"name":"b","region":"west","clients":["10.2.0.0/16"]}],
"services":[{"name":"orders","slots":6,"connections":390}],
"classes":[{"name":"pay","service":"orders","idempotent":false,"bulk":false,"latency_target_ms":400,"percentile":99,
"availability_pct":99.9,"headroom_pct":20,"max_body_kb":64,"timeout_ms":3000,"priority":1}],
"shift":{"cap_pct_s":5,"lookup_ttl_ms":2000},"drains":[]}
END
}

# put_config REVISION [TEXT]: writes the configuration document to the store.
put_config() {
	document "$@" | curl -sf -X PUT "http://$store:8500/v1/kv/cassia/config" --data-binary @- >/dev/null || fail "cannot write configuration revision $1 to the store"
}

# metric ADDRESS NAME: prints an agent's metric, 0 if absent.
metric() {
	curl -sf --max-time 1 "http://$1:7003/metrics" | awk -v n="$2" '$1 == n { v = $2 } END { print v + 0 }'
}

revision_is() {
	[ "$(metric "$1" cassia_revision)" = "$2" ]
}

# member_state ADDRESS INSTANCE: prints a member's state as reported by the agent at ADDRESS.
member_state() {
	curl -sf --max-time 1 "http://$1:7003/v1/state" | grep -o "\"name\":\"$2\"[^}]*" | sed 's/.*"state":"\([a-z]*\)".*/\1/'
}

state_is() {
	[ "$(member_state "$1" "$2")" = "$3" ]
}

is_ready() {
	curl -sf --max-time 1 -o /dev/null "http://$1:7003/readyz"
}
