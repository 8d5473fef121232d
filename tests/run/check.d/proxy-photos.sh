#!/usr/bin/env bash
# Guards against large bodies that are buffered or corrupted: 50 uploads and then 50 downloads of 50 MB at
# once, within 64 MB of resident memory.
. "$(dirname "$0")/../proxy-lib.sh"
write_view
start_servers
start_proxy
head -c 50000000 /dev/urandom >"$dir/photo"
want=$(curl -sS -m 20 -T "$dir/photo" "http://127.$run.1.11:9001/upload" | cut -d' ' -f1,2)
digest=$(curl -sS -m 20 "http://127.$run.1.11:9001/bytes/50000000" | md5sum)
peak_rss_kb() { awk '/VmHWM/ {print $2}' /proc/"$pid_proxy"/status; }

client_pids=""
t=$(date +%s%N)
for i in $(seq 50); do
	curl -sS -m 50 -H 'X-Cassia-Class: photos' -T "$dir/photo" "$url/upload" >"$dir/up.$i" 2>&1 &
	client_pids="$client_pids $!"
done
# shellcheck disable=SC2086
wait $client_pids
ms=$((($(date +%s%N) - t) / 1000000))
ok "50 uploads are complete and unchanged (${ms} ms)" [ "$(cut -d' ' -f1,2 "$dir"/up.* | grep -c "^$want")" = 50 ]
ok "peak RSS after uploads: $(peak_rss_kb) KB" [ "$(peak_rss_kb)" -le 65536 ]
client_pids=""
t=$(date +%s%N)
for i in $(seq 50); do
	(curl -sS -m 50 -H 'X-Cassia-Class: photos' "$url/bytes/50000000" | md5sum >"$dir/down.$i") &
	client_pids="$client_pids $!"
done
# shellcheck disable=SC2086
wait $client_pids
ms=$((($(date +%s%N) - t) / 1000000))
ok "50 downloads are complete and unchanged (${ms} ms)" [ "$(cat "$dir"/down.* | grep -cF "$digest")" = 50 ]
ok "peak RSS after downloads: $(peak_rss_kb) KB" [ "$(peak_rss_kb)" -le 65536 ]
finish
