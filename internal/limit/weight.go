package limit

// fairShareThreshold is the share of an entry's request limit in use from which
// on services are held to their weights.
const fairShareThreshold = 0.8

// HasCapacity reports whether an entry that serves total requests, of at most limit,
// may admit one more request of a service, of which it serves own. Below
// fairShareThreshold any service may use the rest. Above it a service is held to
// its weighted part of the limit, so that a service that floods the entry does
// not shut out the others.
func HasCapacity(own, total, limit int, weight, totalWeight float64) bool {
	if total >= limit {
		return false
	}
	if float64(total) < fairShareThreshold*float64(limit) || totalWeight <= 0 {
		return true
	}
	return float64(own) < float64(limit)*weight/totalWeight
}
