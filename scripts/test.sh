#!/usr/bin/env bash
# Runs every test with the race detector. Fails unless all pass, but for those
# that KNOWN-RED.txt lists (one line each: test, cause, issue), which it prints.
set -uo pipefail
out=$(mktemp)
trap 'rm -f "$out"' EXIT
go test -race -count=1 -timeout 20m ./... 2>&1 | tee "$out"
status=${PIPESTATUS[0]}
[ "$status" -eq 0 ] && exit 0

failed=$(sed -n 's/^--- FAIL: \([^ ]*\).*/\1/p' "$out" | sort -u)
known=$(sed -n 's/^\(Test[A-Za-z0-9_]*\):.*/\1/p' KNOWN-RED.txt 2>/dev/null | sort -u)
unknown=$(comm -23 <(echo "$failed") <(echo "$known"))
# A package that did not build, panicked or ran out of time names no test, or not
# all that it holds.
if [ -z "$failed" ] || [ -n "$unknown" ] || grep -qE '^panic:|\[build failed\]|\[setup failed\]|test timed out' "$out"; then
	exit "$status"
fi
echo "known red, see KNOWN-RED.txt:"
echo "$failed"
