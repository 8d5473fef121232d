#!/usr/bin/env bash
# The cause of a failed request must be found from the logs alone: 200 requests that fail in ways drawn from
# a seed, of which at least 95 in 100 must be explained by their true cause.
. "$(dirname "$0")/../node-lib.sh"
start_all
document 6 300
sleep 1

seed=${SEED:-1}
RANDOM=$seed
ctl=$build/bin/cassiactl
# Ways to fail: path, body or not, and the cause that explain has to name.
ways=(
	'/unsafe/x?mode=no-signature|x|answer_without_signature'
	'/unsafe/x?mode=wrong-id|x|another request'
	'/unsafe/x?mode=busy-ran|x|status_promises_not_run'
	'/unsafe/x?ms=700|x|deadline:'
	'/safe/x?mode=error||status 500'
	'/nowhere/||no_route:'
)
declare -A want
for n in $(seq 170); do
	IFS='|' read -r path body cause <<<"${ways[RANDOM % ${#ways[@]}]}"
	want[e$seed-$n]=$cause
	(id=e$seed-$n call $((RANDOM % 2 + 1)) "$path" ${body:+-d "$body"} >/dev/null) &
	[ $((n % 4)) -eq 0 ] && wait $(jobs -p)
done
wait $(jobs -p)
# Servers that shed rest for a while, so that what follows finds no server: both causes are true.
for n in $(seq 171 200); do
	want[e$seed-$n]='did not run it|no_server:|overload:|budget:'
	id=e$seed-$n call $((RANDOM % 2 + 1)) '/unsafe/x?mode=shed' -d x >/dev/null
done
sleep 0.6
found=0
for id in "${!want[@]}"; do
	story=$("$ctl" explain "$id" --logs "$dir/node1.log" --logs "$dir/node2.log" 2>&1)
	if grep '^cause: ' <<<"$story" | grep -qE "${want[$id]}"; then
		found=$((found + 1))
	else
		echo "not explained: $id wants ${want[$id]}: $(tail -n 1 <<<"$story")"
	fi
done
echo "seed $seed: $found of ${#want[@]} explained"
ok "at least 95 in 100 causes are found" [ $((found * 100)) -ge $((${#want[@]} * 95)) ]
ok "an id that is not in the logs is said so" has "$("$ctl" explain nobody --logs "$dir/node1.log" 2>&1)" 'no line about request nobody'
ok "a file that cannot be read is named" has "$("$ctl" explain x --logs "$dir/none" 2>&1)" "$dir/none: No such file"

# A reader of the log that stops reading must not slow the instance.
kill -9 "$pid_node1"
sleep 0.3
mkfifo "$dir/pipe"
sleep 60 <"$dir/pipe" &
reader=$!
pids="$pids $reader"
write_settings 1 z1
"${NODE:-$build/bin/cassia-node}" --settings "$dir/node1.json" >"$dir/pipe" 2>"$dir/node1.log" &
pids="$pids $!"
wait_for 10 ready 1
s=$(date +%s%N)
for n in $(seq 400); do echo "url = http://127.$run.1.1:8144/nowhere/$n"; done >"$dir/urls"
curl -sS --parallel -K "$dir/urls" -H "Host: h.example" >/dev/null 2>&1
ms=$((($(date +%s%N) - s) / 1000000))
ok "a log reader that stopped slows nothing ($ms ms for 400 requests)" [ $ms -lt 5000 ]
ok "the instance is still ready" ready 1
kill "$reader" 2>/dev/null
finish
