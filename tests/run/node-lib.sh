# Shell library for check.d/node-*.sh: runs standin-platform (the platform's store and four servers in two
# zones) and instances of cassia-node in the loopback range 127.RUN.0.0/16. Sourced, not run.
# shellcheck shell=bash
# shellcheck source=tests/run/proxy-lib.sh
. "$(dirname "${BASH_SOURCE[0]}")/proxy-lib.sh"
store=127.$run.9.1
control=http://$store:8142/control

# With $relay_addr set, the servers register that relay address instead of their own.
start_platform() {
	# shellcheck disable=SC2086
	start platform "$build/bin/standin-platform" "$store" 8142 ${relay_addr:-}
	wait_for 5 curl -sSf "$control/state" || echo "standin-platform did not answer within 5 s"
}

# write_settings N ZONE: writes the settings file of instance N, which listens at 127.RUN.N.1. With
# $store_relay_addr set, the instance reaches the store through that relay address.
write_settings() {
	cat >"$dir/node$1.json" <<-JSON
	{"node-name":"front-$2-$1","zone":"$2","region":"r$2","ip-address":"127.$run.$1.1",
	 "internal-port-range":[7660,7675],"zones":{"z1":"rz1","z2":"rz2"},
	 "listen":{"front":"127.$run.$1.1:8144","ready":"127.$run.$1.1:8140","directory":"127.$run.$1.1:8143"},
	 "limits":{"file-descriptors":1024},
	 "bounds":{"retry-budget-ratio":0.2,"budget-window-s":10,"budget-extra-retries":60,"max-shift":0.15,
	  "cold-overrun":1.5,"cold-slack":5,"ttl_max_s":5,"stable-window-ms":3000,"grace-period-s":6,
	  "revoke-everywhere":true,"revoke-ms":3000,"quota-window-s":2,"quota-overrun":0.1,"quota-slack":20},
	 "platform":{"address":"${store_relay_addr:-$store}:8142","min-ttl-ms":1000}}
	JSON
}

# start_node N ZONE: writes the settings of instance N and starts it.
start_node() {
	write_settings "$1" "$2"
	start "node$1" "${NODE:-$build/bin/cassia-node}" --settings "$dir/node$1.json" --metrics-port 9464
}

ready() { curl -sSf "http://127.$run.$1.1:8140/v1/readiness"; }

# document VERSION [TIMEOUT_MS]: stores the operators' document with a safe, an unsafe, an upload and a download route,
# and an idle timeout of $idle_ms. With $workspaces set, requests need a key of one of these.
document() {
	local timeout=${2:-1500} rows="" kind
	for kind in safe unsafe upload download; do
		rows="$rows${rows:+,}{\"name\":\"r-$kind\",\"host\":\"h.example\",\"prefix\":\"/$kind/\",\"kind\":\"$kind\",
		 \"timeout-ms\":$timeout,\"target-latency-ms\":400,\"priority\":1,\"service\":\"svc\",\"max-attempts\":2,
		 \"sticky-sessions\":true,\"home-regions\":[]}"
	done
	curl -sSf "$control/put?key=op/config" -d "{\"version\":\"r$1\",\"routes\":[$rows],
	 \"services\":[{\"name\":\"svc\",\"health-path\":\"/health\",\"connection-limit\":360,\"cold-start-s\":3.0,\"cold-per-s\":11.0}],
	 \"limits\":{\"idle-timeout-ms\":${idle_ms:-15000}}${workspaces:+,\"tenants\":[$workspaces]}}" >/dev/null
}

# call N PATH [CURL-ARGUMENTS...]: sends a request to instance N with $id as its id, or a new id if $id is
# unset; prints response headers and body.
call_n=0
call() {
	local n=$1 path=$2
	shift 2
	call_n=$((call_n + 1))
	curl -sS -i --max-time 8 "http://127.$run.$n.1:8144$path" -H 'Host: h.example' -H "Cassiascale-Attempt-Id: ${id:-id-$call_n}" \
		-H 'Cassiascale-Deadline-Milliseconds: 3000' "$@" 2>&1
}

# runs ID: prints how often the servers executed the request.
runs() { curl -sSf "$control/state?id=$1" | jq .runs; }

start_all() {
	start_platform
	document 5
	start_node 1 z1
	start_node 2 z2
	wait_for 10 ready 1 && wait_for 10 ready 2 || echo "an instance did not become ready within 10 s"
}

# start_faulty_only: starts standin-faulty and makes it the only server.
start_faulty_only() {
	local entry s
	start faulty "$build/bin/standin-faulty" "127.$run.8.1" 9000 "$dir/faulty.txt"
	entry=$(curl -sSf "http://$store:8142/v1/kv-range?prefix=servers/i-1" | jq -r ".items[0].value" | base64 -d)
	curl -sSf "$control/put?key=servers/i-9" -d "$(jq ".address = \"127.$run.8.1:9000\"" <<<"$entry")" >/dev/null
	for s in i-1 i-2 i-3 i-4; do curl -sSf "$control/delete?key=servers/$s" >/dev/null; done
	wait_for 8 only_faulty || echo "requests do not reach the faulty server"
}
# True if instance 1 has no other server than standin-faulty.
only_faulty() {
	local i
	for i in 1 2 3 4 5 6; do call 1 /safe/ok | grep -q '^ok' || return 1; done
}

# status PATH [CURL-ARGUMENTS...]: sends a request to instance 1; prints the status of the response and curl's
# exit code, and writes the body to $dir/body.
status() {
	local path=$1
	shift
	curl -sS -o "$dir/body" -w '%{http_code} %{exitcode}' --max-time 8 "http://127.$run.1.1:8144$path" \
		-H 'Host: h.example' -H "Cassiascale-Attempt-Id: s-$RANDOM$RANDOM" -H 'Cassiascale-Deadline-Milliseconds: 3000' "$@" 2>/dev/null
}

# start_relays: starts a relay in front of each of the $instances instances that delays by $delay_ms, and sets targets
# to the addresses of the instances and their relays.
start_relays() {
	local n rows=""
	targets=""
	for n in $(seq "$instances"); do
		rows="$rows${rows:+,}{\"address\":\"127.$run.8.$((10 + n))\",\"port\":8144,\"to_address\":\"127.$run.$n.1\",\"to_port\":8144,\"zone\":\"n$n\"}"
		targets="$targets${targets:+,}127.$run.$n.1:8144,127.$run.8.$((10 + n)):8144"
	done
	printf '{"listeners":[%s],"sources":[{"prefix":"127.","zone":"any"}],"links":[]}' "$rows" >"$dir/links.json"
	start links "$build/bin/standin-links" --list "$dir/links.json" --control-address "127.$run.8.2"
	wait_for 5 curl -sS "http://127.$run.8.2:8701/standin/stats"
	curl -sS "http://127.$run.8.2:8701/standin/link?ms=$delay_ms" >/dev/null
}

# Ends a check script: checks the instances' logs and exits with 1 if any check failed.
finish() {
	ok "no errors and no sanitizer reports in the logs" lacks "$(cat "$dir"/node*.log)" '^<[0-3]>|ERROR: (Address|Leak)Sanitizer|runtime error'
	exit $((failures > 0))
}
