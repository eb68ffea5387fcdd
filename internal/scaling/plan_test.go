package scaling

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// threeDataCentres returns three data centres with the same number of engines.
func threeDataCentres(onDemand, spot int) []DataCentre {
	return []DataCentre{{Name: "a", OnDemand: onDemand, Spot: spot}, {Name: "b", OnDemand: onDemand, Spot: spot}, {Name: "c", OnDemand: onDemand, Spot: spot}}
}

// total returns the planned engines of each kind over all data centres.
func total(planned map[string]Counts) (onDemand, spot int) {
	for _, counts := range planned {
		onDemand += counts.OnDemand
		spot += counts.Spot
	}
	return onDemand, spot
}

// When all spot engines of a data centre are reclaimed at once, the remaining engines must be
// enough for the peak load.
func TestPlanCoversTheLossOfADataCentresSpotEngines(t *testing.T) {
	is := is.New(t)
	planned := Plan(PlanInput{Need: 57, Min: 1, Max: 60, SpotPrice: 0.3, Idle: true, DataCentres: threeDataCentres(19, 0)})
	onDemand, spot := total(planned)
	for _, counts := range planned {
		is.True(onDemand+spot-counts.Spot >= 57)
		is.Equal(counts.OnDemand, minOnDemand)
	}
}

// The spot engines of a second data centre may be reclaimed before those of the first are replaced.
// Spare engines for this case are planned only if the price of spot engines is low enough.
func TestPlanCoversReclaimsInARow(t *testing.T) {
	for _, tc := range []struct {
		price float64
		spot  int
	}{{0.05, 36}, {0.15, 36}, {0.2, 36}, {0.3, 26}, {0.4, 17}, {0.5, 17}} {
		is := is.New(t)
		planned := Plan(PlanInput{Need: 57, Min: 1, Max: 38, SpotPrice: tc.price, Idle: true, DataCentres: threeDataCentres(19, 0)})
		is.Equal(planned["b"], Counts{OnDemand: 2, Spot: tc.spot})
	}
}

// Where there are no spot engines, or they cost too much, all engines are on-demand engines.
func TestPlanWithoutSpotEngines(t *testing.T) {
	is := is.New(t)
	for _, price := range []float64{0, 0.9} {
		planned := Plan(PlanInput{Need: 10, Min: 1, Max: 5, SpotPrice: price, DataCentres: threeDataCentres(3, 0)})
		is.Equal(planned["a"], Counts{OnDemand: 4})
	}
}

// While there is work, no needed on-demand engine is given back before its replacement serves.
func TestPlanKeepsEnginesUntilReplaced(t *testing.T) {
	is := is.New(t)
	in := PlanInput{Need: 57, Min: 1, Max: 38, SpotPrice: 0.15, DataCentres: threeDataCentres(19, 0)}
	onDemand, spot := total(Plan(in))
	is.Equal(onDemand, 57)
	is.True(spot > 0)
	in.DataCentres = threeDataCentres(19, 10)
	onDemand, _ = total(Plan(in))
	is.Equal(onDemand, 57-30)
	in.Idle, in.DataCentres = true, threeDataCentres(19, 0)
	onDemand, _ = total(Plan(in))
	is.Equal(onDemand, 3*minOnDemand)
}

// When one data centre has lost its spot engines and none are available there, the spot engines of
// the others are enough. When all data centres have lost theirs, on-demand engines are ordered.
func TestPlanWhileSpotEnginesAreUnavailable(t *testing.T) {
	is := is.New(t)
	in := PlanInput{Need: 57, Min: 1, Max: 38, SpotPrice: 0.15, DataCentres: threeDataCentres(2, 26)}
	in.DataCentres[1].Spot, in.DataCentres[1].SpotUnavailable = 0, true
	onDemand, _ := total(Plan(in))
	is.Equal(onDemand, 3*minOnDemand)
	for i := range in.DataCentres {
		in.DataCentres[i].Spot, in.DataCentres[i].SpotUnavailable = 0, true
	}
	onDemand, _ = total(Plan(in))
	is.Equal(onDemand, 57)
}

// For any input, the plan stays within the bounds of each data centre and, while there is work,
// gives back no engine that is needed.
func TestPlanIsWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(0, 40).Draw(t, "most")
		in := PlanInput{
			Need: rapid.IntRange(0, 120).Draw(t, "need"), Max: most, Min: rapid.IntRange(0, most).Draw(t, "least"),
			SpotPrice: rapid.SampledFrom([]float64{0, 0.15, 0.5, 0.8}).Draw(t, "price"), Idle: rapid.Bool().Draw(t, "idle"),
		}
		for i := range rapid.IntRange(0, 5).Draw(t, "centres") {
			onDemand := rapid.IntRange(0, most).Draw(t, "full")
			in.DataCentres = append(in.DataCentres, DataCentre{
				Name: string(rune('a' + i)), OnDemand: onDemand, Spot: rapid.IntRange(0, most-onDemand).Draw(t, "spot"), SpotUnavailable: rapid.Bool().Draw(t, "dry"),
			})
		}
		planned := Plan(in)
		present, staying := 0, 0
		for _, c := range in.DataCentres {
			counts := planned[c.Name]
			if counts.OnDemand < 0 || counts.Spot < 0 || counts.OnDemand+counts.Spot > in.Max || counts.OnDemand+counts.Spot < in.Min {
				t.Fatalf("data centre %s: planned %+v is not between %d and %d engines", c.Name, counts, in.Min, in.Max)
			}
			present += c.OnDemand + c.Spot
			staying += min(counts.OnDemand, c.OnDemand) + c.Spot
		}
		if !in.Idle && staying < min(present, in.Need) {
			t.Fatalf("plan keeps %d of %d engines but %d are needed: %+v", staying, present, in.Need, planned)
		}
	})
}
