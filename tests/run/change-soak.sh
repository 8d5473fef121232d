#!/usr/bin/env bash
# Changes the operators' document in overlapping series for SECONDS_LONG seconds, beside INSTANCES processes of
# cassia-node and clients that send PER_S requests per second on new and kept connections, half of them over a relay
# with a delay. Routes are dropped, moved, or change their kind; time-outs and the idle timeout change; versions are
# large, old, equal or refused; SIGHUP changes the bounds. A part of the requests goes to servers with faults.
# Guards against a whole request that gets neither an answer nor a refusal beside such a change, against refusals of
# requests that ran, and against answers to other requests. Excused are requests whose client or route waited no
# longer, whose server broke off, and those that cross the close of their connection.
. "$(dirname "${BASH_SOURCE[0]}")/node-lib.sh"
seed=${SEED:-1}
duration_s=${SECONDS_LONG:-20}
instances=${INSTANCES:-3}
per_s=${PER_S:-60}
# Paths on a server with faults.
odd=${ODD:-/safe/die,/safe/slow-die/300,/safe/drip/8,/safe/pause/3500,/safe/late/400,/safe/bytes/900000,/safe/truncate/600000}
delay_ms=8
# Time within which a document is in force, in ms.
apply_ms=4000

start_relays
export SLOTS=${SLOTS:-16}
start_platform
start faulty "$build/bin/standin-faulty" "127.$run.8.1" 9000 "$dir/faulty.txt"
entry() { curl -sSf "http://$store:8142/v1/kv-range?prefix=servers/$1" | jq -r ".items[0].value" | base64 -d; }
curl -sSf "$control/put?key=servers/i-9" -d "$(entry i-1 | jq ".address = \"127.$run.8.1:9000\" | .service = \"odd\" | .slots = 64")" >/dev/null
curl -sSf "$control/put?key=servers/i-4" -d "$(entry i-4 | jq '.service = "other" | .sequence = 9')" >/dev/null

now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }
# Further routes of a large document, 1.4 MB of them.
pad=$(printf '%700s' '' | tr ' ' '.')
for n in $(seq 1400); do
	printf ',{"name":"m-%d","host":"h.example","prefix":"/more/%d/","kind":"safe","timeout-ms":1500,"target-latency-ms":400,"priority":1,"service":"svc","max-attempts":2,"home-regions":[],"note":"%s"}' "$n" "$n" "$pad"
done >"$dir/more"

# The document that is being changed: its version, and for each route its service, its kind or "dropped".
declare -A service kind
version=10
restore() {
	local k
	for k in safe unsafe upload download odd; do
		service[$k]=svc kind[$k]=$k
	done
	service[odd]=odd kind[odd]=safe
	timeout=5000 split="" large="" others='"other",'
}
# route NAME PREFIX: prints a route.
route() {
	[ "${kind[$1]}" = dropped ] && return
	printf '%s{"name":"r-%s","host":"h.example","prefix":"%s","kind":"%s","timeout-ms":%d,"target-latency-ms":400,"priority":1,"service":"%s",%s"max-attempts":3,"sticky-sessions":false,"home-regions":[]}' \
		"$comma" "$1" "$2" "${kind[$1]}" "$timeout" "${service[$1]}" "$([ "$1" = safe ] && echo "$split")"
	comma=,
}
# text: prints the document.
text() {
	local comma="" p name
	printf '{"version":"r%d","routes":[' "$1"
	for p in safe unsafe upload download; do route "$p" "/$p/"; done
	for p in die slow-die drip pause late bytes truncate; do route odd "/safe/$p"; done
	[ -n "$large" ] && { [ -n "$comma" ] && cat "$dir/more" || cut -c2- "$dir/more"; }
	printf '],"services":['
	for name in ${others//[\",]/ } svc empty; do
		printf '{"name":"%s","health-path":"/health","connection-limit":360,"cold-start-s":3.0,"cold-per-s":11.0},' "$name"
	done
	printf '{"name":"odd","health-path":"/health","connection-limit":360,"cold-start-s":0,"cold-per-s":11.0}],"limits":{"idle-timeout-ms":%d}}' "$idle"
}
# put [VERSION]: stores the document as the next or the given version. The time at which each time-out begins is kept.
put() {
	text "${1:-$((++version))}" >"$dir/document"
	echo "$(now_ms) $timeout" >>"$dir/changes"
	curl -sSf "$control/put?key=op/config" --data-binary @"$dir/document" >/dev/null
}
random_route() {
	local all=(safe unsafe upload odd)
	echo "${all[RANDOM % 4]}"
}
reload() {
	local n=$((RANDOM % instances + 1))
	sed -i "s/\"retry-budget-ratio\":[0-9.]*/\"retry-budget-ratio\":0.$((RANDOM % 3 + 1))/" "$dir/node$n.json"
	kill -HUP "$(eval "echo \$pid_node$n")"
}
# change: makes one random change.
change() {
	local k
	k=$(random_route)
	[ $((RANDOM % 3)) = 0 ] && restore
	case $((RANDOM % 16)) in
	0 | 15) kind[$k]=dropped ;;
	1) service[$k]=other ;;
	2) service[$k]=empty ;;
	3) timeout=$((RANDOM % 4 * 1500 + 800)) ;;
	4) idle=2000 ;;
	5) idle=15000 ;;
	6) split="\"traffic-split\":[{\"service\":\"svc\",\"weight\":$((RANDOM % 9 + 1))},{\"service\":\"other\",\"weight\":$((RANDOM % 9))}]," ;;
	7 | 8) large=1 ;;
	9) kind[$k]=unsafe ;;
	10) kind[$k]=download ;;
	11) others="" ;;
	12) put $((version - 1)); return ;;
	13) put "$version"; return ;;
	14) reload; return ;;
	esac
	put
	# A document that breaks off.
	[ $((RANDOM % 8)) = 0 ] && curl -sSf "$control/put?key=op/config" --data-binary @<(head -c $((RANDOM % 2000 + 50)) "$dir/document") >/dev/null
}

