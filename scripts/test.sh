#!/usr/bin/env bash
# Runs all tests with the race detector, those of crowds of callers apart from the others. Fails if any test
# fails that KNOWN-RED.txt does not list (one line each: test, cause, issue). Prints the listed tests that
# failed.
set -uo pipefail
out=$(mktemp)
trap 'rm -f "$out"' EXIT
mapfile -t packages < <(go list ./...)
[ "${#packages[@]}" -gt 0 ] || exit 1
others=() apart=()
for p in "${packages[@]}"; do
	case $p in
	*/internal/abuse) apart+=("$p") ;;
	*) others+=("$p") ;;
	esac
done
go test -race -count=1 -timeout 20m "${others[@]}" 2>&1 | tee "$out"
status=${PIPESTATUS[0]}
go test -race -count=1 -timeout 20m "${apart[@]}" 2>&1 | tee -a "$out"
apart_status=${PIPESTATUS[0]}
[ "$status" -ne 0 ] || status=$apart_status
[ "$status" -eq 0 ] && exit 0

failed=$(sed -n 's/^--- FAIL: \([^ ]*\).*/\1/p' "$out" | sort -u)
known=$(sed -n 's/^\(Test[A-Za-z0-9_]*\):.*/\1/p' KNOWN-RED.txt 2>/dev/null | sort -u)
unknown=$(comm -23 <(echo "$failed") <(echo "$known"))
# The output of a package that did not build, panicked or timed out names none or not all of its
# tests, so that the failed tests are unknown.
if [ -z "$failed" ] || [ -n "$unknown" ] || grep -qE '^panic:|\[build failed\]|\[setup failed\]|test timed out' "$out"; then
	exit "$status"
fi
echo "known red, see KNOWN-RED.txt:"
echo "$failed"
