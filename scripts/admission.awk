# Prints how the generations of each route were admitted, by second and by size, from the logs
# of garnet-node on standard input:
#   cat vm-*.log | awk -v by=prompt_size -f scripts/admission.awk
# by is prompt_size or answer_size: the size band that a VM gives a request, relative to the
# recent requests of its route. The columns are the number of callers' attempts, and the shares
# of these that were served and refused, each at once or after a wait, that failed, and that were
# refused for each reason.
function value(key,    i, s) {
	i = index($0, " " key "=")
	if (i == 0) return ""
	s = substr($0, i + length(key) + 2)
	sub(/ .*/, "", s)
	return s
}
function second(    i) {
	i = index($0, "time=\"")
	return i ? substr($0, i + 17, 8) : "-"
}
function add(what) { n[key, what]++; if (!(what in named)) { named[what] = 1; names[++kinds] = what } }
BEGIN { if (by == "") by = "prompt_size" }
/ event=request_(served|refused|failed) / {
	band = value(by)
	if (band == "") next
	waited = value("deferred_ms") == "" ? "at_once" : "waited"
	event = substr(value("event"), 9)
	at = second()
	for (i = 0; i < 2; i++) {
		key = value("route") "\t" (i ? "day" : at) "\t" band
		tries[key]++
		if (event == "failed") add("failed:" value("kind"))
		else add(event "_" waited)
		if (value("late") != "") add("late")
		if (event == "refused") add("reason:" value("reason"))
	}
}
END {
	for (key in tries) {
		line = key "\t" tries[key]
		for (k = 1; k <= kinds; k++) if ((key, names[k]) in n) line = line sprintf("\t%s %.2f", names[k], n[key, names[k]] / tries[key])
		print line | "sort"
	}
}
