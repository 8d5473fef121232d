#!/usr/bin/env bash
# Guards against a refusal that is lost at the end of a planned stop: the instance answers while the client still sends
# its body, and nothing else keeps the process. If it ended at once, the kernel would reset the connection, and what has
# not reached the client yet, here over a relay with a delay, would be lost.
. "$(dirname "$0")/../node-lib.sh"
relay=127.$run.8.11
printf '{"listeners":[{"address":"%s","port":8144,"to_address":"127.%s.2.1","to_port":8144,"zone":"n2"}],
 "sources":[{"prefix":"127.","zone":"any"}],"links":[]}' "$relay" "$run" >"$dir/links.json"
start links "$build/bin/standin-links" --list "$dir/links.json" --control-address "127.$run.8.2"
start_all
document 6 5000
sleep 1
curl -sS "http://127.$run.8.2:8701/standin/link?ms=150" >/dev/null
# The connection is opened before the signal; a body of 64 KB is sent on it in parts, from 2.3 s after the signal on.
(
	trap '' PIPE
	exec 3<>"/dev/tcp/$relay/8144"
	sleep 2.5
	printf 'POST /upload/x HTTP/1.1\r\nHost: h.example\r\nCassiascale-Attempt-Id: late\r\nCassiascale-Deadline-Milliseconds: 8000\r\nContent-Length: 65536\r\n\r\n' >&3
	for _ in $(seq 40); do
		head -c 1024 /dev/zero >&3 || break
		sleep 0.02
	done
	timeout 3 cat <&3 >"$dir/late"
) 2>/dev/null &
client=$!
sleep 0.2
kill -TERM "$pid_node2"
stopped=$SECONDS
wait $client
a=$(tr -d '\0' <"$dir/late")
ok "the client gets the refusal" has "$a" '^HTTP/1.1 503'
ok "the request has not run" [ "$(runs late)" = 0 ]
exited() { ! kill -0 "$pid_node2" 2>/dev/null; }
ok "the process ends" wait_for 5 exited
ok "within the grace period" [ $((SECONDS - stopped)) -le 6 ]
finish
