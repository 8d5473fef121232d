#!/usr/bin/env bash
# figures: photo_mb_s photo_mb_s_ratio photo_rss_mb
# 50 concurrent uploads of 50 MB through one proxy and directly; peak resident memory of the proxy.
set -u
cd "$(dirname "$0")/../.."
source tests/bench/lib.bash
LINKS=0
SERVER_BEHAVIOUR='{"service_ms":1}'
deploy_topology one
CLASSES=$(sed 's/"latency_target_ms":2000/"latency_target_ms":20000/; s/"timeout_ms":4000/"timeout_ms":60000/' <<<"$CLASSES")
deploy_start
sleep 1
stream='"class":"photos","rate":100,"arrivals":"even","to_s":0.505,"deadline_ms":50000,"upload_bytes":50000000'

# upload URLS NAME: prints the MB/s from the first planned send to the last response.
upload() {
	plan 1 '[]' "{$stream,\"direct\":$1}" | load_run "$2"
	jq -s '(map(select(.outcome == "ok")) | length * 50) / ((map(.end_us) | max) - (map(.planned_us) | min)) * 1e6' "$RUNDIR/$2.jsonl"
}

direct=$(upload "$(server_urls files)" direct)
proxied=$(upload "$(proxy_urls)" proxied)
rss=$(awk '/^VmHWM/ { print $2 / 1024 }' "/proc/${PID[north-a-1/proxyd]}/status")
log_summaries
[ "$(load_field proxied photos ok)" -ge 50 ] || die "fewer than 50 uploads succeeded: $(cat "$RUNDIR/proxied.json")"
printf 'photo_mb_s %.0f MB/s\n' "$proxied"
echo "photo_mb_s_ratio $(calc "$proxied / $direct") 1"
printf 'photo_rss_mb %.1f MB\n' "$rss"
