#!/usr/bin/env bash
# Guards against a planned stop that cuts requests. After SIGTERM the proxy is not ready at once, serves
# for the lookup time to live, then refuses new requests, completes running ones and exits with 0.
. "$(dirname "$0")/../proxy-lib.sh"
write_view
start_servers
start_proxy

a=$(curl -sS -i "$url/_cassia/readyz")
ok "ready before SIGTERM" has "$a" '^HTTP/1.1 200'
call lookups /slow/2600 >"$dir/long" &
long=$!
sleep 0.2
kill -TERM "$pid_proxy"
sleep 0.2
ok "not ready after SIGTERM" has "$(curl -sS -i "$url/_cassia/readyz")" '^HTTP/1.1 503'
ok "healthz still answers 200" has "$(curl -sS -i "$url/_cassia/healthz")" '^HTTP/1.1 200'
ok "agent is notified of the stop" has "$(cat "$dir/agent.log")" 'ready=0 stopping=1'
a=$(call lookups /ok)
ok "requests are served for the lookup time to live" has "$a" '^HTTP/1.1 200'
ok "responses have Connection: close" has "$a" '^Connection: close'
kill -TERM "$pid_proxy"
sleep 1.8
a=$(call bookings /ok -d x -H 'X-Request-Id: late')
ok "new requests are refused afterwards" has "$a" '^HTTP/1.1 503'
ok "refused as not executed" has "$a" '"error":"leaving".*"ran":"no"'
ok "refused request was not executed" [ "$(runs late)" = 0 ]
wait $long
ok "running request completes" has "$(cat "$dir/long")" '^slow'
exited() { ! kill -0 "$pid_proxy" 2>/dev/null; }
ok "process exits within 5 s" wait_for 5 exited
ok "no errors in the proxy log" lacks "$(cat "$dir/proxy.log")" '^<[0-3]>|ERROR: (Address|Leak)Sanitizer|runtime error'

# Checks the exit status in a subshell that waits for the proxy.
("${PROXYD:-$build/bin/cassia-proxyd}" --instance p1 --zone z1 --address "$proxy" --port 8080 --agent "tcp://$proxy:7003" >"$dir/second.log" 2>&1 &
	p=$!
	echo $p >"$dir/second.pid"
	wait $p
	echo $? >"$dir/second.rc") &
subshell_pid=$!
wait_for 5 curl -sSf "$url/_cassia/readyz"
kill -TERM "$(cat "$dir/second.pid")"
wait $subshell_pid
ok "exit status 0" [ "$(cat "$dir/second.rc")" = 0 ]
report_failures
