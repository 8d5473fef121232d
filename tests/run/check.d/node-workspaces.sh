#!/usr/bin/env bash
# Guards against keys that reach a server, names of workspaces that a client sets itself, requests with an unknown,
# withdrawn or ambiguous key that are run, and quotas that are not kept. Two instances, two zones.
. "$(dirname "$0")/../node-lib.sh"
# with_workspaces VERSION WORKSPACES: stores the document with a list of workspaces and a public route.
with_workspaces() {
	curl -sSf "$control/put?key=op/config" -d "{\"version\":\"r$1\",\"routes\":[
	 {\"name\":\"r-safe\",\"host\":\"h.example\",\"prefix\":\"/safe/\",\"kind\":\"safe\",\"timeout-ms\":1500,\"service\":\"svc\",\"max-attempts\":2},
	 {\"name\":\"r-upload\",\"host\":\"h.example\",\"prefix\":\"/upload/\",\"kind\":\"upload\",\"timeout-ms\":1500,\"service\":\"svc\",\"max-attempts\":2},
	 {\"name\":\"r-open\",\"host\":\"h.example\",\"prefix\":\"/open/\",\"kind\":\"safe\",\"timeout-ms\":1500,\"service\":\"svc\",\"public\":true}],
	 \"services\":[{\"name\":\"svc\",\"health-path\":\"/health\"}],\"limits\":{\"idle-timeout-ms\":15000},\"tenants\":[$2]}" >/dev/null
}
a='{"name":"ws-a","api-keys":["key-a-1","key-a-2"]}'
b='{"name":"ws-b","api-keys":["key-b"],"rate-per-s":20,"burst":20}'
z='{"name":"ws-z2","api-keys":["key-z"],"home-regions":["rz2"]}'
in_force() { grep -q "event=document.in_force .*version=$1 " "$dir/node1.log" && grep -q "event=document.in_force .*version=$1 " "$dir/node2.log"; }
key() { call "$1" "$2" -H "Cassiascale-Key: $3" "${@:4}"; }
lacks_key() { ! grep -q 'key-[abz]' "$dir"/node?.log; }

start_platform
with_workspaces 7 "$a,$b,$z"
start_node 1 z1
start_node 2 z2
wait_for 10 ready 1 && wait_for 10 ready 2 || echo "an instance did not become ready within 10 s"

ok "a request with a key reaches a server under the workspace's name, without the key" has "$(key 1 /safe/x key-a-2)" 'server=.* workspace=ws-a key=-'
ok "the client's own name of a workspace is replaced" has "$(key 1 /safe/x key-a-1 -H 'Cassiascale-Tenant-Name: ws-b' -H 'cassiascale-tenant-name: ws-z2')" 'workspace=ws-a key=-'
ok "another spelling of the header is the key too, and is not passed on" has "$(call 1 /safe/x -H 'cASSIASCALE-kEY: key-a-1')" 'workspace=ws-a key=-'
ok "no key" has "$(call 1 /safe/x)" '401 .*key_missing|key_missing'
ok "an unknown key" has "$(key 1 /safe/x key-a)" 'HTTP/1.1 401'
ok "an empty key" has "$(call 1 /safe/x -H 'Cassiascale-Key;')" 'HTTP/1.1 401'
ok "two keys" has "$(key 1 /safe/x key-a-1 -H 'Cassiascale-Key: key-b')" 'key_ambiguous'
ok "a key of 8 KB" has "$(key 1 /safe/x "$(printf 'k%.0s' {1..8192})")" 'HTTP/1.1 401'
ok "a key of 64 KB" has "$(key 1 /safe/x "$(printf 'k%.0s' {1..65536})")" 'HTTP/1.1 431'
ok "a public route needs no key" has "$(call 1 /open/x)" 'server=.* path=/open/x id=[a-z0-9-]*$'
ok "a public route removes what the client says of workspaces" lacks "$(key 1 /open/x key-a-1 -H 'Cassiascale-Tenant-Name: ws-b')" 'workspace='
ok "an uploaded body keeps the name" has "$(head -c 1500000 /dev/zero | key 1 /upload/x key-a-1 --data-binary @-)" 'workspace=ws-a key=-'
# A key in the trailers of a chunked body, and one on a folded line, are none.
raw() { printf '%b' "$1" | timeout 3 bash -c 'exec 3<>/dev/tcp/127.'"$run"'.1.1/8144; cat >&3; cat <&3'; }
head="Host: h.example\\r\\nCassiascale-Attempt-Id: raw\\r\\nCassiascale-Deadline-Milliseconds: 2000\\r\\nConnection: close\\r\\n"
ok "a key in the trailers" has "$(raw "POST /upload/t HTTP/1.1\\r\\n${head}Transfer-Encoding: chunked\\r\\n\\r\\n1\\r\\nx\\r\\n0\\r\\nCassiascale-Key: key-a-1\\r\\n\\r\\n")" 'HTTP/1.1 401'
ok "a folded header" lacks "$(raw "GET /safe/f HTTP/1.1\\r\\n${head}X-Fold: a\\r\\n Cassiascale-Key: key-a-1\\r\\n\\r\\n")" 'HTTP/1.1 200'
ok "the home regions of the workspace bind" has "$(for _ in 1 2 3 4 5 6; do key 1 /safe/x key-z; done | grep -o 'server=i-[0-9]*' | sort -u | tr '\n' ' ')" '^(server=i-[34] ?)+$'

# Over the quota: 20 a second and a burst of 20 leave 60 to 120 of 300 within 2 s, over both instances.
sleep 2
for n in $(seq 150); do
	printf 'url=http://127.%s.1.1:8144/safe/q\nurl=http://127.%s.2.1:8144/safe/q\n' "$run" "$run"
done >"$dir/urls"
curl -sS -K "$dir/urls" --parallel --parallel-max 8 -o /dev/null -H 'Host: h.example' -H 'Cassiascale-Key: key-b' -w '%{http_code} %header{retry-after}\n' >"$dir/codes" 2>/dev/null
served=$(grep -c '^200' "$dir/codes")
ok "no more than the quota's window allows is run ($served of 300)" [ "$served" -le 120 ]
ok "the quota does not refuse all" [ "$served" -ge 5 ]
ok "what is over it gets 429 with a Retry-After" has "$(grep -c '^429 [0-9.]' "$dir/codes")" '^[1-9]'
ok "a workspace without a quota is served meanwhile" has "$(key 2 /safe/x key-a-1)" 'workspace=ws-a'

with_workspaces 8 '{"name":"ws-a","api-keys":["key-a-2"]}'
wait_for 5 in_force 8 || echo "the document is not in force"
ok "a withdrawn key" has "$(key 1 /safe/x key-a-1)" 'HTTP/1.1 401'
ok "the other key of the workspace" has "$(key 2 /safe/x key-a-2)" 'workspace=ws-a'

# Without the store the keys are honoured until the bound of 3 s, and not beyond.
curl -sSf "$control/mode?mode=silent" >/dev/null
ok "shortly after the store went away the key is honoured" has "$(key 1 /safe/x key-a-2)" 'HTTP/1.1 200'
sleep 4
ok "later requests with a key are refused" has "$(id=x-old key 1 /safe/x key-a-2)" 'keys_out_of_date'
ok "the refusal says when to come back" has "$(key 1 /safe/x key-a-2)" '[Rr]etry-[Aa]fter: 1'
ok "public routes are served on" has "$(call 1 /open/x)" 'HTTP/1.1 200'
not_ready() { ! ready 1; }
ok "the instance is not ready" not_ready
ok "the directory does not name it" lacks "$(curl -sS "http://127.$run.1.1:8143/v1/resolve?name=h.example&region=rz1&zone=z1")" "127.$run.1.1:"
curl -sSf "$control/mode?mode=ok" >/dev/null
served_again() { key 1 /safe/x key-a-2 | grep -q 'HTTP/1.1 200'; }
ok "with the store the key is honoured again" wait_for 5 served_again
ok "no key stands in a log" lacks_key
# explains CAUSE ID: cassiactl explain names the cause of the request.
explains() { "$build/bin/cassiactl" explain "$2" --logs "$dir/node1.log" --logs "$dir/node2.log" 2>&1 | grep -q "^cause: $1"; }
id=x-key key 1 /safe/x key-a-9 >/dev/null
sleep 0.6
ok "the metrics count the workspace's requests" has "$(curl -sS "http://127.$run.1.1:9464/metrics")" 'cassia_node_workspace_requests_total.kind="answered",workspace="ws-a". [1-9]'
ok "explain names an unknown key" explains key_unknown x-key
ok "explain names keys that are out of date" explains keys_out_of_date x-old
finish
