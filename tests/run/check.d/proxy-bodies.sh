#!/usr/bin/env bash
# Uploads stream with back-pressure, limits hold, and slow or early-answered bodies get an answer.
. "$(dirname "$0")/../proxy-lib.sh"
write_view
start_servers
start_proxy
head -c 20000000 /dev/urandom >"$dir/photo"
direct=http://127.$run.1.11:9001
want=$(curl -sS -m 20 -T "$dir/photo" "$direct/upload" | cut -d' ' -f1,2)

ok "upload with a length" has "$(call photos /upload -T "$dir/photo")" "^$want"
ok "chunked upload" has "$(call photos /upload -T - <"$dir/photo")" "^$want"
a=$( (head -c 10000000 "$dir/photo"; sleep 0.7; tail -c 10000000 "$dir/photo") | call photos /upload -T -)
ok "a paused upload is whole" has "$a" "^$want"
ok "the upload starts before all of it arrived" has "$a" 'spread_ms=([6-9]..|1...)'
ok "small chunked body" has "$(printf abc | call lookups /upload -T -)" '^bytes=3 '
ok "empty body" has "$(call lookups /upload -X POST -H 'Content-Length: 0')" '^bytes=0 '

# 1 MB/s at the server, sent as fast as the proxy takes it: the rest must wait at the caller.
before=$(awk '/VmRSS/ {print $2}' /proc/"$pid_proxy"/status)
pushers=""
for _ in 1 2 3 4; do
	curl -sS -m 5 -H 'X-Cassia-Class: photos' -T "$dir/photo" "$url/slow-upload/1000" >/dev/null 2>&1 &
	pushers="$pushers $!"
done
sleep 3
after=$(awk '/VmRSS/ {print $2}' /proc/"$pid_proxy"/status)
# shellcheck disable=SC2086
wait $pushers
ok "four uploads to a slow server take at most 4 MB more memory ($before to $after KB)" [ $((after - before)) -le 4096 ]
before=$after
for _ in 1 2 3 4; do
	curl -sS -m 5 --limit-rate 500K -H 'X-Cassia-Class: photos' -o /dev/null "$url/bytes/20000000" 2>/dev/null &
	pushers="$pushers $!"
done
sleep 3
after=$(awk '/VmRSS/ {print $2}' /proc/"$pid_proxy"/status)
# shellcheck disable=SC2086
wait $pushers
ok "four answers to slow callers take at most 4 MB more memory ($before to $after KB)" [ $((after - before)) -le 4096 ]

a=$(call lookups /upload -H 'Expect:' -T "$dir/photo")
ok "over the limit by length: 413" has "$a" '^HTTP/1.1 413'
ok "over the limit by length: not run" has "$a" '"ran":"no"'
a=$(call lookups /upload -T - <"$dir/photo")
ok "over the limit when exceeded: 413" has "$a" '^HTTP/1.1 413'
a=$(call photos /reject -H 'Expect:' -T "$dir/photo")
ok "the server's answer during the upload passes on" has "$a" '^too large'
a=$(call photos /refuse -H 'Expect:' -T "$dir/photo")
ok "refused during the upload: not run" has "$a" '"ran":"no"'

s=$SECONDS
a=$(raw 'POST /ok HTTP/1.1\r\nHost: x\r\nX-Cassia-Class: lookups\r\nX-Cassia-Deadline-Ms: 700\r\nContent-Length: 10\r\n\r\nabc' 4)
ok "a body past the deadline: 408" has "$a" '^HTTP/1.1 408'
ok "a body past the deadline: not run" has "$a" '"ran":"no"'
a=$(raw 'POST /upload HTTP/1.1\r\nHost: x\r\nX-Cassia-Class: photos\r\nContent-Length: 100000\r\n\r\nabc' 8)
ok "a body that stops: 408" has "$a" '^HTTP/1.1 408'
ok "slow bodies are answered in time" [ $((SECONDS - s)) -le 9 ]
finish
