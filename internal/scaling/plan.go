// Package scaling decides how many engines of which kind a service has in each data centre, and
// orders them from the platform, for services whose number of engines may be chosen.
//
// Load pattern: bursts come and go within seconds, in less time than a new engine takes to boot.
// Spot engines cost a fraction of the on-demand price, but the platform reclaims all of a data
// centre's at once, and for some seconds after that none are available. The number of engines
// therefore does not follow the load: there are always enough for the peak, most of them spot
// engines, with spares for the loss of one data centre's spot engines, or of several in a row
// where spares are cheap.
package scaling

import "sort"

const (
	// minOnDemand is how many on-demand engines each data centre keeps. With two engines, one of
	// each stage, a data centre can serve while no spot engines are available anywhere, even when
	// it is cut off from the other data centres.
	minOnDemand = 2
	// maxSpotCostShare is the highest cost of spot engines, spares included, as a fraction of the
	// price of the on-demand engines that they replace.
	maxSpotCostShare = 0.5
)

// DataCentre counts the engines of a service in one data centre that are not leaving.
type DataCentre struct {
	Name string
	// OnDemand counts the engines that are not reclaimed, and Spot those that may be.
	OnDemand int
	Spot     int
	// SpotUnavailable says that the platform has recently had no spot engines there.
	SpotUnavailable bool
}

// PlanInput holds the state and the limits that a plan is made from.
type PlanInput struct {
	// Need is how many engines the peak load needs.
	Need int
	// Min and Max bound the engines of both kinds together in one data centre.
	Min int
	Max int
	// SpotPrice is the price of a spot engine as a fraction of the on-demand price; 0 means that
	// there are no spot engines.
	SpotPrice float64
	// Idle says that the service has had no requests recently.
	Idle        bool
	DataCentres []DataCentre
}

// Counts holds how many engines of each kind a data centre should have.
type Counts struct {
	OnDemand int
	Spot     int
}

// Plan returns how many engines each data centre should have, by name.
func Plan(in PlanInput) map[string]Counts {
	out := make(map[string]Counts, len(in.DataCentres))
	if len(in.DataCentres) == 0 {
		return out
	}
	onDemand, spot := in.baseCounts()
	for _, c := range in.DataCentres {
		out[c.Name] = Counts{OnDemand: onDemand, Spot: spot}
	}
	in.coverShortage(out)
	in.keepUntilReplaced(out)
	return out
}

// baseCounts returns how many engines of each kind every data centre should have while both kinds
// are available in all of them.
func (in *PlanInput) baseCounts() (onDemand, spot int) {
	dataCentres := len(in.DataCentres)
	perDataCentre := min(max(ceilDiv(in.Need, dataCentres), in.Min), in.Max)
	if in.SpotPrice <= 0 || in.SpotPrice > maxSpotCostShare {
		return perDataCentre, 0
	}
	onDemand = min(minOnDemand, in.Max)
	replaced := max(in.Need-dataCentres*onDemand, 0)
	spot = ceilDiv(replaced, dataCentres)
	// Reclaims may come in a row, the next one before the engines lost in the first are replaced.
	// Spares are planned for the loss of as many data centres' spot engines as maxSpotCostShare
	// allows.
	for left := dataCentres - 1; left >= 1; left-- {
		more := min(ceilDiv(replaced, left), in.Max-onDemand)
		if float64(dataCentres*more)*in.SpotPrice > maxSpotCostShare*float64(replaced) {
			break
		}
		spot = more
	}
	return onDemand, min(max(spot, in.Min-onDemand), in.Max-onDemand)
}

// coverShortage changes the plan in out to make up for data centres where no spot engines are
// available: it adds spot engines in the other data centres first, and on-demand engines for what
// is still missing.
func (in *PlanInput) coverShortage(out map[string]Counts) {
	available := 0
	for _, c := range in.DataCentres {
		counts := out[c.Name]
		available += counts.OnDemand
		if c.SpotUnavailable {
			available += min(c.Spot, counts.Spot)
			continue
		}
		available += counts.Spot
	}
	short := in.Need - available
	for _, c := range in.sortedDataCentres() {
		if counts := out[c.Name]; !c.SpotUnavailable && short > 0 && in.SpotPrice > 0 {
			more := min(short, max(in.Max-counts.OnDemand-counts.Spot, 0))
			counts.Spot += more
			short -= more
			out[c.Name] = counts
		}
	}
	for _, c := range in.sortedDataCentres() {
		counts := out[c.Name]
		if short <= 0 {
			return
		}
		room := in.Max - counts.OnDemand - counts.Spot
		if c.SpotUnavailable {
			// Spot engines that are not available take up no room.
			room = in.Max - counts.OnDemand - c.Spot
		}
		more := min(short, max(room, 0))
		counts.OnDemand += more
		counts.Spot = min(counts.Spot, in.Max-counts.OnDemand)
		short -= more
		out[c.Name] = counts
	}
}

// keepUntilReplaced raises the numbers of on-demand engines in out, so that on-demand engines are
// kept until the engines that replace them serve. An idle service has no requests that would have
// to wait, so its engines are given back at once.
func (in *PlanInput) keepUntilReplaced(out map[string]Counts) {
	if in.Idle {
		return
	}
	present := 0
	for _, c := range in.DataCentres {
		present += c.OnDemand + c.Spot
	}
	spare := max(present-in.Need, 0)
	for _, c := range in.sortedDataCentres() {
		counts := out[c.Name]
		drop := max(c.OnDemand-counts.OnDemand, 0)
		if kept := drop - min(drop, spare); kept > 0 {
			counts.OnDemand += kept
			counts.Spot = min(counts.Spot, in.Max-counts.OnDemand)
		}
		spare -= min(drop, spare)
		out[c.Name] = counts
	}
}

// sortedDataCentres returns the data centres in the order of their names.
func (in *PlanInput) sortedDataCentres() []DataCentre {
	cs := append([]DataCentre(nil), in.DataCentres...)
	sort.Slice(cs, func(i, j int) bool { return cs[i].Name < cs[j].Name })
	return cs
}

// ceilDiv returns a/b rounded up, for positive b.
func ceilDiv(a, b int) int { return (a + b - 1) / b }
