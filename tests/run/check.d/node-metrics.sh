#!/usr/bin/env bash
# Guards against documentation that differs from the program: docs/metrics.md must list exactly the metrics
# that cassia-node exports, with their types and help texts.
. "$(dirname "$0")/../node-lib.sh"
# Some metrics are exported with workspaces only.
workspaces='{"name":"w","api-keys":["k"]}'
start_all
curl -sSf "http://127.$run.1.1:9464/metrics" >"$dir/metrics"
awk '/^# HELP / { n = $3; sub(/^# HELP [^ ]+ /, ""); help[n] = $0 } /^# TYPE / { print "`" $3 "` | " $4 " | " help[$3] }' "$dir/metrics" | sort >"$dir/exported"
sed -n 's/^| \(`cassia_node_[a-z_]*`\) | \([a-z]*\) | [a-z0-9]* | \(.*\) |$/\1 | \2 | \3/p' docs/metrics.md | sort >"$dir/documented"
ok "metrics are exported" [ -s "$dir/exported" ]
ok "docs/metrics.md lists the exported metrics" diff "$dir/exported" "$dir/documented"
finish
