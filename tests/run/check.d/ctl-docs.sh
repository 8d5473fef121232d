#!/usr/bin/env bash
# Guards against documentation and shell completion that lack a configuration key, command, flag or exit
# code of the programs.
set -u
cd "$(dirname "$0")/../../.."
bin=${BUILD:-build}/bin
rc=0

report_missing() {
	echo "FAILED: $*"
	rc=1
}

while read -r line; do
	[ -z "$line" ] || grep -qxF -- "$line" docs/configuration.md || report_missing "docs/configuration.md lacks: $line"
done < <("$bin/cassiactl" keys --markdown)

for p in cassiactl cassia-agentd cassia-lookupd cassia-proxyd cassia-load cassia-check; do
	[ -f "man/$p.1" ] || {
		report_missing "man/$p.1 is missing"
		continue
	}
	page=$(sed 's/\\-/-/g' "man/$p.1")
	for f in $("$bin/$p" --help | grep -oE '^ +--[a-z-]+' | sort -u); do
		grep -qE -- "$f( |=|$)" <<<"$page" || report_missing "man/$p.1 lacks $f"
		[ "$p" = cassiactl ] || [ "$f" = --version ] || grep -qF "\`$f\`" docs/configuration.md ||
			report_missing "docs/configuration.md lacks $f of $p"
	done
done

page=$(sed 's/\\-/-/g' man/cassiactl.1)
while read -r name; do
	grep -qE "^\.SS $name( |$)" <<<"$page" || report_missing "man/cassiactl.1 lacks the command $name"
	grep -q -- "${name%% *}" completion/cassiactl.bash || report_missing "the completion lacks the command $name"
	# shellcheck disable=SC2086
	for f in $("$bin/cassiactl" $name --help | grep -oE '^ +--[a-z-]+'); do
		grep -qE -- "$f( |$)" <<<"$page" || report_missing "man/cassiactl.1 lacks $f of $name"
		grep -q -- "$f" completion/cassiactl.bash || report_missing "the completion lacks $f of $name"
	done
done < <("$bin/cassiactl" --help | sed -nE 's/^  ([a-z]+( [a-z]+)?)  +[A-Z].*/\1/p')
for code in 0 1 2 3 4 5 6; do
	grep -q "^| $code |" docs/operators.md || report_missing "docs/operators.md lacks exit code $code"
done
[ $rc -eq 0 ] && echo "ok"
exit $rc
