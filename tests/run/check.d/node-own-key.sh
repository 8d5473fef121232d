#!/usr/bin/env bash
# Guards against an instance whose key in the store is that of its former process, written late, or is gone with the
# lease of that process: instances that start later would not find it.
. "$(dirname "$0")/../node-lib.sh"
key=cassia/instances/front-z1-1
put() { curl -sSf "$control/put?key=$1" -d "$2" >/dev/null; }
value() { curl -sS "http://$store:8142/v1/kv-key?key=$key" | jq -r '.items[0].value // .value' | base64 -d; }
boot() { value 2>/dev/null | jq .boot; }
has_boot() { [ "$(boot)" = "$1" ]; }
replaced() { [ "$(grep -c event=instance.key_replaced "$dir/node1.log")" -ge "$1" ]; }

start_platform
document 5
start_node 1 z1
start_node 2 z2
wait_for 10 ready 1 && wait_for 10 ready 2
wait_for 5 value
own=$(value) own_boot=$(boot)
former=$(jq -c ".boot = $own_boot - 60000 | .reports_port = 9" <<<"$own")

put $key "$former"
ok "the key of a former process is replaced" wait_for 3 has_boot "$own_boot"
ok "by the same value as before" [ "$(value)" = "$own" ]
ok "the log names it" wait_for 3 grep -q "event=instance.key_replaced .*boot=$((own_boot - 60000))" "$dir/node1.log"
curl -sSf "$control/delete?key=$key" >/dev/null
ok "a key that was removed is written again" wait_for 3 has_boot "$own_boot"
later=$(jq -c ".boot = $own_boot + 60000" <<<"$own")
put $key "$later"
sleep 1
ok "the key of a later process is left alone" has_boot $((own_boot + 60000))
ok "it was written again twice" wait_for 3 replaced 2
finish
