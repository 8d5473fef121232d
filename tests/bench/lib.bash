# Helpers of the benchmark scripts: deployment, calculations, load plans.
# shellcheck shell=bash
# shellcheck source=tests/run/deploy.sh
source "$(dirname "${BASH_SOURCE[0]}")/../run/deploy.sh"

# A proxy treats all servers as cold for 10 s after its start; steady-state measurements start later.
WARM_S=10.5

# Prints the value of an expression with three decimals.
calc() { awk "BEGIN { printf \"%.3f\", $1 }"; }

# Prints a JSON array of the server URLs of a service.
server_urls() { jq -c --arg s "$1" '[.[] | select(.service == $s) | "http://\(.address):\(.port)"]' "$RUNDIR/servers.json"; }

# Prints a JSON array of the registered URLs of the proxies.
proxy_urls() {
	local inst
	for inst in "${INSTANCES[@]}"; do
		echo "\"http://$(inst_listed "$inst"):$PROXY_PORT\""
	done | jq -sc .
}

# plan SECONDS CALLERS STREAM...: prints a load plan for cassia-load.
plan() {
	local d=$1 callers=$2
	shift 2
	printf '%s\n' "$@" | jq -sc --argjson c "$callers" --argjson d "$d" '{duration_s:$d,callers:$c,streams:.}'
}

# servers_sum FIELD [SERVICE]: prints the sum of a field of the servers' statistics.
servers_sum() { servers_control stats | jq --arg s "${2:-}" "[.[] | select(\$s == \"\" or .service == \$s) | .$1] | add"; }

# Prints the summaries of all load runs to standard error.
log_summaries() { cat "$RUNDIR"/*.json 2>/dev/null | grep -h '"streams":\[{"class":"[a-z]*","requests"' >&2; }
