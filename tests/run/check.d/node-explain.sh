#!/usr/bin/env bash
# Guards against failed requests whose cause cannot be determined from the logs: 200 requests fail in ways
# drawn from SEED, and cassiactl explain must name the right cause for at least 95 in 100. Also guards
# against a log reader that stops reading and so blocks the instance.
. "$(dirname "$0")/../node-lib.sh"
start_all
document 6 300
sleep 1

seed=${SEED:-1}
RANDOM=$seed
ctl=$build/bin/cassiactl
# Failure modes: path, request body if any, and the cause that explain must name.
failure_modes=(
	'/unsafe/x?mode=no-signature|x|answer_without_signature'
	'/unsafe/x?mode=wrong-id|x|another request'
	'/unsafe/x?mode=busy-ran|x|status_promises_not_run'
	'/unsafe/x?ms=700|x|deadline:'
	'/safe/x?mode=error||status 500'
	'/nowhere/||no_route:'
)
declare -A expected_cause
for n in $(seq 170); do
	IFS='|' read -r path body cause <<<"${failure_modes[RANDOM % ${#failure_modes[@]}]}"
	expected_cause[e$seed-$n]=$cause
	(id=e$seed-$n call $((RANDOM % 2 + 1)) "$path" ${body:+-d "$body"} >/dev/null) &
	[ $((n % 4)) -eq 0 ] && wait $(jobs -p)
done
wait $(jobs -p)
# A server that sheds load is not used for a while, so later requests may find no server: either cause is right.
for n in $(seq 171 200); do
	expected_cause[e$seed-$n]='did not run it|no_server:|overload:|budget:'
	id=e$seed-$n call $((RANDOM % 2 + 1)) '/unsafe/x?mode=shed' -d x >/dev/null
done
sleep 0.6
found=0
for id in "${!expected_cause[@]}"; do
	explanation=$("$ctl" explain "$id" --logs "$dir/node1.log" --logs "$dir/node2.log" 2>&1)
	if grep '^cause: ' <<<"$explanation" | grep -qE "${expected_cause[$id]}"; then
		found=$((found + 1))
	else
		echo "not explained: $id: expected cause ${expected_cause[$id]}, got: $(tail -n 1 <<<"$explanation")"
	fi
done
echo "seed $seed: $found of ${#expected_cause[@]} explained"
ok "at least 95 in 100 causes are right" [ $((found * 100)) -ge $((${#expected_cause[@]} * 95)) ]
ok "an id that is not in the logs is reported" has "$("$ctl" explain nobody --logs "$dir/node1.log" 2>&1)" 'no line about request nobody'
ok "an unreadable log file is named" has "$("$ctl" explain x --logs "$dir/none" 2>&1)" "$dir/none: No such file"

# A log reader that stops reading must not block the instance.
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
ok "a stopped log reader does not slow requests ($ms ms for 400 requests)" [ $ms -lt 5000 ]
ok "the instance is still ready" ready 1
kill "$reader" 2>/dev/null
finish
