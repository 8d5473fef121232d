# Shared by the groups: starting one instance without relays, ratios, plans.
# shellcheck shell=bash
# shellcheck source=tests/run/deploy.sh
source "$(dirname "${BASH_SOURCE[0]}")/../run/deploy.sh"

# A proxy treats all servers as cold for 10 s after it starts; figures of the steady state wait for it.
WARM_S=10.5

# VALUE of an expression with three decimals.
calc() { awk "BEGIN { printf \"%.3f\", $1 }"; }

# JSON array of one service's server URLs.
server_urls() { jq -c --arg s "$1" '[.[] | select(.service == $s) | "http://\(.address):\(.port)"]' "$RUNDIR/servers.json"; }

# JSON array of the proxies' listed URLs.
proxy_urls() {
	local inst
	for inst in "${INSTANCES[@]}"; do
		echo "\"http://$(inst_listed "$inst"):$PROXY_PORT\""
	done | jq -sc .
}

# plan SECONDS CALLERS STREAM...: a plan for cassia-load.
plan() {
	local d=$1 callers=$2
	shift 2
	printf '%s\n' "$@" | jq -sc --argjson c "$callers" --argjson d "$d" '{duration_s:$d,callers:$c,streams:.}'
}

# Sum of one field of the servers' statistics: servers_sum FIELD [SERVICE].
servers_sum() { servers_control stats | jq --arg s "${2:-}" "[.[] | select(\$s == \"\" or .service == \$s) | .$1] | add"; }

# Removes a file of a finished run and prints the summaries to the group's log.
log_summaries() { cat "$RUNDIR"/*.json 2>/dev/null | grep -h '"streams":\[{"class":"[a-z]*","requests"' >&2; }
