#!/usr/bin/env bash
# figures: hol_p99_ratio
# Head-of-line blocking: ratio of the p99 latency of small requests with photo uploads that use 90% of a
# 400 Mbit/s region link to the p99 latency without them. All clients are in one region and all servers in
# the other. The photo uploads run in a separate load process.
set -u
cd "$(dirname "$0")/../.."
source tests/bench/lib.bash
LINK_MBIT=400
PHOTO_BYTES=1000000
PHOTO_RPS=45
SERVER_BEHAVIOUR='{"service_ms":10,"jitter_pct":50}'
deploy_topology small
deploy_server_list_all() { deploy_server_list | jq -c --arg r "$RUN" 'map(.zone = "south-a" | .address |= sub("127\\.[0-9]+\\.[0-9]+\\."; "127.\($r).2.")) | to_entries | map(.value.address = "127.\($r).2.\(30 + .key)" | .value)'; }
# Replaces the server list of deploy_platform: all servers are in the second zone.
eval "$(declare -f deploy_platform | sed 's/deploy_server_list >/deploy_server_list_all >/')"
deploy_start
sleep 1
callers=$(deploy_callers 2 1)
small='{"class":"status","rate":200,"warm_s":2}'
plan 7 "$callers" "$small" | load_run without-photos
load_start photos < <(plan 8 "$callers" "{\"class\":\"photos\",\"rate\":$PHOTO_RPS,\"arrivals\":\"even\",\"upload_bytes\":$PHOTO_BYTES,\"deadline_ms\":4000}")
sleep 0.5
plan 7 "$callers" "$small" | load_run with-photos
load_wait photos
log_summaries
[ "$(load_field photos photos ok)" -gt $((PHOTO_RPS * 4)) ] || die "too few photo uploads succeeded: $(cat "$RUNDIR/photos.json")"
echo "hol_p99_ratio $(calc "$(load_field with-photos status p99_us) / $(load_field without-photos status p99_us)") 1"
