#!/usr/bin/env bash
# FAILBACK: an instance is stopped in a planned restart, and a new, cold server joins while it still serves its clients.
# In any second the cold server may get at most 11 x 1.5 + 5 = 21.5 requests from all instances together.
. "$(dirname "$0")/../lib.sh"

# load_all PREFIX FOR_MS: 50 requests a second to each of the three instances; sets clients.
load_all() {
	local n
	clients=""
	for n in 1 2 3; do
		load $n "/safe/x?ms=400" "$1-$n" 50 "$2" &
		clients="$clients $!"
	done
}

# arrivals_of PHASE: the lines on requests that reached s-5 while it was cold.
arrivals_of() { grep "^arrive id=$1-.* server=s-5 .*cold=1" "$record"; }

# Four servers, so that one more is a quarter, and one that leaves a fifth.
start_system 3 4
# Server s-5 joins and leaves, to see which instance sends to it while it is cold.
load_all first 3500
sleep 0.5
start_server 5 lom-brescia 3000
# shellcheck disable=SC2086
wait $clients
owner=$(arrivals_of first | sed 's/.* from=127\.[0-9]*\.\([0-9]*\)\..*/\1/' | sort | uniq -c | sort -rn | awk 'NR == 1 { print $2 }')
[ -n "$owner" ] || cannot_run "no request reached the cold server"
store_call POST "/control/delete?key=servers/s-5" >/dev/null
sleep 3
# shellcheck disable=SC2154
kill -9 "$pid_server5"
sleep 1

# The same server joins again while the instance that would send to it is restarted.
load_all second 5000
sleep 1
owner_pid=pid_node$owner
start_server 5 lom-brescia 3000
echo "stop instance=$owner trouble=$trouble" >>"$record"
[ "$trouble" = 0 ] || kill -TERM "${!owner_pid}"
# shellcheck disable=SC2086
wait $clients
# Most requests that were sent and arrived inside one second.
most=$(awk '
	/^send / { split($2, a, "="); split($4, b, "="); sent[a[2]] = b[2] }
	/^arrive id=second-.* server=s-5 .*cold=1/ { split($2, a, "="); split($5, b, "="); n++; at[n] = b[2]; by[n] = sent[a[2]] }
	END {
		for (i = 1; i <= n; i++) {
			count = 0
			for (k = 1; k <= n; k++)
				count += by[k] >= by[i] && at[k] < by[i] + 1000
			if (count > most)
				most = count
		}
		print most + 0
	}' "$record")
arrivals_of second | sed 's/.* from=\([0-9.]*\) .*/\1/' | sort | uniq -c | sed 's/^/senders: /' | tee -a "$record"
grep '^crash ' "$record"
verdict $((most > 21)) "most_per_second=$most allowed=21.5"
