#!/usr/bin/env bash
# A planned stop cuts no request: not ready at once, serves for the lookup time to live, refuses, ends.
. "$(dirname "$0")/../proxy-lib.sh"
write_view
start_servers
start_proxy

a=$(curl -sS -i "$url/_cassia/readyz")
ok "ready before" has "$a" '^HTTP/1.1 200'
call lookups /slow/2600 >"$dir/long" &
long=$!
sleep 0.2
kill -TERM "$pid_proxy"
sleep 0.2
ok "not ready at once" has "$(curl -sS -i "$url/_cassia/readyz")" '^HTTP/1.1 503'
ok "still alive" has "$(curl -sS -i "$url/_cassia/healthz")" '^HTTP/1.1 200'
ok "the agent hears it at once" has "$(cat "$dir/agent.log")" 'ready=0 stopping=1'
a=$(call lookups /ok)
ok "serves on while lookups still name it" has "$a" '^HTTP/1.1 200'
ok "asks callers to leave the connection" has "$a" '^Connection: close'
kill -TERM "$pid_proxy"
sleep 1.8
a=$(call bookings /ok -d x -H 'X-Request-Id: late')
ok "then refuses new work" has "$a" '^HTTP/1.1 503'
ok "refused as not run" has "$a" '"error":"leaving".*"ran":"no"'
ok "refused work did not run" [ "$(runs late)" = 0 ]
wait $long
ok "running work ends" has "$(cat "$dir/long")" '^slow'
gone() { ! kill -0 "$pid_proxy" 2>/dev/null; }
ok "the process ends" wait_for 5 gone
ok "no error in the log" hasnt "$(cat "$dir/proxy.log")" '^<[0-3]>|ERROR: (Address|Leak)Sanitizer|runtime error'

# The exit status, seen by a shell that waits for it.
("${PROXYD:-$build/bin/cassia-proxyd}" --instance p1 --zone z1 --address "$proxy" --port 8080 --agent "tcp://$proxy:7003" >"$dir/second.log" 2>&1 &
	p=$!
	echo $p >"$dir/second.pid"
	wait $p
	echo $? >"$dir/second.rc") &
sub=$!
wait_for 5 curl -sSf "$url/_cassia/readyz"
kill -TERM "$(cat "$dir/second.pid")"
wait $sub
ok "exit status 0" [ "$(cat "$dir/second.rc")" = 0 ]
done_checks
