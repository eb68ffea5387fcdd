#!/bin/sh
# Converts the output of Go benchmarks to lines of the form "figure NAME VALUE UNIT".
awk '/^Benchmark/ {
	name = $1
	sub(/^Benchmark/, "", name)
	sub(/-[0-9]+$/, "", name)
	gsub(/\//, "_", name)
	if (name ~ /^Pick_/) { sub(/^Pick_/, "", name); name = "route_decision_" name "_candidates" }
	for (i = 3; i < NF; i += 2) print "figure " tolower(name) "_" $(i+1) " " $i " " $(i+1)
}' | sed 's,_ns/op ,_ns ,; s,_B/op ,_bytes ,; s,_allocs/op ,_allocs ,; s,_ns/token ,_ns_per_token ,'
