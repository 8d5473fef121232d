#!/usr/bin/env bash
# Guards against slots that leak and outcomes that are reported wrongly after deadlines, queueing,
# refusals, caller disconnects and hedged requests.
. "$(dirname "$0")/../proxy-lib.sh"
write_view 2
start_servers
start_proxy
in_flight() { curl -sS -m 5 "$url/_cassia/v1/state" | grep -o '"service":"svc"[^}]*' | grep -o '"in_flight":[0-9]*' | head -1 | cut -d: -f2; }
idle() { [ "$(in_flight)" = 0 ]; }

a=$(call bookings /slow/1500 -d x -H 'X-Cassia-Deadline-Ms: 300')
ok "deadline after sending: 504" has "$a" '^HTTP/1.1 504'
ok "deadline after sending: outcome unknown" has "$a" '"ran":"unknown"'
ok "timed-out attempt releases its slot" wait_for 2 idle

curl -sS -m 0.3 -H 'X-Cassia-Class: lookups' "$url/slow/2500" >/dev/null 2>&1
ok "caller disconnects: slot is released before the response" wait_for 1 idle
curl -sS -m 0.3 --limit-rate 1K -H 'X-Cassia-Class: photos' "$url/bytes/30000000" >/dev/null 2>&1
ok "caller disconnects during the response: slot is released" wait_for 1 idle
(head -c 100000 /dev/zero; sleep 1) | curl -sS -m 0.4 -H 'X-Cassia-Class: photos' -T - "$url/upload" >/dev/null 2>&1
ok "caller disconnects during the upload: slot is released" wait_for 1 idle

# Two of the four slots are available to small requests; further requests wait and are then refused.
client_pids=""
for i in $(seq 12); do
	call lookups /slow/400 -w ' %{time_total}\n' >"$dir/wait.$i" &
	client_pids="$client_pids $!"
done
# shellcheck disable=SC2086
wait $client_pids
a=$(cat "$dir"/wait.*)
ok "requests within the slot limit are answered" [ "$(grep -c '^slow' <<<"$a")" -ge 2 ]
ok "requests over the slot limit are refused as not executed" [ "$(grep -c '"ran":"no"' <<<"$a")" -ge 1 ]
ok "every request gets a response" [ "$(grep -cE '^HTTP/1.1 (200|503)' <<<"$a")" = 12 ]
ok "refusals have Retry-After" [ "$(grep -c '^Retry-After' <<<"$a")" = "$(grep -c '^HTTP/1.1 503' <<<"$a")" ]
ok "refusals are counted by reason" [ "$(metric 'cassia_proxy_refused_total{class="lookups",reason="overload"}')" -ge 1 ]
ok "all slots are released" wait_for 2 idle

# With enough fast samples, a request to the slow server is hedged.
for _ in $(seq 300); do echo "url = $url/ok"; done >"$dir/urls"
curl -sS -m 20 -H 'X-Cassia-Class: lookups' -K "$dir/urls" -o /dev/null >/dev/null
a=$(for _ in 1 2 3 4; do call lookups /slow-even/600; done)
ok "all requests are answered despite a slow server" [ "$(grep -cE '^(odd|even)' <<<"$a")" = 4 ]
ok "at most 2 in 100 requests are hedged" [ "$(metric 'cassia_proxy_hedges_total{class="lookups"}')" -le 7 ]
ok "all slots are released after hedging" wait_for 2 idle
finish
