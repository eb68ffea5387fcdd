# Prints how the generations of each route were admitted, by second and by their size, from
# the lines of garnet-node on standard input:
#   cat vm-*.log | awk -v by=prompt_size -f scripts/admission.awk
# by is prompt_size or answer_size, the bands in which the VMs place a request among the last
# ones of its route. tries are those of callers; then the shares that were served, sent at once
# or after a wait, refused at once and after a wait, failed, and each reason of a refusal.
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
