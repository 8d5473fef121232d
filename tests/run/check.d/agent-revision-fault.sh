#!/usr/bin/env bash
# Guards against a random test that would not notice revisions going back: with the mechanism
# turned off in a build with fault switches it must fail, with it on it must pass.
set -u
cd "$(dirname "$0")/../../.."
make --no-print-directory -s -j4 FAULTS=1 BUILD=build-faults build-faults/tests/test-core-random || exit 1
test=build-faults/tests/test-core-random
if ! timeout 40 "$test" --tap; then
	echo "FAILED: the histories fail without a fault"
	exit 1
fi
if out=$(CASSIA_FAULT=revision timeout 40 "$test" --tap 2>&1); then
	echo "FAILED: no history shows that revisions go back"
	exit 1
fi
echo "$out" | grep -q "went from revision" || {
	echo "$out" | tail -5
	echo "FAILED: another fault than the one turned on"
	exit 1
}
echo "ok"