restore
idle=2000
put
for n in $(seq "$instances"); do start_node "$n" "z$(((n - 1) % 2 + 1))"; done
for n in $(seq "$instances"); do wait_for 10 ready "$n" || echo "instance $n did not become ready within 10 s"; done
sleep 1
"$build/bin/standin-clients" --targets "$targets" --per-s "$per_s" --seconds "$duration_s" --seed "$seed" --odd-share "${ODD_SHARE:-20}" \
	--odd "$odd" >"$dir/history" &
clients=$!
pids="$pids $clients"
RANDOM=$seed
end=$((SECONDS + duration_s))
while [ $SECONDS -lt $end ]; do
	change
	# Half of the changes follow each other within 300 ms.
	[ $((RANDOM % 2)) = 0 ] && sleep 0.$((RANDOM % 20 + 10)) || sleep 0.$((RANDOM % 7 + 3))
done
wait $clients

# Fields of a line of the history: ID KIND CONNECTION TARGET BEGIN SENT END STATUS COMPLETE OWN REASON.
n_sent=$(wc -l <"$dir/history")
paste -d ' ' <(seq "$n_sent") <(curl -sSf "$control/state?id=c-[1-$n_sent]" | jq .runs) >"$dir/runs"
# suspects: prints the requests that may break a rule, with how often they ran and the shortest time-out of the
# documents that may have been in force when they began.
suspects() {
	awk -v apply=$apply_ms '
		FILENAME ~ /runs$/ { ran["c-" $1] = $2; next }
		FILENAME ~ /faulty.txt$/ { if ($1 == "run") ran[$2]++; next }
		FILENAME ~ /changes$/ { n++; at[n] = $1; limit[n] = $2; next }
		$9 == 1 && $10 == 1 && $8 != 503 && $8 != 429 && $8 != 408 && $8 != 421 { next }
		# Never written whole.
		$9 == 0 && $6 == 0 { next }
		{
			shortest = 0
			for (i = 1; i <= n && at[i] <= $7; i++)
				if ((i == n || at[i + 1] + apply >= $5) && (shortest == 0 || limit[i] < shortest))
					shortest = limit[i]
			print $0, ran[$1] + 0, shortest
		}' "$dir/runs" "$dir/faulty.txt" "$dir/changes" "$dir/history"
}
deadline_of() {
	case $1 in
	look) echo 3000 ;;
	history) echo 12000 ;;
	*) echo 4000 ;;
	esac
}
# judge: prints the requests that break a rule, with their lines in the logs.
judge() {
	local id kind connection target begin sent end status complete own reason ran limit own_limit
	while read -r id kind connection target begin sent end status complete own reason ran limit; do
		own_limit=$(deadline_of "$kind")
		[ "$own_limit" -lt "$limit" ] && limit=$own_limit
		if [ "$complete" = 1 ] && [ "$own" = 0 ]; then
			echo "answer to another request: $id $kind $connection status=$status"
		elif [ "$complete" = 1 ]; then
			[ "$ran" = 0 ] && continue
			echo "untrue refusal: $id $kind $connection status=$status ran=$ran"
		else
			[ $((end - begin)) -ge $((limit - 100)) ] && continue
			[ "$ran" = 0 ] && [ $((end - sent)) -le $((200 + 2 * delay_ms)) ] && continue
			grep -h "event=response.cut .* id=$id " "$dir"/node*.log | grep -qvE 'why="(deadline|stopping)"' && continue
			echo "no whole answer: $id $kind $connection target=$target status=$status reason=$reason ran=$ran" \
				"after_ms=$((end - begin)) sent_ms_before=$((end - sent)) timeout=$limit"
		fi
		"$build/bin/cassiactl" explain "$id" "${logs[@]}" 2>&1 | grep -E '^cause|^[^ ]+ \*'
	done < <(suspects)
}
logs=()
for n in $(seq "$instances"); do logs+=(--logs "$dir/node$n.log"); done
judge >"$dir/broken"
cat "$dir/broken"
echo "events of these requests: $(grep -oE 'event=[a-z._]+' "$dir/broken" | sort | uniq -c | tr -s ' \n' ' ')"
in_force=$(cat "$dir"/node*.log | grep -c event=document.in_force)
n_answered=$(awk '$9 == 1 && $8 == 200' "$dir/history" | wc -l)
echo "seed=$seed changes=$(wc -l <"$dir/changes") in_force=$in_force requests=$n_sent answered=$n_answered refused=$(awk '$8 == 503' "$dir/history" | wc -l) dropped=$(awk '$8 == 404' "$dir/history" | wc -l) failed=$(awk '$8 == 502 || $8 == 504' "$dir/history" | wc -l) left=$(awk '$11 == "left"' "$dir/history" | wc -l) unsent=$(awk '$9 == 0 && $6 == 0' "$dir/history" | wc -l) cut=$(awk '$9 == 0 && $6 > 0 && $11 != "left"' "$dir/history" | wc -l)"
[ -n "${KEEP_LOGS:-}" ] && mkdir -p "$KEEP_LOGS" && cp "$dir"/history "$dir"/changes "$dir"/broken "$dir"/node*.log "$KEEP_LOGS"
ok "no request is lost, misanswered or refused untruly" [ ! -s "$dir/broken" ]
ok "documents came into force at the instances" [ "$in_force" -gt $((instances * 2)) ]
ok "most requests are answered" [ $((n_answered * 2)) -gt "$n_sent" ]
finish
