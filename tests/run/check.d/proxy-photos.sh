#!/usr/bin/env bash
# 50 photos of 50 MB at once, up and down, within 64 MB of resident memory.
. "$(dirname "$0")/../proxy-lib.sh"
write_view
start_servers
start_proxy
head -c 50000000 /dev/urandom >"$dir/photo"
want=$(curl -sS -m 20 -T "$dir/photo" "http://127.$run.1.11:9001/upload" | cut -d' ' -f1,2)
sum=$(curl -sS -m 20 "http://127.$run.1.11:9001/bytes/50000000" | md5sum)
peak() { awk '/VmHWM/ {print $2}' /proc/"$pid_proxy"/status; }

jobs=""
t=$(date +%s%N)
for i in $(seq 50); do
	curl -sS -m 50 -H 'X-Cassia-Class: photos' -T "$dir/photo" "$url/upload" >"$dir/up.$i" 2>&1 &
	jobs="$jobs $!"
done
# shellcheck disable=SC2086
wait $jobs
ms=$((($(date +%s%N) - t) / 1000000))
ok "50 uploads are whole (${ms} ms)" [ "$(cut -d' ' -f1,2 "$dir"/up.* | grep -c "^$want")" = 50 ]
ok "peak memory after uploads: $(peak) KB" [ "$(peak)" -le 65536 ]
jobs=""
t=$(date +%s%N)
for i in $(seq 50); do
	(curl -sS -m 50 -H 'X-Cassia-Class: photos' "$url/bytes/50000000" | md5sum >"$dir/down.$i") &
	jobs="$jobs $!"
done
# shellcheck disable=SC2086
wait $jobs
ms=$((($(date +%s%N) - t) / 1000000))
ok "50 answers are whole (${ms} ms)" [ "$(cat "$dir"/down.* | grep -cF "$sum")" = 50 ]
ok "peak memory after answers: $(peak) KB" [ "$(peak)" -le 65536 ]
finish
