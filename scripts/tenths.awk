# Reads lines of ROUTE, MEASURE, SIZE and EVENT, sorted by falling size within each route and
# measure, and prints the range of sizes and the shares of events of each tenth. Used by sizes.awk.
function flush_group(    t, i, from, to, c) {
	for (t = 0; t < 10 && n > 0; t++) {
		from = int(n * t / 10); to = int(n * (t + 1) / 10)
		if (to == from) continue
		c["served"] = c["refused"] = c["failed"] = 0
		for (i = from; i < to; i++) c[event[i]]++
		printf "%s\t%s\ttenth %d\t%d to %d\tserved %.2f\trefused %.2f\tfailed %.2f\n", route, measure, t + 1, size[to - 1], size[from], c["served"] / (to - from), c["refused"] / (to - from), c["failed"] / (to - from)
	}
	n = 0
}
$1 != route || $2 != measure { flush_group(); route = $1; measure = $2 }
{ size[n] = $3; event[n] = $4; n++ }
END { flush_group() }
