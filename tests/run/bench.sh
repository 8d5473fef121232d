#!/usr/bin/env bash
# Runs the benchmarks of section 15 of the design page and prints lines NAME VALUE UNIT to the terminal and
# to BUILD/bench.txt. ONLY=NAME runs only the group that measures this figure; further parameters are
# described in the groups' files. A failed group prints "NAME failed -" for its figures, and the run exits
# with 1.
set -u
cd "$(dirname "$0")/../.."
build=${BUILD:-build}
mkdir -p "$build"
: >"$build/bench.txt"
rc=0
start_s=$SECONDS

figures_of() { sed -n 's/^# figures: //p' "$1"; }

is_selected() {
	[ -z "${ONLY:-}" ] && return 0
	case " $(figures_of "$1") " in *" $ONLY "*) return 0 ;; esac
	return 1
}

run_group() {
	local out
	out=$(timeout 120 bash "$1" 2>"$build/bench-$(basename "$1" .sh).log")
	if [ $? -ne 0 ] || [ -z "$out" ]; then
		for name in $(figures_of "$1"); do
			echo "$out" | grep -q "^$name " || out="$out${out:+$'\n'}$name failed -"
		done
		rc=1
	fi
	echo "$out" | tee -a "$build/bench.txt"
}

run_program() {
	local out
	out=$(timeout 60 "$1" 2>"$build/$(basename "$1").log") || rc=1
	[ -n "${ONLY:-}" ] && out=$(echo "$out" | grep "^$ONLY ")
	[ -n "$out" ] && echo "$out" | tee -a "$build/bench.txt"
}

for group in tests/bench/*.sh; do
	is_selected "$group" && run_group "$group"
done
for program in "$build"/tests/bench-*; do
	[ -x "$program" ] && [ ! -d "$program" ] && case $program in *.log) ;; *) run_program "$program" ;; esac
done
echo "bench: $((SECONDS - start_s)) s, load average $(cut -d' ' -f1-3 /proc/loadavg)"
exit $rc
