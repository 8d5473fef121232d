#!/usr/bin/env bash
# Guards against a client that gets the response to another request, or is refused although its request ran, because a
# server sends each response a second time when the next request on the connection has arrived.
. "$(dirname "$0")/../node-lib.sh"
relay_addr=127.$run.8.1
rows=""
for p in 8143 8144 8145 8146; do
	rows="$rows${rows:+,}{\"address\":\"$relay_addr\",\"port\":$p,\"to_address\":\"$store\",\"to_port\":$p,\"zone\":\"servers\"}"
done
echo "{\"listeners\":[$rows],\"sources\":[{\"prefix\":\"127.\",\"zone\":\"any\"}],\"links\":[]}" >"$dir/links.json"
start links "$build/bin/standin-links" --list "$dir/links.json" --control-address "127.$run.8.2"
start_all
curl -sSf "http://127.$run.8.2:8701/standin/link?from=servers&copies=1" >/dev/null
modes=(ms=1 ms=20 mode=shed mode=error mode=no-signature)
RANDOM=${SEED:-1}
wrong=0 untrue=0 twice=0 answered=0
for i in $(seq 150); do
	[ $((RANDOM % 3)) = 0 ] && kind=safe || kind=unsafe
	a=$(id=c-$i call 1 "/$kind/x?${modes[RANDOM % 5]}" -d x)
	n=$(runs "c-$i")
	case $(head -n 1 <<<"$a") in
	*' 200 '*)
		answered=$((answered + 1))
		grep -q "id=c-$i\$" <<<"$a" || wrong=$((wrong + 1))
		;;
	*' 503 '* | *' 429 '* | *' 421 '* | *' 408 '*) [ "$n" = 0 ] || untrue=$((untrue + 1)) ;;
	esac
	[ "$kind" = unsafe ] && [ "$n" -gt 1 ] && twice=$((twice + 1))
done
ok "no client gets the response to another request (wrong: $wrong)" [ $wrong = 0 ]
ok "no request that ran is refused (untrue: $untrue)" [ $untrue = 0 ]
ok "no unsafe request runs twice (twice: $twice)" [ $twice = 0 ]
ok "requests are answered (answered: $answered)" [ $answered -gt 20 ]
sleep 0.3
copies=$(grep -c 'event=send.failed.*another request' "$dir/node1.log")
ok "responses were sent twice (noticed: $copies)" [ "$copies" -gt 5 ]
finish
