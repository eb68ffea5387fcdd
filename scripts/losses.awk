# Prints how many requests of each route were late, refused or failed, and why, from the logs of
# garnet-node on standard input:
#   cat vm-*.log | awk -f scripts/losses.awk
# A request counts as on time, as late because of its first byte (late_first) or of a pause between
# events (late_pause), as refused, or as failed; the last two by kind. Each attempt of a caller
# counts as a request.
function value(key,    i, s) {
	i = index($0, " " key "=")
	if (i == 0) return ""
	s = substr($0, i + length(key) + 2)
	sub(/ .*/, "", s)
	return s
}
/ event=request_(served|refused|failed) / {
	route = value("route")
	event = value("event")
	late = value("late")
	if (event == "request_served") what = late == "" ? "on_time" : "late_" late
	else what = substr(event, 9) ":" value("kind")
	if (index($0, "inplace~") > 0) how = "inplace"
	else if (index($0, "prefill~") > 0) how = "apart"
	else how = "-"
	count[route "\t" how "\t" what]++
	total[route]++
}
END {
	for (k in count) {
		split(k, part, "\t")
		printf "%s\t%s\t%-24s %6d %6.3f\n", part[1], part[2], part[3], count[k], count[k] / total[part[1]] | "sort"
	}
}
