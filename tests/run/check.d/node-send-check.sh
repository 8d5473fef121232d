#!/usr/bin/env bash
# Guards against requests that are sent to a server after the news that it may get none: the server was chosen just
# before, and the request was still unsent when the news came. A stopped instance gets both at once when it continues.
. "$(dirname "$0")/../node-lib.sh"
start_platform
document 5
start_node 1 z1
wait_for 10 ready 1 || echo "the instance did not become ready within 10 s"
entry=$(curl -sSf "http://$store:8142/v1/kv-range?prefix=servers/i-1" | jq -r ".items[0].value" | base64 -d)
born=2000

arrivals() { curl -sSf "$control/state?server=i-1" | jq .arrivals; }
put_entry() { curl -sSf "$control/put?key=servers/i-1" -d "$(jq "$1" <<<"$entry")" >/dev/null; }
serves() { call 1 /safe/x | grep -q 'server=i-1 '; }
# A request that may run once is sent on a new connection if the last one was idle for 100 ms, so that it stays unsent
# for an iteration of the loop at least.
request() {
	printf 'POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nCassiascale-Attempt-Id: c-%s\r\nCassiascale-Deadline-Milliseconds: 3000\r\nContent-Length: 1\r\n\r\nx' "$1" >&3
}
# The state in which only i-1 may get requests.
restore() {
	curl -sSf "$control/delete?key=op/evacuate/z1" >/dev/null
	born=$((born + 1000))
	put_entry ".born = $born | .sequence = $born"
	wait_for 8 serves
}
news() {
	case $1 in
	drains) put_entry ".state = \"draining\" | .born = $born | .sequence = $((born + 1))" ;;
	gone) curl -sSf "$control/delete?key=servers/i-1" >/dev/null ;;
	evacuated) curl -sSf "$control/put?key=op/evacuate/z1" -d '{}' >/dev/null ;;
	esac
}
logged() { [ "$(grep -cE 'event=(server.entry .*server=i-1 .*draining=1|server.gone .*server=i-1 |zone.evacuated .*zone=z1)' "$dir/node1.log")" -gt "$1" ]; }

for s in i-2 i-3 i-4; do curl -sSf "$control/delete?key=servers/$s" >/dev/null; done
for what in drains gone evacuated; do
	late=0
	for round in 1 2 3 4 5 6; do
		restore || echo "i-1 does not serve"
		exec 3<>"/dev/tcp/127.$run.1.1/8144"
		request "$what-$round-a"
		IFS= read -r -t 3 line <&3
		sleep 0.5
		logged_before=$(grep -cE 'event=(server.entry .*server=i-1 .*draining=1|server.gone .*server=i-1 |zone.evacuated .*zone=z1)' "$dir/node1.log")
		before=$(arrivals)
		kill -STOP "$pid_node1"
		if [ $((round % 2)) = 0 ]; then
			request "$what-$round-b"
			sleep 0.05
			news $what
		else
			news $what
			sleep 0.05
			request "$what-$round-b"
		fi
		sleep 0.1
		kill -CONT "$pid_node1"
		wait_for 3 logged "$logged_before" || echo "the news did not arrive"
		sleep 0.3
		[ "$(arrivals)" = "$before" ] || late=$((late + 1))
		exec 3>&-
	done
	ok "$what: no request is sent after the news ($late of 6)" [ $late = 0 ]
done
finish
