#!/usr/bin/env bash
# Guards against requests forwarded through another zone's proxy that are lost, run twice or are
# reported with the wrong outcome.
. "$(dirname "$0")/../proxy-lib.sh"
write_view 200 z2
start_servers
start_proxy
peer=127.$run.2.1
start agent2 "$build/bin/standin-agent" "$peer" 7003 "$dir/view.json"
start proxy2 "${PROXYD:-$build/bin/cassia-proxyd}" --instance p2 --zone z2 --address "$peer" --port 8080 --agent "tcp://$peer:7003"
wait_for 10 curl -sSf "http://$peer:8080/_cassia/readyz"
head -c 20000000 /dev/urandom >"$dir/photo"

a=$(call lookups /ok -H 'X-Request-Id: hop1')
ok "request is forwarded through the other zone's proxy" has "$a" '^ok hop1'
ok "response names the instance that served it" has "$a" '^X-Cassia-Instance: p2'
ok "response names the server" has "$a" '^X-Cassia-Server: s[12]'
a=$(call bookings /head -d x)
ok "forwarded deadline is at most the class timeout" has "$a" '^X-Cassia-Deadline-Ms: (2[0-9]{3}|3000)'
ok "hop header is not sent to the server" lacks "$a" '^X-Cassia-Hop'
ok "upload is forwarded" has "$(call photos /upload -T "$dir/photo")" '^bytes=20000000 '
ok "truncated response is truncated for the caller" [ "$(curl -sS -m 9 -o /dev/null -w '%{exitcode}' -H 'X-Cassia-Class: lookups' "$url/truncate/2000000" 2>/dev/null)" = 18 ]
a=$(call bookings /die -d x -H 'X-Request-Id: hop2')
ok "response lost behind the second proxy: outcome unknown" has "$a" '"ran":"unknown"'
ok "response lost behind the second proxy: one execution" [ "$(runs hop2)" = 1 ]
a=$(curl -sS -m 5 -i -H 'X-Cassia-Class: lookups' -H 'X-Cassia-Hop: 1' "$url/ok")
ok "forwarded request is not forwarded again" has "$a" '"ran":"no"'
a=$(call bookings /refuse -d x)
ok "refused behind the second proxy: not executed" has "$a" '"ran":"no"'
kill -9 "$pid_proxy2"
wait_for 5 sh -c "! curl -sS -m 1 http://$peer:8080/_cassia/healthz"
a=$(call bookings /ok -d x)
ok "second proxy is down: not executed" has "$a" '"ran":"no"'
# A new view moves the servers to the proxy's own zone.
write_view 200 z1 2
sleep 0.6
a=$(call bookings /ok -d x)
ok "new view is applied" has "$a" '^X-Cassia-Instance: p1'
ok "metric shows the new revision" [ "$(metric cassia_proxy_config_revision)" = 2 ]
finish
