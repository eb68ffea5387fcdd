package limit

// Limits is the limits of a service, or a part of them. A service's limit of
// zero means no limit.
type Limits struct {
	// RatePerS is the number of requests per second.
	RatePerS float64
	// InFlight is the number of concurrent requests.
	InFlight int
}

// baseShare is the share of a limit that is divided evenly among the entries
// and needs no lease holder; the rest is granted by demand.
const baseShare = 0.5

// BasePart returns the part of the limits that one entry may use without a
// grant: an equal part of the base share, divided by the largest number of
// entries that the data centres can have. The sum over all entries never exceeds
// the base share, even if they cannot reach each other, except that each entry
// may always have one request in flight.
func BasePart(l Limits, dataCentres, maxEntries int) Limits {
	n := float64(max(dataCentres, 1) * max(maxEntries, 1))
	return Limits{
		RatePerS: l.RatePerS * baseShare / n,
		InFlight: max(int(float64(l.InFlight)*baseShare/n), min(l.InFlight, 1)),
	}
}

// Pool returns the part of the limits that the holder of a data centre's lease
// may grant: the data centre's equal part of all that is not base share.
func Pool(l Limits, dataCentres int) Limits {
	n := float64(max(dataCentres, 1))
	return Limits{
		RatePerS: l.RatePerS * (1 - baseShare) / n,
		InFlight: int(float64(l.InFlight) * (1 - baseShare) / n),
	}
}
