package limit

// Limits is a service's limits, or a part of them. Zero is no limit.
type Limits struct {
	RatePerS float64
	InFlight int
}

// baseShare is the share of a limit that is dealt out evenly and needs no
// holder; the rest is granted by demand.
const baseShare = 0.5

// BasePart returns what one entry may use of the limits without asking anyone:
// an equal part of the base share, over every entry that the data centres can
// have. The sum over all entries is never above the base share, however they
// are cut off, except that each entry may hold one request at a time.
func BasePart(l Limits, dataCentres, maxEntries int) Limits {
	n := float64(max(dataCentres, 1) * max(maxEntries, 1))
	return Limits{
		RatePerS: l.RatePerS * baseShare / n,
		InFlight: max(int(float64(l.InFlight)*baseShare/n), min(l.InFlight, 1)),
	}
}

// Pool returns what the holder of a data centre's lease may grant: the data
// centre's equal part of what is not base share.
func Pool(l Limits, dataCentres int) Limits {
	n := float64(max(dataCentres, 1))
	return Limits{
		RatePerS: l.RatePerS * (1 - baseShare) / n,
		InFlight: int(float64(l.InFlight) * (1 - baseShare) / n),
	}
}
