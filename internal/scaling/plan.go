// Package scaling orders engines where the platform lets their number be chosen: how many, in
// which data centre and of which kind.
//
// Load pattern: bursts that come and go within seconds, shorter than a new engine takes to
// serve. Engines that may be reclaimed cost a part of the others' price, and all of one data
// centre's leave at once, for seconds without any to be had. So the number follows no burst:
// enough engines stand there for the most that is needed, most of them reclaimable, with spares
// for the loss of one data centre's, or of several in series where spares are cheap.
package scaling

import "sort"

const (
	// keptFull is how many engines of each data centre are not reclaimable: with one of each
	// stage it serves while no others are to be had anywhere, also cut off.
	keptFull = 2
	// worthwhile is what reclaimable engines may cost, spares included, as a part of the price of
	// the engines that they replace.
	worthwhile = 0.5
)

// Centre is the engines of a service in one data centre that are not leaving.
type Centre struct {
	Name string
	// Full and Spot count the engines that stay and those that may be reclaimed.
	Full int
	Spot int
	// Dry says that the platform has lately had no reclaimable engines there.
	Dry bool
}

// Input is what a plan rests on.
type Input struct {
	// Need is how many engines serve the load at its worst.
	Need int
	// Least and Most bound the engines of both kinds in one data centre.
	Least int
	Most  int
	// SpotPrice is what a reclaimable engine costs as a part of another; 0 is none to be had.
	SpotPrice float64
	// Idle says that no request has come of late.
	Idle    bool
	Centres []Centre
}

// Wanted is how many engines of each kind a data centre is to have.
type Wanted struct {
	Full int
	Spot int
}

// Plan returns what each data centre is to have, by name.
func Plan(in Input) map[string]Wanted {
	out := make(map[string]Wanted, len(in.Centres))
	if len(in.Centres) == 0 {
		return out
	}
	full, spot := in.split()
	for _, c := range in.Centres {
		out[c.Name] = Wanted{Full: full, Spot: spot}
	}
	in.fillDry(out)
	in.keepServing(out)
	return out
}

// split returns the engines of each kind for each data centre while all can be had.
func (in *Input) split() (full, spot int) {
	centres := len(in.Centres)
	part := min(max(ceilDiv(in.Need, centres), in.Least), in.Most)
	if in.SpotPrice <= 0 || in.SpotPrice > worthwhile {
		return part, 0
	}
	full = min(keptFull, in.Most)
	replaced := max(in.Need-centres*full, 0)
	spot = ceilDiv(replaced, centres)
	// Reclaims come in series: the next one before the engines of the first are back. As many
	// data centres' loss is borne as its spares are worth.
	for left := centres - 1; left >= 1; left-- {
		more := min(ceilDiv(replaced, left), in.Most-full)
		if float64(centres*more)*in.SpotPrice > worthwhile*float64(replaced) {
			break
		}
		spot = more
	}
	return full, min(max(spot, in.Least-full), in.Most-full)
}

// fillDry has the other data centres make up for those without reclaimable engines, and buys
// other engines for what is then short.
func (in *Input) fillDry(out map[string]Wanted) {
	have := 0
	for _, c := range in.Centres {
		w := out[c.Name]
		have += w.Full
		if c.Dry {
			have += min(c.Spot, w.Spot)
			continue
		}
		have += w.Spot
	}
	short := in.Need - have
	for _, c := range in.sorted() {
		if w := out[c.Name]; !c.Dry && short > 0 && in.SpotPrice > 0 {
			more := min(short, max(in.Most-w.Full-w.Spot, 0))
			w.Spot += more
			short -= more
			out[c.Name] = w
		}
	}
	for _, c := range in.sorted() {
		w := out[c.Name]
		if short <= 0 {
			return
		}
		room := in.Most - w.Full - w.Spot
		if c.Dry {
			// What cannot be had takes no room.
			room = in.Most - w.Full - c.Spot
		}
		more := min(short, max(room, 0))
		w.Full += more
		w.Spot = min(w.Spot, in.Most-w.Full)
		short -= more
		out[c.Name] = w
	}
}

// keepServing keeps engines that stay until those that take their place serve. Without
// requests none waits for them.
func (in *Input) keepServing(out map[string]Wanted) {
	if in.Idle {
		return
	}
	present := 0
	for _, c := range in.Centres {
		present += c.Full + c.Spot
	}
	spare := max(present-in.Need, 0)
	for _, c := range in.sorted() {
		w := out[c.Name]
		drop := max(c.Full-w.Full, 0)
		if kept := drop - min(drop, spare); kept > 0 {
			w.Full += kept
			w.Spot = min(w.Spot, in.Most-w.Full)
		}
		spare -= min(drop, spare)
		out[c.Name] = w
	}
}

// sorted returns the data centres by name.
func (in *Input) sorted() []Centre {
	cs := append([]Centre(nil), in.Centres...)
	sort.Slice(cs, func(i, j int) bool { return cs[i].Name < cs[j].Name })
	return cs
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
