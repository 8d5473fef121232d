#!/usr/bin/env bash
# Runs every unit test program (GLib tests with TAP output) and prints the failed programs and the totals.
# Failures of a program that is listed in KNOWN-RED.txt are counted as skipped.
set -u
cd "$(dirname "$0")/../.."
build=${BUILD:-build}
pass=0
fail=0
skip=0
for t in "$build"/tests/test-*; do
	case $t in *.log) continue ;; esac
	[ -x "$t" ] || continue
	name=$(basename "$t")
	log="$t.log"
	timeout 120 "$t" --tap >"$log" 2>&1
	rc=$?
	ok=$(grep -c '^ok ' "$log")
	bad=$(grep -c '^not ok ' "$log")
	if [ $rc -ne 0 ] && [ "$bad" -eq 0 ]; then
		bad=1
	fi
	if [ "$bad" -ne 0 ] && grep -q "^unit $name " KNOWN-RED.txt 2>/dev/null; then
		echo "known red: $name"
		skip=$((skip + bad))
		bad=0
	elif [ "$bad" -ne 0 ]; then
		echo "FAILED $name (exit $rc)"
		tail -30 "$log"
	fi
	pass=$((pass + ok))
	fail=$((fail + bad))
done
echo "$pass passed, $fail failed, $skip skipped"
[ $fail -eq 0 ] && [ $pass -gt 0 ]
