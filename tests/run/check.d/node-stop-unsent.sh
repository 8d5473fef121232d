#!/usr/bin/env bash
# Guards against requests that no server has at the signal of a planned stop and that are sent later, when their time no
# longer fits into the grace period: one that may run once is refused at once. One that a server has is answered.
. "$(dirname "$0")/../node-lib.sh"
start_all
document 6 9000
sleep 1
# send_parts ID: sends an unsafe request whose body arrives in two parts, 3 s apart.
send_parts() {
	exec 3<>"/dev/tcp/127.$run.2.1/8144"
	printf 'POST /unsafe/x?ms=1000 HTTP/1.1\r\nHost: h.example\r\nCassiascale-Attempt-Id: %s\r\nCassiascale-Deadline-Milliseconds: 9000\r\nContent-Length: 2\r\n\r\nx' "$1" >&3
	(sleep 3 && printf x >&3) 2>/dev/null &
	timeout 8 head -1 <&3 >"$dir/$1"
	now_ms >"$dir/$1.end"
}
now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }
send_parts unsent &
unsent=$!
id=sent call 2 '/unsafe/x?ms=1500' -d x >"$dir/sent" &
sent=$!
sleep 0.5
stop_ms=$(now_ms)
kill -TERM "$pid_node2"
wait $unsent $sent
ok "a request that was not sent is refused" has "$(cat "$dir/unsent")" '^HTTP/1.1 503'
ok "at once" [ $(($(cat "$dir/unsent.end") - stop_ms)) -lt 500 ]
ok "and has not run" [ "$(runs unsent)" = 0 ]
ok "the log tells why" has "$(cat "$dir/node2.log")" 'event=request.refused .*id=unsent .*reason=stopping'
ok "a request that was sent is answered" has "$(cat "$dir/sent")" '^HTTP/1.1 200'
finish
