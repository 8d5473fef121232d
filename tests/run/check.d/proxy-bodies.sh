#!/usr/bin/env bash
# Guards against uploads that are buffered instead of streamed with back-pressure, body limits that are
# not enforced, and slow or early-answered uploads that get no response.
. "$(dirname "$0")/../proxy-lib.sh"
write_view
start_servers
start_proxy
head -c 20000000 /dev/urandom >"$dir/photo"
direct=http://127.$run.1.11:9001
want=$(curl -sS -m 20 -T "$dir/photo" "$direct/upload" | cut -d' ' -f1,2)

ok "upload with Content-Length" has "$(call photos /upload -T "$dir/photo")" "^$want"
ok "chunked upload" has "$(call photos /upload -T - <"$dir/photo")" "^$want"
a=$( (head -c 10000000 "$dir/photo"; sleep 0.7; tail -c 10000000 "$dir/photo") | call photos /upload -T -)
ok "paused upload is complete" has "$a" "^$want"
ok "upload is forwarded before it is complete" has "$a" 'spread_ms=([6-9]..|1...)'
ok "small chunked body" has "$(printf abc | call lookups /upload -T -)" '^bytes=3 '
ok "empty body" has "$(call lookups /upload -X POST -H 'Content-Length: 0')" '^bytes=0 '

# The server reads 1 MB/s and the callers send without a limit; back-pressure must hold the callers back.
before=$(awk '/VmRSS/ {print $2}' /proc/"$pid_proxy"/status)
client_pids=""
for _ in 1 2 3 4; do
	curl -sS -m 5 -H 'X-Cassia-Class: photos' -T "$dir/photo" "$url/slow-upload/1000" >/dev/null 2>&1 &
	client_pids="$client_pids $!"
done
sleep 3
after=$(awk '/VmRSS/ {print $2}' /proc/"$pid_proxy"/status)
# shellcheck disable=SC2086
wait $client_pids
ok "four uploads to a slow server add at most 4 MB of RSS ($before to $after KB)" [ $((after - before)) -le 4096 ]
before=$after
for _ in 1 2 3 4; do
	curl -sS -m 5 --limit-rate 500K -H 'X-Cassia-Class: photos' -o /dev/null "$url/bytes/20000000" 2>/dev/null &
	client_pids="$client_pids $!"
done
sleep 3
after=$(awk '/VmRSS/ {print $2}' /proc/"$pid_proxy"/status)
# shellcheck disable=SC2086
wait $client_pids
ok "four responses to slow callers add at most 4 MB of RSS ($before to $after KB)" [ $((after - before)) -le 4096 ]

a=$(call lookups /upload -H 'Expect:' -T "$dir/photo")
ok "Content-Length over the limit: 413" has "$a" '^HTTP/1.1 413'
ok "Content-Length over the limit: not executed" has "$a" '"ran":"no"'
a=$(call lookups /upload -T - <"$dir/photo")
ok "chunked body over the limit: 413" has "$a" '^HTTP/1.1 413'
a=$(call photos /reject -H 'Expect:' -T "$dir/photo")
ok "server's response during the upload is forwarded" has "$a" '^too large'
a=$(call photos /refuse -H 'Expect:' -T "$dir/photo")
ok "refused during the upload: not executed" has "$a" '"ran":"no"'

s=$SECONDS
a=$(send_raw 'POST /ok HTTP/1.1\r\nHost: x\r\nX-Cassia-Class: lookups\r\nX-Cassia-Deadline-Ms: 700\r\nContent-Length: 10\r\n\r\nabc' 4)
ok "body incomplete at the deadline: 408" has "$a" '^HTTP/1.1 408'
ok "body incomplete at the deadline: not executed" has "$a" '"ran":"no"'
send_raw 'POST /upload HTTP/1.1\r\nHost: x\r\nX-Cassia-Class: photos\r\nContent-Length: 100\r\n\r\nabc' 8 >"$dir/stalled" &
stalled=$!
a=$(send_raw 'POST /upload HTTP/1.1\r\nHost: x\r\nX-Cassia-Class: photos\r\nContent-Length: 100000\r\n\r\nabc' 8)
wait $stalled
ok "stalled body: 408" has "$(cat "$dir/stalled")" '^HTTP/1.1 408'
ok "stalled body: not executed" has "$(cat "$dir/stalled")" '"ran":"no"'
ok "stalled body that a server received in part: 502" has "$a" '^HTTP/1.1 502'
ok "stalled body that a server received in part: outcome unknown" has "$a" '"ran":"unknown"'
ok "slow bodies are answered within 9 s" [ $((SECONDS - s)) -le 9 ]
finish
