# Shell library of the second review's scripts: runs the project's stand-in of the platform's store, servers and
# clients of the review, and instances of cassia-node in a loopback net 127.NET.0.0/16. Sourced, not run.
# shellcheck shell=bash
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
tools=$PWD/target/review-2/bin
# The command of deploy/system.toml, started in the root of the repository.
node_command=(target/build/bin/cassia-node --metrics-port 9464)
trouble=${TROUBLE:-1}
record=$case_dir/record.txt
: >"$record" || exit 2
work=$(mktemp -d) || exit 2
all_pids=""
declare -A pid

# is_child PID: true if it is a process of this script; the id of one that has ended may be in use again.
is_child() { grep -qs "^PPid:[[:space:]]*$$\$" "/proc/$1/status"; }

finish_all() {
	local p
	for p in $all_pids; do is_child "$p" && kill -9 "$p" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$work"
}
trap finish_all EXIT
trap 'exit 2' INT TERM HUP

now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }
note() { echo "$(now_ms) script $*" >>"$record"; }
cannot_run() {
	echo "cannot run: $*" | tee -a "$record"
	tail -n 5 "$work"/*.log 2>/dev/null
	exit 2
}

# launch NAME COMMAND...: starts a process; what it prints goes to the record, except that of instances.
launch() {
	local name=$1 out=$record
	shift
	case $name in node*) out=$work/$name.log ;; esac
	"$@" >>"$out" 2>>"$work/$name.err.log" &
	pid[$name]=$!
	all_pids="$all_pids $!"
	disown
}

# until_true SECONDS COMMAND...: repeats the command until it succeeds.
until_true() {
	local end=$(($(now_ms) + $1 * 1000))
	shift
	while ! "$@" >/dev/null 2>&1; do
		[ "$(now_ms)" -ge $end ] && return 1
		sleep 0.05
	done
}

running() { is_child "${pid[$1]}"; }
client() { "$tools/review2-client" "$@"; }
store_call() { client call "$store" 8142 "$@"; }
# put KEY VALUE: a write of an operator or a server, which the store accepts at once.
put() {
	store_call POST "/control/put?key=$1" "$2" >/dev/null || cannot_run "the store does not accept $1"
	note "store accepts $1 $2"
}
remove() {
	store_call POST "/control/delete?key=$1" >/dev/null || cannot_run "the store does not remove $1"
	note "store removes $1"
}

start_store() {
	local try n
	for try in 1 2 3 4 5 6; do
		net=$((RANDOM % 200 + 20))
		store=127.$net.9.1
		launch store "$tools/standin-platform" "$store" 8142
		# If another process has the address, this one ends at once.
		sleep 0.4
		running store && until_true 3 store_call GET "/v1/kv-range?prefix=op/" && break
	done
	running store || cannot_run "no store after $try tries"
	# Its own servers are not used.
	for n in 1 2 3 4; do store_call POST "/control/delete?key=servers/i-$n" >/dev/null; done
}

server_addr() { echo "127.$net.8.$1"; }
# start_server N SLOTS WORK_MS [OPTION...]: starts the process of server s-N.
start_server() {
	local n=$1
	shift
	launch "server$n" "$tools/review2-server" "$(server_addr "$n")" 9000 "s-$n" "$@"
	until_true 3 client call "$(server_addr "$n")" 9000 GET /health || cannot_run "server s-$n does not answer"
}
# entry N ZONE SLOTS STATE COLD_MS SEQUENCE BORN: the entry that server s-N writes.
entry() {
	local service=${service:-ritiri}
	echo "{\"service\":\"$service\",\"address\":\"$(server_addr "$1"):9000\",\"zone\":\"$2\",\"version\":\"v1\",\"slots\":$3,\"state\":\"$4\",\"cold-remaining-ms\":$5,\"sequence\":$6,\"born\":$7}"
}

# document VERSION: the operators' desired state.
document() {
	local routes="" k
	for k in safe unsafe; do
		routes="$routes${routes:+,}{\"name\":\"$k\",\"host\":\"h.example\",\"prefix\":\"/$k/\",\"kind\":\"$k\",\"service\":\"${service:-ritiri}\",\"timeout-ms\":1500,\"target-latency-ms\":400,\"priority\":1,\"max-attempts\":2}"
	done
	put op/config "{\"version\":\"r$1\",\"routes\":[$routes],\"services\":[{\"name\":\"${service:-ritiri}\",\"health-path\":\"/health\",\"connection-limit\":360,\"cold-start-s\":3.0,\"cold-per-s\":11.0}],\"limits\":{\"header-bytes\":16384,\"body-bytes\":1048576,\"header-timeout-ms\":5000,\"idle-timeout-ms\":15000}}"
}

node_addr() { echo "127.$net.$1.1"; }
# start_node N ZONE: with $store_via set, the instance reaches the store at that address. Starts an instance with the command of deploy/system.toml and the settings of a small deployment.
start_node() {
	local ip
	ip=$(node_addr "$1")
	cat >"$work/boot$1.json" <<-JSON
	{"node-name":"front-$2-$1","role":"node","machine-class":"front","serves":["front","directory"],"ip-address":"$ip",
	 "zone":"$2","region":"${region:-lombardia}","zones":${zones:-{\"lom-brescia\":\"lombardia\",\"lom-bergamo\":\"lombardia\"\}},
	 "internal-port-range":[7660,7675],"seeds":[],"bootstrap":true,"discovery":"platform","entry":"directory",
	 "heartbeat-interval-ms":1500,"contracts":["base","drain","config","cost","retry","recover","places","platform"],
	 "listen":{"front":"$ip:8144","ready":"$ip:8140","directory":"$ip:8143"},
	 "limits":{"cpu-share":0.2,"cpu-cores":1,"memory-mb":260,"file-descriptors":4100,"link-mbps":1000.0,"disk-mb":0},
	 "fault-tolerance":{"machines":2,"zones":1,"regions":1},
	 "bounds":{"seed-lag-s":3,"reuse-after-s":2,"stable-window-ms":3000,"acknowledge-ms":4000,"catch-up-s":4,"drain-ms":${drain_bound:-2500},
	  "grace-period-s":6,"lost-slack-ms":200,"configuration-apply-ms":${apply_bound:-2500},"rollback-slack-ms":250,"outer-bound-ms":5000,
	  "retry-budget-ratio":0.2,"budget-window-s":10,"budget-extra-retries":${extra_bound:-60},"cold-overrun":1.5,"cold-slack":5,
	  "evacuation-ms":5000,"recovery-s":15,"ttl_max_s":5,"max-shift":0.15},
	 "platform":{"address":"${store_via:-$store}:8142","form":"kv","writes-per-s":400,"reads-per-s":2000,"history-s":20,
	  "value-bytes":1048576,"min-ttl-ms":1000}}
	JSON
	CASSIASCALE_BOOT=$work/boot$1.json launch "node$1" "${node_command[@]}"
	note "instance $1 starts"
}
node_ready() { client call "$(node_addr "$1")" 8140 GET /v1/readiness; }
ready_all() {
	local n
	for n in "$@"; do until_true 8 node_ready "$n" || cannot_run "instance $n is not ready"; done
}

# cold_peak SERVER FROM MS: the most requests that were sent by clients and reached the server inside one second, which lies
# within MS after FROM.
cold_peak() {
	awk -v server="$1" -v from="$2" -v to=$(($2 + $3)) '$2 == "client" && $3 == "sends" {sent[$4] = $1}
		$2 == "server" && $3 == server && $4 == "gets" && $1 >= from && $1 < to {n++; at[n] = $1; began[n] = sent[$5]}
		END {for (i = 1; i <= n; i++) {
			begin = began[i] > from ? began[i] : from; count = 0
			for (k = 1; k <= n; k++) count += began[k] >= begin && at[k] < begin + 1000
			if (count > peak) peak = count
		} print peak + 0}' "$record"
}

# verdict BROKEN TEXT: ends the script.
verdict() {
	note "verdict: $2"
	echo "$2"
	local n
	for n in "${!pid[@]}"; do
		case $n in node*) ;; *) continue ;; esac
		[ -n "${KEEP_LOGS:-}" ] && cp "$work/$n"*.log "$KEEP_LOGS/"
	done
	exit "$1"
}
