# Shell library of the review's scripts: runs the project's stand-in of the platform's store, servers of the
# review and instances of cassia-node on loopback addresses 127.NET.x.y. Sourced, not run.
# shellcheck shell=bash
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
bin=$PWD/target/review/bin
node_bin=$PWD/target/build/bin/cassia-node
trouble=${TROUBLE:-1}
record=$here/record.txt
: >"$record" || exit 2
dir=$(mktemp -d) || exit 2
pids=""
disown_quietly() { disown 2>/dev/null; }

cleanup() {
	# shellcheck disable=SC2086
	[ -n "$pids" ] && kill -9 $pids 2>/dev/null
	# Clients that are still running.
	# shellcheck disable=SC2046
	kill -9 $(jobs -p) 2>/dev/null
	wait 2>/dev/null
	rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

# cannot_run REASON: ends the script with 2.
cannot_run() {
	echo "cannot run: $1" | tee -a "$record"
	cat "$dir"/*.log 2>/dev/null | tail -20
	exit 2
}

# start NAME COMMAND...: starts a program with its output in NAME.log and its process id in pid_NAME.
start() {
	local name=$1
	shift
	"$@" >>"$dir/$name.log" 2>&1 &
	eval "pid_$name=$!"
	pids="$pids $!"
	disown_quietly
}

# start_recorded NAME COMMAND...: the same, with its output in record.txt.
start_recorded() {
	local name=$1
	shift
	"$@" >>"$record" 2>>"$dir/$name.log" &
	eval "pid_$name=$!"
	pids="$pids $!"
	disown_quietly
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds; fails after SECONDS.
wait_for() {
	local end=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		[ $SECONDS -ge $end ] && return 1
		sleep 0.05
	done
}

call() { "$bin/review-client" call "$@"; }
alive() { kill -0 "$1" 2>/dev/null; }
store_call() { call "$store" 8142 "$@"; }
put() { store_call POST "/control/put?key=$1" "$2" >/dev/null; }

# start_store: starts the store in a net 127.NET.0.0/16 whose ports are free.
start_store() {
	local try
	for try in 1 2 3 4 5 6 7 8; do
		net=$((RANDOM % 200 + 20))
		store=127.$net.9.1
		start store "$bin/standin-platform" "$store" 8142
		sleep 0.3
		# shellcheck disable=SC2154
		alive "$pid_store" && wait_for 5 store_call GET "/v1/kv-range?prefix=op/" && break
	done
	store_call GET "/v1/kv-range?prefix=op/" >/dev/null || cannot_run "no store after $try tries"
	# Its own servers are not used.
	for try in 1 2 3 4; do store_call POST "/control/delete?key=servers/i-$try" >/dev/null; done
}

# start_server N ZONE [COLD_MS]: starts server s-N of the service ritiri and writes its entry. It is cold for COLD_MS.
start_server() {
	local addr=127.$net.8.$1
	start_recorded "server$1" "$bin/review-server" "$addr" 9000 "s-$1" "${3:-0}"
	wait_for 5 call "$addr" 9000 GET /health || cannot_run "server s-$1 does not answer"
	put "servers/s-$1" "{\"service\":\"ritiri\",\"address\":\"$addr:9000\",\"zone\":\"$2\",\"version\":\"v1\",\"slots\":9,
	 \"state\":\"ready\",\"cold-remaining-ms\":${3:-0},\"sequence\":1,\"born\":$((${EPOCHREALTIME/./} / 1000))}"
}

# start_node N ZONE: starts instance N with the command of deploy/system.toml.
start_node() {
	local ip=127.$net.$1.1 region=lombardia
	cat >"$dir/boot$1.json" <<-JSON
	{"node-name":"front-$2-$1","role":"node","machine-class":"front","serves":["front","directory"],"ip-address":"$ip",
	 "zone":"$2","region":"$region","zones":{"lom-brescia":"lombardia","lom-bergamo":"lombardia"},
	 "listen":{"front":"$ip:8144","ready":"$ip:8140","directory":"$ip:8143"},"internal-port-range":[7660,7675],
	 "seeds":[],"bootstrap":true,"count-toward-tolerance":false,
	 "limits":{"cpu-share":0.2,"cpu-cores":1,"memory-mb":260,"file-descriptors":4100,"link-mbps":1000.0,"disk-mb":0},
	 "discovery":"platform","entry":"directory","heartbeat-interval-ms":1500,
	 "contracts":["base","drain","config","cost","retry","recover","places","platform"],
	 "fault-tolerance":{"machines":2,"zones":1,"regions":1},
	 "bounds":{"seed-lag-s":3,"reuse-after-s":2,"stable-window-ms":3000,"acknowledge-ms":4000,"catch-up-s":4,
	  "drain-ms":2500,"grace-period-s":6,"lost-slack-ms":200,"configuration-apply-ms":2500,"rollback-slack-ms":250,
	  "outer-bound-ms":5000,"retry-budget-ratio":0.2,"budget-window-s":10,"budget-extra-retries":60,
	  "cold-overrun":1.5,"cold-slack":5,"evacuation-ms":5000,"recovery-s":15,"ttl_max_s":5,"max-shift":0.15},
	 "platform":{"address":"$store:8142","form":"kv","writes-per-s":400,"reads-per-s":2000,"history-s":20,
	  "value-bytes":1048576,"min-ttl-ms":1000}}
	JSON
	CASSIASCALE_BOOT=$dir/boot$1.json start "node$1" "$node_bin" --metrics-port 9464
}

ready() { call "127.$net.$1.1" 8140 GET /v1/readiness; }

# start_system [INSTANCES [SERVERS]]: the store, the desired state, two servers and three instances, or as many as are
# given, as in one region of rinnova-hub.
start_system() {
	local kind n routes="" instances=${1:-3} servers=${2:-2} zones=(lom-bergamo lom-brescia)
	[ -x "$node_bin" ] && [ -x "$bin/review-server" ] || cannot_run "programs are missing; run the build of the deploy file and review/build.sh"
	start_store
	for kind in safe unsafe upload; do
		routes="$routes${routes:+,}{\"name\":\"r-$kind\",\"host\":\"h.example\",\"prefix\":\"/$kind/\",\"kind\":\"$kind\",
		 \"target-latency-ms\":400,\"priority\":1,\"service\":\"ritiri\",\"max-attempts\":2,\"sticky-sessions\":false,\"home-regions\":[]}"
	done
	put op/config "{\"version\":\"r7\",\"routes\":[$routes],\"services\":[{\"name\":\"ritiri\",\"health-path\":\"/health\",
	 \"connection-limit\":360,\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":3.0,\"cold-per-s\":11.0}],
	 \"limits\":{\"header-bytes\":16384,\"body-bytes\":67108864,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}" ||
		cannot_run "the desired state was not accepted"
	for n in $(seq "$servers"); do start_server "$n" "${zones[n % 2]}"; done
	for n in $(seq "$instances"); do start_node "$n" "${zones[n % 2]}"; done
	for n in $(seq "$instances"); do wait_for 10 ready "$n" || cannot_run "instance $n is not ready"; done
	sleep 1
}

# send N METHOD TARGET ID BUDGET_MS BYTES FRAMING PACE_MS WAIT_MS: sends a request to instance N.
send() {
	local n=$1
	shift
	"$bin/review-client" send "127.$net.$n.1" 8144 "$@" >>"$record"
}

# load N TARGET PREFIX PER_S FOR_MS: sends requests to instance N, with a time budget of 2.5 s.
load() { "$bin/review-client" load "127.$net.$1.1" 8144 GET "$2" "$3" 2500 "$4" "$5" >>"$record"; }

# field NAME LINE: value of a field of a line of record.txt.
field() { sed -n "s/.*[ ]$1=\([^ ]*\).*/\1/p" <<<"$2"; }

# verdict BROKEN TEXT: ends the script with 1 if BROKEN is over 0, or else with 0.
verdict() {
	echo "verdict: trouble=$trouble broken=$1 $2" | tee -a "$record"
	[ "$1" -gt 0 ] && exit 1
	exit 0
}
