#!/usr/bin/env bash
# Guards against a randomized test that does not detect configuration revisions going back. The test
# must pass in a build with FAULTS=1, and must fail there with the revision check disabled
# (CASSIA_FAULT=revision).
set -u
cd "$(dirname "$0")/../../.."
make --no-print-directory -s -j4 FAULTS=1 BUILD=build-faults build-faults/tests/test-core-random || exit 1
test=build-faults/tests/test-core-random
if ! timeout 40 "$test" --tap; then
	echo "FAILED: test-core-random fails without an injected fault"
	exit 1
fi
if out=$(CASSIA_FAULT=revision timeout 40 "$test" --tap 2>&1); then
	echo "FAILED: test-core-random passes with the revision check disabled"
	exit 1
fi
echo "$out" | grep -q "reverted from revision" || {
	echo "$out" | tail -5
	echo "FAILED: test-core-random failed for another reason than a revision going back"
	exit 1
}
echo "ok"
