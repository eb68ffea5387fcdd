# Prints the outcomes of the generations of each route by size, the largest tenth first, from the
# logs of garnet-node on standard input:
#   cat vm-*.log | awk -f scripts/sizes.awk
# Sizes are prompt tokens, and answer tokens as the caller expects them. Each attempt of a caller
# counts as a request. served, refused and failed are shares of the requests in the tenth.
function value(key,    i, s) {
	i = index($0, " " key "=")
	if (i == 0) return ""
	s = substr($0, i + length(key) + 2)
	sub(/ .*/, "", s)
	return s
}
function take(route, by, size, event) { printf "%s\t%s\t%d\t%s\n", route, by, size, event | "sort -t'\t' -k1,1 -k2,2 -k3,3nr | awk -F'\t' -f scripts/tenths.awk" }
/ event=request_(served|refused|failed) / {
	if (value("prompt") == "") next
	event = substr(value("event"), 9)
	take(value("route"), "prompt", value("prompt"), event)
	take(value("route"), "answer", value("output"), event)
}
