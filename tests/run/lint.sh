#!/usr/bin/env bash
# Runs clang-format, clang-tidy and cppcheck over all sources; exits with 1 if any of them has a finding.
set -u
cd "$(dirname "$0")/../.."
files=$(git ls-files -co --exclude-standard '*.c' '*.h')
srcs=$(git ls-files -co --exclude-standard '*.c')
rc=0
log=$(mktemp)
trap 'rm -f "$log"' EXIT
# shellcheck disable=SC2086
clang-format --dry-run -Werror $files || rc=1
flags="-std=gnu11 -D_GNU_SOURCE -DCS_VERSION=\"0\" -DCS_FAULTS=0 -Ilib -I. $(pkg-config --cflags libzmq libmicrohttpd libcurl glib-2.0 jansson msgpack libxxhash libbsd libsodium)"
# shellcheck disable=SC2086
echo "$srcs" | xargs -P "${LINT_JOBS:-6}" -n 1 sh -c 'f=$0; clang-tidy --quiet "$f" "$@" -- '"$(printf '%q ' $flags)"' 2>/dev/null' >"$log" 2>&1 || rc=1
grep -E 'error:|warning:' "$log"
# shellcheck disable=SC2086
cppcheck --quiet --std=c11 --enable=warning,performance,portability --inline-suppr --error-exitcode=1 \
	--suppress=missingIncludeSystem --suppress=normalCheckLevelMaxBranches -j 6 \
	--include=tests/run/cppcheck.h -Ilib -I. -D_GNU_SOURCE -DCS_FAULTS=0 '-DCS_VERSION="0"' $srcs || rc=1
[ $rc -eq 0 ] && echo "lint: clean"
exit $rc
