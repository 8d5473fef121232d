#!/usr/bin/env bash
# Stops and restarts INSTANCES processes of cassia-node in series, GAP s apart, for SECONDS_LONG seconds, while clients
# send PER_S requests per second to all of them on new and kept connections, half of them over a relay with a delay.
# Guards against a planned stop after which a request that a server ran has no complete answer, or is answered by the
# instance in the server's place, against refusals of requests that ran, and against answers to other requests.
# A request whose client or route waited no longer, or that was sent no later than 3 s after the signal and was still
# at work in the last sixth of the grace period, may end without the server's answer.
. "$(dirname "${BASH_SOURCE[0]}")/node-lib.sh"
seed=${SEED:-1}
duration_s=${SECONDS_LONG:-20}
instances=${INSTANCES:-3}
per_s=${PER_S:-50}
gap=${GAP:-3}
delay_ms=8
grace_ms=6000
route_timeout_ms=5000

start_relays
# Room for about three quarters of the default load.
export SLOTS=${SLOTS:-8}
start_platform
document 6 $route_timeout_ms
# supervise N: runs instance N, and starts it again when it ends, as the platform does.
supervise() {
	until [ -e "$dir/stop" ]; do
		"${NODE:-$build/bin/cassia-node}" --settings "$dir/node$1.json" --metrics-port 9464 >>"$dir/node$1.log" 2>&1 &
		echo $! >"$dir/pid$1"
		wait $!
		sleep 0.2
	done
}
for n in $(seq "$instances"); do
	write_settings "$n" "z$(((n - 1) % 2 + 1))"
	supervise "$n" &
	pids="$pids $!"
done
# Ends the instances as well, whose supervisors have ended by then.
end_instances() {
	touch "$dir/stop"
	# shellcheck disable=SC2046
	kill -9 $(cat "$dir"/pid*) 2>/dev/null
	cleanup 2>/dev/null
}
trap end_instances EXIT
for n in $(seq "$instances"); do wait_for 10 ready "$n" || echo "instance $n did not become ready within 10 s"; done
sleep 1

now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }
# stop_node N: sends SIGTERM if the instance is ready, and SIGKILL after the grace period.
stop_node() {
	local pid end
	pid=$(cat "$dir/pid$1")
	ready "$1" >/dev/null 2>&1 || return
	echo "$1 $(now_ms)" >>"$dir/stops"
	kill -TERM "$pid"
	end=$((SECONDS + grace_ms / 1000 + 1))
	while kill -0 "$pid" 2>/dev/null && [ $SECONDS -lt $end ]; do sleep 0.05; done
	kill -0 "$pid" 2>/dev/null && echo "$1 $(now_ms)" >>"$dir/overdue" && kill -KILL "$pid"
}

"$build/bin/standin-clients" --targets "$targets" --per-s "$per_s" --seconds "$duration_s" --seed "$seed" >"$dir/history" &
clients=$!
pids="$pids $clients"
RANDOM=$seed
touch "$dir/stops"
end=$((SECONDS + duration_s - 8))
n=0
while [ $SECONDS -lt $end ]; do
	n=$((n % instances + 1))
	stop_node "$n" &
	sleep "$gap.$((RANDOM % 10))"
done
wait $clients

# Fields of a line of the history: ID KIND CONNECTION TARGET BEGIN SENT END STATUS COMPLETE OWN REASON.
# suspects: prints the requests that may break a rule with the time from the signal to their end, -1 without a stop.
suspects() {
	awk -v grace=$grace_ms '
		NR == FNR { stops[$1] = stops[$1] " " $2; next }
		$9 == 1 && $10 == 1 && $8 < 500 { next }
		# Never written whole: servers get no request whose body is incomplete.
		$9 == 0 && $6 == 0 { next }
		{
			count = split(stops[int($4 / 2) + 1], t, " ")
			since = -1
			for (i = 1; i <= count; i++)
				if ($7 >= t[i] && $5 <= t[i] + grace + 1000)
					since = t[i]
			print $0, since
		}' "$dir/stops" "$dir/history"
}
deadline_of() {
	case $1 in
	look) echo 3000 ;;
	*) echo 4000 ;;
	esac
}
# judge: prints the requests that break a rule.
judge() {
	local id kind connection target begin sent end status complete own reason stop ran limit
	while read -r id kind connection target begin sent end status complete own reason stop; do
		limit=$(deadline_of "$kind")
		[ "$kind" = history ] && limit=$route_timeout_ms
		if [ "$complete" = 1 ] && [ "$own" = 0 ]; then
			echo "answer to another request: $id $kind $connection status=$status"
			continue
		fi
		ran=$(runs "$id")
		if [ "$complete" = 1 ] && [ "$status" = 503 ]; then
			[ "$ran" = 0 ] || echo "untrue refusal: $id $kind $connection"
			continue
		fi
		# The caller or the route waited no longer.
		[ $((end - begin)) -ge $((limit - 100)) ] && continue
		# A request that crosses the close of its connection.
		[ "$complete" = 0 ] && [ "$ran" = 0 ] && [ $((end - sent)) -le $((200 + 2 * delay_ms)) ] && continue
		# Sent no later than 3 s after the signal, and at work in the last sixth of the grace period.
		[ "$stop" != -1 ] && [ "$begin" -le $((stop + 3000)) ] && [ "$end" -ge $((stop + grace_ms * 5 / 6)) ] && [ "$ran" -gt 0 ] && continue
		echo "no whole answer: $id $kind $connection target=$target status=$status complete=$complete reason=$reason ran=$ran" \
			"after_ms=$((end - begin)) begin=$((stop == -1 ? -1 : begin - stop)) end=$((stop == -1 ? -1 : end - stop))"
		grep -h " id=$id " "$dir"/node*.log
	done < <(suspects)
}
judge >"$dir/broken"
cat "$dir/broken"
n_stops=$(wc -l <"$dir/stops")
n_sent=$(wc -l <"$dir/history")
n_answered=$(awk '$9 == 1 && $8 == 200' "$dir/history" | wc -l)
echo "seed=$seed stops=$n_stops requests=$n_sent answered=$n_answered refused=$(awk '$8 == 503' "$dir/history" | wc -l) failed=$(awk '$8 == 502 || $8 == 504' "$dir/history" | wc -l) left=$(awk '$11 == "left"' "$dir/history" | wc -l) unsent=$(awk '$9 == 0 && $6 == 0' "$dir/history" | wc -l) cut=$(awk '$9 == 0 && $6 > 0 && $11 != "left"' "$dir/history" | wc -l)"
[ -n "${KEEP_LOGS:-}" ] && mkdir -p "$KEEP_LOGS" && cp "$dir"/history "$dir"/stops "$dir"/broken "$dir"/node*.log "$KEEP_LOGS"
ok "no request is lost, misanswered or refused untruly" [ ! -s "$dir/broken" ]
ok "the processes end within the grace period" [ ! -e "$dir/overdue" ]
ok "instances were stopped" [ "$n_stops" -gt 0 ]
ok "most requests are answered" [ $((n_answered * 2)) -gt "$n_sent" ]
finish
