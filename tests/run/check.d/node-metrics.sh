#!/usr/bin/env bash
# docs/metrics.md must name exactly the metrics that cassia-node serves, with their kinds and texts.
. "$(dirname "$0")/../node-lib.sh"
start_all
curl -sSf "http://127.$run.1.1:9464/metrics" >"$dir/metrics"
awk '/^# HELP / { n = $3; sub(/^# HELP [^ ]+ /, ""); help[n] = $0 } /^# TYPE / { print "`" $3 "` | " $4 " | " help[$3] }' "$dir/metrics" | sort >"$dir/served"
sed -n 's/^| \(`cassia_node_[a-z_]*`\) | \([a-z]*\) | [a-z0-9]* | \(.*\) |$/\1 | \2 | \3/p' docs/metrics.md | sort >"$dir/written"
ok "metrics are served" [ -s "$dir/served" ]
ok "docs/metrics.md names what is served" diff "$dir/served" "$dir/written"
finish
