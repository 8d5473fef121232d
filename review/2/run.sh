#!/usr/bin/env bash
# LOST: a planned stop. A client sends a photo on an open connection 3.2 s after the SIGTERM, and the instance passes it
# on to a server. It must answer it, or refuse it before that, and not break it off.
. "$(dirname "$0")/../lib.sh"
start_system 1
# Photos as usual: a server that has handled their object takes 150 to 250 ms.
for i in $(seq 12); do
	send 1 POST "/upload/x?ms=$((150 + i % 3 * 50))" "usual-$i" 3000 60000 length 0 0 || cannot_run "request usual-$i failed"
done
# Its connection is opened now, and its request is sent 3.25 s later. It is a straggler.
send 1 POST "/upload/x?ms=2600" "late" 3000 60000 length 0 3250 &
client=$!
sleep 0.05
stop_ms=$("$bin/review-client" now)
echo "stop instance=1 at_ms=$stop_ms trouble=$trouble" >>"$record"
# shellcheck disable=SC2154
[ "$trouble" = 0 ] || kill -TERM "$pid_node1"
# The client cannot obtain a new list of instances, so it keeps the one that it has.
sleep 2.5
call "127.$net.1.1" 8143 GET "/v1/resolve?name=h.example&region=lombardia&zone=lom-brescia" >"$dir/lookup"
echo "directory exit=$? answer=$(tr -d '\n' <"$dir/lookup")" >>"$record"
wait $client
sleep 0.5
answer=$(grep "^answer id=late " "$record")
run=$(grep "^run id=late " "$record")
end=$(grep "^end id=late " "$record")
sent_ms=$(field at_ms "$(grep "^send id=late " "$record")")
after=$((sent_ms - stop_ms))
echo "sent $after ms after the stop; $answer; $end" | tee -a "$record"
[ -n "$(field at_ms "$(grep "^send id=late " "$record")")" ] && [ -n "$answer" ] || cannot_run "the request was not sent"
broken=0
# Passed on to a server that was at work, and neither answered by it nor excused: sent later than 3 s after the SIGTERM.
[ -n "$run" ] && [ "$(field signed "$answer")" != 1 ] && [ "$(field cut "$end")" = 1 ] && [ $after -gt 3000 ] && broken=1
verdict $broken "status=$(field status "$answer") worked_ms=$(field worked_ms "$end") of_ms=$(field of_ms "$end")"
